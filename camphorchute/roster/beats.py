"""Heartbeats to the other members, and what they bring along."""

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
FETCH_TIMEOUT_MS = 500.0
MS_PER_S = 1000.0


class Beats:
    """Keeps a link to each member, closes silent ones, and passes configurations on.

    Args:
        peers: the links.
        view: the shared state.
        count: adds to a named counter.

    Attributes:
        leaving: whether this process is about to stop.
        leaving_members: members that have said so of themselves.
    """

    __slots__ = ("leaving", "leaving_members", "_peers", "_view", "_count", "_told", "_greenlets")

    def __init__(self, peers: Peers, view: SharedView, count: Callable[..., None]) -> None:
        self.leaving = False
        self.leaving_members: set[str] = set()
        self._peers = peers
        self._view = view
        self._count = count
        self._told: dict[str, tuple[int, bool]] = {}
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
        """Take note of a beat; ask for a configuration that is newer than the one in force."""
        if message.leaving:
            self.leaving_members.add(peer.member_id)
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
            message = MemberBeat(self._version(), self.leaving)
            now_s = time.monotonic()
            for link in self._peers.links():
                if (now_s - link.last_heard_s) * MS_PER_S > SUSPECT_MS:
                    self._count("roster.link_silent")
                    link.close()
                elif self._is_due(link, now_s):
                    link.send(message)
            gevent.sleep(BEAT_CHECK_MS / MS_PER_S)

    def _is_due(self, link: Link, now_s: float) -> bool:
        """Whether a beat says anything that other messages have not said by being sent."""
        told = self._told.get(link.peer.member_id)
        news = (self._version(), self.leaving)
        if told == news and (now_s - link.last_sent_s) * MS_PER_S < BEAT_MS:
            return False
        self._told[link.peer.member_id] = news
        return True

    def _connect(self) -> None:
        """Open a link to each member that there is none to; the lower id opens first."""
        while True:
            own_id = self._peers.member.member_id
            later = [m for m in self._view.members.values() if own_id < m.member_id]
            for member in later:
                if not self._peers.is_linked(member.member_id):
                    gevent.spawn(self._peers.send, member, MemberBeat(self._version()))
            gevent.sleep(random.uniform(0.5, 1.0) * CONNECT_MS / MS_PER_S)
