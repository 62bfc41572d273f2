import random
import time

import gevent
import pytest

from camphorchute.contracts.run_messages import TaskResultKind
from camphorchute.hosting import RunOutcome
from camphorchute.policies import DecisionPolicies, FailureTracker, WorkerSpeed
from camphorchute.runs import run as run_module
from camphorchute.runs.job_tasks import JobTasks
from camphorchute.runs.run import PendingTask, Run, RunState
from camphorchute.runs.run_supervisor import RunSupervisor
from camphorchute.runs.tests.scheduler_site import (
    GROUP,
    OWNER,
    block_event_loop,
    start_message,
    wait_until,
)


class FakeEntry:
    def __init__(self, worker_id):
        self.worker_id = worker_id


class FakeHealth:
    is_responsive = True


class LateClock:
    """An observation clock that has stood still for some time."""

    late_s = 0.0

    def unobserved_s(self):
        return self.late_s


class FakeWorker:
    """What a supervisor needs of a worker; a stopped run ends at once."""

    def __init__(self, worker_id):
        self.entry = FakeEntry(worker_id)
        self.health = FakeHealth()
        self.speed = WorkerSpeed()
        self.failures = FailureTracker(random.Random(1))
        self.runs = {}
        self.stopped = []

    def add_run(self, job_id, started_ago_ms, estimate_ms=100.0):
        """Add an active run of a job of its own, started some time ago."""
        now_s = time.monotonic()
        message = start_message(estimate_ms=estimate_ms, finish_within_ms=60_000.0)
        message.job_id = job_id
        task = PendingTask("owner", message, message.tasks[0], now_s, 1)
        task.job_tasks = JobTasks()
        run = Run(task, self, 1, now_s - started_ago_ms / 1000)
        run.state = RunState.RUNNING
        self.runs[task.name] = run
        return run

    def is_bound(self, run):
        return False

    def stop_run(self, run):
        run.stop_requested = True
        self.stopped.append(run)


def make_supervisor(starts=100):
    supervisor = RunSupervisor(DecisionPolicies(), lambda name, n=1: None)
    for _ in range(starts):
        supervisor.record_start()
    return supervisor


def complete_run(supervisor, worker, workers, took_ms=100.0):
    run = worker.add_run(f"job{random.random()}", took_ms)
    del worker.runs[run.task.name]
    supervisor.record_end(worker, run, RunOutcome.DONE, workers)


def test_runs_that_are_stopped_together_eject_their_worker_once():
    """Two overdue runs of one worker doubled its backoff before it was probed."""
    supervisor = make_supervisor()
    workers = [FakeWorker("w1"), FakeWorker("w2"), FakeWorker("w3")]
    for number in range(3):
        workers[0].add_run(f"hung{number}", started_ago_ms=2000.0)
    for worker in workers[1:]:
        complete_run(supervisor, worker, workers)
    now_s = time.monotonic()
    supervisor.stop_overdue_runs(workers, now_s)
    assert len(workers[0].stopped) == 3
    assert workers[0].failures.probe_at_ms - now_s * 1000 < 1300.0


def test_failed_probe_doubles_the_backoff():
    supervisor = make_supervisor()
    workers = [FakeWorker("w1"), FakeWorker("w2"), FakeWorker("w3")]
    workers[0].failures.eject(time.monotonic() * 1000 - 1500.0)
    run = workers[0].add_run("probe", started_ago_ms=100.0)
    now_s = time.monotonic()
    supervisor.record_end(workers[0], run, RunOutcome.FAILED, workers)
    assert workers[0].failures.probe_at_ms - now_s * 1000 > 1490.0


def start_stalled_worker(site):
    """Return a scheduler with a budget for restarts, and a worker that makes no progress."""
    scheduler = site.add_scheduler(7)
    assert wait_until(lambda: all(worker.fence == 7 for worker in site.fleet.workers))
    site.dispatch_tasks(scheduler, tasks=30, finish_within_ms=10_000.0, start_within_ms=9000.0)
    assert wait_until(lambda: len(site.results) == 30)
    site.results.clear()
    stalled = site.fleet.workers[0]
    stalled.faults.stall = True
    message = start_message(tasks=4)
    message.job_id = "other"
    scheduler.start_tasks(OWNER, message)
    return scheduler, stalled


