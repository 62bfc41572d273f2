import time

import gevent
import pytest

from camphorchute.cluster import WorkerFate
from camphorchute.contracts.batch_job import BatchJob, BatchStep, QueueLimits
from camphorchute.contracts.durable_job_messages import EndsSaved, KeptTasksAre, ReportedTask
from camphorchute.contracts.resources import Resources
from camphorchute.contracts.run_messages import (
    RunPlace,
    ShardTerm,
    StopTasks,
    TaskPlace,
    TaskResult,
    TaskResultKind,
)
from camphorchute.durable_jobs import DurableJobRecord, DurableJobState, JobWriter, job_key
from camphorchute.durable_jobs import shard as shard_module
from camphorchute.durable_jobs.shard import JobShard
from camphorchute.durable_jobs.shard_claims import PreviousOwner
from camphorchute.durable_jobs.shard_context import ShardContext
from camphorchute.durable_jobs.tests.fakes import (
    FakeLease,
    FakePeers,
    FakeQueueOwner,
    FakeStore,
    FakeView,
)
from camphorchute.hosting import Queue, StoredValue, StoreUnavailable, SwapUnknown
from camphorchute.queues import JobOutcome, TaskState
from camphorchute.runs import shard_of
from camphorchute.runs.tests.scheduler_site import wait_until

JOB_ID = "5c0e7a21d94b36f8"
SHARD = shard_of(JOB_ID)
QUEUE = Queue("checks", "", "", "flags", 0.0, QueueLimits(0, 2, 2.0, 60.0))
KEY = job_key(JOB_ID)
WORKERS = ["w1", "w2"]
TERM = 9
NOT_FOUND = TaskResult(0, 0, 1, TaskResultKind.NOT_FOUND)


def make_record(tasks=2, **fields):
    job = BatchJob(JOB_ID, "text", (BatchStep(tasks, Resources(100), 5.0),), True)
    new_record = DurableJobRecord.for_new_job(job, QUEUE)
    for name, value in fields.items():
        setattr(new_record, name, value)
    return new_record


def reported_task(index, end=None, run=1, worker="w1"):
    return ReportedTask(f"{JOB_ID}.0.0.{index}", "north/flags/0", run, worker, end)


class Site:
    """A shard with fake collaborators."""

    def __init__(self):
        self.store, self.lease, self.queue_owner = FakeStore(), FakeLease(), FakeQueueOwner()
        self.peers, self.view, self.counts = FakePeers(), FakeView(), {}
        self.writer = JobWriter(self.store, lambda: 0.001, self.count)
        self.writer.start()
        self.shards = []

    def count(self, name, n=1):
        self.counts[name] = self.counts.get(name, 0) + n

    def start_shard(self, term=TERM, previous_owner=PreviousOwner.RELEASED):
        context = ShardContext(
            self.store,
            self.writer,
            self.view,
            self.lease,
            self.queue_owner,
            self.peers,
            self.count,
        )
        shard = JobShard(SHARD, term, self.lease.lease_id, previous_owner, context)
        self.shards.append(shard)
        shard.start()
        return shard

    def put(self, job_record):
        return self.store.put(KEY, job_record.encode())

    def stored_record(self):
        return DurableJobRecord.decode(self.store.items[KEY].value)

    def job_run(self):
        return self.queue_owner.runs[JOB_ID]

    def complete(self, index, end, run=1):
        job_run = self.job_run()
        task = job_run.steps[0][index]
        task.scheduler_id = "scheduler"
        record_result = job_run.record_done if end is TaskResultKind.DONE else job_run.record_failed
        record_result(task, TaskResult(0, index, run, end, "w1"))

    def saved_tasks(self):
        return [
            end.task
            for message in self.peers.sent
            if isinstance(message, EndsSaved)
            for end in message.ends
        ]

    def close(self):
        for shard in self.shards:
            shard.close()
        self.writer.close()


@pytest.fixture
def site():
    opened = Site()
    opened.peers.reply = KeptTasksAre(WORKERS, [])
    yield opened
    opened.close()


