import pytest

from camphorchute.jobs.placing import PLACING_POLICIES, HomeSlots, place


def homes(*free):
    return [HomeSlots(f"h{i}", n, 8) for i, n in enumerate(free)]


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
def test_home_policy_hands_on_no_more_than_is_free(free, tasks, shares):
    assert place("home", homes(*free), tasks) == shares


@pytest.mark.parametrize("policy", sorted(set(PLACING_POLICIES) - {"home"}))
def test_other_policies_place_every_task_on_homes_with_workers(policy):
    listed = [*homes(1, 5, 0), HomeSlots("none", 0, 0)]
    shares = place(policy, listed, 50)
    assert sum(shares.values()) == 50 and "none" not in shares
    assert place(policy, [], 5) == {}


def test_homes_beyond_reach_come_last():
    near, beyond = homes(1, 8)
    beyond.beyond_reach = True
    assert place("home", [near, beyond], 3) == {"h0": 1, "h1": 2}
