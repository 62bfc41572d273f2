"""Join the zone, notice members that went silent, leave in order."""

import random
import time
from collections.abc import Callable

import gevent
import msgspec
from eliot import log_message, write_traceback
from gevent.event import Event

from camphorchute.contracts.errors import InvariantBroken, Refusal
from camphorchute.contracts.member import Member
from camphorchute.contracts.messages import AskRecord, Done, Heartbeat, RecordIs
from camphorchute.hosting import StoreUnavailable
from camphorchute.links import Link, LinkLost, Peers, handles
from camphorchute.zones.deaths import Deaths
from camphorchute.zones.record import (
    OwnershipRecord,
    decode_record,
    encode_record,
    with_members,
)
from camphorchute.zones.record_store import RecordStore
from camphorchute.zones.view import ZoneView

__all__ = ["Membership"]

REMOVAL_STEP_MS = 250.0
REJOIN_MIN_MS = 500.0
REJOIN_MAX_MS = 15_000.0
ASK_TIMEOUT_MS = 1000.0


class Membership:
    """The greenlet that keeps this process and its peers in the zone's record.

    Silence for ``suspect_ms`` removes a member from the record; it proves nothing, and what the
    member may still do is refused by the terms of the shards.

    Args:
        view: the ownership records.
        peers: links to the other members.
        records: the record in the platform's store.
        deaths: which processes are proved dead.
        heartbeat: makes the message that is sent on every link.
        heartbeat_ms: time between heartbeats.
        suspect_ms: silence after which a member is removed.
        window_ms: resubmission window.
        count: adds to a named counter.

    Attributes:
        heard: called with each heartbeat and its sender.
        joined: set once this process has been a member.
    """

    __slots__ = (
        "heard",
        "joined",
        "_view",
        "_peers",
        "_records",
        "_deaths",
        "_heartbeat",
        "_heartbeat_ms",
        "_suspect_ms",
        "_window_ms",
        "_count",
        "_leaving",
        "_rejoin_ms",
        "_rejoin_at_s",
        "_silent_since_s",
        "_greenlet",
    )

    def __init__(
        self,
        view: ZoneView,
        peers: Peers,
        records: RecordStore,
        deaths: Deaths,
        heartbeat: Callable[[], Heartbeat],
        heartbeat_ms: float,
        suspect_ms: float,
        window_ms: float,
        count: Callable[..., None],
    ) -> None:
        self.heard: list[Callable[[Member, Heartbeat], None]] = []
        self.joined = Event()
        self._view = view
        self._peers = peers
        self._records = records
        self._deaths = deaths
        self._heartbeat = heartbeat
        self._heartbeat_ms = heartbeat_ms
        self._suspect_ms = suspect_ms
        self._window_ms = window_ms
        self._count = count
        self._leaving = False
        self._rejoin_ms = REJOIN_MIN_MS
        self._rejoin_at_s = 0.0
        self._silent_since_s: dict[str, float] = {}
        self._greenlet = None

    def start(self) -> None:
        """Join the zone and begin to send heartbeats."""
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop; the record is left as it is."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def leave(self, timeout_ms: float) -> bool:
        """Take this process out of the record and wait until its shards are settled elsewhere.

        Returns:
            Whether all its shards have been taken over.
        """
        self._leaving = True
        me = self._view.member.member_id
        until_s = time.monotonic() + timeout_ms / 1000
        while time.monotonic() < until_s:
            self._records.change(lambda record: self._without(record, me))
            record = self._view.record
            self._tell_peers()
            if self._is_alone(record) or not _is_awaited(record, me):
                return True
            gevent.sleep(0.1)
        return False

    @handles(Heartbeat, prompt=True)
    def hear(self, peer: Member, message: Heartbeat) -> Done:
        """Take in a peer's heartbeat."""
        if peer.zone == self._view.member.zone and (
            message.record_version > self._view.record.version
        ):
            gevent.spawn(self._fetch_record, peer)
        for listener in self.heard:
            listener(peer, message)
        return Done()

    @handles(AskRecord, prompt=True)
    def tell_record(self, peer: Member, message: AskRecord) -> RecordIs:
        """Tell a peer the record of a zone."""
        record = self._view.of_zone(message.zone)
        return RecordIs(encode_record(record) if record.version else b"")

    def fetch_record_of(self, zone: str, member: Member) -> None:
        """Ask a member for the record of a zone."""
        try:
            reply = self._peers.request(member, AskRecord(zone), ASK_TIMEOUT_MS)
        except (LinkLost, Refusal):
            return
        if reply.record:
            self._view.adopt(decode_record(reply.record))

    def _fetch_record(self, peer: Member) -> None:
        self.fetch_record_of(self._view.member.zone, peer)

    def _run(self) -> None:
        while True:
            try:
                self._step()
            except InvariantBroken:
                raise
            except Exception:  # noqa: BLE001 - heartbeats must not end for good
                self._count("zones.membership_fault")
                write_traceback()
            gevent.sleep(self._heartbeat_ms / 1000)

    def _step(self) -> None:
        if not self._leaving:
            self._join_if_needed()
            self._remove_silent()
        self._connect_members()
        self._tell_peers()

    def _join_if_needed(self) -> None:
        me = self._view.member
        if self._view.record.is_member(me.member_id):
            self.joined.set()
            return
        if time.monotonic() < self._rejoin_at_s:
            return
        try:
            self._records.read(me.zone)
        except StoreUnavailable:
            self._count("zones.retry.join")
            return
        if self._records.change(self._with_self):
            log_message(message_type="zones", text=f"zones: {me.member_id} joined {me.zone}")
            self.joined.set()
            jitter = random.uniform(0.5, 1.5)
            self._rejoin_at_s = time.monotonic() + self._rejoin_ms * jitter / 1000
            self._rejoin_ms = min(REJOIN_MAX_MS, self._rejoin_ms * 2)

    def _with_self(self, record: OwnershipRecord) -> OwnershipRecord | None:
        me = self._view.member
        if record.is_member(me.member_id):
            return None
        for member in record.members:
            if member.link_address == me.link_address:
                self._deaths.prove(member)
        kept = [m for m in record.members if not self._deaths.is_dead(m)]
        return self._next(record, [*kept, me])

    def _without(self, record: OwnershipRecord, member_id: str) -> OwnershipRecord | None:
        kept = [m for m in record.members if m.member_id != member_id]
        if len(kept) == len(record.members) or not kept:
            return None
        return self._next(record, kept)

    def _next(self, record: OwnershipRecord, members: list[Member]) -> OwnershipRecord:
        return with_members(record, members, round(time.time() * 1000), round(self._window_ms))

    def _connect_members(self) -> None:
        for member in self._view.record.members:
            other = member.member_id != self._view.member.member_id
            if other and not self._peers.is_linked(member.member_id):
                gevent.spawn(self._peers.send, member, self._heartbeat())

    def _tell_peers(self) -> None:
        message = self._heartbeat()
        now_s = time.monotonic()
        for link in self._peers.links():
            if now_s - link.last_heard_s > self._suspect_ms / 1000:
                self._count("links.closed_silent")
                link.close()
            else:
                link.send(self._heartbeat_for(link, message))

    def _heartbeat_for(self, link: Link, message: Heartbeat) -> Heartbeat:
        """Return the heartbeat for a link: slot counts only where the peer needs them anew."""
        other_zone = link.peer.zone != self._view.member.zone
        if other_zone or link.told_slots == message.slots:
            return msgspec.structs.replace(message, slots=None)
        link.told_slots = message.slots
        return message

    def _remove_silent(self) -> None:
        record = self._view.record
        if not record.is_member(self._view.member.member_id):
            return
        linked = {link.peer.member_id for link in self._peers.links()}
        now_s = time.monotonic()
        for member in record.members:
            is_other = member.member_id != self._view.member.member_id
            if is_other and member.member_id not in linked:
                since_s = self._silent_since_s.setdefault(member.member_id, now_s)
                if self._should_remove(record, member, now_s - since_s):
                    self._remove(member)
                    return
            else:
                self._silent_since_s.pop(member.member_id, None)

    def _should_remove(self, record: OwnershipRecord, member: Member, silent_s: float) -> bool:
        if self._deaths.is_dead(member):
            return True
        members = sorted(m.member_id for m in record.members)
        turn = members.index(self._view.member.member_id)
        return silent_s * 1000 > self._suspect_ms + turn * REMOVAL_STEP_MS

    def _remove(self, member: Member) -> None:
        self._silent_since_s.pop(member.member_id, None)
        if self._records.change(lambda record: self._without(record, member.member_id)):
            self._count("zones.member_removed")
            log_message(message_type="zones", text=f"zones: removed {member.member_id}")

    def _is_alone(self, record: OwnershipRecord) -> bool:
        return [m.member_id for m in record.members] == [self._view.member.member_id]


def _is_awaited(record: OwnershipRecord, member_id: str) -> bool:
    """Whether a shard still waits for the records of a process."""
    if record.is_member(member_id):
        return True
    return any(
        member_id == term.owner or member_id in term.witnesses
        for shard in record.shards
        for term in shard.pending
    )
