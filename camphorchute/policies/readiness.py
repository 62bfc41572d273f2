"""Readiness policies: whether a process asks the load balancer for requests."""

from collections.abc import Callable

from camphorchute.policies.registry import PolicyRegistry

__all__ = ["READINESS_POLICIES", "ServingState", "is_ready_to_place"]


class ServingState:
    """What a process knows that it needs in order to serve requests.

    Attributes:
        has_queues: whether a queue configuration is in force.
        has_schedulers: whether a scheduler has reported capacity recently.
        uptime_ms: time since the start of the process.
    """

    __slots__ = ("has_queues", "has_schedulers", "uptime_ms")

    def __init__(self, has_queues: bool, has_schedulers: bool, uptime_ms: float) -> None:
        self.has_queues = has_queues
        self.has_schedulers = has_schedulers
        self.uptime_ms = uptime_ms


ReadinessPolicy = Callable[[ServingState], bool]
READINESS_POLICIES: PolicyRegistry[ReadinessPolicy] = PolicyRegistry("readiness")

FIRST_REPORT_WAIT_MS = 5000.0


@READINESS_POLICIES.register("can-place")
def is_ready_to_place(state: ServingState) -> bool:
    """Return whether queues are known and, after a start, a scheduler has reported.

    A process that never hears of a scheduler becomes ready all the same, since its refusals tell
    callers more than a load balancer without a target.

    Examples:
        >>> is_ready_to_place(ServingState(True, False, 400.0))
        False
        >>> is_ready_to_place(ServingState(True, False, 20_000.0))
        True
    """
    return state.has_queues and (state.has_schedulers or state.uptime_ms > FIRST_REPORT_WAIT_MS)


@READINESS_POLICIES.register("configured")
def is_ready_when_configured(state: ServingState) -> bool:
    """Return whether queues are known.

    Examples:
        >>> is_ready_when_configured(ServingState(True, False, 400.0))
        True
    """
    return state.has_queues
