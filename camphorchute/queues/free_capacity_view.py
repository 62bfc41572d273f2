"""Free-capacity view: free resources of worker groups as their schedulers last reported them."""

import time
from collections.abc import Callable, Collection, Iterator
from heapq import heapify, heapreplace

from gevent.event import Event

from camphorchute.cluster import WorkerCapacities
from camphorchute.contracts.batch_job import BatchStep, QueueLimits
from camphorchute.contracts.member import Member
from camphorchute.contracts.resources import Resources
from camphorchute.contracts.run_messages import (
    GroupChange,
    GroupFreeCapacity,
    RoomReport,
    WorkerFreeCapacity,
)
from camphorchute.links import handles
from camphorchute.policies.worker_choice import (
    WorkerCandidate,
    WorkerChoicePolicy,
    rank_own_zone_first,
)
from camphorchute.queues.group_wait import GroupWait
from camphorchute.queues.placement_plan import PlacementPlan, PlanMemo
from camphorchute.queues.received_report import ReceivedReport
from camphorchute.queues.service_zones import ServiceZones
from camphorchute.runs.group_names import zone_of_group

__all__ = ["PlacementPlan", "FreeCapacityView"]

REPORT_STALE_MS = 2000.0
SCHEDULER_DELAY_STEP_MS = 50.0  # smaller differences are noise, and must not outweigh the zone
MS_PER_S = 1000.0


