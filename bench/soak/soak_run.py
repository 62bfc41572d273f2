"""One soak run: start the processes, inject the faults, wait for recovery, collect records."""

import re
import time
from pathlib import Path

import gevent
from gevent.pool import Group

from bench.fleet import call
from bench.soak import back_end_faults, entry_faults, load_faults
from bench.soak.callers import Callers
from bench.soak.config_outages import AppliedFault, config_outage_spans
from bench.soak.operators import Operators
from bench.soak.records import RequestRun, SoakRecords, TaskStart
from bench.soak.schedule import FAULT_KINDS, PlannedFault
from bench.soak.soak_fleet import SERVICE, SIDE_SERVICE, SoakFleet, now_unix_ms

__all__ = ["FAULT_MODULES", "SoakRun"]

FAULT_MODULES = (back_end_faults, entry_faults, load_faults)
WORKER_SPEED_FACTORS = [1.0, 0.7, 1.4, 1.0]
WORKERS_PER_PROCESS = 2
WARM_UP_S = 1.0
IN_FORCE_TIMEOUT_S = 20.0
FAULT_END_TIMEOUT_S = 60.0
AGREEMENT_TIMEOUT_S = 30.0
AGREEMENT_CHECK_INTERVAL_S = 0.3
CALLS_END_TIMEOUT_S = 60.0
LATE_STARTS_WAIT_S = 2.0
LOG_ERROR_PATTERN = re.compile(r"InvariantBroken|invariant broken|[Tt]raceback")
LOG_LINE_MAX_CHARS = 1500
ENTRY_OPTIONS = {"suspect_ms": "2500", "heartbeat_ms": "500"}


