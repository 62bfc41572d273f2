import gevent
import msgspec
import pytest

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.services import Catalogue, Limits, Planner, ServiceDefinition, Worker
from camphorchute.services.record import HISTORY_MAX_ENTRIES, decode_record, service_key
from camphorchute.services.tests.fakes import FakeStore

KEY = service_key("flags")
NOW_S = 1_800_000_000.0


def make_definition(tasks=20_000):
    return ServiceDefinition("flags", limits=Limits(queue_max_tasks=tasks))


def make_planner(store, catalogue=None):
    return Planner(store, catalogue or Catalogue(), ["north"], clock=lambda: NOW_S)


def plan_and_confirm(planner, intent, operator="ada"):
    return planner.confirm(planner.make_plan("flags", intent, operator).id, operator)


def catch_refusal(call, *arguments):
    with pytest.raises(Refusal) as caught:
        call(*arguments)
    return caught.value


def read_stored_record(store):
    stored = store.values[KEY]
    return decode_record(KEY, stored.value, stored.mod_revision)


def inject_faults(store, faults):
    """Inject the listed faults, in order, into the next calls of each named kind."""
    store.fault = lambda call: faults[call].pop(0) if faults.get(call) else ""


def test_a_plan_takes_effect_only_when_it_is_confirmed():
    store = FakeStore()
    planner = make_planner(store)
    plan = planner.make_plan("flags", msgspec.to_builtins(make_definition(50)), "ada")
    assert KEY not in store.values
    assert make_planner(store).get_plan(plan.id) == plan
    answer = make_planner(store).confirm(plan.id, "ben")
    record = read_stored_record(store)
    assert (record.definition, record.plan_id, record.operator) == (
        make_definition(50),
        plan.id,
        "ben",
    )
    assert record.revision == answer.revision == store.revision
    assert record.confirmed_unix_ms == answer.confirmed_unix_ms == NOW_S * 1000
    assert not answer.repeated


def test_an_outdated_plan_is_refused_with_operator_time_and_changes():
    store = FakeStore()
    planner = make_planner(store)
    base = plan_and_confirm(planner, make_definition()).revision
    late_plan = planner.make_plan("flags", make_definition(), "cy")
    winner = plan_and_confirm(planner, make_definition(70), "ben")
    refusal = catch_refusal(planner.confirm, late_plan.id, "cy")
    assert refusal.code is ResultCode.PLAN_OUTDATED
    for part in (
        f"is based on revision {base} of flags, but revision {winner.revision} is in force",
        f"confirmed by ben at 2027-01-15T08:00:00Z ({winner.plan_id})",
        "limits.queue_max_tasks: 20000 -> 70",
    ):
        assert part in refusal.detail
    assert read_stored_record(store).plan_id == winner.plan_id


def test_an_outdated_plan_is_refused_even_if_its_definition_is_in_force():
    store = FakeStore()
    planner = make_planner(store)
    plan = planner.make_plan("flags", make_definition(50), "ada")
    plan_and_confirm(planner, make_definition(50), "ben")
    assert catch_refusal(planner.confirm, plan.id, "ada").code is ResultCode.PLAN_OUTDATED


@pytest.mark.parametrize("later_confirms", [0, 1, 30, HISTORY_MAX_ENTRIES])
def test_repeating_a_confirm_whose_answer_was_lost_returns_the_first_confirmation(later_confirms):
    store = FakeStore()
    planner = make_planner(store)
    plan = planner.make_plan("flags", make_definition(50), "ada")
    inject_faults(store, {"swap": ["lost"]})
    assert catch_refusal(planner.confirm, plan.id, "ada").code is ResultCode.CONFIRM_UNKNOWN
    revision = store.revision
    for tasks in range(later_confirms):
        plan_and_confirm(planner, make_definition(100 + tasks))
    writes = len(store.writes)
    answer = make_planner(store).confirm(plan.id, "ada")
    assert (answer.revision, answer.repeated) == (revision, True)
    assert len(store.writes) == writes


def test_a_confirm_dropped_from_the_history_is_reported_as_unknown():
    store = FakeStore()
    planner = make_planner(store)
    plan = planner.make_plan("flags", make_definition(50), "ada")
    planner.confirm(plan.id, "ada")
    for tasks in range(HISTORY_MAX_ENTRIES + 1):
        plan_and_confirm(planner, make_definition(100 + tasks))
    refusal = catch_refusal(planner.confirm, plan.id, "ada")
    assert refusal.code is ResultCode.PLAN_OUTDATED
    assert "whether this plan was confirmed is not known" in refusal.detail
    assert "was not confirmed" not in refusal.detail


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
def test_a_failed_confirm_reports_the_outcome_and_can_be_repeated(faults, code):
    store = FakeStore()
    planner = make_planner(store)
    plan = planner.make_plan("flags", make_definition(50), "ada")
    inject_faults(store, faults)
    assert catch_refusal(planner.confirm, plan.id, "ada").code is code
    if code is ResultCode.STORE_UNAVAILABLE:
        assert KEY not in store.values
    planner.confirm(plan.id, "ada")
    assert read_stored_record(store).plan_id == plan.id
    assert len([written for written in store.writes if written.key == KEY]) == 1


@pytest.mark.parametrize("faults", [{"get": ["down"]}, {"swap": ["down"]}])
def test_an_unknown_confirm_stays_unknown_while_the_store_is_down(faults):
    store = FakeStore()
    planner = make_planner(store)
    plan = planner.make_plan("flags", make_definition(50), "ada")
    inject_faults(store, {"swap": ["dropped"]})
    catch_refusal(planner.confirm, plan.id, "ada")
    inject_faults(store, faults)
    assert catch_refusal(planner.confirm, plan.id, "ada").code is ResultCode.CONFIRM_UNKNOWN


