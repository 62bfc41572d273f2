"""A shard with fake collaborators, for the tests of its parts."""

from camphorchute.contracts.batch_job import BatchJob, BatchStep, QueueLimits
from camphorchute.contracts.durable_job_messages import EndsSaved, ReportedTask
from camphorchute.contracts.resources import Resources
from camphorchute.contracts.run_messages import (
    RunPlace,
    TaskPlace,
    TaskResult,
    TaskResultKind,
)
from camphorchute.durable_jobs import DurableJobRecord, JobWriter, job_key
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
from camphorchute.hosting import Queue
from camphorchute.queues import TaskState
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


def recovered(site):
    return JOB_ID in site.queue_owner.runs and site.job_run().is_recovered


def task_states(site):
    return [task.state for task in site.job_run().steps[0]]


def lose_run(site, run=1, worker="w1", index=0):
    """Report the loss of a run, as a scheduler does, and return the task."""
    job_run = site.job_run()
    task = job_run.steps[0][index]
    place = RunPlace(worker, run, f"{worker}:1", run, True, True)
    result = TaskResult(0, index, run, TaskResultKind.WORKER_LOST, place=place)
    job_run.record_lost_run(task, result)
    job_run.record_worker_lost(task, result)
    return task


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