class SoakRun:
    """One soak run of a fault schedule.

    Args:
        seed: seed of the callers and operators.
        planned: the faults to inject, sorted by start time.
        duration_s: seconds during which work is submitted.
        zones: number of availability zones.
        entries: number of entry VMs in each zone.
        log_dir: folder for logs.
        base: second byte of the loopback addresses, if no other run uses them.

    Attributes:
        records: the records of the run; complete once it has ended.
        applied_faults: the injected faults with their times.
        problems: one message for each failure of the run itself, such as a fault that raised.
        fleet: the processes.
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
        self.records = SoakRecords()
        self.applied_faults: list[AppliedFault] = []
        self.problems: list[str] = []
        self.fleet = SoakFleet(names, log_dir, base, ENTRY_OPTIONS)
        self.fleet.callers = self._callers = Callers(self.fleet, seed)
        self.fleet.operators = self._operators = Operators(self.fleet, seed)
        self._planned = planned
        self._duration_s = duration_s
        self._entries = entries
        self._log_dir = log_dir
        self._fault_greenlets = Group()
        self._watchers = Group()

    def execute(self) -> None:
        """Start the processes, run the schedule, collect the records and end the processes."""
        try:
            self._start()
            self._inject_faults()
            self._wait_until_stable()
            self._collect_records()
        finally:
            self._watchers.kill()
            self.fleet.close()

    def find_log_errors(self) -> list[str]:
        """Return the lines of the entries' logs that report a broken invariant or a traceback."""
        lines = []
        for log in sorted(self._log_dir.glob("entry*.log")):
            text = log.read_text(errors="replace").splitlines()
            lines += [
                f"{log.name}: {line[:LOG_LINE_MAX_CHARS]}"
                for line in text
                if LOG_ERROR_PATTERN.search(line)
            ]
        return lines

    def _start(self) -> None:
        fleet = self.fleet
        fleet.start_platform()
        fleet.start_proxy()
        for zone in fleet.zones:
            for first in range(0, len(WORKER_SPEED_FACTORS), WORKERS_PER_PROCESS):
                fleet.start_workers(zone, WORKER_SPEED_FACTORS[first : first + WORKERS_PER_PROCESS])
            fleet.start_upstream(zone)
            for _ in range(self._entries):
                fleet.add_next_entry(zone)
        fleet.wait_ready()
        self._operators.create_service({"name": SIDE_SERVICE, "workers": []})
        revision = self._operators.create_service(fleet.definition(SERVICE))
        fleet.wait_in_force(revision, IN_FORCE_TIMEOUT_S)
        gevent.sleep(WARM_UP_S)

    def _inject_faults(self) -> None:
        self._watchers.spawn(self._operators.watch_status)
        self._watchers.spawn(self.fleet.watch_processes)
        submitting = gevent.spawn(self._callers.submit_continuously)
        began_s = time.monotonic()
        for planned in self._planned:
            gevent.sleep(max(0.0, began_s + planned.at_s - time.monotonic()))
            self._fault_greenlets.spawn(self._apply_fault, planned)
        gevent.sleep(max(0.0, began_s + self._duration_s - time.monotonic()))
        gevent.kill(submitting)
        self._fault_greenlets.join(FAULT_END_TIMEOUT_S)
        if len(self._fault_greenlets):
            self.problems.append(
                f"{len(self._fault_greenlets)} faults did not end in {FAULT_END_TIMEOUT_S} s"
            )

    def _apply_fault(self, planned: PlannedFault) -> None:
        applied = AppliedFault(planned, self.fleet.pick_zone(planned), now_unix_ms())
        self.applied_faults.append(applied)
        try:
            FAULT_KINDS[planned.kind].apply(self.fleet, planned)
        except Exception as error:  # noqa: BLE001 - a fault that fails must fail the run
            self.problems.append(f"fault {planned}: {error!r}")
        finally:
            applied.ended_unix_ms = now_unix_ms()

    def _wait_until_stable(self) -> None:
        """Wait until calls end and entries agree, then resubmit work of unclear fate."""
        if not self._callers.join(CALLS_END_TIMEOUT_S):
            self.problems.append(f"calls still open after {CALLS_END_TIMEOUT_S} s")
        until_s = time.monotonic() + AGREEMENT_TIMEOUT_S
        while not self._entries_agree():
            if time.monotonic() > until_s:
                self.problems.append(
                    f"entries disagree after {AGREEMENT_TIMEOUT_S} s: "
                    f"{self._describe_disagreement()}"
                )
                break
            gevent.sleep(AGREEMENT_CHECK_INTERVAL_S)
        self._callers.resubmit_unclear_work()
        gevent.sleep(LATE_STARTS_WAIT_S)

    def _entries_agree(self) -> bool:
        return not self._describe_disagreement()

    def _describe_disagreement(self) -> str:
        """Return how the status of an entry differs from the live entries; empty if none does."""
        live = self.fleet.live_entries()
        expected = {entry.http_address for entry in live}
        for entry in live:
            status = self._operators.read_status(entry)
            processes = status["processes"] if status else []
            seen = {p["member"]["http_address"] for p in processes if p["ready"]}
            if seen != expected:
                return (
                    f"{entry.http_address} reports the ready entries {sorted(seen)}, "
                    f"expected {sorted(expected)}"
                )
            if len({p["config_revision"] for p in processes}) > 1:
                return f"{entry.http_address} reports different configuration revisions"
        return ""

    def _collect_records(self) -> None:
        records = self.records
        records.calls = [call_ for call_ in self._callers.calls if call_.ended_unix_ms]
        records.drains = self._operators.drains
        records.revisions = self._operators.revisions
        records.reverted_changes = self._operators.find_reverted_changes()
        zones = {a: zone for zone, group in self.fleet.workers.items() for a in group}
        zones |= {a: zone for zone, group in self.fleet.upstreams.items() for a in group}
        for drain in records.drains:
            zone = zones[drain.address]
            drain.config_outage_spans = config_outage_spans(
                self.applied_faults, zone, len(self.fleet.zones)
            )
        records.starts = [start for zone in self.fleet.zones for start in self._read_starts(zone)]
        records.runs = [run for group in self.fleet.upstreams.values() for run in _read_runs(group)]

    def _read_starts(self, zone: str) -> list[TaskStart]:
        addresses = self.fleet.workers[zone]
        starts = []
        for number, address in enumerate(addresses):
            reader = addresses[number - number % WORKERS_PER_PROCESS]
            rows = call(reader, "GET", f"/record?worker={address}")[1]["starts"]
            starts += [TaskStart(address, r["job"], r["index"], r["unix_ms"]) for r in rows]
        return starts


def _read_runs(addresses: list[str]) -> list[RequestRun]:
    return [
        RequestRun(address, row["key"], row["unix_ms"])
        for address in addresses
        for row in call(address, "GET", "/record")[1]["requests"]
    ]
