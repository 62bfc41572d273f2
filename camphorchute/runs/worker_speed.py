"""How fast a worker is, learned from the run times that were seen."""

__all__ = ["WorkerSpeed"]

WEIGHT = 0.08
PRIOR_RUNS = 4
SPEED_MIN, SPEED_MAX = 0.05, 8.0


class WorkerSpeed:
    """Ratio of declared to seen run times, averaged over the runs of a worker.

    Attributes:
        value: the speed; 1.0 for a worker whose run times are as declared.
        runs: number of runs that were seen.

    Examples:
        >>> speed = WorkerSpeed()
        >>> for _ in range(100):
        ...     speed.see(estimate_ms=100.0, seen_ms=200.0)
        >>> round(speed.value, 2)
        0.5
    """

    __slots__ = ("value", "runs")

    def __init__(self) -> None:
        self.value = 1.0
        self.runs = 0

    def see(self, estimate_ms: float, seen_ms: float) -> None:
        """Take in the run time of a task that ended well."""
        if estimate_ms <= 0 or seen_ms <= 0:
            return
        self.runs += 1
        weight = max(WEIGHT, 1 / (self.runs + PRIOR_RUNS))
        ratio = min(SPEED_MAX, max(SPEED_MIN, estimate_ms / seen_ms))
        self.value += weight * (ratio - self.value)
