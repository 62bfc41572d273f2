"""Cluster view: the members, workers, claims and queues as this process last read them."""

import time
from collections import Counter
from collections.abc import Callable, Collection

from eliot import log_message, write_traceback
from gevent.event import Event

from camphorchute.cluster.departed_workers import DepartedWorkers
from camphorchute.cluster.group_followers import GroupFollowers
from camphorchute.cluster.worker_capacities import WorkerCapacities
from camphorchute.cluster.worker_fates import WorkerFates
from camphorchute.cluster.worker_groups import WorkerGroups
from camphorchute.cluster.zone_evacuations import ZoneEvacuations
from camphorchute.contracts.member import Member
from camphorchute.contracts.stored_values import decode_json, is_address
from camphorchute.hosting import HostingPlatform, QueueTable, StoredValue, WorkerEntry
from camphorchute.observation_clock import observation_clock

__all__ = ["CLAIM_PREFIX", "MEMBER_PREFIX", "OWN_PREFIX", "Claim", "ClusterView"]

OWN_PREFIX = "camphorchute/"
MEMBER_PREFIX = OWN_PREFIX + "members/"
CLAIM_PREFIX = OWN_PREFIX + "homes/"
WORKER_EXPIRY_MS = 2500.0
YOUNG_PROCESS_S = 60.0
MS_PER_S = 1000.0


class Claim:
    """Claim of a member on a worker group, which makes the member its scheduler.

    Attributes:
        member_id: id of the member that holds the claim.
        revision: store revision of the claim, used as the fencing token.
    """

    __slots__ = ("member_id", "revision")

    def __init__(self, member_id: str, revision: int) -> None:
        self.member_id = member_id
        self.revision = revision


