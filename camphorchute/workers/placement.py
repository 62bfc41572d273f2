"""Placement policies, which choose the worker that a task is started on."""

import random
from collections.abc import Callable
from operator import attrgetter

from camphorchute.workers.slots import WorkerSlots

__all__ = ["PlacementPolicy", "policy_by_name", "register_policy"]

EXPLORATION_SHARE = 0.02

PlacementPolicy = Callable[[list[WorkerSlots], float, random.Random], WorkerSlots]

_speed = attrgetter("speed")

_POLICIES: dict[str, PlacementPolicy] = {}


def register_policy(*names: str) -> Callable[[PlacementPolicy], PlacementPolicy]:
    """Return a decorator that registers a placement policy under names.

    A policy gets the free workers that are large enough for the task (at least one), the
    monotonic time in milliseconds and a random number generator, and returns one of the workers.
    """

    def register(policy: PlacementPolicy) -> PlacementPolicy:
        for name in names:
            _POLICIES[name] = policy
        return policy

    return register


def policy_by_name(name: str) -> PlacementPolicy:
    """Return the placement policy that is registered under a name.

    Raises:
        KeyError: no policy has this name.

    Examples:
        >>> policy_by_name("home") is policy_by_name("fastest")
        True
    """
    return _POLICIES[name]


@register_policy("fastest", "home")
def choose_fastest(workers: list[WorkerSlots], now_ms: float, rng: random.Random) -> WorkerSlots:
    """Choose the worker with the highest learned speed, the first among equals.

    A small share of the tasks goes to a random worker, so that the speed of workers that are
    otherwise unused is learned.
    """
    if rng.random() < EXPLORATION_SHARE:
        return rng.choice(workers)
    return max(workers, key=_speed)


@register_policy("random")
def choose_random(workers: list[WorkerSlots], now_ms: float, rng: random.Random) -> WorkerSlots:
    """Choose a worker at random."""
    return rng.choice(workers)


@register_policy("two_choices")
def choose_of_two(workers: list[WorkerSlots], now_ms: float, rng: random.Random) -> WorkerSlots:
    """Choose the one with more free slots of two random workers."""
    if len(workers) == 1:
        return workers[0]
    first, second = rng.sample(workers, 2)
    return second if second.free_slots(now_ms) > first.free_slots(now_ms) else first
