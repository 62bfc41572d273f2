"""Speed of a worker, learned from the measured run times of its tasks."""

import statistics

__all__ = ["WorkerSpeed"]

AVERAGING_WEIGHT = 0.08
PRIOR_RUN_COUNT = 4
MIN_SPEED, MAX_SPEED = 0.05, 8.0
CHANGE_FACTOR = 2.0
CHANGE_RUNS = 3


class WorkerSpeed:
    """Ratio of estimated to measured run time, averaged over the runs of a worker.

    The average is exponential; the first runs have a higher weight. Several runs in a row that
    differ by more than a factor of two in the same direction show that the speed has changed: the
    average starts again from them.

    Attributes:
        value: the speed; 1.0 for a worker whose run times are as estimated.
        runs: number of runs recorded.

    Examples:
        >>> speed = WorkerSpeed()
        >>> for _ in range(100):
        ...     speed.record_run(estimate_ms=100.0, run_time_ms=200.0)
        >>> round(speed.value, 2)
        0.5
    """

    __slots__ = ("value", "runs", "_deviating")

    def __init__(self) -> None:
        self.value = 1.0
        self.runs = 0
        self._deviating: list[float] = []

    def record_run(self, estimate_ms: float, run_time_ms: float) -> None:
        """Record the run time of a task that succeeded; values of 0 or less are ignored.

        Args:
            estimate_ms: the estimated run time.
            run_time_ms: the measured run time.
        """
        if estimate_ms <= 0 or run_time_ms <= 0:
            return
        self.runs += 1
        ratio = min(MAX_SPEED, max(MIN_SPEED, estimate_ms / run_time_ms))
        if self._has_changed(ratio):
            self.value = statistics.median(self._deviating)
            self._deviating.clear()
            return
        weight = max(AVERAGING_WEIGHT, 1 / (self.runs + PRIOR_RUN_COUNT))
        self.value += weight * (ratio - self.value)

    def _has_changed(self, ratio: float) -> bool:
        """Return whether the last runs, with this one, show another speed."""
        is_slower = ratio * CHANGE_FACTOR < self.value
        is_faster = ratio > CHANGE_FACTOR * self.value
        if not is_slower and not is_faster:
            self._deviating.clear()
            return False
        if self._deviating and (self._deviating[0] < self.value) != is_slower:
            self._deviating.clear()
        self._deviating.append(ratio)
        return len(self._deviating) >= CHANGE_RUNS
