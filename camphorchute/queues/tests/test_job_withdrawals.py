"""Withdrawal of a job at its owner, with answers that are late, partial, lost or wrong."""

import gevent
import pytest

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.run_messages import (
    TaskResult,
    TaskResultKind,
    TasksFinished,
    WithdrawTasks,
)
from camphorchute.queues import JobOutcome
from camphorchute.queues.tests.test_queue_owner import Site, make_member
from camphorchute.runs.tests.scheduler_site import wait_until

DONE, NOT_STARTED = TaskResultKind.DONE, TaskResultKind.NOT_STARTED
LIMIT_MS = 60.0


def open_withdrawn_site(tasks, limit_ms=LIMIT_MS, **schedulers):
    """Return a site with a job that its owner has just withdrawn from its schedulers."""
    site = Site(start_limit_ms=limit_ms, **schedulers)
    site.submit(tasks)
    assert wait_until(lambda: withdrawals(site), 0.5)
    return site


def withdrawals(site):
    return sorted(
        (scheduler, message.dispatch)
        for scheduler, message in site.peers.sent
        if isinstance(message, WithdrawTasks)
    )


def answer(site, scheduler, started_tasks):
    message = TasksFinished("job1", [], started_tasks)
    site.owner.handle_tasks_finished(make_member(scheduler), message)
    gevent.sleep(0)


def give_back(site, scheduler, *indices):
    (run,) = site.owner._jobs.values()
    results = [
        TaskResult(0, index, 0, NOT_STARTED, dispatch=run.steps[0][index].dispatch)
        for index in indices
    ]
    site.owner.handle_tasks_finished(make_member(scheduler), TasksFinished("job1", results))


def is_refused_as_not_run(site):
    return isinstance(site.outcome, Refusal) and site.outcome.code is ResultCode.OVERLOADED


def test_job_that_nobody_started_is_refused_right_after_its_start_limit():
    """Such jobs were held until their deadline and ended as perhaps run."""
    site = open_withdrawn_site(4, h0=1, h1=1)
    assert [scheduler for scheduler, _ in withdrawals(site)] == ["h0", "h1"]
    assert all(dispatch > 0 for _, dispatch in withdrawals(site))
    (run,) = site.owner._jobs.values()
    for scheduler in ("h0", "h1"):
        indices = [n for n, task in enumerate(run.steps[0]) if task.scheduler_id == scheduler]
        give_back(site, scheduler, *indices)
        assert site.outcome is None
        answer(site, scheduler, 0)
    assert wait_until(lambda: site.outcome is not None, 0.1)
    assert is_refused_as_not_run(site)
    assert site.outcome.retry_after_ms > 0
    assert site.counts["queues.withdrawn"] == 1
    assert "queues.withdrawn_in_vain" not in site.counts


def test_returned_tasks_wait_for_all_answers_and_are_dispatched_again_if_one_has_started():
    """A task given back by one scheduler would start while another one gives back the rest."""
    site = open_withdrawn_site(4, h0=1, h1=1)
    site.take_start_commands()
    (run,) = site.owner._jobs.values()
    given_back = [n for n, task in enumerate(run.steps[0]) if task.scheduler_id == "h0"]
    give_back(site, "h0", *given_back)
    answer(site, "h0", 0)
    site.report("h0", 1)
    gevent.sleep(0.12)
    assert site.take_start_commands() == []
    answer(site, "h1", 2)
    assert wait_until(lambda: site.peers.sent, 0.5)
    assert site.take_start_commands() == [("h0", given_back, True)]
    assert site.outcome is None
    assert site.counts["queues.withdrawn_in_vain"] == 1