def recovered(site):
    return JOB_ID in site.queue_owner.runs and site.job_run().is_recovered


def task_states(site):
    return [task.state for task in site.job_run().steps[0]]


def test_job_without_runs_is_dispatched_after_all_schedulers_were_queried(site):
    site.put(make_record())
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    assert task_states(site) == [TaskState.WAITING] * 2
    assert len(site.peers.requests) == 1
    assert site.stored_record().term == TERM


def test_nothing_is_dispatched_while_the_runs_of_a_worker_are_unreported(site):
    site.peers.reply = KeptTasksAre(["w1"], [])
    site.put(make_record())
    site.start_shard()
    assert not wait_until(lambda: recovered(site), 0.4)
    assert task_states(site) == [TaskState.UNKNOWN] * 2
    assert not site.job_run().may_dispatch()
    site.peers.reply = KeptTasksAre(WORKERS, [])
    assert wait_until(lambda: recovered(site))


# A worker of another service answered nobody, and no accepted job was started.
def test_tasks_do_not_wait_for_workers_of_other_services(site):
    site.view.workers["mail-1"] = "mailer"
    site.put(make_record())
    site.start_shard()
    assert wait_until(lambda: recovered(site), 1.0)
    assert task_states(site) == [TaskState.WAITING] * 2


# The first job of a shard waited for a listed worker that answered nobody, and was never started.
def test_jobs_of_a_shard_that_never_had_an_owner_wait_for_no_worker(site):
    site.peers.reply = KeptTasksAre([], [])
    site.put(make_record())
    site.start_shard(previous_owner=PreviousOwner.NONE)
    assert wait_until(lambda: recovered(site), 1.0)
    assert task_states(site) == [TaskState.WAITING] * 2


# Tasks that were reported waited, like all jobs of the shard, for a worker that answered nobody.
def test_reported_task_does_not_wait_for_the_runs_of_the_others(site):
    site.peers.reply = KeptTasksAre(["w1"], [reported_task(0)])
    site.put(make_record())
    site.start_shard()
    assert wait_until(lambda: recovered(site), 1.0)
    assert task_states(site) == [TaskState.MAY_RUN, TaskState.UNKNOWN]
    assert site.counts["keeping.wait.worker_unreported"] >= 1


# What was reported before a task became unknown again says nothing of its last run.
def test_task_that_becomes_unknown_again_during_a_query_waits_for_the_next_one(site):
    site.put(make_record())
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    task, rounds = site.job_run().steps[0][0], []

    def request(member, message, timeout_ms):
        rounds.append(task.state)
        if len(rounds) == 1:
            site.job_run().record_not_found(task, NOT_FOUND)
        return site.peers.reply

    site.peers.request = request
    site.job_run().record_not_found(task, NOT_FOUND)
    assert wait_until(lambda: task.state is TaskState.WAITING)
    assert rounds == [TaskState.UNKNOWN] * 2
    assert "keeping.loop_failed" not in site.counts


# A process that had just started claimed a shard before it knew the workers, and asked nobody.
def test_nothing_is_dispatched_before_the_workers_are_known(site):
    site.view.workers = {}
    site.peers.reply = KeptTasksAre(WORKERS, [reported_task(0, TaskResultKind.DONE)])
    site.put(make_record())
    site.start_shard()
    assert not wait_until(lambda: recovered(site), 0.4)
    site.view.workers = dict.fromkeys(WORKERS)
    assert wait_until(lambda: recovered(site))
    assert task_states(site) == [TaskState.DONE, TaskState.WAITING]


# The first worker of a group was not known to the owner yet, and its scheduler was not asked.
def test_scheduler_of_a_group_without_known_workers_is_queried(site):
    site.view.has_claim_only = True
    site.peers.reply = KeptTasksAre(WORKERS, [reported_task(0, TaskResultKind.DONE)])
    site.put(make_record())
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    assert task_states(site) == [TaskState.DONE, TaskState.WAITING]


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


