import pytest

from camphorchute.jobs.placement import PLACEMENT_POLICIES, SchedulerSlots, place_tasks


def scheduler_slots(*free_slots):
    return [SchedulerSlots(f"h{i}", n, 8) for i, n in enumerate(free_slots)]


@pytest.mark.parametrize(
    "free, tasks, shares",
    [
        ((2, 6), 4, {"h1": 4}),
        ((2, 6), 20, {"h1": 6, "h0": 2}),
        ((0, -3), 5, {}),
        ((), 5, {}),
        ((3,), 0, {}),
    ],
)
def test_home_policy_places_no_more_tasks_than_free_slots(free, tasks, shares):
    assert place_tasks("home", scheduler_slots(*free), tasks) == shares


@pytest.mark.parametrize("policy", sorted(set(PLACEMENT_POLICIES) - {"home"}))
def test_other_policies_place_every_task_on_schedulers_with_slots(policy):
    schedulers = [*scheduler_slots(1, 5, 0), SchedulerSlots("none", 0, 0)]
    shares = place_tasks(policy, schedulers, 50)
    assert sum(shares.values()) == 50 and "none" not in shares
    assert place_tasks(policy, [], 5) == {}


def test_schedulers_beyond_reach_are_used_last():
    within_reach, beyond_reach = scheduler_slots(1, 8)
    beyond_reach.is_beyond_reach = True
    assert place_tasks("home", [within_reach, beyond_reach], 3) == {"h0": 1, "h1": 2}
