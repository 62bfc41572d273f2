"""What one process knows of the ownership records, and which older terms it refuses."""

from collections.abc import Callable

from camphorchute.contracts.codes import ResultCode
from camphorchute.contracts.errors import Refusal
from camphorchute.contracts.keys import SHARDS_PER_ZONE
from camphorchute.contracts.member import Member
from camphorchute.contracts.messages import Reach
from camphorchute.zones.record import (
    OwnershipRecord,
    Term,
    decode_record,
    empty_record,
    encode_record,
)

__all__ = ["ZoneView"]


class ZoneView:
    """The newest ownership record known of each zone.

    Args:
        member: this process.

    Attributes:
        record: record of the own zone.
        changed: called after the own zone's record has changed.
    """

    __slots__ = ("member", "changed", "_records", "_floors")

    def __init__(self, member: Member) -> None:
        self.member = member
        self.changed: list[Callable[[], None]] = []
        self._records: dict[str, OwnershipRecord] = {}
        self._floors = [0] * SHARDS_PER_ZONE

    @property
    def record(self) -> OwnershipRecord:
        """The record of the own zone; version 0 before one is known."""
        return self.of_zone(self.member.zone)

    def of_zone(self, zone: str) -> OwnershipRecord:
        """Return the newest record known of a zone."""
        return self._records.get(zone) or empty_record(zone)

    def adopt(self, record: OwnershipRecord) -> bool:
        """Take in a record if it is newer than the one known; return whether it was."""
        if record.version <= self.of_zone(record.zone).version:
            return False
        self._records[record.zone] = record
        if record.zone == self.member.zone:
            for shard, shard_record in enumerate(record.shards):
                self._raise_floor(shard, shard_record.current.number)
            for listener in self.changed:
                listener()
        return True

    def learn(self, refusal: Refusal) -> None:
        """Take in the record that a peer sent with its refusal, if it sent one."""
        data = getattr(refusal, "record", b"")
        if data:
            self.adopt(decode_record(data))

    def check_term(self, zone: str, shard: int, term: int) -> None:
        """Refuse a message sent under an older term of a shard than one already seen.

        Raises:
            Refusal: ``STALE_TERM``, with the record that is known here.
        """
        if zone != self.member.zone or not 0 <= shard < SHARDS_PER_ZONE:
            raise Refusal(ResultCode.NOT_OWNER, f"zone {zone!r} shard {shard} is not here")
        if term < self._floors[shard]:
            refusal = Refusal(
                ResultCode.STALE_TERM, f"shard {shard} term {term}, here {self._floors[shard]}"
            )
            refusal.record = encode_record(self.record) if self.record.version else b""
            raise refusal
        self._raise_floor(shard, term)

    def owned_term(self, shard: int) -> Term | None:
        """Return the term under which this process may decide on a shard, or None."""
        record = self.record
        if not record.shards:
            return None
        shard_record = record.shards[shard]
        owns = shard_record.current.owner == self.member.member_id
        is_newest = shard_record.current.number == self._floors[shard]
        if owns and is_newest and shard_record.servable():
            return shard_record.current
        return None

    def reach(self) -> Reach:
        """Return to which homes this process may hand tasks of the keys that it owns.

        An owner starts no task through its own VM while there is another: whoever takes over
        after its death can then ask every home that may have started one.
        """
        others = [m for m in self.record.members if m.member_id != self.member.member_id]
        if any(member.host != self.member.host for member in others):
            return Reach.OTHER_HOSTS
        return Reach.OTHER_PROCESSES if others else Reach.ANY

    def homes(self, reach: Reach) -> list[Member]:
        """Return the members within a reach of this process."""
        if reach is Reach.OTHER_HOSTS:
            return [m for m in self.record.members if m.host != self.member.host]
        if reach is Reach.OTHER_PROCESSES:
            return [m for m in self.record.members if m.member_id != self.member.member_id]
        return list(self.record.members)

    def _raise_floor(self, shard: int, term: int) -> None:
        self._floors[shard] = max(self._floors[shard], term)
