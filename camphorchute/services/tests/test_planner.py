import gevent
import msgspec
import pytest

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.services import Catalogue, Limits, Planner, ServiceDefinition, Worker
from camphorchute.services.record import HISTORY_MAX_ENTRIES, read_record, service_key
from camphorchute.services.tests.fakes import FakeStore

KEY = service_key("flags")
NOW_S = 1_800_000_000.0


def definition(tasks=20_000):
    return ServiceDefinition("flags", limits=Limits(queue_max_tasks=tasks))


def planner_of(store, catalogue=None):
    return Planner(store, catalogue or Catalogue(), ["north"], clock=lambda: NOW_S)


def confirmed(planner, intent, operator="ada"):
    return planner.confirm(planner.plan("flags", intent, operator).id, operator)


def refusal(call, *arguments):
    with pytest.raises(Refusal) as caught:
        call(*arguments)
    return caught.value


def in_force(store):
    stored = store.values[KEY]
    return read_record(KEY, stored.value, stored.mod_revision)


def fail(store, faults):
    """Let the next calls of the named kinds fail, once for each listed fault."""
    store.fault = lambda call: faults[call].pop(0) if faults.get(call) else ""


def test_nothing_takes_effect_before_the_confirm():
    store = FakeStore()
    planner = planner_of(store)
    plan = planner.plan("flags", msgspec.to_builtins(definition(50)), "ada")
    assert KEY not in store.values
    assert planner_of(store).show(plan.id) == plan
    answer = planner_of(store).confirm(plan.id, "ben")
    record = in_force(store)
    assert (record.definition, record.plan_id, record.operator) == (definition(50), plan.id, "ben")
    assert record.revision == answer.revision == store.revision
    assert record.confirmed_unix_ms == answer.confirmed_unix_ms == NOW_S * 1000
    assert not answer.repeated


def test_the_loser_is_told_by_whom_when_and_what():
    store = FakeStore()
    planner = planner_of(store)
    base = confirmed(planner, definition()).revision
    late = planner.plan("flags", definition(), "cy")
    won = confirmed(planner, definition(70), "ben")
    lost = refusal(planner.confirm, late.id, "cy")
    assert lost.code is ResultCode.PLAN_OUTDATED
    for part in (
        f"rests on revision {base} of flags, revision {won.revision} is in force",
        f"confirmed by ben at 2027-01-15T08:00:00Z ({won.plan_id})",
        "limits.queue_max_tasks: 20000 -> 70",
    ):
        assert part in lost.detail
    assert in_force(store).plan_id == won.plan_id


def test_a_plan_whose_base_moved_is_refused_even_if_it_would_apply():
    store = FakeStore()
    planner = planner_of(store)
    plan = planner.plan("flags", definition(50), "ada")
    confirmed(planner, definition(50), "ben")
    assert refusal(planner.confirm, plan.id, "ada").code is ResultCode.PLAN_OUTDATED


@pytest.mark.parametrize("later_confirms", [0, 1, 30, HISTORY_MAX_ENTRIES])
def test_a_confirm_whose_answer_was_lost_is_recognised(later_confirms):
    store = FakeStore()
    planner = planner_of(store)
    plan = planner.plan("flags", definition(50), "ada")
    fail(store, {"swap": ["lost"]})
    assert refusal(planner.confirm, plan.id, "ada").code is ResultCode.CONFIRM_UNKNOWN
    revision = store.revision
    for tasks in range(later_confirms):
        confirmed(planner, definition(100 + tasks))
    writes = len(store.log)
    answer = planner_of(store).confirm(plan.id, "ada")
    assert (answer.revision, answer.repeated) == (revision, True)
    assert len(store.log) == writes


def test_beyond_the_kept_history_it_says_that_it_is_not_known():
    store = FakeStore()
    planner = planner_of(store)
    plan = planner.plan("flags", definition(50), "ada")
    planner.confirm(plan.id, "ada")
    for tasks in range(HISTORY_MAX_ENTRIES + 1):
        confirmed(planner, definition(100 + tasks))
    told = refusal(planner.confirm, plan.id, "ada")
    assert told.code is ResultCode.PLAN_OUTDATED
    assert "whether this plan was confirmed is not known" in told.detail
    assert "was not confirmed" not in told.detail


@pytest.mark.parametrize(
    ("faults", "code"),
    [
        ({"get": ["down"]}, ResultCode.STORE_UNAVAILABLE),
        ({"get": ["", "down"]}, ResultCode.STORE_UNAVAILABLE),
        ({"swap": ["down"]}, ResultCode.STORE_UNAVAILABLE),
        ({"swap": ["dropped"]}, ResultCode.CONFIRM_UNKNOWN),
        ({"swap": ["lost"]}, ResultCode.CONFIRM_UNKNOWN),
    ],
)
def test_a_failed_confirm_tells_the_truth_and_can_be_repeated(faults, code):
    store = FakeStore()
    planner = planner_of(store)
    plan = planner.plan("flags", definition(50), "ada")
    fail(store, faults)
    assert refusal(planner.confirm, plan.id, "ada").code is code
    if code is ResultCode.STORE_UNAVAILABLE:
        assert KEY not in store.values
    planner.confirm(plan.id, "ada")
    assert in_force(store).plan_id == plan.id
    assert len([written for written in store.log if written.key == KEY]) == 1


