"""Tasks that slow each other down are kept apart, and no others."""

import random
from types import SimpleNamespace

import pytest

from bench.patterns import PATTERNS, Model, ModelWorker
from bench.patterns.sharing import WorkerSharing
from camphorchute.policies import DecisionPolicies

WITH_EFFECT, WITHOUT_EFFECT = "pair that interferes", "pair without interference"
PAIRS = {("cancels", "bookings"), ("checks", "bookings")}
PLAY_S = 40.0


def play(pattern, seed, policy):
    model = Model(DecisionPolicies(interference=policy), seed)
    PATTERNS[pattern](model)
    return model, model.play(PLAY_S)


@pytest.mark.parametrize("seed", range(1, 6))
def test_pair_with_an_effect_is_found_and_fewer_jobs_are_late(seed):
    (model, learned), (_, off) = (play(WITH_EFFECT, seed, name) for name in ("learned", "off"))
    assert {(change.kind, change.neighbour) for change in model.sharing.changes} == PAIRS
    assert model.sharing.kept_apart > 0
    assert learned.in_time_share() > off.in_time_share()
    assert learned.served_share() >= off.served_share() - 0.01


@pytest.mark.parametrize("pattern", [name for name in PATTERNS if name != WITH_EFFECT])
@pytest.mark.parametrize("seed", [1, 2])
def test_load_without_an_effect_is_served_as_with_the_policy_off(pattern, seed):
    """Slow, hanging and failing workers and wrong estimates were not to count as interference."""
    (model, learned), (_, off) = (play(pattern, seed, name) for name in ("learned", "off"))
    assert model.sharing.changes == []
    assert (learned.in_time, learned.late, learned.core_s) == (off.in_time, off.late, off.core_s)


class Task:
    def __init__(self, kind):
        self.message = SimpleNamespace(kind=kind)


def test_run_is_slowed_down_only_while_its_neighbour_runs():
    """The model's effect by itself: 20 ms alone, 100 ms at half speed, 30 ms alone."""
    worker = ModelWorker("a", 1.0, random.Random(1))
    now_s, events, ended = 0.0, [], {}

    def at(time_s, action):
        events.append((time_s, len(events), action))

    sharing = WorkerSharing(DecisionPolicies(), at, lambda: now_s)
    sharing.slowdowns["slow", "noisy"] = 2.0

    def start(kind):
        task = Task(kind)

        def end():
            ended[kind] = now_s
            del worker.runs[task]
            sharing.end_run(worker, task, None, 0.0, True)

        worker.runs[task] = now_s
        sharing.start_run(worker, task, 100.0, end)

    at(0.0, lambda: start("slow"))
    at(0.02, lambda: start("noisy"))
    while events:
        event = min(events)
        events.remove(event)
        now_s = event[0]
        event[-1]()
    assert ended == pytest.approx({"noisy": 0.12, "slow": 0.15})
