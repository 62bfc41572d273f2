"""Membership of a process in its availability zone.

A process joins the zone's ownership record, sends heartbeats to its peers, removes members that
have become unresponsive, and leaves the record when it stops.
"""

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
from camphorchute.observation_clock import observation_clock
from camphorchute.zones.deaths import DeathRegistry
from camphorchute.zones.record import (
    OwnershipRecord,
    decode_record,
    encode_record,
    with_members,
)
from camphorchute.zones.record_store import RecordStore
from camphorchute.zones.view import ZoneView

__all__ = ["Membership"]

REMOVAL_STAGGER_MS = 250.0
REJOIN_DELAY_MIN_MS = 500.0
REJOIN_DELAY_MAX_MS = 15_000.0
RECORD_REQUEST_TIMEOUT_MS = 1000.0


class Membership:
    """Greenlet that maintains the members of the zone's ownership record.

    A member that is unresponsive for ``suspect_ms`` is removed from the record. This does not
    prove that it is dead: whatever it still does as an owner is refused, because its shards have
    new terms.

    Args:
        view: the ownership records known to this process.
        peers: links to the other members.
        records: reads and changes the ownership record in the platform's store.
        deaths: the processes that are proved dead.
        make_heartbeat: returns the heartbeat to send on the links.
        heartbeat_ms: interval between heartbeats, in milliseconds.
        suspect_ms: time without a message after which a link is closed, and time without a link
            after which a member is removed, in milliseconds.
        window_ms: how long a removed member stays listed as departed, in milliseconds; as long as
            a key or a job that it knew may be retained.
        count: adds to a named counter.

    Attributes:
        heartbeat_listeners: listeners called with the sender and each heartbeat received.
        joined: event that is set once this process has been a member.
    """

    __slots__ = (
        "heartbeat_listeners",
        "joined",
        "_view",
        "_peers",
        "_records",
        "_deaths",
        "_make_heartbeat",
        "_heartbeat_ms",
        "_suspect_ms",
        "_window_ms",
        "_count",
        "_leaving",
        "_rejoin_delay_ms",
        "_rejoin_at_s",
        "_unlinked_since_s",
        "_greenlet",
    )

    def __init__(
        self,
        view: ZoneView,
        peers: Peers,
        records: RecordStore,
        deaths: DeathRegistry,
        make_heartbeat: Callable[[], Heartbeat],
        heartbeat_ms: float,
        suspect_ms: float,
        window_ms: float,
        count: Callable[..., None],
    ) -> None:
        self.heartbeat_listeners: list[Callable[[Member, Heartbeat], None]] = []
        self.joined = Event()
        self._view = view
        self._peers = peers
        self._records = records
        self._deaths = deaths
        self._make_heartbeat = make_heartbeat
        self._heartbeat_ms = heartbeat_ms
        self._suspect_ms = suspect_ms
        self._window_ms = window_ms
        self._count = count
        self._leaving = False
        self._rejoin_delay_ms = REJOIN_DELAY_MIN_MS
        self._rejoin_at_s = 0.0
        self._unlinked_since_s: dict[str, float] = {}
        self._greenlet = None

    def start(self) -> None:
        """Start the greenlet, which joins the zone and sends heartbeats."""
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop the greenlet without changing the ownership record."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def leave(self, timeout_ms: float) -> bool:
        """Remove this process from the record and wait until other members recover its shards.

        Args:
            timeout_ms: how long to wait at most, in milliseconds.

        Returns:
            True if no shard needs this process any more or it is the only member; False if the
            wait timed out.
        """
        self._leaving = True
        own_id = self._view.member.member_id
        deadline_s = time.monotonic() + timeout_ms / 1000
        while time.monotonic() < deadline_s:
            self._records.change(lambda record: self._record_without(record, own_id))
            record = self._view.record
            self._send_heartbeats()
            if self._is_only_member(record) or not _is_needed_for_handover(record, own_id):
                return True
            gevent.sleep(0.1)
        return False

    @handles(Heartbeat, nonblocking=True)
    def handle_heartbeat(self, peer: Member, message: Heartbeat) -> Done:
        """Notify the listeners, and fetch the ownership record if the peer knows a newer one.

        Args:
            peer: the sender.
            message: its heartbeat.
        """
        if peer.zone == self._view.member.zone and (
            message.record_version > self._view.record.version
        ):
            gevent.spawn(self._fetch_own_zone_record, peer)
        for listener in self.heartbeat_listeners:
            listener(peer, message)
        return Done()

    @handles(AskRecord, nonblocking=True)
    def handle_record_request(self, peer: Member, message: AskRecord) -> RecordIs:
        """Return the newest ownership record known of a zone, empty if none is.

        Args:
            peer: the sender.
            message: names the zone.
        """
        record = self._view.record_of_zone(message.zone)
        return RecordIs(encode_record(record) if record.version else b"")

    def fetch_record(self, zone: str, member: Member) -> None:
        """Request a zone's ownership record from a member and adopt it if it is newer.

        A request that fails is ignored.

        Args:
            zone: the availability zone.
            member: the member to ask.
        """
        try:
            reply = self._peers.request(member, AskRecord(zone), RECORD_REQUEST_TIMEOUT_MS)
        except (LinkLost, Refusal):
            return
        if reply.record:
            self._view.adopt(decode_record(reply.record))

    def _fetch_own_zone_record(self, peer: Member) -> None:
        self.fetch_record(self._view.member.zone, peer)

    def _run(self) -> None:
        while True:
            try:
                self._update_membership()
            except InvariantBroken:
                raise
            except Exception:  # noqa: BLE001 - heartbeats must not stop permanently
                self._count("zones.membership_fault")
                write_traceback()
            gevent.sleep(self._heartbeat_ms / 1000)

    def _update_membership(self) -> None:
        if not self._leaving:
            self._join_if_needed()
            self._remove_unresponsive()
        self._open_missing_links()
        self._send_heartbeats()

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
        if self._records.change(self._record_with_self):
            log_message(message_type="zones", text=f"zones: {me.member_id} joined {me.zone}")
            self.joined.set()
            jitter = random.uniform(0.5, 1.5)
            self._rejoin_at_s = time.monotonic() + self._rejoin_delay_ms * jitter / 1000
            self._rejoin_delay_ms = min(REJOIN_DELAY_MAX_MS, self._rejoin_delay_ms * 2)

    def _record_with_self(self, record: OwnershipRecord) -> OwnershipRecord | None:
        me = self._view.member
        if record.is_member(me.member_id):
            return None
        for member in record.members:
            if member.link_address == me.link_address:
                self._deaths.record_death(member)
        remaining = [m for m in record.members if not self._deaths.is_dead(m)]
        return self._next_record(record, [*remaining, me])

    def _record_without(self, record: OwnershipRecord, member_id: str) -> OwnershipRecord | None:
        remaining = [m for m in record.members if m.member_id != member_id]
        if len(remaining) == len(record.members) or not remaining:
            return None
        return self._next_record(record, remaining)

    def _next_record(self, record: OwnershipRecord, members: list[Member]) -> OwnershipRecord:
        return with_members(record, members, round(time.time() * 1000), round(self._window_ms))

    def _open_missing_links(self) -> None:
        for member in self._view.record.members:
            is_other = member.member_id != self._view.member.member_id
            if is_other and not self._peers.is_linked(member.member_id):
                gevent.spawn(self._peers.send, member, self._make_heartbeat())

    def _send_heartbeats(self) -> None:
        message = self._make_heartbeat()
        now_s = observation_clock.now_s()
        for link in self._peers.links():
            if now_s - link.last_observed_s > self._suspect_ms / 1000:
                self._count("links.closed_silent")
                link.close()
            else:
                link.send(self._heartbeat_for(link, message))

    def _heartbeat_for(self, link: Link, message: Heartbeat) -> Heartbeat:
        """Return the heartbeat for a link, with slot counts only if changed and in this zone."""
        is_other_zone = link.peer.zone != self._view.member.zone
        if is_other_zone or link.last_sent_slots == message.slots:
            return msgspec.structs.replace(message, slots=None)
        link.last_sent_slots = message.slots
        return message

    def _remove_unresponsive(self) -> None:
        record = self._view.record
        if not record.is_member(self._view.member.member_id):
            return
        linked = {link.peer.member_id for link in self._peers.links()}
        now_s = time.monotonic()
        for member in record.members:
            is_other = member.member_id != self._view.member.member_id
            if is_other and member.member_id not in linked:
                since_s = self._unlinked_since_s.setdefault(member.member_id, now_s)
                if self._should_remove(record, member, now_s - since_s):
                    self._remove(member)
                    return
            else:
                self._unlinked_since_s.pop(member.member_id, None)

    def _should_remove(self, record: OwnershipRecord, member: Member, unlinked_s: float) -> bool:
        """Return whether this process removes a member now.

        A member that is not proved dead is removed after the suspect time; each process, in the
        order of the member ids, waits ``REMOVAL_STAGGER_MS`` longer than the one before it.
        """
        if self._deaths.is_dead(member):
            return True
        member_ids = sorted(m.member_id for m in record.members)
        rank = member_ids.index(self._view.member.member_id)
        return unlinked_s * 1000 > self._suspect_ms + rank * REMOVAL_STAGGER_MS

    def _remove(self, member: Member) -> None:
        self._unlinked_since_s.pop(member.member_id, None)
        if self._records.change(lambda record: self._record_without(record, member.member_id)):
            self._count("zones.member_removed")
            log_message(
                message_type="zones",
                text=f"zones: removed {member.member_id} from the record of {member.zone}",
            )

    def _is_only_member(self, record: OwnershipRecord) -> bool:
        return [m.member_id for m in record.members] == [self._view.member.member_id]


def _is_needed_for_handover(record: OwnershipRecord, member_id: str) -> bool:
    """Return whether a process is a member or a shard still has to recover its keys."""
    if record.is_member(member_id):
        return True
    return any(
        member_id == term.owner or member_id in term.witnesses
        for shard in record.shards
        for term in shard.pending
    )
