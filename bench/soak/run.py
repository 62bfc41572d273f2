"""One run: start the processes, bring the faults about, heal, and gather the records."""

import re
import time
from pathlib import Path

import gevent
from gevent.pool import Group

from bench.fleet import call
from bench.soak import back_end_faults, entry_faults, load_faults
from bench.soak.blindness import AppliedFault, blind_spans
from bench.soak.callers import Callers
from bench.soak.operators import Operators
from bench.soak.records import Evidence, RequestRun, Start
from bench.soak.schedule import FAULT_KINDS, PlannedFault
from bench.soak.site import SERVICE, SIDE_SERVICE, Site, now_unix_ms

__all__ = ["FAULT_MODULES", "Run"]

FAULT_MODULES = (back_end_faults, entry_faults, load_faults)
SPEEDS = [1.0, 0.7, 1.4, 1.0]
WORKERS_PER_PROCESS = 2
WARM_UP_S = 1.0
IN_FORCE_TIMEOUT_S = 20.0
FAULT_END_TIMEOUT_S = 60.0
CALM_TIMEOUT_S = 30.0
CALM_CHECK_S = 0.3
CALLS_END_TIMEOUT_S = 60.0
LATE_STARTS_S = 2.0
LOG_FAULT = re.compile(r"InvariantBroken|invariant broken|[Tt]raceback")
LOG_LINE_MAX_CHARS = 1500
OPTIONS = {"suspect_ms": "2500", "heartbeat_ms": "500"}


class Run:
    """One run of a schedule.

    Args:
        seed: the seed of callers and operators.
        planned: the faults.
        duration_s: time in which work is submitted.
        zones: number of availability zones.
        entries: number of entry VMs in each.
        log_dir: folder for logs.
        base: second part of the loopback addresses.

    Attributes:
        evidence: the records, once the run has ended.
        applied: the faults that were brought about, with their times.
        problems: what went wrong with the run itself, for people.
    """

    def __init__(
        self,
        seed: int,
        planned: list[PlannedFault],
        duration_s: float,
        zones: int,
        entries: int,
        log_dir: Path,
        base: int,
    ) -> None:
        names = ["north", "south", "west"][:zones]
        self.evidence = Evidence()
        self.applied: list[AppliedFault] = []
        self.problems: list[str] = []
        self.site = Site(names, log_dir, base, OPTIONS)
        self.site.callers = self._callers = Callers(self.site, seed)
        self.site.operators = self._operators = Operators(self.site, seed)
        self._planned = planned
        self._duration_s = duration_s
        self._entries = entries
        self._log_dir = log_dir
        self._faults = Group()
        self._watching = Group()

    def execute(self) -> None:
        """Run from the start of the processes to their end."""
        try:
            self._start()
            self._disturb()
            self._settle()
            self._gather()
        finally:
            self._watching.kill()
            self.site.close()

    def log_faults(self) -> list[str]:
        """Return the lines of the entries' logs that tell of a fault of the program."""
        lines = []
        for log in sorted(self._log_dir.glob("entry*.log")):
            text = log.read_text(errors="replace").splitlines()
            lines += [
                f"{log.name}: {line[:LOG_LINE_MAX_CHARS]}"
                for line in text
                if LOG_FAULT.search(line)
            ]
        return lines

    def _start(self) -> None:
        site = self.site
        site.start_platform()
        site.start_relay()
        for zone in site.zones:
            for first in range(0, len(SPEEDS), WORKERS_PER_PROCESS):
                site.start_workers(zone, SPEEDS[first : first + WORKERS_PER_PROCESS])
            site.start_upstream(zone)
            for _ in range(self._entries):
                site.add_next_entry(zone)
        site.wait_ready()
        self._operators.create({"name": SIDE_SERVICE, "workers": []})
        revision = self._operators.create(site.definition(SERVICE))
        site.wait_in_force(revision, IN_FORCE_TIMEOUT_S)
        gevent.sleep(WARM_UP_S)

    def _disturb(self) -> None:
        self._watching.spawn(self._operators.watch)
        self._watching.spawn(self.site.watch_processes)
        submitting = gevent.spawn(self._callers.run)
        began_s = time.monotonic()
        for planned in self._planned:
            gevent.sleep(max(0.0, began_s + planned.at_s - time.monotonic()))
            self._faults.spawn(self._apply, planned)
        gevent.sleep(max(0.0, began_s + self._duration_s - time.monotonic()))
        gevent.kill(submitting)
        self._faults.join(FAULT_END_TIMEOUT_S)
        if len(self._faults):
            self.problems.append(f"{len(self._faults)} faults did not end")

    def _apply(self, planned: PlannedFault) -> None:
        applied = AppliedFault(planned, self.site.pick_zone(planned), now_unix_ms())
        self.applied.append(applied)
        try:
            FAULT_KINDS[planned.kind].apply(self.site, planned)
        except Exception as error:  # noqa: BLE001 - a fault that fails must fail the run
            self.problems.append(f"fault {planned}: {error!r}")
        finally:
            applied.ended_unix_ms = now_unix_ms()

    def _settle(self) -> None:
        """Wait until all entries agree, submit what is unclear once more, and end all calls."""
        if not self._callers.join(CALLS_END_TIMEOUT_S):
            self.problems.append("callers did not end")
        until_s = time.monotonic() + CALM_TIMEOUT_S
        while not self._is_calm():
            if time.monotonic() > until_s:
                self.problems.append(f"not calm after {CALM_TIMEOUT_S} s: {self._unrest()}")
                break
            gevent.sleep(CALM_CHECK_S)
        self._callers.settle()
        gevent.sleep(LATE_STARTS_S)

    def _is_calm(self) -> bool:
        return not self._unrest()

    def _unrest(self) -> str:
        """Return what is not settled yet, empty where everything is."""
        live = self.site.live_entries()
        expected = {entry.http_address for entry in live}
        for entry in live:
            status = self._operators.status(entry)
            processes = status["processes"] if status else []
            seen = {p["member"]["http_address"] for p in processes if p["ready"]}
            if seen != expected:
                return f"{entry.http_address} sees {sorted(seen)}, live are {sorted(expected)}"
            if len({p["config_revision"] for p in processes}) > 1:
                return f"{entry.http_address} sees several revisions"
        return ""

    def _gather(self) -> None:
        evidence = self.evidence
        evidence.calls = [call_ for call_ in self._callers.calls if call_.ended_unix_ms]
        evidence.drains = self._operators.drains
        evidence.revisions = self._operators.revisions
        evidence.reverted = self._operators.reverted()
        zones = {a: zone for zone, group in self.site.workers.items() for a in group}
        zones |= {a: zone for zone, group in self.site.upstreams.items() for a in group}
        for drain in evidence.drains:
            zone = zones[drain.address]
            drain.blind_spans = blind_spans(self.applied, zone, len(self.site.zones))
        evidence.starts = [start for zone in self.site.zones for start in self._starts(zone)]
        evidence.runs = [run for group in self.site.upstreams.values() for run in _runs(group)]

    def _starts(self, zone: str) -> list[Start]:
        addresses = self.site.workers[zone]
        starts = []
        for number, address in enumerate(addresses):
            reader = addresses[number - number % WORKERS_PER_PROCESS]
            rows = call(reader, "GET", f"/record?worker={address}")[1]["starts"]
            starts += [Start(address, r["job"], r["index"], r["unix_ms"]) for r in rows]
        return starts


def _runs(addresses: list[str]) -> list[RequestRun]:
    return [
        RequestRun(address, row["key"], row["unix_ms"])
        for address in addresses
        for row in call(address, "GET", "/record")[1]["requests"]
    ]
