import itertools
import random

import pytest

from camphorchute.contracts.messages import KeyEntry
from camphorchute.zones.local_tasks import (
    add_local_tasks,
    merge_local_tasks,
    remove_local_tasks,
)


def copy_of(local, term=0, change=0):
    return KeyEntry("k", 3, b"d", 2**60, [], list(local), term, change)


MERGED = [
    ("a later change", copy_of([1], 5, 1), copy_of([], 5, 2), []),
    ("a later term", copy_of([1, 2], 5, 9), copy_of([2], 6, 3), [2]),
    ("the same stamp", copy_of([1], 5, 1), copy_of([2], 5, 1), [1, 2]),
    ("none of one copy", copy_of([1], 5, 1), copy_of([]), [1]),
    ("an earlier version", copy_of([], 5, 2), copy_of([1]), [1]),
]


@pytest.mark.parametrize("name, one, other, merged", MERGED, ids=[row[0] for row in MERGED])
def test_merged_lists_are_those_of_the_later_stamp_in_any_order(name, one, other, merged):
    for first, second in [(one, other), (other, one)]:
        held = copy_of(first.local, first.local_term, first.local_change)
        merge_local_tasks(held, second)
        assert held.local == merged


# Guards against a task of an owner of an earlier version that a later stamp takes out.
def test_a_list_without_a_stamp_is_kept_by_every_later_merge():
    stamped = [copy_of([1], 5, 1), copy_of([], 5, 2), copy_of([2], 9, 4)]
    for copies in itertools.permutations([copy_of([3]), *stamped]):
        held = copy_of([])
        for entry in copies:
            merge_local_tasks(held, entry)
        assert 3 in held.local
        assert not remove_local_tasks(held, 11, [3])
        add_local_tasks(held, 11, [4])
        assert {3, 4} <= set(held.local) and held.local_change == 0


# Guards against a lost entry of a task that is dispatched: only acknowledged copies are merged.
@pytest.mark.parametrize("seed", range(20))
def test_merged_copies_list_every_task_that_is_dispatched(seed):
    rng = random.Random(seed)
    owner, witnesses = copy_of([]), [copy_of([]), copy_of([])]
    dispatched = set()
    for step in range(40):
        index = rng.randrange(5)
        if index in dispatched:
            dispatched.remove(index)
            remove_local_tasks(owner, 5 + step // 20, [index])
            if rng.random() < 0.5:
                merge_local_tasks(rng.choice(witnesses), owner)
        else:
            add_local_tasks(owner, 5 + step // 20, [index])
            merge_local_tasks(rng.choice(witnesses), owner)
            dispatched.add(index)
        merged = copy_of([])
        for witness in rng.sample(witnesses, 2):
            merge_local_tasks(merged, witness)
        assert dispatched <= set(merged.local)
