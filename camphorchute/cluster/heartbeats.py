"""Heartbeats on the links between members, which also spread what operators have written."""

import random
import time
from bisect import bisect_left
from collections.abc import Callable, Iterable

import gevent

from camphorchute.cluster.cluster_view import ClusterView
from camphorchute.cluster.configuration_fetch import ConfigurationFetch
from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import MemberBeat
from camphorchute.links import Link, Peers, handles
from camphorchute.loops import spawn_loop, until_next_tick_s
from camphorchute.observation_clock import observation_clock

__all__ = ["Heartbeats"]

HEARTBEAT_INTERVAL_MS = 250.0
LINK_CHECK_INTERVAL_MS = 100.0
LINK_UNRESPONSIVE_MS = 750.0
LINK_SILENT_MAX_MS = 1100.0  # the leases of the runs for a silent owner end soon after
CONNECT_INTERVAL_MS = 500.0
RING_DISTANCE_MAX = 2
EVACUATIONS_INTERVAL_MS = 500.0  # peers are to know of an evacuation within 1 s
LINK_UNUSED_MS = 10_000.0
PROOF_AGE_MAX_MS = 200.0  # runs whose owner has not been heard of for longer get shorter leases
MS_PER_S = 1000.0


class _SentState:
    """The last heartbeat that was sent to a member.

    Attributes:
        link: the link that it was sent on; another one to the member has not carried it.
        versions: versions of the queue configuration and of the evacuations that it carried.
        sent_s: monotonic time at which it was sent, in seconds.
    """

    __slots__ = ("link", "versions", "sent_s")

    def __init__(self, link: Link, versions: tuple[int, int], sent_s: float) -> None:
        self.link = link
        self.versions = versions
        self.sent_s = sent_s


