import gevent
import pytest

from camphorchute.contracts.durable_job_messages import EndsSaved, KeptTasksAre, ReportedTask
from camphorchute.contracts.run_messages import (
    RunPlace,
    ShardTerm,
    StopTasks,
    TaskPlace,
    TaskResult,
    TaskResultKind,
)
from camphorchute.durable_jobs import DurableJobState, job_key
from camphorchute.durable_jobs import shard as shard_module
from camphorchute.durable_jobs.shard_claims import PreviousOwner
from camphorchute.durable_jobs.tests.shard_site import (
    JOB_ID,
    KEY,
    NOT_FOUND,
    SHARD,
    TERM,
    WORKERS,
    make_record,
    recovered,
    reported_task,
    task_states,
)
from camphorchute.hosting import StoredValue, StoreUnavailable
from camphorchute.queues import TaskState
from camphorchute.runs import shard_of
from camphorchute.runs.tests.scheduler_site import wait_until


def test_next_owner_waits_unless_the_previous_one_released_the_shard(site, monkeypatch):
    monkeypatch.setattr(shard_module, "PREVIOUS_OWNER_EXPIRY_MS", 400.0)
    site.put(make_record())
    site.start_shard(previous_owner=PreviousOwner.LOST)
    assert not wait_until(lambda: JOB_ID in site.queue_owner.runs, 0.25)
    assert wait_until(lambda: recovered(site))


@pytest.mark.parametrize(
    ("reported", "expected", "done"),
    [
        ([reported_task(0)], [TaskState.MAY_RUN, TaskState.WAITING], []),
        ([reported_task(0, TaskResultKind.DONE)], [TaskState.DONE, TaskState.WAITING], [0]),
        ([reported_task(0, TaskResultKind.FAILED)], [TaskState.WAITING, TaskState.WAITING], []),
        (
            [reported_task(0, TaskResultKind.FAILED), reported_task(0, run=2)],
            [TaskState.MAY_RUN, TaskState.WAITING],
            [],
        ),
        (
            [reported_task(0, run=2), reported_task(0, TaskResultKind.FAILED)],
            [TaskState.MAY_RUN, TaskState.WAITING],
            [],
        ),
        (
            [reported_task(0), reported_task(0, TaskResultKind.DONE)],
            [TaskState.DONE, TaskState.WAITING],
            [0],
        ),
        ([reported_task(7)], [TaskState.WAITING, TaskState.WAITING], []),
    ],
)
def test_tasks_that_schedulers_report_are_recovered(site, reported, expected, done):
    site.peers.reply = KeptTasksAre(WORKERS, reported)
    site.put(make_record())
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    assert task_states(site) == expected
    assert wait_until(lambda: site.stored_record().done == [done])


def test_completion_is_reported_as_saved_after_it_is_stored(site):
    site.put(make_record())
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    site.store.errors_to_raise = [StoreUnavailable("down")]
    site.complete(0, TaskResultKind.DONE)
    gevent.sleep(0.2)
    assert site.saved_tasks() == []
    assert wait_until(lambda: site.saved_tasks() == [f"{JOB_ID}.0.0.0"])
    assert site.stored_record().done == [[0]]


def test_job_state_is_done_once_its_outcome_is_stored(site):
    site.put(make_record())
    shard = site.start_shard()
    assert wait_until(lambda: recovered(site))
    assert shard.job_state(JOB_ID) == "queued"
    site.complete(0, TaskResultKind.DONE)
    assert shard.job_state(JOB_ID) == "active"
    site.complete(1, TaskResultKind.DONE)
    assert shard.job_state(JOB_ID) == "active"
    assert wait_until(lambda: shard.job_state(JOB_ID) == "done")
    assert site.stored_record().state is DurableJobState.DONE


def dispatch(task, number):
    task.state, task.scheduler_id, task.dispatch = TaskState.HANDED, "scheduler", number


def place(job_run, task):
    placed = TaskPlace(0, 0, task.dispatch, RunPlace("w1", 100, "w1:1", task.run))
    assert job_run.record_placement(task, "scheduler", placed)


