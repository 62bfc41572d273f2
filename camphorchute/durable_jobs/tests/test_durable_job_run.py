import gevent
import pytest

from camphorchute.cluster import WorkerFate
from camphorchute.contracts.durable_job_messages import KeptTasksAre
from camphorchute.contracts.run_messages import (
    RunPlace,
    TaskPlace,
    TaskResult,
    TaskResultKind,
)
from camphorchute.durable_jobs import DurableJobState
from camphorchute.durable_jobs.tests.shard_site import (
    JOB_ID,
    KEY,
    TERM,
    WORKERS,
    lose_run,
    make_record,
    recovered,
    reported_task,
    start_suspect_run,
    task_states,
)
from camphorchute.hosting import StoreUnavailable, SwapUnknown
from camphorchute.queues import JobOutcome, TaskState
from camphorchute.runs.tests.scheduler_site import wait_until


# A new owner of the shard started the task again as if it had never crashed a worker.
# Later each change of the owner counted a lost run of a task that was not started again, and the
# job was failed.
@pytest.mark.parametrize(("is_dispatched", "expected"), [(True, ["w1", ""]), (False, ["w1"])])
def test_lost_runs_are_known_to_the_next_owner(site, is_dispatched, expected):
    site.put(make_record(1))
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    task = lose_run(site)
    assert not task.lost_runs.is_stored()
    assert wait_until(task.lost_runs.is_stored)
    assert [place.worker_id for place in site.stored_record().lost_runs["0.0"]] == ["w1"]
    assert wait_until(lambda: task.state is TaskState.WAITING)
    if is_dispatched:
        assert wait_until(lambda: site.job_run().record_start(0, 0))
    for term in (TERM + 1, TERM + 2, TERM + 3):
        site.shards.pop().close()
        task = site.job_run().steps[0][0]
        site.start_shard(term)
        assert wait_until(lambda task=task: site.job_run().steps[0][0] is not task)
        assert wait_until(lambda: recovered(site))
        (task,) = site.job_run().steps[0]
        assert [place.worker_id for place in task.lost_runs.places()] == expected
        assert wait_until(task.lost_runs.is_stored)
        assert not is_dispatched or task.run == 3


# A task that its scheduler returned counted as started, and its next owner as lost.
@pytest.mark.parametrize("is_returned", [True, False])
def test_task_that_was_not_started_does_not_count_as_started(site, is_returned):
    site.put(make_record(1))
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    assert wait_until(lose_run(site).lost_runs.is_stored)
    job_run = site.job_run()
    assert wait_until(lambda: task_states(site) == [TaskState.WAITING])
    assert wait_until(lambda: job_run.record_start(0, 0))
    assert site.stored_record().suspect_runs == {"0.0": 2}
    if is_returned:
        returned = TaskResult(0, 0, 1, TaskResultKind.NO_ROOM)
        job_run.record_not_started(job_run.steps[0][0], returned)
    else:
        job_run.withdraw_start(0, 0)
    assert wait_until(lambda: site.stored_record().suspect_runs == {})


# Both the owner and the worker were lost, and the crash was known to the scheduler only.
@pytest.mark.parametrize("is_known", [True, False])
def test_lost_run_that_a_scheduler_reports_counts_once(site, is_known):
    place = RunPlace("w1", 100, "w1:1", 1, True, True)
    site.put(make_record(1, lost_runs={"0.0": [place]} if is_known else {}))
    last = RunPlace("w2", 100, "w2:1", 2, True, True) if is_known else place
    report = reported_task(0, TaskResultKind.WORKER_LOST, last.run, last.worker_id)
    report.place = last
    site.peers.reply = KeptTasksAre(WORKERS, [report])
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    (task,) = site.job_run().steps[0]
    assert (task.state, task.run) == (TaskState.WAITING, last.run + 1)
    assert task.lost_runs.places() == [place, last][not is_known :]
    assert wait_until(task.lost_runs.is_stored)


