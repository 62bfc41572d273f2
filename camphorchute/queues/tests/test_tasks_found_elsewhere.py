"""Tasks that their scheduler did not start, as they may run for another owner of the same job."""

import gevent
import pytest

from camphorchute.contracts import Refusal
from camphorchute.contracts.run_messages import (
    RunPlace,
    StartTasks,
    TaskPlace,
    TaskResult,
    TaskResultKind,
    TasksFinished,
    TasksPlaced,
    WithdrawTasks,
)
from camphorchute.contracts.start_messages import KnownStart
from camphorchute.queues import JobOutcome, TaskState
from camphorchute.queues.tests.test_queue_owner import Site, make_member
from camphorchute.runs.tests.scheduler_site import wait_until

OWN_PLACE = RunPlace("w1", 100, "10.0.0.1:80", 1)
GROUP, WORKER = "south/flags/h9", "w9"
BOUND_MS = 15_000.0
LIMIT_MS = 60.0


def open_site(start_limit_ms=None, is_placed=True):
    """Return a site with a job of one task, which h0 was about to start on a worker of its own."""
    site = Site(start_limit_ms=start_limit_ms, h0=1)
    site.submit(1)
    if is_placed:
        task = task_of(site)
        message = TasksPlaced("job1", [TaskPlace(0, 0, task.dispatch, OWN_PLACE)])
        site.owner.handle_tasks_placed(make_member("h0"), message)
    site.peers.sent.clear()
    return site


def run_of(site):
    (run,) = site.owner._jobs.values()
    return run


def task_of(site):
    return run_of(site).steps[0][0]


def report(site, scheduler, end=TaskResultKind.MAY_RUN, run=1, **fields):
    result = TaskResult(0, 0, run, end, dispatch=task_of(site).dispatch, **fields)
    site.owner.handle_tasks_finished(make_member(scheduler), TasksFinished("job1", [result]))
    gevent.sleep(0)


def report_found(site, run=1, bound_ms=BOUND_MS):
    """Report that the task may run on a worker of another group, for another owner."""
    report(site, "h0", run=run, worker_id=WORKER, group=GROUP, bound_ms=bound_ms)


def start_commands(site):
    return [
        (receiver, message)
        for receiver, message in site.peers.sent
        if isinstance(message, StartTasks)
    ]


def next_command(site):
    assert wait_until(lambda: start_commands(site))
    return start_commands(site)[-1]


# Guards against a second run on a worker of this owner's choice.
@pytest.mark.parametrize("is_placed", [True, False])
@pytest.mark.parametrize("run", [1, 3])
@pytest.mark.parametrize("scheduled_after_s", [0.0, 0.2])
def test_task_goes_to_the_group_where_it_may_run_and_starts_nowhere_else(
    is_placed, run, scheduled_after_s
):
    site = open_site(is_placed=is_placed)
    site.report("h0", 2)
    if not scheduled_after_s:
        site.claim_holders[GROUP] = make_member("h9")
    report_found(site, run)
    gevent.sleep(scheduled_after_s)
    assert bool(start_commands(site)) == (not scheduled_after_s)
    site.claim_holders[GROUP] = make_member("h9")
    receiver, message = next_command(site)
    (command,) = message.tasks
    assert (receiver, message.group, message.hand_back_full) == ("h9", GROUP, False)
    assert (command.may_run, command.worker_id, command.run) == (True, WORKER, run + 1)
    assert command.last_place is None
    assert BOUND_MS - 1000 * scheduled_after_s - 100 < command.bound_ms <= BOUND_MS


# Guards against a start on a third worker after the scheduler of that group is lost in turn.
@pytest.mark.parametrize("is_heir_known", [True, False])
def test_bound_of_a_found_task_outlasts_the_loss_of_the_scheduler_that_it_was_sent_to(
    is_heir_known,
):
    site = open_site()
    site.claim_holders[GROUP] = make_member("h9")
    report_found(site)
    next_command(site)
    site.peers.sent.clear()
    site.claim_holders.clear()
    if is_heir_known:
        site.claim_holders[GROUP] = make_member("h8")
    site.owner.mark_scheduler_lost("h9")
    gevent.sleep(0.1)
    assert bool(start_commands(site)) == is_heir_known
    site.claim_holders[GROUP] = make_member("h8")
    receiver, message = next_command(site)
    (command,) = message.tasks
    assert (receiver, message.group) == ("h8", GROUP)
    assert (command.worker_id, command.may_run, command.run) == (WORKER, True, 2)
    assert command.bound_ms > 0


