"""Ejection policies: whether a worker is given no more tasks for a while."""

from collections.abc import Callable

from camphorchute.policies.failures import FailureTracker, may_eject
from camphorchute.policies.registry import PolicyRegistry

__all__ = ["EJECTION_POLICIES"]

EjectionPolicy = Callable[[FailureTracker, list[FailureTracker]], bool]
EJECTION_POLICIES: PolicyRegistry[EjectionPolicy] = PolicyRegistry("ejection")

EJECTION_POLICIES.register("outlier")(may_eject)


@EJECTION_POLICIES.register("never")
def never_eject(tracker: FailureTracker, others: list[FailureTracker]) -> bool:
    """Return False: every worker stays in use."""
    return False
