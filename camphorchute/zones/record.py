"""Ownership record of an availability zone: its members and the owner of each shard of keys.

The record is one value in the platform's store. It changes only by compare-and-swap, and only
when members join or leave or shards are recovered, so accepting and starting jobs needs no call to
the store.
"""

import msgspec

from camphorchute.contracts.keys import SHARDS_PER_ZONE
from camphorchute.contracts.member import Member
from camphorchute.contracts.stored_values import decode_json
from camphorchute.rendezvous import rendezvous_score

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
    "with_recovered_shards",
]

WITNESSES_MAX = 3


class Term(msgspec.Struct, frozen=True):
    """Period in which one owner, with fixed witnesses, may accept the keys of a shard.

    Attributes:
        number: version of the ownership record that began it; it serves as the fencing epoch.
        owner: member id of the owner.
        witnesses: member ids of the witnesses, at least one of which acknowledges each accepted
            key; empty if the owner is alone in its zone.
    """

    number: int
    owner: str
    witnesses: tuple[str, ...]


class ShardRecord(msgspec.Struct):
    """Current and earlier terms of one shard.

    Attributes:
        current: the current term.
        pending: earlier terms whose keys the owner has not recovered yet.
        lost_unix_ms: keys created before this Unix time in milliseconds may have been accepted and
            lost; 0 if none.
    """

    current: Term
    pending: list[Term] = []
    lost_unix_ms: int = 0

    def is_servable(self) -> bool:
        """Return whether the owner may accept keys, because it holds those of all earlier terms.

        This is so if it was itself the owner in every pending term.
        """
        return all(term.owner == self.current.owner for term in self.pending)


class DepartedMember(msgspec.Struct):
    """Former member that may still hold tasks.

    Attributes:
        member: the former member.
        until_unix_ms: Unix time in milliseconds at which everything that it may have held has
            expired.
    """

    member: Member
    until_unix_ms: int


class OwnershipRecord(msgspec.Struct):
    """Members of an availability zone and the shards that each owns.

    Attributes:
        zone: the availability zone.
        version: number of the record, increased by one with each change.
        members: processes that may own shards and start tasks.
        departed: former members that left within the resubmission window, or whose keys some shard
            still has to recover.
        shards: one record per shard, by shard number; empty before the zone has had a member.
    """

    zone: str
    version: int = 0
    members: list[Member] = []
    departed: list[DepartedMember] = []
    shards: list[ShardRecord] = []

    def member(self, member_id: str) -> Member | None:
        """Return the current or departed member of this id, or None."""
        for member in self.members:
            if member.member_id == member_id:
                return member
        for departed in self.departed:
            if departed.member.member_id == member_id:
                return departed.member
        return None

    def is_member(self, member_id: str) -> bool:
        """Return whether the process is a member now, not a departed one."""
        return any(member.member_id == member_id for member in self.members)

    def owner_of(self, shard: int) -> Member | None:
        """Return the owner of a shard, or None if the record has no shards yet."""
        return self.member(self.shards[shard].current.owner) if self.shards else None

    def shards_of(self, member_id: str) -> list[int]:
        """Return the numbers of the shards that a member owns."""
        return [i for i, s in enumerate(self.shards) if s.current.owner == member_id]


def empty_record(zone: str) -> OwnershipRecord:
    """Return the record of a zone that has never had a member, with version 0.

    Examples:
        >>> empty_record("north").version
        0
    """
    return OwnershipRecord(zone)


def encode_record(record: OwnershipRecord) -> bytes:
    """Return the record encoded as JSON, as the store holds it."""
    return msgspec.json.encode(record)


def decode_record(data: bytes) -> OwnershipRecord:
    """Return the record that was encoded as JSON.

    Raises:
        ValueError: if the bytes are not a valid record.
    """
    return decode_json(data, OwnershipRecord)


