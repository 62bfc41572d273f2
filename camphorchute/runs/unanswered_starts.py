"""Start commands without an answer, which the next incarnation of a worker may carry out."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from camphorchute.runs.late_commands import LATE_ARRIVAL_MAX_S

if TYPE_CHECKING:
    from camphorchute.runs.run import Run

__all__ = ["UnansweredStart", "UnansweredStarts"]


class UnansweredStart:
    """A start command without an answer.

    Attributes:
        run: the run that it was for.
        sent_s: monotonic time at which it was known to have no answer, in seconds.
        asked: the scheduler's object for the worker to which a stop command for the run was last
            sent, so that each incarnation is sent one; None if it has to be sent again.
    """

    __slots__ = ("run", "sent_s", "asked")

    def __init__(self, run: Run) -> None:
        self.run = run
        self.sent_s = time.monotonic()
        self.asked: object | None = run.worker

    def is_given_up(self) -> bool:
        """Whether the run must not become active: its task may have another one."""
        run, task = self.run, self.run.task
        if task.run is not None:
            is_wanted = (task.run.worker_id, task.run.number) == (run.worker_id, run.number)
        else:
            is_last = task.next_run - 1 == run.number
            is_wanted = is_last and task.may_run and task.worker_id == run.worker_id
        return not is_wanted


class UnansweredStarts:
    """The start commands of a scheduler that a worker may still carry out, by worker id.

    The stop command that barred such a run is known to one incarnation only.

    Examples:
        >>> starts = UnansweredStarts()
        >>> starts.of_worker("w1"), starts.given_up("w1")
        ([], [])
    """

    __slots__ = ("_by_worker",)

    def __init__(self) -> None:
        self._by_worker: dict[str, list[UnansweredStart]] = {}

    def add(self, run: Run) -> None:
        """Remember the start command of a run."""
        for worker_id in list(self._by_worker):
            self.of_worker(worker_id)  # forgets those that can no longer arrive
        self._by_worker[run.worker_id] = [*self.of_worker(run.worker_id), UnansweredStart(run)]

    def discard(self, run: Run) -> None:
        """Forget the start command of a run that was carried out."""
        for start in self.of_worker(run.worker_id):
            if start.run is run:
                self._by_worker[run.worker_id].remove(start)

    def of_worker(self, worker_id: str) -> list[UnansweredStart]:
        """Return the start commands that may still reach a worker."""
        starts = self._by_worker.get(worker_id)
        if not starts:
            return []
        since_s = time.monotonic() - LATE_ARRIVAL_MAX_S
        recent = [start for start in starts if start.sent_s >= since_s]
        if recent:
            self._by_worker[worker_id] = recent
        else:
            del self._by_worker[worker_id]
        return list(recent)

    def given_up(self, worker_id: str) -> list[UnansweredStart]:
        """Return those of a worker whose runs must not become active."""
        return [start for start in self.of_worker(worker_id) if start.is_given_up()]
