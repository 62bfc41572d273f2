"""Runs of tasks that an earlier scheduler may have started on a named worker."""

from __future__ import annotations

import time
from collections.abc import Callable, Container
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from camphorchute.runs.run import Run

__all__ = ["EarlierRun", "EarlierRuns"]


class EarlierRun:
    """What is known of the last run of a task that an earlier scheduler reported.

    The run is ruled out once the worker has acknowledged a stop command for it and has then omitted
    it from a list. The stop command bars a start command that arrives later; a run that it
    interrupts ends a little after the acknowledgement. A listed run is not stopped, as it can be
    adopted.

    Args:
        task: name of the task.
        number: number of the run.
        worker: the scheduler's object for the worker on which it may be active; compared by
            identity, since a worker that is listed again is asked again.

    Attributes:
        task: name of the task.
        number: number of the run.
        worker: the scheduler's object for the worker on which it may be active.
        reported_s: monotonic time of the report, in seconds.
        is_being_barred: whether a stop command for it is under way.
        barred_s: monotonic time in seconds at which a stop command for it was acknowledged, 0
            before.
        is_ruled_out: whether the run is not active and can no longer start.
        is_forgotten: whether its task started here or was returned, so that it matters no more.

    Examples:
        >>> run = EarlierRun("5c0e7a21d94b36f8.0.0.1", 2, worker=None)
        >>> run.barred_s = run.reported_s + 1
        >>> run.is_ruled_out_by([], run.reported_s)
        False
        >>> run.is_ruled_out_by([], run.barred_s + 1)
        True
    """

    __slots__ = (
        "task",
        "number",
        "worker",
        "reported_s",
        "is_being_barred",
        "barred_s",
        "is_ruled_out",
        "is_forgotten",
    )

    def __init__(self, task: str, number: int, worker: object) -> None:
        self.task = task
        self.number = number
        self.worker = worker
        self.reported_s = time.monotonic()
        self.is_being_barred = False
        self.barred_s = 0.0
        self.is_ruled_out = False
        self.is_forgotten = False

    def is_same(self, run: Run) -> bool:
        """Return whether it is a run known to this scheduler, whose start was refused late."""
        return (self.number, self.worker) == (run.number, run.worker)

    def is_ruled_out_by(self, listed_tasks: Container[str], sent_s: float) -> bool:
        """Return whether a list of runs rules the run out.

        Args:
            listed_tasks: names of the tasks with an active run on the worker.
            sent_s: monotonic time at which the list was requested, in seconds.
        """
        return 0 < self.barred_s < sent_s and self.task not in listed_tasks

    def must_be_barred(self, listed_tasks: Container[str], sent_s: float) -> bool:
        """Return whether a stop command is needed after a list of runs, as for
        :meth:`is_ruled_out_by`.
        """
        is_newer_list = self.reported_s < sent_s
        is_asked = self.is_being_barred or self.barred_s > 0
        return is_newer_list and not is_asked and self.task not in listed_tasks


class EarlierRuns:
    """The earlier runs that one worker is asked about.

    Args:
        bar: sends a stop command for a run, without waiting for its answer.

    Examples:
        >>> runs = EarlierRuns(lambda run: print("stop", run.number))
        >>> runs.add(EarlierRun("5c0e7a21d94b36f8.0.0.1", 2, worker=None))
        >>> runs.apply_list(["5c0e7a21d94b36f8.0.0.1"], time.monotonic() + 1)
        >>> runs.apply_list([], time.monotonic() + 1)
        stop 2
        >>> len(runs)
        1
    """

    __slots__ = ("_runs", "_bar")

    def __init__(self, bar: Callable[[EarlierRun], None]) -> None:
        self._runs: list[EarlierRun] = []
        self._bar = bar

    def __len__(self) -> int:
        return len(self._runs)

    def add(self, run: EarlierRun) -> None:
        """Find out about a run from the next list on."""
        self._runs.append(run)

    def forget(self, task: str) -> None:
        """Ask no more about the runs of a task, which started here or was returned."""
        for run in self._runs:
            run.is_forgotten |= run.task == task
        self._runs = [run for run in self._runs if run.task != task]

    def apply_list(self, listed_tasks: Container[str], sent_s: float) -> None:
        """Rule out the runs that a list allows to, and bar those that it does not contain.

        Args:
            listed_tasks: names of the tasks with an active run on the worker.
            sent_s: monotonic time at which the list was requested, in seconds.
        """
        for run in self._runs:
            if run.is_ruled_out_by(listed_tasks, sent_s):
                run.is_ruled_out = True
            elif run.must_be_barred(listed_tasks, sent_s):
                run.is_being_barred = True
                self._bar(run)
        self._runs = [run for run in self._runs if not run.is_ruled_out]
