"""Starts and stops entry processes on the stand-in for a hosted platform."""

import base64
import os
import signal
import subprocess
import sys
import time
from concurrent.futures import Future, ThreadPoolExecutor
from http.client import HTTPException
from pathlib import Path

import msgspec

from bench.address_base import HTTP_PORT, reserve_address_base
from bench.fleet import LINK_PORT, ROOT, call
from bench.standins.fleet_site import QUEUE_HOST, QUEUE_PATH_PREFIX, FleetSite, job_body
from camphorchute.cluster.cluster_view import CLAIM_PREFIX, MEMBER_PREFIX
from camphorchute.contracts.member import Member

__all__ = ["HostedEntry", "HostedFleet"]

READY_PORT = 9400
START_TIMEOUT_S = 40.0
DRAIN_MS = 3000
DEADLINE_MS = 5000
CALLER_THREADS = 16


class HostedEntry:
    """An entry process.

    Attributes:
        zone: availability zone of the process.
        host: loopback address that stands for its VM.
        store_address: ``IP:port`` at which it calls the store.
        advertised_link_address: ``IP:port`` at which its peers open links to it.
        process: the running or last process; None before the first start.
    """

    __slots__ = ("zone", "host", "store_address", "advertised_link_address", "process")

    def __init__(self, zone: str, host: str, store_address: str, link_address: str = "") -> None:
        self.zone = zone
        self.host = host
        self.store_address = store_address
        self.advertised_link_address = link_address or self.link_address
        self.process: subprocess.Popen | None = None

    @property
    def http_address(self) -> str:
        """``IP:port`` for callers."""
        return f"{self.host}:{HTTP_PORT}"

    @property
    def link_address(self) -> str:
        """``IP:port`` on which it listens for links."""
        return f"{self.host}:{LINK_PORT}"

    @property
    def ready_address(self) -> str:
        """``IP:port`` for the readiness probes of the load balancer."""
        return f"{self.host}:{READY_PORT}"


