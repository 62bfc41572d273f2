"""Starts of a lost scheduler that another one does not hear of from the witnesses it asks."""

import itertools

import gevent
import pytest

from camphorchute.contracts.member import Member
from camphorchute.contracts.start_messages import AnnouncedStart
from camphorchute.runs import start_announcements, start_witness, witness_choice
from camphorchute.runs.start_witness import StartWitness
from camphorchute.runs.tests.test_start_announcements import JOB_ID, MEMBERS, Fleet
from camphorchute.runs.tests.virtual_time import VirtualTime
from camphorchute.runs.witness_choice import WitnessChoice, witness_key

ZONES = ("east", "north", "south", "yard")
SITE = [
    Member(f"{zone}{number}", zone, f"{zone}{number}", "", "", "")
    for zone in ZONES
    for number in range(3)
]
KEYS = sorted({witness_key("flags", f"{number:016x}") for number in range(64)})


@pytest.fixture
def virtual_time():
    with VirtualTime() as clock:
        yield clock


class DelayedFleet(Fleet):
    """Members whose links are opened by the first message, or whose answers are late.

    Attributes:
        unlinked: pairs of members without a link, which the first message between them opens.
        answer_after_s: delays of the next answers of members in seconds, by member id.
        announce_after_s: delays of announcements in seconds, by sender and receiver.
    """

    def __init__(self):
        self.unlinked, self.answer_after_s, self.announce_after_s = set(), {}, {}
        super().__init__()

    def first_witnesses(self, scheduler_id, owner_id="owner"):
        choice = self.announcements[scheduler_id].choice
        return [row.member_id for row in choice.first(witness_key("flags", JOB_ID), {owner_id})]

    def _make_send(self, sender_id):
        send = super()._make_send(sender_id)

        def send_or_open(member, message):
            pair = (sender_id, member.member_id)
            if pair in self.unlinked:
                self.unlinked.discard(pair)
                return False
            if pair in self.announce_after_s:
                gevent.spawn_later(self.announce_after_s[pair], send, member, message)
                return True
            return send(member, message)

        return send_or_open

    def _make_answer(self, sender_id):
        answer = super()._make_answer(sender_id)

        def answer_late(member_id, message):
            delays_s = self.answer_after_s.get(sender_id)
            gevent.spawn_later(delays_s.pop(0) if delays_s else 0.0, answer, member_id, message)
            return True

        return answer_late


def start_elsewhere(fleet):
    """Start the task by a scheduler that is lost with its owner; return another scheduler."""
    assert fleet.announce("a", "w1") is None
    fleet.lost |= {"owner", "a"}
    return next(
        name
        for name in ("b", "c", "d", "e", "f")
        if name not in fleet.informed()
        and set(fleet.first_witnesses(name, "other_owner")) & fleet.informed()
    )


# Guards against a second start by a scheduler that has no links to the witnesses yet.
@pytest.mark.parametrize("linked", [8, 2, 1, 0])
def test_scheduler_without_links_hears_of_a_start(virtual_time, linked):
    fleet = DelayedFleet()
    scheduler_id = start_elsewhere(fleet)
    witnesses = fleet.first_witnesses(scheduler_id, "other_owner")
    others = [row.member_id for row in MEMBERS if row.member_id not in witnesses]
    unlinked = [] if linked == 8 else witnesses + others[linked:]
    fleet.unlinked |= {(scheduler_id, member_id) for member_id in unlinked}
    known = fleet.announce(scheduler_id, "w2", owner_id="other_owner")
    assert known is not None and known.worker_id == "w1"


# Guards against a second start that only slow witnesses object to.
@pytest.mark.parametrize(
    "delays_s",
    [[0.0], [0.02], [0.08], [0.2], [0.0, 0.2]],
    ids=lambda delays_s: "_".join(map(str, delays_s)),
)
def test_scheduler_hears_of_a_start_from_slow_witnesses(virtual_time, delays_s):
    fleet = DelayedFleet()
    scheduler_id = start_elsewhere(fleet)
    fleet.answer_after_s = {name: list(delays_s) for name in fleet.informed()}
    known = fleet.announce(scheduler_id, "w2", owner_id="other_owner")
    assert known is not None and known.worker_id == "w1"


# Guards against a task that two schedulers leave to each other.
@pytest.mark.parametrize("delay_s", [0.0, 0.005])
def test_one_of_two_schedulers_starts_a_task(monkeypatch, virtual_time, delay_s):
    monkeypatch.setattr(start_announcements.random, "uniform", lambda low, high: high)
    fleet = DelayedFleet()
    first, second = fleet.first_witnesses("a")
    other = next(
        name
        for name in ("b", "c", "d", "e", "f")
        if fleet.first_witnesses(name, "other_owner") == [first, second]
    )
    fleet.announce_after_s = {("a", second): delay_s, (other, first): delay_s}
    starts = (("a", "w1", "owner"), (other, "w2", "other_owner"))
    both = [
        gevent.spawn(fleet.announce, scheduler_id, worker_id, owner_id=owner_id)
        for scheduler_id, worker_id, owner_id in starts
    ]
    gevent.joinall(both)
    assert [greenlet.value is None for greenlet in both].count(True) == 1