def test_lost_run_that_is_not_stored_yet_is_stored_again_after_an_error(site):
    site.put(make_record(1))
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    site.store.errors_to_raise = [StoreUnavailable("down"), StoreUnavailable("down")]
    task = lose_run(site)
    gevent.sleep(0.25)
    assert not task.lost_runs.is_stored()
    assert wait_until(task.lost_runs.is_stored)
    assert task.state is TaskState.WAITING


# The worker had only been silent; its completion was acknowledged though it was not stored.
def test_stored_loss_of_a_run_acknowledges_no_completion(site):
    site.put(make_record(1))
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    assert wait_until(lose_run(site).lost_runs.is_stored)
    gevent.sleep(0.1)
    assert site.saved_tasks() == []


def test_loss_that_is_reported_twice_counts_once(site):
    site.put(make_record(1))
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    task = [lose_run(site), lose_run(site)][0]
    assert wait_until(task.lost_runs.is_stored)
    assert len(task.lost_runs) == len(site.stored_record().lost_runs["0.0"]) == 1


@pytest.mark.parametrize(
    ("is_suspect", "is_dispatched", "expected"),
    [(True, True, 2), (True, False, 1), (False, False, 0)],
)
def test_run_that_is_lost_with_its_scheduler_counts_for_a_task_that_lost_a_worker(
    site, is_suspect, is_dispatched, expected
):
    site.put(make_record(1))
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    task = site.job_run().steps[0][0]
    if is_suspect:
        lose_run(site)
    assert wait_until(lambda: task.state is TaskState.WAITING)
    if is_dispatched:
        assert wait_until(lambda: site.job_run().record_start(0, 0))
    task.worker_id = ""
    not_found = TaskResult(0, 0, 2, TaskResultKind.NOT_FOUND)
    site.job_run().record_not_found(task, not_found)
    assert wait_until(lambda: task.state is TaskState.WAITING)
    assert (len(task.lost_runs) if task.lost_runs else 0) == expected


def end_in_store(site, how):
    """End the job as another process does: by a record with its outcome, or without any record."""
    if how is None:
        site.store.put(KEY, None)
    else:
        site.put(make_record().ended_record(how))


# The job never had an outcome for its owner, and its tasks ran on after the cancellation.
@pytest.mark.parametrize("how", [DurableJobState.CANCELLED, DurableJobState.FAILED, None])
@pytest.mark.parametrize(
    "errors",
    [[], [StoreUnavailable("down")], [SwapUnknown("lost")], [StoreUnavailable("down")] * 9],
)
def test_job_that_ends_while_its_record_is_being_saved_has_an_outcome(site, errors, how):
    site.put(make_record())
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    site.store.errors_to_raise = list(errors)
    site.complete(0, TaskResultKind.DONE)
    assert wait_until(lambda: len(site.store.errors_to_raise) < max(1, len(errors)))
    end_in_store(site, how)
    expected = JobOutcome.FAILED if how is DurableJobState.FAILED else JobOutcome.CANCELLED
    assert wait_until(lambda: site.job_run().current_outcome(0.0) is expected)
    site.complete(1, TaskResultKind.DONE)
    gevent.sleep(0.4)
    assert site.job_run().current_outcome(0.0) is expected
    assert not site.job_run().must_be_saved()


# Nobody stopped the tasks of a job whose record was removed without the owner having seen its end.
@pytest.mark.parametrize("is_seen_by_watch", [True, False])
def test_job_whose_record_is_removed_is_over_for_its_owner(site, is_seen_by_watch):
    site.put(make_record())
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    if not is_seen_by_watch:
        site.shards[0].apply_change = lambda change: None
    site.store.put(KEY, None)
    if not is_seen_by_watch:
        site.complete(0, TaskResultKind.DONE)
    assert wait_until(lambda: site.job_run().current_outcome(0.0) is JobOutcome.CANCELLED)
    assert site.shards[0].job_state(JOB_ID) == ""
    assert site.counts["keeping.record_vanished"] == 1


