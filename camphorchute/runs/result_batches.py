"""Results of tasks that are on their way to the owners of the jobs."""

from collections.abc import Callable

import gevent

from camphorchute.contracts.run_messages import TaskResult, TasksFinished

__all__ = ["ResultBatches"]

BATCH_DELAY_MS = 1.0
MS_PER_S = 1000.0


class ResultBatches:
    """Sends the results of tasks of one job that end together in one message.

    Args:
        notify: sends a one-way message to an owner; returns whether it could be sent.
        on_sent: called after results were sent.
        count: adds to a named counter.
    """

    __slots__ = ("_notify", "_on_sent", "_count", "_unsent")

    def __init__(
        self,
        notify: Callable[[str, TasksFinished], bool],
        on_sent: Callable[[], None],
        count: Callable[..., None],
    ) -> None:
        self._notify = notify
        self._on_sent = on_sent
        self._count = count
        self._unsent: dict[tuple[str, str], list[TaskResult]] = {}

    def add(self, owner_id: str, job_id: str, result: TaskResult) -> None:
        """Queue a result; it is sent after BATCH_DELAY_MS.

        Args:
            owner_id: member id of the owner of the job.
            job_id: the job.
            result: the result.
        """
        if not self._unsent:
            gevent.spawn_later(BATCH_DELAY_MS / MS_PER_S, self.send)
        self._unsent.setdefault((owner_id, job_id), []).append(result)

    def send(self) -> None:
        """Send the queued results."""
        batches, self._unsent = self._unsent, {}
        for (owner_id, job_id), results in batches.items():
            if not self._notify(owner_id, TasksFinished(job_id, results)):
                self._count("runs.result_undelivered")
        if batches:
            self._on_sent()
