"""The stored record of a durable job."""

from enum import Enum

import msgspec

from camphorchute.contracts.batch_job import STEP_MAX_TASKS, BatchJob, QueueLimits
from camphorchute.contracts.run_messages import RunPlace
from camphorchute.contracts.stored_values import decode_json
from camphorchute.hosting import Queue
from camphorchute.runs import shard_of

__all__ = ["JOB_KEY_PREFIX", "DurableJobRecord", "DurableJobState", "job_key", "shard_key_prefix"]

JOB_KEY_PREFIX = "camphorchute-jobs/"


class DurableJobState(Enum):
    """Whether a job is open, or the outcome that it ended with."""

    OPEN = "open"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


class DurableJobRecord(msgspec.Struct, omit_defaults=True):
    """A job and its progress, as stored.

    Attributes:
        queue: name of the queue that accepted the job.
        service: name of the service whose workers run the job.
        limits: limits of the queue when it accepted the job.
        job: the job; None once it has ended.
        state: whether the job is open, or its outcome.
        done: indices of the tasks that are done, for each step.
        failed_runs: ``worker:run`` of each failed run, by task as ``step.index``.
        lost_runs: where the runs were that were lost with their workers, by task likewise.
        suspect_runs: number of the last run that a task with lost runs was dispatched for, by task
            likewise; written before the dispatch, and removed if the task was not started.
        suspect_places: where that run was about to start, by task likewise; written once the
            scheduler has said so.
        term: term of the shard owner that wrote the record; 0 until one has.

    Examples:
        >>> limits = QueueLimits(0, 3, 2.0, 60.0)
        >>> record = DurableJobRecord("checks", "flags", limits, state=DurableJobState.DONE)
        >>> DurableJobRecord.decode(record.encode()).queue
        'checks'
        >>> DurableJobRecord.decode(b"{}")
        Traceback (most recent call last):
        ...
        ValueError: malformed durable job record: Object missing required field `queue`
    """

    queue: str
    service: str
    limits: QueueLimits
    job: BatchJob | None = None
    state: DurableJobState = DurableJobState.OPEN
    done: list[list[int]] = []
    failed_runs: dict[str, list[str]] = {}
    lost_runs: dict[str, list[RunPlace]] = {}
    suspect_runs: dict[str, int] = {}
    suspect_places: dict[str, RunPlace] = {}
    term: int = 0

    @classmethod
    def for_new_job(cls, job: BatchJob, queue: Queue) -> "DurableJobRecord":
        """Return the record of a job that is being accepted.

        Args:
            job: the job.
            queue: the queue that accepts it.
        """
        return cls(queue.name, queue.service, queue.limits, job, done=[[] for _ in job.steps])

    @classmethod
    def decode(cls, value: bytes) -> "DurableJobRecord":
        """Return the record that the stored bytes encode.

        Raises:
            ValueError: the bytes are not a valid record.
        """
        try:
            record = decode_json(value, cls)
            record._check()
        except ValueError as error:
            raise ValueError(f"malformed durable job record: {error}") from error
        return record

    def _check(self) -> None:
        """Check what an open job is run by.

        Raises:
            ValueError: the job is missing, or has steps, tasks or limits that no job can have.
        """
        if self.state is not DurableJobState.OPEN:
            return
        steps = () if self.job is None else self.job.steps
        if not steps or len(self.done) > len(steps):
            raise ValueError("open without a job, or with more steps done than the job has")
        for number, step in enumerate(steps):
            if not 1 <= step.tasks <= STEP_MAX_TASKS:
                raise ValueError(f"step {number}: {step.tasks} tasks, at most {STEP_MAX_TASKS}")
            if any(not 0 <= earlier < number for earlier in step.after):
                raise ValueError(f"step {number}: after is {step.after}")
            demand = step.demand
            if min(demand.cpu_millicores, demand.memory_mb, demand.gpus) < 0:
                raise ValueError(f"step {number}: negative demand")
        for step, indices in zip(steps, self.done, strict=False):
            if any(not 0 <= index < step.tasks for index in indices):
                raise ValueError(f"done is {indices} of {step.tasks} tasks")

    def encode(self) -> bytes:
        """Return the record as the bytes to store."""
        return msgspec.json.encode(self)

    def ended_record(self, state: DurableJobState) -> "DurableJobRecord":
        """Return the smaller record that is stored once the job has ended.

        Args:
            state: the outcome.
        """
        return DurableJobRecord(self.queue, self.service, self.limits, state=state)

    def as_queue(self) -> Queue:
        """Return the queue as it was when the job was accepted."""
        return Queue(self.queue, "", "", self.service, 0.0, self.limits)


def shard_key_prefix(shard: int) -> str:
    """Return the key prefix of the records of a shard's jobs.

    Examples:
        >>> shard_key_prefix(7)
        'camphorchute-jobs/07/'
    """
    return f"{JOB_KEY_PREFIX}{shard:02}/"


def job_key(job_id: str) -> str:
    """Return the key of a job's record."""
    return shard_key_prefix(shard_of(job_id)) + job_id
