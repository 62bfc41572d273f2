import random

import pytest

from camphorchute.policies.run_times import RunTimes
from camphorchute.services.definition import Worker
from camphorchute.workers.placement import policy_by_name
from camphorchute.workers.slots import WorkerSlots


def make_slots(name, slots=8):
    worker = Worker(name=name, address="127.0.0.1:1", zone="north", slots=slots)
    return WorkerSlots(worker, random.Random(1))


@pytest.mark.parametrize(
    "policy, least, most", [("fastest", 95, 100), ("random", 30, 70), ("two_choices", 0, 0)]
)
def test_share_of_tasks_that_each_policy_places_on_the_faster_smaller_worker(policy, least, most):
    fast, slow = make_slots("fast", slots=2), make_slots("slow")
    times = RunTimes()
    for _ in range(20):
        for slots, run_ms in ((fast, 50.0), (slow, 150.0)):
            times.add_sample("flags", "check", run_ms, declared_ms=5000.0)
            slots.learn_speed(run_ms, times.estimate_ms("flags", "check", 5000.0))
    rng = random.Random(3)
    choose = policy_by_name(policy)
    chosen = [choose([slow, fast], 0.0, rng).name for _ in range(100)]
    assert least <= chosen.count("fast") <= most
    assert 50.0 < times.estimate_ms("flags", "check", 5000.0) < 500.0


@pytest.mark.parametrize("reported, slots", [(4, 4), (8, 8), (20, 8)])
def test_the_usable_slots_are_the_smaller_of_the_declared_and_the_reported(reported, slots):
    worker = make_slots("w")
    worker.apply_report(reported, running=0)
    assert worker.free_slots(0.0) == slots
