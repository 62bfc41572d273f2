"""Ownership records known to one process, and the check that refuses superseded terms."""

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
    """Newest ownership record known of each zone.

    Args:
        member: this process.

    Attributes:
        record: the newest record known of this process's zone.
        change_listeners: listeners called after the record of this process's zone has changed.
    """

    __slots__ = ("member", "change_listeners", "_records", "_min_terms")

    def __init__(self, member: Member) -> None:
        self.member = member
        self.change_listeners: list[Callable[[], None]] = []
        self._records: dict[str, OwnershipRecord] = {}
        self._min_terms = [0] * SHARDS_PER_ZONE

    @property
    def record(self) -> OwnershipRecord:
        """The newest record known of this process's zone; version 0 before one is known."""
        return self.record_of_zone(self.member.zone)

    def record_of_zone(self, zone: str) -> OwnershipRecord:
        """Return the newest record known of a zone; version 0 if none is."""
        return self._records.get(zone) or empty_record(zone)

    def adopt(self, record: OwnershipRecord) -> bool:
        """Store a record if it is newer than the one known, and notify the listeners.

        Args:
            record: the ownership record of any zone.

        Returns:
            Whether the record was newer.
        """
        if record.version <= self.record_of_zone(record.zone).version:
            return False
        self._records[record.zone] = record
        if record.zone == self.member.zone:
            for shard, shard_record in enumerate(record.shards):
                self._raise_min_term(shard, shard_record.current.number)
            for listener in self.change_listeners:
                listener()
        return True

    def adopt_from_refusal(self, refusal: Refusal) -> None:
        """Adopt the ownership record that a peer sent with its refusal, if any.

        Args:
            refusal: the refusal of a request to a peer.
        """
        data = getattr(refusal, "record", b"")
        if data:
            self.adopt(decode_record(data))

    def check_term(self, zone: str, shard: int, term: int) -> None:
        """Refuse a message sent under an older term of a shard than the newest one seen.

        Args:
            zone: availability zone of the shard.
            shard: number of the shard.
            term: number of the term under which the message was sent.

        Raises:
            Refusal: ``NOT_OWNER`` if the shard is not one of this process's zone; ``STALE_TERM``
                if the term is superseded, with the ownership record known here as ``record``.
        """
        if zone != self.member.zone or not 0 <= shard < SHARDS_PER_ZONE:
            raise Refusal(
                ResultCode.NOT_OWNER,
                f"shard {shard} of zone {zone!r} is unknown here, expected zone "
                f"{self.member.zone!r} and a shard from 0 to {SHARDS_PER_ZONE - 1}",
            )
        if term < self._min_terms[shard]:
            refusal = Refusal(
                ResultCode.STALE_TERM,
                f"term {term} of shard {shard} is superseded, expected at least "
                f"{self._min_terms[shard]}",
            )
            refusal.record = encode_record(self.record) if self.record.version else b""
            raise refusal
        self._raise_min_term(shard, term)

    def owned_term(self, shard: int) -> Term | None:
        """Return the term under which this process may decide on a shard's keys, or None.

        It is None if another process owns the shard, a newer term has been seen, or keys of
        another owner's term have not been recovered yet.

        Args:
            shard: number of the shard.
        """
        record = self.record
        if not record.shards:
            return None
        shard_record = record.shards[shard]
        owns = shard_record.current.owner == self.member.member_id
        is_newest = shard_record.current.number == self._min_terms[shard]
        if owns and is_newest and shard_record.is_servable():
            return shard_record.current
        return None

    def reach(self) -> Reach:
        """Return through which schedulers this process may start tasks of the keys that it owns.

        An owner starts no task through its own VM while there is another VM, so that the process
        that takes over after its death can ask every scheduler that may have started one.
        """
        others = [m for m in self.record.members if m.member_id != self.member.member_id]
        if any(member.host != self.member.host for member in others):
            return Reach.OTHER_HOSTS
        return Reach.OTHER_PROCESSES if others else Reach.ANY

    def schedulers_within(self, allowed_reach: Reach) -> list[Member]:
        """Return the members that are within the given reach of this process.

        Args:
            allowed_reach: which members count, by their VM and process.
        """
        if allowed_reach is Reach.OTHER_HOSTS:
            return [m for m in self.record.members if m.host != self.member.host]
        if allowed_reach is Reach.OTHER_PROCESSES:
            return [m for m in self.record.members if m.member_id != self.member.member_id]
        return list(self.record.members)

    def _raise_min_term(self, shard: int, term: int) -> None:
        self._min_terms[shard] = max(self._min_terms[shard], term)
