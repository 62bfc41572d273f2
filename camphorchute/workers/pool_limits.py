"""Share of one scheduler in the limits of a service."""

from collections.abc import Iterable

from camphorchute.services.definition import ServiceDefinition

__all__ = ["PoolLimits"]

BURST_MS = 1000.0


class PoolLimits:
    """Limits on the tasks of a service that a scheduler may run and start.

    The limits of a service apply per zone. A scheduler gets the share of them that its workers
    have of the slots of the zone, and at least one task.

    Examples:
        >>> from camphorchute.services.definition import Limits, Worker
        >>> workers = [Worker(f"w{i}", f"127.0.2.{i}:9000", "north") for i in range(2)]
        >>> limits = PoolLimits()
        >>> definition = ServiceDefinition("flags", workers, limits=Limits(concurrent_tasks=6))
        >>> limits.apply_definition(definition, ["127.0.2.0:9000"])
        >>> limits.allowance(busy=1, now_ms=0.0)
        2
    """

    __slots__ = ("_concurrent_tasks_max", "_rate_per_ms", "_tokens", "_refilled_ms")

    def __init__(self) -> None:
        self._concurrent_tasks_max: int | None = None
        self._rate_per_ms = 0.0
        self._tokens = 0.0
        self._refilled_ms = 0.0

    def apply_definition(self, definition: ServiceDefinition, own_addresses: Iterable[str]) -> None:
        """Apply the limits of a definition.

        Args:
            definition: the service.
            own_addresses: addresses of the back ends whose scheduler is this process.
        """
        share = _share_of_slots(definition, set(own_addresses))
        limits = definition.limits
        zone_limit = limits.concurrent_tasks
        self._concurrent_tasks_max = max(1, round(zone_limit * share)) if zone_limit else None
        was_unlimited = not self._rate_per_ms
        self._rate_per_ms = limits.start_rate_per_s * share / 1000
        if was_unlimited:
            self._tokens = max(1.0, self._rate_per_ms * BURST_MS)

    def allowance(self, busy: int, now_ms: float) -> int | None:
        """Return the number of further tasks that may start now, or None without a limit.

        Args:
            busy: slots of the service that are busy at this scheduler.
            now_ms: monotonic time.
        """
        allowed = []
        if self._concurrent_tasks_max is not None:
            allowed.append(max(0, self._concurrent_tasks_max - busy))
        if self._rate_per_ms:
            self._refill_tokens(now_ms)
            allowed.append(int(self._tokens))
        return min(allowed) if allowed else None

    def record_starts(self, tasks: int) -> None:
        """Count started tasks against the start rate."""
        if self._rate_per_ms:
            self._tokens -= tasks

    def _refill_tokens(self, now_ms: float) -> None:
        tokens_max = max(1.0, self._rate_per_ms * BURST_MS)
        gained = (now_ms - self._refilled_ms) * self._rate_per_ms
        self._tokens = min(tokens_max, self._tokens + gained)
        self._refilled_ms = now_ms


def _share_of_slots(definition: ServiceDefinition, own_addresses: set[str]) -> float:
    zones = {worker.zone for worker in definition.workers if worker.address in own_addresses}
    in_same_zones = [worker for worker in definition.workers if worker.zone in zones]
    total_slots = sum(worker.slots for worker in in_same_zones)
    own_slots = sum(worker.slots for worker in in_same_zones if worker.address in own_addresses)
    return own_slots / total_slots if total_slots else 1.0