def test_plans_use_the_last_known_revision_while_the_store_is_down():
    store = FakeStore()
    catalogue = Catalogue()
    planner = make_planner(store, catalogue)
    plan_and_confirm(planner, make_definition())
    store.fault = lambda call: "down"
    assert (
        catch_refusal(planner.make_plan, "flags", make_definition(9), "ada").code
        is ResultCode.STORE_UNAVAILABLE
    )
    catalogue.apply_record(read_stored_record(store))
    catalogue.mark_current(age_ms=5000.0)
    plan = planner.make_plan("flags", make_definition(9), "ada")
    assert plan.from_outdated_base
    assert plan.base_age_ms >= 5000.0
    assert not plan.saved
    assert planner.get_plan(plan.id) == plan
    assert not planner.get_history("flags").from_store
    assert catch_refusal(planner.confirm, plan.id, "ada").code is ResultCode.STORE_UNAVAILABLE
    store.fault = lambda call: ""
    assert make_planner(store).get_history("flags").entries[0].plan_id != plan.id
    assert (
        catch_refusal(make_planner(store).confirm, plan.id, "ada").code is ResultCode.PLAN_UNKNOWN
    )
    assert planner.confirm(plan.id, "ada").plan_id == plan.id


def test_a_plan_made_on_an_outdated_base_during_an_outage_is_refused():
    store = FakeStore()
    catalogue = Catalogue()
    planner = make_planner(store, catalogue)
    plan_and_confirm(planner, make_definition())
    catalogue.apply_record(read_stored_record(store))
    catalogue.mark_current()
    plan_and_confirm(make_planner(store), make_definition(70), "ben")
    store.fault = lambda call: "down"
    plan = planner.make_plan("flags", make_definition(9), "ada")
    store.fault = lambda call: ""
    assert catch_refusal(planner.confirm, plan.id, "ada").code is ResultCode.PLAN_OUTDATED


def test_a_discarded_plan_is_not_restored_by_a_late_write():
    store = FakeStore()
    planner = make_planner(store)
    inject_faults(store, {"swap": ["late"]})
    plan = planner.make_plan("flags", make_definition(50), "ada")
    assert not plan.saved
    planner.discard(plan.id)
    saved = planner.make_plan("flags", make_definition(60), "ada")
    make_planner(store).discard(saved.id)
    gevent.sleep(0.01)
    assert store.calls["late_lost"] == 0
    for discarded_plan in (plan, saved):
        for call in (planner.get_plan, planner.discard):
            assert catch_refusal(call, discarded_plan.id).code is ResultCode.PLAN_UNKNOWN
        assert (
            catch_refusal(planner.confirm, discarded_plan.id, "ada").code is ResultCode.PLAN_UNKNOWN
        )


def test_a_confirmed_plan_cannot_be_discarded():
    planner = make_planner(FakeStore())
    answer = plan_and_confirm(planner, make_definition(50))
    assert catch_refusal(planner.discard, answer.plan_id).code is ResultCode.PLAN_OUTDATED


def test_undo_makes_a_new_plan_that_restores_a_former_revision():
    store = FakeStore()
    planner = make_planner(store)
    first = plan_and_confirm(planner, make_definition(50)).revision
    removed = plan_and_confirm(planner, None)
    plan = planner.make_undo_plan("flags", first, "ben")
    assert (plan.undo_revision, plan.base_revision) == (first, removed.revision)
    planner.confirm(plan.id, "ben")
    assert read_stored_record(store).definition == make_definition(50)
    states = [(entry.revision, entry.definition) for entry in planner.get_history("flags").entries]
    assert states[1:] == [(removed.revision, None), (first, make_definition(50))]
    unknown = catch_refusal(planner.make_undo_plan, "flags", 999, "ben")
    assert unknown.code is ResultCode.PLAN_INVALID
    assert str(first) in unknown.detail


def test_plan_change_modifies_the_definition_in_the_store():
    store, catalogue = FakeStore(), Catalogue()
    planner = make_planner(store, catalogue)
    plan_and_confirm(planner, make_definition(50))
    catalogue.apply_record(read_stored_record(store))
    plan_and_confirm(make_planner(store), make_definition(70), "ben")

    def halve(base_definition):
        return make_definition(base_definition.limits.queue_max_tasks // 2)

    planner.confirm(planner.make_change_plan("flags", halve, "cy").id, "cy")
    assert read_stored_record(store).definition == make_definition(35)
    assert (
        catch_refusal(planner.make_change_plan, "walks", halve, "cy").code
        is ResultCode.UNKNOWN_SERVICE
    )


@pytest.mark.parametrize(
    ("service", "intent", "operator", "code"),
    [
        ("flags", None, "ada", ResultCode.UNKNOWN_SERVICE),
        ("../flags", None, "ada", ResultCode.PLAN_INVALID),
        ("flags", make_definition(), "", ResultCode.PLAN_INVALID),
        ("flags", make_definition(), "a\nb", ResultCode.PLAN_INVALID),
        ("walks", make_definition(), "ada", ResultCode.PLAN_INVALID),
        ("flags", {"name": "flags", "x": 1}, "ada", ResultCode.PLAN_INVALID),
        (
            "flags",
            ServiceDefinition("flags", [Worker("w1", "127.0.2.1:1", "west")]),
            "ada",
            ResultCode.PLAN_INVALID,
        ),
    ],
)
def test_an_invalid_plan_is_refused_and_writes_nothing(service, intent, operator, code):
    store = FakeStore()
    assert catch_refusal(make_planner(store).make_plan, service, intent, operator).code is code
    assert store.writes == []