class Heartbeats:
    """Sends heartbeats, connects to neighbours and closes unresponsive or unused links.

    The members form a ring in the order of their ids; neighbours are at most two places apart.
    Other links are opened on demand and closed when they have not been used for a while, so that
    the number of heartbeats does not grow with the square of the number of members.

    A heartbeat carries the version of the sender's queue configuration, so that a member with an
    older one can fetch it from the sender. It also carries what the sender knows of evacuated
    zones, for members that the store rejects. A member for which tasks are open here is asked to
    answer a heartbeat if nothing else has proved for a while that it is running.

    Args:
        peers: the links to other members.
        view: the cluster view, which lists the members and holds the queue configuration.
        configuration_fetch: receives the versions that other members have.
        count: adds to a named counter.

    Attributes:
        awaited_members: returns the ids of the members that have to be known to be running.
        on_reports_requested: called with a member that wants free-capacity reports, and for how
            long in milliseconds.
    """

    __slots__ = (
        "awaited_members",
        "on_reports_requested",
        "_peers",
        "_view",
        "_configuration_fetch",
        "_count",
        "_sent_states",
        "_greenlets",
    )

    def __init__(
        self,
        peers: Peers,
        view: ClusterView,
        configuration_fetch: ConfigurationFetch,
        count: Callable[..., None],
    ) -> None:
        self.awaited_members: Callable[[], set[str]] = set
        self.on_reports_requested: Callable[[Member, float], None] = lambda member, for_ms: None
        self._peers = peers
        self._view = view
        self._configuration_fetch = configuration_fetch
        self._count = count
        self._sent_states: dict[str, _SentState] = {}
        self._greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start to send heartbeats and to connect to neighbours."""
        self._greenlets = [
            spawn_loop("roster", self._check_links, self._count),
            spawn_loop("roster", self._connect_neighbours, self._count),
        ]

    def close(self) -> None:
        """Stop sending heartbeats and connecting to neighbours."""
        gevent.killall(self._greenlets, block=False)

    @handles(MemberBeat, nonblocking=True)
    def handle_heartbeat(self, peer: Member, message: MemberBeat) -> None:
        """Record which version of the queue configuration the sender has, and its evacuations."""
        self._view.zone_evacuations.apply_heartbeat(
            message.evacuations, message.evacuations_revision
        )
        self._configuration_fetch.offer(peer, message.queues_version)
        if message.reports_ms > 0:
            self.on_reports_requested(peer, message.reports_ms)
        if message.wants_answer:
            self._peers.send_if_linked(peer.member_id, self._make_heartbeat())

    def request_answer(self, member_id: str) -> None:
        """Ask a member for a heartbeat, which proves that it is running; do not wait for it.

        Args:
            member_id: id of the member.
        """
        self._count("roster.answer_requested")
        self._peers.send_if_linked(member_id, self._make_heartbeat(wants_answer=True))

    def open_link(self, member: Member) -> None:
        """Open a link to a member in the background if there is none.

        Args:
            member: the member.
        """
        self._peers.send_or_open(member, self._make_heartbeat())

    def request_reports(self, member: Member, for_ms: float) -> bool:
        """Ask a member for its free-capacity reports; return whether there is a link to it yet.

        Args:
            member: the member; a link to it is opened if there is none.
            for_ms: for how long, in milliseconds.
        """
        return self._peers.send_or_open(member, self._make_heartbeat(reports_ms=for_ms))

    def is_isolated(self) -> bool:
        """Return whether this process has links to fewer than half of its neighbours."""
        neighbours = self._ring_neighbours(RING_DISTANCE_MAX)
        linked = sum(self._peers.is_linked(member.member_id) for member in neighbours)
        return linked < len(neighbours) / 2

    def _queues_version(self) -> int:
        return self._view.queues.version if self._view.queues else 0

    def _make_heartbeat(self, wants_answer: bool = False, reports_ms: float = 0.0) -> MemberBeat:
        evacuations = self._view.zone_evacuations
        return MemberBeat(
            self._queues_version(),
            evacuations.states(),
            evacuations.complete_revision,
            wants_answer,
            reports_ms,
        )

    def _check_links(self) -> None:
        """Close unresponsive and unused links and send heartbeats on the others."""
        while True:
            now_s, observed_s = time.monotonic(), observation_clock.now_s()
            due_links: list[Link] = []
            awaited_ids = self.awaited_members()
            links = self._peers.links()
            if len(self._sent_states) > len(links):
                self._forget_closed_links(links)
            for link in links:
                if _is_unresponsive(link, now_s, observed_s):
                    self._count("roster.link_silent")
                    link.close()
                elif self._is_unused(link, now_s):
                    self._count("roster.link_unused")
                    link.close()
                elif (
                    link.peer.member_id in awaited_ids
                    and link.echoed_times.age_ms() > PROOF_AGE_MAX_MS
                ):
                    self.request_answer(link.peer.member_id)
                elif self._is_heartbeat_due(link, now_s):
                    due_links.append(link)
            self._peers.send_heartbeat(due_links, self._make_heartbeat())
            gevent.sleep(until_next_tick_s(LINK_CHECK_INTERVAL_MS))

    def _forget_closed_links(self, links: Iterable[Link]) -> None:
        """Forget what was sent on other links, since members that restart get new ids."""
        linked_ids = {link.peer.member_id for link in links}
        self._sent_states = {k: v for k, v in self._sent_states.items() if k in linked_ids}

    def _is_unused(self, link: Link, now_s: float) -> bool:
        """Return whether a link to a member other than a neighbour has not been used for long."""
        if (now_s - link.last_activity_s) * MS_PER_S <= LINK_UNUSED_MS:
            return False
        neighbours = self._ring_neighbours(RING_DISTANCE_MAX)
        return all(member.member_id != link.peer.member_id for member in neighbours)

    def _is_heartbeat_due(self, link: Link, now_s: float) -> bool:
        """Return whether a heartbeat is needed on a link, and record the state that it carries.

        It is not needed while other messages are sent often enough and the present state has been
        sent on this link. A state with evacuations is repeated all the same.
        """
        evacuations = self._view.zone_evacuations
        versions = (self._queues_version(), evacuations.version)
        sent = self._sent_states.get(link.peer.member_id)
        is_repeat_due = sent is not None and (
            bool(evacuations.states())
            and (now_s - sent.sent_s) * MS_PER_S >= EVACUATIONS_INTERVAL_MS
        )
        if (
            sent is not None
            and sent.link is link
            and sent.versions == versions
            and not is_repeat_due
            and (now_s - link.last_sent_s) * MS_PER_S < HEARTBEAT_INTERVAL_MS
        ):
            return False
        self._sent_states[link.peer.member_id] = _SentState(link, versions, now_s)
        return True

    def _ring_neighbours(self, distance_max: int) -> list[Member]:
        """Return the members up to a number of places before and after this one in the ring.

        Args:
            distance_max: the number of places on each side.
        """
        ring = self._view.member_ring()
        own_id = self._peers.member.member_id
        if own_id not in self._view.members:
            return ring[: 2 * distance_max]
        own_index = bisect_left(ring, own_id, key=lambda member: member.member_id)
        offsets = [offset for offset in range(-distance_max, distance_max + 1) if offset]
        indices = {(own_index + offset) % len(ring) for offset in offsets} - {own_index}
        return [ring[index] for index in sorted(indices)]

    def _connect_neighbours(self) -> None:
        """Connect to each neighbour without a link if its id is higher than that of this member."""
        while True:
            own_id = self._peers.member.member_id
            for member in self._ring_neighbours(RING_DISTANCE_MAX):
                if own_id < member.member_id and not self._peers.is_linked(member.member_id):
                    gevent.spawn(self._peers.send, member, self._make_heartbeat())
            gevent.sleep(random.uniform(0.5, 1.0) * CONNECT_INTERVAL_MS / MS_PER_S)


def _is_unresponsive(link: Link, now_s: float, observed_s: float) -> bool:
    """Return whether nothing was received on a link for too long.

    Time in which this process could not hear counts only once the leases of the tasks of a lost
    owner are about to end, as they are those of all runs of their workers.

    Args:
        link: the link.
        now_s: monotonic time in seconds.
        observed_s: time of the observation clock in seconds.
    """
    observed_ms = (observed_s - link.last_observed_s) * MS_PER_S
    silent_ms = (now_s - link.last_received_s) * MS_PER_S
    return observed_ms > LINK_UNRESPONSIVE_MS or silent_ms > LINK_SILENT_MAX_MS
