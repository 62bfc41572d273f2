import gevent
import pytest

from camphorchute.contracts.batch_job import BatchJob, BatchStep, QueueLimits
from camphorchute.contracts.kept_messages import EndsSaved, FoundTask, KeptTasksAre
from camphorchute.contracts.resources import Resources
from camphorchute.contracts.run_messages import StopTasks, TaskEnd, TaskResult
from camphorchute.hosting import Queue, StoredValue, StoreUnavailable
from camphorchute.keeping import JobWriter, KeptJob, KeptState, job_key
from camphorchute.keeping import shard as module
from camphorchute.keeping.shard import JobShard, ShardTools
from camphorchute.keeping.tests.fakes import FakeLease, FakeOwner, FakePeers, FakeStore, FakeView
from camphorchute.queues import TaskState
from camphorchute.runs import shard_of
from camphorchute.runs.tests.home_site import until

JOB_ID = "5c0e7a21d94b36f8"
SHARD = shard_of(JOB_ID)
QUEUE = Queue("checks", "", "", "flags", 0.0, QueueLimits(0, 2, 2.0, 60.0))
KEY = job_key(JOB_ID)
WORKERS = ["w1", "w2"]
TERM = 9


def record(tasks=2, **fields):
    job = BatchJob(JOB_ID, "text", (BatchStep(tasks, Resources(100), 5.0),), True)
    made = KeptJob.of(job, QUEUE)
    for name, value in fields.items():
        setattr(made, name, value)
    return made


def found(index, end=None, run=1, worker="w1"):
    return FoundTask(f"{JOB_ID}.0.0.{index}", "north/flags/0", run, worker, end)


class Site:
    """A shard with everything around it."""

    def __init__(self):
        self.store, self.lease, self.owner = FakeStore(), FakeLease(), FakeOwner()
        self.peers, self.view, self.counts = FakePeers(), FakeView(), {}
        self.writer = JobWriter(self.store, lambda: 0.001, self.count)
        self.writer.start()
        self.shards = []

    def count(self, name, n=1):
        self.counts[name] = self.counts.get(name, 0) + n

    def take(self, term=TERM, clean=True):
        tools = ShardTools(
            self.store,
            self.writer,
            self.view,
            self.lease,
            self.owner,
            self.peers,
            self.count,
        )
        shard = JobShard(SHARD, term, self.lease.lease_id, clean, tools)
        self.shards.append(shard)
        shard.start()
        return shard

    def put(self, made):
        return self.store.put(KEY, made.encode())

    def stored(self):
        return KeptJob.decode(self.store.items[KEY].value)

    def run(self):
        return self.owner.runs[JOB_ID]

    def end(self, index, end, run=1):
        job_run = self.run()
        task = job_run.steps[0][index]
        task.home_id = "home"
        note = job_run.note_done if end is TaskEnd.DONE else job_run.note_failed
        note(task, TaskResult(0, index, run, end, "w1"))

    def saved(self):
        return [end.task for m in self.peers.told if isinstance(m, EndsSaved) for end in m.ends]

    def close(self):
        for shard in self.shards:
            shard.close()
        self.writer.close()


@pytest.fixture
def site():
    opened = Site()
    opened.peers.answer = KeptTasksAre(WORKERS, [])
    yield opened
    opened.close()


def settled(site):
    return JOB_ID in site.owner.runs and site.run().settled


def states(site):
    return [task.state for task in site.run().steps[0]]


def test_job_without_runs_is_handed_out_after_every_home_was_asked(site):
    site.put(record())
    site.take()
    assert until(lambda: settled(site))
    assert states(site) == [TaskState.WAITING] * 2
    assert len(site.peers.asked) == 1
    assert site.stored().term == TERM


def test_nothing_is_handed_out_while_a_worker_is_not_heard_of(site):
    site.peers.answer = KeptTasksAre(["w1"], [])
    site.put(record())
    site.take()
    assert not until(lambda: settled(site), 0.4)
    assert states(site) == [TaskState.UNKNOWN] * 2
    assert not site.run().may_hand_out()
    site.peers.answer = KeptTasksAre(WORKERS, [])
    assert until(lambda: settled(site))


