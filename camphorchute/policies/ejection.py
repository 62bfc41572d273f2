"""Ejection policies: whether a worker is given no more tasks for a while."""

from collections.abc import Callable

from camphorchute.policies.failures import FailureTracker, is_ejected_share_reached, may_eject
from camphorchute.policies.registry import PolicyRegistry

__all__ = ["EJECTION_POLICIES", "EjectionPolicy", "eject_outlier"]

EjectionPolicy = Callable[[FailureTracker, list[FailureTracker], bool], bool]
EJECTION_POLICIES: PolicyRegistry[EjectionPolicy] = PolicyRegistry("ejection")


@EJECTION_POLICIES.register("outlier")
def eject_outlier(
    tracker: FailureTracker, others: list[FailureTracker], has_overdue_run: bool
) -> bool:
    """Return whether a worker fails more than others, or has just had an overdue run.

    One overdue run is enough: the tasks of other workers show that it is at fault, and each
    further task would wait as long. The backoff is short, and the number of ejected workers is
    limited.

    Args:
        tracker: outcomes of the worker.
        others: outcomes of the other workers of its group.
        has_overdue_run: whether a run of it was just stopped as overdue.

    Examples:
        >>> import random
        >>> tracker, other = FailureTracker(random.Random(1)), FailureTracker(random.Random(2))
        >>> eject_outlier(tracker, [other], True), eject_outlier(tracker, [other], False)
        (True, False)
    """
    if has_overdue_run:
        return not is_ejected_share_reached(others)
    return may_eject(tracker, others)


@EJECTION_POLICIES.register("never")
def never_eject(
    tracker: FailureTracker, others: list[FailureTracker], has_overdue_run: bool
) -> bool:
    """Return False: every worker stays in use."""
    return False
