import gevent
import pytest

from camphorchute.contracts import JobKey, Refusal, ResultCode, TaskOutcome
from camphorchute.contracts.messages import FindTasks, FoundTasks, TasksReturned
from camphorchute.jobs import recovery
from camphorchute.jobs.job import Job, TaskState
from camphorchute.jobs.tests.fakes import B, OwnerHarness, make_spec
from camphorchute.workers.back_end import BackEndError, FoundAttempt


@pytest.fixture
def harness(monkeypatch):
    for name, value_ms in [
        ("SEARCH_TIMEOUT_MS", 60.0),
        ("SEARCH_INTERVAL_MS", 10.0),
        ("RETRY_INTERVAL_MS", 10.0),
    ]:
        monkeypatch.setattr(recovery, name, value_ms)
    harness = OwnerHarness()
    yield harness
    harness.owner.close()


@pytest.fixture
def job():
    """A job whose tasks 0 and 1 are dispatched to scheduler b; task 2 is pending."""
    job = Job(JobKey("k", ["north"]), make_spec(3), b"d", 2000.0)
    job.dispatch_task(0, "a-0", "b")
    job.dispatch_task(1, "a-1", "b")
    return job


def set_found_tasks_at_b(harness, ended=(), running=(), while_asking=lambda: None):
    def reply_found_tasks(scheduler, message):
        while_asking()
        outcomes = [TaskOutcome(i, code, f"answer {i}") for i, code in ended]
        return FoundTasks("k", outcomes, list(running))

    harness.peers.replies[FindTasks] = reply_found_tasks


def test_only_tasks_that_the_scheduler_does_not_hold_become_pending(harness, job):
    set_found_tasks_at_b(harness, ended=[(0, 0)])
    assert harness.recovery.recover_from_scheduler(job, B) == [1]
    assert harness.peers.requests_of(FindTasks)[0][1].attempts == ["a-0", "a-1"]
    assert [task.state for task in job.tasks] == [
        TaskState.ENDED,
        TaskState.WAITING,
        TaskState.WAITING,
    ]


def test_running_tasks_stay_with_their_scheduler(harness, job):
    set_found_tasks_at_b(harness, running=[0, 1])
    assert harness.recovery.recover_from_scheduler(job, B) == []
    assert job.tasks_dispatched_to("b") == [0, 1]


# Guards against a task in two places: in the backlog and, by a late reply, at its scheduler.
def test_a_task_returned_while_the_scheduler_is_asked_stays_pending(harness, job):
    def reply_after_return(scheduler, message):
        returned = TasksReturned("k", ["a-0"], int(ResultCode.NO_SLOT))
        harness.dispatcher.requeue_returned_tasks(job, B, returned)
        return FoundTasks("k", [], [0, 1], ["a-0", "a-1"])

    harness.peers.replies[FindTasks] = reply_after_return
    assert harness.recovery.recover_from_scheduler(job, B) == []
    assert job.pending_tasks() == [0, 2]
    assert job.tasks_dispatched_to("b") == [1]
    assert not job.returned_attempts


def test_a_task_dispatched_while_the_scheduler_is_asked_is_not_reclaimed(harness, job):
    set_found_tasks_at_b(
        harness, running=[0, 1], while_asking=lambda: job.dispatch_task(2, "a-2", "b")
    )
    assert harness.recovery.recover_from_scheduler(job, B) == []
    assert job.tasks_dispatched_to("b") == [0, 1, 2]


def test_concurrent_recoveries_reclaim_each_task_once(harness, job):
    def reply_found_tasks(scheduler, message):
        gevent.sleep(0.02)
        return FoundTasks("k", [], [])

    harness.peers.replies[FindTasks] = reply_found_tasks
    reclaimed = []

    def recover_and_dispatch():
        indices = harness.recovery.recover_from_scheduler(job, B)
        reclaimed.extend(indices)
        for index in indices:
            job.dispatch_task(index, f"again-{index}", "b")

    gevent.joinall([gevent.spawn(recover_and_dispatch), gevent.spawn(recover_and_dispatch)])
    assert sorted(reclaimed) == [0, 1]


def test_a_failed_task_found_at_the_scheduler_fails_the_recovery(harness, job):
    set_found_tasks_at_b(harness, ended=[(0, int(ResultCode.TASK_FAILED))])
    with pytest.raises(Refusal) as raised:
        harness.recovery.recover_from_scheduler(job, B)
    assert raised.value.code is ResultCode.TASK_FAILED


def test_an_unresponsive_scheduler_is_asked_until_the_job_ends(harness, job):
    harness.peers.unreachable = {"b"}
    gevent.spawn_later(0.05, job.fail, ResultCode.DEADLINE_PASSED, "")
    try:
        assert harness.recovery.recover_from_scheduler(job, B) == []
    except Refusal as refusal:
        assert refusal.code is ResultCode.DEADLINE_PASSED
    assert len(harness.peers.requests) > 1


def found_attempt(index, state="ended", ok=True, attempt_id=None):
    return FoundAttempt(attempt_id or f"a-{index}", index, state, ok, f"answer {index}")


@pytest.mark.parametrize(
    "found, code",
    [
        ([found_attempt(0), found_attempt(1)], None),
        ([found_attempt(0)], ResultCode.WORKER_LOST),
        ([], ResultCode.WORKER_LOST),
        ([found_attempt(0), found_attempt(1, attempt_id="other")], ResultCode.WORKER_LOST),
        ([found_attempt(0), found_attempt(1, ok=False)], ResultCode.TASK_FAILED),
    ],
)
def test_tasks_of_a_dead_scheduler_are_completed_from_the_workers_only(harness, job, found, code):
    harness.peers.unreachable = {"b"}
    harness.deaths.record_death(B)
    harness.found_attempts = found
    if code is None:
        assert harness.recovery.recover_from_scheduler(job, B) == []
        assert job.tasks[1].answer == "answer 1" and job.pending_tasks() == [2]
        return
    with pytest.raises(Refusal) as raised:
        harness.recovery.recover_from_scheduler(job, B)
    assert raised.value.code is code
    assert job.pending_tasks() == [2]


def test_recovery_waits_for_running_tasks_of_a_dead_scheduler(harness, job):
    harness.peers.unreachable = {"b"}
    harness.deaths.record_death(B)
    harness.found_attempts = [found_attempt(0, "running"), found_attempt(1, "running")]
    search = gevent.spawn(harness.recovery.recover_from_scheduler, job, B)
    gevent.sleep(0.1)
    assert not search.ready()
    harness.found_attempts = [found_attempt(0), found_attempt(1)]
    assert search.get(timeout=2) == [] and job.tasks_dispatched_to("b") == []


def test_a_failed_search_of_the_workers_is_retried(harness, job):
    harness.peers.unreachable = {"b"}
    harness.deaths.record_death(B)
    search_results = iter([BackEndError("down"), [found_attempt(0), found_attempt(1)]])

    def find_attempts(service, key):
        result = next(search_results)
        if isinstance(result, Exception):
            raise result
        return result

    harness.recovery._find_attempts = find_attempts
    assert harness.recovery.recover_from_scheduler(job, B) == []
    assert harness.counts["jobs.retry.find_attempts"] == 1
