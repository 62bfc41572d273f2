"""How the tasks of a job are spread over homes: a registry that decorators fill."""

import random
from collections.abc import Callable

__all__ = ["HomeSlots", "PLACING_POLICIES", "place", "register_placing"]


class HomeSlots:
    """What an owner believes of a home's free slots for one service.

    Attributes:
        member_id: the home.
        free: slots that are free, less what was handed to it since it said so.
        slots: all its slots.
        waiting: tasks that wait at owners for this home's slots.
        beyond_reach: whether a witness must hold which tasks are handed to it.
    """

    __slots__ = ("member_id", "free", "slots", "waiting", "beyond_reach")

    def __init__(self, member_id: str, free: int = 0, slots: int = 0, waiting: int = 0) -> None:
        self.member_id = member_id
        self.free = free
        self.slots = slots
        self.waiting = waiting
        self.beyond_reach = False


Placing = Callable[[list[HomeSlots], int], dict[str, int]]
PLACING_POLICIES: dict[str, Placing] = {}


def register_placing(name: str) -> Callable[[Placing], Placing]:
    """Return a decorator that adds a policy to the registry."""

    def register(policy: Placing) -> Placing:
        PLACING_POLICIES[name] = policy
        return policy

    return register


def place(policy: str, homes: list[HomeSlots], tasks: int) -> dict[str, int]:
    """Return how many of the tasks go to each home now; the others wait for a grant.

    Examples:
        >>> homes = [HomeSlots("a", 2, 8), HomeSlots("b", 6, 8)]
        >>> place("home", homes, 4)
        {'b': 4}
        >>> place("home", homes, 20)
        {'b': 6, 'a': 2}
    """
    return PLACING_POLICIES[policy](homes, tasks)


@register_placing("home")
def free_slots_first(homes: list[HomeSlots], tasks: int) -> dict[str, int]:
    """Fill the homes within reach and with most free slots first, and hand on no more."""
    shares: dict[str, int] = {}
    for home in sorted(homes, key=lambda h: (h.beyond_reach, -h.free, random.random())):
        share = min(max(home.free, 0), tasks)
        if share:
            shares[home.member_id] = share
            tasks -= share
    return shares


@register_placing("random")
def any_home(homes: list[HomeSlots], tasks: int) -> dict[str, int]:
    """Choose a home at random for each task, whatever is free."""
    usable = [home for home in homes if home.slots]
    shares: dict[str, int] = {}
    for _ in range(tasks if usable else 0):
        home = random.choice(usable)
        shares[home.member_id] = shares.get(home.member_id, 0) + 1
    return shares


@register_placing("two_choices")
def better_of_two(homes: list[HomeSlots], tasks: int) -> dict[str, int]:
    """Choose two homes at random for each task and take the one with more free slots."""
    usable = [home for home in homes if home.slots]
    shares: dict[str, int] = {}
    for _ in range(tasks if usable else 0):
        pair = random.sample(usable, min(2, len(usable)))
        home = max(pair, key=lambda h: h.free - shares.get(h.member_id, 0))
        shares[home.member_id] = shares.get(home.member_id, 0) + 1
    return shares
