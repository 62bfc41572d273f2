import pytest

from camphorchute.contracts.messages import Demand, Grant, HandOff, Heartbeat, SlotCount
from camphorchute.jobs.tests.fakes import A, B, C, OwnerPart, settle, spec


@pytest.fixture
def part():
    part = OwnerPart()
    yield part
    part.owner.close()


def test_no_more_than_the_free_slots_is_handed_on_and_the_rest_is_asked_for(part):
    part.hear(B, free=2)
    part.submit("k", spec(5))
    assert part.handed() == [("b", 0), ("b", 1)]
    assert part.peers.sent_of(Demand)[-1] == ("b", Demand("flags", "default", 3))


@pytest.mark.parametrize("slots, handed, given_back", [(1, 1, 0), (2, 2, 0), (5, 2, 3)])
def test_a_grant_is_used_and_what_is_left_given_back(part, slots, handed, given_back):
    part.submit("k", spec(2))
    part.owner.granted(B, Grant("flags", "default", slots))
    settle()
    assert part.handed() == [("b", i) for i in range(handed)]
    assert sum(message.granted for _, message in part.peers.sent_of(HandOff)) == slots
    back = [m.granted for _, m in part.peers.sent_of(HandOff) if not m.tasks]
    assert sum(back) == given_back


def test_a_grant_for_nothing_is_given_back(part):
    part.owner.granted(B, Grant("flags", "default", 4))
    assert [m.granted for _, m in part.peers.sent_of(HandOff)] == [4]


def test_tasks_wait_again_where_the_link_is_down(part):
    part.peers.down = {"b"}
    part.dispatch.hear(B, Heartbeat(1, 1, slots=[SlotCount("flags", 8, 0, 8)]))
    part.peers.down = set()
    part.submit("k")
    part.dispatch.forget_home("b")
    part.peers.down = {"b"}
    before = part.handed()
    part.hear(C)
    assert sorted({i for _, i in part.handed()}) == [0, 1]
    assert part.handed()[: len(before)] == before


def test_a_send_that_fails_leaves_the_task_waiting(part):
    part.submit("k")
    part.peers.down = {"b"}
    part.hear(B)
    assert not part.hand_offs()
    part.peers.down = set()
    part.hear(C)
    assert part.handed() == [("c", 0), ("c", 1)]


@pytest.mark.parametrize("leave", ["leaving", "forgotten"])
def test_a_home_that_leaves_or_is_lost_is_handed_nothing(part, leave):
    part.hear(B)
    if leave == "leaving":
        part.dispatch.hear(B, Heartbeat(1, 1, leaving=True))
    else:
        part.dispatch.forget_home("b")
    part.submit("k")
    assert not part.hand_offs()
    part.hear(C)
    assert {to for to, _ in part.handed()} == {"c"}


def test_homes_on_other_hosts_come_before_the_own_one(part):
    part.hear(A)
    part.hear(B)
    part.submit("k")
    assert {to for to, _ in part.handed()} == {"b"}
    assert part.dispatch.waiting("flags") == 0


def test_hand_offs_carry_the_term_and_a_name_for_each_attempt(part):
    part.hear(B)
    part.submit("k", spec(3))
    message = part.hand_offs()[0][1]
    assert (message.term, message.owner_id, message.service) == (1, "a", "flags")
    assert len({task.attempt for task in message.tasks}) == 3


def test_a_heartbeat_without_counts_means_the_counts_last_told(part):
    part.dispatch.hear(B, Heartbeat(1, 1, slots=[SlotCount("flags", 6, 0, 8)]))
    part.submit("k", spec(2))
    assert len(part.handed()) == 2
    part.submit("l", spec(2))
    assert len(part.handed()) == 2
    part.dispatch.hear(B, Heartbeat(1, 1))
    assert len(part.handed()) == 4
