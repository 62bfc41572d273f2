"""Choice of the worker that a task is started on."""

import random
from collections.abc import Callable
from operator import attrgetter

from camphorchute.workers.slots import WorkerSlots

__all__ = ["WorkerChoice", "register_choice", "worker_choice"]

EXPLORE_SHARE = 0.02

WorkerChoice = Callable[[list[WorkerSlots], float, random.Random], WorkerSlots]

_speed = attrgetter("speed")

_CHOICES: dict[str, WorkerChoice] = {}


def register_choice(*names: str) -> Callable[[WorkerChoice], WorkerChoice]:
    """Return a decorator that registers a choice of workers under names.

    A choice gets the free workers that are large enough, at least one, the time and a random
    number generator.
    """

    def register(choice: WorkerChoice) -> WorkerChoice:
        for name in names:
            _CHOICES[name] = choice
        return choice

    return register


def worker_choice(name: str) -> WorkerChoice:
    """Return the choice that is registered under a name.

    Examples:
        >>> worker_choice("home") is worker_choice("fastest")
        True
    """
    return _CHOICES[name]


@register_choice("fastest", "home")
def choose_fastest(workers: list[WorkerSlots], now_ms: float, rng: random.Random) -> WorkerSlots:
    """Choose the worker with the best learned speed, the first among equals.

    A small share of the tasks goes to any worker, so that the speed of an unused one is known.
    """
    if rng.random() < EXPLORE_SHARE:
        return rng.choice(workers)
    return max(workers, key=_speed)


@register_choice("random")
def choose_random(workers: list[WorkerSlots], now_ms: float, rng: random.Random) -> WorkerSlots:
    """Choose any worker."""
    return rng.choice(workers)


@register_choice("two_choices")
def choose_of_two(workers: list[WorkerSlots], now_ms: float, rng: random.Random) -> WorkerSlots:
    """Choose the one of two random workers with more free slots."""
    if len(workers) == 1:
        return workers[0]
    first, second = rng.sample(workers, 2)
    return second if second.free(now_ms) > first.free(now_ms) else first
