"""Free-capacity view: free resources of worker groups as their schedulers last reported them."""

import time
from collections.abc import Callable

from gevent.event import Event

from camphorchute.contracts.batch_job import BatchStep, QueueLimits
from camphorchute.contracts.member import Member
from camphorchute.contracts.resources import Resources
from camphorchute.contracts.run_messages import GroupFreeCapacity, RoomReport, WorkerFreeCapacity
from camphorchute.links import handles
from camphorchute.policies.worker_choice import (
    WorkerCandidate,
    WorkerChoicePolicy,
    rank_own_zone_first,
)
from camphorchute.queues.group_wait import GroupWait
from camphorchute.queues.service_zones import ServiceZones
from camphorchute.runs.group_names import zone_of_group

__all__ = ["PlacementPlan", "FreeCapacityView"]

REPORT_STALE_MS = 2000.0
SCHEDULER_DELAY_STEP_MS = 50.0  # smaller differences are noise, and must not outweigh the zone
MS_PER_S = 1000.0


class _ReceivedReport:
    """The last free-capacity report of a worker group.

    Attributes:
        scheduler: the member that sent it.
        free_capacity: what it says, less the tasks that were planned since.
        received_s: monotonic time at which it was received.
    """

    __slots__ = ("scheduler", "free_capacity", "received_s")

    def __init__(
        self, scheduler: Member, free_capacity: GroupFreeCapacity, received_s: float
    ) -> None:
        self.scheduler = scheduler
        self.free_capacity = free_capacity
        self.received_s = received_s


class PlacementPlan:
    """Planned placement of tasks of one step.

    Attributes:
        placed: number of tasks that a group has free capacity for, by group.
        pending: number of tasks that have to wait in a group, by group.
        wait_ms: expected waiting time of the last pending task, in milliseconds.
    """

    __slots__ = ("placed", "pending", "wait_ms")

    def __init__(
        self, placed: dict[str, int], pending: dict[str, int], wait_ms: float = 0.0
    ) -> None:
        self.placed = placed
        self.pending = pending
        self.wait_ms = wait_ms

    @property
    def pending_count(self) -> int:
        """Number of tasks that have to wait."""
        return sum(self.pending.values())


