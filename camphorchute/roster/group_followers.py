"""Which worker groups' free room a process is told of."""

from collections.abc import Iterable

from camphorchute.contracts.member import Member
from camphorchute.runs.worker_groups import zone_of_group

__all__ = ["GROUPS_FOLLOWED", "followed_groups", "followers_of"]

GROUPS_FOLLOWED = 8
OWN_ZONE_SHARE = 0.5


def followed_groups(
    member: Member, members: Iterable[Member], groups: Iterable[str], most: int = GROUPS_FOLLOWED
) -> list[str]:
    """Return the groups that a member follows, in order.

    A small fleet's members follow every group. Otherwise half of the groups followed are in the
    member's own availability zone and the rest are spread over the other zones. Members that are
    next to each other in the order of their ids follow different groups, so that each group has
    about as many followers as any other of its zone.

    Args:
        member: the member.
        members: all members, the same at every process.
        groups: all groups.
        most: how many groups it follows at most.

    Examples:
        >>> north = [Member(str(n), "north", "", "", "", "") for n in range(4)]
        >>> groups = [f"{zone}/flags/{n}" for zone in ("north", "south") for n in range(4)]
        >>> followed_groups(north[0], north, groups, most=4)
        ['north/flags/0', 'north/flags/1', 'south/flags/0', 'south/flags/1']
        >>> followed_groups(north[1], north, groups, most=4)
        ['north/flags/2', 'north/flags/3', 'south/flags/2', 'south/flags/3']
        >>> len(followed_groups(north[0], north, groups))
        8
    """
    ordered = sorted(groups)
    if len(ordered) <= most:
        return ordered
    by_zone: dict[str, list[str]] = {}
    for group in ordered:
        by_zone.setdefault(zone_of_group(group), []).append(group)
    own = by_zone.pop(member.zone, [])
    if not by_zone:
        return _window(own, member, members, most)
    chosen = _window(own, member, members, round(most * OWN_ZONE_SHARE))
    each = max(1, (most - len(chosen)) // len(by_zone))
    for others in by_zone.values():
        chosen += _window(others, member, members, each)
    return sorted(chosen)


def followers_of(
    group: str, members: Iterable[Member], groups: Iterable[str], most: int = GROUPS_FOLLOWED
) -> list[Member]:
    """Return the members that follow a group.

    Examples:
        >>> north = [Member(str(n), "north", "", "", "", "") for n in range(4)]
        >>> groups = [f"{zone}/flags/{n}" for zone in ("north", "south") for n in range(4)]
        >>> [member.member_id for member in followers_of(groups[0], north, groups, most=4)]
        ['0', '2']
    """
    everyone, names = list(members), list(groups)
    return [
        member for member in everyone if group in followed_groups(member, everyone, names, most)
    ]


def _window(groups: list[str], member: Member, members: Iterable[Member], size: int) -> list[str]:
    """Return the groups of one zone that are a member's turn among the members of its own zone."""
    if len(groups) <= size:
        return groups
    ids = sorted({other.member_id for other in members if other.zone == member.zone})
    first = size * (ids.index(member.member_id) if member.member_id in ids else 0)
    return [groups[(first + number) % len(groups)] for number in range(size)]
