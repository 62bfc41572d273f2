from collections import Counter

import pytest

from camphorchute.cluster import GroupFollowers
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
        (["a"], 300, 22, 0),
    ],
)
def test_half_of_the_followed_groups_are_in_the_members_own_zone(
    zones, groups_per_zone, own_zone_count, other_zones_count
):
    members = make_members(zones, 14)
    table = GroupFollowers(members, make_groups(zones, groups_per_zone))
    for member in members:
        followed = table.followed_by(member)
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
    table = GroupFollowers(members, groups)
    followers = Counter(dict.fromkeys(groups, 0))
    for member in members:
        followers.update(table.followed_by(member))
    mean = followers.total() / len(groups)
    assert min(followers.values()) >= 0.6 * mean
    assert max(followers.values()) <= 1.4 * mean
    for group in groups[:3]:
        assert len(table.followers_of(group)) == followers[group]


# Workers stayed idle beside waiting jobs, as their group had no follower after the loss of others.
@pytest.mark.parametrize(
    ("members_by_zone", "groups_by_zone"),
    [
        ({"a": 1}, {"a": 20}),
        ({"a": 2, "b": 14}, {"a": 16, "b": 4}),
        ({"a": 1, "b": 1, "c": 1}, {"a": 8, "b": 8, "c": 8}),
        ({"a": 3}, {"a": 8, "b": 8}),
        ({"a": 2, "b": 5}, {"c": 30}),
    ],
    ids=["one member", "small zone", "one a zone", "lost zone", "workers elsewhere"],
)
def test_every_group_has_a_follower(members_by_zone, groups_by_zone):
    members = [m for zone, count in members_by_zone.items() for m in make_members([zone], count)]
    groups = [g for zone, count in groups_by_zone.items() for g in make_groups([zone], count)]
    table = GroupFollowers(members, groups)
    assert {group for member in members for group in table.followed_by(member)} == {*groups}
    for group in groups:
        expected = [member for member in members if group in table.followed_by(member)]
        assert sorted(table.followers_of(group), key=members.index) == expected


def test_unregistered_member_follows_groups():
    members, groups = make_members(["a", "b"], 10), make_groups(["a", "b"], 16)
    unregistered = Member("x", "a", "", "", "", "")
    assert len(GroupFollowers(members, groups).followed_by(unregistered)) == 8


@pytest.mark.parametrize(
    ("zones", "members_per_zone", "groups_per_zone"),
    [
        ([], 0, 0),
        (["a"], 0, 3),
        (["a"], 1, 1),
        (["a"], 1, 20),
        (["a"], 7, 16),
        (["a", "b"], 3, 8),
        (["a", "b"], 9, 6),
        (["a", "b", "c"], 14, 2),
        (["a", "b", "c", "d", "e"], 19, 16),
        (["a", "b", "c", "d", "e"], 60, 32),
    ],
)
def test_followers_of_a_group_are_the_members_that_follow_it(
    zones, members_per_zone, groups_per_zone
):
    members, groups = make_members(zones, members_per_zone), make_groups(zones, groups_per_zone)
    table = GroupFollowers(members, groups)
    for group in groups:
        expected = [member for member in members if group in table.followed_by(member)]
        assert sorted(m.member_id for m in table.followers_of(group)) == [
            member.member_id for member in expected
        ]
        assert [member for member in members if table.is_follower(member, group)] == expected


def test_unknown_group_has_no_followers():
    table = GroupFollowers(make_members(["a"], 3), make_groups(["a"], 3))
    assert table.followers_of("a/flags/9") == []
    assert not table.is_follower(make_members(["a"], 1)[0], "a/flags/9")


class CountedMember(Member, frozen=False):
    """A member that counts how often its zone is read."""

    reads = 0

    def __getattribute__(self, name):
        if name == "zone":
            CountedMember.reads += 1
        return super().__getattribute__(name)


@pytest.mark.parametrize("members_per_zone", [20, 200, 800])
def test_a_question_reads_no_more_members_than_it_returns(members_per_zone):
    """The table was computed for each member again, 109 ms a question with 300 members."""
    zones = ["a", "b", "c", "d", "e"]
    members = [
        CountedMember(f"{zone}{n:04}", zone, "", "", "", "")
        for zone in zones
        for n in range(members_per_zone)
    ]
    groups = make_groups(zones, members_per_zone // 2)
    table = GroupFollowers(members, groups)
    assert CountedMember.reads >= len(members)
    CountedMember.reads = 0
    for group in groups[:10]:
        followers = table.followers_of(group)
        table.is_follower(members[0], group)
        assert len(followers) <= 2 * len(members) * 8 / len(groups)
    assert CountedMember.reads <= 10
