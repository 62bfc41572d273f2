import pytest

from camphorchute.contracts import InvariantBroken, JobAnswer, JobKey, ResultCode
from camphorchute.jobs.job import Job
from camphorchute.jobs.tests.fakes import spec


@pytest.fixture
def job():
    job = Job(JobKey("k", ["north"]), spec(2), b"d", 1000.0)
    job.hand(0, "a-1", "b")
    return job


def test_the_answer_is_whole_and_in_order(job):
    job.hand(1, "a-2", "c")
    assert job.end(1, "a-2", "second") and job.answer is None
    assert job.end(0, "a-1", "first") and job.answer.answers == ["first", "second"]
    assert not job.is_open


def test_a_part_of_an_answer_is_no_answer(job):
    with pytest.raises(InvariantBroken):
        job.finish(JobAnswer("k", answers=["first"]))


@pytest.mark.parametrize("attempt", ["a-1", "", "a-9"])
def test_a_doubled_or_crossed_outcome_is_dropped(job, attempt):
    if attempt != "a-9":
        job.end(0, "a-1", "first")
    assert not job.end(0, attempt, "other")
    assert job.tasks[0].answer == ("first" if attempt != "a-9" else "")


def test_the_late_end_of_an_attempt_that_was_taken_back_is_dropped(job):
    assert job.take_back(0, "a-1")
    assert not job.end(0, "a-1", "late")
    job.hand(0, "a-3", "c")
    assert not job.end(0, "a-1", "late")
    assert not job.take_back(0, "a-1")
    assert job.end(0, "a-3", "good")


def test_a_task_is_handed_on_once(job):
    with pytest.raises(InvariantBroken):
        job.hand(0, "a-2", "c")


def test_a_failure_lists_what_may_have_run_and_stands(job):
    job.fail(ResultCode.WORKER_LOST, "lost")
    job.fail(ResultCode.CANCELLED, "cancelled")
    assert job.answer.code == ResultCode.WORKER_LOST
    assert job.answer.tasks_maybe_run == [0] and job.answer.answers == []


def test_adopting_does_not_change_a_task_that_is_handed_on(job):
    job.adopt(0, "c")
    job.adopt(1, "c")
    assert job.handed_to("b") == [0] and job.handed_to("c") == [1]
    assert job.any_handed() and job.homes() == {"b", "c"}
