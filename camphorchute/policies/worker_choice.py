"""Worker choice policies: the rank of workers with free capacity for the start of a task."""

from collections.abc import Callable

from camphorchute.contracts.batch_job import QueueLimits
from camphorchute.policies.registry import PolicyRegistry

__all__ = ["WORKER_CHOICE_POLICIES", "WorkerCandidate", "rank_own_zone_first"]

DISPATCH_OVERHEAD_MS = 15.0
RUN_TIME_MARGIN_FACTOR = 1.15


class WorkerCandidate:
    """A worker that a task could start on.

    Attributes:
        speed: speed of the worker, 1.0 if run times are as estimated.
        is_own_zone: whether the worker is in the availability zone of the job's owner.
    """

    __slots__ = ("speed", "is_own_zone")

    def __init__(self, speed: float, is_own_zone: bool = True) -> None:
        self.speed = speed
        self.is_own_zone = is_own_zone


WorkerChoicePolicy = Callable[[WorkerCandidate, float, QueueLimits], tuple]
WORKER_CHOICE_POLICIES: PolicyRegistry[WorkerChoicePolicy] = PolicyRegistry("worker choice")


def _is_in_time(speed: float, estimate_ms: float, limits: QueueLimits) -> bool:
    """Return whether a task that starts now is expected to finish within its target time."""
    expected_ms = RUN_TIME_MARGIN_FACTOR * estimate_ms / speed + DISPATCH_OVERHEAD_MS
    return expected_ms <= estimate_ms + limits.slack_ms(estimate_ms)


@WORKER_CHOICE_POLICIES.register("own-zone-first")
def rank_own_zone_first(
    candidate: WorkerCandidate, estimate_ms: float, limits: QueueLimits
) -> tuple[bool, bool, float]:
    """Return the rank of a worker for a task, lowest first.

    Workers on which the task is expected to finish in time rank first; of those, workers in the
    owner's zone, so that a partitioned zone costs other zones little; of those, the slowest, so
    that the fast ones stay free for tasks that need them. Among the others, the fastest ranks
    first.

    Args:
        candidate: the worker.
        estimate_ms: expected run time at speed 1.0.
        limits: limits of the task's queue.

    Examples:
        >>> limits = QueueLimits(0, 4, 1.6, 60.0)
        >>> near, far = WorkerCandidate(1.2, True), WorkerCandidate(0.5, False)
        >>> rank_own_zone_first(near, 60.0, limits) < rank_own_zone_first(far, 60.0, limits)
        True
    """
    if _is_in_time(candidate.speed, estimate_ms, limits):
        return (False, not candidate.is_own_zone, candidate.speed)
    return (True, not candidate.is_own_zone, -candidate.speed)


@WORKER_CHOICE_POLICIES.register("slowest-in-time")
def rank_slowest_in_time(
    candidate: WorkerCandidate, estimate_ms: float, limits: QueueLimits
) -> tuple[bool, float]:
    """Return the rank of a worker as :func:`rank_own_zone_first`, without regard to its zone.

    Examples:
        >>> limits = QueueLimits(0, 4, 1.6, 60.0)
        >>> slow, fast = WorkerCandidate(0.5), WorkerCandidate(1.2)
        >>> rank_slowest_in_time(slow, 60.0, limits) < rank_slowest_in_time(fast, 60.0, limits)
        True
        >>> rank_slowest_in_time(slow, 900.0, limits) < rank_slowest_in_time(fast, 900.0, limits)
        False
    """
    if _is_in_time(candidate.speed, estimate_ms, limits):
        return (False, candidate.speed)
    return (True, -candidate.speed)
