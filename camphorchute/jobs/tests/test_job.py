import pytest

from camphorchute.contracts import InvariantBroken, JobAnswer, JobKey, ResultCode
from camphorchute.jobs.job import Job
from camphorchute.jobs.tests.fakes import make_spec


@pytest.fixture
def job():
    job = Job(JobKey("k", ["north"]), make_spec(2), b"d", 1000.0)
    job.dispatch_task(0, "a-1", "b")
    return job


def test_the_complete_answer_lists_the_task_answers_in_order(job):
    job.dispatch_task(1, "a-2", "c")
    assert job.complete_task(1, "a-2", "second") and job.answer is None
    assert job.complete_task(0, "a-1", "first") and job.answer.answers == ["first", "second"]
    assert not job.is_open


def test_an_incomplete_answer_is_rejected(job):
    with pytest.raises(InvariantBroken):
        job.set_answer(JobAnswer("k", answers=["first"]))


@pytest.mark.parametrize("attempt", ["a-1", "", "a-9"])
def test_a_duplicate_or_mismatched_outcome_is_ignored(job, attempt):
    if attempt != "a-9":
        job.complete_task(0, "a-1", "first")
    assert not job.complete_task(0, attempt, "other")
    assert job.tasks[0].answer == ("first" if attempt != "a-9" else "")


def test_a_late_outcome_of_a_returned_attempt_is_ignored(job):
    assert job.return_task(0, "a-1")
    assert not job.complete_task(0, "a-1", "late")
    job.dispatch_task(0, "a-3", "c")
    assert not job.complete_task(0, "a-1", "late")
    assert not job.return_task(0, "a-1")
    assert job.complete_task(0, "a-3", "good")


def test_a_dispatched_task_cannot_be_dispatched_again(job):
    with pytest.raises(InvariantBroken):
        job.dispatch_task(0, "a-2", "c")


def test_a_failure_lists_the_tasks_that_may_have_run_and_is_final(job):
    job.fail(ResultCode.WORKER_LOST, "lost")
    job.fail(ResultCode.CANCELLED, "cancelled")
    assert job.answer.code == ResultCode.WORKER_LOST
    assert job.answer.tasks_maybe_run == [0] and job.answer.answers == []


def test_adopting_does_not_change_a_dispatched_task(job):
    job.adopt_task(0, "c")
    job.adopt_task(1, "c")
    assert job.tasks_dispatched_to("b") == [0] and job.tasks_dispatched_to("c") == [1]
    assert job.any_dispatched() and job.active_schedulers() == {"b", "c"}
