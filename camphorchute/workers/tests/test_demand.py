from collections import Counter

import pytest

from camphorchute.workers.demand import DemandQueue

SHARES = {
    "equal": ({}, {"a": 50, "b": 50}, {"a": 20, "b": 20}),
    "three to one": ({"a": 3.0}, {"a": 50, "b": 50}, {"a": 30, "b": 10}),
    "tiny weight alone": ({"a": 1e-6}, {"a": 50}, {"a": 40}),
    "one team has few tasks": ({}, {"a": 50, "b": 5}, {"a": 35, "b": 5}),
}


@pytest.mark.parametrize("weights, pending, grants", SHARES.values(), ids=SHARES)
def test_grants_follow_the_weights_of_the_teams(weights, pending, grants):
    demand = DemandQueue(weights)
    for team, tasks in pending.items():
        demand.set_pending("owner", team, tasks)
    assert Counter(demand.take_next()[1] for _ in range(40)) == grants
    assert demand.pending_tasks == sum(pending.values()) - 40


def test_owners_of_a_team_are_served_first_come_first_served():
    demand = DemandQueue()
    demand.set_pending("first", "team", 2)
    demand.set_pending("second", "team", 1)
    demand.add_pending("first", "team", 1)
    assert [demand.take_next()[0] for _ in range(4)] == ["first", "first", "first", "second"]
    assert demand.take_next() is None


def test_a_dropped_owner_and_a_demand_of_zero_leave_no_pending_tasks():
    demand = DemandQueue()
    demand.set_pending("lost", "team", 3)
    demand.set_pending("done", "other", 3)
    demand.drop_owner("lost")
    demand.set_pending("done", "other", 0)
    assert (demand.pending_tasks, demand.take_next()) == (0, None)