def test_task_unknown_to_its_scheduler_waits_until_all_schedulers_were_queried(site):
    """Its worker had moved to another group with the unacknowledged completion; it ran twice."""
    site.put(make_record())
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    site.peers.reply = KeptTasksAre(WORKERS, [reported_task(0, TaskResultKind.DONE)])
    task = site.job_run().steps[0][0]
    task.state = TaskState.HANDED
    site.job_run().record_not_found(task, NOT_FOUND)
    assert task.state is TaskState.UNKNOWN
    assert wait_until(lambda: task.state is TaskState.DONE)
    assert wait_until(lambda: site.stored_record().done == [[0]])


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


def lose_run(site, run=1, worker="w1", index=0):
    """Report the loss of a run, as a scheduler does, and return the task."""
    job_run = site.job_run()
    task = job_run.steps[0][index]
    place = RunPlace(worker, run, f"{worker}:1", run, True, True)
    result = TaskResult(0, index, run, TaskResultKind.WORKER_LOST, place=place)
    job_run.record_lost_run(task, result)
    job_run.record_worker_lost(task, result)
    return task


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


# The next owner started tasks again whose worker was cut off with its scheduler, which went on with
# the runs.
@pytest.mark.parametrize("is_owner_new", [True, False])
@pytest.mark.parametrize(
    ("hidden_for_s", "unaccounted_for_s", "waits"),
    [(0.0, 0.0, True), (60.0, 0.0, True), (0.0, 60.0, True), (60.0, 60.0, False), (None, 0, False)],
)
def test_task_of_a_lost_scheduler_waits_while_its_worker_may_be_hidden(
    site, is_owner_new, hidden_for_s, unaccounted_for_s, waits
):
    if hidden_for_s is not None:
        site.view.hidden_since_s = time.monotonic() - hidden_for_s
    site.put(make_record(1))
    site.start_shard(previous_owner=[PreviousOwner.NONE, PreviousOwner.RELEASED][is_owner_new])
    assert wait_until(lambda: JOB_ID in site.queue_owner.runs)
    (task,) = site.job_run().steps[0]
    unaccounted_s = time.monotonic() - unaccounted_for_s
    if is_owner_new:
        assert wait_until(lambda: site.peers.requests)
        if task.state is TaskState.UNKNOWN:
            task.unaccounted_since_s = unaccounted_s
    else:
        task.state, task.scheduler_id, task.dispatch = TaskState.HANDED, "scheduler", 1
        task.mark_scheduler_lost(unaccounted_s, 13.0)
        site.job_run().record_worker_lost(task, NOT_FOUND)
    assert wait_until(lambda: task.state is TaskState.WAITING, 0.4) is not waits
    if waits:
        assert site.counts["keeping.wait.hidden_worker"] > 0
        site.view.hidden_since_s = task.unaccounted_since_s = time.monotonic() - 60.0
        assert wait_until(lambda: task.state is TaskState.WAITING)
    assert task.unaccounted_since_s is None


# The scheduler of the run is heard, so that no other one goes on with it.
def test_task_that_its_own_scheduler_lost_does_not_wait_for_hidden_workers(site):
    site.view.hidden_since_s = time.monotonic()
    site.put(make_record(1))
    site.start_shard(previous_owner=PreviousOwner.NONE)
    assert wait_until(lambda: JOB_ID in site.queue_owner.runs)
    task = lose_run(site)
    assert task.state is TaskState.UNKNOWN
    assert wait_until(lambda: task.state is TaskState.WAITING)


def start_suspect_run(site, number, worker="w2"):
    """Dispatch a task that lost a worker, and report where its scheduler is about to start it."""
    job_run = site.job_run()
    (task,) = job_run.steps[0]
    assert wait_until(lambda: task.state is TaskState.WAITING)
    assert wait_until(lambda: job_run.record_start(0, 0))
    task.state, task.scheduler_id, task.dispatch = TaskState.HANDED, "scheduler", number
    placed = TaskPlace(0, 0, number, RunPlace(worker, 100, f"{worker}:1", number))
    assert job_run.record_placement(task, "scheduler", placed)
    assert wait_until(lambda: site.stored_record().suspect_places == {"0.0": placed.place})


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
