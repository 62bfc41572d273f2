"""Dispatch of pending tasks to schedulers: immediately to free slots, otherwise on a grant."""

import itertools
import math
from collections import deque
from collections.abc import Callable

import gevent

from camphorchute.contracts.codes import ResultCode
from camphorchute.contracts.errors import Refusal
from camphorchute.contracts.member import Member
from camphorchute.contracts.messages import (
    CancelTasks,
    Demand,
    DispatchedTask,
    Grant,
    HandOff,
    Heartbeat,
    SlotCount,
    TasksReturned,
)
from camphorchute.jobs.job import Job, TaskState
from camphorchute.jobs.placement import SchedulerSlots, place_tasks
from camphorchute.links import Peers
from camphorchute.zones import ZoneView

__all__ = ["Dispatcher"]


class Dispatcher:
    """Backlog of an owner's pending tasks and their dispatch to schedulers.

    Args:
        view: the ownership records.
        peers: links to the schedulers.
        policy_of: returns the name of the placement policy of a service.
        count: adds to a named counter.

    Attributes:
        acknowledge_local_tasks: called with a job and indices of tasks before they are dispatched
            to a scheduler beyond the job's reach; returns once a witness has recorded them, and
            raises a :class:`Refusal` otherwise.
    """

    __slots__ = (
        "acknowledge_local_tasks",
        "_view",
        "_peers",
        "_policy_of",
        "_count",
        "_backlogs",
        "_pending_counts",
        "_schedulers",
        "_reported_slots",
        "_requested_slots",
        "_attempt_numbers",
    )

    def __init__(
        self,
        view: ZoneView,
        peers: Peers,
        policy_of: Callable[[str], str],
        count: Callable[..., None],
    ) -> None:
        self.acknowledge_local_tasks: Callable[[Job, list[int]], None] = lambda job, indices: None
        self._view = view
        self._peers = peers
        self._policy_of = policy_of
        self._count = count
        self._backlogs: dict[tuple[str, str], deque[tuple[Job, int]]] = {}
        self._pending_counts: dict[tuple[str, str], int] = {}
        self._schedulers: dict[str, dict[str, SchedulerSlots]] = {}
        self._reported_slots: dict[str, list[SlotCount]] = {}
        self._requested_slots: dict[tuple[str, str, str], int] = {}
        self._attempt_numbers = itertools.count(1)

    def pending_task_count(self, service: str) -> int:
        """Return the number of pending tasks of a service.

        This is the larger of the number at this owner and the number at all owners that the
        schedulers last reported.

        Args:
            service: name of the service or pool.
        """
        own_pending = sum(n for (name, _), n in self._pending_counts.items() if name == service)
        schedulers = self._schedulers.get(service, {}).values()
        return max(own_pending, sum(scheduler.pending_tasks for scheduler in schedulers))

    def pending_tasks_of_team(self, service: str, team: str) -> int:
        """Return the number of a team's pending tasks at this owner.

        Args:
            service: name of the service or pool.
            team: name of the team.
        """
        return self._pending_counts.get((service, team), 0)

    def reported_slots(self, service: str) -> int:
        """Return the number of slots of a service that the schedulers last reported, free or not.

        Args:
            service: name of the service or pool.
        """
        return sum(
            scheduler.total_slots for scheduler in self._schedulers.get(service, {}).values()
        )

    def add_free_slots(self, scheduler_id: str, service: str, slots: int) -> None:
        """Add freed slots to the free slots of a scheduler that has no pending tasks.

        Args:
            scheduler_id: member id of the scheduler.
            service: name of the service or pool.
            slots: number of slots that became free.
        """
        scheduler = self._schedulers.get(service, {}).get(scheduler_id)
        if scheduler is not None and not scheduler.pending_tasks:
            scheduler.free_slots = min(scheduler.total_slots, scheduler.free_slots + slots)

    def receive_heartbeat(self, peer: Member, heartbeat: Heartbeat) -> None:
        """Record a scheduler's free slots and dispatch pending tasks to this owner's share.

        Each member of the zone may use an equal share of the free slots without a grant.

        Args:
            peer: the scheduler.
            heartbeat: its heartbeat; without slot counts, the last reported ones hold.
        """
        reported = (
            self._reported_slots.get(peer.member_id, [])
            if heartbeat.slots is None
            else heartbeat.slots
        )
        self._reported_slots[peer.member_id] = reported
        current = {}
        owner_count = max(1, len(self._view.record.members))
        for slot_count in [] if heartbeat.leaving else reported:
            share = slot_count.free // owner_count
            current[slot_count.service] = SchedulerSlots(
                peer.member_id, share, slot_count.slots, slot_count.waiting
            )
        for service in {*current, *self._schedulers}:
            schedulers = self._schedulers.setdefault(service, {})
            if service in current:
                schedulers[peer.member_id] = current[service]
            else:
                schedulers.pop(peer.member_id, None)
        for service, team in list(self._backlogs):
            if service in current:
                self._dispatch_pending(service, team)
                self._send_demand(peer.member_id, service, team)

    def remove_scheduler(self, member_id: str) -> None:
        """Dispatch nothing more to a scheduler until its next heartbeat with slot counts.

        Args:
            member_id: member id of the scheduler.
        """
        self._reported_slots.pop(member_id, None)
        for schedulers in self._schedulers.values():
            schedulers.pop(member_id, None)

    def enqueue_tasks(self, job: Job, indices: list[int]) -> None:
        """Add tasks of an open job to the backlog and dispatch what fits into free slots.

        Args:
            job: the job; nothing happens if it has ended, is ending or may not dispatch tasks yet.
            indices: indices of the tasks.
        """
        if not job.is_open or job.is_ending or not job.may_dispatch:
            return
        queue = self._backlogs.setdefault((job.pool, job.spec.team), deque())
        queue.extend((job, index) for index in indices)
        self._adjust_pending_count(job, len(indices))
        self._dispatch_pending(job.pool, job.spec.team)
        self._send_demands(job.pool, job.spec.team)

    def requeue_tasks(self, job: Job, indices: list[int]) -> None:
        """Put tasks that a scheduler did not start back at the head of the backlog.

        Args:
            job: the job; nothing happens if it has ended or may not dispatch tasks yet.
            indices: indices of the tasks.
        """
        if not job.is_open or not job.may_dispatch:
            return
        queue = self._backlogs.setdefault((job.pool, job.spec.team), deque())
        queue.extendleft((job, index) for index in reversed(indices))
        self._adjust_pending_count(job, len(indices))

    def use_grant(self, scheduler: Member, grant: Grant) -> None:
        """Dispatch pending tasks to granted slots; return unused slots immediately.

        Args:
            scheduler: the scheduler that granted the slots.
            grant: the service, the team and the number of slots.
        """
        request_key = (scheduler.member_id, grant.service, grant.team)
        self._requested_slots[request_key] = self._requested_slots.get(request_key, 0) - grant.slots
        batch = self._pop_pending(grant.service, grant.team, grant.slots, scheduler)
        unused = grant.slots - sum(len(indices) for _, indices in batch)
        for job, indices in batch:
            self._dispatch_to(job, indices, scheduler, len(indices))
        if unused:
            self._return_grant(grant, scheduler, unused)
        if self._requested_slots[request_key] <= 0:
            self._send_demands(grant.service, grant.team)

    def requeue_returned_tasks(
        self, job: Job, scheduler: Member, message: TasksReturned
    ) -> list[int]:
        """Requeue the tasks that a scheduler returned, and return their indices.

        Args:
            job: the job.
            scheduler: the scheduler.
            message: the attempts that were not started and the reason.
        """
        code = ResultCode(message.code)
        if code is ResultCode.FITS_NO_WORKER:
            job.unfit_scheduler_ids.add(scheduler.member_id)
        attempts = set(message.attempts)
        indices = [i for i, task in enumerate(job.tasks) if task.attempt in attempts]
        returned = [i for i in indices if job.return_task(i, job.tasks[i].attempt)]
        if job.open_query_count:
            job.returned_attempts |= attempts
        self._count(f"jobs.retry.{code.name.lower()}", len(returned))
        self.requeue_tasks(job, returned)
        return returned

    def discount_pending_tasks(self, job: Job) -> None:
        """Take the tasks of an ended or moved job out of the number of pending tasks.

        The entries themselves stay in the backlog and are skipped when they reach its head.

        Args:
            job: the job.
        """
        self._adjust_pending_count(job, -job.queued_task_count)

    def cancel_dispatched_tasks(self, job: Job) -> None:
        """Send one message to each scheduler that holds tasks of a job to cancel them.

        Args:
            job: the job; nothing is sent if this process does not own its key any more.
        """
        term = self._view.owned_term(job.key.shard)
        if term is None:
            return
        for scheduler_id in job.active_schedulers():
            self._peers.send_if_linked(scheduler_id, CancelTasks(job.key.text, term.number))

    def _dispatch_pending(self, service: str, team: str) -> None:
        queue = self._backlogs.get((service, team))
        schedulers = self._eligible_schedulers(service)
        if not queue or not schedulers:
            return
        ids_within_reach = {
            member.member_id for member in self._view.schedulers_within(self._view.reach())
        }
        for member_id, scheduler in schedulers.items():
            scheduler.is_beyond_reach = member_id not in ids_within_reach
        shares = place_tasks(self._policy_of(service), list(schedulers.values()), len(queue))
        for member_id, share in shares.items():
            scheduler = self._view.record.member(member_id)
            if scheduler is not None:
                for job, indices in self._pop_pending(service, team, share, scheduler):
                    schedulers[member_id].free_slots -= len(indices)
                    self._dispatch_to(job, indices, scheduler, 0)

    def _pop_pending(self, service: str, team: str, max_tasks: int, scheduler: Member) -> list:
        """Remove up to ``max_tasks`` tasks for a scheduler from the backlog, grouped by job.

        Tasks that fit none of the scheduler's workers stay in the backlog in their order; tasks
        of jobs that have ended are dropped.
        """
        queue = self._backlogs.get((service, team))
        batch: dict[int, tuple[Job, list[int]]] = {}
        unfit = []
        taken_count = 0
        while queue and taken_count < max_tasks:
            job, index = queue.popleft()
            if not job.is_open or job.is_ending or job.tasks[index].state is not TaskState.WAITING:
                continue
            if scheduler.member_id in job.unfit_scheduler_ids:
                unfit.append((job, index))
                continue
            self._adjust_pending_count(job, -1)
            batch.setdefault(id(job), (job, []))[1].append(index)
            taken_count += 1
        if queue is not None:
            queue.extendleft(reversed(unfit))
            if not queue:
                del self._backlogs[(service, team)]
        return list(batch.values())

    def _dispatch_to(self, job: Job, indices: list[int], scheduler: Member, granted: int) -> None:
        if scheduler in self._view.schedulers_within(job.reach):
            self._send_tasks(job, indices, scheduler.member_id, granted)
        else:
            gevent.spawn(self._dispatch_beyond_reach, job, indices, scheduler, granted)

    def _dispatch_beyond_reach(
        self, job: Job, indices: list[int], scheduler: Member, granted: int
    ) -> None:
        try:
            self.acknowledge_local_tasks(job, indices)
        except Refusal as refusal:
            self._count(f"jobs.retry.local_{refusal.code.name.lower()}")
            self.requeue_tasks(job, indices)
            return
        self._send_tasks(job, indices, scheduler.member_id, granted)

    def _send_tasks(self, job: Job, indices: list[int], scheduler_id: str, granted: int) -> None:
        term = self._view.owned_term(job.key.shard)
        if term is None or not job.is_open:
            return
        tasks = []
        for index in indices:
            attempt = f"{self._view.member.member_id}-{next(self._attempt_numbers)}"
            job.dispatch_task(index, attempt, scheduler_id)
            tasks.append(DispatchedTask(index, attempt, job.spec.tasks[index]))
        message = HandOff(
            job.key.text,
            job.key.shard,
            term.number,
            self._view.member.member_id,
            job.pool,
            job.spec.team,
            job.remaining_ms,
            granted,
            tasks,
        )
        if not self._peers.send_if_linked(scheduler_id, message):
            for task in tasks:
                job.return_task(task.index, task.attempt)
            self.requeue_tasks(job, indices)

    def _adjust_pending_count(self, job: Job, change: int) -> None:
        job.queued_task_count += change
        backlog_key = (job.pool, job.spec.team)
        self._pending_counts[backlog_key] = self._pending_counts.get(backlog_key, 0) + change
        if not self._pending_counts[backlog_key]:
            del self._pending_counts[backlog_key]

    def _return_grant(self, grant: Grant, scheduler: Member, slots: int) -> None:
        self._count("jobs.grant_not_needed", slots)
        owner_id = self._view.member.member_id
        message = HandOff("", 0, 0, owner_id, grant.service, grant.team, 1.0, slots, [])
        self._peers.send_if_linked(scheduler.member_id, message)

    def _send_demands(self, service: str, team: str) -> None:
        for member_id in self._eligible_schedulers(service):
            self._send_demand(member_id, service, team)

    def _send_demand(self, member_id: str, service: str, team: str) -> None:
        """Request slots for a team's pending tasks from a scheduler, by its share of all slots."""
        pending = self.pending_tasks_of_team(service, team)
        schedulers = self._eligible_schedulers(service)
        total_slots = sum(scheduler.total_slots for scheduler in schedulers.values())
        if not pending or member_id not in schedulers or not total_slots:
            return
        share = math.ceil(pending * schedulers[member_id].total_slots / total_slots)
        self._requested_slots[(member_id, service, team)] = share
        self._peers.send_if_linked(member_id, Demand(service, team, share))

    def _eligible_schedulers(self, service: str) -> dict[str, SchedulerSlots]:
        schedulers = self._schedulers.get(service, {})
        members = {member.member_id for member in self._view.record.members}
        return {
            member_id: scheduler
            for member_id, scheduler in schedulers.items()
            if member_id in members
        }
