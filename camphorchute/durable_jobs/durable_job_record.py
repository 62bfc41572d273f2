"""The stored record of a durable job."""

from enum import Enum

import msgspec

from camphorchute.contracts.batch_job import BatchJob, QueueLimits
from camphorchute.contracts.run_messages import RunPlace
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
        term: term of the shard owner that wrote the record; 0 until one has.

    Examples:
        >>> record = DurableJobRecord("checks", "flags", QueueLimits(0, 3, 2.0, 60.0))
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
            return msgspec.json.decode(value, type=cls)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise ValueError(f"malformed durable job record: {error}") from error

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