def test_task_of_a_stalled_worker_starts_elsewhere_after_its_run_was_stopped(open_site):
    """Jobs were held until their deadline by one task on a worker that made no progress."""
    site = open_site(workers=2, run_ms=40.0)
    _, stalled = start_stalled_worker(site)
    assert wait_until(lambda: len(site.results) == 4, 1.5)
    assert set(site.outcomes().values()) == {TaskResultKind.DONE}
    assert "stopped" in {run.outcome for run in stalled.runs}
    assert site.fleet.overlapping_tasks() == []
    assert site.counts["runs.worker_ejected"] == 1


# Guards against ejections for a pause of this process, after which a stalled worker was kept
# because another one had been ejected.
@pytest.mark.parametrize("completed", [5, 9, 21])
def test_pause_of_the_process_ejects_no_worker(open_site, completed):
    site = open_site(workers=2, run_ms=40.0)
    scheduler = site.add_scheduler(7)
    assert wait_until(lambda: all(worker.fence == 7 for worker in site.fleet.workers))
    site.dispatch_tasks(scheduler, tasks=30, finish_within_ms=10_000.0, start_within_ms=9000.0)
    assert wait_until(lambda: len(site.results) >= completed)
    block_event_loop(0.2)
    assert wait_until(lambda: len(site.results) == 30)
    assert "runs.retry.overdue" not in site.counts
    assert "runs.worker_ejected" not in site.counts


def test_ejected_worker_returns_after_a_probe(open_site):
    site = open_site(workers=2, run_ms=40.0)
    scheduler, stalled = start_stalled_worker(site)
    (leased,) = [
        worker
        for worker in scheduler.group(GROUP).workers.values()
        if worker.entry.worker_id == stalled._worker_id
    ]
    assert wait_until(lambda: leased.failures.ejected, 1.5)
    assert site.counts["runs.worker_ejected"] == 1
    stalled.faults.stall = False
    for number in range(40):
        message = start_message(tasks=4)
        message.job_id = f"job{number}"
        scheduler.start_tasks(OWNER, message)
        gevent.sleep(0.15)
        if not leased.failures.ejected:
            break
    assert not leased.failures.ejected


def test_probe_is_overdue_by_the_time_that_its_task_takes_elsewhere():
    """A worker that made no progress counted as slow, so that its probes held their jobs longer."""
    supervisor = make_supervisor()
    workers = [FakeWorker("w1"), FakeWorker("w2"), FakeWorker("w3")]
    for _ in range(30):
        workers[0].speed.record_run(estimate_ms=100.0, run_time_ms=1000.0)
    workers[0].failures.eject(time.monotonic() * 1000 - 1500.0)
    probe = workers[0].add_run("probe", started_ago_ms=1000.0)
    supervisor.stop_overdue_runs(workers, time.monotonic())
    assert workers[0].stopped == [probe]


def test_run_on_a_worker_that_completes_others_is_not_stopped():
    """On quiet days tasks with a wrong estimate were stopped on healthy workers."""
    supervisor = make_supervisor()
    workers = [FakeWorker("w1"), FakeWorker("w2")]
    long_run = workers[0].add_run("long", started_ago_ms=500.0)
    long_run.task.job_tasks.record_ratio(1.0)
    complete_run(supervisor, workers[0], workers)
    supervisor.stop_overdue_runs(workers, time.monotonic())
    assert workers[0].stopped == []
    assert not workers[0].failures.ejected


@pytest.mark.parametrize(
    ("late_ms", "stopped"),
    [(0.0, True), (1000.0, False)],
    ids=["observed all the time", "late all the time"],
)
def test_run_is_not_overdue_for_time_in_which_this_process_was_late(monkeypatch, late_ms, stopped):
    """Runs of 12 ms were stopped after 150 ms in which this process had read no answer."""
    clock = LateClock()
    monkeypatch.setattr(run_module, "observation_clock", clock)
    supervisor, worker = make_supervisor(), FakeWorker("w0")
    run = worker.add_run("job1", started_ago_ms=1000.0)
    clock.late_s = late_ms / 1000
    supervisor.stop_overdue_runs([worker], time.monotonic())
    assert (worker.stopped == [run]) == stopped
    assert not (worker.failures.outcome_count and not stopped)


def test_learned_speed_leaves_out_time_in_which_this_process_was_late(monkeypatch):
    clock = LateClock()
    monkeypatch.setattr(run_module, "observation_clock", clock)
    supervisor, worker = make_supervisor(), FakeWorker("w0")
    run = worker.add_run("job1", started_ago_ms=1100.0)
    clock.late_s = 1.0
    supervisor.record_end(worker, run, RunOutcome.DONE, [worker])
    assert worker.speed.value > 0.9