class FreeCapacityView:
    """Plans the placement of tasks from free-capacity reports.

    Capacity that was reserved for tasks is subtracted until the next report of the group.

    Args:
        zone: availability zone of this process.
        worker_choice: returns the rank of a worker for a task.
        count: adds to a named counter.

    Attributes:
        report_received: event that is set when a report arrives; cleared by who waits for it.
        service_zones: which zones are evacuated; no tasks are planned there.
        scheduler_delay_ms: returns the delay of jobs at a scheduler, by its member id.
        capacities: the capacities of all listed workers; None if every group reports to this
            process, so that the reports alone tell what can run.
        request_reports: requests reports of groups that can hold a demand of a service, called with
            the groups that can and have reported.
    """

    __slots__ = (
        "report_received",
        "service_zones",
        "scheduler_delay_ms",
        "capacities",
        "request_reports",
        "_zone",
        "_worker_choice",
        "_reports",
        "_generation",
        "_last_plan",
        "_count",
    )

    def __init__(
        self,
        zone: str = "",
        worker_choice: WorkerChoicePolicy = rank_own_zone_first,
        count: Callable[..., None] = lambda name, n=1: None,
    ) -> None:
        self.report_received = Event()
        self.service_zones = ServiceZones()
        self.scheduler_delay_ms: Callable[[str], float] = lambda member_id: 0.0
        self.capacities: WorkerCapacities | None = None
        self.request_reports: Callable[[str, Resources, Collection[str]], None] = (
            lambda service, demand, able_groups: None
        )
        self._zone = zone
        self._worker_choice = worker_choice
        self._reports: dict[str, ReceivedReport] = {}
        self._generation = 0
        self._last_plan: PlanMemo | None = None
        self._count = count

    @handles(RoomReport, nonblocking=True)
    def handle_report(self, peer: Member, report: RoomReport) -> None:
        """Apply a report; the sender no longer schedules groups that a complete one lacks.

        Groups that another member has reported with a later claim are passed over.
        """
        self._generation += 1
        now_s = time.monotonic()
        if report.changes:
            were_applied = [
                self._apply_change(peer, change, report, now_s) for change in report.changes
            ]
            if not all(were_applied):
                self._count("queues.report_missed")
            self.report_received.set()
            return
        reported_groups = {free_capacity.group for free_capacity in report.groups}
        for group, received in list(self._reports.items()):
            if received.scheduler.member_id == peer.member_id and group not in reported_groups:
                del self._reports[group]
        for free_capacity in report.groups:
            if self._is_superseded(peer, free_capacity):
                self._count("queues.report_superseded")
                continue
            is_own_zone = zone_of_group(free_capacity.group) == self._zone
            self._reports[free_capacity.group] = ReceivedReport(
                peer, free_capacity, report.number, now_s, is_own_zone
            )
        self.report_received.set()

    def _is_superseded(self, peer: Member, free_capacity: GroupFreeCapacity) -> bool:
        """Return whether a member with a later claim to a group has reported it recently.

        A process that was paused reports its groups until it learns that it has lost them.
        """
        known = self._reports.get(free_capacity.group)
        if known is None or known.received_s < _oldest_valid_s() or not free_capacity.fence:
            return False
        is_other = known.scheduler.member_id != peer.member_id
        return is_other and free_capacity.fence < known.free_capacity.fence

    def _apply_change(
        self, peer: Member, change: GroupChange, report: RoomReport, now_s: float
    ) -> bool:
        """Apply a change to the report of a group; return whether it follows the last report."""
        received = self._reports.get(change.group)
        if (
            received is None
            or received.scheduler.member_id != peer.member_id
            or received.number != report.number - 1
        ):
            return False
        received.apply(change, report.number, now_s)
        return True

    def forget_member(self, member_id: str) -> None:
        """Remove all reports of a member.

        Args:
            member_id: id of the member.
        """
        self._generation += 1
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
        """Return whether some listed worker of a service has capacity for a demand, free or not.

        Groups whose reports this process does not receive count as well.
        """
        if self.capacities is None:
            return self.can_plan(service, demand)
        return any(
            not self.service_zones.is_zone_evacuated(zone_of_group(group))
            for group in self.capacities.groups_for(service, demand)
        )

    def can_plan(self, service: str, demand: Resources) -> bool:
        """Return whether a group that can hold a demand, now or later, has reported recently.

        Reports of such groups are requested if there are few.
        """
        return bool(self._find_able(self._fresh_reports(service), service, demand))

    def _find_able(
        self, reports: list[ReceivedReport], service: str, demand: Resources
    ) -> list[ReceivedReport]:
        """Return the reports of groups that can hold a demand; request more if there are few.

        The most of each resource in a report may be that of different workers, so that the listed
        workers decide too.
        """
        able = [
            received
            for received in reports
            if received.free_capacity.can_ever_hold(demand)
            and (
                self.capacities is None
                or self.capacities.can_hold(received.free_capacity.group, demand)
            )
        ]
        self.request_reports(service, demand, [received.free_capacity.group for received in able])
        return able

    def plan(self, service: str, step: BatchStep, tasks: int, limits: QueueLimits) -> PlacementPlan:
        """Plan the placement of tasks of one step, without reserving capacity.

        Args:
            service: name of the service whose workers run the tasks.
            step: the step.
            tasks: number of tasks to place.
            limits: limits of the queue for the step, which rank the workers.
        """
        memo = self._last_plan
        if memo is not None and memo.is_for(service, step, tasks, limits, self._generation):
            return memo.plan
        able = self._find_able(self._fresh_reports(service), service, step.demand)
        plan = self._make_plan(able, step, tasks, limits)
        self._last_plan = PlanMemo(plan, service, step, tasks, limits, self._generation)
        return plan

    def _make_plan(
        self, reports: list[ReceivedReport], step: BatchStep, tasks: int, limits: QueueLimits
    ) -> PlacementPlan:
        chosen: dict[str, int] = {}
        workers: list[tuple[GroupFreeCapacity, int, int]] = []
        remaining = tasks
        for free_capacity, index, copies in self._workers_by_rank(reports, step, limits):
            count = min(copies, remaining)
            chosen[free_capacity.group] = chosen.get(free_capacity.group, 0) + count
            workers.append((free_capacity, index, count))
            remaining -= count
            if not remaining:
                break
        if not remaining or not reports:
            return PlacementPlan(chosen, {}, 0.0, workers)
        pending, wait_ms = self._spread_pending(reports, step, remaining, limits)
        return PlacementPlan(chosen, pending, wait_ms, workers)

    def reserve(self, plan: PlacementPlan, step: BatchStep, limits: QueueLimits) -> None:
        """Subtract the capacity of planned tasks until the schedulers report again.

        Args:
            plan: the planned placement.
            step: the step of the tasks.
            limits: the limits that the plan was made with.
        """
        self._generation += 1
        for free_capacity, index, tasks in plan.workers:
            received = self._reports.get(free_capacity.group)
            if received is not None and received.free_capacity is free_capacity:
                worker = free_capacity.workers[index]
                free = worker.free.minus(step.demand.times(tasks))
                free_capacity.workers[index] = WorkerFreeCapacity(free, worker.speed)
                received.touched.add(index)
        for group, tasks in plan.pending.items():
            received = self._reports.get(group)
            if received is not None:
                core_ms = step.demand.cpu_millicores / 1000 * step.estimate_ms * tasks
                backlog_core_ms = received.free_capacity.waiting_core_ms
                backlog_core_ms[limits.priority] = (
                    backlog_core_ms.get(limits.priority, 0.0) + core_ms
                )

    def mark_group_full(self, group: str, demand: Resources) -> None:
        """Treat the workers of a group that could hold a demand as full until it reports again.

        Args:
            group: name of the group.
            demand: resources of the task that the group had no capacity for.
        """
        received = self._reports.get(group)
        if received is None:
            return
        self._generation += 1
        workers = received.free_capacity.workers
        for index, worker in enumerate(workers):
            if worker.free.can_hold(demand):
                workers[index] = WorkerFreeCapacity(Resources(0), worker.speed)
                received.touched.add(index)

    def _fresh_reports(self, service: str) -> list[ReceivedReport]:
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

    def _workers_by_rank(
        self, reports: list[ReceivedReport], step: BatchStep, limits: QueueLimits
    ) -> Iterator[tuple[GroupFreeCapacity, int, int]]:
        """Yield the report, the index and the number of tasks that fit of each worker, best first.

        Schedulers with less delay come first. A rank is computed once for all workers of one speed
        in the own zone or in others whose schedulers have about the same delay.
        """
        demand = step.demand
        needed_cpu, needed_mb, needed_gpus = demand.cpu_millicores, demand.memory_mb, demand.gpus
        by_kind: dict[tuple[float, float, bool], list[tuple[GroupFreeCapacity, int]]] = {}
        for received in reports:
            free_capacity, is_own_zone = received.free_capacity, received.is_own_zone
            delay_step = self._scheduler_delay_ms(received) // SCHEDULER_DELAY_STEP_MS
            for index, worker in enumerate(free_capacity.workers):
                free = worker.free
                if (
                    free.cpu_millicores >= needed_cpu
                    and free.memory_mb >= needed_mb
                    and free.gpus >= needed_gpus
                ):
                    kind = (delay_step, worker.speed, is_own_zone)
                    by_kind.setdefault(kind, []).append((free_capacity, index))
        kinds = sorted(by_kind, key=lambda kind: (kind[0], self._rank(*kind[1:], step, limits)))
        for kind in kinds:
            for free_capacity, index in by_kind[kind]:
                copies = free_capacity.workers[index].free.count_fitting(demand)
                if copies:
                    yield free_capacity, index, copies

    def _scheduler_delay_ms(self, received: ReceivedReport) -> float:
        return self.scheduler_delay_ms(received.scheduler.member_id)

    def _rank(self, speed: float, is_own_zone: bool, step: BatchStep, limits: QueueLimits) -> tuple:
        return self._worker_choice(WorkerCandidate(speed, is_own_zone), step.estimate_ms, limits)

    def _spread_pending(
        self, reports: list[ReceivedReport], step: BatchStep, tasks: int, limits: QueueLimits
    ) -> tuple[dict[str, int], float]:
        """Spread tasks that have to wait over the groups with the shortest expected waits.

        Returns:
            The number of tasks by group, and the expected waiting time of the last one in
            milliseconds.
        """
        groups = [received.free_capacity.group for received in reports]
        waits = [
            GroupWait(received.free_capacity, step, limits, received.is_own_zone)
            for received in reports
        ]
        chosen: dict[str, int] = {}
        delays_ms = [self._scheduler_delay_ms(received) for received in reports]
        costs = [(wait.cost_ms() + delays_ms[number], number) for number, wait in enumerate(waits)]
        heapify(costs)
        for _ in range(tasks):
            number = costs[0][1]
            waits[number].add_task()
            heapreplace(costs, (waits[number].cost_ms() + delays_ms[number], number))
            chosen[groups[number]] = chosen.get(groups[number], 0) + 1
        expected_ms = (
            wait.expected_ms() for wait, group in zip(waits, groups, strict=True) if group in chosen
        )
        return chosen, max(expected_ms)


def _oldest_valid_s() -> float:
    """Return the monotonic time before which a report is too old for placement."""
    return time.monotonic() - REPORT_STALE_MS / MS_PER_S
