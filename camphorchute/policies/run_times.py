"""Run times learned from ended tasks."""

__all__ = ["RunTimes"]

WEIGHT_MIN = 0.1
KINDS_MAX = 10_000


class _Estimate:
    __slots__ = ("run_ms", "samples")

    def __init__(self, run_ms: float) -> None:
        self.run_ms = run_ms
        self.samples = 0


class RunTimes:
    """Estimated run time of each kind of task of each service.

    An estimate starts at the declared run time, which counts as the first sample. The n-th sample
    has the weight ``1 / n``, at least 0.1.

    Examples:
        >>> times = RunTimes()
        >>> times.estimate_ms("flags", "check", declared_ms=1000.0)
        1000.0
        >>> times.add_sample("flags", "check", 100.0, declared_ms=1000.0)
        >>> times.estimate_ms("flags", "check", declared_ms=1000.0)
        550.0
    """

    __slots__ = ("_estimates",)

    def __init__(self) -> None:
        self._estimates: dict[tuple[str, str], _Estimate] = {}

    def estimate_ms(self, service: str, kind: str, declared_ms: float) -> float:
        """Return the expected run time in milliseconds, ``declared_ms`` before the first sample."""
        estimate = self._estimates.get((service, kind))
        return estimate.run_ms if estimate is not None else declared_ms

    def add_sample(self, service: str, kind: str, run_ms: float, declared_ms: float) -> None:
        """Update the estimate with the run time of an ended task."""
        estimate = self._estimates.get((service, kind))
        if estimate is None:
            if len(self._estimates) >= KINDS_MAX:
                del self._estimates[next(iter(self._estimates))]
            estimate = self._estimates[(service, kind)] = _Estimate(declared_ms)
        estimate.samples += 1
        weight = max(WEIGHT_MIN, 1 / (estimate.samples + 1))
        estimate.run_ms += weight * (run_ms - estimate.run_ms)
