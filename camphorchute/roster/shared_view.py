"""What this process knows of the shared state: members, workers, claims and queues."""

import time
from collections.abc import Callable

import msgspec
from eliot import log_message
from gevent.event import Event

from camphorchute.contracts.member import Member
from camphorchute.hosting import HostingPlatform, QueueTable, StoredValue, WorkerEntry
from camphorchute.runs import group_count, group_of

__all__ = ["CLAIM_PREFIX", "MEMBER_PREFIX", "OWN_PREFIX", "Claim", "SharedView"]

OWN_PREFIX = "camphorchute/"
MEMBER_PREFIX = OWN_PREFIX + "members/"
CLAIM_PREFIX = OWN_PREFIX + "homes/"
GONE_AFTER_MS = 2500.0
MS_PER_S = 1000.0


class Claim:
    """Which member is the home of a worker group.

    Attributes:
        member_id: the member.
        revision: revision of the claim; it serves as the fencing token.
    """

    __slots__ = ("member_id", "revision")

    def __init__(self, member_id: str, revision: int) -> None:
        self.member_id = member_id
        self.revision = revision


class SharedView:
    """Keeps what the store has shown, also while the store cannot be reached.

    Args:
        platform: decodes the values.
        count: adds to a named counter.

    Attributes:
        members: the members registered, by id.
        workers: the workers, by id.
        claims: the claims, by group.
        queues: the queues in force, None while none are known.
        changed: set when anything has changed.
    """

    __slots__ = (
        "members",
        "workers",
        "claims",
        "queues",
        "changed",
        "_platform",
        "_count",
        "_gone_since_s",
        "_by_address",
        "_tables",
    )

    def __init__(self, platform: HostingPlatform, count: Callable[..., None]) -> None:
        self.members: dict[str, Member] = {}
        self.workers: dict[str, WorkerEntry] = {}
        self.claims: dict[str, Claim] = {}
        self.queues: QueueTable | None = None
        self.changed = Event()
        self._platform = platform
        self._count = count
        self._gone_since_s: dict[str, float] = {}
        self._by_address: dict[str, tuple[str, int]] = {}
        self._tables: dict[str, dict[str, StoredValue]] = {}

    def keep_table(self, prefix: str) -> dict[str, StoredValue]:
        """Return a table of the keys under a prefix that is kept up to date.

        Args:
            prefix: start of the keys; they must be among those that are followed.
        """
        return self._tables.setdefault(prefix, {})

    def replace(self, listed_prefix: str, values: list[StoredValue]) -> None:
        """Take in a full listing of a prefix; what it does not show is gone."""
        keys = {value.key for value in values}
        prefix = self._platform.worker_prefix
        shown = [f"{prefix}{name}" for name in self.workers]
        shown += [f"{MEMBER_PREFIX}{name}" for name in self.members]
        shown += [f"{CLAIM_PREFIX}{name}" for name in self.claims]
        shown += [key for table in self._tables.values() for key in table]
        for key in shown:
            if key.startswith(listed_prefix) and key not in keys:
                self.apply(StoredValue(key, None, 0))
        for value in values:
            self.apply(value)

    def apply(self, change: StoredValue) -> None:
        """Take in one write or removal."""
        key = change.key
        if key == self._platform.queues_key:
            if change.value is not None:
                self.offer_queues(change.value)
        elif key.startswith(self._platform.worker_prefix):
            self._apply_worker(key, change.value)
        elif key.startswith(MEMBER_PREFIX):
            self._apply_member(key.removeprefix(MEMBER_PREFIX), change)
        elif key.startswith(CLAIM_PREFIX):
            self._apply_claim(key.removeprefix(CLAIM_PREFIX), change)
        else:
            self._apply_to_table(change)
        self.changed.set()

    def offer_queues(self, source: bytes) -> None:
        """Put a configuration in force if it is newer than the one that is."""
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

    def drop_gone(self) -> None:
        """Forget the workers whose entries have stayed away."""
        now_s = time.monotonic()
        for worker_id, since_s in list(self._gone_since_s.items()):
            if (now_s - since_s) * MS_PER_S > GONE_AFTER_MS:
                del self._gone_since_s[worker_id]
                self.workers.pop(worker_id, None)
                self._count("roster.worker_gone")
                self.changed.set()

    def groups(self) -> dict[str, dict[str, WorkerEntry]]:
        """Return the workers of each group."""
        pools: dict[tuple[str, str], list[WorkerEntry]] = {}
        for entry in self.workers.values():
            pools.setdefault((entry.zone, entry.service), []).append(entry)
        groups: dict[str, dict[str, WorkerEntry]] = {}
        for (zone, service), entries in pools.items():
            count = group_count(len(entries))
            for entry in entries:
                group = group_of(zone, service, entry.worker_id, count)
                groups.setdefault(group, {})[entry.worker_id] = entry
        return groups

    def home_of(self, group: str) -> Member | None:
        """Return the member that has claimed a group, None where none is known."""
        claim = self.claims.get(group)
        return None if claim is None else self.members.get(claim.member_id)

    def group_names(self) -> list[str]:
        """Return the names of all groups that have workers or a home."""
        return sorted({*self.groups(), *self.claims})

    def _apply_to_table(self, change: StoredValue) -> None:
        for prefix, table in self._tables.items():
            if not change.key.startswith(prefix):
                continue
            if change.value is None:
                table.pop(change.key, None)
            elif change.key not in table or table[change.key].mod_revision < change.mod_revision:
                table[change.key] = change

    def _apply_worker(self, key: str, value: bytes | None) -> None:
        worker_id = key.removeprefix(self._platform.worker_prefix)
        entry = None if value is None else self._platform.decode_worker(key, value)
        if entry is not None:
            self._gone_since_s.pop(worker_id, None)
            self.workers[worker_id] = entry
        elif worker_id in self.workers:
            self._gone_since_s.setdefault(worker_id, time.monotonic())

    def _apply_member(self, member_id: str, change: StoredValue) -> None:
        """Take in a registration; one at the address of another shows that the older is dead."""
        if change.value is None:
            self.members.pop(member_id, None)
            return
        try:
            member = msgspec.json.decode(change.value, type=Member)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            self._count("roster.member_malformed")
            return
        holder = self._by_address.get(member.link_address)
        if holder is not None and holder[0] != member_id:
            if holder[1] > change.mod_revision:
                return
            self.members.pop(holder[0], None)
        self._by_address[member.link_address] = (member_id, change.mod_revision)
        self.members[member_id] = member

    def _apply_claim(self, group: str, change: StoredValue) -> None:
        known = self.claims.get(group)
        if change.value is None:
            self.claims.pop(group, None)
        elif known is None or change.mod_revision > known.revision:
            member_id = change.value.decode("utf-8", "replace")
            self.claims[group] = Claim(member_id, change.mod_revision)
