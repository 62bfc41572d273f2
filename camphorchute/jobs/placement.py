"""Placement policies: how many pending tasks are dispatched to each scheduler.

A policy is a function that :func:`register_placement_policy` adds to the registry under a name.
"""

import random
from collections.abc import Callable

__all__ = ["PLACEMENT_POLICIES", "SchedulerSlots", "place_tasks", "register_placement_policy"]


class SchedulerSlots:
    """An owner's estimate of the slots that a scheduler has for one service.

    Args:
        member_id: member id of the scheduler.
        free_slots: number of free slots that this owner may use.
        total_slots: number of all slots, free or not.
        pending_tasks: number of tasks that wait at all owners for slots of this scheduler.

    Attributes:
        free_slots: number of free slots that this owner may use, less the tasks dispatched since
            the scheduler reported them.
        is_beyond_reach: whether a witness must record which tasks are dispatched to the
            scheduler before they are.
    """

    __slots__ = ("member_id", "free_slots", "total_slots", "pending_tasks", "is_beyond_reach")

    def __init__(
        self, member_id: str, free_slots: int = 0, total_slots: int = 0, pending_tasks: int = 0
    ) -> None:
        self.member_id = member_id
        self.free_slots = free_slots
        self.total_slots = total_slots
        self.pending_tasks = pending_tasks
        self.is_beyond_reach = False


PlacementPolicy = Callable[[list[SchedulerSlots], int], dict[str, int]]
PLACEMENT_POLICIES: dict[str, PlacementPolicy] = {}


def register_placement_policy(name: str) -> Callable[[PlacementPolicy], PlacementPolicy]:
    """Return a decorator that adds a placement policy to the registry.

    Args:
        name: name of the policy in a service's settings.
    """

    def register(policy: PlacementPolicy) -> PlacementPolicy:
        PLACEMENT_POLICIES[name] = policy
        return policy

    return register


def place_tasks(policy: str, schedulers: list[SchedulerSlots], tasks: int) -> dict[str, int]:
    """Return the number of tasks to dispatch to each scheduler now, by member id.

    Tasks that are placed nowhere stay pending until a scheduler grants slots.

    Args:
        policy: name of a registered policy.
        schedulers: slots of the eligible schedulers.
        tasks: number of pending tasks.

    Raises:
        KeyError: no policy of that name is registered.

    Examples:
        >>> schedulers = [SchedulerSlots("a", 2, 8), SchedulerSlots("b", 6, 8)]
        >>> place_tasks("home", schedulers, 4)
        {'b': 4}
        >>> place_tasks("home", schedulers, 20)
        {'b': 6, 'a': 2}
    """
    return PLACEMENT_POLICIES[policy](schedulers, tasks)


@register_placement_policy("home")
def place_on_free_slots(schedulers: list[SchedulerSlots], tasks: int) -> dict[str, int]:
    """Place tasks on free slots only.

    Schedulers within reach come first, then those with the most free slots; ties are broken at
    random.
    """
    shares: dict[str, int] = {}
    for scheduler in sorted(
        schedulers, key=lambda s: (s.is_beyond_reach, -s.free_slots, random.random())
    ):
        share = min(max(scheduler.free_slots, 0), tasks)
        if share:
            shares[scheduler.member_id] = share
            tasks -= share
    return shares


@register_placement_policy("random")
def place_at_random(schedulers: list[SchedulerSlots], tasks: int) -> dict[str, int]:
    """Choose a scheduler at random for each task, whether or not it has free slots."""
    with_slots = [scheduler for scheduler in schedulers if scheduler.total_slots]
    shares: dict[str, int] = {}
    for _ in range(tasks if with_slots else 0):
        scheduler = random.choice(with_slots)
        shares[scheduler.member_id] = shares.get(scheduler.member_id, 0) + 1
    return shares


@register_placement_policy("two_choices")
def place_by_two_choices(schedulers: list[SchedulerSlots], tasks: int) -> dict[str, int]:
    """Choose two schedulers at random for each task and take the one with more free slots."""
    with_slots = [scheduler for scheduler in schedulers if scheduler.total_slots]
    shares: dict[str, int] = {}
    for _ in range(tasks if with_slots else 0):
        pair = random.sample(with_slots, min(2, len(with_slots)))
        scheduler = max(pair, key=lambda s: s.free_slots - shares.get(s.member_id, 0))
        shares[scheduler.member_id] = shares.get(scheduler.member_id, 0) + 1
    return shares
