"""Hand the waiting tasks of jobs to homes: at once where slots are free, else on a grant."""

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
    Grant,
    HandedTask,
    HandOff,
    Heartbeat,
    SlotCount,
    TasksReturned,
)
from camphorchute.jobs.job import Job, TaskState
from camphorchute.jobs.placing import HomeSlots, place
from camphorchute.links import Peers
from camphorchute.zones import ZoneView

__all__ = ["Dispatch"]


class Dispatch:
    """The owner's side of placement.

    Args:
        view: the ownership records.
        peers: links to the homes.
        policy_of: name of the placement policy of a service.
        count: adds to a named counter.

    Attributes:
        acknowledge_local: has it acknowledged that tasks of a job may be handed to a home
            beyond the job's reach.
    """

    __slots__ = (
        "acknowledge_local",
        "_view",
        "_peers",
        "_policy_of",
        "_count",
        "_waiting",
        "_counts",
        "_homes",
        "_told",
        "_asked",
        "_numbers",
    )

    def __init__(
        self,
        view: ZoneView,
        peers: Peers,
        policy_of: Callable[[str], str],
        count: Callable[..., None],
    ) -> None:
        self.acknowledge_local: Callable[[Job, list[int]], None] = lambda job, indices: None
        self._view = view
        self._peers = peers
        self._policy_of = policy_of
        self._count = count
        self._waiting: dict[tuple[str, str], deque[tuple[Job, int]]] = {}
        self._counts: dict[tuple[str, str], int] = {}
        self._homes: dict[str, dict[str, HomeSlots]] = {}
        self._told: dict[str, list[SlotCount]] = {}
        self._asked: dict[tuple[str, str, str], int] = {}
        self._numbers = itertools.count(1)

    def waiting(self, service: str) -> int:
        """Return how many tasks of a service wait here, or at all owners as homes know it."""
        here = sum(n for (name, _), n in self._counts.items() if name == service)
        homes = self._homes.get(service, {}).values()
        return max(here, sum(home.waiting for home in homes))

    def waiting_of_team(self, service: str, team: str) -> int:
        """Return how many tasks of a team wait here."""
        return self._counts.get((service, team), 0)

    def slots(self, service: str) -> int:
        """Return how many slots of a service the homes have said that they have."""
        return sum(home.slots for home in self._homes.get(service, {}).values())

    def freed(self, home_id: str, service: str, slots: int) -> None:
        """Note slots that came free at a home for which no task waits."""
        home = self._homes.get(service, {}).get(home_id)
        if home is not None and not home.waiting:
            home.free = min(home.slots, home.free + slots)

    def hear(self, peer: Member, heartbeat: Heartbeat) -> None:
        """Take in a home's free slots, of which each owner may use its share unasked."""
        told = self._told.get(peer.member_id, []) if heartbeat.slots is None else heartbeat.slots
        self._told[peer.member_id] = told
        seen = {}
        owners = max(1, len(self._view.record.members))
        for slots in [] if heartbeat.leaving else told:
            share = slots.free // owners
            seen[slots.service] = HomeSlots(peer.member_id, share, slots.slots, slots.waiting)
        for service in {*seen, *self._homes}:
            homes = self._homes.setdefault(service, {})
            if service in seen:
                homes[peer.member_id] = seen[service]
            else:
                homes.pop(peer.member_id, None)
        for service, team in list(self._waiting):
            if service in seen:
                self._place(service, team)
                self._tell_demand_to(peer.member_id, service, team)

    def forget_home(self, member_id: str) -> None:
        """Hand nothing more to a home until it is heard of again."""
        self._told.pop(member_id, None)
        for homes in self._homes.values():
            homes.pop(member_id, None)

    def add(self, job: Job, indices: list[int]) -> None:
        """Place tasks of a job, unless it has ended."""
        if not job.is_open or job.ending:
            return
        queue = self._waiting.setdefault((job.pool, job.spec.team), deque())
        queue.extend((job, index) for index in indices)
        self._count_queued(job, len(indices))
        self._place(job.pool, job.spec.team)
        self._tell_demand(job.pool, job.spec.team)

    def add_back(self, job: Job, indices: list[int]) -> None:
        """Let tasks wait again that a home has not started."""
        if not job.is_open:
            return
        queue = self._waiting.setdefault((job.pool, job.spec.team), deque())
        queue.extendleft((job, index) for index in reversed(indices))
        self._count_queued(job, len(indices))

    def granted(self, home: Member, grant: Grant) -> None:
        """Use a grant for waiting tasks; what is not needed is given back at once."""
        asked = (home.member_id, grant.service, grant.team)
        self._asked[asked] = self._asked.get(asked, 0) - grant.slots
        batch = self._take(grant.service, grant.team, grant.slots, home)
        left = grant.slots - sum(len(indices) for _, indices in batch)
        for job, indices in batch:
            self._hand_to(job, indices, home, len(indices))
        if left:
            self._give_back(grant, home, left)
        if self._asked[asked] <= 0:
            self._tell_demand(grant.service, grant.team)

    def returned(self, job: Job, home: Member, message: TasksReturned) -> None:
        """Let tasks wait again that a home did not start."""
        code = ResultCode(message.code)
        if code is ResultCode.FITS_NO_WORKER:
            job.unfit_homes.add(home.member_id)
        attempts = set(message.attempts)
        indices = [i for i, task in enumerate(job.tasks) if task.attempt in attempts]
        taken = [i for i in indices if job.take_back(i, job.tasks[i].attempt)]
        self._count(f"jobs.retry.{code.name.lower()}", len(taken))
        self.add_back(job, taken)

    def leave(self, job: Job) -> None:
        """Count the tasks of a job that has ended or moved as waiting no more."""
        self._count_queued(job, -job.queued)

    def cancel(self, job: Job) -> None:
        """Stop what homes hold of a job, by one message a home."""
        for home_id in job.homes():
            self._peers.send_linked(home_id, CancelTasks(job.key.text))

    def _place(self, service: str, team: str) -> None:
        queue = self._waiting.get((service, team))
        homes = self._eligible(service)
        if not queue or not homes:
            return
        near = {member.member_id for member in self._view.homes(self._view.reach())}
        for member_id, home in homes.items():
            home.beyond_reach = member_id not in near
        shares = place(self._policy_of(service), list(homes.values()), len(queue))
        for member_id, share in shares.items():
            home = self._view.record.member(member_id)
            if home is not None:
                for job, indices in self._take(service, team, share, home):
                    homes[member_id].free -= len(indices)
                    self._hand_to(job, indices, home, 0)

    def _take(self, service: str, team: str, most: int, home: Member) -> list:
        """Take waiting tasks that may be handed to this home, grouped by job."""
        queue = self._waiting.get((service, team))
        batch: dict[int, tuple[Job, list[int]]] = {}
        passed_over = []
        taken = 0
        while queue and taken < most:
            job, index = queue.popleft()
            if not job.is_open or job.ending or job.tasks[index].state is not TaskState.WAITING:
                continue
            if home.member_id in job.unfit_homes:
                passed_over.append((job, index))
                continue
            self._count_queued(job, -1)
            batch.setdefault(id(job), (job, []))[1].append(index)
            taken += 1
        if queue is not None:
            queue.extendleft(reversed(passed_over))
            if not queue:
                del self._waiting[(service, team)]
        return list(batch.values())

    def _hand_to(self, job: Job, indices: list[int], home: Member, granted: int) -> None:
        if home in self._view.homes(job.reach):
            self._hand(job, indices, home.member_id, granted)
        else:
            gevent.spawn(self._hand_beyond_reach, job, indices, home, granted)

    def _hand_beyond_reach(self, job: Job, indices: list[int], home: Member, granted: int) -> None:
        try:
            self.acknowledge_local(job, indices)
        except Refusal as refusal:
            self._count(f"jobs.retry.local_{refusal.code.name.lower()}")
            self.add_back(job, indices)
            return
        self._hand(job, indices, home.member_id, granted)

    def _hand(self, job: Job, indices: list[int], home_id: str, granted: int) -> None:
        term = self._view.owned_term(job.key.shard)
        if term is None or not job.is_open:
            return
        tasks = []
        for index in indices:
            attempt = f"{self._view.member.member_id}-{next(self._numbers)}"
            job.hand(index, attempt, home_id)
            tasks.append(HandedTask(index, attempt, job.spec.tasks[index]))
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
        if not self._peers.send_linked(home_id, message):
            for task in tasks:
                job.take_back(task.index, task.attempt)
            self.add_back(job, indices)

    def _count_queued(self, job: Job, tasks: int) -> None:
        job.queued += tasks
        name = (job.pool, job.spec.team)
        self._counts[name] = self._counts.get(name, 0) + tasks
        if not self._counts[name]:
            del self._counts[name]

    def _give_back(self, grant: Grant, home: Member, slots: int) -> None:
        self._count("jobs.grant_not_needed", slots)
        me = self._view.member.member_id
        message = HandOff("", 0, 0, me, grant.service, grant.team, 1.0, slots, [])
        self._peers.send_linked(home.member_id, message)

    def _tell_demand(self, service: str, team: str) -> None:
        for member_id in self._eligible(service):
            self._tell_demand_to(member_id, service, team)

    def _tell_demand_to(self, member_id: str, service: str, team: str) -> None:
        """Ask a home for its share, by slots, of the slots that the waiting tasks need."""
        waiting = self.waiting_of_team(service, team)
        homes = self._eligible(service)
        slots = sum(home.slots for home in homes.values())
        if not waiting or member_id not in homes or not slots:
            return
        share = math.ceil(waiting * homes[member_id].slots / slots)
        self._asked[(member_id, service, team)] = share
        self._peers.send_linked(member_id, Demand(service, team, share))

    def _eligible(self, service: str) -> dict[str, HomeSlots]:
        homes = self._homes.get(service, {})
        members = {member.member_id for member in self._view.record.members}
        return {member_id: home for member_id, home in homes.items() if member_id in members}
