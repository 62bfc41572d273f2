"""Connectivity: until when this process was certainly not cut off with its availability zone."""

import time

from camphorchute.cluster.cluster_view import ClusterView
from camphorchute.cluster.heartbeats import Heartbeats
from camphorchute.cluster.membership_lease import MembershipLease
from camphorchute.links import Peers

__all__ = ["Connectivity"]

REFRESH_INTERVAL_MS = 100.0
MS_PER_S = 1000.0
NEVER_S = float("-inf")


class Connectivity:
    """Knows until when this process has reached the store, or has heard a member of every zone.

    A process that reaches the store holds its claims, so whoever takes over work asks it. Without
    the store, it is on the same side of any cut as everybody else while it hears members of all
    zones. A zone without a known member is not heard, as one may start there meanwhile.

    Args:
        peers: the links to other members.
        view: the cluster view, which lists the members and knows the zones.
        lease: the lease of this process, which is valid while the store is reached.
        heartbeats: opens links to zones without one.
    """

    __slots__ = ("_peers", "_view", "_lease", "_heartbeats", "_connected_s", "_refreshed_s")

    def __init__(
        self, peers: Peers, view: ClusterView, lease: MembershipLease, heartbeats: Heartbeats
    ) -> None:
        self._peers = peers
        self._view = view
        self._lease = lease
        self._heartbeats = heartbeats
        self._connected_s = time.monotonic()
        self._refreshed_s = NEVER_S

    def connected_at_s(self) -> float:
        """Return the latest monotonic time at which this process was certainly not cut off.

        Without the store, a link is opened to a member of each zone that there is none to.
        """
        now_s = time.monotonic()
        if (now_s - self._refreshed_s) * MS_PER_S >= REFRESH_INTERVAL_MS:
            self._refreshed_s = now_s
            proofs_s = [self._connected_s, now_s - self._lease.since_renewal_s()]
            if not self._lease.is_valid(self._lease.lease_id):
                proofs_s.append(self._all_zones_heard_s(now_s))
            self._connected_s = max(proofs_s)
        return self._connected_s

    def _all_zones_heard_s(self, now_s: float) -> float:
        """Return when the zone was heard that has been silent for the longest time."""
        own_zone = self._peers.member.zone
        members = [member for member in self._view.members.values() if member.zone != own_zone]
        heard_s = {zone: NEVER_S for zone in self._view.expected_zones if zone != own_zone}
        for member in members:
            at_s = self._peers.running_at_s(member.member_id)
            heard_s[member.zone] = max(heard_s.get(member.zone, NEVER_S), at_s)
        for zone in [zone for zone, at_s in heard_s.items() if at_s == NEVER_S]:
            member = next((member for member in members if member.zone == zone), None)
            if member is not None:
                self._heartbeats.open_link(member)
        return min(heard_s.values(), default=now_s)
