"""Gather the records of earlier terms, so that the new owner of a shard may serve it."""

import time
from collections.abc import Callable

import gevent
from eliot import write_traceback
from gevent.event import Event

from camphorchute.contracts.errors import InvariantBroken, Refusal
from camphorchute.contracts.member import Member
from camphorchute.contracts.messages import Fence
from camphorchute.links import LinkLost, Peers
from camphorchute.zones.deaths import Deaths
from camphorchute.zones.ledger import Ledger
from camphorchute.zones.record import (
    OwnershipRecord,
    ShardRecord,
    encode_record,
    with_settled,
)
from camphorchute.zones.record_store import RecordStore
from camphorchute.zones.takeover import Gathered, term_gathered
from camphorchute.zones.view import ZoneView
from camphorchute.zones.witnessing import Witnessing

__all__ = ["Settling"]

FENCE_TIMEOUT_MS = 1500.0
RETRY_MS = 300.0
IDLE_MS = 2000.0


class Settling:
    """The greenlet that settles the shards which this process owns.

    Args:
        view: the ownership records.
        peers: links to the other members.
        ledger: the keys that this process holds.
        witnessing: acknowledges the gathered keys anew.
        records: reads and changes the record in the platform's store.
        deaths: which processes are proved dead.
        count: adds to a named counter.
    """

    __slots__ = (
        "_view",
        "_peers",
        "_ledger",
        "_witnessing",
        "_records",
        "_deaths",
        "_count",
        "_wake",
        "_greenlet",
    )

    def __init__(
        self,
        view: ZoneView,
        peers: Peers,
        ledger: Ledger,
        witnessing: Witnessing,
        records: RecordStore,
        deaths: Deaths,
        count: Callable[..., None],
    ) -> None:
        self._view = view
        self._peers = peers
        self._ledger = ledger
        self._witnessing = witnessing
        self._records = records
        self._deaths = deaths
        self._count = count
        self._wake = Event()
        self._greenlet = None

    def start(self) -> None:
        """Begin to settle."""
        self._view.changed.append(self._wake.set)
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def _run(self) -> None:
        while True:
            shards = self._unsettled()
            self._wake.wait((RETRY_MS if shards else IDLE_MS) / 1000)
            self._wake.clear()
            try:
                self._settle(self._unsettled())
            except InvariantBroken:
                raise
            except Exception:  # noqa: BLE001 - a shard must not stay unserved for good
                self._count("zones.settling_fault")
                write_traceback()

    def _unsettled(self) -> list[int]:
        record = self._view.record
        owned = record.shards_of(self._view.member.member_id)
        return [shard for shard in owned if record.shards[shard].pending]

    def _settle(self, shards: list[int]) -> None:
        if not shards:
            return
        record = self._view.record
        fenced = self._fence(record, shards)
        dead = {m for m in self._concerned(record, shards) if self._is_dead(record, m)}
        lost = {}
        for shard in shards:
            outcomes = {term_gathered(t, fenced, dead) for t in record.shards[shard].pending}
            if Gathered.OPEN in outcomes:
                continue
            if Gathered.LOST in outcomes:
                self._ledger.doubt(shard)
            if self._acknowledge_anew(record.shards[shard], shard):
                lost[shard] = round(time.time() * 1000) if Gathered.LOST in outcomes else 0
        if lost:
            self._store(record, lost)

    def _store(self, record: OwnershipRecord, lost: dict[int, int]) -> None:
        me = self._view.member.member_id

        def change(current: OwnershipRecord) -> OwnershipRecord | None:
            same = {s: at for s, at in lost.items() if current.shards[s] == record.shards[s]}
            return with_settled(current, me, same) if same else None

        if self._records.change(change):
            self._count("zones.shards_settled", len(lost))
            self._count("zones.shards_lost", sum(1 for at in lost.values() if at))

    def _acknowledge_anew(self, shard_record: ShardRecord, shard: int) -> bool:
        entries = self._ledger.of_shard(shard)
        if not entries:
            return True
        try:
            self._witnessing.acknowledge(shard_record.current, shard, entries, gathered=True)
        except Refusal as refusal:
            self._view.learn(refusal)
            self._count(f"zones.retry.settle_{refusal.code.name.lower()}")
            return False
        return True

    def _concerned(self, record: OwnershipRecord, shards: list[int]) -> set[str]:
        members: set[str] = set()
        for shard in shards:
            for term in record.shards[shard].pending:
                members.update((term.owner, *term.witnesses))
        return members

    def _fence(self, record: OwnershipRecord, shards: list[int]) -> set[str]:
        me = self._view.member.member_id
        concerned = self._concerned(record, shards)
        message = Fence(record.zone, encode_record(record), shards)
        others = [record.member(m) for m in concerned if m != me]
        asked = [m for m in others if m is not None and not self._deaths.is_dead(m)]
        greenlets = [gevent.spawn(self._fence_one, member, message) for member in asked]
        gevent.joinall(greenlets)
        fenced = {g.value for g in greenlets if g.value is not None}
        return fenced | ({me} & concerned)

    def _fence_one(self, member: Member, message: Fence) -> str | None:
        left = message.shards
        while left:
            asked = Fence(message.zone, message.record, left)
            try:
                reply = self._peers.request(member, asked, FENCE_TIMEOUT_MS)
            except (LinkLost, Refusal):
                self._count("zones.retry.fence")
                return None
            self._ledger.merge(reply.entries)
            left = reply.left
        return member.member_id

    def _is_dead(self, record: OwnershipRecord, member_id: str) -> bool:
        member = record.member(member_id)
        return member is not None and self._deaths.is_dead(member)