@pytest.mark.parametrize("event", ["one has started", "link lost"])
def test_tasks_that_are_dispatched_after_a_withdrawal_in_vain_have_time_to_start(event):
    """They had the start limit, which is over, and were sent to and fro until the deadline."""
    site = open_withdrawn_site(4, limit_ms=150.0, h0=0, h1=0)
    (run,) = site.owner._jobs.values()
    given_back = [n for n, task in enumerate(run.steps[0]) if task.scheduler_id == "h0"]
    give_back(site, "h0", *given_back)
    answer(site, "h0", 0)
    site.peers.sent.clear()
    if event == "link lost":
        site.owner.mark_scheduler_lost("h1")
    else:
        answer(site, "h1", 1)
    assert wait_until(lambda: site.peers.sent, 0.5)
    messages = [message for _, message in site.peers.sent]
    assert sorted(task.index for message in messages for task in message.tasks) == given_back
    assert all(message.start_within_ms > LIMIT_MS for message in messages)
    assert all(message.has_job_started for message in messages)


def test_tasks_that_come_back_after_another_scheduler_was_lost_have_time_to_start():
    """They went to and fro without a pause until the group of the lost scheduler had another."""
    site = Site(start_limit_ms=150.0, h0=0, h1=0)
    site.submit(4)
    site.owner.mark_scheduler_lost("h0")
    (run,) = site.owner._jobs.values()
    returned = [n for n, task in enumerate(run.steps[0]) if task.scheduler_id == "h1"]
    gevent.sleep(0.16)
    site.peers.sent.clear()
    give_back(site, "h1", *returned)
    assert wait_until(lambda: site.peers.sent, 0.5)
    assert withdrawals(site) == []
    ((_, message),) = site.peers.sent
    assert [task.index for task in message.tasks] == returned
    assert message.start_within_ms > LIMIT_MS


@pytest.mark.parametrize("event", ["nothing", "link lost", "answer only", "old result"])
def test_missing_results_never_prove_that_a_job_was_not_run(event):
    site = open_withdrawn_site(1, h0=1)
    if event == "link lost":
        site.owner.mark_scheduler_lost("h0")
    elif event == "answer only":
        answer(site, "h0", 0)
    elif event == "old result":
        late = TaskResult(0, 0, 0, NOT_STARTED, dispatch=9999)
        site.owner.handle_tasks_finished(make_member("h0"), TasksFinished("job1", [late]))
    gevent.sleep(0.1)
    (run,) = site.owner._jobs.values()
    assert site.outcome is None
    run.finish_by_s = 0.0
    run.changed.set()
    assert wait_until(lambda: site.outcome is JobOutcome.LOST, 0.5)
    is_over = event in ("link lost", "answer only")
    assert site.counts.get("queues.withdrawn_in_vain", 0) == is_over


def test_result_of_a_run_that_arrives_during_the_withdrawal_ends_it():
    site = open_withdrawn_site(2, h0=1)
    site.report_end("h0", DONE, 0)
    give_back(site, "h0", 1)
    site.report("h0", 1)
    assert wait_until(lambda: site.counts.get("queues.withdrawn_in_vain") == 1, 0.5)
    assert wait_until(lambda: ("h0", [1], True) in site.take_start_commands(), 0.5)
    site.report_end("h0", DONE, 1)
    assert wait_until(lambda: site.outcome is JobOutcome.DONE, 0.5)


def test_resend_of_a_job_that_is_being_withdrawn_gets_the_same_answer():
    site = open_withdrawn_site(1, h0=1)
    site.submit(1)
    assert site.counts["queues.joined"] == 1
    give_back(site, "h0", 0)
    answer(site, "h0", 0)
    assert wait_until(lambda: is_refused_as_not_run(site), 0.5)
    assert site.owner.open_job_count() == 0
    assert site.counts["queues.ended.not_run"] == 1
    site.take_start_commands()
    site.submit(1)
    assert len(site.take_start_commands()) == 1


def test_job_that_has_started_in_time_is_not_withdrawn():
    site = Site(start_limit_ms=LIMIT_MS, h0=1)
    site.submit(2)
    site.report_end("h0", DONE, 0)
    gevent.sleep(0.1)
    assert withdrawals(site) == []
