import pytest

from camphorchute.contracts import SHARDS_PER_ZONE, Refusal, ResultCode
from camphorchute.contracts.messages import Reach
from camphorchute.zones.record import Term, decode_record, with_recovered_shards
from camphorchute.zones.tests.fakes import member, record_of
from camphorchute.zones.view import ZoneView

A, B, C = member("a"), member("b"), member("c")
A2 = member("a2", "vm-a")


def view_of(*members):
    view = ZoneView(A)
    view.adopt(record_of(list(members)))
    return view


def test_only_a_newer_record_is_adopted_and_notifies_listeners():
    view, notified_versions = ZoneView(A), []
    view.change_listeners.append(lambda: notified_versions.append(view.record.version))
    first = record_of([A])
    second = record_of([A, B], first)
    assert view.adopt(second)
    assert not view.adopt(first) and not view.adopt(second)
    assert view.record == second and notified_versions == [2]


@pytest.mark.parametrize(
    "zone, shard, term, code",
    [
        ("north", 0, 2, None),
        ("north", 0, 9, None),
        ("north", 0, 1, ResultCode.STALE_TERM),
        ("south", 0, 9, ResultCode.NOT_OWNER),
        ("north", -1, 9, ResultCode.NOT_OWNER),
        ("north", SHARDS_PER_ZONE, 9, ResultCode.NOT_OWNER),
    ],
)
def test_superseded_terms_and_foreign_shards_are_refused(zone, shard, term, code):
    view = ZoneView(A)
    first = record_of([A])
    view.adopt(record_of([B], first))
    if code is None:
        view.check_term(zone, shard, term)
        return
    with pytest.raises(Refusal) as refusal:
        view.check_term(zone, shard, term)
    assert refusal.value.code is code
    if code is ResultCode.STALE_TERM:
        assert decode_record(refusal.value.record) == view.record


def test_a_newer_term_seen_in_a_message_supersedes_the_own_term():
    view = view_of(A)
    assert view.owned_term(5) == Term(1, "a", ())
    view.check_term("north", 5, 2)
    assert view.owned_term(5) is None and view.owned_term(6) is not None
    with pytest.raises(Refusal):
        view.check_term("north", 5, 1)


def test_a_shard_has_no_owned_term_before_it_is_recovered():
    view = view_of(B)
    taken_over = record_of([A], view.record)
    view.adopt(taken_over)
    assert view.owned_term(0) is None
    view.adopt(with_recovered_shards(taken_over, "a", {0: 0}))
    assert view.owned_term(0) == Term(2, "a", ()) and view.owned_term(1) is None


@pytest.mark.parametrize(
    "members, reach, schedulers",
    [
        ([A], Reach.ANY, [A]),
        ([A, A2], Reach.OTHER_PROCESSES, [A2]),
        ([A, A2, B], Reach.OTHER_HOSTS, [B]),
        ([A, B, C], Reach.OTHER_HOSTS, [B, C]),
    ],
)
def test_reach_is_other_vms_or_else_other_processes_or_else_any(members, reach, schedulers):
    view = view_of(*members)
    assert view.reach() is reach
    assert view.schedulers_within(reach) == schedulers
