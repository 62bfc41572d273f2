"""Rank of workers with free capacity for the start of a task."""

from camphorchute.contracts.batch_job import QueueLimits

__all__ = ["rank_worker"]

DISPATCH_OVERHEAD_MS = 15.0
RUN_TIME_MARGIN_FACTOR = 1.15


def rank_worker(speed: float, estimate_ms: float, limits: QueueLimits) -> tuple[int, float]:
    """Return the rank of a worker for a task, lowest first.

    Workers on which the task is expected to finish in time rank first, the slowest of them first,
    so that the fast ones stay free for tasks that need them. Among the others, the fastest ranks
    first.

    Args:
        speed: speed of the worker, 1.0 if run times are as estimated.
        estimate_ms: expected run time at speed 1.0.
        limits: limits of the task's queue.

    Examples:
        >>> limits = QueueLimits(0, 4, 1.6, 60.0)
        >>> rank_worker(0.5, 60.0, limits) < rank_worker(1.2, 60.0, limits)
        True
        >>> rank_worker(0.5, 900.0, limits) < rank_worker(1.2, 900.0, limits)
        False
    """
    expected_ms = RUN_TIME_MARGIN_FACTOR * estimate_ms / speed + DISPATCH_OVERHEAD_MS
    if expected_ms <= estimate_ms + limits.slack_ms(estimate_ms):
        return (0, speed)
    return (1, -speed)
