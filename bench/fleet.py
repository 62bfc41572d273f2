"""Starts and stops entry processes and stand-ins, each on its own loopback address."""

import os
import signal
import subprocess
import sys
import time
from http.client import HTTPException
from pathlib import Path

import msgspec
from geventhttpclient import HTTPClient

from bench.address_base import HTTP_PORT, PLATFORM_PORT, reserve_address_base

__all__ = ["Entry", "Fleet", "call"]

ROOT = Path(__file__).resolve().parent.parent
TOKEN = "bench-operator-token"
WORKER_PORT = 9100
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
    """Make one HTTP call on a new connection and return the status and the decoded body.

    Args:
        address: ``IP:port`` of the server.
        method: HTTP method.
        path: path with the query.
        body: value to send as JSON; None for an empty body.
        headers: headers beside Content-Type.
        timeout_s: network timeout in seconds.

    Raises:
        OSError: the connection failed or timed out.
        http.client.HTTPException: the answer is not valid HTTP.
        msgspec.DecodeError: the body is not JSON.
    """
    host, _, port = address.rpartition(":")
    client = HTTPClient(host, int(port), connection_timeout=2.0, network_timeout=timeout_s)
    data = b"" if body is None else msgspec.json.encode(body)
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    try:
        response = client.request(method, path, body=data, headers=all_headers)
        content = bytes(response.read())
    finally:
        client.close()
    return response.status_code, msgspec.json.decode(content) if content else None


class Entry:
    """An entry process.

    Attributes:
        zone: availability zone of the process.
        host: loopback address that stands for its VM.
        number: index among the processes of one VM; added to the port numbers.
        process: the running or last process; None before the first start.
    """

    __slots__ = ("zone", "host", "number", "process")

    def __init__(self, zone: str, host: str, number: int = 0) -> None:
        self.zone = zone
        self.host = host
        self.number = number
        self.process: subprocess.Popen | None = None

    @property
    def http_address(self) -> str:
        """``IP:port`` for callers and operators."""
        return f"{self.host}:{HTTP_PORT + self.number}"

    @property
    def link_address(self) -> str:
        """``IP:port`` for links from other entry processes."""
        return f"{self.host}:{LINK_PORT + self.number}"


