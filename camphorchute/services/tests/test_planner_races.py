"""Concurrent changes by several operators, at several entry processes and with a failing store."""

import random

import gevent
import pytest

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.services import Catalogue, Planner, ServiceDefinition, record
from camphorchute.services.record import decode_record, service_key
from camphorchute.services.tests.fakes import FakeStore

KEY = service_key("flags")
RETRYABLE_CODES = (ResultCode.STORE_UNAVAILABLE, ResultCode.CONFIRM_UNKNOWN)
FAULTS = ["", "", "", "", "down", "lost", "late", "dropped"]


@pytest.fixture(autouse=True)
def short_history(monkeypatch):
    """Limit the former definitions: decoding them would take most of the time."""
    monkeypatch.setattr(record, "HISTORY_DEFINITIONS_MAX_BYTES", 4 * 1024)


def call_until_answered(rng, planners, name, *arguments):
    """Repeat a call at randomly chosen planners until the store gives a definite answer."""
    while True:
        try:
            return getattr(rng.choice(planners), name)(*arguments)
        except Refusal as refusal:
            if refusal.code not in RETRYABLE_CODES:
                raise
            gevent.sleep(rng.random() * 0.001)


def read_and_plan(rng, planners, label):
    """Return a plan that adds one quota to the definition read; None if unsaved or outdated."""
    history = call_until_answered(rng, planners, "get_history", "flags")
    base_entry = history.entries[0]
    quotas = {**base_entry.definition.quotas, label: 1}
    intent = ServiceDefinition("flags", quotas=quotas)
    plan = call_until_answered(rng, planners, "make_plan", "flags", intent, label.partition("-")[0])
    return plan if plan.saved and plan.base_revision == base_entry.revision else None


def confirm_changes(rng, planners, operator, changes, confirmed, outdated):
    for number in range(changes):
        label, is_confirmed = f"{operator}-{number}", False
        while not is_confirmed:
            plan = read_and_plan(rng, planners, label)
            if plan is None:
                continue
            try:
                answer = call_until_answered(rng, planners, "confirm", plan.id, operator)
            except Refusal as refusal:
                assert refusal.code is ResultCode.PLAN_OUTDATED
                assert "confirmed by" in refusal.detail
                outdated.append(plan.id)
            else:
                confirmed[label] = answer
                is_confirmed = True


@pytest.mark.parametrize("store_fails", [False, True])
@pytest.mark.parametrize(("operators", "changes"), [(2, 150), (3, 100), (5, 60), (8, 40)])
def test_concurrent_confirms_lose_and_revert_no_change(operators, changes, store_fails):
    seed = operators * 10 + store_fails
    rng = random.Random(seed)
    store = FakeStore(rng)
    planners = [Planner(store, Catalogue()) for _ in range(3)]
    first = planners[0].make_plan("flags", ServiceDefinition("flags"), "founder")
    planners[0].confirm(first.id, "founder")
    if store_fails:
        store.fault = lambda call: rng.choice(FAULTS)
    confirmed, outdated = {}, []
    names = [f"o{number}" for number in range(operators)]
    greenlets = [
        gevent.spawn(
            confirm_changes, random.Random(f"{seed} {n}"), planners, n, changes, confirmed, outdated
        )
        for n in names
    ]
    gevent.joinall(greenlets, raise_error=True, timeout=120)
    assert all(greenlet.ready() for greenlet in greenlets), f"seed {seed}: not done in time"
    gevent.sleep(0.05)

    writes = [written for written in store.writes if written.key == KEY]
    records = [decode_record(KEY, written.value, written.mod_revision) for written in writes]
    records_by_plan = {entry.plan_id: entry for entry in records}
    assert len(records_by_plan) == len(records) == operators * changes + 1
    assert records[-1].definition.quotas.keys() == confirmed.keys()
    for earlier, later in zip(records, records[1:], strict=False):
        added = later.definition.quotas.keys() - earlier.definition.quotas.keys()
        assert len(added) == 1
        assert earlier.definition.quotas.keys() < later.definition.quotas.keys()
    for label, answer in confirmed.items():
        found = records_by_plan[answer.plan_id]
        assert (found.revision, found.operator) == (answer.revision, label.partition("-")[0])
    assert not records_by_plan.keys() & set(outdated)
    assert outdated
