"""A worker lists a limited number of completions; those that follow are hidden meanwhile."""

import gevent
import pytest

from camphorchute.contracts.durable_job_messages import AskKeptTasks, EndsSaved, SavedCompletion
from camphorchute.contracts.run_messages import ShardTerm, TaskResultKind
from camphorchute.runs import leased_worker, shard_of
from camphorchute.runs.tests.scheduler_site import JOB_ID, OWNER, wait_until

TERM = ShardTerm(shard_of(JOB_ID), 7)
DONE = TaskResultKind.DONE


@pytest.fixture
def model(open_model, monkeypatch):
    monkeypatch.setattr(leased_worker, "IDLE_POLL_INTERVAL_S", 0.05)
    return open_model(workers=1, run_s=0.1)


def save_all(model, count):
    saved = [SavedCompletion(f"{JOB_ID}.0.0.{index}", 1) for index in range(count)]
    model.schedulers[0].durable_tasks.acknowledge_saved(OWNER, EndsSaved(saved))


def known_workers(model):
    message = AskKeptTasks(TERM.shard, TERM.number)
    return model.schedulers[0].durable_tasks.report_tasks(OWNER, message).workers


# The end was hidden behind retained ones; the run counted as vanished and its task ran again.
def test_durable_run_that_a_full_list_lacks_does_not_count_as_ended(model):
    model.workers["w0"].listed_max = 2
    scheduler = model.add_scheduler(7)
    model.dispatch(scheduler, term=TERM, tasks=3, start_within_ms=9000.0, finish_within_ms=9000.0)
    assert wait_until(lambda: len(model.workers["w0"].runs) == 3)
    gevent.sleep(0.5)
    assert [result.end for result in model.results] == [DONE, DONE]
    assert model.counts["runs.completion_list_full"] > 0
    assert known_workers(model) == []
    save_all(model, 2)
    assert wait_until(lambda: [result.end for result in model.results] == [DONE] * 3)
    assert known_workers(model) == ["w0"]
    assert len(model.workers["w0"].runs) == 3


# Only the completion of the present run was retained; the owner never heard of the other one.
def test_completion_of_an_earlier_run_is_retained_beside_a_run_of_its_task(model):
    scheduler = model.add_scheduler(7)
    worker = model.workers["w0"]
    worker.start(f"{JOB_ID}.0.0.0", 1)
    gevent.sleep(0.12)
    model.dispatch(scheduler, term=TERM, run=2)
    assert wait_until(lambda: len(worker.runs) == 2)
    assert wait_until(lambda: model.results)
    gevent.sleep(0.2)
    message = AskKeptTasks(TERM.shard, TERM.number)
    report = scheduler.durable_tasks.report_tasks(OWNER, message)
    assert [(row.run, row.end) for row in report.tasks] == [(1, DONE), (2, DONE)]


# Best-effort jobs are served as before, whatever the store has of durable ones.
@pytest.mark.parametrize(("term", "expected"), [(TERM, 2), (None, 3)])
def test_no_durable_task_starts_on_a_worker_with_many_retained_completions(
    model, monkeypatch, term, expected
):
    monkeypatch.setattr(leased_worker, "LISTED_COMPLETIONS_MAX", 2)
    scheduler = model.add_scheduler(7)
    model.dispatch(scheduler, term=TERM, tasks=2)
    assert wait_until(lambda: len(model.results) == 2)
    model.dispatch(scheduler, term=term, run=5, tasks=1)
    gevent.sleep(0.4)
    assert len(model.workers["w0"].runs) == expected
    save_all(model, 2)
    assert wait_until(lambda: len(model.workers["w0"].runs) == 3)
