"""Recover the keys accepted in earlier terms of a shard, so that its new owner may serve it.

The new owner fences the owners and witnesses of all earlier terms, merges the keys that they hold
into its ledger, has its current witnesses acknowledge these keys, and then stores in the ownership
record that the shard is recovered.
"""

import time
from collections.abc import Callable

import gevent
from eliot import write_traceback
from gevent.event import Event

from camphorchute.contracts.errors import InvariantBroken, Refusal
from camphorchute.contracts.member import Member
from camphorchute.contracts.messages import Fence
from camphorchute.links import LinkLost, Peers
from camphorchute.loops import wait_for_event
from camphorchute.zones.deaths import DeathRegistry
from camphorchute.zones.ledger import Ledger
from camphorchute.zones.record import (
    OwnershipRecord,
    ShardRecord,
    encode_record,
    with_recovered_shards,
)
from camphorchute.zones.record_store import RecordStore
from camphorchute.zones.takeover import TermRecovery, term_recovery
from camphorchute.zones.view import ZoneView
from camphorchute.zones.witnessing import Witnessing

__all__ = ["ShardRecovery"]

FENCE_TIMEOUT_MS = 1500.0
RETRY_INTERVAL_MS = 300.0
IDLE_INTERVAL_MS = 2000.0


class ShardRecovery:
    """Greenlet that recovers the shards which this process owns.

    Args:
        view: the ownership records known to this process.
        peers: links to the other members.
        ledger: the keys that this process holds.
        witnessing: has witnesses acknowledge the recovered keys.
        records: reads and changes the ownership record in the platform's store.
        deaths: the processes that are proved dead.
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
        deaths: DeathRegistry,
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
        """Start the greenlet; it also wakes whenever the ownership record changes."""
        self._view.change_listeners.append(self._wake.set)
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop the greenlet."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def _run(self) -> None:
        while True:
            shards = self._unrecovered_shards()
            interval_ms = RETRY_INTERVAL_MS if shards else IDLE_INTERVAL_MS
            wait_for_event(self._wake, interval_ms / 1000)
            self._wake.clear()
            try:
                self._recover(self._unrecovered_shards())
            except InvariantBroken:
                raise
            except Exception:  # noqa: BLE001 - a shard must not stay unserved permanently
                self._count("zones.settling_fault")
                write_traceback()

    def _unrecovered_shards(self) -> list[int]:
        record = self._view.record
        owned = record.shards_of(self._view.member.member_id)
        return [shard for shard in owned if record.shards[shard].pending]

    def _recover(self, shards: list[int]) -> None:
        if not shards:
            return
        record = self._view.record
        fenced = self._fence_members(record, shards)
        dead = {m for m in self._pending_members(record, shards) if self._is_dead(record, m)}
        lost_unix_ms = {}
        for shard in shards:
            states = {term_recovery(t, fenced, dead) for t in record.shards[shard].pending}
            if TermRecovery.OPEN in states:
                continue
            if TermRecovery.LOST in states:
                self._ledger.mark_uncertain(shard)
            if self._acknowledge_entries(record.shards[shard], shard):
                lost_unix_ms[shard] = (
                    round(time.time() * 1000) if TermRecovery.LOST in states else 0
                )
        if lost_unix_ms:
            self._store_recovered(record, lost_unix_ms)

    def _store_recovered(self, record: OwnershipRecord, lost_unix_ms: dict[int, int]) -> None:
        """Store that shards are recovered, except those whose record has changed since.

        Args:
            record: the ownership record under which the shards were recovered.
            lost_unix_ms: for each recovered shard the time before which keys may have been lost,
                in Unix milliseconds; 0 if none were.
        """
        own_id = self._view.member.member_id

        def change(current: OwnershipRecord) -> OwnershipRecord | None:
            unchanged = {
                shard: at
                for shard, at in lost_unix_ms.items()
                if current.shards[shard] == record.shards[shard]
            }
            return with_recovered_shards(current, own_id, unchanged) if unchanged else None

        if self._records.change(change):
            self._count("zones.shards_settled", len(lost_unix_ms))
            self._count("zones.shards_lost", sum(1 for at in lost_unix_ms.values() if at))

    def _acknowledge_entries(self, shard_record: ShardRecord, shard: int) -> bool:
        """Have a witness of the current term hold the entries; return False if refused."""
        entries = self._ledger.entries_of_shard(shard)
        if not entries:
            return True
        try:
            self._witnessing.acknowledge(shard_record.current, shard, entries, recovered=True)
        except Refusal as refusal:
            self._view.adopt_from_refusal(refusal)
            self._count(f"zones.retry.settle_{refusal.code.name.lower()}")
            return False
        return True

    def _pending_members(self, record: OwnershipRecord, shards: list[int]) -> set[str]:
        """Return the ids of the owners and witnesses of the shards' pending terms."""
        members: set[str] = set()
        for shard in shards:
            for term in record.shards[shard].pending:
                members.update((term.owner, *term.witnesses))
        return members

    def _fence_members(self, record: OwnershipRecord, shards: list[int]) -> set[str]:
        """Fence the members of the pending terms; return the ids of those that are fenced.

        A member with an open link is asked even if it counts as dead, since its answer proves more
        than a list that lacks its VM.
        """
        own_id = self._view.member.member_id
        pending_members = self._pending_members(record, shards)
        message = Fence(record.zone, encode_record(record), shards)
        others = [record.member(m) for m in pending_members if m != own_id]
        candidates = [m for m in others if m is not None and self._may_answer(m)]
        greenlets = [gevent.spawn(self._fence_member, member, message) for member in candidates]
        gevent.joinall(greenlets)
        fenced = {g.value for g in greenlets if g.value is not None}
        return fenced | ({own_id} & pending_members)

    def _fence_member(self, member: Member, message: Fence) -> str | None:
        """Fence one member and merge its keys; return its id, or None if a request failed."""
        remaining = message.shards
        while remaining:
            request = Fence(message.zone, message.record, remaining)
            try:
                reply = self._peers.request(member, request, FENCE_TIMEOUT_MS)
            except (LinkLost, Refusal):
                self._count("zones.retry.fence")
                return None
            self._ledger.merge(reply.entries)
            remaining = reply.left
        return member.member_id

    def _may_answer(self, member: Member) -> bool:
        return self._peers.is_linked(member.member_id) or not self._deaths.is_dead(member)

    def _is_dead(self, record: OwnershipRecord, member_id: str) -> bool:
        member = record.member(member_id)
        return member is not None and self._deaths.is_dead(member)
