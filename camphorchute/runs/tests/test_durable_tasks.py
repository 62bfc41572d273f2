import gevent
import pytest

from camphorchute.contracts.durable_job_messages import AskKeptTasks, EndsSaved, SavedCompletion
from camphorchute.contracts.run_messages import ShardTerm, StopTasks, TaskResultKind
from camphorchute.runs import (
    leased_worker,
    retained_ends,
    shard_of,
    unacknowledged_completions,
)
from camphorchute.runs.tests.scheduler_site import GROUP, JOB_ID, OWNER, SchedulerSite, wait_until

SHARD = shard_of(JOB_ID)
TERM = ShardTerm(SHARD, 7)
LATER_TERM = ShardTerm(SHARD, 9)
LOST = TaskResultKind.WORKER_LOST


@pytest.fixture
def open_site():
    opened = []

    def open_one(**fields):
        site = SchedulerSite(**fields)
        opened.append(site)
        scheduler = site.add_scheduler(7)
        assert wait_until(lambda: all(worker.fence == 7 for worker in site.fleet.workers))
        return site, scheduler

    yield open_one
    for site in opened:
        site.close()


def all_runs(site):
    return [run for worker in site.fleet.workers for run in worker.runs]


def request_report(scheduler, term=LATER_TERM):
    return scheduler.durable_tasks.report_tasks(OWNER, AskKeptTasks(term.shard, term.number))


def reported_tasks(scheduler):
    return sorted((row.task, row.run, row.end) for row in request_report(scheduler).tasks)


def test_completion_of_a_durable_task_is_acknowledged_once_it_is_saved(open_site):
    site, scheduler = open_site()
    site.dispatch_tasks(scheduler, tasks=2, term=TERM)
    assert wait_until(lambda: len(site.results) == 2)
    gevent.sleep(0.2)
    assert not any(run.acknowledged for run in all_runs(site))
    scheduler.durable_tasks.acknowledge_saved(
        OWNER, EndsSaved([SavedCompletion(f"{JOB_ID}.0.0.{n}", 1) for n in range(2)])
    )
    assert wait_until(lambda: all(run.acknowledged for run in all_runs(site)), 1.0)


def test_unsaved_completion_does_not_cause_polls_without_a_pause(open_site):
    """A worker that lists a completion answers immediately; it was polled a thousand times."""
    site, scheduler = open_site(workers=1, run_ms=300.0)
    site.dispatch_tasks(scheduler, tasks=1, term=TERM)
    assert wait_until(lambda: site.results)
    site.dispatch_tasks(scheduler, tasks=2, run=5, term=TERM)
    calls_before = site.fleet.workers[0].calls["/hold"]
    gevent.sleep(0.25)
    assert site.fleet.workers[0].calls["/hold"] - calls_before < 40


def test_failed_run_of_a_durable_task_is_reported_instead_of_retried(open_site):
    site, scheduler = open_site()
    for worker in site.fleet.workers:
        worker.faults.fail = True
    site.dispatch_tasks(scheduler, tasks=1, term=TERM)
    assert wait_until(lambda: site.results)
    assert [(result.end, result.run) for result in site.results] == [(TaskResultKind.FAILED, 1)]
    assert site.results[0].worker_id
    gevent.sleep(0.1)
    assert len(all_runs(site)) == 1


def test_active_run_outlives_its_shard_owner_and_a_pending_task_does_not(open_site):
    site, scheduler = open_site(workers=1, run_ms=300.0)
    site.dispatch_tasks(scheduler, tasks=3, term=TERM)
    assert wait_until(lambda: len(all_runs(site)) == 2)
    scheduler.drop_owner(OWNER.member_id)
    gevent.sleep(0.5)
    assert [run.outcome for run in all_runs(site)] == ["done", "done"]


