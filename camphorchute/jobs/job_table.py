"""Table of an owner's jobs: open jobs and jobs whose answers are retained."""

import time
from collections import deque

from camphorchute.contracts import ResultCode, code_info
from camphorchute.jobs.job import Job, TaskState

__all__ = ["JobTable", "MAX_RETAINED_ANSWER_BYTES"]

MAX_RETAINED_ANSWER_BYTES = 64 * 1024 * 1024
ANSWER_OVERHEAD_BYTES = 200


class JobTable:
    """Jobs by key.

    Args:
        retention_ms: how long answers are retained, in milliseconds.
        max_bytes: largest total size of the retained answers in bytes; the oldest answers are
            dropped first.
    """

    __slots__ = (
        "retention_ms",
        "_max_bytes",
        "_jobs",
        "_open_jobs",
        "_retained",
        "_retained_bytes",
    )

    def __init__(self, retention_ms: float, max_bytes: int = MAX_RETAINED_ANSWER_BYTES) -> None:
        self.retention_ms = retention_ms
        self._max_bytes = max_bytes
        self._jobs: dict[str, Job] = {}
        self._open_jobs: dict[str, Job] = {}
        self._retained: deque[tuple[float, int, Job]] = deque()
        self._retained_bytes = 0

    def get(self, key: str) -> Job | None:
        """Return the job of a key, or None if there is none or it has moved to another owner.

        Args:
            key: the idempotency key.
        """
        job = self._jobs.get(key)
        return None if job is None or job.moved else job

    def add(self, job: Job) -> None:
        """Add an open job.

        Args:
            job: the job.
        """
        self._jobs[job.key.text] = job
        self._open_jobs[job.key.text] = job

    def remove(self, job: Job) -> None:
        """Remove a job; a later job of the same key stays.

        Args:
            job: the job.
        """
        self._remove_open(job)
        if self._jobs.get(job.key.text) is job:
            del self._jobs[job.key.text]

    def clear(self) -> None:
        """Remove all jobs."""
        self._jobs.clear()
        self._open_jobs.clear()

    def open_jobs(self) -> list[Job]:
        """Return the jobs that have no answer and have not moved."""
        return [job for job in self._open_jobs.values() if job.is_open]

    def count_open_tasks(self) -> dict[str, dict[str, int]]:
        """Return the number of tasks that have not ended, by pool and team."""
        counts: dict[str, dict[str, int]] = {}
        for job in self.open_jobs():
            team_counts = counts.setdefault(job.pool, {})
            open_count = sum(1 for task in job.tasks if task.state is not TaskState.ENDED)
            team_counts[job.spec.team] = team_counts.get(job.spec.team, 0) + open_count
        return counts

    def retain_answer(self, job: Job) -> None:
        """Retain the answer of an ended job; an answer that asks the caller to retry is dropped.

        Args:
            job: the job.
        """
        self._remove_open(job)
        if code_info(ResultCode(job.answer.code)).retry:
            self.remove(job)
            return
        size_bytes = ANSWER_OVERHEAD_BYTES + sum(len(text) for text in job.answer.answers)
        expires_s = time.monotonic() + self.retention_ms / 1000
        self._retained.append((expires_s, size_bytes, job))
        self._retained_bytes += size_bytes
        self.drop_expired_answers()

    def _remove_open(self, job: Job) -> None:
        if self._open_jobs.get(job.key.text) is job:
            del self._open_jobs[job.key.text]

    def drop_expired_answers(self) -> None:
        """Drop answers whose retention has expired or that exceed the largest total size."""
        now_s = time.monotonic()
        while self._retained and (
            self._retained[0][0] <= now_s or self._retained_bytes > self._max_bytes
        ):
            _, size_bytes, job = self._retained.popleft()
            self._retained_bytes -= size_bytes
            self.remove(job)
