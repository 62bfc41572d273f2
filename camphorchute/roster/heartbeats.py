"""Heartbeats on every link, and what they bring along."""

import random
import time
from collections.abc import Callable

import gevent

from camphorchute.contracts import Refusal
from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import FetchQueues, MemberBeat, QueuesAre
from camphorchute.links import Link, LinkLost, Peers, handles
from camphorchute.loops import spawn_loop
from camphorchute.roster.shared_view import SharedView

__all__ = ["Beats"]

BEAT_MS = 250.0
BEAT_CHECK_MS = 125.0
SUSPECT_MS = 750.0
CONNECT_MS = 500.0
RING_REACH = 2
UNUSED_MS = 10_000.0
FETCH_TIMEOUT_MS = 500.0
MS_PER_S = 1000.0


class Beats:
    """Keeps links to its neighbours, closes silent links, and passes configurations on.

    The members form a ring in the order of their ids; neighbours are at most two places apart.
    Other links are opened by who needs them and closed when they have not been used for a while,
    so that the number of beats does not grow with the square of the fleet.

    Args:
        peers: the links.
        view: the shared state.
        count: adds to a named counter.

    """

    __slots__ = ("_peers", "_view", "_count", "_told", "_greenlets")

    def __init__(self, peers: Peers, view: SharedView, count: Callable[..., None]) -> None:
        self._peers = peers
        self._view = view
        self._count = count
        self._told: dict[str, int] = {}
        self._greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start to beat."""
        self._greenlets = [
            spawn_loop("roster", self._beat, self._count),
            spawn_loop("roster", self._connect, self._count),
        ]

    def close(self) -> None:
        """Stop."""
        gevent.killall(self._greenlets, block=False)

    @handles(MemberBeat, prompt=True)
    def hear(self, peer: Member, message: MemberBeat) -> None:
        """Ask for a configuration that is newer than the one in force."""
        if message.queues_version > self._version():
            gevent.spawn(self._fetch, peer)

    @handles(FetchQueues, prompt=True)
    def tell_queues(self, peer: Member, message: FetchQueues) -> QueuesAre:
        """Pass the configuration in force on."""
        return QueuesAre(self._view.queues.source if self._view.queues else b"")

    def _fetch(self, peer: Member) -> None:
        try:
            answer = self._peers.request(peer, FetchQueues(), FETCH_TIMEOUT_MS)
        except (LinkLost, Refusal):
            self._count("roster.retry.fetch_queues")
            return
        if answer.source:
            self._count("roster.configuration_from_peer")
            self._view.offer_queues(answer.source)

    def _version(self) -> int:
        return self._view.queues.version if self._view.queues else 0

    def _beat(self) -> None:
        while True:
            message = MemberBeat(self._version())
            neighbours = {member.member_id for member in self._neighbours(RING_REACH)}
            now_s = time.monotonic()
            for link in self._peers.links():
                unused_ms = (now_s - link.last_used_s) * MS_PER_S
                if (now_s - link.last_heard_s) * MS_PER_S > SUSPECT_MS:
                    self._count("roster.link_silent")
                    link.close()
                elif unused_ms > UNUSED_MS and link.peer.member_id not in neighbours:
                    self._count("roster.link_unused")
                    link.close()
                elif self._is_due(link, now_s):
                    link.send(message)
            gevent.sleep(BEAT_CHECK_MS / MS_PER_S)

    def _is_due(self, link: Link, now_s: float) -> bool:
        """Whether a beat says anything that other messages have not said by being sent."""
        told = self._told.get(link.peer.member_id)
        version = self._version()
        if told == version and (now_s - link.last_sent_s) * MS_PER_S < BEAT_MS:
            return False
        self._told[link.peer.member_id] = version
        return True

    def _neighbours(self, reach: int) -> list[Member]:
        """Return the members up to a number of places before and after this one in the ring."""
        ring = sorted(self._view.members.values(), key=lambda member: member.member_id)
        own_id = self._peers.member.member_id
        place = next((n for n, member in enumerate(ring) if member.member_id == own_id), None)
        if place is None:
            return ring[: 2 * reach]
        steps = [step for step in range(-reach, reach + 1) if step]
        found = {(place + step) % len(ring) for step in steps} - {place}
        return [ring[number] for number in sorted(found)]

    def _connect(self) -> None:
        """Open a link to each neighbour that there is none to; the lower id opens it."""
        while True:
            own_id = self._peers.member.member_id
            for member in self._neighbours(RING_REACH):
                if own_id < member.member_id and not self._peers.is_linked(member.member_id):
                    gevent.spawn(self._peers.send, member, MemberBeat(self._version()))
            gevent.sleep(random.uniform(0.5, 1.0) * CONNECT_MS / MS_PER_S)
