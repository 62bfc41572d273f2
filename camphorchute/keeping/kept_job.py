"""A kept job as it lies in the store."""

from enum import Enum

import msgspec

from camphorchute.contracts.batch_job import BatchJob, QueueLimits
from camphorchute.hosting import Queue
from camphorchute.runs import shard_of

__all__ = ["JOB_PREFIX", "KeptJob", "KeptState", "job_key", "shard_prefix"]

JOB_PREFIX = "camphorchute-jobs/"


class KeptState(Enum):
    """How far a job is."""

    OPEN = "open"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


class KeptJob(msgspec.Struct, omit_defaults=True):
    """What the store keeps of a job.

    Attributes:
        queue: name of the queue that it came in by.
        service: the service whose workers run it.
        limits: what the queue promised when the job was accepted.
        job: the job; None once it has ended.
        state: how far it is.
        done: numbers of the tasks that are done, for each step.
        failed_runs: for each task with failed runs, ``worker:run`` of each of them.
        term: term of the keeper that has written it; 0 until one has.

    Examples:
        >>> record = KeptJob("checks", "flags", QueueLimits(0, 3, 2.0, 60.0))
        >>> KeptJob.decode(record.encode()).queue
        'checks'
        >>> KeptJob.decode(b"{}")
        Traceback (most recent call last):
        ...
        ValueError: kept job: Object missing required field `queue`
    """

    queue: str
    service: str
    limits: QueueLimits
    job: BatchJob | None = None
    state: KeptState = KeptState.OPEN
    done: list[list[int]] = []
    failed_runs: dict[str, list[str]] = {}
    term: int = 0

    @classmethod
    def of(cls, job: BatchJob, queue: Queue) -> "KeptJob":
        """Return the record of a job that has just come in."""
        return cls(queue.name, queue.service, queue.limits, job, done=[[] for _ in job.steps])

    @classmethod
    def decode(cls, value: bytes) -> "KeptJob":
        """Return the record in the bytes or raise `ValueError`."""
        try:
            return msgspec.json.decode(value, type=cls)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise ValueError(f"kept job: {error}") from error

    def encode(self) -> bytes:
        """Return the bytes that are stored."""
        return msgspec.json.encode(self)

    def ended(self, state: KeptState) -> "KeptJob":
        """Return what is kept of the job once it has ended."""
        return KeptJob(self.queue, self.service, self.limits, state=state)

    def as_queue(self) -> Queue:
        """Return the queue as it was when the job was accepted."""
        return Queue(self.queue, "", "", self.service, 0.0, self.limits)


def shard_prefix(shard: int) -> str:
    """Return the start of the keys of a shard's jobs.

    Examples:
        >>> shard_prefix(7)
        'camphorchute-jobs/07/'
    """
    return f"{JOB_PREFIX}{shard:02}/"


def job_key(job_id: str) -> str:
    """Return the key of a job."""
    return shard_prefix(shard_of(job_id)) + job_id
