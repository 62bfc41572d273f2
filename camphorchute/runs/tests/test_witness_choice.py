import itertools

import pytest

from camphorchute.contracts.member import Member
from camphorchute.runs import witness_choice
from camphorchute.runs.witness_choice import WitnessChoice, witness_key

ZONES = ("north", "south", "yard")
MEMBERS = [
    Member(f"{zone}{number}", zone, f"{zone}{number}", "", "", "")
    for zone in ZONES
    for number in range(3)
]
IDS = [member.member_id for member in MEMBERS]
KEYS = [witness_key("flags", f"{number:016x}") for number in range(64)]


def ids(members):
    return [member.member_id for member in members]


@pytest.fixture
def clock(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(witness_choice.time, "monotonic", lambda: now[0])
    return now


def test_witnesses_are_two_in_two_zones_without_scheduler_and_owner():
    for key, scheduler, owner in itertools.product(KEYS[:8], IDS, IDS):
        chosen = WitnessChoice(scheduler, lambda: MEMBERS).first(key, {owner})
        assert len({member.zone for member in chosen}) == 2
        assert not {scheduler, owner} & set(ids(chosen))


# Guards against a second start that no witness of the first is asked about.
def test_any_later_scheduler_asks_a_witness_after_the_loss_of_owner_and_scheduler():
    for key in sorted(set(KEYS)):
        for owner, scheduler in itertools.permutations(IDS, 2):
            informed = set(ids(WitnessChoice(scheduler, lambda: MEMBERS).first(key, {owner})))
            left = [member for member in MEMBERS if member.member_id not in (owner, scheduler)]
            for later_scheduler, later_owner in itertools.permutations(ids(left), 2):
                later = WitnessChoice(later_scheduler, lambda left=left: left)
                asked = {later_scheduler, *ids(later.first(key, {later_owner}))}
                assert informed & asked, (key, owner, scheduler, later_owner, later_scheduler)


@pytest.mark.parametrize(("after_s", "is_chosen"), [(1.0, False), (15.0, False), (17.0, True)])
def test_a_member_that_has_just_joined_ranks_last(clock, after_s, is_chosen):
    listed = [MEMBERS[:8]]
    choice = WitnessChoice("elsewhere", lambda: listed[0])
    key = next(key for key in KEYS if IDS[8] == _first_of(key))
    clock[0] += 10.0
    choice.first(key, ())
    listed[0] = MEMBERS
    choice.first(key, ())
    clock[0] += after_s
    assert (IDS[8] in ids(choice.first(key, ()))) is is_chosen


def test_a_silent_member_is_left_out_for_a_moment(clock):
    choice = WitnessChoice("elsewhere", lambda: MEMBERS)
    first, second = choice.first(KEYS[0], ())
    choice.mark_silent(first.member_id)
    assert first not in choice.first(KEYS[0], ())
    clock[0] += 0.5
    assert choice.first(KEYS[0], ()) == [first, second]


@pytest.mark.parametrize(("members", "expected"), [([], 0), (MEMBERS[:1], 1), (MEMBERS[:2], 2)])
def test_few_members_are_all_witnesses(members, expected):
    assert len(WitnessChoice("elsewhere", lambda: members).first(KEYS[0], ())) == expected


def test_the_witnesses_of_a_service_are_few():
    choice = WitnessChoice("elsewhere", lambda: MEMBERS)
    assert len(set(KEYS)) == witness_choice.KEYS_PER_SERVICE
    assert len({member for key in KEYS for member in ids(choice.first(key, ()))}) > 3


def _first_of(key):
    return WitnessChoice("elsewhere", lambda: MEMBERS).first(key, ())[0].member_id


def test_the_second_witness_is_in_another_zone_than_the_one_that_has_answered():
    choice = WitnessChoice("elsewhere", lambda: MEMBERS)
    for key, member in itertools.product(KEYS[:8], MEMBERS):
        following = choice.first(key, {member.member_id}, {member.zone})[0]
        assert following.zone != member.zone
