"""The processes of a run, with a relay before every entry, and what was done to each."""

import signal
import socket
import sys
import time
from http.client import HTTPException
from pathlib import Path

import gevent

from bench.fleet import PLATFORM_PORT, Entry, Fleet, call
from bench.soak.records import EntryLife
from bench.soak.schedule import PlannedFault

__all__ = ["PLATFORM", "SERVICE", "SIDE_SERVICE", "Site", "reserve_base", "now_unix_ms"]

SERVICE = "flag-registry"
SIDE_SERVICE = "walk-booking"
PLATFORM = "platform"
RELAY_PORT = 9600
RELAYED_LINK_PORT = 9400
RELAYED_STORE_PORT = 9500
RESERVATION_PORT = 9700
BASE_FIRST = 70
BASE_COUNT = 130
BALANCER_LAG_S = 0.5
WATCH_PROCESSES_S = 0.05
FAULT_CALL_TIMEOUT_S = 5.0
FAULT_CALL_TRIES = 20
FAULT_CALL_PAUSE_S = 0.5


class Site(Fleet):
    """A fleet whose links and store calls go through a relay.

    Args:
        zones: the availability zones.
        log_dir: folder for logs.
        base: second part of the loopback addresses.
        options: further settings of the entry processes.

    Attributes:
        lives: the present incarnation at each entry address.
        all_lives: every incarnation.
        drained: addresses of back ends that a fault has drained.
        crashed: addresses of workers that crashed.
        exits: unexpected ends of entry processes.
        callers: the callers of the run, once there are any.
        operators: the operators of the run, once there are any.
    """

    def __init__(
        self, zones: list[str], log_dir: Path, base: int, options: dict[str, str] | None = None
    ) -> None:
        super().__init__(zones, log_dir, base, options)
        self.lives: dict[str, EntryLife] = {}
        self.all_lives: list[EntryLife] = []
        self.drained: set[str] = set()
        self.crashed: set[str] = set()
        self.exits: list[str] = []
        self.callers: object | None = None
        self.operators: object | None = None
        self._relay = f"127.{base}.0.2:{RELAY_PORT}"
        self._cuts: dict[str, list[dict]] = {}
        self._next_host: dict[str, int] = dict.fromkeys(zones, 1)
        self._open_routes: set[str] = set()

    def start_relay(self) -> None:
        """Start the relay."""
        command = [sys.executable, "-m", "bench.relay", "--address", self._relay]
        self._spawn("relay", command)
        self._wait_for(self._relay, "/faults")

    def add_next_entry(self, zone: str) -> Entry:
        """Start an entry process on a VM with a new address."""
        number = self._next_host[zone]
        self._next_host[zone] = number + 1
        return self.add_entry(zone, number)

    def entry_settings(self, entry: Entry) -> dict[str, str]:
        """Return the settings of an entry process behind the relay."""
        store = f"http://{entry.host}:{RELAYED_STORE_PORT}"
        return super().entry_settings(entry) | {
            "advertise_link_address": f"{entry.host}:{RELAYED_LINK_PORT}",
            "store_url": store,
            "vm_list_url": store,
        }

    def start_entry(self, entry: Entry) -> None:
        """Start a new incarnation at an address, after its routes are open."""
        entry.process = None
        self._open_route(f"{entry.host}:{RELAYED_LINK_PORT}", entry.link_address, entry.host)
        self._open_route(
            f"{entry.host}:{RELAYED_STORE_PORT}", self.platform_address, PLATFORM, entry.host
        )
        life = EntryLife(f"{entry.http_address}#{len(self.all_lives)}")
        self.lives[entry.http_address] = life
        self.all_lives.append(life)
        super().start_entry(entry)

    def life_of(self, entry: Entry) -> EntryLife:
        """Return the present incarnation of an entry."""
        return self.lives[entry.http_address]

    def kill(self, entry: Entry) -> None:
        """Kill an entry process; its listener refuses afterwards."""
        self.life_of(entry).killed_unix_ms = now_unix_ms()
        super().kill(entry)
        self._close_link_route(entry)

    def stop(self, entry: Entry, timeout_s: float) -> bool:
        """Stop an entry process in order; return whether it ended in time."""
        self.life_of(entry).stopped_unix_ms = now_unix_ms()
        process = entry.process
        process.send_signal(signal.SIGTERM)
        until_s = time.monotonic() + timeout_s
        while process.poll() is None and time.monotonic() < until_s:
            gevent.sleep(WATCH_PROCESSES_S)
        if process.poll() is None:
            return False
        if process.returncode != 0:
            self.exits.append(f"{self.life_of(entry).name} stopped with {process.returncode}")
        self._close_link_route(entry)
        return True

    def pause(self, entry: Entry, duration_s: float) -> None:
        """Stop an entry process from running for some time."""
        life, process = self.life_of(entry), entry.process
        pause = [now_unix_ms(), float("inf")]
        life.pauses.append(pause)
        process.send_signal(signal.SIGSTOP)
        try:
            gevent.sleep(duration_s)
        finally:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
            pause[1] = now_unix_ms()

    def remove_vm(self, entry: Entry) -> None:
        """Take an ended entry off the fleet and its VM off the platform's list."""
        path = f"/vms?address={entry.host}"
        call(self.platform_address, "DELETE", path, timeout_s=FAULT_CALL_TIMEOUT_S)

    def live_entries(self, zone: str | None = None) -> list[Entry]:
        """Return the entries that are neither killed nor asked to stop."""
        return [
            entry for entry in self.entries if zone in (None, entry.zone) and self._is_live(entry)
        ]

    def callable_entries(self) -> list[Entry]:
        """Return the entries that the balancer gives callers, with its lag."""
        known_unix_ms = now_unix_ms() - BALANCER_LAG_S * 1000.0
        return [entry for entry in self.entries if self._is_live(entry, known_unix_ms)]

    def set_cut(self, name: str, pairs: list[tuple[list[str], list[str]]]) -> None:
        """Begin a cut: bytes from the first to the second hosts of each pair are lost."""
        self._cuts[name] = [{"sources": a, "destinations": b} for a, b in pairs]
        self._send_cuts()

    def end_cut(self, name: str) -> None:
        """End a cut."""
        self._cuts.pop(name, None)
        self._send_cuts()

    def silence(self, sources: list[str], destinations: list[str]) -> None:
        """Make the connections now open between hosts silent for good."""
        body = {"sources": sources, "destinations": destinations}
        call(self._relay, "POST", "/silence", body, timeout_s=FAULT_CALL_TIMEOUT_S)

    def zone_hosts(self, zone: str) -> list[str]:
        """Return every address that an entry of a zone has or may get."""
        part = self.zones.index(zone) + 1
        return [f"127.{self._base}.{part}.{n}" for n in range(1, 64)]

    def set_faults(self, address: str, faults: dict) -> None:
        """Set faults of a stand-in; a call that another fault cut off is made again."""
        for _ in range(FAULT_CALL_TRIES):
            try:
                call(address, "POST", "/faults", faults, timeout_s=FAULT_CALL_TIMEOUT_S)
                return
            except (OSError, HTTPException):
                if address in self.crashed:
                    return
                gevent.sleep(FAULT_CALL_PAUSE_S)
        raise OSError(f"{address} does not take faults {faults}")

    def pick_zone(self, planned: PlannedFault) -> str:
        """Return the zone that a fault is aimed at."""
        return self.zones[planned.target % len(self.zones)]

    def pick_entry(self, planned: PlannedFault) -> Entry | None:
        """Return the live entry that a fault is aimed at."""
        entries = self.live_entries()
        return entries[planned.target % len(entries)] if entries else None

    def pick_worker(self, planned: PlannedFault) -> str:
        """Return the worker that a fault is aimed at."""
        addresses = [a for group in self.workers.values() for a in group if a not in self.crashed]
        return addresses[planned.target % len(addresses)]

    def pick_upstream(self, planned: PlannedFault) -> str:
        """Return the upstream that a fault is aimed at."""
        addresses = [a for group in self.upstreams.values() for a in group]
        return addresses[planned.target % len(addresses)]

    def watch_processes(self) -> None:
        """Note entry processes that end by themselves."""
        while True:
            for entry in list(self.entries):
                life, process = self.lives.get(entry.http_address), entry.process
                if process is None or process.poll() is None:
                    continue
                if life.is_live(now_unix_ms()):
                    self.exits.append(f"{life.name} ended by itself: {process.returncode}")
                    life.ended_unix_ms = now_unix_ms()
                    self._close_link_route(entry)
            gevent.sleep(WATCH_PROCESSES_S)

    def _is_live(self, entry: Entry, unix_ms: float = float("inf")) -> bool:
        return entry.process is not None and self.life_of(entry).is_live(unix_ms)

    def _send_cuts(self) -> None:
        cuts = [cut for group in self._cuts.values() for cut in group]
        call(self._relay, "POST", "/cuts", {"cuts": cuts}, timeout_s=FAULT_CALL_TIMEOUT_S)

    def _open_route(self, listen: str, to: str, destination: str, source: str = "") -> None:
        if listen not in self._open_routes:
            route = {"listen": listen, "to": to, "destination": destination, "source": source}
            call(self._relay, "POST", "/routes", route, timeout_s=FAULT_CALL_TIMEOUT_S)
            self._open_routes.add(listen)

    def _close_link_route(self, entry: Entry) -> None:
        listen = f"{entry.host}:{RELAYED_LINK_PORT}"
        if listen in self._open_routes:
            self._open_routes.discard(listen)
            path = f"/routes?listen={listen}"
            call(self._relay, "DELETE", path, timeout_s=FAULT_CALL_TIMEOUT_S)


def reserve_base(number: int) -> tuple[int, socket.socket]:
    """Return the second part of loopback addresses that no other run uses.

    Args:
        number: where to begin to look.

    Returns:
        The part, and the socket that reserves it until it is closed.
    """
    for step in range(BASE_COUNT):
        base = BASE_FIRST + (number + step) % BASE_COUNT
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{base}.0.3", RESERVATION_PORT))
            reservation.listen()
        except OSError:
            reservation.close()
        else:
            if _is_free(f"127.{base}.0.1", PLATFORM_PORT):
                return base, reservation
            reservation.close()
    raise RuntimeError("no loopback network is free")


def now_unix_ms() -> float:
    """Return the wall clock time in milliseconds, as the stand-ins record it."""
    return time.time() * 1000.0


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex((host, port)) != 0
