"""Worker pool of one service at a scheduler: placement, reservations and grants of slots."""

from collections.abc import Iterable

from camphorchute.contracts.messages import Grant, SlotCount
from camphorchute.policies.failures import may_eject
from camphorchute.services.definition import ServiceDefinition
from camphorchute.workers.context import SchedulerContext
from camphorchute.workers.demand import DemandQueue
from camphorchute.workers.fence import OpenAttempt
from camphorchute.workers.placement import policy_by_name
from camphorchute.workers.pool_limits import PoolLimits
from camphorchute.workers.slots import WorkerSlots

__all__ = ["Placement", "ServicePool"]


class Placement:
    """Result of placing dispatched tasks; each list may be empty.

    Attributes:
        placed: attempts that occupy a slot of a worker.
        no_slot: attempts that fit a worker, without a free slot for them.
        fits_no_worker: attempts that are too large for every worker.
    """

    __slots__ = ("placed", "no_slot", "fits_no_worker")

    def __init__(self) -> None:
        self.placed: list[OpenAttempt] = []
        self.no_slot: list[OpenAttempt] = []
        self.fits_no_worker: list[OpenAttempt] = []


class _Reservation:
    __slots__ = ("owner_id", "team", "slots", "expires_ms")

    def __init__(self, owner_id: str, team: str, slots: int, expires_ms: float) -> None:
        self.owner_id = owner_id
        self.team = team
        self.slots = slots
        self.expires_ms = expires_ms