@pytest.mark.parametrize("faults", [{"get": ["down"]}, {"swap": ["down"]}])
def test_an_unclear_confirm_stays_unclear_while_the_store_is_down(faults):
    store = FakeStore()
    planner = planner_of(store)
    plan = planner.plan("flags", definition(50), "ada")
    fail(store, {"swap": ["dropped"]})
    refusal(planner.confirm, plan.id, "ada")
    fail(store, faults)
    assert refusal(planner.confirm, plan.id, "ada").code is ResultCode.CONFIRM_UNKNOWN


def test_planning_goes_on_in_an_outage_from_the_last_known_revision():
    store = FakeStore()
    catalogue = Catalogue()
    planner = planner_of(store, catalogue)
    confirmed(planner, definition())
    store.fault = lambda call: "down"
    assert refusal(planner.plan, "flags", definition(9), "ada").code is ResultCode.STORE_UNAVAILABLE
    catalogue.apply(in_force(store))
    catalogue.heard(age_ms=5000.0)
    plan = planner.plan("flags", definition(9), "ada")
    assert plan.from_outdated_base
    assert plan.base_age_ms >= 5000.0
    assert not plan.saved
    assert planner.show(plan.id) == plan
    assert not planner.history("flags").from_store
    assert refusal(planner.confirm, plan.id, "ada").code is ResultCode.STORE_UNAVAILABLE
    store.fault = lambda call: ""
    assert planner_of(store).history("flags").entries[0].plan_id != plan.id
    assert refusal(planner_of(store).confirm, plan.id, "ada").code is ResultCode.PLAN_UNKNOWN
    assert planner.confirm(plan.id, "ada").plan_id == plan.id


def test_a_plan_of_an_outage_is_refused_when_its_base_moved_meanwhile():
    store = FakeStore()
    catalogue = Catalogue()
    planner = planner_of(store, catalogue)
    confirmed(planner, definition())
    catalogue.apply(in_force(store))
    catalogue.heard()
    confirmed(planner_of(store), definition(70), "ben")
    store.fault = lambda call: "down"
    plan = planner.plan("flags", definition(9), "ada")
    store.fault = lambda call: ""
    assert refusal(planner.confirm, plan.id, "ada").code is ResultCode.PLAN_OUTDATED


def test_a_discarded_plan_cannot_come_back():
    store = FakeStore()
    planner = planner_of(store)
    fail(store, {"swap": ["late"]})
    plan = planner.plan("flags", definition(50), "ada")
    assert not plan.saved
    planner.discard(plan.id)
    saved = planner.plan("flags", definition(60), "ada")
    planner_of(store).discard(saved.id)
    gevent.sleep(0.01)
    assert store.calls["late_lost"] == 0
    for gone in (plan, saved):
        for call in (planner.show, planner.discard):
            assert refusal(call, gone.id).code is ResultCode.PLAN_UNKNOWN
        assert refusal(planner.confirm, gone.id, "ada").code is ResultCode.PLAN_UNKNOWN


def test_a_confirmed_plan_is_not_discarded():
    planner = planner_of(FakeStore())
    answer = confirmed(planner, definition(50))
    assert refusal(planner.discard, answer.plan_id).code is ResultCode.PLAN_OUTDATED


def test_undo_is_a_new_plan_from_a_former_revision():
    store = FakeStore()
    planner = planner_of(store)
    first = confirmed(planner, definition(50)).revision
    removed = confirmed(planner, None)
    plan = planner.undo("flags", first, "ben")
    assert (plan.undo_revision, plan.base_revision) == (first, removed.revision)
    planner.confirm(plan.id, "ben")
    assert in_force(store).definition == definition(50)
    states = [(entry.revision, entry.definition) for entry in planner.history("flags").entries]
    assert states[1:] == [(removed.revision, None), (first, definition(50))]
    unknown = refusal(planner.undo, "flags", 999, "ben")
    assert unknown.code is ResultCode.PLAN_INVALID
    assert str(first) in unknown.detail


def test_a_change_is_made_on_the_base_of_its_plan():
    store, catalogue = FakeStore(), Catalogue()
    planner = planner_of(store, catalogue)
    confirmed(planner, definition(50))
    catalogue.apply(in_force(store))
    confirmed(planner_of(store), definition(70), "ben")

    def halve(found):
        return definition(found.limits.queue_max_tasks // 2)

    planner.confirm(planner.plan_change("flags", halve, "cy").id, "cy")
    assert in_force(store).definition == definition(35)
    assert refusal(planner.plan_change, "walks", halve, "cy").code is ResultCode.UNKNOWN_SERVICE


@pytest.mark.parametrize(
    ("service", "intent", "operator", "code"),
    [
        ("flags", None, "ada", ResultCode.UNKNOWN_SERVICE),
        ("../flags", None, "ada", ResultCode.PLAN_INVALID),
        ("flags", definition(), "", ResultCode.PLAN_INVALID),
        ("flags", definition(), "a\nb", ResultCode.PLAN_INVALID),
        ("walks", definition(), "ada", ResultCode.PLAN_INVALID),
        ("flags", {"name": "flags", "x": 1}, "ada", ResultCode.PLAN_INVALID),
        (
            "flags",
            ServiceDefinition("flags", [Worker("w1", "127.0.2.1:1", "west")]),
            "ada",
            ResultCode.PLAN_INVALID,
        ),
    ],
)
def test_what_cannot_be_planned(service, intent, operator, code):
    store = FakeStore()
    assert refusal(planner_of(store).plan, service, intent, operator).code is code
    assert store.log == []
