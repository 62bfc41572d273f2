"""Operators race each other, at several entry processes and with a store that fails."""

import random

import gevent
import pytest

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.services import Catalogue, Planner, ServiceDefinition, record
from camphorchute.services.record import read_record, service_key
from camphorchute.services.tests.fakes import FakeStore

KEY = service_key("flags")
TRY_AGAIN = (ResultCode.STORE_UNAVAILABLE, ResultCode.CONFIRM_UNKNOWN)
FAULTS = ["", "", "", "", "down", "lost", "late", "dropped"]


@pytest.fixture(autouse=True)
def short_history(monkeypatch):
    """Keep few former definitions, whose decoding would take most of the time."""
    monkeypatch.setattr(record, "HISTORY_DEFINITIONS_MAX_BYTES", 4 * 1024)


def persist(rng, planners, name, *arguments):
    """Repeat a call, each time at any entry process, until the store's answer is clear."""
    while True:
        try:
            return getattr(rng.choice(planners), name)(*arguments)
        except Refusal as refusal:
            if refusal.code not in TRY_AGAIN:
                raise
            gevent.sleep(rng.random() * 0.001)


def read_and_plan(rng, planners, label):
    """Return a plan that adds one quota to the definition that was read, or None."""
    history = persist(rng, planners, "history", "flags")
    read = history.entries[0]
    quotas = {**read.definition.quotas, label: 1}
    intent = ServiceDefinition("flags", quotas=quotas)
    plan = persist(rng, planners, "plan", "flags", intent, label.partition("-")[0])
    return plan if plan.saved and plan.base_revision == read.revision else None


def operate(rng, planners, operator, changes, confirmed, outdated):
    for number in range(changes):
        label, done = f"{operator}-{number}", False
        while not done:
            plan = read_and_plan(rng, planners, label)
            if plan is None:
                continue
            try:
                answer = persist(rng, planners, "confirm", plan.id, operator)
            except Refusal as refusal:
                assert refusal.code is ResultCode.PLAN_OUTDATED
                assert "confirmed by" in refusal.detail
                outdated.append(plan.id)
            else:
                confirmed[label] = answer
                done = True


@pytest.mark.parametrize("failing", [False, True])
@pytest.mark.parametrize(("operators", "changes"), [(2, 150), (3, 100), (5, 60), (8, 40)])
def test_every_confirmed_change_is_in_force_none_lost_none_reverted(operators, changes, failing):
    seed = operators * 10 + failing
    rng = random.Random(seed)
    store = FakeStore(rng)
    planners = [Planner(store, Catalogue()) for _ in range(3)]
    first = planners[0].plan("flags", ServiceDefinition("flags"), "founder")
    planners[0].confirm(first.id, "founder")
    if failing:
        store.fault = lambda call: rng.choice(FAULTS)
    confirmed, outdated = {}, []
    names = [f"o{number}" for number in range(operators)]
    greenlets = [
        gevent.spawn(
            operate, random.Random(f"{seed} {n}"), planners, n, changes, confirmed, outdated
        )
        for n in names
    ]
    gevent.joinall(greenlets, raise_error=True, timeout=120)
    assert all(greenlet.ready() for greenlet in greenlets), f"seed {seed}: not done in time"
    gevent.sleep(0.05)

    writes = [written for written in store.log if written.key == KEY]
    records = [read_record(KEY, written.value, written.mod_revision) for written in writes]
    by_plan = {entry.plan_id: entry for entry in records}
    assert len(by_plan) == len(records) == operators * changes + 1
    assert records[-1].definition.quotas.keys() == confirmed.keys()
    for earlier, later in zip(records, records[1:], strict=False):
        added = later.definition.quotas.keys() - earlier.definition.quotas.keys()
        assert len(added) == 1
        assert earlier.definition.quotas.keys() < later.definition.quotas.keys()
    for label, answer in confirmed.items():
        found = by_plan[answer.plan_id]
        assert (found.revision, found.operator) == (answer.revision, label.partition("-")[0])
    assert not by_plan.keys() & set(outdated)
    assert outdated
