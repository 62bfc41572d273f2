"""One row of the benchmark: a trace against real processes, and the ideal on the same trace."""

import time
from collections import Counter
from collections.abc import Callable

import gevent
import msgspec

from bench.fleet import Entry, Fleet, call
from bench.measure.caller import Answer, Caller
from bench.measure.ideal import ideal_responses_ms
from bench.measure.row import Row, make_row
from bench.measure.usage import read_usage
from bench.measure.workload import TraceJob, Workload, make_trace
from camphorchute.contracts import new_key

__all__ = ["FAULTS", "ZONE", "Bench"]

ZONE = "north"
SERVICE = "placement"
ENTRIES = 3
SLOTS = 8
SPEEDS = [0.7, 1.0, 1.4, 1.0, 0.8, 1.2, 1.0, 1.6] * 3
WORKERS_PER_PROCESS = 8
STRAGGLER_FACTOR = 4.0
KILL_AT_SHARE = 0.5
SETTLE_S = 1.5
CONNECTIONS = 600
WASTE_COUNTERS = (
    "home.start.refused.",
    "home.grant.lapsed",
    "home.answers.late",
    "home.answers.unmatched",
    "home.answers.doubled",
    "jobs.retry.",
    "jobs.grant_not_needed",
    "jobs.late_outcome",
    "jobs.doubled_outcome",
)


FAULTS: dict[str, Callable[["Bench"], None]] = {}


def fault(function: Callable[["Bench"], None]) -> Callable[["Bench"], None]:
    """Add a fault to the registry: a kill comes half way, the others at the begin."""
    FAULTS[function.__name__] = function
    return function


@fault
def none(bench: "Bench") -> None:
    """No fault."""


@fault
def straggler(bench: "Bench") -> None:
    """One worker becomes slow."""
    bench.set_worker_fault({"slow_factor": STRAGGLER_FACTOR})


@fault
def failing_worker(bench: "Bench") -> None:
    """One worker fails all that it starts."""
    bench.set_worker_fault({"fail_all": True})


@fault
def entry_killed(bench: "Bench") -> None:
    """One entry process is killed."""
    bench.fleet.kill(bench.fleet.entries[-1])


