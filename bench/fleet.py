"""Start and stop real processes: stand-ins and entry processes, each on a loopback address."""

import os
import signal
import subprocess
import sys
import time
from http.client import HTTPException
from pathlib import Path

import msgspec
from geventhttpclient import HTTPClient

__all__ = ["Entry", "Fleet", "call"]

ROOT = Path(__file__).resolve().parent.parent
TOKEN = "bench-operator-token"
PLATFORM_PORT = 9000
WORKER_PORT = 9100
HTTP_PORT = 9200
LINK_PORT = 9300
START_TIMEOUT_S = 40.0
CALL_TIMEOUT_S = 40.0


def call(
    address: str,
    method: str,
    path: str,
    body: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> tuple[int, object]:
    """Make one HTTP call on a new connection; return the status and the decoded body."""
    host, _, port = address.rpartition(":")
    client = HTTPClient(host, int(port), connection_timeout=2.0, network_timeout=timeout_s)
    data = b"" if body is None else msgspec.json.encode(body)
    sent = {"Content-Type": "application/json", **(headers or {})}
    try:
        response = client.request(method, path, body=data, headers=sent)
        content = bytes(response.read())
    finally:
        client.close()
    return response.status_code, msgspec.json.decode(content) if content else None


class Entry:
    """An entry process.

    Attributes:
        zone: its availability zone.
        host: loopback address that stands for its VM.
        number: tells processes of one VM apart.
    """

    __slots__ = ("zone", "host", "number", "process")

    def __init__(self, zone: str, host: str, number: int = 0) -> None:
        self.zone = zone
        self.host = host
        self.number = number
        self.process: subprocess.Popen | None = None

    @property
    def http_address(self) -> str:
        """Where callers reach it."""
        return f"{self.host}:{HTTP_PORT + self.number}"

    @property
    def link_address(self) -> str:
        """Where peers reach it."""
        return f"{self.host}:{LINK_PORT + self.number}"


class Fleet:
    """All processes of one run; every one that it starts it also ends.

    Args:
        zones: the availability zones.
        log_dir: folder for logs.
        base: second part of the loopback addresses, so that runs do not meet.
        options: further settings of the entry processes.
    """

    def __init__(
        self, zones: list[str], log_dir: Path, base: int, options: dict[str, str] | None = None
    ) -> None:
        self.zones = zones
        self.platform_address = f"127.{base}.0.1:{PLATFORM_PORT}"
        self.entries: list[Entry] = []
        self.workers: dict[str, list[str]] = {}
        self.upstreams: dict[str, list[str]] = {}
        self._log_dir = log_dir
        self._base = base
        self._options = options or {}
        self._processes: list[subprocess.Popen] = []

    def start_platform(self) -> None:
        """Start the stand-in for the platform."""
        self._spawn("platform", self._standin("platform", [self.platform_address]))
        self._wait_for(self.platform_address, "/vms")

    def start_workers(self, zone: str, speeds: list[float], slots: int = 8) -> list[str]:
        """Start stand-in workers of a zone in one process; return their addresses."""
        zone_part = 100 + self.zones.index(zone)
        taken = len(self.workers.get(zone, []))
        addresses = [
            f"127.{self._base}.{zone_part}.{taken + i + 1}:{WORKER_PORT}"
            for i in range(len(speeds))
        ]
        arguments = [*self._standin("worker", addresses), "--slots", str(slots)]
        for speed in speeds:
            arguments += ["--speed", str(speed)]
        self._spawn(f"workers-{zone}-{taken}", arguments)
        self.workers.setdefault(zone, []).extend(addresses)
        self._wait_for(addresses[-1], "/v1/status")
        return addresses

    def start_upstream(self, zone: str) -> str:
        """Start a stand-in upstream of a zone; return its address."""
        zone_part = 150 + self.zones.index(zone)
        address = f"127.{self._base}.{zone_part}.1:{WORKER_PORT}"
        self._spawn(f"upstream-{zone}", self._standin("upstream", [address]))
        self.upstreams.setdefault(zone, []).append(address)
        self._wait_for(address, "/record")
        return address

    def add_entry(self, zone: str, host_number: int, number: int = 0) -> Entry:
        """Start an entry process and list its VM."""
        host = f"127.{self._base}.{self.zones.index(zone) + 1}.{host_number}"
        entry = Entry(zone, host, number)
        self.list_vm(entry, "live")
        self.entries.append(entry)
        self.start_entry(entry)
        return entry

    def list_vm(self, entry: Entry, state: str) -> None:
        """Put a VM on the platform's list."""
        vm = {"address": entry.host, "zone": entry.zone, "state": state}
        call(self.platform_address, "POST", "/vms", vm)

    def entry_settings(self, entry: Entry) -> dict[str, str]:
        """Return the settings of an entry process."""
        return {
            "zone": entry.zone,
            "zones": ",".join(self.zones),
            "http_address": entry.http_address,
            "link_address": entry.link_address,
            "store_url": f"http://{self.platform_address}",
            "vm_list_url": f"http://{self.platform_address}",
            "operator_token": TOKEN,
            **self._options,
        }

    def start_entry(self, entry: Entry) -> None:
        """Start the process of an entry."""
        settings = self.entry_settings(entry)
        environment = {f"CAMPHORCHUTE_{name.upper()}": value for name, value in settings.items()}
        command = [sys.executable, "-m", "camphorchute", "entry"]
        entry.process = self._spawn(f"entry-{entry.host}-{entry.number}", command, environment)

    def wait_ready(self, entries: list[Entry] | None = None) -> None:
        """Wait until entry processes serve."""
        for entry in entries if entries is not None else self.entries:
            self._wait_for(entry.http_address, "/readyz")

    def kill(self, entry: Entry) -> None:
        """End an entry process at once."""
        entry.process.kill()
        entry.process.wait()

    def operator_call(
        self, entry: Entry, method: str, path: str, body: object = None, operator: str = "bench"
    ) -> tuple[int, object]:
        """Make an operator's call."""
        headers = {"Authorization": f"Bearer {TOKEN}", "X-Operator": operator}
        return call(entry.http_address, method, path, body, headers)

    def confirm_service(self, entry: Entry, definition: dict) -> int:
        """Plan and confirm a service; return its revision."""
        plan = {"service": definition["name"], "definition": definition}
        status, planned = self.operator_call(entry, "POST", "/v1/plans", plan)
        if status != 200:
            raise RuntimeError(f"plan: {status} {planned}")
        path = f"/v1/plans/{planned['id']}/confirm"
        status, confirmed = self.operator_call(entry, "POST", path, {})
        if status != 200:
            raise RuntimeError(f"confirm: {status} {confirmed}")
        return confirmed["revision"]

    def wait_in_force(self, revision: int, timeout_s: float = 14.0) -> float:
        """Wait until every entry process has a revision in force; return the seconds."""
        began_s = time.monotonic()
        pending = list(self.entries)
        while pending:
            status = self.operator_call(pending[0], "GET", "/v1/status")[1]
            mine = [p for p in status["processes"] if self._is(pending[0], p)]
            if mine and mine[0]["config_revision"] >= revision:
                pending.pop(0)
            elif time.monotonic() - began_s > timeout_s:
                raise RuntimeError(f"revision {revision} not in force at {pending[0].host}")
            else:
                time.sleep(0.02)
        return time.monotonic() - began_s

    def definition(self, name: str, slots: int = 8, **fields: object) -> dict:
        """Return the definition of a service on all workers and upstreams."""
        workers = [
            {"name": f"w-{zone}-{i}", "address": address, "zone": zone, "slots": slots}
            for zone, addresses in self.workers.items()
            for i, address in enumerate(addresses)
        ]
        upstreams = [
            {"name": f"u-{zone}-{i}", "address": address, "zone": zone}
            for zone, addresses in self.upstreams.items()
            for i, address in enumerate(addresses)
        ]
        return {"name": name, "workers": workers, "upstreams": upstreams, **fields}

    def starts(self) -> list[dict]:
        """Return the independent record of every start at workers."""
        addresses = [a for group in self.workers.values() for a in group]
        return [s for a in addresses for s in call(a, "GET", "/record")[1]["starts"]]

    def close(self) -> None:
        """End every process."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()

    def _is(self, entry: Entry, status: dict) -> bool:
        return status["member"]["http_address"] == entry.http_address

    def _standin(self, kind: str, addresses: list[str]) -> list[str]:
        flags = [part for address in addresses for part in ("--address", address)]
        return [sys.executable, "-m", "bench.standins", kind, *flags]

    def _spawn(
        self, name: str, command: list[str], environment: dict[str, str] | None = None
    ) -> subprocess.Popen:
        self._log_dir.mkdir(parents=True, exist_ok=True)
        with (self._log_dir / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={**os.environ, **(environment or {})},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._processes.append(process)
        return process

    def _wait_for(self, address: str, path: str) -> None:
        until_s = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                if call(address, "GET", path, timeout_s=2.0)[0] == 200:
                    return
            except (OSError, HTTPException):
                pass
            if time.monotonic() > until_s:
                raise RuntimeError(f"{address}{path} did not come up; logs in {self._log_dir}")
            time.sleep(0.05)
