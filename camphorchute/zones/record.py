"""The ownership record of an availability zone: who may decide on which keys.

The record is one value in the platform's store. It changes only by compare-and-swap and only
when members come or go, so accepting and starting jobs needs no call on the store.
"""

import msgspec
import xxhash

from camphorchute.contracts.keys import SHARDS_PER_ZONE
from camphorchute.contracts.member import Member

__all__ = [
    "WITNESSES_MAX",
    "DepartedMember",
    "OwnershipRecord",
    "ShardRecord",
    "Term",
    "assign_shard",
    "decode_record",
    "empty_record",
    "encode_record",
    "with_members",
    "with_settled",
]

WITNESSES_MAX = 3


class Term(msgspec.Struct, frozen=True):
    """A time during which an owner may have accepted keys of a shard.

    Attributes:
        number: the record version that began it.
        owner: member id of the owner.
        witnesses: member ids of which one acknowledged each acceptance.
    """

    number: int
    owner: str
    witnesses: tuple[str, ...]


class ShardRecord(msgspec.Struct):
    """Who decides on the keys of one shard.

    Attributes:
        current: the term in force.
        pending: earlier terms whose records the owner has not gathered yet.
        lost_unix_ms: keys made before this time may have been accepted and forgotten; 0 if none.
    """

    current: Term
    pending: list[Term] = []
    lost_unix_ms: int = 0

    def servable(self) -> bool:
        """Whether the owner may accept keys: it holds the records of all earlier terms."""
        return all(term.owner == self.current.owner for term in self.pending)


class DepartedMember(msgspec.Struct):
    """A member that left the record and may still hold tasks.

    Attributes:
        member: who it was.
        until_unix_ms: when all that it may have held has expired.
    """

    member: Member
    until_unix_ms: int


class OwnershipRecord(msgspec.Struct):
    """The members of a zone and the shards that each owns.

    Attributes:
        zone: the availability zone.
        version: rises by one with each change.
        members: those that may own shards and start tasks.
        departed: those that left within the resubmission window.
        shards: one record a shard.
    """

    zone: str
    version: int = 0
    members: list[Member] = []
    departed: list[DepartedMember] = []
    shards: list[ShardRecord] = []

    def member(self, member_id: str) -> Member | None:
        """Return a member, also one that has departed, or None."""
        for member in self.members:
            if member.member_id == member_id:
                return member
        for departed in self.departed:
            if departed.member.member_id == member_id:
                return departed.member
        return None

    def is_member(self, member_id: str) -> bool:
        """Whether the process is a member now."""
        return any(member.member_id == member_id for member in self.members)

    def owner_of(self, shard: int) -> Member | None:
        """Return the owner of a shard, or None where the zone has no member."""
        return self.member(self.shards[shard].current.owner) if self.shards else None

    def shards_of(self, member_id: str) -> list[int]:
        """Return the shards that a member owns."""
        return [i for i, s in enumerate(self.shards) if s.current.owner == member_id]


def empty_record(zone: str) -> OwnershipRecord:
    """Return the record of a zone that never had a member.

    Examples:
        >>> empty_record("north").version
        0
    """
    return OwnershipRecord(zone)


def encode_record(record: OwnershipRecord) -> bytes:
    """Return the bytes that the store holds."""
    return msgspec.json.encode(record)


def decode_record(data: bytes) -> OwnershipRecord:
    """Return the record in the bytes.

    Raises:
        msgspec.MsgspecError: the bytes hold no record.
    """
    return msgspec.json.decode(data, type=OwnershipRecord)


def assign_shard(members: list[Member], shard: int) -> tuple[str, tuple[str, ...]]:
    """Return the owner of a shard and its witnesses, by rendezvous hashing.

    Witnesses stand on another VM, and in another rack, where there is one. An empty tuple of
    witnesses means that the owner is alone in its zone.

    Examples:
        >>> a = Member("a", "north", "vm1", "", "127.0.0.1:1", "127.0.0.1:2")
        >>> b = Member("b", "north", "vm2", "", "127.0.0.2:1", "127.0.0.2:2")
        >>> assign_shard([a], 0)
        ('a', ())
        >>> sorted(assign_shard([a, b], 0)[:1] + assign_shard([a, b], 0)[1])
        ['a', 'b']
    """
    ranked = sorted(members, key=lambda member: _score(member.member_id, shard), reverse=True)
    owner = ranked[0]
    others = sorted(ranked[1:], key=lambda member: _nearness(owner, member))
    if others and _nearness(owner, others[0])[0] is False:
        others = [member for member in others if member.host != owner.host]
    return owner.member_id, tuple(member.member_id for member in others[:WITNESSES_MAX])


def with_members(
    record: OwnershipRecord, members: list[Member], now_unix_ms: int, window_ms: int
) -> OwnershipRecord:
    """Return the next record, with other members.

    A shard whose owner or witnesses change begins a new term; the term that ends is kept until
    the owner has gathered its records.
    """
    version = record.version + 1
    kept = {member.member_id for member in members}
    departed = [d for d in record.departed if d.member.member_id not in kept]
    for member in record.members:
        if member.member_id not in kept:
            departed.append(DepartedMember(member, now_unix_ms + window_ms))
    shards = [_next_shard(record, members, shard, version) for shard in range(SHARDS_PER_ZONE)]
    needed = _pending_members(shards)
    departed = [
        d for d in departed if d.until_unix_ms > now_unix_ms or d.member.member_id in needed
    ]
    return OwnershipRecord(record.zone, version, members, departed, shards)


def with_settled(
    record: OwnershipRecord, owner_id: str, lost_unix_ms: dict[int, int]
) -> OwnershipRecord:
    """Return the next record, in which an owner has gathered the records of these shards.

    Args:
        record: the record as it stands.
        owner_id: the owner, which must still own the shards.
        lost_unix_ms: for each shard the time before which records were lost, 0 if none were.
    """
    shards = list(record.shards)
    for shard, lost in lost_unix_ms.items():
        old = shards[shard]
        if old.current.owner == owner_id:
            shards[shard] = ShardRecord(old.current, [], max(old.lost_unix_ms, lost))
    return OwnershipRecord(record.zone, record.version + 1, record.members, record.departed, shards)


def _next_shard(
    record: OwnershipRecord, members: list[Member], shard: int, version: int
) -> ShardRecord:
    old = record.shards[shard] if record.shards else None
    if not members:
        raise ValueError(f"zone {record.zone!r} would have no member")
    owner, witnesses = assign_shard(members, shard)
    if old is None:
        return ShardRecord(Term(version, owner, witnesses))
    if (owner, witnesses) == (old.current.owner, old.current.witnesses):
        return old
    pending = list(old.pending)
    if old.servable():
        pending.append(old.current)
    return ShardRecord(Term(version, owner, witnesses), pending, old.lost_unix_ms)


def _pending_members(shards: list[ShardRecord]) -> set[str]:
    """Return the members whose records some owner has yet to gather."""
    needed: set[str] = set()
    for shard in shards:
        for term in shard.pending:
            needed.update((term.owner, *term.witnesses))
    return needed


def _score(member_id: str, shard: int) -> int:
    return xxhash.xxh64_intdigest(f"{member_id}/{shard}".encode())


def _nearness(owner: Member, member: Member) -> tuple[bool, bool]:
    return (member.host == owner.host, bool(owner.rack) and member.rack == owner.rack)
