"""The tasks of a key that may be at schedulers beyond the reach of its owners.

An owner records such a task with a witness before it dispatches it, and takes it out once the
scheduler has returned it. Copies of an entry are merged by the stamp of their list: its term, then
the number of its change. Only one process owns the key in a term, so the later list is complete. A
list without a stamp, from an owner of an earlier version, only grows.
"""

from camphorchute.contracts.messages import KeyEntry

__all__ = ["add_local_tasks", "merge_local_tasks", "remove_local_tasks"]


def add_local_tasks(entry: KeyEntry, term: int, indices: list[int]) -> None:
    """Add tasks that the owner is about to dispatch beyond its reach.

    Args:
        entry: the entry of the key.
        term: number of the term under which the caller owns the key.
        indices: indices of the tasks.
    """
    is_stamped = _is_stamped(entry) or not entry.local
    entry.local = sorted({*entry.local, *indices})
    if is_stamped:
        _stamp(entry, term)


def remove_local_tasks(entry: KeyEntry, term: int, indices: list[int]) -> bool:
    """Remove tasks that were returned without a start; return whether the list has changed.

    Args:
        entry: the entry of the key.
        term: number of the term under which the caller owns the key.
        indices: indices of the tasks.

    Examples:
        >>> entry = KeyEntry("k", 3, b"d", 2**60)
        >>> add_local_tasks(entry, 5, [1, 2])
        >>> remove_local_tasks(entry, 5, [2])
        True
        >>> entry.local
        [1]
    """
    if not _is_stamped(entry) or not set(entry.local) & set(indices):
        return False
    entry.local = sorted({*entry.local} - {*indices})
    _stamp(entry, term)
    return True


def merge_local_tasks(held: KeyEntry, entry: KeyEntry) -> None:
    """Merge the list of a copy of an entry into the one that is held.

    Args:
        held: the entry that is held; its list and stamp change.
        entry: the copy.
    """
    held_stamp, stamp = _stamp_of(held), _stamp_of(entry)
    is_held_known = _is_stamped(held) or not held.local
    is_known = _is_stamped(entry) or not entry.local
    if not is_held_known or not is_known:
        held.local = sorted({*held.local, *entry.local})
        held.local_term = held.local_change = 0
    elif stamp == held_stamp:
        held.local = sorted({*held.local, *entry.local})
    elif stamp > held_stamp:
        held.local = list(entry.local)
        held.local_term, held.local_change = stamp


def _stamp(entry: KeyEntry, term: int) -> None:
    entry.local_term = max(term, entry.local_term)
    entry.local_change += 1


def _stamp_of(entry: KeyEntry) -> tuple[int, int]:
    return (entry.local_term, entry.local_change)


def _is_stamped(entry: KeyEntry) -> bool:
    return entry.local_change > 0
