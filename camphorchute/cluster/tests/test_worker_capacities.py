import pytest

from camphorchute.cluster import WorkerCapacities
from camphorchute.cluster.worker_groups import WorkerGroups
from camphorchute.contracts.resources import Resources
from camphorchute.hosting import WorkerEntry

LARGE, WITH_GPU = Resources(32_000, 65_536), Resources(4000, 8192, 2)


def make_entry(name, capacity, service="flags", zone="north", is_draining=False):
    return WorkerEntry(name, 1, "", service, zone, capacity, (), is_draining)


@pytest.fixture
def groups():
    listed = WorkerGroups()
    listed.set_worker(make_entry("w1", LARGE))
    listed.set_worker(make_entry("w2", WITH_GPU))
    listed.set_worker(make_entry("w3", LARGE, zone="south"))
    listed.set_worker(make_entry("w4", WITH_GPU, service="maps"))
    return listed


# The most of each resource in a group may be that of different workers; jobs waited in such groups.
@pytest.mark.parametrize(
    ("demand", "names"),
    [
        (Resources(1000, 64), ["north/flags/0", "south/flags/0"]),
        (Resources(1000, 64, 1), ["north/flags/0"]),
        (Resources(32_000, 64), ["north/flags/0", "south/flags/0"]),
        (Resources(32_000, 64, 1), []),
        (Resources(4000, 65_536, 1), []),
        (Resources(1000, 64, 3), []),
    ],
)
def test_groups_are_those_in_which_one_worker_holds_the_whole_demand(groups, demand, names):
    assert sorted(WorkerCapacities(groups).groups_for("flags", demand)) == names


@pytest.mark.parametrize(
    "change",
    [
        lambda groups: groups.remove_worker("w2"),
        lambda groups: groups.set_worker(make_entry("w2", WITH_GPU, is_draining=True)),
        lambda groups: groups.set_worker(make_entry("w2", LARGE)),
    ],
    ids=["removed", "draining", "replaced"],
)
def test_answer_changes_with_the_entry_of_a_worker(groups, change):
    capacities, demand = WorkerCapacities(groups), Resources(1000, 64, 1)
    assert capacities.groups_for("flags", demand) == ["north/flags/0"]
    change(groups)
    assert capacities.groups_for("flags", demand) == []
    assert not capacities.can_hold("north/flags/0", demand)


def test_group_without_workers_holds_nothing(groups):
    capacities = WorkerCapacities(groups)
    assert not capacities.can_hold("west/flags/0", Resources(0))
    assert capacities.groups_for("unknown", Resources(0)) == []