def assign_shard(members: list[Member], shard: int) -> tuple[str, tuple[str, ...]]:
    """Return the member ids of a shard's owner and witnesses, by rendezvous hashing.

    If there is a member on another VM than the owner's, all witnesses are on other VMs. Members
    in another rack are preferred. No witnesses means that the owner is alone in its zone.

    Args:
        members: the members of the zone, at least one.
        shard: number of the shard.

    Returns:
        The owner and up to ``WITNESSES_MAX`` witnesses.

    Examples:
        >>> a = Member("a", "north", "vm1", "", "127.0.0.1:1", "127.0.0.1:2")
        >>> b = Member("b", "north", "vm2", "", "127.0.0.2:1", "127.0.0.2:2")
        >>> assign_shard([a], 0)
        ('a', ())
        >>> sorted(assign_shard([a, b], 0)[:1] + assign_shard([a, b], 0)[1])
        ['a', 'b']
    """
    ranked = sorted(
        members, key=lambda member: rendezvous_score(member.member_id, shard), reverse=True
    )
    owner = ranked[0]
    others = sorted(ranked[1:], key=lambda member: _shares_host_and_rack(owner, member))
    if others and _shares_host_and_rack(owner, others[0])[0] is False:
        others = [member for member in others if member.host != owner.host]
    return owner.member_id, tuple(member.member_id for member in others[:WITNESSES_MAX])


def with_members(
    record: OwnershipRecord, members: list[Member], now_unix_ms: int, window_ms: int
) -> OwnershipRecord:
    """Return the next record, with a new list of members.

    A shard whose owner or witnesses change begins a new term; the previous term stays pending
    until the owner has recovered its keys, if the shard could be served in it.

    Args:
        record: the current record.
        members: the new members, at least one.
        now_unix_ms: current Unix time in milliseconds.
        window_ms: how long a removed member stays listed as departed, in milliseconds.

    Raises:
        ValueError: if there are no members.
    """
    version = record.version + 1
    remaining_ids = {member.member_id for member in members}
    departed = [d for d in record.departed if d.member.member_id not in remaining_ids]
    for member in record.members:
        if member.member_id not in remaining_ids:
            departed.append(DepartedMember(member, now_unix_ms + window_ms))
    shards = [
        _next_shard_record(record, members, shard, version) for shard in range(SHARDS_PER_ZONE)
    ]
    needed = _pending_members(shards)
    departed = [
        d for d in departed if d.until_unix_ms > now_unix_ms or d.member.member_id in needed
    ]
    return OwnershipRecord(record.zone, version, members, departed, shards)


def with_recovered_shards(
    record: OwnershipRecord, owner_id: str, lost_unix_ms: dict[int, int]
) -> OwnershipRecord:
    """Return the next record, in which an owner has recovered shards.

    Args:
        record: the current record.
        owner_id: member id of the owner; shards that it does not own are left unchanged.
        lost_unix_ms: for each recovered shard the Unix time in milliseconds before which accepted
            keys may have been lost, 0 if none were.
    """
    shards = list(record.shards)
    for shard, shard_lost_unix_ms in lost_unix_ms.items():
        old = shards[shard]
        if old.current.owner == owner_id:
            shards[shard] = ShardRecord(old.current, [], max(old.lost_unix_ms, shard_lost_unix_ms))
    return OwnershipRecord(record.zone, record.version + 1, record.members, record.departed, shards)


def _next_shard_record(
    record: OwnershipRecord, members: list[Member], shard: int, version: int
) -> ShardRecord:
    old = record.shards[shard] if record.shards else None
    if not members:
        raise ValueError(f"zone {record.zone!r} would have no member, expected at least one")
    owner, witnesses = assign_shard(members, shard)
    if old is None:
        return ShardRecord(Term(version, owner, witnesses))
    if (owner, witnesses) == (old.current.owner, old.current.witnesses):
        return old
    pending = list(old.pending)
    if old.is_servable():
        pending.append(old.current)
    return ShardRecord(Term(version, owner, witnesses), pending, old.lost_unix_ms)


def _pending_members(shards: list[ShardRecord]) -> set[str]:
    """Return the ids of the owners and witnesses of all pending terms."""
    needed: set[str] = set()
    for shard in shards:
        for term in shard.pending:
            needed.update((term.owner, *term.witnesses))
    return needed


def _shares_host_and_rack(owner: Member, member: Member) -> tuple[bool, bool]:
    return (member.host == owner.host, bool(owner.rack) and member.rack == owner.rack)
