"""Subscriptions to the free-capacity reports of groups that this process does not follow."""

import time
from collections.abc import Callable, Collection

import xxhash

from camphorchute.cluster import ClusterView
from camphorchute.contracts.member import Member
from camphorchute.contracts.resources import Resources
from camphorchute.runs.group_names import zone_of_group

__all__ = ["ReportSubscriptions"]

ABLE_GROUPS_MIN = 4
SUBSCRIPTION_MS = 3000.0
RENEWAL_INTERVAL_MS = 1000.0
RETRY_INTERVAL_MS = 40.0
DEMANDS_MAX = 512
MS_PER_S = 1000.0


class ReportSubscriptions:
    """Requests reports for demands that few of the followed worker groups can hold.

    A process follows a limited number of groups, by a rule that does not know its jobs. For a
    demand that fewer than ``ABLE_GROUPS_MIN`` of them can hold, it subscribes to further groups
    that can, for as long as it has jobs with that demand.

    Args:
        member: this process.
        view: the cluster view, which lists all groups and their schedulers.
        is_zone_evacuated: returns whether no task may start in an availability zone.
        send: asks a member for its reports for some milliseconds; returns whether that was sent.
        count: adds to a named counter.
    """

    __slots__ = (
        "_member",
        "_view",
        "_is_zone_evacuated",
        "_send",
        "_count",
        "_requested_until_s",
        "_next_request_s",
    )

    def __init__(
        self,
        member: Member,
        view: ClusterView,
        is_zone_evacuated: Callable[[str], bool],
        send: Callable[[Member, float], bool],
        count: Callable[..., None],
    ) -> None:
        self._member = member
        self._view = view
        self._is_zone_evacuated = is_zone_evacuated
        self._send = send
        self._count = count
        self._requested_until_s: dict[str, float] = {}
        self._next_request_s: dict[tuple[str, Resources], float] = {}

    def request(self, service: str, demand: Resources, able_groups: Collection[str]) -> None:
        """Request the reports of further groups if too few have reported that can hold a demand.

        Args:
            service: name of the service.
            demand: resources of one task.
            able_groups: the groups that can hold the demand and have reported recently.
        """
        followed = sum(group not in self._requested_until_s for group in able_groups)
        now_s = time.monotonic()
        key = (service, demand)
        if followed >= ABLE_GROUPS_MIN or now_s < self._next_request_s.get(key, 0.0):
            return
        if len(self._next_request_s) >= DEMANDS_MAX:
            self._next_request_s.clear()
        were_sent = [self._subscribe(group, now_s) for group in self._find_groups(service, demand)]
        pause_ms = RENEWAL_INTERVAL_MS if all(were_sent) else RETRY_INTERVAL_MS
        self._next_request_s[key] = now_s + pause_ms / MS_PER_S

    def _find_groups(self, service: str, demand: Resources) -> list[str]:
        """Return the groups to subscribe to, the nearest first and the others spread by member."""
        followers = self._view.followers()
        able = [
            group
            for group in self._view.capacities.groups_for(service, demand)
            if not self._is_zone_evacuated(zone_of_group(group))
        ]
        others = [group for group in able if not followers.is_follower(self._member, group)]
        missing = max(0, ABLE_GROUPS_MIN - (len(able) - len(others)))
        return sorted(others, key=self._rank)[:missing]

    def _rank(self, group: str) -> tuple[bool, int]:
        name = f"{group} {self._member.member_id}"
        is_other_zone = zone_of_group(group) != self._member.zone
        return is_other_zone, xxhash.xxh32_intdigest(name.encode())

    def _subscribe(self, group: str, now_s: float) -> bool:
        """Request the reports of a group; return whether its scheduler was asked."""
        if len(self._requested_until_s) >= DEMANDS_MAX:
            until_s = self._requested_until_s.items()
            self._requested_until_s = {name: end_s for name, end_s in until_s if end_s > now_s}
        scheduler = self._view.scheduler_of(group)
        if scheduler is None or not self._send(scheduler, SUBSCRIPTION_MS):
            self._count("queues.retry.request_reports")
            return False
        self._requested_until_s[group] = now_s + SUBSCRIPTION_MS / MS_PER_S
        self._count("queues.reports_requested")
        return True