# Guards against a second start by a process that was started with the members it asks.
@pytest.mark.parametrize("restarted_zones", [(), ("yard",), ("south", "yard")], ids=len)
def test_schedulers_of_different_age_ask_a_common_witness(monkeypatch, restarted_zones):
    clock = [100.0]
    monkeypatch.setattr(witness_choice.time, "monotonic", lambda: clock[0])
    listed = [SITE]
    old_choices = {row.member_id: WitnessChoice(row.member_id, lambda: listed[0]) for row in SITE}
    for choice, key in itertools.product(old_choices.values(), KEYS):
        choice.first(key, ())
    clock[0] += 100.0
    new = [
        Member(f"{row.member_id}-2", row.zone, row.host, "", "", "")
        for row in SITE
        if row.zone in restarted_zones
    ]
    old = [row for row in SITE if row.zone not in restarted_zones]
    listed[0] = old + new
    for choice, key in itertools.product(old_choices.values(), KEYS):
        choice.first(key, ())
    clock[0] += 10.0
    scheduler, owner = (row.member_id for row in old[:2])
    left = listed[0][2:]
    for key in KEYS:
        informed = {row.member_id for row in old_choices[scheduler].first(key, {owner})}
        for later in left:
            choice = old_choices.get(later.member_id) if later in old else None
            if choice is None:
                clock[0] -= 10.0
                choice = WitnessChoice(later.member_id, lambda: listed[0])
                choice.first(key, ())
                clock[0] += 10.0
            lost = {scheduler, owner}
            asked = {row.member_id for row in choice.first(key, lost)} | {later.member_id}
            assert informed & asked, (key, later.member_id)


# Guards against a second start once members that have joined rank as the others.
@pytest.mark.parametrize("restarted_zones", [(), ("yard",), ("south", "yard")], ids=len)
def test_starts_from_before_new_members_rank_as_others_are_found_after(
    monkeypatch, restarted_zones
):
    clock = [100.0]
    monkeypatch.setattr(witness_choice.time, "monotonic", lambda: clock[0])
    listed = [SITE]
    choices = {row.member_id: WitnessChoice(row.member_id, lambda: listed[0]) for row in SITE}
    old = [row for row in SITE if row.zone not in restarted_zones]
    new = [
        Member(f"{row.member_id}-2", row.zone, row.host, "", "", "")
        for row in SITE
        if row.zone in restarted_zones
    ]

    def first(member_id, excluded_ids):
        return {
            key: {row.member_id for row in choices[member_id].first(key, excluded_ids)}
            for key in KEYS
        }

    for row in old:
        first(row.member_id, ())
    clock[0] += 100.0
    listed[0] = old + new
    for row in old:
        first(row.member_id, ())
    scheduler, owner, *others = (row.member_id for row in old)
    clock[0] += witness_choice.NEW_MEMBER_S - 0.1
    informed = first(scheduler, {owner})
    clock[0] += 0.2
    for later in others:
        asked = first(later, {scheduler, owner})
        for key in KEYS:
            assert informed[key] & (asked[key] | {later}), (key, later)


# Guards against a start that is forgotten while the table is full of starts that are over.
def test_starts_that_are_over_make_room_first(monkeypatch):
    monkeypatch.setattr(start_witness, "STARTS_MAX", 3)
    witness = StartWitness(lambda name, n=1: None)
    witness.announce("a", [AnnouncedStart("job.0.0.0", "w1", "g", 1, 5000.0)])
    for index in (1, 2, 3):
        witness.announce("a", [AnnouncedStart(f"job.0.0.{index}", "w1", "g", 1, 0.0)])
    known = witness.announce("b", [AnnouncedStart("job.0.0.0", "w2", "g", 1, 5000.0)])
    assert [row.worker_id for row in known] == ["w1"]


@pytest.mark.parametrize("duration_ms", [float("nan"), float("inf"), -1.0])
def test_a_malformed_duration_does_not_block_a_task_for_good(monkeypatch, duration_ms):
    clock = [100.0]
    monkeypatch.setattr(start_witness.time, "monotonic", lambda: clock[0])
    witness = StartWitness(lambda name, n=1: None)
    witness.announce("a", [AnnouncedStart("job.0.0.0", "w1", "g", 1, duration_ms)])
    clock[0] += 1000.0
    witness.announce("b", [AnnouncedStart("job.0.0.1", "w2", "g", 1, 5000.0)])
    assert len(witness) == 1
