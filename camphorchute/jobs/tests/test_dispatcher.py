import pytest

from camphorchute.contracts.messages import Demand, Grant, HandOff, Heartbeat, SlotCount
from camphorchute.jobs.tests.fakes import A, B, C, OwnerHarness, make_spec, run_greenlets


@pytest.fixture
def harness():
    harness = OwnerHarness()
    yield harness
    harness.owner.close()


def test_tasks_beyond_the_free_slots_are_demanded_instead_of_dispatched(harness):
    harness.report_free_slots(B, free_slots=2)
    harness.submit("k", make_spec(5))
    assert harness.dispatched_tasks() == [("b", 0), ("b", 1)]
    assert harness.peers.sent_of(Demand)[-1] == ("b", Demand("flags", "default", 3))


@pytest.mark.parametrize(
    "slots, dispatched_count, returned_slots", [(1, 1, 0), (2, 2, 0), (5, 2, 3)]
)
def test_a_grant_is_used_and_its_unused_slots_are_returned(
    harness, slots, dispatched_count, returned_slots
):
    harness.submit("k", make_spec(2))
    harness.owner.receive_grant(B, Grant("flags", "default", slots))
    run_greenlets()
    assert harness.dispatched_tasks() == [("b", i) for i in range(dispatched_count)]
    assert sum(message.granted for _, message in harness.peers.sent_of(HandOff)) == slots
    unused_grants = [m.granted for _, m in harness.peers.sent_of(HandOff) if not m.tasks]
    assert sum(unused_grants) == returned_slots


def test_a_grant_without_pending_tasks_is_returned(harness):
    harness.owner.receive_grant(B, Grant("flags", "default", 4))
    assert [m.granted for _, m in harness.peers.sent_of(HandOff)] == [4]


def test_every_task_is_dispatched_although_a_link_goes_down(harness):
    harness.peers.unreachable = {"b"}
    harness.dispatcher.receive_heartbeat(B, Heartbeat(1, 1, slots=[SlotCount("flags", 8, 0, 8)]))
    harness.peers.unreachable = set()
    harness.submit("k")
    harness.dispatcher.remove_scheduler("b")
    harness.peers.unreachable = {"b"}
    dispatched_before = harness.dispatched_tasks()
    harness.report_free_slots(C)
    assert sorted({i for _, i in harness.dispatched_tasks()}) == [0, 1]
    assert harness.dispatched_tasks()[: len(dispatched_before)] == dispatched_before


def test_tasks_stay_pending_when_sending_fails(harness):
    harness.submit("k")
    harness.peers.unreachable = {"b"}
    harness.report_free_slots(B)
    assert not harness.dispatch_messages()
    harness.peers.unreachable = set()
    harness.report_free_slots(C)
    assert harness.dispatched_tasks() == [("c", 0), ("c", 1)]


@pytest.mark.parametrize("departure", ["leaving", "lost"])
def test_nothing_is_dispatched_to_a_scheduler_that_leaves_or_is_lost(harness, departure):
    harness.report_free_slots(B)
    if departure == "leaving":
        harness.dispatcher.receive_heartbeat(B, Heartbeat(1, 1, leaving=True))
    else:
        harness.dispatcher.remove_scheduler("b")
    harness.submit("k")
    assert not harness.dispatch_messages()
    harness.report_free_slots(C)
    assert {to for to, _ in harness.dispatched_tasks()} == {"c"}


def test_schedulers_on_other_hosts_are_preferred_to_the_own_process(harness):
    harness.report_free_slots(A)
    harness.report_free_slots(B)
    harness.submit("k")
    assert {to for to, _ in harness.dispatched_tasks()} == {"b"}
    assert harness.dispatcher.pending_task_count("flags") == 0


def test_a_dispatch_carries_the_term_and_a_distinct_id_for_each_attempt(harness):
    harness.report_free_slots(B)
    harness.submit("k", make_spec(3))
    message = harness.dispatch_messages()[0][1]
    assert (message.term, message.owner_id, message.service) == (1, "a", "flags")
    assert len({task.attempt for task in message.tasks}) == 3


def test_a_heartbeat_without_slot_counts_repeats_the_last_reported_ones(harness):
    harness.dispatcher.receive_heartbeat(B, Heartbeat(1, 1, slots=[SlotCount("flags", 6, 0, 8)]))
    harness.submit("k", make_spec(2))
    assert len(harness.dispatched_tasks()) == 2
    harness.submit("l", make_spec(2))
    assert len(harness.dispatched_tasks()) == 2
    harness.dispatcher.receive_heartbeat(B, Heartbeat(1, 1))
    assert len(harness.dispatched_tasks()) == 4
