from collections import Counter

import pytest

from camphorchute.contracts.member import Member
from camphorchute.roster import followed_groups, followers_of


def fleet(zones, processes):
    return [
        Member(f"{zone}{number:02}", zone, "", "", "", "")
        for zone in zones
        for number in range(processes)
    ]


def groups_of(zones, each):
    return [f"{zone}/flags/{number}" for zone in zones for number in range(each)]


@pytest.mark.parametrize(
    ("zones", "each", "own", "others"),
    [
        (["a", "b", "c"], 1, 1, 2),
        (["a", "b", "c"], 2, 2, 4),
        (["a", "b", "c"], 8, 4, 4),
        (["a", "b", "c", "d", "e"], 4, 4, 4),
        (["a"], 16, 8, 0),
        (["a"], 300, 8, 0),
    ],
)
def test_half_of_the_groups_followed_are_in_the_own_zone(zones, each, own, others):
    members = fleet(zones, 14)
    for member in members:
        followed = followed_groups(member, members, groups_of(zones, each))
        near = [group for group in followed if group.startswith(f"{member.zone}/")]
        assert (len(near), len(followed) - len(near)) == (own, others)


@pytest.mark.parametrize(("processes", "each"), [(14, 8), (15, 8), (12, 4), (40, 32)])
def test_groups_have_about_as_many_followers_as_each_other(processes, each):
    zones = ["a", "b", "c"]
    members, groups = fleet(zones, processes), groups_of(zones, each)
    followers = Counter(dict.fromkeys(groups, 0))
    for member in members:
        followers.update(followed_groups(member, members, groups))
    mean = followers.total() / len(groups)
    assert min(followers.values()) >= 0.6 * mean
    assert max(followers.values()) <= 1.4 * mean
    for group in groups[:3]:
        assert len(followers_of(group, members, groups)) == followers[group]


def test_member_that_is_not_registered_yet_follows_groups_too():
    members, groups = fleet(["a", "b"], 10), groups_of(["a", "b"], 16)
    stranger = Member("x", "a", "", "", "", "")
    assert len(followed_groups(stranger, members, groups)) == 8
