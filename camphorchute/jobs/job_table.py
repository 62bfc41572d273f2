"""The jobs of one owner: those under way, and those whose answers are kept."""

import time
from collections import deque

from camphorchute.contracts import ResultCode, code_info
from camphorchute.jobs.job import Job, TaskState

__all__ = ["JobTable", "ANSWERS_MAX_BYTES"]

ANSWERS_MAX_BYTES = 64 * 1024 * 1024
ANSWER_OVERHEAD_BYTES = 200


class JobTable:
    """Jobs by key.

    Args:
        retention_ms: how long answers are kept.
        max_bytes: most bytes of answers that are kept; the oldest go first.
    """

    __slots__ = ("retention_ms", "_max_bytes", "_jobs", "_open", "_kept", "_kept_bytes")

    def __init__(self, retention_ms: float, max_bytes: int = ANSWERS_MAX_BYTES) -> None:
        self.retention_ms = retention_ms
        self._max_bytes = max_bytes
        self._jobs: dict[str, Job] = {}
        self._open: dict[str, Job] = {}
        self._kept: deque[tuple[float, int, Job]] = deque()
        self._kept_bytes = 0

    def get(self, key: str) -> Job | None:
        """Return the job of a key that has not moved, or None."""
        job = self._jobs.get(key)
        return None if job is None or job.moved else job

    def add(self, job: Job) -> None:
        """Take in a job."""
        self._jobs[job.key.text] = job
        self._open[job.key.text] = job

    def forget(self, job: Job) -> None:
        """Drop a job, unless its key has a later one."""
        self._close(job)
        if self._jobs.get(job.key.text) is job:
            del self._jobs[job.key.text]

    def clear(self) -> None:
        """Drop all jobs."""
        self._jobs.clear()
        self._open.clear()

    def open_jobs(self) -> list[Job]:
        """Return the jobs that have no answer yet."""
        return [job for job in self._open.values() if job.is_open]

    def open_tasks(self) -> dict[str, dict[str, int]]:
        """Return how many tasks have not ended, for each pool and team."""
        counts: dict[str, dict[str, int]] = {}
        for job in self.open_jobs():
            teams = counts.setdefault(job.pool, {})
            left = sum(1 for task in job.tasks if task.state is not TaskState.ENDED)
            teams[job.spec.team] = teams.get(job.spec.team, 0) + left
        return counts

    def keep(self, job: Job) -> None:
        """Keep an answer for its time; one that invites the caller again is not kept."""
        self._close(job)
        if code_info(ResultCode(job.answer.code)).retry:
            self.forget(job)
            return
        size_bytes = ANSWER_OVERHEAD_BYTES + sum(len(text) for text in job.answer.answers)
        until_s = time.monotonic() + self.retention_ms / 1000
        self._kept.append((until_s, size_bytes, job))
        self._kept_bytes += size_bytes
        self.drop_old()

    def _close(self, job: Job) -> None:
        if self._open.get(job.key.text) is job:
            del self._open[job.key.text]

    def drop_old(self) -> None:
        """Drop the answers whose time is over or that are too many."""
        now_s = time.monotonic()
        while self._kept and (self._kept[0][0] <= now_s or self._kept_bytes > self._max_bytes):
            _, size_bytes, job = self._kept.popleft()
            self._kept_bytes -= size_bytes
            self.forget(job)