# Guards against a number of pending jobs that leaves out those which a scheduler holds, and counts
# those which it started after a wait.
@pytest.mark.parametrize("has_capacity", [True, False])
@pytest.mark.parametrize(
    ("is_placed", "is_returned", "is_again", "state"),
    [
        (False, False, False, "queued"),
        (True, False, False, "active"),
        (False, True, False, "queued"),
        (True, True, False, "queued"),
        (True, True, True, "active"),
    ],
)
def test_job_has_begun_once_a_task_is_placed(
    site, has_capacity, is_placed, is_returned, is_again, state
):
    site.put(make_record(tasks=1))
    shard = site.start_shard()
    assert wait_until(lambda: recovered(site))
    job_run = site.job_run()
    (task,) = job_run.steps[0]
    dispatch(task, 1)
    job_run.was_dispatched_with_capacity = has_capacity
    if is_placed:
        place(job_run, task)
    if is_returned:
        job_run.record_not_started(task, TaskResult(0, 0, 1, TaskResultKind.NOT_STARTED))
    if is_again:
        dispatch(task, 2)
        place(job_run, task)
    assert shard.job_state(JOB_ID) == state
    assert shard.count_queued_jobs() == ({"checks": 1} if state == "queued" else {})


def test_job_fails_after_as_many_failed_runs_as_its_queue_allows(site):
    site.put(make_record())
    shard = site.start_shard()
    assert wait_until(lambda: recovered(site))
    site.complete(0, TaskResultKind.FAILED, run=1)
    site.complete(0, TaskResultKind.FAILED, run=1)
    assert wait_until(lambda: site.saved_tasks())
    assert shard.job_state(JOB_ID) != "failed"
    site.complete(0, TaskResultKind.FAILED, run=2)
    assert wait_until(lambda: shard.job_state(JOB_ID) == "failed")


def test_progress_in_a_late_write_of_the_previous_owner_is_merged(site):
    """The shard adopted the revision of such a write but not its progress, then overwrote it."""
    site.put(make_record())
    shard = site.start_shard()
    assert wait_until(lambda: recovered(site))
    revision = site.put(make_record(done=[[1]], term=4))
    shard.apply_change(StoredValue(KEY, make_record(done=[[1]], term=4).encode(), revision))
    assert task_states(site) == [TaskState.WAITING, TaskState.DONE]
    site.complete(0, TaskResultKind.DONE)
    assert wait_until(lambda: site.stored_record().state is DurableJobState.DONE)


def test_late_write_of_the_previous_owner_fails_once_the_term_is_written(site):
    revision = site.put(make_record())
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    late_write = gevent.spawn(
        _write_or_error_name, site.writer, make_record(done=[[0]]).encode(), revision
    )
    assert late_write.get(timeout=2.0) == "SwapConflict"
    assert site.stored_record().done == [[]]


def test_superseded_owner_drops_the_job(site):
    site.put(make_record())
    shard = site.start_shard()
    assert wait_until(lambda: recovered(site))
    revision = site.put(make_record(term=TERM + 1))
    shard.apply_change(StoredValue(KEY, make_record(term=TERM + 1).encode(), revision))
    assert site.queue_owner.stopped_job_ids == [JOB_ID]
    assert shard.job_state(JOB_ID) == ""


@pytest.mark.parametrize("cause", ["lease", "close"])
def test_owner_dispatches_nothing_once_its_claim_may_be_lost(site, cause):
    site.put(make_record())
    shard = site.start_shard()
    assert wait_until(lambda: recovered(site))
    assert site.job_run().may_dispatch()
    if cause == "lease":
        site.lease.valid = False
    else:
        shard.close()
    assert not site.job_run().may_dispatch()


def test_cancelled_job_ends(site):
    site.put(make_record())
    shard = site.start_shard()
    assert wait_until(lambda: recovered(site))
    site.put(make_record().ended_record(DurableJobState.CANCELLED))
    assert wait_until(lambda: shard.job_state(JOB_ID) == "cancelled")
    assert not site.job_run().may_dispatch()


