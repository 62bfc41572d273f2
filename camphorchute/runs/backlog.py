"""Backlog: the pending tasks of a worker group, in the order in which they start."""

import math
from collections.abc import Iterator

from camphorchute.contracts.run_messages import StartTasks
from camphorchute.policies.task_order import TaskOrderPolicy, TaskUrgency
from camphorchute.runs.run import PendingTask

__all__ = ["Backlog"]

MISSED_START_MEMORY_MS = 500.0
NEVER_MS = 1e9
MS_PER_S = 1000.0


class Backlog:
    """The pending tasks of one worker group.

    The order changes with time, as jobs pass their target times, so it is restored by
    :meth:`sort` before tasks are placed.

    Args:
        order: returns the sort key of a task; the lowest starts first.

    Attributes:
        last_missed_s: monotonic time at which a task last waited in vain, in seconds.
    """

    __slots__ = ("last_missed_s", "_order", "_tasks")

    def __init__(self, order: TaskOrderPolicy) -> None:
        self.last_missed_s = -math.inf
        self._order = order
        self._tasks: list[PendingTask] = []

    def __len__(self) -> int:
        return len(self._tasks)

    def __iter__(self) -> Iterator[PendingTask]:
        return iter(self._tasks)

    def __contains__(self, task: PendingTask) -> bool:
        return task in self._tasks

    def add(self, task: PendingTask) -> None:
        """Add a task."""
        self._tasks.append(task)

    def remove(self, task: PendingTask) -> None:
        """Remove a task.

        Raises:
            ValueError: the task is not in the backlog.
        """
        self._tasks.remove(task)

    def replace(self, tasks: list[PendingTask]) -> None:
        """Keep only some tasks, in their order."""
        self._tasks[:] = tasks

    def sort(self, now_s: float) -> None:
        """Put the tasks into the order in which they start.

        Args:
            now_s: time of the monotonic clock in seconds.
        """
        if len(self._tasks) > 1:
            self._tasks.sort(key=lambda task: self._order(_urgency(task, now_s)))

    def expired(self, now_s: float) -> list[PendingTask]:
        """Return the tasks that are past the time by which they had to start.

        Args:
            now_s: time of the monotonic clock in seconds.
        """
        return [task for task in self._tasks if now_s >= min(task.start_by_s, task.finish_by_s)]

    def dispatched_by(self, message: StartTasks) -> list[PendingTask]:
        """Return the tasks that a message dispatched and that cannot have an earlier run."""
        return [task for task in self._tasks if task.message is message and not task.may_run]

    def work_core_ms(self, now_s: float) -> dict[int, float]:
        """Return the expected work of the tasks that can still be in time, by priority.

        The unit is core-milliseconds.

        Args:
            now_s: time of the monotonic clock in seconds.
        """
        work: dict[int, float] = {}
        for task in self._in_time(now_s):
            priority = task.message.limits.priority
            work[priority] = work.get(priority, 0.0) + _core_ms(task)
        return work

    def oldest_wait_ms(self, now_s: float) -> dict[int, float]:
        """Return for how long the oldest task that can still be in time has waited, by priority.

        Args:
            now_s: time of the monotonic clock in seconds.
        """
        waits: dict[int, float] = {}
        for task in self._in_time(now_s):
            priority = task.message.limits.priority
            wait_ms = (now_s - task.arrived_s) * MS_PER_S
            waits[priority] = max(wait_ms, waits.get(priority, 0.0))
        return waits

    def late_wait_ms(self, now_s: float, cores: float) -> float:
        """Return the expected time until a task starts that is late already.

        After a task has waited in vain, others that would be late are not expected to start.

        Args:
            now_s: time of the monotonic clock in seconds.
            cores: number of cores of the group.
        """
        if (now_s - self.last_missed_s) * MS_PER_S < MISSED_START_MEMORY_MS:
            return NEVER_MS
        oldest_ms = max(((now_s - task.arrived_s) * MS_PER_S for task in self._tasks), default=0.0)
        return max(oldest_ms, sum(map(_core_ms, self._tasks)) / max(1.0, cores))

    def _in_time(self, now_s: float) -> list[PendingTask]:
        return [task for task in self._tasks if now_s <= task.in_time_until_s]


def _core_ms(task: PendingTask) -> float:
    return task.message.demand.cpu_millicores / 1000 * task.message.estimate_ms


def _urgency(task: PendingTask, now_s: float) -> TaskUrgency:
    return TaskUrgency(
        task.message.limits.priority,
        task.arrival_number,
        (task.in_time_until_s - now_s) * MS_PER_S,
        task.job_tasks is not None and task.job_tasks.has_started,
    )
