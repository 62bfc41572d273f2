"""The processes of a soak run, a proxy that cuts their connections, and target selection."""

import signal
import sys
import time
from http.client import HTTPException
from pathlib import Path

import gevent

from bench.fleet import Entry, Fleet, call
from bench.soak.records import EntryIncarnation
from bench.soak.schedule import PlannedFault

__all__ = [
    "PLATFORM_HOST",
    "SERVICE",
    "SIDE_SERVICE",
    "SoakFleet",
    "now_unix_ms",
]

SERVICE = "flag-registry"
SIDE_SERVICE = "walk-booking"
PLATFORM_HOST = "platform"
PROXY_PORT = 9600
PROXIED_LINK_PORT = 9400
PROXIED_STORE_PORT = 9500
BALANCER_LAG_S = 0.5
PROCESS_POLL_INTERVAL_S = 0.05
FAULT_CALL_TIMEOUT_S = 5.0
FAULT_CALL_TRIES = 20
FAULT_CALL_PAUSE_S = 0.5


class SoakFleet(Fleet):
    """A fleet whose links and store calls go through a proxy that can lose their bytes.

    Args:
        zones: names of the availability zones.
        log_dir: folder for logs.
        base: second byte of the loopback addresses, if no other run uses them.
        options: further settings of the entry processes.

    Attributes:
        incarnations: the current incarnation at each entry's HTTP address.
        all_incarnations: every incarnation, in the order of their start.
        drained_back_ends: addresses of workers and upstreams that a fault keeps drained.
        crashed_workers: addresses of workers that a fault crashed.
        unexpected_exits: one message for each entry process that exited by itself, failed to
            stop in time or stopped with an error.
        callers: the ``Callers`` of the run; set by the run.
        operators: the ``Operators`` of the run; set by the run.
    """

    def __init__(
        self, zones: list[str], log_dir: Path, base: int, options: dict[str, str] | None = None
    ) -> None:
        super().__init__(zones, log_dir, base, options)
        self.incarnations: dict[str, EntryIncarnation] = {}
        self.all_incarnations: list[EntryIncarnation] = []
        self.drained_back_ends: set[str] = set()
        self.crashed_workers: set[str] = set()
        self.unexpected_exits: list[str] = []
        self.callers: object | None = None
        self.operators: object | None = None
        self._proxy_address = f"127.{self.base}.0.2:{PROXY_PORT}"
        self._cuts: dict[str, list[dict]] = {}
        self._next_host: dict[str, int] = dict.fromkeys(zones, 1)
        self._open_routes: set[str] = set()

    def start_proxy(self) -> None:
        """Start the proxy and wait until it answers."""
        command = [sys.executable, "-m", "bench.tcp_proxy", "--address", self._proxy_address]
        process = self._spawn("relay", command)
        self._wait_for(self._proxy_address, "/faults", process)

    def add_next_entry(self, zone: str) -> Entry:
        """Start an entry process on a VM with an unused address."""
        number = self._next_host[zone]
        self._next_host[zone] = number + 1
        return self.add_entry(zone, number)

    def entry_settings(self, entry: Entry) -> dict[str, str]:
        """Return the settings of an entry process whose link and store calls use the proxy."""
        store = f"http://{entry.host}:{PROXIED_STORE_PORT}"
        return super().entry_settings(entry) | {
            "advertise_link_address": f"{entry.host}:{PROXIED_LINK_PORT}",
            "store_url": store,
            "vm_list_url": store,
        }

    def start_entry(self, entry: Entry) -> None:
        """Open the proxy routes of an entry and start its next incarnation."""
        entry.process = None
        self._open_route(f"{entry.host}:{PROXIED_LINK_PORT}", entry.link_address, entry.host)
        self._open_route(
            f"{entry.host}:{PROXIED_STORE_PORT}", self.platform_address, PLATFORM_HOST, entry.host
        )
        incarnation = EntryIncarnation(f"{entry.http_address}#{len(self.all_incarnations)}")
        self.incarnations[entry.http_address] = incarnation
        self.all_incarnations.append(incarnation)
        super().start_entry(entry)

    def current_incarnation(self, entry: Entry) -> EntryIncarnation:
        """Return the current incarnation of an entry."""
        return self.incarnations[entry.http_address]

    def kill(self, entry: Entry) -> None:
        """Kill an entry process and close its link route, so that new links are refused."""
        self.current_incarnation(entry).killed_unix_ms = now_unix_ms()
        super().kill(entry)
        self._close_link_route(entry)

    def stop(self, entry: Entry, timeout_s: float) -> bool:
        """Stop an entry process gracefully.

        An exit status other than 0 is recorded as an unexpected exit.

        Args:
            entry: the entry to stop.
            timeout_s: how long to wait for the process to end, in seconds.

        Returns:
            Whether the process ended in time.
        """
        self.current_incarnation(entry).stopped_unix_ms = now_unix_ms()
        process = entry.process
        process.send_signal(signal.SIGTERM)
        until_s = time.monotonic() + timeout_s
        while process.poll() is None and time.monotonic() < until_s:
            gevent.sleep(PROCESS_POLL_INTERVAL_S)
        if process.poll() is None:
            return False
        if process.returncode != 0:
            self.unexpected_exits.append(
                f"{self.current_incarnation(entry).name} stopped with {process.returncode}"
            )
        self._close_link_route(entry)
        return True

    def pause(self, entry: Entry, duration_s: float) -> None:
        """Suspend an entry process for a number of seconds."""
        incarnation, process = self.current_incarnation(entry), entry.process
        pause = [now_unix_ms(), float("inf")]
        incarnation.pauses.append(pause)
        process.send_signal(signal.SIGSTOP)
        try:
            gevent.sleep(duration_s)
        finally:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
            pause[1] = now_unix_ms()

    def remove_vm(self, entry: Entry) -> None:
        """Remove the VM of an ended entry from the platform's list."""
        path = f"/vms?address={entry.host}"
        call(self.platform_address, "DELETE", path, timeout_s=FAULT_CALL_TIMEOUT_S)

    def live_entries(self, zone: str | None = None) -> list[Entry]:
        """Return the started entries that have neither ended nor been requested to stop."""
        return [
            entry for entry in self.entries if zone in (None, entry.zone) and self._is_live(entry)
        ]

    def callable_entries(self) -> list[Entry]:
        """Return the entries that callers may use; ended ones stay for the load balancer's lag."""
        known_unix_ms = now_unix_ms() - BALANCER_LAG_S * 1000.0
        return [entry for entry in self.entries if self._is_live(entry, known_unix_ms)]

    def start_cut(self, name: str, pairs: list[tuple[list[str], list[str]]]) -> None:
        """Start a named cut: bytes from the first to the second hosts of each pair are lost."""
        self._cuts[name] = [{"sources": a, "destinations": b} for a, b in pairs]
        self._send_cuts()

    def end_cut(self, name: str) -> None:
        """End the cut of a name, if there is one."""
        self._cuts.pop(name, None)
        self._send_cuts()

    def silence_connections(self, sources: list[str], destinations: list[str]) -> None:
        """Make the open connections between hosts permanently unresponsive."""
        body = {"sources": sources, "destinations": destinations}
        call(self._proxy_address, "POST", "/silence", body, timeout_s=FAULT_CALL_TIMEOUT_S)

    def zone_hosts(self, zone: str) -> list[str]:
        """Return every host address that an entry of a zone has or may get."""
        part = self.zones.index(zone) + 1
        return [f"127.{self.base}.{part}.{n}" for n in range(1, 64)]

    def set_faults(self, address: str, faults: dict) -> None:
        """Set faults of a stand-in, retrying calls that fail because of another fault.

        Args:
            address: ``IP:port`` of the stand-in.
            faults: the fault fields to change.

        Raises:
            OSError: if no call succeeded and the stand-in is not a crashed worker.
        """
        for _ in range(FAULT_CALL_TRIES):
            try:
                call(address, "POST", "/faults", faults, timeout_s=FAULT_CALL_TIMEOUT_S)
                return
            except (OSError, HTTPException):
                if address in self.crashed_workers:
                    return
                gevent.sleep(FAULT_CALL_PAUSE_S)
        raise OSError(
            f"stand-in {address} did not accept the faults {faults} in {FAULT_CALL_TRIES} calls"
        )

    def pick_zone(self, planned: PlannedFault) -> str:
        """Return the zone that the target number of a fault selects."""
        return self.zones[planned.target % len(self.zones)]

    def pick_entry(self, planned: PlannedFault) -> Entry | None:
        """Return the live entry that a fault selects; None if no entry is live."""
        entries = self.live_entries()
        return entries[planned.target % len(entries)] if entries else None

    def pick_worker(self, planned: PlannedFault) -> str:
        """Return the worker that a fault selects among those not crashed."""
        addresses = [
            a for group in self.workers.values() for a in group if a not in self.crashed_workers
        ]
        return addresses[planned.target % len(addresses)]

    def pick_upstream(self, planned: PlannedFault) -> str:
        """Return the upstream that the target number of a fault selects."""
        addresses = [a for group in self.upstreams.values() for a in group]
        return addresses[planned.target % len(addresses)]

    def watch_processes(self) -> None:
        """Record entry processes that exit by themselves, until the greenlet is killed."""
        while True:
            for entry in list(self.entries):
                incarnation, process = self.incarnations.get(entry.http_address), entry.process
                if process is None or process.poll() is None:
                    continue
                if incarnation.is_live(now_unix_ms()):
                    self.unexpected_exits.append(
                        f"{incarnation.name} ended by itself: {process.returncode}"
                    )
                    incarnation.ended_unix_ms = now_unix_ms()
                    self._close_link_route(entry)
            gevent.sleep(PROCESS_POLL_INTERVAL_S)

    def _is_live(self, entry: Entry, unix_ms: float = float("inf")) -> bool:
        return entry.process is not None and self.current_incarnation(entry).is_live(unix_ms)

    def _send_cuts(self) -> None:
        cuts = [cut for group in self._cuts.values() for cut in group]
        call(self._proxy_address, "POST", "/cuts", {"cuts": cuts}, timeout_s=FAULT_CALL_TIMEOUT_S)

    def _open_route(self, listen: str, to: str, destination: str, source: str = "") -> None:
        if listen not in self._open_routes:
            route = {"listen": listen, "to": to, "destination": destination, "source": source}
            call(self._proxy_address, "POST", "/routes", route, timeout_s=FAULT_CALL_TIMEOUT_S)
            self._open_routes.add(listen)

    def _close_link_route(self, entry: Entry) -> None:
        listen = f"{entry.host}:{PROXIED_LINK_PORT}"
        if listen in self._open_routes:
            self._open_routes.discard(listen)
            path = f"/routes?listen={listen}"
            call(self._proxy_address, "DELETE", path, timeout_s=FAULT_CALL_TIMEOUT_S)


def now_unix_ms() -> float:
    """Return the wall clock time in milliseconds, as the stand-ins record it."""
    return time.time() * 1000.0