def test_runs_of_an_ended_job_are_stopped_and_completions_acknowledged(site):
    other_job_id = next(f"{n:016x}" for n in range(1, 999) if shard_of(f"{n:016x}") == SHARD)
    site.put(make_record())
    site.store.put(
        job_key(other_job_id), make_record().ended_record(DurableJobState.CANCELLED).encode()
    )
    reported = [
        ReportedTask(f"{other_job_id}.0.0.0", "north/flags/0", 1, "w1"),
        ReportedTask(f"{other_job_id}.0.0.1", "north/flags/0", 1, "w1", TaskResultKind.DONE),
    ]
    site.peers.reply = KeptTasksAre(WORKERS, reported)
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    assert [message.job_id for message in site.peers.sent if isinstance(message, StopTasks)] == [
        other_job_id
    ]
    assert site.saved_tasks() == [f"{other_job_id}.0.0.1"]


def test_completion_reported_twice_is_not_acknowledged_before_it_is_stored(site):
    """An owner that repeated its query had a completion acknowledged that was not stored yet."""
    site.put(make_record())
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    site.store.errors_to_raise = [StoreUnavailable("down")] * 3
    site.peers.reply = KeptTasksAre(["w1"], [reported_task(0, TaskResultKind.DONE)])
    for task in site.job_run().steps[0]:
        site.job_run().record_not_found(task, NOT_FOUND)
    gevent.sleep(0.35)
    assert site.counts["keeping.retry.find_tasks"] >= 2
    assert site.saved_tasks() == []
    assert wait_until(lambda: f"{JOB_ID}.0.0.0" in site.saved_tasks(), 3.0)
    assert site.stored_record().done == [[0]]


def test_job_continues_when_a_task_is_reported_as_done(site):
    """The next step was not started when another scheduler reported the last completion."""
    site.put(make_record())
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    task = site.job_run().steps[0][0]
    site.peers.reply = KeptTasksAre(WORKERS, [reported_task(0, TaskResultKind.DONE)])
    site.job_run().record_not_found(task, NOT_FOUND)
    site.job_run().changed.clear()
    assert wait_until(lambda: task.state is TaskState.DONE)
    assert wait_until(site.job_run().changed.is_set)


def test_malformed_record_is_counted_and_skipped(site):
    site.store.put(KEY, b"{}")
    shard = site.start_shard()
    assert wait_until(lambda: site.counts.get("keeping.record_malformed"))
    assert shard.job_state(JOB_ID) == ""


def test_records_of_ended_jobs_are_removed_after_the_retention_time(site, monkeypatch):
    monkeypatch.setattr(shard_module, "ENDED_JOB_RETENTION_MS", 200.0)
    monkeypatch.setattr(shard_module, "REMOVAL_INTERVAL_MS", 50.0)
    site.put(make_record().ended_record(DurableJobState.DONE))
    shard = site.start_shard()
    assert wait_until(lambda: shard.job_state(JOB_ID) == "done")
    assert wait_until(lambda: site.store.items == {})
    assert shard.job_state(JOB_ID) == ""


def _write_or_error_name(writer, value, revision):
    try:
        return writer.write(KEY, value, revision)
    except Exception as error:  # noqa: BLE001 - the test compares its type
        return type(error).__name__


# A job that was cancelled between the release and the next owner's reading was never stopped: that
# owner read an ended record, and the schedulers took the earlier one for the owner of its tasks.
@pytest.mark.parametrize(
    ("states", "expected"),
    [
        ([TaskState.HANDED, TaskState.WAITING], ["scheduler"]),
        ([TaskState.MAY_RUN, TaskState.HANDED], ["scheduler"]),
        ([TaskState.WAITING, TaskState.DONE], []),
    ],
)
def test_schedulers_are_told_that_a_shard_was_released(site, states, expected):
    site.put(make_record())
    shard = site.start_shard()
    assert wait_until(lambda: recovered(site))
    for task, state in zip(site.job_run().steps[0], states, strict=True):
        task.state, task.scheduler_id = state, "scheduler"
    shard.close()
    released = [message for message in site.peers.sent if isinstance(message, EndsSaved)]
    assert released == [EndsSaved([], ShardTerm(SHARD, TERM))] * len(expected)
