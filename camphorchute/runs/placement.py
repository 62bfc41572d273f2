"""Which of the workers with room a task is best started on."""

from camphorchute.contracts.batch_job import QueueLimits

__all__ = ["rank_worker"]

DISPATCH_MS = 15.0
RUN_TIME_MARGIN = 1.15


def rank_worker(speed: float, estimate_ms: float, limits: QueueLimits) -> tuple[int, float]:
    """Return the rank of a worker for a task, lowest first.

    Workers on which the task is expected to end in time go first, the slowest of them first, so
    that the fast ones stay free for tasks that need them. Among the others, the fastest is first.

    Examples:
        >>> limits = QueueLimits(0, 4, 1.6, 60.0)
        >>> rank_worker(0.5, 60.0, limits) < rank_worker(1.2, 60.0, limits)
        True
        >>> rank_worker(0.5, 900.0, limits) < rank_worker(1.2, 900.0, limits)
        False
    """
    expected_ms = RUN_TIME_MARGIN * estimate_ms / speed + DISPATCH_MS
    if expected_ms <= estimate_ms + limits.slack_ms(estimate_ms):
        return (0, speed)
    return (1, -speed)
