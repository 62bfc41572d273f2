"""Interference between tasks, on groups of fake workers with a clock of their own."""

import heapq
import random

import pytest

from camphorchute.contracts.resources import Resources
from camphorchute.contracts.run_messages import TaskToStart
from camphorchute.hosting import RunOutcome
from camphorchute.policies import DecisionPolicies, FailureTracker, WorkerSpeed
from camphorchute.runs import run as run_module
from camphorchute.runs import run_supervisor
from camphorchute.runs.job_tasks import JobTasks
from camphorchute.runs.neighbours import ENDED_RUNS_MAX, NeighbourHistory
from camphorchute.runs.run import PendingTask, Run
from camphorchute.runs.run_supervisor import RunSupervisor
from camphorchute.runs.tests.scheduler_site import GROUP, start_message, wait_until
from camphorchute.runs.worker_group import WorkerGroup
from camphorchute.runs.zone_availability import ZoneAvailability

DEMAND = Resources(8000, 64)
DECLARED_MS = 100.0

SHARES = {
    "whole run": ([("a", 0.0, 2.0)], {"a": (1.0, 1.0)}),
    "early part only": ([("a", 0.0, 1.3)], {"a": (1.0, 0.3)}),
    "later part only": ([("a", 1.5, 2.0)], {"a": (0.0, 0.5)}),
    "one after the other": ([("a", 0.0, 1.5), ("a", 1.5, 2.0)], {"a": (1.0, 1.0)}),
    "at the same time": ([("a", 0.0, 1.6), ("a", 0.0, 1.6)], {"a": (1.0, 0.6)}),
    "two kinds": ([("a", 0.0, 1.5), ("b", 1.0, 2.0)], {"a": (1.0, 0.5), "b": (1.0, 1.0)}),
    "ended at the start": ([("a", 0.0, 1.0)], {}),
}


@pytest.mark.parametrize(("others", "shares"), SHARES.values(), ids=SHARES)
def test_share_of_a_run_that_neighbours_were_beside(others, shares):
    history = NeighbourHistory()
    for kind, started_s, ended_s in others:
        history.record_end("w", kind, started_s, ended_s, 1.0, [("x", 0.5), ("run", 1.0)])
    found = history.record_end("w", "run", 1.0, 2.0, 1.0, [])
    assert {kind: (share.early, share.whole) for kind, share in found.items()} == {
        kind: pytest.approx(pair) for kind, pair in shares.items()
    }


def test_history_is_bounded_and_tells_when_it_is_incomplete():
    """A run whose early neighbours were dropped would count as one without them."""
    history = NeighbourHistory()
    for number in range(2 * ENDED_RUNS_MAX):
        history.record_end("w", "short", number, number + 1.0, 1.0, [("long", 0.0)])
    assert len(history._ended["w"].intervals) == ENDED_RUNS_MAX
    assert history.record_end("w", "long", 0.0, 2.0 * ENDED_RUNS_MAX, 1.0, []) is None
    assert len(history) == 0


class Clock:
    """Replaces the module ``time`` and the observation clock."""

    now_s = 100.0

    def monotonic(self):
        return self.now_s

    def unobserved_s(self):
        return 0.0


class Entry:
    def __init__(self, worker_id):
        self.worker_id = worker_id


class Worker:
    def __init__(self, number, speed):
        self.entry = Entry(f"w{number}")
        self.true_speed = speed
        self.speed = WorkerSpeed()
        self.failures = FailureTracker(random.Random(number))
        self.runs = {}
        self.free_capacity = Resources(16_000, 65_536)

    def can_start(self, task, now_s):
        return self.free_capacity.can_hold(task.message.demand)


class Site:
    """A group, its supervisor, and tasks that run as long as their kind and neighbours say."""

    def __init__(self, monkeypatch, policy, slowdown=1.0, workers=12, seed=1):
        self.clock, self.random, self.slowdown = Clock(), random.Random(seed), slowdown
        monkeypatch.setattr(run_supervisor, "time", self.clock)
        monkeypatch.setattr(run_module, "observation_clock", self.clock)
        self.counts = {}
        policies = DecisionPolicies(interference=policy)
        self.supervisor = RunSupervisor(policies, self.count)
        interference = self.supervisor.interference
        self.group = WorkerGroup(
            "g/service/0", "service", 1, policies, ZoneAvailability(), interference, self.count
        )
        speeds = (0.8, 1.0, 1.25)
        for number in range(workers):
            worker = Worker(number, speeds[number % 3])
            self.group.workers[worker.entry.worker_id] = worker
        self.ends, self.tasks, self.waited, self.shared = [], 0, 0, 0

    def count(self, name, number=1):
        self.counts[name] = self.counts.get(name, 0) + number

    def start(self, kind):
        """Start a task, and return its worker, None if there is no capacity."""
        message = start_message(estimate_ms=DECLARED_MS)
        message.kind, message.demand = kind, DEMAND
        message.job_id = f"job{self.tasks}"
        now_s = self.clock.now_s
        task = PendingTask("owner", message, TaskToStart(0, 1), now_s, self.tasks)
        task.job_tasks = JobTasks()
        self.tasks += 1
        worker = self.group.choose_worker(task, now_s)
        if worker is None:
            self.waited += 1
            return None
        others = {run.task.message.kind for run in worker.runs.values()}
        run = worker.runs[task.name] = Run(task, worker, 1, now_s)
        worker.free_capacity = worker.free_capacity.minus(DEMAND)
        run_ms = DECLARED_MS * self.random.lognormvariate(0.0, 0.34) / worker.true_speed
        run_ms *= 7.0 if self.random.random() < 0.03 else 1.0
        run_ms *= self.slowdown if kind == "slow" and "noisy" in others else 1.0
        # A noisy neighbour is assumed for the whole run, so that it needs no model of progress.
        run_ms *= 4.0 if kind == "noisy" else 1.0
        self.shared += {kind, *others} == {"slow", "noisy"}
        heapq.heappush(self.ends, (now_s + run_ms / 1000, self.tasks, run))
        return worker

    def play(self, seconds, tasks_per_s):
        until_s = self.clock.now_s + seconds
        while (next_s := self.clock.now_s + self.random.expovariate(tasks_per_s)) < until_s:
            self.end_until(next_s)
            self.start(self.random.choice(("slow", "slow", "slow", "noisy", "other")))
        return self

    def end_until(self, until_s):
        while self.ends and self.ends[0][0] <= until_s:
            self.clock.now_s, _, run = heapq.heappop(self.ends)
            del run.worker.runs[run.task.name]
            run.worker.free_capacity = run.worker.free_capacity.plus(DEMAND)
            workers = self.group.workers.values()
            self.supervisor.record_end(run.worker, run, RunOutcome.DONE, workers)
        self.clock.now_s = until_s


