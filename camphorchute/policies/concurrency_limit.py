"""Concurrency limit policies: how many tasks the jobs of a process may have open at a time.

The adaptive limit follows "additive increase, multiplicative decrease" (Chiu and Jain, "Analysis
of the Increase and Decrease Algorithms for Congestion Avoidance in Computer Networks", 1989), with
delay as the signal of congestion as in TCP Vegas (Brakmo and Peterson, 1995). A limit that is not
in use is dropped, as it says nothing any more (compare RFC 7661, congestion window validation). A
decrease stops at the number of tasks that the jobs served in time had open, by Little's law.
"""

import math
from collections.abc import Callable

from camphorchute.policies.registry import PolicyRegistry

__all__ = [
    "CONCURRENCY_LIMIT_POLICIES",
    "ConcurrencyLimitPolicy",
    "LimitFigures",
    "adapt_to_delay",
    "set_no_limit",
]

LATE_SHARE_MAX = 0.2
DECREASE_FACTOR = 0.7
INCREASE_TASKS = 2.0
IN_USE_SHARE = 0.5


class LimitFigures:
    """What a process has measured since the last decision on its limit.

    Attributes:
        limit: the present limit of the open tasks, infinite if there is none.
        minimum: number of tasks of one job of each queue.
        peak_tasks: largest number of open tasks.
        late_share: share of the tasks whose process delay alone exceeded what the target time of
            their job allows.
        served_tasks: mean number of open tasks that belonged to jobs which ended in time.
        has_refused: whether a job was refused because of the limit.
        earlier_late_share: the late share before the last decision.
    """

    __slots__ = (
        "limit",
        "minimum",
        "peak_tasks",
        "late_share",
        "served_tasks",
        "has_refused",
        "earlier_late_share",
    )

    def __init__(
        self,
        limit: float,
        minimum: float,
        peak_tasks: float,
        late_share: float,
        served_tasks: float,
        has_refused: bool = False,
        earlier_late_share: float = 0.0,
    ) -> None:
        self.limit = limit
        self.minimum = minimum
        self.peak_tasks = peak_tasks
        self.late_share = late_share
        self.served_tasks = served_tasks
        self.has_refused = has_refused
        self.earlier_late_share = earlier_late_share


ConcurrencyLimitPolicy = Callable[[LimitFigures], float]
CONCURRENCY_LIMIT_POLICIES: PolicyRegistry[ConcurrencyLimitPolicy] = PolicyRegistry(
    "concurrency limit"
)


@CONCURRENCY_LIMIT_POLICIES.register("none")
def set_no_limit(figures: LimitFigures) -> float:
    """Return an infinite limit.

    Examples:
        >>> set_no_limit(LimitFigures(math.inf, 14.0, 200.0, 1.0, 0.0))
        inf
    """
    return math.inf


@CONCURRENCY_LIMIT_POLICIES.register("adaptive")
def adapt_to_delay(figures: LimitFigures) -> float:
    """Return a lower limit after too many late tasks, otherwise a higher one or none.

    Without late tasks there is no limit, so it never binds where processor time is to spare. The
    first limit needs late tasks twice in a row, as one pause of a process is no lack of time.

    Examples:
        >>> adapt_to_delay(LimitFigures(math.inf, 14.0, 200.0, 0.05, 100.0))
        inf
        >>> adapt_to_delay(LimitFigures(math.inf, 14.0, 200.0, 0.4, 50.0))
        inf
        >>> adapt_to_delay(LimitFigures(math.inf, 14.0, 200.0, 0.4, 50.0, False, 0.4))
        140.0
        >>> adapt_to_delay(LimitFigures(160.0, 14.0, 160.0, 0.4, 150.0))
        150.0
        >>> adapt_to_delay(LimitFigures(15.0, 14.0, 15.0, 1.0, 0.0))
        14.0
        >>> adapt_to_delay(LimitFigures(14.0, 14.0, 14.0, 0.0, 10.0))
        16.0
        >>> adapt_to_delay(LimitFigures(60.0, 14.0, 20.0, 0.0, 20.0))
        inf
    """
    if figures.late_share > LATE_SHARE_MAX:
        if math.isinf(figures.limit) and figures.earlier_late_share <= LATE_SHARE_MAX:
            return math.inf
        base = min(figures.limit, figures.peak_tasks)
        lower = max(DECREASE_FACTOR * base, min(base, figures.served_tasks))
        return max(figures.minimum, lower)
    if not figures.has_refused and figures.peak_tasks < IN_USE_SHARE * figures.limit:
        return math.inf
    return figures.limit + INCREASE_TASKS
