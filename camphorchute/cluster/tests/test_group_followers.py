from collections import Counter

import pytest

from camphorchute.cluster import followed_groups, followers_of
from camphorchute.contracts.member import Member


def make_members(zones, members_per_zone):
    return [
        Member(f"{zone}{number:02}", zone, "", "", "", "")
        for zone in zones
        for number in range(members_per_zone)
    ]


def make_groups(zones, groups_per_zone):
    return [f"{zone}/flags/{number}" for zone in zones for number in range(groups_per_zone)]


@pytest.mark.parametrize(
    ("zones", "groups_per_zone", "own_zone_count", "other_zones_count"),
    [
        (["a", "b", "c"], 1, 1, 2),
        (["a", "b", "c"], 2, 2, 4),
        (["a", "b", "c"], 8, 4, 4),
        (["a", "b", "c", "d", "e"], 4, 4, 4),
        (["a"], 16, 8, 0),
        (["a"], 300, 8, 0),
    ],
)
def test_half_of_the_followed_groups_are_in_the_members_own_zone(
    zones, groups_per_zone, own_zone_count, other_zones_count
):
    members = make_members(zones, 14)
    for member in members:
        followed = followed_groups(member, members, make_groups(zones, groups_per_zone))
        own_zone_groups = [group for group in followed if group.startswith(f"{member.zone}/")]
        assert (len(own_zone_groups), len(followed) - len(own_zone_groups)) == (
            own_zone_count,
            other_zones_count,
        )


@pytest.mark.parametrize(
    ("members_per_zone", "groups_per_zone"), [(14, 8), (15, 8), (12, 4), (40, 32)]
)
def test_followers_are_spread_evenly_over_groups(members_per_zone, groups_per_zone):
    zones = ["a", "b", "c"]
    members, groups = make_members(zones, members_per_zone), make_groups(zones, groups_per_zone)
    followers = Counter(dict.fromkeys(groups, 0))
    for member in members:
        followers.update(followed_groups(member, members, groups))
    mean = followers.total() / len(groups)
    assert min(followers.values()) >= 0.6 * mean
    assert max(followers.values()) <= 1.4 * mean
    for group in groups[:3]:
        assert len(followers_of(group, members, groups)) == followers[group]


def test_unregistered_member_follows_groups():
    members, groups = make_members(["a", "b"], 10), make_groups(["a", "b"], 16)
    unregistered = Member("x", "a", "", "", "", "")
    assert len(followed_groups(unregistered, members, groups)) == 8
