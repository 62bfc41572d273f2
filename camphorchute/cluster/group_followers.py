"""Assignment of worker groups to the members that receive their free-capacity reports."""

from collections.abc import Iterable

from camphorchute.contracts.member import Member
from camphorchute.runs.group_names import zone_of_group

__all__ = ["FOLLOWED_GROUPS_MAX", "followed_groups", "followers_of"]

FOLLOWED_GROUPS_MAX = 8
OWN_ZONE_SHARE = 0.5


def followed_groups(
    member: Member,
    members: Iterable[Member],
    groups: Iterable[str],
    max_groups: int = FOLLOWED_GROUPS_MAX,
) -> list[str]:
    """Return the sorted names of the worker groups that a member follows.

    A member follows a group if it receives the group's free-capacity reports. If there are few
    groups, every member follows all of them. Otherwise half of the groups followed are in the
    member's own availability zone and the rest are spread over the other zones. Members that are
    next to each other in the order of their ids follow different groups, so that each group has
    about as many followers as any other of its zone.

    Args:
        member: the member.
        members: all members, the same at every process.
        groups: names of all groups.
        max_groups: how many groups a member follows at most, except that it follows at least one
            of each zone.

    Examples:
        >>> north = [Member(str(n), "north", "", "", "", "") for n in range(4)]
        >>> groups = [f"{zone}/flags/{n}" for zone in ("north", "south") for n in range(4)]
        >>> followed_groups(north[0], north, groups, max_groups=4)
        ['north/flags/0', 'north/flags/1', 'south/flags/0', 'south/flags/1']
        >>> followed_groups(north[1], north, groups, max_groups=4)
        ['north/flags/2', 'north/flags/3', 'south/flags/2', 'south/flags/3']
        >>> len(followed_groups(north[0], north, groups))
        8
    """
    sorted_groups = sorted(groups)
    if len(sorted_groups) <= max_groups:
        return sorted_groups
    by_zone: dict[str, list[str]] = {}
    for group in sorted_groups:
        by_zone.setdefault(zone_of_group(group), []).append(group)
    own_zone_groups = by_zone.pop(member.zone, [])
    if not by_zone:
        return _assigned_groups(own_zone_groups, member, members, max_groups)
    followed = _assigned_groups(
        own_zone_groups, member, members, round(max_groups * OWN_ZONE_SHARE)
    )
    groups_per_zone = max(1, (max_groups - len(followed)) // len(by_zone))
    for zone_groups in by_zone.values():
        followed += _assigned_groups(zone_groups, member, members, groups_per_zone)
    return sorted(followed)


def followers_of(
    group: str,
    members: Iterable[Member],
    groups: Iterable[str],
    max_groups: int = FOLLOWED_GROUPS_MAX,
) -> list[Member]:
    """Return the members that follow a group.

    Args:
        group: name of the group.
        members: all members.
        groups: names of all groups.
        max_groups: as for :func:`followed_groups`.

    Examples:
        >>> north = [Member(str(n), "north", "", "", "", "") for n in range(4)]
        >>> groups = [f"{zone}/flags/{n}" for zone in ("north", "south") for n in range(4)]
        >>> [member.member_id for member in followers_of(groups[0], north, groups, max_groups=4)]
        ['0', '2']
    """
    all_members, group_names = list(members), list(groups)
    return [
        member
        for member in all_members
        if group in followed_groups(member, all_members, group_names, max_groups)
    ]


def _assigned_groups(
    groups: list[str], member: Member, members: Iterable[Member], size: int
) -> list[str]:
    """Return the groups of one zone that are assigned to a member.

    Each member of the member's zone is assigned the next ``size`` groups, in the order of their
    ids; after the last group, the first one follows.

    Args:
        groups: the sorted names of the zone's groups.
        member: the member.
        members: all members.
        size: number of groups to assign.
    """
    if len(groups) <= size:
        return groups
    member_ids = sorted({other.member_id for other in members if other.zone == member.zone})
    first_index = size * (
        member_ids.index(member.member_id) if member.member_id in member_ids else 0
    )
    return [groups[(first_index + offset) % len(groups)] for offset in range(size)]