class ServicePool:
    """The workers of one service whose scheduler is this process.

    Attributes:
        name: name of the service.
        links: the workers, by address.
        demand: pending tasks of the owners.
        reserved_slots: slots that are reserved for owners by grants.
        drain_ms: maximum time that running tasks get to end when their worker leaves.
    """

    __slots__ = (
        "name",
        "links",
        "demand",
        "reserved_slots",
        "drain_ms",
        "_limits",
        "_context",
        "_choose_worker",
        "_reservations",
        "_deferred",
    )

    def __init__(self, context: SchedulerContext, definition: ServiceDefinition) -> None:
        self.name = definition.name
        self.links: dict[str, object] = {}
        self.demand = DemandQueue()
        self.reserved_slots = 0
        self._context = context
        self._reservations: list[_Reservation] = []
        self._deferred: dict[tuple[str, str], int] = {}
        self._limits = PoolLimits()
        self.apply_definition(definition, ())

    def apply_definition(self, definition: ServiceDefinition, own_addresses: Iterable[str]) -> None:
        """Apply the definition of the service.

        Args:
            definition: the service.
            own_addresses: addresses of the back ends whose scheduler is this process.
        """
        self.drain_ms = definition.drain_ms
        self._limits.apply_definition(definition, own_addresses)
        self.demand.weights = dict(definition.team_weights)
        self._choose_worker = policy_by_name(definition.policy)

    def active_workers(self) -> list[WorkerSlots]:
        """Return the slots of the workers that are listed and not draining."""
        return [
            link.slots
            for link in self.links.values()
            if not (link.slots.removed or link.slots.draining)
        ]

    def free_slots(self) -> int:
        """Return the number of unreserved free slots, within the limits of the service."""
        now_ms = self._context.now_ms()
        free = sum(link.slots.free_slots(now_ms) for link in self.links.values())
        busy = sum(link.slots.busy for link in self.links.values())
        allowed = self._limits.allowance(busy, now_ms)
        if allowed is not None:
            free = min(free, allowed)
        return max(0, free - self.reserved_slots)

    def slot_count(self) -> SlotCount:
        """Return the free slots and pending tasks of the service, as reported to peers."""
        slots = sum(slots.slots for slots in self.active_workers() if slots.answering)
        return SlotCount(self.name, self.free_slots(), self.demand.pending_tasks, slots)

    def place_attempts(
        self, attempts: list[OpenAttempt], owner_id: str, team: str, granted: int
    ) -> Placement:
        """Choose a worker with a free slot for each attempt, first from the reserved slots.

        Args:
            attempts: attempts to place.
            owner_id: owner of the job.
            team: team of the job.
            granted: number of the attempts that use reserved slots.
        """
        placement = Placement()
        now_ms = self._context.now_ms()
        self._use_reservations(owner_id, team, granted)
        budget = self.free_slots()
        workers = self.active_workers()
        candidates = [slots for slots in workers if slots.free_slots(now_ms) > 0]
        for attempt in attempts:
            spec = attempt.spec
            fitting = [slots for slots in candidates if slots.fits(spec)] if budget else []
            if fitting:
                chosen = self._choose_worker(fitting, now_ms, self._context.rng)
                chosen.take_slot()
                budget -= 1
                if chosen.free_slots(now_ms) <= 0:
                    candidates.remove(chosen)
                attempt.link = self.links[chosen.address]
                placement.placed.append(attempt)
            elif any(slots.fits(spec) for slots in workers):
                placement.no_slot.append(attempt)
            else:
                placement.fits_no_worker.append(attempt)
        self._limits.record_starts(len(placement.placed))
        if placement.no_slot:
            self.add_demand(owner_id, team, len(placement.no_slot), defer=budget > 0)
        return placement

    def set_demand(self, owner_id: str, team: str, pending: int) -> None:
        """Set the number of pending tasks of a team at an owner and grant free slots."""
        if (owner_id, team) in self._deferred:
            self._deferred[owner_id, team] = pending
            return
        self.demand.set_pending(owner_id, team, pending)
        self.grant_free_slots()

    def add_demand(self, owner_id: str, team: str, pending: int = 1, defer: bool = False) -> None:
        """Add pending tasks of a team at an owner.

        Args:
            owner_id: the owner.
            team: the team.
            pending: number of tasks to add.
            defer: whether the tasks get grants from the next sweep on only. It is set when slots
                are free only on workers too small for these tasks: a grant of such a slot would
                only bring the tasks back.
        """
        if defer or (owner_id, team) in self._deferred:
            self._deferred[owner_id, team] = self._deferred.get((owner_id, team), 0) + pending
        else:
            self.demand.add_pending(owner_id, team, pending)

    def grant_free_slots(self) -> None:
        """Reserve free slots for the owners whose turn it is and send them grants."""
        if not self.demand.pending_tasks or self._context.closing:
            return
        available = self.free_slots()
        grants: dict[tuple[str, str], int] = {}
        while available > 0 and (turn := self.demand.take_next()):
            grants[turn] = grants.get(turn, 0) + 1
            available -= 1
        expires_ms = self._context.now_ms() + self._context.timing.reservation_ms
        for (owner_id, team), slots in grants.items():
            self._reservations.append(_Reservation(owner_id, team, slots, expires_ms))
            self.reserved_slots += slots
        for (owner_id, team), slots in grants.items():
            self._context.count("home.granted", slots)
            self._context.send(owner_id, Grant(self.name, team, slots))

    def drop_owner(self, owner_id: str) -> None:
        """Free the reservations and remove the demand of an owner."""
        self.demand.drop_owner(owner_id)
        for key in [key for key in self._deferred if key[0] == owner_id]:
            del self._deferred[key]
        self._drop_reservations(lambda entry: entry.owner_id == owner_id)
        self.grant_free_slots()

    def sweep(self) -> None:
        """Drop expired reservations, add the deferred demand and grant free slots."""
        now_ms = self._context.now_ms()
        expired = self._drop_reservations(lambda entry: now_ms >= entry.expires_ms)
        if expired:
            self._context.count("home.grant.lapsed", expired)
        deferred, self._deferred = self._deferred, {}
        for (owner_id, team), pending in deferred.items():
            self.demand.add_pending(owner_id, team, pending)
        self.grant_free_slots()

    def eject_if_failing(self, slots: WorkerSlots) -> None:
        """Eject a worker if it is failing and may be ejected."""
        trackers = [other.failures for other in self.active_workers() if other is not slots]
        if may_eject(slots.failures, trackers):
            slots.failures.eject(self._context.now_ms())
            self._context.count("home.worker.ejected")

    def _use_reservations(self, owner_id: str, team: str, granted: int) -> None:
        for entry in self._reservations:
            if granted <= 0:
                break
            if entry.owner_id == owner_id and entry.team == team:
                used = min(granted, entry.slots)
                entry.slots -= used
                granted -= used
                self.reserved_slots -= used
        self._reservations = [entry for entry in self._reservations if entry.slots]

    def _drop_reservations(self, is_dropped) -> int:
        dropped = [entry for entry in self._reservations if is_dropped(entry)]
        if not dropped:
            return 0
        self._reservations = [entry for entry in self._reservations if not is_dropped(entry)]
        slots = sum(entry.slots for entry in dropped)
        self.reserved_slots -= slots
        return slots