def test_next_keeper_waits_unless_the_last_one_has_stopped(site, monkeypatch):
    monkeypatch.setattr(module, "EARLIER_KEEPER_MS", 400.0)
    site.put(record())
    site.take(clean=False)
    assert not until(lambda: JOB_ID in site.owner.runs, 0.25)
    assert until(lambda: settled(site))


@pytest.mark.parametrize(
    ("rows", "expected", "done"),
    [
        ([found(0)], [TaskState.MAY_RUN, TaskState.WAITING], []),
        ([found(0, TaskEnd.DONE)], [TaskState.DONE, TaskState.WAITING], [0]),
        ([found(0, TaskEnd.FAILED)], [TaskState.WAITING, TaskState.WAITING], []),
        ([found(0, TaskEnd.FAILED), found(0, run=2)], [TaskState.MAY_RUN, TaskState.WAITING], []),
        ([found(0, run=2), found(0, TaskEnd.FAILED)], [TaskState.MAY_RUN, TaskState.WAITING], []),
        ([found(0), found(0, TaskEnd.DONE)], [TaskState.DONE, TaskState.WAITING], [0]),
        ([found(7)], [TaskState.WAITING, TaskState.WAITING], []),
    ],
)
def test_what_homes_know_of_tasks_is_taken_over(site, rows, expected, done):
    site.peers.answer = KeptTasksAre(WORKERS, rows)
    site.put(record())
    site.take()
    assert until(lambda: settled(site))
    assert states(site) == expected
    assert until(lambda: site.stored().done == [done])


def test_end_is_told_as_saved_after_the_store_has_it(site):
    site.put(record())
    site.take()
    assert until(lambda: settled(site))
    site.store.fail_with = [StoreUnavailable("down")]
    site.end(0, TaskEnd.DONE)
    gevent.sleep(0.2)
    assert site.saved() == []
    assert until(lambda: site.saved() == [f"{JOB_ID}.0.0.0"])
    assert site.stored().done == [[0]]


def test_job_is_shown_as_done_once_that_is_stored(site):
    site.put(record())
    shard = site.take()
    assert until(lambda: settled(site))
    assert shard.state_of(JOB_ID) == "queued"
    site.end(0, TaskEnd.DONE)
    assert shard.state_of(JOB_ID) == "active"
    site.end(1, TaskEnd.DONE)
    assert shard.state_of(JOB_ID) == "active"
    assert until(lambda: shard.state_of(JOB_ID) == "done")
    assert site.stored().state is KeptState.DONE


def test_job_has_failed_after_as_many_failed_runs_as_its_queue_allows(site):
    site.put(record())
    shard = site.take()
    assert until(lambda: settled(site))
    site.end(0, TaskEnd.FAILED, run=1)
    site.end(0, TaskEnd.FAILED, run=1)
    assert until(lambda: site.saved())
    assert shard.state_of(JOB_ID) != "failed"
    site.end(0, TaskEnd.FAILED, run=2)
    assert until(lambda: shard.state_of(JOB_ID) == "failed")


def test_write_of_the_last_keeper_seen_by_the_watch_keeps_its_progress(site):
    """The revision of such a write was taken over without what it said, and overwrote it."""
    site.put(record())
    shard = site.take()
    assert until(lambda: settled(site))
    revision = site.put(record(done=[[1]], term=4))
    shard.apply(StoredValue(KEY, record(done=[[1]], term=4).encode(), revision))
    assert states(site) == [TaskState.WAITING, TaskState.DONE]
    site.end(0, TaskEnd.DONE)
    assert until(lambda: site.stored().state is KeptState.DONE)


def test_late_write_of_the_last_keeper_fails_once_the_records_are_marked(site):
    revision = site.put(record())
    site.take()
    assert until(lambda: settled(site))
    late = gevent.spawn(_write, site.writer, record(done=[[0]]).encode(), revision)
    assert late.get(timeout=2.0) == "SwapLost"
    assert site.stored().done == [[]]


def test_keeper_that_was_followed_drops_the_job(site):
    site.put(record())
    shard = site.take()
    assert until(lambda: settled(site))
    revision = site.put(record(term=TERM + 1))
    shard.apply(StoredValue(KEY, record(term=TERM + 1).encode(), revision))
    assert site.owner.dropped == [JOB_ID]
    assert shard.state_of(JOB_ID) == ""


