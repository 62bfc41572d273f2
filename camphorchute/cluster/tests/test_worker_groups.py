import random

import pytest

from camphorchute.cluster.worker_groups import WorkerGroups
from camphorchute.contracts.resources import Resources
from camphorchute.hosting import WorkerEntry
from camphorchute.runs import group_count, group_of


def make_entry(number, zone="north", service="flags", incarnation=1):
    return WorkerEntry(f"w{number}", incarnation, "", service, zone, Resources(0))


def expected_groups(entries):
    """Return the worker ids by group, computed from all entries."""
    groups = {}
    for entry in entries:
        pool = [e for e in entries if (e.zone, e.service) == (entry.zone, entry.service)]
        name = group_of(entry.zone, entry.service, entry.worker_id, group_count(len(pool)))
        groups.setdefault(name, set()).add(entry.worker_id)
    return groups


@pytest.mark.parametrize("seed", range(8))
def test_groups_after_each_change_are_those_of_all_workers(seed):
    draw = random.Random(seed)
    groups, entries = WorkerGroups(), {}
    for _ in range(400):
        number = draw.randrange(60)
        if draw.random() < 0.3:
            groups.remove_worker(f"w{number}")
            entries.pop(number, None)
        else:
            entry = make_entry(number, draw.choice(["north", "south"]), "flags", draw.random())
            groups.set_worker(entry)
            entries[number] = entry
        by_name = {name: set(workers) for name, workers in groups.by_name.items()}
        assert by_name == expected_groups(entries.values())
        assert groups.group_by_worker == {
            worker: name for name, workers in by_name.items() for worker in workers
        }
    for entry in entries.values():
        assert groups.by_name[groups.group_by_worker[entry.worker_id]][entry.worker_id] is entry


@pytest.mark.parametrize(
    ("listed", "changed_number", "changed_groups"),
    [(12, 3, 1), (100, 3, 1), (12, 12, 2), (13, 13, 1)],
)
def test_a_change_of_one_worker_replaces_its_group_only(listed, changed_number, changed_groups):
    groups = WorkerGroups()
    for number in range(listed):
        groups.set_worker(make_entry(number))
    before = dict(groups.by_name)
    groups.set_worker(make_entry(changed_number, incarnation=2))
    replaced = [name for name in groups.by_name if groups.by_name[name] is not before.get(name)]
    assert len(replaced) == changed_groups


def test_names_change_with_the_first_and_the_last_worker_of_a_group():
    calls = []
    groups = WorkerGroups(lambda: calls.append(sorted(groups.by_name)))
    groups.set_worker(make_entry(1))
    groups.set_worker(make_entry(2))
    groups.set_worker(make_entry(2, incarnation=2))
    groups.remove_worker("w1")
    groups.remove_worker("w1")
    groups.remove_worker("w2")
    assert calls == [["north/flags/0"], []]
