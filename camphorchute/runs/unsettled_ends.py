"""Ends of runs that a worker may not forget yet."""

import time

from camphorchute.hosting import EndKind, RunEnd

__all__ = ["UnsettledEnds"]

LASTING_ENDS = (EndKind.DONE, EndKind.FAILED)
MS_PER_S = 1000.0


class UnsettledEnds:
    """The ends that a worker has listed, as far as they are not settled.

    A worker lists ends until they are acknowledged by the number of the last one. An end is
    settled once nobody needs it any more; the worker may forget all ends before the first that is
    not.

    Examples:
        >>> ends = UnsettledEnds()
        >>> for number in (1, 2, 3):
        ...     _ = ends.see(RunEnd(number, f"j.0.0.{number}", 1, EndKind.DONE))
        >>> ends.keep(RunEnd(2, "j.0.0.2", 1, EndKind.DONE))
        >>> ends.acknowledged()
        1
        >>> ends.settle("j.0.0.2", 1)
        True
        >>> ends.acknowledged()
        3
    """

    __slots__ = ("_seen", "_by_task", "_tasks")

    def __init__(self) -> None:
        self._seen = 0
        self._by_task: dict[str, dict[int, tuple[RunEnd, float]]] = {}
        self._tasks: dict[int, str] = {}

    def __len__(self) -> int:
        return len(self._tasks)

    def see(self, end: RunEnd) -> bool:
        """Take note that an end was listed; return whether it is new."""
        if end.number <= self._seen:
            return False
        self._seen = end.number
        return True

    def keep(self, end: RunEnd) -> None:
        """Have the worker list an end until it is settled; ends without a result are not kept."""
        if end.kind in LASTING_ENDS:
            self._tasks[end.number] = end.task
            self._by_task.setdefault(end.task, {})[end.run] = (end, time.monotonic())

    def settle(self, task: str, run: int) -> bool:
        """Let the worker forget an end; return whether there was such an end."""
        ends = self._by_task.get(task, {})
        if run not in ends:
            return False
        end, _ = ends.pop(run)
        if not ends:
            del self._by_task[task]
        self._tasks.pop(end.number, None)
        return True

    def settle_task(self, task: str) -> None:
        """Let the worker forget every end of a task."""
        for run in list(self._by_task.get(task, {})):
            self.settle(task, run)

    def of_task(self, task: str) -> list[RunEnd]:
        """Return the ends of a task."""
        return [end for end, _ in self._by_task.get(task, {}).values()]

    def older_than(self, age_ms: float) -> list[RunEnd]:
        """Return the ends that were listed longer ago than a time; 0 for all of them."""
        until_s = time.monotonic() - age_ms / MS_PER_S
        ends = [row for ends in self._by_task.values() for row in ends.values()]
        return [end for end, since_s in ends if since_s <= until_s]

    def acknowledged(self) -> int:
        """Return the number up to which the worker may forget its ends."""
        return min(self._tasks, default=self._seen + 1) - 1
