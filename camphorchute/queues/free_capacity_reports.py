"""Tells the free room of this process's groups to the members that follow them."""

from collections.abc import Callable

import gevent
from gevent.event import Event

from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import RoomReport
from camphorchute.links import Peers
from camphorchute.loops import spawn_loop
from camphorchute.roster import SharedView, followers_of
from camphorchute.runs import GroupHome

__all__ = ["RoomReports"]

REPORT_MIN_MS = 20.0
REPORT_LINK_MS = 3.0
REPORT_MAX_MS = 500.0
MS_PER_S = 1000.0


class RoomReports:
    """Reports the free room soon after it has changed, and at intervals.

    The pause between two reports grows with the number of followers, so that the reports of a
    process stay within a fixed number of messages a second.

    Args:
        home: knows the free room.
        peers: the links.
        view: knows the members and the groups.
        count: adds to a named counter.
    """

    __slots__ = ("_home", "_peers", "_view", "_count", "_changed", "_told", "_greenlet")

    def __init__(
        self, home: GroupHome, peers: Peers, view: SharedView, count: Callable[..., None]
    ) -> None:
        self._home = home
        self._peers = peers
        self._view = view
        self._count = count
        self._changed = Event()
        self._told: dict[str, Member] = {}
        self._greenlet: gevent.Greenlet | None = None
        home.changed = self._changed.set

    def start(self) -> None:
        """Report from now on."""
        self._greenlet = spawn_loop("queues", self._follow, self._count)

    def close(self) -> None:
        """Stop reporting."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def _follow(self) -> None:
        while True:
            self._changed.wait(REPORT_MAX_MS / MS_PER_S)
            self._changed.clear()
            told = self._report()
            gevent.sleep(max(REPORT_MIN_MS, REPORT_LINK_MS * told) / MS_PER_S)

    def _report(self) -> int:
        """Report once; return how many members were told.

        Members that followed a group until now are told once more, so that they see it go.
        """
        followers = self._followers()
        told = {**self._told, **followers}
        self._told = followers
        if told:
            self._peers.send_each(list(told.values()), RoomReport(self._home.room()))
        return len(told)

    def _followers(self) -> dict[str, Member]:
        """Return this process and the members that follow a group of its own.

        A member whose registration is gone but whose link is open goes on serving, for example
        while the store turns it away, and goes on being told.
        """
        own = self._home.groups()
        if not own:
            return {}
        members = self._view.members
        names = self._view.group_names()
        found = {self._peers.member.member_id: self._peers.member}
        for group in own:
            for member in followers_of(group, members.values(), names):
                found[member.member_id] = member
        for member_id, member in self._told.items():
            if member_id not in members and self._peers.is_linked(member_id):
                found[member_id] = member
        return found
