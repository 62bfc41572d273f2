"""Sends free-capacity reports of this process's groups to the members that follow them."""

import time
from collections.abc import Callable

import gevent
from gevent.event import Event

from camphorchute.cluster import ClusterView
from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import GroupFreeCapacity, RoomReport
from camphorchute.links import Peers
from camphorchute.loops import spawn_loop, wait_for_event
from camphorchute.queues.capacity_changes import find_changes
from camphorchute.runs import GroupScheduler

__all__ = ["FreeCapacityReports"]

REPORT_INTERVAL_MIN_MS = 20.0
REPORT_INTERVAL_PER_MEMBER_MS = 3.0
REPORT_INTERVAL_MAX_MS = 500.0
MINOR_CHANGE_INTERVAL_MS = 150.0
COMPLETE_REPORT_AFTER_MS = 300.0  # a report of minor changes may follow 170 ms later
MINOR_CHANGE_SHARE = 0.3
SUBSCRIPTION_MAX_MS = 10_000.0
MS_PER_S = 1000.0


class _Summary:
    """What the receivers of a report about one group plan by.

    Args:
        group: the report about the group.
    """

    __slots__ = ("_usable_workers", "_free_millicores", "_capacity_millicores", "_waiting_core_ms")

    def __init__(self, group: GroupFreeCapacity) -> None:
        free = [worker.free.cpu_millicores for worker in group.workers]
        self._usable_workers = len(free)
        self._free_millicores = sum(free)
        self._capacity_millicores = group.capacity.cpu_millicores
        self._waiting_core_ms = sum(group.waiting_core_ms.values())

    def differs_from(self, other: "_Summary") -> bool:
        """Return whether a plan by one summary would be a poor one by the other."""
        free_change = abs(self._free_millicores - other._free_millicores)
        waiting_change = abs(self._waiting_core_ms - other._waiting_core_ms)
        return (
            self._usable_workers != other._usable_workers
            or self._capacity_millicores != other._capacity_millicores
            or free_change > MINOR_CHANGE_SHARE * self._free_millicores
            or waiting_change > MINOR_CHANGE_SHARE * self._waiting_core_ms
        )


