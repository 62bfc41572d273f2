"""Start binding: the worker on which a task may still start, or its run still go on."""

from __future__ import annotations

import time

from camphorchute.runs.late_commands import LATE_ARRIVAL_MAX_S

__all__ = ["StartBinding"]

INCARNATIONS_MAX = 2  # a task that crashes its workers is not repeated on one after the other
MS_PER_S = 1000.0


class StartBinding:
    """The worker that a task is bound to, as a start command for it may still arrive there.

    It is bound as well while commands that may arrive could extend the lease of a run that was
    stopped or left to another scheduler.

    Attributes:
        worker_id: id of the worker, whichever incarnation has it then.
        number: number of the last run that a command starts or that may go on.
        is_repeatable: whether the worker may start that run again.
        under_way: number of commands that were sent and may still be answered.
        unanswered_until_s: monotonic time in seconds after which no command without an answer
            arrives any more, 0 if there is none.
        active_until_s: monotonic time in seconds until which such a run may go on, 0 if its end is
            known.
        is_over: whether the task has ended, so that its run must not begin.
        barred_by: the scheduler's object for the worker that was last sent a stop command for the
            run of an ended task, None if there is none.
    """

    __slots__ = (
        "worker_id",
        "number",
        "is_repeatable",
        "under_way",
        "unanswered_until_s",
        "active_until_s",
        "is_over",
        "barred_by",
        "_incarnations",
    )

    def __init__(self, worker_id: str) -> None:
        self.worker_id = worker_id
        self.number = 0
        self.is_repeatable = False
        self.under_way = 0
        self.unanswered_until_s = 0.0
        self.active_until_s = 0.0
        self.is_over = False
        self.barred_by: object | None = None
        self._incarnations: set[int] = set()

    def set_run(self, number: int) -> None:
        """Record the run that a command is sent for.

        Args:
            number: number of the run.
        """
        if number > self.number:
            self.number, self.is_repeatable = number, True

    def add_incarnation(self, incarnation: int) -> None:
        """Record an incarnation of the worker that a command was sent to."""
        self._incarnations.add(incarnation)

    def may_be_sent_to(self, incarnation: int) -> bool:
        """Return whether the run may be sent to an incarnation of the worker.

        Examples:
            >>> binding = StartBinding("w1")
            >>> for incarnation in (1, 2):
            ...     binding.add_incarnation(incarnation)
            >>> [binding.may_be_sent_to(incarnation) for incarnation in (1, 2, 3)]
            [True, True, False]
        """
        return incarnation in self._incarnations or len(self._incarnations) < INCARNATIONS_MAX

    def is_open(self) -> bool:
        """Whether a start command may still arrive, or a run go on."""
        return self.under_way > 0 or self._until_s() >= time.monotonic()

    def remaining_ms(self) -> float:
        """Return for how long a command may still arrive or a run go on, in milliseconds."""
        if self.under_way:
            return LATE_ARRIVAL_MAX_S * MS_PER_S
        return max(0.0, (self._until_s() - time.monotonic()) * MS_PER_S)

    def _until_s(self) -> float:
        return max(self.unanswered_until_s, self.active_until_s)
