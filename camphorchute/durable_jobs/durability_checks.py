"""Durability checks: whether the store has a record of a job, for completions without a task."""

from collections.abc import Callable

from gevent.event import AsyncResult
from gevent.lock import BoundedSemaphore

from camphorchute.durable_jobs.durable_job_record import job_key
from camphorchute.hosting import Store, StoreUnavailable

__all__ = ["DurabilityChecks"]

CONCURRENT_READS_MAX = 4


class DurabilityChecks:
    """Reads whether jobs are durable, with few reads at a time and one for all tasks of a job.

    A scheduler that takes a group over may find thousands of completions at once.

    Args:
        store: the platform's store.
        count: adds to a named counter.
    """

    __slots__ = ("_store", "_count", "_results", "_reads")

    def __init__(self, store: Store, count: Callable[..., None]) -> None:
        self._store = store
        self._count = count
        self._results: dict[str, AsyncResult] = {}
        self._reads = BoundedSemaphore(CONCURRENT_READS_MAX)

    def is_durable(self, job_id: str) -> bool:
        """Return whether the store has a record of a job; true if the store is unavailable.

        Args:
            job_id: the job.
        """
        result = self._results.get(job_id)
        if result is not None:
            return result.get()
        result = self._results[job_id] = AsyncResult()
        is_durable = True
        try:
            with self._reads:
                is_durable = self._store.get(job_key(job_id)) is not None
        except StoreUnavailable:
            self._count("keeping.retry.is_kept")
        finally:
            del self._results[job_id]
            result.set(is_durable)
        return is_durable