class ClusterView:
    """Last known content of the store, which stays available while the store is unreachable.

    Args:
        platform: decodes the stored values.
        count: adds to a named counter.
        zone_evacuations: receives the operators' keys that evacuate zones.

    Attributes:
        members: the registered members, by id.
        workers: the workers, by id.
        claims: the claims, by worker group.
        claims_held: number of claims of each member, by member id.
        claimed_revisions: revision of the last claim on each group, also after its removal.
        queues: the queue configuration in force, None until one is known.
        changed: event that is set when members, workers, claims or the queues have changed.
        zone_evacuations: which zones are evacuated.
        worker_fates: what became of workers that stopped answering.
        capacities: which groups have a worker that is large enough for a demand.
        on_worker_changed: called with the entry of a worker that says anything new.
        expected_zones: names of all zones; one without a member is lost, cut off or not started.
    """

    __slots__ = (
        "members",
        "workers",
        "claims",
        "claims_held",
        "claimed_revisions",
        "queues",
        "changed",
        "zone_evacuations",
        "worker_fates",
        "capacities",
        "on_worker_changed",
        "expected_zones",
        "_created_s",
        "_departed_workers",
        "_platform",
        "_count",
        "_missing_since_s",
        "_registration_by_address",
        "_tables_by_prefix",
        "_worker_groups",
        "_followers",
        "_ring",
    )

    def __init__(
        self,
        platform: HostingPlatform,
        count: Callable[..., None],
        zone_evacuations: ZoneEvacuations | None = None,
    ) -> None:
        self.members: dict[str, Member] = {}
        self.workers: dict[str, WorkerEntry] = {}
        self.claims: dict[str, Claim] = {}
        self.claims_held: Counter[str] = Counter()
        self.claimed_revisions: dict[str, int] = {}
        self.queues: QueueTable | None = None
        self.changed = Event()
        self.zone_evacuations = zone_evacuations or ZoneEvacuations(
            platform.decode_evacuated_zone, count
        )
        self.worker_fates = WorkerFates()
        self.on_worker_changed: Callable[[WorkerEntry], None] = lambda entry: None
        self.expected_zones: Collection[str] = ()
        self._created_s = time.monotonic()
        self._departed_workers = DepartedWorkers()
        self._platform = platform
        self._count = count
        self._missing_since_s: dict[str, float] = {}
        self._registration_by_address: dict[str, tuple[str, int]] = {}
        self._tables_by_prefix: dict[str, dict[str, StoredValue]] = {}
        self._worker_groups = WorkerGroups(self._forget_followers)
        self.capacities = WorkerCapacities(self._worker_groups)
        self._followers: GroupFollowers | None = None
        self._ring: list[Member] | None = None

    def track_prefix(self, prefix: str) -> dict[str, StoredValue]:
        """Return a table of the values under a prefix, by key, that this view keeps up to date.

        Args:
            prefix: start of the keys. A :class:`StoreFollower` of this view must cover them.
        """
        return self._tables_by_prefix.setdefault(prefix, {})

    def apply_listing(
        self, listed_prefix: str, values: list[StoredValue], revision: int = 0
    ) -> None:
        """Apply a complete listing of a prefix; known keys that it lacks are treated as deleted.

        Args:
            listed_prefix: start of the keys that were listed.
            values: every value under the prefix.
            revision: store revision of the listing.
        """
        if listed_prefix == self._platform.operator_prefix:
            self.zone_evacuations.apply_listing(values, revision)
            values = [value for value in values if value.key == self._platform.configuration_key]
        listed_keys = {value.key for value in values}
        worker_prefix = self._platform.worker_prefix
        known_keys = [f"{worker_prefix}{name}" for name in self.workers]
        known_keys += [f"{MEMBER_PREFIX}{name}" for name in self.members]
        known_keys += [f"{CLAIM_PREFIX}{name}" for name in self.claims]
        known_keys += [key for table in self._tables_by_prefix.values() for key in table]
        for key in known_keys:
            if key.startswith(listed_prefix) and key not in listed_keys:
                self.apply_change(StoredValue(key, None, 0))
        for value in values:
            self._apply_listed(value)

    def _apply_listed(self, value: StoredValue) -> None:
        """Apply a listed value; an error with one must not keep the others from being applied."""
        try:
            self.apply_change(value)
        except Exception:  # noqa: BLE001 - the others would be listed again without end
            self._count("roster.listed_value_failed")
            write_traceback()

    def apply_change(self, change: StoredValue) -> None:
        """Apply one write, or one deletion if the value is None."""
        key = change.key
        if key == self._platform.configuration_key:
            if change.value is not None:
                self.apply_newer_queues(change.value)
        elif key.startswith(self._platform.operator_prefix):
            self.zone_evacuations.apply_change(change)
        elif key.startswith(self._platform.worker_prefix):
            if self._apply_worker(change):
                self.changed.set()
        elif key.startswith(MEMBER_PREFIX):
            self._apply_member(key.removeprefix(MEMBER_PREFIX), change)
            self.changed.set()
        elif key.startswith(CLAIM_PREFIX):
            self._apply_claim(key.removeprefix(CLAIM_PREFIX), change)
            self.changed.set()
        else:
            self._apply_to_table(change)

    def apply_newer_queues(self, source: bytes) -> None:
        """Apply a queue configuration if its version is higher than that of the one in force.

        A configuration that cannot be decoded is logged and ignored.

        Args:
            source: the configuration as the platform stores it.
        """
        try:
            table = self._platform.decode_queues(source)
        except ValueError as error:
            self._count("roster.configuration_malformed")
            log_message(message_type="roster", text=f"roster: configuration not used: {error}")
            return
        if self.queues is None or table.version > self.queues.version:
            self.queues = table
            self._count("roster.configuration_applied")
            self.changed.set()

    def remove_expired_workers(self) -> None:
        """Remove the workers whose entries have been missing for longer than WORKER_EXPIRY_MS.

        Time in which this process could not have heard of a new entry does not count.
        """
        now_s = observation_clock.now_s()
        for worker_id, since_s in list(self._missing_since_s.items()):
            if (now_s - since_s) * MS_PER_S > WORKER_EXPIRY_MS:
                del self._missing_since_s[worker_id]
                entry = self.workers.pop(worker_id)
                self.worker_fates.forget(entry)
                self._departed_workers.record_gone(entry)
                self._worker_groups.remove_worker(worker_id)
                self._count("roster.worker_gone")
                self.changed.set()

    def hidden_workers_since_s(self, service: str) -> float | None:
        """Return since when a worker of a service may be up that service discovery does not list.

        Such a worker is cut off, with its runs and perhaps its scheduler. A process that has just
        started cannot remember it, but a zone without any member may be cut off.

        Args:
            service: name of the service.

        Returns:
            A monotonic time in seconds, None if no worker is known to be hidden.
        """
        gone_s = self._departed_workers.last_gone_s(service)
        if gone_s is None and time.monotonic() - self._created_s < YOUNG_PROCESS_S:
            zones = {member.zone for member in self.members.values()}
            return self._created_s if set(self.expected_zones) - zones else None
        return gone_s

    def has_workers(self, service: str) -> bool:
        """Return whether a worker of a service is listed."""
        return any(entry.service == service for entry in self.workers.values())

    def zones_of(self, service: str) -> Collection[str]:
        """Return the zones in which a worker of a service is listed."""
        return self._worker_groups.zones_of(service)

    def worker_ids_of(self, service: str) -> Collection[str]:
        """Return the ids of the listed workers of a service."""
        return self._worker_groups.ids_of(service)

    def groups(self) -> dict[str, dict[str, WorkerEntry]]:
        """Return the workers of each worker group, by group name and worker id."""
        return dict(self._worker_groups.by_name)

    def workers_of(self, group: str) -> dict[str, WorkerEntry]:
        """Return the workers of one worker group, by worker id."""
        return self._worker_groups.by_name.get(group, {})

    def group_by_worker(self) -> dict[str, str]:
        """Return the name of the group of each worker, by worker id; it changes with the view."""
        return self._worker_groups.group_by_worker

    def followers(self) -> GroupFollowers:
        """Return which members follow which groups, for the present members and groups."""
        if self._followers is None:
            self._followers = GroupFollowers(self.members.values(), self.group_names())
        return self._followers

    def member_ring(self) -> list[Member]:
        """Return the members in the order of their ids; the list must not be changed."""
        if self._ring is None:
            self._ring = sorted(self.members.values(), key=lambda member: member.member_id)
        return self._ring

    def scheduler_of(self, group: str) -> Member | None:
        """Return the member that holds the claim on a group, None if there is none."""
        claim = self.claims.get(group)
        return None if claim is None else self.members.get(claim.member_id)

    def group_names(self) -> list[str]:
        """Return the sorted names of all groups that have workers or a claim."""
        return sorted({*self._worker_groups.by_name, *self.claims})

    def set_claim(self, group: str, claim: Claim) -> None:
        """Record the claim on a group.

        Args:
            group: name of the group.
            claim: the claim.
        """
        if not self._remove_claim(group):
            self._forget_followers()
        self.claims[group] = claim
        self.claims_held[claim.member_id] += 1
        self.claimed_revisions[group] = claim.revision

    def _remove_claim(self, group: str) -> bool:
        """Remove the claim on a group; return whether there was one."""
        claim = self.claims.pop(group, None)
        if claim is None:
            return False
        self.claims_held[claim.member_id] -= 1
        if not self.claims_held[claim.member_id]:
            del self.claims_held[claim.member_id]
        return True

    def _forget_followers(self) -> None:
        """Let the followers be computed again, since the members or the groups have changed."""
        self._followers = None

    def _apply_to_table(self, change: StoredValue) -> None:
        for prefix, table in self._tables_by_prefix.items():
            if not change.key.startswith(prefix):
                continue
            if change.value is None:
                table.pop(change.key, None)
            elif change.key not in table or table[change.key].mod_revision < change.mod_revision:
                table[change.key] = change

    def _apply_worker(self, change: StoredValue) -> bool:
        """Apply the entry of a worker; return whether it says anything new.

        Each heartbeat of a worker writes its entry again, mostly with another sequence number only.
        """
        key, value = change.key, change.value
        worker_id = key.removeprefix(self._platform.worker_prefix)
        entry = None if value is None else self._platform.decode_worker_entry(key, value)
        if entry is not None:
            self.worker_fates.record(entry, change.mod_revision)
            self._departed_workers.record_listed(entry)
            if self._missing_since_s:
                self._missing_since_s.pop(worker_id, None)
            if entry.is_equal(self.workers.get(worker_id)):
                return False
            self.workers[worker_id] = entry
            self._worker_groups.set_worker(entry)
            self.on_worker_changed(entry)
            return True
        if worker_id in self.workers:
            self._missing_since_s.setdefault(worker_id, observation_clock.now_s())
        return False

    def _apply_member(self, member_id: str, change: StoredValue) -> None:
        """Apply the registration of a member.

        A process that restarts registers a new member at the same address. Of two registrations
        at one address, the one with the lower revision belongs to a dead process and is removed.
        """
        if change.value is None:
            self._remove_member(member_id)
            return
        try:
            member = decode_json(change.value, Member)
        except ValueError:
            member = None
        if member is None or member.member_id != member_id or not is_address(member.link_address):
            self._count("roster.member_malformed")
            return
        earlier = self._registration_by_address.get(member.link_address)
        if earlier is not None and earlier[0] != member_id:
            if earlier[1] > change.mod_revision:
                return
            self._remove_member(earlier[0])
        self._registration_by_address[member.link_address] = (member_id, change.mod_revision)
        if member_id not in self.members:
            self._ring = None
            self._forget_followers()
        self.members[member_id] = member

    def _remove_member(self, member_id: str) -> None:
        if self.members.pop(member_id, None) is not None:
            self._ring = None
            self._forget_followers()

    def _apply_claim(self, group: str, change: StoredValue) -> None:
        known_claim = self.claims.get(group)
        if change.value is None:
            if self._remove_claim(group):
                self._forget_followers()
        elif known_claim is None or change.mod_revision > known_claim.revision:
            member_id = change.value.decode("utf-8", "replace")
            self.set_claim(group, Claim(member_id, change.mod_revision))
