"""Benchmark of task placement: traces on real processes and on the ideal scheduler."""

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

__all__ = ["FAULTS", "ZONE", "PlacementBenchmark"]

ZONE = "north"
SERVICE = "placement"
ENTRY_COUNT = 3
SLOTS_PER_WORKER = 8
SLOWNESS_FACTORS = [0.7, 1.0, 1.4, 1.0, 0.8, 1.2, 1.0, 1.6] * 3
WORKERS_PER_PROCESS = 8
STRAGGLER_FACTOR = 4.0
KILL_AT_SHARE = 0.5
DELAY_AFTER_CONFIRM_S = 1.5
CONNECTIONS_PER_ENTRY = 600
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


FAULTS: dict[str, Callable[["PlacementBenchmark"], None]] = {}


def register_fault(
    function: Callable[["PlacementBenchmark"], None],
) -> Callable[["PlacementBenchmark"], None]:
    """Register the injection of a fault under the name of its function.

    ``entry_killed`` is injected halfway through the arrivals, every other fault at their start.
    """
    FAULTS[function.__name__] = function
    return function


@register_fault
def none(bench: "PlacementBenchmark") -> None:
    """Inject no fault."""


@register_fault
def straggler(bench: "PlacementBenchmark") -> None:
    """Make one worker slower by ``STRAGGLER_FACTOR``."""
    bench.set_worker_fault({"slow_factor": STRAGGLER_FACTOR})


@register_fault
def failing_worker(bench: "PlacementBenchmark") -> None:
    """Make one worker fail every task that it starts."""
    bench.set_worker_fault({"fail_all": True})


@register_fault
def entry_killed(bench: "PlacementBenchmark") -> None:
    """Kill one entry process."""
    bench.fleet.kill(bench.fleet.entries[-1])


