import pytest

from camphorchute.contracts.batch_job import BatchJob, BatchStep
from camphorchute.contracts.resources import Resources
from camphorchute.contracts.run_messages import TaskResultKind
from camphorchute.queues import JobOutcome
from camphorchute.queues import done_jobs as module
from camphorchute.queues.done_jobs import DoneJobs
from camphorchute.queues.tests.test_queue_owner import Site
from camphorchute.runs.tests.scheduler_site import wait_until


def make_job(job_id="job1", payload="text", tasks=1):
    return BatchJob(job_id, payload, (BatchStep(tasks, Resources(1000), 10.0),))


@pytest.mark.parametrize(
    ("queue", "job", "is_included"),
    [
        ("checks", make_job(), True),
        ("stamps", make_job(), False),
        ("checks", make_job("job2"), False),
        ("checks", make_job(payload="other"), False),
        ("checks", make_job(tasks=2), False),
    ],
)
def test_only_the_same_job_of_the_same_queue_is_included(queue, job, is_included):
    done = DoneJobs()
    done.add("checks", make_job())
    assert done.includes(queue, job) is is_included


def test_jobs_are_forgotten_in_time_and_number(monkeypatch):
    monkeypatch.setattr(module, "JOBS_MAX", 3)
    now_s = [100.0]
    monkeypatch.setattr(module.time, "monotonic", lambda: now_s[0])
    done = DoneJobs()
    for number in range(5):
        done.add("checks", make_job(f"job{number}"))
    included = [number for number in range(5) if done.includes("checks", make_job(f"job{number}"))]
    assert included == [2, 3, 4]
    now_s[0] += module.RETENTION_S + 1
    assert not done.includes("checks", make_job("job4"))
    done.add("checks", make_job("job9"))
    assert len(done._done) == 1


def test_job_that_is_submitted_again_after_a_lost_answer_is_not_run_again():
    """A certificate was stamped twice for a caller whose answer had not arrived."""
    site = Site(h0=2)
    site.submit(2)
    site.take_start_commands()
    site.report_end("h0", TaskResultKind.DONE, 0, 1)
    assert wait_until(lambda: site.outcome is JobOutcome.DONE, 1.0)
    site.outcome = None
    site.submit(2)
    assert wait_until(lambda: site.outcome is JobOutcome.DONE, 1.0)
    assert site.take_start_commands() == []
    assert site.counts["queues.answered_again"] == 1


def test_job_that_has_failed_runs_when_it_is_submitted_again():
    site = Site(h0=2)
    site.submit(2)
    site.take_start_commands()
    site.report_end("h0", TaskResultKind.FAILED, 0)
    assert wait_until(lambda: site.outcome is not None, 1.0)
    site.submit(2)
    assert site.take_start_commands() != []