# "Not run" would let the caller send the job again while the run of the other owner goes on.
@pytest.mark.parametrize("is_withdrawing", [True, False])
@pytest.mark.parametrize(
    "end", [None, TaskResultKind.MAY_RUN, TaskResultKind.NOT_STARTED, TaskResultKind.NO_ROOM]
)
def test_job_of_a_found_task_is_not_refused_as_not_run(is_withdrawing, end):
    site = open_site(start_limit_ms=LIMIT_MS, is_placed=False)
    run = run_of(site)
    site.claim_holders[GROUP] = make_member("h9")
    if is_withdrawing:
        assert wait_until(lambda: run.withdrawing_from, 0.5)
    report_found(site)
    next_command(site)
    if end is not None:
        report(site, "h9", end)
    site.peers.sent.clear()
    gevent.sleep(2 * LIMIT_MS / 1000)
    assert not isinstance(site.outcome, Refusal)
    assert not any(isinstance(message, WithdrawTasks) for _, message in site.peers.sent)
    site.caller_gone.set()
    assert wait_until(lambda: site.outcome is JobOutcome.LOST)


# Guards against a job that is done twice: the bound went to no other scheduler with its end.
def test_bound_of_a_found_task_is_reported_when_its_job_is_lost():
    site = open_site()
    bound = []
    site.owner.report_bound = bound.extend
    report_found(site)
    site.caller_gone.set()
    assert wait_until(lambda: site.outcome is JobOutcome.LOST)
    (row,) = bound
    assert (row.task, row.worker_id, row.run) == ("job1.0.0.0", WORKER, 1)
    assert BOUND_MS - 1000 < row.bound_ms <= BOUND_MS


# An owner and a process with a stale claim sent each other a bound task without a pause.
def test_scheduler_that_returns_a_bound_task_is_asked_again_only_after_a_pause():
    site = open_site()
    site.claim_holders[GROUP] = make_member("h9")
    report_found(site)
    next_command(site)
    for _ in range(5):
        report(site, "h9", worker_id=WORKER, bound_ms=BOUND_MS)
    site.peers.sent.clear()
    report(site, "h9", worker_id=WORKER, bound_ms=BOUND_MS)
    gevent.sleep(0.02)
    assert start_commands(site) == []
    assert wait_until(lambda: start_commands(site), 0.5)


# Callers waited although the only worker where their task could start had left.
@pytest.mark.parametrize(
    ("is_listed", "bound_ms", "is_lost"),
    [
        (True, BOUND_MS, False),
        (False, BOUND_MS, True),
        (False, 500.0, False),
        (False, 0.0, False),
    ],
)
@pytest.mark.parametrize("has_scheduler", [True, False])
def test_job_ends_at_once_if_its_task_may_start_on_a_worker_that_has_left_only(
    is_listed, bound_ms, is_lost, has_scheduler
):
    site = open_site()
    site.owner.is_worker_listed = lambda worker_id: is_listed or worker_id != WORKER
    if has_scheduler:
        site.claim_holders[GROUP] = make_member("h9")
    report_found(site, bound_ms=bound_ms)
    gevent.sleep(0.05)
    assert (site.outcome is JobOutcome.LOST) == is_lost
    if not is_lost:
        assert site.outcome is None
        assert task_of(site).state in (TaskState.MAY_RUN, TaskState.HANDED)


# The scheduler of its group keeps a bound task whose worker has left until its time is over.
def test_job_ends_soon_after_the_only_worker_of_its_task_has_left():
    site = open_site()
    site.claim_holders[GROUP] = make_member("h9")
    listed = {WORKER}
    site.owner.is_worker_listed = listed.__contains__
    report_found(site)
    next_command(site)
    gevent.sleep(0.1)
    assert site.outcome is None
    listed.clear()
    assert wait_until(lambda: site.outcome is JobOutcome.LOST, 0.5)
    assert site.counts["queues.bound_worker_gone"] == 1


# Guards against two runs of a task: the process that the job is sent to again is the last one that
# knows of the first run, as a witness.
@pytest.mark.parametrize("is_known", [True, False])
def test_task_that_this_process_has_witnessed_for_another_owner_goes_to_its_place(is_known):
    site = Site(h0=1)
    site.claim_holders[GROUP] = make_member("h9")
    known = KnownStart("job1.0.0.0", WORKER, GROUP, 3, BOUND_MS, True)
    site.owner.find_start = {known.task: known}.get if is_known else lambda task: None
    site.submit(2)
    sent = {
        (receiver, message.group, task.index): task
        for receiver, message in start_commands(site)
        for task in message.tasks
    }
    assert ("h0", "north/flags/h0", 1) in sent
    assert (("h9", GROUP, 0) in sent) is is_known
    if is_known:
        task = sent["h9", GROUP, 0]
        assert (task.worker_id, task.may_run, task.run) == (WORKER, True, 4)
        assert BOUND_MS - 1000 < task.bound_ms <= BOUND_MS
