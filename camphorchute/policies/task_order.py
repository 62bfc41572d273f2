"""Order policies: which pending task of a worker group starts next."""

from collections.abc import Callable

from camphorchute.policies.registry import PolicyRegistry

__all__ = ["TASK_ORDER_POLICIES", "TaskUrgency", "order_started_first"]


class TaskUrgency:
    """What decides the place of a pending task.

    Attributes:
        priority: priority of its queue; 0 is the highest.
        arrival_number: number of its arrival, which rises with each task.
        in_time_for_ms: how much later it may start for its job to meet the target time; negative
            if it no longer can.
        has_job_started: whether another task of its job was started.
    """

    __slots__ = ("priority", "arrival_number", "in_time_for_ms", "has_job_started")

    def __init__(
        self,
        priority: int,
        arrival_number: int,
        in_time_for_ms: float,
        has_job_started: bool = False,
    ) -> None:
        self.priority = priority
        self.arrival_number = arrival_number
        self.in_time_for_ms = in_time_for_ms
        self.has_job_started = has_job_started


TaskOrderPolicy = Callable[[TaskUrgency], tuple]
TASK_ORDER_POLICIES: PolicyRegistry[TaskOrderPolicy] = PolicyRegistry("task order")


@TASK_ORDER_POLICIES.register("started-first")
def order_started_first(urgency: TaskUrgency) -> tuple[int, bool, bool, int]:
    """Return a sort key by priority, with tasks of started jobs first and of late jobs last.

    The work already done for a started job is lost unless its last task is done too. An answer of
    a job that is late already is worth less than that of one that would become late.

    Examples:
        >>> late, late_started = TaskUrgency(0, 1, -5.0), TaskUrgency(0, 2, -5.0, True)
        >>> in_time = TaskUrgency(0, 3, 40.0)
        >>> ordered = sorted([late, late_started, in_time], key=order_started_first)
        >>> [urgency.arrival_number for urgency in ordered]
        [2, 3, 1]
    """
    is_late = urgency.in_time_for_ms < 0
    return (urgency.priority, not urgency.has_job_started, is_late, urgency.arrival_number)


@TASK_ORDER_POLICIES.register("priority")
def order_by_priority(urgency: TaskUrgency) -> tuple[int, int]:
    """Return a sort key by priority of the queue, then by arrival.

    Examples:
        >>> order_by_priority(TaskUrgency(0, 9, -5.0)) < order_by_priority(TaskUrgency(1, 1, 5.0))
        True
    """
    return (urgency.priority, urgency.arrival_number)