class FreeCapacityView:
    """Plans the placement of tasks from free-capacity reports.

    Capacity that was reserved for tasks is subtracted until the next report of the group.

    Args:
        zone: availability zone of this process.
        worker_choice: returns the rank of a worker for a task.

    Attributes:
        report_received: event that is set when a report arrives; cleared by who waits for it.
        service_zones: which zones are evacuated; no tasks are planned there.
        scheduler_delay_ms: returns the delay of jobs at a scheduler, by its member id.
    """

    __slots__ = (
        "report_received",
        "service_zones",
        "scheduler_delay_ms",
        "_zone",
        "_worker_choice",
        "_reports",
    )

    def __init__(
        self, zone: str = "", worker_choice: WorkerChoicePolicy = rank_own_zone_first
    ) -> None:
        self.report_received = Event()
        self.service_zones = ServiceZones()
        self.scheduler_delay_ms: Callable[[str], float] = lambda member_id: 0.0
        self._zone = zone
        self._worker_choice = worker_choice
        self._reports: dict[str, _ReceivedReport] = {}

    @handles(RoomReport, nonblocking=True)
    def handle_report(self, peer: Member, report: RoomReport) -> None:
        """Replace the sender's reports; it no longer schedules groups that its report lacks."""
        now_s = time.monotonic()
        reported_groups = {free_capacity.group for free_capacity in report.groups}
        for group, received in list(self._reports.items()):
            if received.scheduler.member_id == peer.member_id and group not in reported_groups:
                del self._reports[group]
        for free_capacity in report.groups:
            self._reports[free_capacity.group] = _ReceivedReport(peer, free_capacity, now_s)
        self.report_received.set()

    def forget_member(self, member_id: str) -> None:
        """Remove all reports of a member.

        Args:
            member_id: id of the member.
        """
        for group, received in list(self._reports.items()):
            if received.scheduler.member_id == member_id:
                del self._reports[group]

    def scheduler_of(self, group: str) -> Member | None:
        """Return the scheduler that last reported a group, None if no report is recent enough."""
        received = self._reports.get(group)
        if received is None or received.received_s < _oldest_valid_s():
            return None
        return received.scheduler

    def report_age_ms(self, service: str) -> int:
        """Return the age in milliseconds of the oldest report used for a service, -1 if none is."""
        now_s = time.monotonic()
        ages_ms = [
            (now_s - received.received_s) * MS_PER_S for received in self._fresh_reports(service)
        ]
        return round(max(ages_ms, default=-1))

    def has_reports(self) -> bool:
        """Return whether a scheduler of any group has reported recently."""
        oldest_s = _oldest_valid_s()
        return any(received.received_s >= oldest_s for received in self._reports.values())

    def has_scheduler(self, service: str) -> bool:
        """Return whether a scheduler has reported workers of a service recently."""
        return bool(self._fresh_reports(service))

    def can_ever_run(self, service: str, demand: Resources) -> bool:
        """Return whether the total capacity of some group of a service suffices for a demand.

        Total capacity is that of all workers of the group, free or in use.
        """
        return any(
            received.free_capacity.capacity.can_hold(demand)
            for received in self._fresh_reports(service)
        )

    def plan(self, service: str, step: BatchStep, tasks: int, limits: QueueLimits) -> PlacementPlan:
        """Plan the placement of tasks of one step, without reserving capacity.

        Args:
            service: name of the service whose workers run the tasks.
            step: the step.
            tasks: number of tasks to place.
            limits: limits of the queue for the step, which rank the workers.
        """
        reports = self._fresh_reports(service)
        chosen: dict[str, int] = {}
        remaining = tasks
        for group, _, copies in self._rank_workers(reports, step, limits):
            if not remaining:
                break
            count = min(copies, remaining)
            chosen[group] = chosen.get(group, 0) + count
            remaining -= count
        if not remaining or not reports:
            return PlacementPlan(chosen, {})
        pending, wait_ms = self._spread_pending(reports, step, remaining, limits)
        return PlacementPlan(chosen, pending, wait_ms)

    def reserve(self, plan: PlacementPlan, step: BatchStep, limits: QueueLimits) -> None:
        """Subtract the capacity of planned tasks until the schedulers report again.

        Args:
            plan: the planned placement.
            step: the step of the tasks.
            limits: the limits that the plan was made with.
        """
        for group in {**plan.placed, **plan.pending}:
            received = self._reports.get(group)
            if received is not None:
                tasks = plan.placed.get(group, 0) + plan.pending.get(group, 0)
                self._reserve_in_group(received.free_capacity, step, tasks, limits)

    def mark_group_full(self, group: str, demand: Resources) -> None:
        """Treat the workers of a group that could hold a demand as full until it reports again.

        Args:
            group: name of the group.
            demand: resources of the task that the group had no capacity for.
        """
        received = self._reports.get(group)
        if received is None:
            return
        received.free_capacity.workers[:] = [
            (
                WorkerFreeCapacity(Resources(0), worker.speed)
                if worker.free.can_hold(demand)
                else worker
            )
            for worker in received.free_capacity.workers
        ]

    def _fresh_reports(self, service: str) -> list[_ReceivedReport]:
        """Return the reports of a service's groups that are recent enough for placement."""
        oldest_s = _oldest_valid_s()
        return [
            received
            for received in self._reports.values()
            if received.free_capacity.service == service
            and received.received_s >= oldest_s
            and not self.service_zones.is_zone_evacuated(
                zone_of_group(received.free_capacity.group)
            )
        ]

    def _rank_workers(
        self, reports: list[_ReceivedReport], step: BatchStep, limits: QueueLimits
    ) -> list[tuple[str, WorkerFreeCapacity, int]]:
        """Return group, worker and number of tasks that fit, for each worker, best worker first."""
        eligible = [
            (received.free_capacity.group, worker, worker.free.count_fitting(step.demand))
            for received in reports
            for worker in received.free_capacity.workers
            if worker.free.can_hold(step.demand)
        ]
        delays_ms = self._scheduler_delays_ms(reports)
        eligible.sort(
            key=lambda row: (
                delays_ms[row[0]] // SCHEDULER_DELAY_STEP_MS,
                self._rank(row[0], row[1].speed, step, limits),
            )
        )
        return eligible

    def _scheduler_delays_ms(self, reports: list[_ReceivedReport]) -> dict[str, float]:
        """Return the delay of jobs at the scheduler of each group, in milliseconds."""
        return {
            received.free_capacity.group: self.scheduler_delay_ms(received.scheduler.member_id)
            for received in reports
        }

    def _rank(self, group: str, speed: float, step: BatchStep, limits: QueueLimits) -> tuple:
        candidate = WorkerCandidate(speed, zone_of_group(group) == self._zone)
        return self._worker_choice(candidate, step.estimate_ms, limits)

    def _spread_pending(
        self, reports: list[_ReceivedReport], step: BatchStep, tasks: int, limits: QueueLimits
    ) -> tuple[dict[str, int], float]:
        """Spread tasks that have to wait over the groups with the shortest expected waits.

        Returns:
            The number of tasks by group, and the expected waiting time of the last one in
            milliseconds.
        """
        waits = {
            received.free_capacity.group: GroupWait(
                received.free_capacity,
                step,
                limits,
                zone_of_group(received.free_capacity.group) == self._zone,
            )
            for received in reports
            if received.free_capacity.capacity.can_hold(step.demand)
        }
        chosen: dict[str, int] = {}
        if not waits:
            return chosen, 0.0
        delays_ms = self._scheduler_delays_ms(reports)
        for _ in range(tasks):
            group = min(waits, key=lambda name: waits[name].cost_ms() + delays_ms[name])
            waits[group].add_task()
            chosen[group] = chosen.get(group, 0) + 1
        return chosen, max(waits[group].expected_ms() for group in chosen)

    def _reserve_in_group(
        self, free_capacity: GroupFreeCapacity, step: BatchStep, tasks: int, limits: QueueLimits
    ) -> None:
        """Subtract tasks from the free workers of a group, and add the others to its backlog."""
        ranked = sorted(
            range(len(free_capacity.workers)),
            key=lambda index: self._rank(
                free_capacity.group, free_capacity.workers[index].speed, step, limits
            ),
        )
        for worker_number in ranked:
            worker = free_capacity.workers[worker_number]
            while tasks and worker.free.can_hold(step.demand):
                worker = WorkerFreeCapacity(worker.free.minus(step.demand), worker.speed)
                tasks -= 1
            free_capacity.workers[worker_number] = worker
        if tasks:
            core_ms = step.demand.cpu_millicores / 1000 * step.estimate_ms * tasks
            backlog_core_ms = free_capacity.waiting_core_ms
            backlog_core_ms[limits.priority] = backlog_core_ms.get(limits.priority, 0.0) + core_ms


def _oldest_valid_s() -> float:
    """Return the monotonic time before which a report is too old for placement."""
    return time.monotonic() - REPORT_STALE_MS / MS_PER_S