# The tasks of a released shard had a living owner for their scheduler, so that nobody asked whether
# their jobs had been cancelled.
@pytest.mark.parametrize(
    ("released", "is_reported"),
    [
        (TERM, True),
        (LATER_TERM, True),
        (ShardTerm(SHARD, 6), False),
        (ShardTerm((SHARD + 1) % 32, 7), False),
        (None, False),
    ],
)
def test_run_of_a_released_shard_is_reported_until_its_next_owner_takes_it(
    open_site, released, is_reported
):
    site, scheduler = open_site(workers=1, run_ms=9000.0)
    reports = []
    scheduler.retained_ends.report = reports.extend
    site.dispatch_tasks(scheduler, tasks=3, term=TERM)
    assert wait_until(lambda: len(all_runs(site)) == 2)
    scheduler.durable_tasks.acknowledge_saved(OWNER, EndsSaved([], released))
    assert wait_until(lambda: bool(reports), 1.6) is is_reported
    assert {row.end for row in reports} == ({None} if is_reported else set())
    assert len(site.results) == is_reported  # the pending task
    site.dispatch_tasks(scheduler, tasks=2, run=2, term=LATER_TERM, may_run=True)
    scheduler.durable_tasks.acknowledge_saved(OWNER, EndsSaved([], TERM))
    reports.clear()
    assert not wait_until(lambda: bool(reports), 1.6)
    assert not any(run.ended_s for run in all_runs(site))


def test_new_shard_owner_receives_every_task_that_may_run(open_site):
    site, scheduler = open_site(workers=1, run_ms=300.0)
    site.dispatch_tasks(scheduler, tasks=3, term=TERM)
    assert wait_until(lambda: len(all_runs(site)) == 2)
    names = [f"{JOB_ID}.0.0.{index}" for index in range(3)]
    assert reported_tasks(scheduler) == [(name, 1, None) for name in names]
    assert set(request_report(scheduler).workers) == set(site.entries())
    assert request_report(scheduler, ShardTerm((SHARD + 1) % 32, 9)).tasks == []
    assert wait_until(lambda: len(site.results) == 3)
    assert reported_tasks(scheduler) == [(name, 1, TaskResultKind.DONE) for name in names]
    scheduler.durable_tasks.acknowledge_saved(
        OWNER, EndsSaved([SavedCompletion(name, 1) for name in names])
    )
    assert reported_tasks(scheduler) == []


def test_worker_that_was_not_polled_yet_is_not_reported_as_known(open_site):
    site, scheduler = open_site()
    scheduler.acquire_group(GROUP, "flags", 8)
    assert request_report(scheduler).workers == []
    assert wait_until(lambda: set(request_report(scheduler).workers) == set(site.entries()))


# Its entry had expired with the store's lease; it came back with a completion that nobody had seen.
def test_worker_that_was_never_polled_is_not_reported_as_known_while_it_is_unlisted(
    open_model,
):
    model = open_model(workers=2)
    model.workers["w1"].is_silent = True
    scheduler = model.add_scheduler(7)
    scheduler.set_workers(GROUP, model.entries(["w0"]), {})
    gevent.sleep(1.3)
    assert request_report(scheduler).workers == ["w0"]
    model.workers["w1"].is_silent = False
    scheduler.set_workers(GROUP, model.entries(), model.groups())
    assert wait_until(lambda: set(request_report(scheduler).workers) == {"w0", "w1"})


@pytest.mark.parametrize(("term", "is_accepted"), [(TERM, False), (LATER_TERM, True)])
def test_commands_of_a_superseded_shard_owner_are_refused(open_site, term, is_accepted):
    site, scheduler = open_site(run_ms=600.0)
    site.dispatch_tasks(scheduler, tasks=1, term=TERM)
    assert wait_until(lambda: len(all_runs(site)) == 1)
    request_report(scheduler, LATER_TERM)
    site.dispatch_tasks(scheduler, tasks=2, run=5, term=term)
    gevent.sleep(0.05)
    assert (len(all_runs(site)) == 2) is is_accepted
    scheduler.stop_tasks(OWNER, StopTasks(JOB_ID, term))
    gevent.sleep(0.1)
    assert all(run.outcome == "stopped" for run in all_runs(site)) is is_accepted


