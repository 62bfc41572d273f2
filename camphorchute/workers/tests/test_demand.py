from collections import Counter

import pytest

from camphorchute.workers.demand import WaitingDemand

SHARES = {
    "equal": ({}, {"a": 50, "b": 50}, {"a": 20, "b": 20}),
    "three to one": ({"a": 3.0}, {"a": 50, "b": 50}, {"a": 30, "b": 10}),
    "tiny weight alone": ({"a": 1e-6}, {"a": 50}, {"a": 40}),
    "one team is soon done": ({}, {"a": 50, "b": 5}, {"a": 35, "b": 5}),
}


@pytest.mark.parametrize("weights, waiting, turns", SHARES.values(), ids=SHARES)
def test_turns_follow_the_weights(weights, waiting, turns):
    demand = WaitingDemand(weights)
    for team, tasks in waiting.items():
        demand.set("owner", team, tasks)
    assert Counter(demand.next()[1] for _ in range(40)) == turns
    assert demand.waiting == sum(waiting.values()) - 40


def test_owners_of_a_team_are_served_first_come_first_served():
    demand = WaitingDemand()
    demand.set("first", "team", 2)
    demand.set("second", "team", 1)
    demand.add("first", "team", 1)
    assert [demand.next()[0] for _ in range(4)] == ["first", "first", "first", "second"]
    assert demand.next() is None


def test_a_lost_owner_and_a_demand_of_none_are_forgotten():
    demand = WaitingDemand()
    demand.set("lost", "team", 3)
    demand.set("done", "other", 3)
    demand.drop_owner("lost")
    demand.set("done", "other", 0)
    assert (demand.waiting, demand.next()) == (0, None)