class HostedFleet:
    """The stand-ins of a hosted platform and the entry processes on them.

    The stand-ins start with the object; `close` ends all.

    Args:
        zones: names of the availability zones.
        workers: number of workers in each zone.
        log_dir: folder for the logs of the entry processes.
        base: second byte of the loopback addresses, if no other run uses them.
        run_ms: run time of every task in milliseconds.
        options: further settings of the entry processes, by name.

    Attributes:
        base: second byte of the loopback addresses, reserved until `close`.
        site: the stand-ins.
        entries: the entry processes.
        program: arguments of the interpreter that run the program.
    """

    program = ("-m", "camphorchute")

    def __init__(
        self,
        zones: list[str],
        workers: int,
        log_dir: Path,
        base: int,
        run_ms: float = 40.0,
        **options: str,
    ) -> None:
        self._address_base = reserve_address_base(base)
        self.base = self._address_base.number
        self.site = FleetSite(zones, workers, f"127.{self.base}.0.1:0", run_ms)
        self.site.start()
        self.entries: list[HostedEntry] = []
        self._zones = zones
        self._log_dir = log_dir
        self._run_ms = run_ms
        self._options = {name.upper(): text for name, text in options.items()}
        self._callers = ThreadPoolExecutor(CALLER_THREADS)

    def host_of(self, zone: str, number: int) -> str:
        """Return the loopback address that stands for a VM.

        Args:
            zone: availability zone.
            number: last byte of the address.
        """
        return f"127.{self.base}.{self._zones.index(zone) + 1}.{number}"

    def add_entry(
        self, zone: str, number: int, store_address: str = "", link_address: str = ""
    ) -> HostedEntry:
        """Start an entry process on a new VM.

        Args:
            zone: availability zone.
            number: last byte of the VM's loopback address.
            store_address: ``IP:port`` at which it calls the store, empty for the usual one.
            link_address: ``IP:port`` that it advertises for links, empty for the one on which it
                listens.
        """
        host = self.host_of(zone, number)
        entry = HostedEntry(zone, host, store_address or self.site.store.address, link_address)
        self.entries.append(entry)
        self.start_entry(entry)
        return entry

    def start_entry(self, entry: HostedEntry) -> None:
        """Start the process, with its settings as environment variables."""
        settings = {
            "PLATFORM": "fleet",
            "ZONE": entry.zone,
            "ZONES": ",".join(self._zones),
            "HTTP_ADDRESS": entry.http_address,
            "READY_ADDRESS": entry.ready_address,
            "LINK_ADDRESS": entry.link_address,
            "ADVERTISE_LINK_ADDRESS": entry.advertised_link_address,
            "STORE_URL": f"http://{entry.store_address}",
            "DRAIN_MS": str(DRAIN_MS),
            **self._options,
        }
        environment = {f"CAMPHORCHUTE_{name}": value for name, value in settings.items()}
        with (self._log_dir / f"entry-{entry.host}.log").open("ab") as log:
            entry.process = subprocess.Popen(
                [sys.executable, *self.program, "entry"],
                cwd=ROOT,
                env={**os.environ, **environment},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def wait_ready(self) -> None:
        """Wait until every entry process has completed a job.

        Raises:
            RuntimeError: one has ended, or has not within ``START_TIMEOUT_S``, counted for all.
        """
        until_s = time.monotonic() + START_TIMEOUT_S
        for number, entry in enumerate(self.entries):
            while entry.process.poll() is None:
                if self._completes_job(entry, f"ready{number:04}"):
                    break
                if time.monotonic() > until_s:
                    raise RuntimeError(
                        f"{entry.host}: no job completed within {START_TIMEOUT_S} s;"
                        f" logs in {self._log_dir}"
                    )
                time.sleep(0.05)
            else:
                raise RuntimeError(f"{entry.host}: process has ended; logs in {self._log_dir}")

    def submit(self, entry: HostedEntry, job_id: str, tasks: int = 1) -> tuple[int, object]:
        """Submit a job and return status and body, or 0 and the error if there is no answer.

        Args:
            entry: entry process that receives the job.
            job_id: id of the job.
            tasks: number of tasks.
        """
        headers = {"Host": QUEUE_HOST, "Camphorchute-Deadline-Ms": str(DEADLINE_MS)}
        body = job_body(tasks, self._run_ms)
        try:
            return call(entry.http_address, "POST", QUEUE_PATH_PREFIX + job_id, body, headers)
        except (OSError, HTTPException) as error:
            return 0, repr(error)

    def submit_later(self, entry: HostedEntry, job_id: str, tasks: int = 1) -> Future:
        """Submit a job in a background thread; the result is that of `submit`."""
        return self._callers.submit(self.submit, entry, job_id, tasks)

    def is_ready(self, entry: HostedEntry) -> bool:
        """Whether an entry process reports to the load balancer that it is ready."""
        return call(entry.ready_address, "GET", "/ready")[0] == 200

    def scheduler_of(self, zone: str) -> HostedEntry:
        """Return the entry process that is the scheduler of a zone's workers."""
        items = self.site.store.items
        claim = next(key for key in items if key.startswith(CLAIM_PREFIX + zone))
        member_id = base64.b64decode(items[claim]["value"]).decode()
        value = base64.b64decode(items[MEMBER_PREFIX + member_id]["value"])
        member = msgspec.json.decode(value, type=Member)
        host = member.link_address.partition(":")[0]
        return next(entry for entry in self.entries if entry.host == host)

    def close(self) -> None:
        """Kill every entry process, wait for its end and stop the stand-ins."""
        for entry in self.entries:
            if entry.process.poll() is None:
                entry.process.send_signal(signal.SIGCONT)
                entry.process.kill()
            entry.process.wait()
        self._callers.shutdown()
        self.site.close()
        self._address_base.close()

    def _completes_job(self, entry: HostedEntry, job_id: str) -> bool:
        return self.submit(entry, job_id)[0] == 200
