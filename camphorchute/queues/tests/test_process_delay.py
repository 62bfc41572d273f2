import math
import time

import msgspec
import pytest
from gevent.event import Event

from camphorchute.contracts import Refusal
from camphorchute.contracts.batch_job import BatchJob, BatchStep
from camphorchute.contracts.run_messages import TaskResult, TaskResultKind, TasksFinished
from camphorchute.queues import process_delay as module
from camphorchute.queues.job_run import JobOutcome, JobRun, TaskState
from camphorchute.queues.process_delay import SCHEDULERS_MAX, ProcessDelay
from camphorchute.queues.tests.test_queue_owner import DEMAND, QUEUE, Site, make_member
from camphorchute.runs.tests.scheduler_site import wait_until

DONE, NOT_STARTED = TaskResultKind.DONE, TaskResultKind.NOT_STARTED


@pytest.fixture
def clock(monkeypatch):
    now = [50.0]
    monkeypatch.setattr(module.time, "monotonic", lambda: now[0])
    return now


def make_run(clock, tasks=1, scheduler="h0"):
    """Return a job whose tasks were dispatched to a scheduler just now."""
    run = JobRun(BatchJob("job1", "text", (BatchStep(tasks, DEMAND, 100.0),)), QUEUE, clock[0] + 5)
    for task in run.steps[0]:
        task.state, task.scheduler_id, task.dispatch = TaskState.HANDED, scheduler, 3
        task.dispatched_s = clock[0]
    return run


def finish(delay, clock, *times, after_ms=200.0, scheduler="h0", end=DONE, dispatch=3):
    """Record the results of a job's tasks, each with its time in the backlog and its run time."""
    run = make_run(clock, len(times), scheduler)
    clock[0] += after_ms / 1000
    results = [
        TaskResult(0, index, 1, end, dispatch=dispatch, waited_ms=waited_ms, run_ms=run_ms)
        for index, (waited_ms, run_ms) in enumerate(times)
    ]
    delay.record_results(run, scheduler, results)


@pytest.mark.parametrize(
    ("times", "fields", "expected_ms", "impossible"),
    [
        ([(30, 100)], {}, 70.0, 0),
        ([(30, 100), (0, 80)], {}, 120.0, 0),
        ([(150, 0)], {"end": NOT_STARTED}, 50.0, 0),
        ([(100, 104)], {}, 0.0, 0),
        ([(30, 100)], {"dispatch": 2}, 0.0, 0),
        ([(None, None)], {}, 0.0, 0),
        ([(-1, 100)], {}, 0.0, 1),
        ([(0, -50)], {}, 0.0, 1),
        ([(0, 900)], {}, 0.0, 1),
        ([(math.nan, 10)], {}, 0.0, 1),
        ([(math.inf, 10)], {}, 0.0, 1),
        ([(-1, 100), (30, 100)], {}, 70.0, 1),
    ],
)
def test_delay_is_the_time_that_the_scheduler_does_not_account_for(
    clock, times, fields, expected_ms, impossible
):
    counted = []
    delay = ProcessDelay(counted.append)
    finish(delay, clock, *times, **fields)
    assert delay.scheduler_ms("h0") == pytest.approx(expected_ms, abs=0.1)
    assert counted == ["queues.impossible_times"] * impossible


def test_each_scheduler_has_its_own_delay_and_others_that_of_all_jobs(clock):
    delay = ProcessDelay(lambda name: None)
    for _ in range(10):
        finish(delay, clock, (0, 100), after_ms=500.0, scheduler="late")
    for _ in range(5):
        finish(delay, clock, (0, 100), after_ms=110.0, scheduler="fast")
    assert delay.expected_ms(["late"]) == pytest.approx(400.0)
    assert delay.expected_ms(["fast"]) < 15.0
    assert delay.expected_ms(["unknown"]) == pytest.approx(400.0)
    assert delay.scheduler_ms("unknown") == 0.0


def test_delay_is_forgotten_within_seconds_and_memory_is_bounded(clock):
    """A process that refuses all jobs for its delay would never learn that the delay is over."""
    delay = ProcessDelay(lambda name: None)
    for number in range(2 * SCHEDULERS_MAX):
        finish(delay, clock, (0, 100), after_ms=600.0, scheduler=f"h{number}")
    assert len(delay._by_scheduler) == SCHEDULERS_MAX
    assert delay.expected_ms(["h1"]) == pytest.approx(500.0)
    clock[0] += 15.0
    assert delay.expected_ms(["h1"]) < 25.0


@pytest.mark.parametrize(("after_ms", "expected_ms"), [(900.0, 560.0), (320.0, 0.0)])
def test_job_that_is_given_up_counts_with_the_time_it_had(clock, after_ms, expected_ms):
    """Only jobs with results were learned from, so the worst delays were never seen."""
    delay = ProcessDelay(lambda name: None)
    run = make_run(clock)
    run.expected_wait_ms = 40.0
    clock[0] += after_ms / 1000
    delay.record_given_up(run)
    assert delay.scheduler_ms("h0") == pytest.approx(expected_ms)


def test_results_of_an_older_version_have_no_times():
    decoded = msgspec.convert([0, 1, 1, 0, "", "", 7], TaskResult)
    assert (decoded.dispatch, decoded.waited_ms, decoded.run_ms) == (7, None, None)


def slow_down(site, scheduler, delay_ms):
    for _ in range(5):
        site.owner.admission.process_delay._add(
            make_run([time.monotonic()]), scheduler, delay_ms, 1, time.monotonic()
        )


def test_tasks_go_to_a_late_scheduler_only_where_others_have_no_room():
    """Half of the jobs waited for schedulers whose event loops were late by hundreds of ms."""
    site = Site(late=2, prompt=2)
    slow_down(site, "late", 300.0)
    site.submit(5)
    assert site.take_start_commands() == [("prompt", [0, 1, 2, 3], True), ("late", [4], True)]


@pytest.mark.parametrize(("delay_ms", "is_accepted"), [(20.0, True), (5000.0, False)])
def test_job_is_refused_for_the_delay_that_earlier_jobs_had(delay_ms, is_accepted):
    """The expected wait of jobs that ended at their deadline was near zero."""
    site = Site(h0=2)
    slow_down(site, "h0", delay_ms)
    job = BatchJob("job1", "text", (BatchStep(1, DEMAND, 100.0),))
    try:
        site.owner.admission.admit(job, QUEUE, 3000.0, Event())
        assert is_accepted
    except Refusal as refusal:
        assert not is_accepted
        assert refusal.retry_after_ms >= delay_ms
    assert site.counts.get("queues.refused.process_saturated", 0) == (not is_accepted)


def test_predicted_and_actual_times_are_counted_for_each_queue():
    site = Site(h0=2)
    site.submit(1)
    (task,) = next(iter(site.owner._jobs.values())).steps[0]
    result = TaskResult(0, 0, 1, DONE, dispatch=task.dispatch, waited_ms=0, run_ms=0)
    site.owner.handle_tasks_finished(make_member("h0"), TasksFinished("job1", [result]))
    assert wait_until(lambda: site.outcome is JobOutcome.DONE)
    assert site.counts["queues.predicted_ms.checks.under_128"] == 1
    assert site.counts["queues.actual_ms.checks.under_16"] == 1
    assert site.counts["queues.time_error_ms.checks.shorter_under_128"] == 1
