"""Planned placement of the tasks of one step."""

import time

from camphorchute.contracts.batch_job import BatchStep, QueueLimits
from camphorchute.contracts.run_messages import GroupFreeCapacity

__all__ = ["PlacementPlan", "PlanMemo"]

PLAN_MEMO_MAX_MS = 20.0
MS_PER_S = 1000.0


class PlacementPlan:
    """Planned placement of tasks of one step.

    Attributes:
        placed: number of tasks that a group has free capacity for, by group.
        pending: number of tasks that have to wait in a group, by group.
        wait_ms: expected waiting time of the last pending task, in milliseconds.
        workers: the workers that the placed tasks were planned for: report of the group, index of
            the worker in it and number of tasks.
    """

    __slots__ = ("placed", "pending", "wait_ms", "workers")

    def __init__(
        self,
        placed: dict[str, int],
        pending: dict[str, int],
        wait_ms: float = 0.0,
        workers: list[tuple[GroupFreeCapacity, int, int]] | None = None,
    ) -> None:
        self.placed = placed
        self.pending = pending
        self.wait_ms = wait_ms
        self.workers = workers or []

    @property
    def pending_count(self) -> int:
        """Number of tasks that have to wait."""
        return sum(self.pending.values())


class PlanMemo:
    """The last plan, so that the dispatch of a job uses the plan of its admission.

    Args:
        plan: the plan.
        service: name of the service that it was made for.
        step: the step that it was made for.
        tasks: number of tasks.
        limits: limits of the queue for the step.
        generation: number of changes of the free-capacity view before the plan.
    """

    __slots__ = ("plan", "_inputs", "_step", "_limits", "_made_s")

    def __init__(
        self,
        plan: PlacementPlan,
        service: str,
        step: BatchStep,
        tasks: int,
        limits: QueueLimits,
        generation: int,
    ) -> None:
        self.plan = plan
        self._inputs = (service, tasks, generation)
        self._step = step
        self._limits = limits
        self._made_s = time.monotonic()

    def is_for(
        self, service: str, step: BatchStep, tasks: int, limits: QueueLimits, generation: int
    ) -> bool:
        """Return whether a plan for these inputs would be the same now."""
        return (
            self._step is step
            and self._limits is limits
            and self._inputs == (service, tasks, generation)
            and (time.monotonic() - self._made_s) * MS_PER_S < PLAN_MEMO_MAX_MS
        )