# The next owner could not tell that the worker of the run was up, so the run counted as a crash.
@pytest.mark.parametrize("is_withdrawn", [True, False])
def test_place_of_a_run_that_lapses_with_its_scheduler_is_known_to_the_next_owner(
    site, is_withdrawn
):
    site.put(make_record(1))
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    assert wait_until(lose_run(site).lost_runs.is_stored)
    start_suspect_run(site, 5)
    if is_withdrawn:
        site.job_run().withdraw_start(0, 0)
        assert wait_until(lambda: site.stored_record().suspect_places == {})
    earlier_task = site.job_run().steps[0][0]
    site.shards.pop().close()
    site.start_shard(TERM + 1)
    assert wait_until(lambda: site.job_run().steps[0][0] is not earlier_task)
    assert wait_until(lambda: recovered(site))
    (task,) = site.job_run().steps[0]
    expected = [("w1", 1)] if is_withdrawn else [("w1", 1), ("w2", 5)]
    assert [(place.worker_id, place.run) for place in task.lost_runs.places()] == expected
    assert is_withdrawn or task.run == 6


def test_fates_that_became_known_are_stored_with_the_next_start(site):
    site.put(make_record(1))
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    task = lose_run(site)
    assert wait_until(task.lost_runs.is_stored)
    task.lost_runs.evidence(lambda place, since_s: WorkerFate.ALIVE)
    start_suspect_run(site, 2)
    assert [place.is_cleared for place in site.stored_record().lost_runs["0.0"]] == [True]


def test_task_that_is_given_up_fails_its_job(site):
    site.put(make_record(1))
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    assert wait_until(lose_run(site).lost_runs.is_stored)
    site.job_run().give_up_task(0, 0)
    assert wait_until(lambda: site.stored_record().state is DurableJobState.FAILED)
    assert wait_until(lambda: site.shards[0].job_state(JOB_ID) == "failed")
    assert not site.job_run().may_dispatch()


def test_lost_runs_of_another_write_of_the_record_are_merged(site):
    site.put(make_record(1))
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    lost_runs = {"0.0": [RunPlace("w2", 2, "w2:1", 2)]}
    site.put(make_record(1, lost_runs=lost_runs, term=TERM))
    task = site.job_run().steps[0][0]
    assert wait_until(lambda: task.lost_runs is not None)
    assert [place.worker_id for place in task.lost_runs.places()] == ["w2"]
    lose_run(site, 3, "w3")
    assert wait_until(task.lost_runs.is_stored)
    assert [place.run for place in site.stored_record().lost_runs["0.0"]] == [2, 3]


@pytest.mark.parametrize("name", ["0.7", "9.0", "0", "x.y", ""])
def test_lost_runs_of_an_unknown_task_are_ignored(site, name):
    site.put(make_record(1, lost_runs={name: [RunPlace("w1", 1, "w1:1", 1)]}))
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    assert site.job_run().steps[0][0].lost_runs is None


@pytest.mark.parametrize(
    ("record", "end"),
    [
        ("record_not_found", TaskResultKind.NOT_FOUND),
        ("record_worker_lost", TaskResultKind.WORKER_LOST),
        ("record_failed", TaskResultKind.FAILED),
        ("record_not_started", TaskResultKind.NO_ROOM),
    ],
)
def test_place_is_forgotten_when_a_task_is_not_at_its_scheduler_any_more(site, record, end):
    site.put(make_record(1))
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    task = site.job_run().steps[0][0]
    task.state, task.scheduler_id, task.dispatch = TaskState.HANDED, "scheduler", 5
    place = RunPlace("w1", 100, "w1:1", 1)
    assert task.record_placement("scheduler", TaskPlace(0, 0, 5, place))
    getattr(site.job_run(), record)(task, TaskResult(0, 0, 1, end, "w1", place=place))
    assert (task.worker_id, task.place, task.bound_until_s) == ("", None, 0.0)
    assert wait_until(lambda: task.state is TaskState.WAITING)
    assert task.run == 2