class Fleet:
    """All processes of one run; `close` ends every process that was started.

    Args:
        zones: names of the availability zones.
        log_dir: folder for the logs of the processes.
        base: second byte of the loopback addresses, if no other run uses them.
        options: further settings of the entry processes, by name.

    Attributes:
        base: second byte of the loopback addresses, reserved until `close`.
        platform_address: ``IP:port`` of the stand-in for the platform.
        entries: the entry processes.
        workers: addresses of the workers of each zone.
        upstreams: addresses of the upstreams of each zone.
    """

    def __init__(
        self, zones: list[str], log_dir: Path, base: int, options: dict[str, str] | None = None
    ) -> None:
        self.zones = zones
        self._address_base = reserve_address_base(base)
        self.base = self._address_base.number
        self.platform_address = f"127.{self.base}.0.1:{PLATFORM_PORT}"
        self.entries: list[Entry] = []
        self.workers: dict[str, list[str]] = {}
        self.upstreams: dict[str, list[str]] = {}
        self._log_dir = log_dir
        self._options = options or {}
        self._processes: list[subprocess.Popen] = []

    def start_platform(self) -> None:
        """Start the stand-in for the platform and wait until it answers."""
        process = self._spawn("platform", self._standin("platform", [self.platform_address]))
        self._wait_for(self.platform_address, "/vms", process)

    def start_workers(self, zone: str, speeds: list[float], slots: int = 8) -> list[str]:
        """Start stand-in workers of a zone in one process and return their addresses.

        Args:
            zone: availability zone.
            speeds: factor on run times for each worker.
            slots: number of slots of each worker.
        """
        zone_part = 100 + self.zones.index(zone)
        taken = len(self.workers.get(zone, []))
        addresses = [
            f"127.{self.base}.{zone_part}.{taken + i + 1}:{WORKER_PORT}" for i in range(len(speeds))
        ]
        arguments = [*self._standin("worker", addresses), "--slots", str(slots)]
        for speed in speeds:
            arguments += ["--speed", str(speed)]
        process = self._spawn(f"workers-{zone}-{taken}", arguments)
        self.workers.setdefault(zone, []).extend(addresses)
        self._wait_for(addresses[-1], "/v1/status", process)
        return addresses

    def start_upstream(self, zone: str) -> str:
        """Start a stand-in upstream of a zone and return its address."""
        zone_part = 150 + self.zones.index(zone)
        address = f"127.{self.base}.{zone_part}.1:{WORKER_PORT}"
        process = self._spawn(f"upstream-{zone}", self._standin("upstream", [address]))
        self.upstreams.setdefault(zone, []).append(address)
        self._wait_for(address, "/record", process)
        return address

    def add_entry(self, zone: str, host_number: int, number: int = 0) -> Entry:
        """Add a VM to the platform's list and start an entry process on it.

        Args:
            zone: availability zone.
            host_number: last byte of the VM's loopback address.
            number: index among the processes of the VM.
        """
        host = f"127.{self.base}.{self.zones.index(zone) + 1}.{host_number}"
        entry = Entry(zone, host, number)
        self.list_vm(entry, "live")
        self.entries.append(entry)
        self.start_entry(entry)
        return entry

    def list_vm(self, entry: Entry, state: str) -> None:
        """Set the state of an entry process's VM in the platform's list, such as ``live``."""
        vm = {"address": entry.host, "zone": entry.zone, "state": state}
        call(self.platform_address, "POST", "/vms", vm)

    def entry_settings(self, entry: Entry) -> dict[str, str]:
        """Return the settings of an entry process by name."""
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
        """Start the process, with its settings as environment variables."""
        settings = self.entry_settings(entry)
        environment = {f"CAMPHORCHUTE_{name.upper()}": value for name, value in settings.items()}
        command = [sys.executable, "-m", "camphorchute", "entry"]
        entry.process = self._spawn(f"entry-{entry.host}-{entry.number}", command, environment)

    def wait_ready(self, entries: list[Entry] | None = None) -> None:
        """Wait until entry processes, by default all, are ready.

        Raises:
            RuntimeError: one has ended, or is not ready within ``START_TIMEOUT_S``.
        """
        for entry in entries if entries is not None else self.entries:
            self._wait_for(entry.http_address, "/readyz", entry.process)

    def kill(self, entry: Entry) -> None:
        """Kill an entry process with SIGKILL and wait for its end."""
        entry.process.kill()
        entry.process.wait()

    def operator_call(
        self, entry: Entry, method: str, path: str, body: object = None, operator: str = "bench"
    ) -> tuple[int, object]:
        """Make a call with the headers of an operator; see :func:`call`."""
        headers = {"Authorization": f"Bearer {TOKEN}", "X-Operator": operator}
        return call(entry.http_address, method, path, body, headers)

    def confirm_service(self, entry: Entry, definition: dict) -> int:
        """Plan and confirm the definition of a service and return its revision.

        Raises:
            RuntimeError: the plan or its confirmation was refused.
        """
        plan = {"service": definition["name"], "definition": definition}
        status, planned = self.operator_call(entry, "POST", "/v1/plans", plan)
        if status != 200:
            raise RuntimeError(
                f"plan of {definition['name']}: expected 200, got {status} {planned}"
            )
        path = f"/v1/plans/{planned['id']}/confirm"
        status, confirmed = self.operator_call(entry, "POST", path, {})
        if status != 200:
            raise RuntimeError(f"confirm of {path}: expected 200, got {status} {confirmed}")
        return confirmed["revision"]

    def wait_in_force(self, revision: int, timeout_s: float = 14.0) -> float:
        """Wait until a revision is in force at every entry process.

        Args:
            revision: revision of the configuration.
            timeout_s: maximum wait in seconds.

        Returns:
            The seconds waited.

        Raises:
            RuntimeError: the time is over.
        """
        began_s = time.monotonic()
        pending = list(self.entries)
        while pending:
            status = self.operator_call(pending[0], "GET", "/v1/status")[1]
            own = [p for p in status["processes"] if self._is_status_of(pending[0], p)]
            if own and own[0]["config_revision"] >= revision:
                pending.pop(0)
            elif time.monotonic() - began_s > timeout_s:
                raise RuntimeError(
                    f"revision {revision} not in force at {pending[0].host} after {timeout_s} s"
                )
            else:
                time.sleep(0.02)
        return time.monotonic() - began_s

    def definition(self, name: str, slots: int = 8, **fields: object) -> dict:
        """Return the definition of a service on all workers and upstreams.

        Args:
            name: name of the service.
            slots: number of slots of each worker.
            fields: further fields of the definition.
        """
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
        """Return every start that the workers recorded, independent of the entry processes."""
        addresses = [a for group in self.workers.values() for a in group]
        return [s for a in addresses for s in call(a, "GET", "/record")[1]["starts"]]

    def close(self) -> None:
        """Kill every process and wait for its end."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()
        self._address_base.close()

    def _is_status_of(self, entry: Entry, status: dict) -> bool:
        return status["member"]["http_address"] == entry.http_address

    def _standin(self, kind: str, addresses: list[str]) -> list[str]:
        options = [part for address in addresses for part in ("--address", address)]
        return [sys.executable, "-m", "bench.standins", kind, *options]

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

    def _wait_for(self, address: str, path: str, process: subprocess.Popen) -> None:
        """Wait until a GET request to a process is answered with status 200."""
        until_s = time.monotonic() + START_TIMEOUT_S
        while True:
            if process.poll() is not None:
                raise RuntimeError(f"{address}: process has ended; logs in {self._log_dir}")
            try:
                if call(address, "GET", path, timeout_s=2.0)[0] == 200:
                    return
            except (OSError, HTTPException):
                pass
            if time.monotonic() > until_s:
                raise RuntimeError(
                    f"{address}{path}: no status 200 within {START_TIMEOUT_S} s;"
                    f" logs in {self._log_dir}"
                )
            time.sleep(0.05)
