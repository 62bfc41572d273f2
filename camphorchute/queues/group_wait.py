"""Expected wait of tasks in the backlog of a worker group."""

from camphorchute.contracts.batch_job import BatchStep, QueueLimits
from camphorchute.contracts.run_messages import GroupFreeCapacity

__all__ = ["GroupWait"]

IN_TIME_SHARE = 0.8
OTHER_ZONE_WAIT_MS = 20.0


class GroupWait:
    """Expected wait of the tasks of one step in the backlog of one group.

    The expectation is the larger of two: the work that is ahead, divided by the cores, and the time
    that the oldest task of the same priority or a more urgent one has waited. The latter covers
    running tasks, wrong estimates and more urgent tasks that arrive later.

    Args:
        report: the last report of the group.
        step: the step of the tasks.
        limits: limits of the queue for the step.
        is_own_zone: whether the group is in the zone of the process that dispatches the tasks.

    Examples:
        >>> from camphorchute.contracts.resources import Resources
        >>> report = GroupFreeCapacity("north/flags/0", "flags", Resources(28_000), {1: 560.0}, [])
        >>> step = BatchStep(1, Resources(14_000), 100.0)
        >>> wait = GroupWait(report, step, QueueLimits(1, 3, 1.6, 60.0), is_own_zone=True)
        >>> wait.add_task()
        >>> wait.expected_ms()
        70.0
    """

    __slots__ = (
        "_backlog_core_ms",
        "_cores",
        "_oldest_ms",
        "_late_ms",
        "_in_time_ms",
        "_task_core_ms",
        "_zone_penalty_ms",
    )

    def __init__(
        self, report: GroupFreeCapacity, step: BatchStep, limits: QueueLimits, is_own_zone: bool
    ) -> None:
        priority = limits.priority
        self._backlog_core_ms = _sum_up_to(report.waiting_core_ms, priority)
        self._oldest_ms = max(
            (ms for other, ms in report.oldest_wait_ms.items() if other <= priority), default=0.0
        )
        self._cores = max(1.0, report.capacity.cpu_millicores / 1000)
        self._late_ms = report.late_wait_ms
        self._in_time_ms = IN_TIME_SHARE * limits.slack_ms(step.estimate_ms)
        self._task_core_ms = step.demand.cpu_millicores / 1000 * max(1.0, step.estimate_ms)
        self._zone_penalty_ms = 0.0 if is_own_zone else OTHER_ZONE_WAIT_MS

    def add_task(self) -> None:
        """Add one task of the step to the backlog."""
        self._backlog_core_ms += self._task_core_ms

    def expected_ms(self) -> float:
        """Return the expected wait of the last task added, in milliseconds.

        A task that would be late waits behind those that can still be in time.
        """
        wait_ms = max(self._backlog_core_ms / self._cores, self._oldest_ms)
        return wait_ms if wait_ms <= self._in_time_ms else max(wait_ms, self._late_ms)

    def cost_ms(self) -> float:
        """Return the expected wait of a further task, with a penalty for another zone."""
        next_ms = (self._backlog_core_ms + self._task_core_ms) / self._cores
        return max(next_ms, self._oldest_ms) + self._zone_penalty_ms


def _sum_up_to(core_ms_by_priority: dict[int, float], priority: int) -> float:
    return sum(ms for other, ms in core_ms_by_priority.items() if other <= priority)