def test_durable_task_that_is_not_found_is_not_started_again(open_site):
    """Its worker had moved to another group and listed its completion as done."""
    site, scheduler = open_site()
    site.dispatch_tasks(scheduler, tasks=1, run=2, may_run=True, term=TERM, worker_id="elsewhere")
    assert wait_until(lambda: site.results)
    assert [result.end for result in site.results] == [TaskResultKind.NOT_FOUND]
    assert all_runs(site) == []


@pytest.mark.parametrize("is_saved", [True, False])
def test_unclaimed_completion_is_acknowledged_only_if_its_shard_owner_has_saved_it(
    open_site, monkeypatch, is_saved
):
    monkeypatch.setattr(unacknowledged_completions, "FIRST_REPORT_AFTER_MS", 100.0)
    monkeypatch.setattr(retained_ends, "CHECK_INTERVAL_MS", 50.0)
    monkeypatch.setattr(leased_worker, "IDLE_POLL_INTERVAL_S", 0.1)
    site, scheduler = open_site()
    reports = []

    def report(ends):
        reports.append([(end.task, end.run, end.end) for end in ends])
        if is_saved:
            saved = [SavedCompletion(end.task, end.run) for end in ends]
            scheduler.durable_tasks.acknowledge_saved(OWNER, EndsSaved(saved))

    scheduler.retained_ends.report = report
    site.dispatch_tasks(scheduler, tasks=1, term=TERM)
    assert wait_until(lambda: site.results)
    gevent.sleep(1.0)
    assert reports[0] == [(f"{JOB_ID}.0.0.0", 1, TaskResultKind.DONE)]
    assert (len(reports) == 1) is is_saved
    assert all(run.acknowledged for run in all_runs(site)) is is_saved
    assert bool(reported_tasks(scheduler)) is not is_saved


@pytest.mark.parametrize("is_durable", [True, False])
def test_completion_of_an_earlier_scheduler_is_acknowledged_immediately_unless_durable(
    open_site, is_durable
):
    """After a takeover the scheduler polled each of its workers 60 times a second for 10 s."""
    site, first = open_site(run_ms=150.0)
    site.dispatch_tasks(first, tasks=1)
    assert wait_until(lambda: len(all_runs(site)) == 1)
    first.close()
    second = site.add_scheduler(9)
    second.is_durable_job = lambda job_id: is_durable
    assert wait_until(lambda: all_runs(site)[0].outcome == "done")
    gevent.sleep(0.3)
    assert all_runs(site)[0].acknowledged is not is_durable


# The run was lost after its owner; the next owner started the task again as if nothing had been.
@pytest.mark.parametrize("is_owner_lost", [True, False])
def test_lost_run_is_reported_to_the_next_shard_owner(open_site, is_owner_lost):
    site, scheduler = open_site(workers=1, run_ms=5000.0)
    site.dispatch_tasks(scheduler, tasks=1, term=TERM, finish_within_ms=9000.0)
    assert wait_until(lambda: len(all_runs(site)) == 1)
    gevent.sleep(0.2)
    if is_owner_lost:
        scheduler.drop_owner(OWNER.member_id)
    site.fleet.workers[0].faults.hang = True
    assert wait_until(lambda: (f"{JOB_ID}.0.0.0", 1, LOST) in reported_tasks(scheduler), 4.0)


# An incarnation had listed its runs and then gone; a start command may have reached the next one.
def test_worker_whose_next_incarnation_is_not_listed_yet_is_not_reported_as_known(open_model):
    model = open_model(workers=2)
    scheduler = model.add_scheduler(7)
    assert wait_until(lambda: set(request_report(scheduler).workers) == {"w0", "w1"})
    model.workers["w1"].restart()
    scheduler.group(GROUP).workers["w1"].request_poll()
    assert wait_until(lambda: scheduler.group(GROUP).workers["w1"].has_ended)
    assert request_report(scheduler).workers == ["w0"]
