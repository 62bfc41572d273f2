"""Anti-affinity: another worker for a task that would be slowed down, or slow others down."""

from collections.abc import Callable, Iterable
from collections.abc import Set as AbstractSet
from typing import TypeVar

__all__ = ["keep_apart"]

Worker = TypeVar("Worker")


def keep_apart(
    conflicts: AbstractSet[str],
    candidates: list[Worker],
    chosen: Worker,
    rank: Callable[[Worker], tuple],
    kinds_on: Callable[[Worker], Iterable[str]],
) -> Worker:
    """Return the worker for a task: the chosen one, or another one without a conflicting kind.

    Another worker is used only if it is as good in the first criterion, in time or not; a task is
    never delayed to be kept apart.

    Args:
        conflicts: the kinds that the task is kept apart from.
        candidates: the workers that the task can start on.
        chosen: the one with the lowest rank.
        rank: returns whether a worker is avoided, its rank by the worker choice policy, and more.
        kinds_on: returns the kinds of the tasks that run on a worker.

    Examples:
        >>> kinds = {"slow": ["scan"], "fast": []}
        >>> ranks = {"slow": (False, (False, 0.8)), "fast": (False, (False, 1.2))}
        >>> keep_apart({"scan"}, list(kinds), "slow", ranks.get, kinds.get)
        'fast'
        >>> keep_apart({"scan"}, ["slow"], "slow", ranks.get, kinds.get)
        'slow'
    """
    if not conflicts or conflicts.isdisjoint(kinds_on(chosen)):
        return chosen
    first_criteria = _first_criteria(rank(chosen))
    ranked = (
        (rank(worker), number, worker)
        for number, worker in enumerate(candidates)
        if conflicts.isdisjoint(kinds_on(worker))
    )
    equally_good = [row for row in ranked if _first_criteria(row[0]) == first_criteria]
    return min(equally_good)[-1] if equally_good else chosen


def _first_criteria(rank: tuple) -> tuple:
    is_avoided, choice = rank[:2]
    return is_avoided, choice[0]