class FreeCapacityReports:
    """Reports free capacity soon after it has changed, and at intervals without a change.

    The pause between two reports grows with the number of receivers, so that the reports of a
    process stay within a fixed number of messages per second. A change that hardly matters to a
    receiver waits longer: with plenty of capacity free, a few tasks more or less change no plan.

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
        "_subscribed_until_s",
        "_last_summaries",
        "_reported_s",
        "_last_report",
        "_last_number",
        "_complete_s",
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
        self._subscribed_until_s: dict[str, float] = {}
        self._last_summaries: dict[str, _Summary] = {}
        self._reported_s = 0.0
        self._last_report: list[GroupFreeCapacity] = []
        self._last_number = 0
        self._complete_s = 0.0
        self._greenlet: gevent.Greenlet | None = None
        scheduler.on_capacity_changed = self._changed.set

    def start(self) -> None:
        """Start to report."""
        self._greenlet = spawn_loop("queues", self._report_changes, self._count)

    def close(self) -> None:
        """Stop reporting."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def subscribe(self, peer: Member, for_ms: float) -> None:
        """Send reports to a member that needs them for a time; the last one at once.

        Args:
            peer: the member.
            for_ms: for how long, in milliseconds.
        """
        until_s = time.monotonic() + min(for_ms, SUBSCRIPTION_MAX_MS) / MS_PER_S
        self._subscribed_until_s[peer.member_id] = until_s
        if self._last_report and peer.member_id not in self._last_receivers:
            self._count("queues.report_subscribed")
            self._last_receivers[peer.member_id] = peer
            last = RoomReport(self._last_report, self._last_number)
            self._peers.send_if_linked(peer.member_id, last)

    def _report_changes(self) -> None:
        """Report on every change that matters.

        A complete report follows at the latest REPORT_INTERVAL_MAX_MS after the one before.
        """
        while True:
            complete_ms = (time.monotonic() - self._complete_s) * MS_PER_S
            remaining_ms = max(REPORT_INTERVAL_MIN_MS, REPORT_INTERVAL_MAX_MS - complete_ms)
            pause_s = min(REPORT_INTERVAL_MAX_MS, remaining_ms) / MS_PER_S
            has_changed = wait_for_event(self._changed, pause_s)
            self._changed.clear()
            report = self._scheduler.free_capacity_report()
            pause_ms = REPORT_INTERVAL_MIN_MS
            if not has_changed or self._is_due(report):
                pause_ms = max(pause_ms, REPORT_INTERVAL_PER_MEMBER_MS * self._send_report(report))
            elif not self._changed.is_set():
                gevent.spawn_later(self._remaining_ms() / MS_PER_S, self._changed.set)
            gevent.sleep(pause_ms / MS_PER_S)

    def _is_due(self, report: list[GroupFreeCapacity]) -> bool:
        """Return whether a report says something new, or the last one is old enough."""
        if self._remaining_ms() <= 0 or len(report) != len(self._last_summaries):
            return True
        return any(
            group.group not in self._last_summaries
            or self._last_summaries[group.group].differs_from(_Summary(group))
            for group in report
        )

    def _remaining_ms(self) -> float:
        """Return the time until a change is reported even if it hardly matters."""
        elapsed_ms = (time.monotonic() - self._reported_s) * MS_PER_S
        return MINOR_CHANGE_INTERVAL_MS - elapsed_ms

    def _send_report(self, report: list[GroupFreeCapacity]) -> int:
        """Send one report; return the number of its receivers.

        Members that received the previous report get this one too, so that those that no longer
        follow a group learn which groups this process has released.
        """
        receivers_now = self._find_receivers()
        receivers = {**self._last_receivers, **receivers_now}
        has_new_receiver = not receivers_now.keys() <= self._last_receivers.keys()
        self._last_receivers = receivers_now
        self._last_summaries = {group.group: _Summary(group) for group in report}
        self._reported_s = time.monotonic()
        if receivers:
            message = self._make_message(report, has_new_receiver)
            self._peers.send_to_all(list(receivers.values()), message)
        else:
            self._complete_s = self._reported_s
        return len(receivers)

    def _make_message(self, report: list[GroupFreeCapacity], is_complete: bool) -> RoomReport:
        """Return a report of what has changed since the last one, or a complete one if it is due.

        A receiver that missed a report waits for the next complete one, which follows within
        REPORT_INTERVAL_MAX_MS.

        Args:
            report: the free capacity of each group.
            is_complete: whether a receiver has no earlier report.
        """
        now_s = time.monotonic()
        changes = find_changes(self._last_report, report)
        is_complete |= (now_s - self._complete_s) * MS_PER_S >= COMPLETE_REPORT_AFTER_MS
        self._last_report = report
        self._last_number += 1
        if is_complete or not changes:
            self._complete_s = now_s
            return RoomReport(report, self._last_number)
        return RoomReport([], self._last_number, changes)

    def _find_receivers(self) -> dict[str, Member]:
        """Return this process and the members that need the reports of its groups, by member id.

        They follow one of the groups or have requested the reports. A member whose registration has
        disappeared but whose link is open continues to serve, for example while the store rejects
        it, and still receives reports.
        """
        own_groups = self._scheduler.groups()
        if not own_groups:
            return {}
        members, followers = self._view.members, self._view.followers()
        receivers_by_id = {self._peers.member.member_id: self._peers.member}
        for group in own_groups:
            for member in followers.followers_of(group):
                receivers_by_id[member.member_id] = member
        now_s = time.monotonic()
        for member_id, until_s in list(self._subscribed_until_s.items()):
            if until_s < now_s:
                del self._subscribed_until_s[member_id]
            elif member_id in members:
                receivers_by_id[member_id] = members[member_id]
        for member_id, member in self._last_receivers.items():
            if member_id not in members and self._peers.is_linked(member_id):
                receivers_by_id[member_id] = member
        return receivers_by_id