def test_pair_with_an_effect_is_found_and_kept_apart(monkeypatch):
    sites = {policy: Site(monkeypatch, policy, 2.0) for policy in ("off", "learned")}
    for site in sites.values():
        monkeypatch.setattr(run_supervisor, "time", site.clock)
        site.play(30.0, 40.0)
        site.shared = 0
        site.play(30.0, 40.0)
    assert sites["learned"].counts["runs.interference_found"] == 1
    assert sites["learned"].counts["runs.kept_apart"] > 50
    assert sites["learned"].shared < 0.5 * sites["off"].shared
    assert len(sites["off"].supervisor._neighbours) == 0
    assert "runs.kept_apart" not in sites["off"].counts


@pytest.mark.parametrize("tasks_per_s", [20.0, 60.0, 200.0])
@pytest.mark.parametrize("seed", range(3))
def test_load_without_an_effect_is_placed_as_with_the_policy_off(monkeypatch, tasks_per_s, seed):
    learned = Site(monkeypatch, "learned", seed=seed).play(60.0, tasks_per_s)
    off = Site(monkeypatch, "off", seed=seed).play(60.0, tasks_per_s)
    assert "runs.interference_found" not in learned.counts
    assert (learned.shared, learned.waited) == (off.shared, off.waited)


def test_task_starts_beside_a_conflicting_one_if_there_is_no_other_capacity(monkeypatch):
    site = Site(monkeypatch, "learned", 2.0).play(60.0, 40.0)
    site.end_until(site.clock.now_s + 10.0)
    assert site.counts["runs.interference_found"] == 1
    noisy = [site.start("noisy") for _ in range(12)]
    slow = [site.start("slow") for _ in range(12)]
    assert None not in noisy + slow


def test_worker_of_another_first_criterion_is_not_used_to_keep_tasks_apart(monkeypatch):
    """A task that would be late elsewhere is served better beside its neighbour."""
    site = Site(monkeypatch, "learned", 2.0).play(60.0, 40.0)
    site.end_until(site.clock.now_s + 10.0)
    fast, too_slow = list(site.group.workers.values())[:2]
    site.group.workers = {"fast": fast, "too slow": too_slow}
    fast.speed.value, too_slow.speed.value = 1.0, 0.3
    assert site.start("noisy") is fast
    assert site.start("slow") is fast


def test_speed_is_not_learned_from_runs_that_a_neighbour_explains(monkeypatch):
    """A worker with noisy neighbours counted as slow, and the effect as its usual speed."""
    site = Site(monkeypatch, "learned", 2.0).play(60.0, 40.0)
    site.end_until(site.clock.now_s + 10.0)
    worker = next(iter(site.group.workers.values()))
    site.group.workers = {"w0": worker}
    assert site.start("noisy") is site.start("slow") is worker
    runs_before = worker.speed.runs
    _, _, slow = max(site.ends, key=lambda end: end[2].task.message.kind)
    site.ends.remove(next(end for end in site.ends if end[2] is slow))
    site.clock.now_s += 0.2
    del worker.runs[slow.task.name]
    site.supervisor.record_end(worker, slow, RunOutcome.DONE, [worker])
    assert worker.speed.runs == runs_before


def test_scheduler_records_the_neighbours_of_runs_on_its_workers(open_site):
    site = open_site(workers=1, run_ms=20.0)
    scheduler = site.add_scheduler(7, policies=DecisionPolicies(interference="learned"))
    assert wait_until(lambda: any(w.synced for w in scheduler.group(GROUP).workers.values()))
    site.dispatch_tasks(scheduler, tasks=12, finish_within_ms=9000.0, start_within_ms=9000.0)
    assert wait_until(lambda: len(site.results) == 12)
    supervisor = scheduler._supervisor
    assert supervisor.interference._kinds["checks"].runs == 12
    assert len(supervisor._neighbours) == 0