class PlacementBenchmark:
    """Runs rows of the benchmark, each a job trace, on one fleet.

    Args:
        fleet: the processes; `start` starts them.
        scale: factor on all run times and deadlines.
        seed: seed of the job traces.
    """

    def __init__(self, fleet: Fleet, scale: float, seed: int) -> None:
        self.fleet = fleet
        self.scale = scale
        self.seed = seed
        self._faulty_worker = ""
        self._seen_starts: dict[str, int] = {}

    def start(self) -> None:
        """Start the platform, the workers and the entry processes and wait until they serve."""
        self.fleet.start_platform()
        for first in range(0, len(SLOWNESS_FACTORS), WORKERS_PER_PROCESS):
            self.fleet.start_workers(
                ZONE, SLOWNESS_FACTORS[first : first + WORKERS_PER_PROCESS], SLOTS_PER_WORKER
            )
        for number in range(ENTRY_COUNT):
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
        """Run one trace on the fleet and compare it with the ideal scheduler.

        The fault is removed at the end of the run.

        Args:
            workload: the workload that the trace is drawn from.
            load: offered work as a share of the capacity.
            fault_name: name of the fault in ``FAULTS``.
            policy: name of the placement policy.
            seconds: duration of the arrivals.
            deadline_ms: deadline of every job in milliseconds, before scaling.
        """
        self._confirm_definition(workload, policy)
        capacity = sum(SLOTS_PER_WORKER / slowness for slowness in SLOWNESS_FACTORS)
        trace = make_trace(workload, capacity, load, seconds, self.scale, self.seed)
        limit_ms = deadline_ms * self.scale
        self._read_new_starts()
        counters = self._read_waste_counters()
        used_s = self._read_cpu_s()
        answers = self._submit_all(trace, fault_name, seconds, limit_ms)
        cpu_s = sum(after_s - used_s[pid] for pid, after_s in self._read_cpu_s().items())
        ideal = ideal_responses_ms(trace, self._slowness(fault_name), SLOTS_PER_WORKER, limit_ms)
        gevent.sleep(0.3)
        started = Counter((start["job"], start["index"]) for start in self._read_new_starts())
        waste = _counter_increase(counters, self._read_waste_counters())
        row = make_row(trace, answers, ideal, started, waste, cpu_s, limit_ms)
        row.workload, row.load, row.fault, row.policy = workload.name, load, fault_name, policy
        self._remove_fault(fault_name)
        return row

    def set_worker_fault(self, fields: dict) -> None:
        """Inject a fault with these fields into the third worker."""
        self._faulty_worker = self.fleet.workers[ZONE][2]
        call(self._faulty_worker, "POST", "/faults", fields)

    def _confirm_definition(self, workload: Workload, policy: str) -> None:
        definition = self.fleet.definition(
            SERVICE, SLOTS_PER_WORKER, policy=policy, waste_weight=workload.waste_weight
        )
        revision = self.fleet.confirm_service(self.fleet.entries[0], definition)
        self.fleet.wait_in_force(revision)
        gevent.sleep(DELAY_AFTER_CONFIRM_S)

    def _submit_all(
        self,
        trace: list[TraceJob],
        fault_name: str,
        seconds: float,
        limit_ms: float,
    ) -> list[Answer]:
        caller = Caller([entry.http_address for entry in self.fleet.entries], CONNECTIONS_PER_ENTRY)
        injection_delay_s = seconds * KILL_AT_SHARE if fault_name == "entry_killed" else 0.0
        injection = gevent.spawn_later(injection_delay_s, FAULTS[fault_name], self)
        began_s = time.monotonic()
        greenlets = []
        for index, job in enumerate(trace):
            gevent.sleep(max(0.0, began_s + job.arrival_s - time.monotonic()))
            body = _job_body(job, limit_ms)
            key = new_key(ZONE)
            greenlets.append(gevent.spawn(caller.submit, key, body, index, limit_ms))
        gevent.joinall([*greenlets, injection])
        caller.close()
        return [greenlet.value for greenlet in greenlets]

    def _slowness(self, fault_name: str) -> list[float]:
        """Return the factor on run times of each worker that works under the fault."""
        slowness = list(SLOWNESS_FACTORS)
        if fault_name == "straggler":
            slowness[2] *= STRAGGLER_FACTOR
        if fault_name == "failing_worker":
            del slowness[2]
        return slowness

    def _remove_fault(self, fault_name: str) -> None:
        if self._faulty_worker:
            call(self._faulty_worker, "POST", "/faults", {"slow_factor": 1.0, "fail_all": False})
            self._faulty_worker = ""
        if fault_name == "entry_killed":
            killed: Entry = self.fleet.entries[-1]
            self.fleet.start_entry(killed)
            self.fleet.wait_ready([killed])

    def _read_cpu_s(self) -> dict[int, float]:
        """Return the processor time in seconds of each running entry process, by process id."""
        processes = [entry.process for entry in self.fleet.entries]
        return {p.pid: read_usage(p.pid).cpu_s for p in processes if p.poll() is None}

    def _read_new_starts(self) -> list[dict]:
        """Return the starts at all workers since the previous call."""
        starts = []
        for address in self.fleet.workers[ZONE]:
            seen = self._seen_starts.get(address, 0)
            rows = call(address, "GET", f"/record?after={seen}")[1]["starts"]
            self._seen_starts[address] = seen + len(rows)
            starts.extend(rows)
        return starts

    def _read_waste_counters(self) -> dict[str, Counter]:
        """Return the counters of wasted messages of each running entry process, by address."""
        counters_by_address = {}
        for entry in self.fleet.entries:
            if entry.process.poll() is None:
                counters = self.fleet.operator_call(entry, "GET", "/v1/counters")[1]
                wasted = {k: n for k, n in counters.items() if k.startswith(WASTE_COUNTERS)}
                counters_by_address[entry.http_address] = Counter(wasted)
        return counters_by_address


def _job_body(job: TraceJob, limit_ms: float) -> bytes:
    tasks = [
        {"kind": "check", "payload": f"run_ms={run:.1f}", "run_time_ms": declared}
        for run, declared in zip(job.run_times_ms, job.declared_run_times_ms, strict=True)
    ]
    body = {"service": SERVICE, "deadline_ms": limit_ms, "tasks": tasks}
    return msgspec.json.encode(body)


def _counter_increase(before: dict[str, Counter], after: dict[str, Counter]) -> Counter:
    """Return the increase of each counter, summed over the processes in ``after``."""
    total: Counter = Counter()
    for address, counters in after.items():
        total.update(counters)
        total.subtract(before.get(address, Counter()))
    return +total
