"""Runs that were sent a stop command a short time ago, which may be carried out late."""

import time
from collections import OrderedDict

from camphorchute.runs.late_commands import LATE_ARRIVAL_MAX_S

__all__ = ["StoppedRuns"]


class StoppedRuns:
    """The highest run of each task that a stop command was sent for.

    A stop command ends every run up to its number. The numbers of a repeated job begin again, so
    that one under way for the earlier job would end a run of the later one.

    Examples:
        >>> stopped = StoppedRuns()
        >>> stopped.add("5c0e7a21d94b36f8.0.0.1", 2)
        >>> stopped.next_number("5c0e7a21d94b36f8.0.0.1", 1)
        3
        >>> stopped.next_number("5c0e7a21d94b36f8.0.0.2", 1)
        1
    """

    __slots__ = ("_by_task",)

    def __init__(self) -> None:
        self._by_task: OrderedDict[str, tuple[int, float]] = OrderedDict()

    def add(self, task: str, number: int) -> None:
        """Record a stop command.

        Args:
            task: name of the task.
            number: number of the run.
        """
        now_s = time.monotonic()
        earlier, _ = self._by_task.pop(task, (0, now_s))
        self._by_task[task] = (max(earlier, number), now_s)
        while next(iter(self._by_task.values()))[1] < now_s - LATE_ARRIVAL_MAX_S:
            self._by_task.popitem(last=False)

    def next_number(self, task: str, number: int) -> int:
        """Return a number for the next run of a task that no stop command under way ends.

        Args:
            task: name of the task.
            number: lowest number that it may have.
        """
        return max(number, self._by_task.get(task, (0, 0.0))[0] + 1)