class Bench:
    """The processes of the benchmark and the runs on them.

    Args:
        fleet: its processes; started by `start`.
        scale: factor on all run times and deadlines.
        seed: of the traces.
    """

    def __init__(self, fleet: Fleet, scale: float, seed: int) -> None:
        self.fleet = fleet
        self.scale = scale
        self.seed = seed
        self._faulty = ""
        self._seen_starts: dict[str, int] = {}

    def start(self) -> None:
        """Start the platform, the workers and the entry processes."""
        self.fleet.start_platform()
        for first in range(0, len(SPEEDS), WORKERS_PER_PROCESS):
            self.fleet.start_workers(ZONE, SPEEDS[first : first + WORKERS_PER_PROCESS], SLOTS)
        for number in range(ENTRIES):
            self.fleet.add_entry(ZONE, number + 1)
        self.fleet.wait_ready()

    def run(
        self,
        workload: Workload,
        load: float,
        fault_name: str,
        policy: str,
        seconds: float,
        deadline_ms: float,
    ) -> Row:
        """Run one row."""
        self._define(workload, policy)
        capacity = sum(SLOTS / slowness for slowness in SPEEDS)
        trace = make_trace(workload, capacity, load, seconds, self.scale, self.seed)
        limit_ms = deadline_ms * self.scale
        self._new_starts()
        counters = self._counters()
        used = self._cpu_s()
        answers = self._submit_all(trace, fault_name, seconds, limit_ms)
        cpu_s = sum(after_s - used[pid] for pid, after_s in self._cpu_s().items())
        ideal = ideal_responses_ms(trace, self._slowness(fault_name), SLOTS, limit_ms)
        gevent.sleep(0.3)
        started = Counter((start["job"], start["index"]) for start in self._new_starts())
        waste = _added(counters, self._counters())
        row = make_row(trace, answers, ideal, started, waste, cpu_s, limit_ms)
        row.workload, row.load, row.fault, row.policy = workload.name, load, fault_name, policy
        self._mend(fault_name)
        return row

    def set_worker_fault(self, fields: dict) -> None:
        """Set a fault of the third worker, or of the one that has a fault already."""
        self._faulty = self.fleet.workers[ZONE][2]
        call(self._faulty, "POST", "/faults", fields)

    def _define(self, workload: Workload, policy: str) -> None:
        definition = self.fleet.definition(
            SERVICE, SLOTS, policy=policy, waste_weight=workload.waste_weight
        )
        revision = self.fleet.confirm_service(self.fleet.entries[0], definition)
        self.fleet.wait_in_force(revision)
        gevent.sleep(SETTLE_S)

    def _submit_all(
        self,
        trace: list[TraceJob],
        fault_name: str,
        seconds: float,
        limit_ms: float,
    ) -> list[Answer]:
        caller = Caller([entry.http_address for entry in self.fleet.entries], CONNECTIONS)
        fault_at_s = seconds * KILL_AT_SHARE if fault_name == "entry_killed" else 0.0
        injection = gevent.spawn_later(fault_at_s, FAULTS[fault_name], self)
        began_s = time.monotonic()
        greenlets = []
        for number, job in enumerate(trace):
            gevent.sleep(max(0.0, began_s + job.at_s - time.monotonic()))
            body = _body(job, limit_ms)
            key = new_key(ZONE)
            greenlets.append(gevent.spawn(caller.submit, key, body, number, limit_ms))
        gevent.joinall([*greenlets, injection])
        caller.close()
        return [greenlet.value for greenlet in greenlets]

    def _slowness(self, fault_name: str) -> list[float]:
        slowness = list(SPEEDS)
        if fault_name == "straggler":
            slowness[2] *= STRAGGLER_FACTOR
        if fault_name == "failing_worker":
            del slowness[2]
        return slowness

    def _mend(self, fault_name: str) -> None:
        if self._faulty:
            call(self._faulty, "POST", "/faults", {"slow_factor": 1.0, "fail_all": False})
            self._faulty = ""
        if fault_name == "entry_killed":
            killed: Entry = self.fleet.entries[-1]
            self.fleet.start_entry(killed)
            self.fleet.wait_ready([killed])

    def _cpu_s(self) -> dict[int, float]:
        """Return the processor time of each entry process that runs."""
        processes = [entry.process for entry in self.fleet.entries]
        return {p.pid: read_usage(p.pid).cpu_s for p in processes if p.poll() is None}

    def _new_starts(self) -> list[dict]:
        """Return the starts at all workers since the last call."""
        starts = []
        for address in self.fleet.workers[ZONE]:
            seen = self._seen_starts.get(address, 0)
            rows = call(address, "GET", f"/record?after={seen}")[1]["starts"]
            self._seen_starts[address] = seen + len(rows)
            starts.extend(rows)
        return starts

    def _counters(self) -> dict[str, Counter]:
        """Return the counters of wasted messages of each process that runs."""
        found = {}
        for entry in self.fleet.entries:
            if entry.process.poll() is None:
                counters = self.fleet.operator_call(entry, "GET", "/v1/counters")[1]
                wasted = {k: n for k, n in counters.items() if k.startswith(WASTE_COUNTERS)}
                found[entry.http_address] = Counter(wasted)
        return found


def _body(job: TraceJob, limit_ms: float) -> bytes:
    tasks = [
        {"kind": "check", "payload": f"run_ms={run:.1f}", "run_time_ms": declared}
        for run, declared in zip(job.run_times_ms, job.declared_ms, strict=True)
    ]
    body = {"service": SERVICE, "deadline_ms": limit_ms, "tasks": tasks}
    return msgspec.json.encode(body)


def _added(before: dict[str, Counter], after: dict[str, Counter]) -> Counter:
    """Return what was counted in between, at the processes that still run."""
    total: Counter = Counter()
    for address, counters in after.items():
        total.update(counters)
        total.subtract(before.get(address, Counter()))
    return +total
