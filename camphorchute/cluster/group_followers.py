"""Assignment of worker groups to the members that receive their free-capacity reports."""

from collections.abc import Iterable
from math import ceil, gcd

from camphorchute.contracts.member import Member
from camphorchute.runs.group_names import zone_of_group

__all__ = ["FOLLOWED_GROUPS_MAX", "GroupFollowers"]

FOLLOWED_GROUPS_MAX = 8
OWN_ZONE_SHARE = 0.5


class GroupFollowers:
    """Which members follow which worker groups, for one set of members and groups.

    A member follows a group if it receives the group's free-capacity reports. If there are few
    groups, every member follows all of them. Otherwise half of the groups followed are in the
    member's own availability zone and the rest are spread over the other zones. Within a zone,
    members that are next to each other in the order of their ids follow the next groups of each
    zone, so that each group has about as many followers as any other of its zone. Where the
    members are too few for that, they follow more groups, so that every group has a follower.

    Building the table sorts members and groups once. A question costs as much as its answer is
    long, so it does not depend on how many members and groups there are.

    Args:
        members: all members, the same at every process.
        groups: names of all groups.
        max_groups: how many groups a member follows at most, except that it follows at least one
            of each zone, and that every group has a follower.

    Examples:
        >>> north = [Member(str(n), "north", "", "", "", "") for n in range(4)]
        >>> groups = [f"{zone}/flags/{n}" for zone in ("north", "south") for n in range(4)]
        >>> table = GroupFollowers(north, groups, max_groups=4)
        >>> table.followed_by(north[0])
        ['north/flags/0', 'north/flags/1', 'south/flags/0', 'south/flags/1']
        >>> table.followed_by(north[1])
        ['north/flags/2', 'north/flags/3', 'south/flags/2', 'south/flags/3']
        >>> [member.member_id for member in table.followers_of("north/flags/0")]
        ['0', '2']
    """

    __slots__ = (
        "_max_groups",
        "_group_total",
        "_groups_by_zone",
        "_members_by_zone",
        "_member_indices",
        "_group_indices",
    )

    def __init__(
        self,
        members: Iterable[Member],
        groups: Iterable[str],
        max_groups: int = FOLLOWED_GROUPS_MAX,
    ) -> None:
        self._max_groups = max_groups
        self._groups_by_zone: dict[str, list[str]] = {}
        self._members_by_zone: dict[str, list[Member]] = {}
        self._group_indices: dict[str, int] = {}
        self._member_indices: dict[str, int] = {}
        for group in sorted(set(groups)):
            zone_groups = self._groups_by_zone.setdefault(zone_of_group(group), [])
            self._group_indices[group] = len(zone_groups)
            zone_groups.append(group)
        for member in sorted(members, key=lambda member: member.member_id):
            zone_members = self._members_by_zone.setdefault(member.zone, [])
            self._member_indices[member.member_id] = len(zone_members)
            zone_members.append(member)
        self._group_total = len(self._group_indices)

    def followed_by(self, member: Member) -> list[str]:
        """Return the sorted names of the groups that a member follows.

        Args:
            member: the member; one that is not registered follows the groups of the first one.
        """
        first = self._member_indices.get(member.member_id, 0)
        followed: list[str] = []
        for zone, groups in self._groups_by_zone.items():
            size = self._groups_per_member(member.zone, zone)
            if size >= len(groups):
                followed += groups
            else:
                start = first * size
                followed += [groups[(start + offset) % len(groups)] for offset in range(size)]
        return sorted(followed)

    def followers_of(self, group: str) -> list[Member]:
        """Return the members that follow a group, none for an unknown group.

        Args:
            group: name of the group.
        """
        index = self._group_indices.get(group)
        if index is None:
            return []
        group_zone = zone_of_group(group)
        group_count = len(self._groups_by_zone[group_zone])
        followers: list[Member] = []
        for zone, members in self._members_by_zone.items():
            size = self._groups_per_member(zone, group_zone)
            if size >= group_count:
                followers += members
            else:
                indices = _indices_following(index, group_count, size, len(members))
                followers += [members[i] for i in indices]
        return followers

    def is_follower(self, member: Member, group: str) -> bool:
        """Return whether a member follows a group.

        Args:
            member: the member; one that is not registered follows no group.
            group: name of the group.
        """
        index = self._group_indices.get(group)
        if index is None or member.member_id not in self._member_indices:
            return False
        group_zone = zone_of_group(group)
        group_count = len(self._groups_by_zone[group_zone])
        size = self._groups_per_member(member.zone, group_zone)
        first = self._member_indices[member.member_id] * size
        return size >= group_count or (index - first) % group_count < size

    def _groups_per_member(self, member_zone: str, group_zone: str) -> int:
        """Return how many groups of a zone a member of a zone follows; more than there are: all."""
        if self._group_total <= self._max_groups:
            return self._group_total
        size = self._preferred_groups(member_zone, group_zone)
        is_responsible = member_zone == group_zone or group_zone not in self._members_by_zone
        members = len(self._members_by_zone.get(member_zone, ()))
        if not is_responsible or not members:
            return size
        return max(size, ceil(len(self._groups_by_zone.get(group_zone, ())) / members))

    def _preferred_groups(self, member_zone: str, group_zone: str) -> int:
        """Return how many groups of a zone a member follows if the members are many."""
        other_zones = len(self._groups_by_zone) - (member_zone in self._groups_by_zone)
        if not other_zones:
            return self._max_groups
        own_size = round(self._max_groups * OWN_ZONE_SHARE)
        if member_zone == group_zone:
            return own_size
        own_groups = min(own_size, len(self._groups_by_zone.get(member_zone, ())))
        return max(1, (self._max_groups - own_groups) // other_zones)


def _indices_following(group_index: int, group_count: int, size: int, members: int) -> list[int]:
    """Return the sorted indices of the members that follow a group.

    Member ``i`` follows the groups ``i * size`` to ``i * size + size - 1``, modulo the number of
    groups, so each offset within them gives a linear congruence for ``i``.

    Args:
        group_index: index of the group among those of its zone.
        group_count: number of groups of that zone, more than ``size``.
        size: number of groups that each member follows.
        members: number of members.
    """
    divisor = gcd(size, group_count)
    period = group_count // divisor
    inverse = pow(size // divisor, -1, period)
    indices: list[int] = []
    for offset in range(size):
        steps, remainder = divmod(group_index - offset, divisor)
        if not remainder:
            indices += range(steps * inverse % period, members, period)
    return sorted(indices)
