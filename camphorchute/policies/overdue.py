"""Overdue policies: when a run has taken so long that its task is started elsewhere."""

from collections.abc import Callable

from camphorchute.policies.registry import PolicyRegistry

__all__ = [
    "OVERDUE_POLICIES",
    "RunAge",
    "RunTimeSpread",
    "expected_run_ms",
    "is_overdue_by_spread",
]

AVERAGING_WEIGHT = 0.05
PRIOR_RATIO, PRIOR_DEVIATION = 1.0, 0.35
RATIO_MAX = 4.0  # a hung or slow worker must not widen the spread that is to detect it
DEVIATIONS_ALLOWED = 6.0
FACTOR_MIN, FACTOR_MAX = 3.0, 6.0
SIBLING_FACTOR = 2.0  # tasks of one job differ less than the estimates of different jobs
DISPATCH_ALLOWANCE_MS = 60.0
RESTARTS_MAX = 1


class RunTimeSpread:
    """Mean and mean deviation of the ratio of measured to expected run time.

    Both are exponential averages, so figures of long ago are forgotten.

    Attributes:
        mean: mean of the ratio.
        deviation: mean absolute deviation from the mean.

    Examples:
        >>> spread = RunTimeSpread()
        >>> for _ in range(200):
        ...     spread.record_ratio(1.2)
        >>> round(spread.mean, 2), round(spread.deviation, 2)
        (1.2, 0.0)
    """

    __slots__ = ("mean", "deviation")

    def __init__(self) -> None:
        self.mean = PRIOR_RATIO
        self.deviation = PRIOR_DEVIATION

    def record_ratio(self, ratio: float) -> None:
        """Record the ratio of one run that was done.

        Args:
            ratio: measured run time divided by the expected one.
        """
        bounded = min(RATIO_MAX, max(0.0, ratio))
        self.deviation += AVERAGING_WEIGHT * (abs(bounded - self.mean) - self.deviation)
        self.mean += AVERAGING_WEIGHT * (bounded - self.mean)


class RunAge:
    """Age of an active run, with what is known about its run time.

    Attributes:
        elapsed_ms: time since its start command was sent.
        expected_ms: expected run time on its worker, by the estimate of its caller.
        spread: spread of the run times of its queue's tasks.
        sibling_ratio: mean ratio of measured to expected run time of the tasks of the same job
            that are done, 0 if none is.
        restarts: how often the task was stopped as overdue.
        restart_ms: expected run time elsewhere, at speed 1.0.
        makes_progress: whether its worker has completed another run since this one started.
    """

    __slots__ = (
        "elapsed_ms",
        "expected_ms",
        "spread",
        "sibling_ratio",
        "restarts",
        "restart_ms",
        "makes_progress",
    )

    def __init__(
        self,
        elapsed_ms: float,
        expected_ms: float,
        spread: RunTimeSpread,
        sibling_ratio: float = 0.0,
        restarts: int = 0,
        restart_ms: float = 0.0,
        makes_progress: bool = False,
    ) -> None:
        self.elapsed_ms = elapsed_ms
        self.expected_ms = expected_ms
        self.spread = spread
        self.sibling_ratio = sibling_ratio
        self.restarts = restarts
        self.restart_ms = restart_ms
        self.makes_progress = makes_progress


def expected_run_ms(estimate_ms: float, speed: float, is_suspected: bool = False) -> float:
    """Return the expected run time on a worker, at least 1 ms.

    The learned speed of a suspected worker follows from runs that were stopped, and a worker that
    makes no progress has none; it is judged by the time that the task takes elsewhere.

    Args:
        estimate_ms: expected run time at speed 1.0.
        speed: learned speed of the worker.
        is_suspected: whether the worker is ejected, so that the run is a probe.

    Examples:
        >>> expected_run_ms(100.0, 0.2), expected_run_ms(100.0, 0.2, is_suspected=True)
        (500.0, 100.0)
    """
    return max(1.0, estimate_ms / (max(1.0, speed) if is_suspected else speed))


OverduePolicy = Callable[[RunAge], bool]
OVERDUE_POLICIES: PolicyRegistry[OverduePolicy] = PolicyRegistry("overdue run")


@OVERDUE_POLICIES.register("spread")
def is_overdue_by_spread(age: RunAge) -> bool:
    """Return whether a run takes longer than nearly all runs, given the other tasks of its job.

    A task that was overdue before is not stopped again: its estimate is at fault, not a worker. A
    worker that completes other runs does not hang, so its runs have the widest limit. And a run
    is not stopped before it has taken twice as long as its task needs elsewhere.

    Examples:
        >>> spread = RunTimeSpread()
        >>> is_overdue_by_spread(RunAge(200.0, 60.0, spread))
        False
        >>> is_overdue_by_spread(RunAge(200.0, 60.0, spread, sibling_ratio=1.1))
        True
        >>> is_overdue_by_spread(RunAge(200.0, 60.0, spread, sibling_ratio=1.1, restarts=1))
        False
        >>> is_overdue_by_spread(RunAge(200.0, 60.0, spread, 1.1, makes_progress=True))
        False
    """
    if age.restarts >= RESTARTS_MAX:
        return False
    return age.elapsed_ms > _limit_ms(age) + DISPATCH_ALLOWANCE_MS


def _limit_ms(age: RunAge) -> float:
    """Return the run time beyond which a run is overdue."""
    if age.makes_progress:
        return FACTOR_MAX * max(age.expected_ms, age.restart_ms)
    sibling_factor = SIBLING_FACTOR * max(1.0, age.sibling_ratio)
    if age.sibling_ratio > 0:
        factor = sibling_factor
    else:
        factor = age.spread.mean + DEVIATIONS_ALLOWED * age.spread.deviation
        factor = min(FACTOR_MAX, max(FACTOR_MIN, factor))
    return max(factor * age.expected_ms, sibling_factor * age.restart_ms)


@OVERDUE_POLICIES.register("never")
def is_never_overdue(age: RunAge) -> bool:
    """Return False: runs end only at the deadline of their job.

    Examples:
        >>> is_never_overdue(RunAge(1e9, 1.0, RunTimeSpread()))
        False
    """
    return False