@pytest.mark.parametrize("how", ["lease", "close"])
def test_keeper_hands_nothing_out_once_its_claim_may_be_lost(site, how):
    site.put(record())
    shard = site.take()
    assert until(lambda: settled(site))
    assert site.run().may_hand_out()
    if how == "lease":
        site.lease.valid = False
    else:
        shard.close()
    assert not site.run().may_hand_out()


def test_cancelled_job_is_ended(site):
    site.put(record())
    shard = site.take()
    assert until(lambda: settled(site))
    site.put(record().ended(KeptState.CANCELLED))
    assert until(lambda: shard.state_of(JOB_ID) == "cancelled")
    assert not site.run().may_hand_out()


def test_runs_of_an_ended_job_are_stopped_and_their_ends_forgotten(site):
    other = next(f"{n:016x}" for n in range(1, 999) if shard_of(f"{n:016x}") == SHARD)
    site.put(record())
    site.store.put(job_key(other), record().ended(KeptState.CANCELLED).encode())
    rows = [
        FoundTask(f"{other}.0.0.0", "north/flags/0", 1, "w1"),
        FoundTask(f"{other}.0.0.1", "north/flags/0", 1, "w1", TaskEnd.DONE),
    ]
    site.peers.answer = KeptTasksAre(WORKERS, rows)
    site.take()
    assert until(lambda: settled(site))
    assert [m.job_id for m in site.peers.told if isinstance(m, StopTasks)] == [other]
    assert site.saved() == [f"{other}.0.0.1"]


def test_task_that_a_home_did_not_find_waits_until_every_home_was_asked(site):
    """Its worker had moved to another group and held its end as done; it was run again."""
    site.put(record())
    site.take()
    assert until(lambda: settled(site))
    site.peers.answer = KeptTasksAre(WORKERS, [found(0, TaskEnd.DONE)])
    task = site.run().steps[0][0]
    task.state = TaskState.HANDED
    site.run().note_not_found(task)
    assert task.state is TaskState.UNKNOWN
    assert until(lambda: task.state is TaskState.DONE)
    assert until(lambda: site.stored().done == [[0]])


def test_end_that_is_told_twice_is_not_saved_before_the_store_has_it(site):
    """A keeper that asked a home again had it acknowledge an end that was not stored yet."""
    site.put(record())
    site.take()
    assert until(lambda: settled(site))
    site.store.fail_with = [StoreUnavailable("down")] * 3
    site.peers.answer = KeptTasksAre(["w1"], [found(0, TaskEnd.DONE)])
    site.run().note_not_found(site.run().steps[0][0])
    gevent.sleep(0.35)
    assert site.counts["keeping.retry.find_tasks"] >= 2
    assert site.saved() == []
    assert until(lambda: f"{JOB_ID}.0.0.0" in site.saved(), 3.0)
    assert site.stored().done == [[0]]


def test_job_goes_on_when_a_task_is_found_to_be_done(site):
    """The next step of a job had not been started when another home told of the last end."""
    site.put(record())
    site.take()
    assert until(lambda: settled(site))
    task = site.run().steps[0][0]
    site.peers.answer = KeptTasksAre(WORKERS, [found(0, TaskEnd.DONE)])
    site.run().note_not_found(task)
    site.run().changed.clear()
    assert until(lambda: task.state is TaskState.DONE)
    assert until(site.run().changed.is_set)


def test_record_that_cannot_be_read_is_passed_over(site):
    site.store.put(KEY, b"{}")
    shard = site.take()
    assert until(lambda: site.counts.get("keeping.record_malformed"))
    assert shard.state_of(JOB_ID) == ""


def test_records_of_ended_jobs_are_removed_after_a_while(site, monkeypatch):
    monkeypatch.setattr(module, "RETAIN_MS", 200.0)
    monkeypatch.setattr(module, "SWEEP_MS", 50.0)
    site.put(record().ended(KeptState.DONE))
    shard = site.take()
    assert until(lambda: shard.state_of(JOB_ID) == "done")
    assert until(lambda: site.store.items == {})
    assert shard.state_of(JOB_ID) == ""


def _write(writer, value, revision):
    try:
        return writer.write(KEY, value, revision)
    except Exception as error:  # noqa: BLE001 - the test looks at its type
        return type(error).__name__
