"""The jobs that were done here a short time ago, for callers that submit one again."""

import math
import time
from collections import OrderedDict

from camphorchute.contracts.batch_job import BatchJob

__all__ = ["DoneJobs"]

RETENTION_S = 60.0
JOBS_MAX = 10_000


class DoneJobs:
    """Remembers which jobs were done, so that a job whose answer was lost is not run again.

    Jobs are forgotten after :data:`RETENTION_S`, the oldest ones earlier if there are more than
    :data:`JOBS_MAX`.

    Examples:
        >>> done = DoneJobs()
        >>> job = BatchJob("job1", "text", ())
        >>> done.add("checks", job)
        >>> done.includes("checks", job), done.includes("checks", BatchJob("job1", "other", ()))
        (True, False)
    """

    __slots__ = ("_done",)

    def __init__(self) -> None:
        self._done: OrderedDict[tuple[str, str], tuple[int, float]] = OrderedDict()

    def add(self, queue: str, job: BatchJob) -> None:
        """Record a job that is done.

        Args:
            queue: name of the queue that it was submitted to.
            job: the job.
        """
        now_s = time.monotonic()
        self._done[queue, job.job_id] = (hash(job), now_s)
        self._done.move_to_end((queue, job.job_id))
        while self._done:
            oldest = next(iter(self._done))
            if len(self._done) <= JOBS_MAX and self._done[oldest][1] >= now_s - RETENTION_S:
                return
            del self._done[oldest]

    def includes_id(self, queue: str, job_id: str) -> bool:
        """Return whether a job with an id was done a short time ago, whatever its content.

        Args:
            queue: name of the queue that it is submitted to.
            job_id: id of the job.
        """
        _, done_s = self._done.get((queue, job_id), (0, -math.inf))
        return time.monotonic() - done_s < RETENTION_S

    def includes(self, queue: str, job: BatchJob) -> bool:
        """Return whether the same job, with the same content, was done a short time ago.

        Args:
            queue: name of the queue that it is submitted to.
            job: the job.
        """
        digest, done_s = self._done.get((queue, job.job_id), (0, 0.0))
        return digest == hash(job) and time.monotonic() - done_s < RETENTION_S
