"""Sends free-capacity reports of this process's groups to the members that follow them."""

from collections.abc import Callable

import gevent
from gevent.event import Event

from camphorchute.cluster import ClusterView
from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import RoomReport
from camphorchute.links import Peers
from camphorchute.loops import spawn_loop
from camphorchute.runs import GroupScheduler

__all__ = ["FreeCapacityReports"]

REPORT_INTERVAL_MIN_MS = 20.0
REPORT_INTERVAL_PER_MEMBER_MS = 3.0
REPORT_INTERVAL_MAX_MS = 500.0
MS_PER_S = 1000.0


class FreeCapacityReports:
    """Reports free capacity soon after it has changed, and at intervals without a change.

    The pause between two reports grows with the number of receivers, so that the reports of a
    process stay within a fixed number of messages per second.

    Args:
        scheduler: the scheduler of this process, which knows the free capacity of its groups.
        peers: the links to other members.
        view: the cluster view, which lists the members and the groups.
        count: adds to a named counter.
    """

    __slots__ = (
        "_scheduler",
        "_peers",
        "_view",
        "_count",
        "_changed",
        "_last_receivers",
        "_greenlet",
    )

    def __init__(
        self, scheduler: GroupScheduler, peers: Peers, view: ClusterView, count: Callable[..., None]
    ) -> None:
        self._scheduler = scheduler
        self._peers = peers
        self._view = view
        self._count = count
        self._changed = Event()
        self._last_receivers: dict[str, Member] = {}
        self._greenlet: gevent.Greenlet | None = None
        scheduler.on_capacity_changed = self._changed.set

    def start(self) -> None:
        """Start to report."""
        self._greenlet = spawn_loop("queues", self._report_changes, self._count)

    def close(self) -> None:
        """Stop reporting."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def _report_changes(self) -> None:
        """Report on every change, and at the latest after REPORT_INTERVAL_MAX_MS."""
        while True:
            self._changed.wait(REPORT_INTERVAL_MAX_MS / MS_PER_S)
            self._changed.clear()
            receiver_count = self._send_report()
            gevent.sleep(
                max(REPORT_INTERVAL_MIN_MS, REPORT_INTERVAL_PER_MEMBER_MS * receiver_count)
                / MS_PER_S
            )

    def _send_report(self) -> int:
        """Send one report; return the number of its receivers.

        Members that received the previous report get this one too, so that those that no longer
        follow a group learn which groups this process has released.
        """
        receivers_now = self._find_receivers()
        receivers = {**self._last_receivers, **receivers_now}
        self._last_receivers = receivers_now
        if receivers:
            self._peers.send_to_all(
                list(receivers.values()), RoomReport(self._scheduler.free_capacity_report())
            )
        return len(receivers)

    def _find_receivers(self) -> dict[str, Member]:
        """Return this process and the members that follow one of its groups, by member id.

        A member whose registration has disappeared but whose link is open continues to serve, for
        example while the store rejects it, and still receives reports.
        """
        own_groups = self._scheduler.groups()
        if not own_groups:
            return {}
        members, followers = self._view.members, self._view.followers()
        receivers_by_id = {self._peers.member.member_id: self._peers.member}
        for group in own_groups:
            for member in followers.followers_of(group):
                receivers_by_id[member.member_id] = member
        for member_id, member in self._last_receivers.items():
            if member_id not in members and self._peers.is_linked(member_id):
                receivers_by_id[member_id] = member
        return receivers_by_id
