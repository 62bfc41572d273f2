"""Registry of fault kinds, and the fault schedule of a run, which depends on its seed alone."""

import random
from collections.abc import Callable

__all__ = ["FAULT_KINDS", "FaultKind", "PlannedFault", "make_schedule", "register_fault"]

FIRST_FAULT_S = 0.5
MEAN_GAP_S = 1.1
SAME_TIME_PROBABILITY = 0.35
TARGET_MAX = 1_000_000


class FaultKind:
    """A kind of fault.

    Attributes:
        name: name of the function that injects it; schedules sort and print it.
        apply: injects the fault, waits for its duration and ends it.
        weight: relative frequency with which it is drawn.
        min_duration_s: shortest duration in seconds.
        max_duration_s: longest duration in seconds.
    """

    __slots__ = ("name", "apply", "weight", "min_duration_s", "max_duration_s")

    def __init__(
        self, apply: Callable, weight: float, min_duration_s: float, max_duration_s: float
    ) -> None:
        self.name = apply.__name__
        self.apply = apply
        self.weight = weight
        self.min_duration_s = min_duration_s
        self.max_duration_s = max_duration_s


class PlannedFault:
    """One fault of a schedule.

    Two planned faults are equal if they print alike.

    Attributes:
        at_s: seconds from the start of the submissions to the start of the fault.
        kind: name of its kind.
        duration_s: duration in seconds.
        target: random number; its remainder selects one of the targets that exist when the
            fault starts, and in some kinds the strength of the fault.
    """

    __slots__ = ("at_s", "kind", "duration_s", "target")

    def __init__(self, at_s: float, kind: str, duration_s: float, target: int) -> None:
        self.at_s = at_s
        self.kind = kind
        self.duration_s = duration_s
        self.target = target

    def __str__(self) -> str:
        return f"{self.at_s:7.2f} s  {self.kind:<24} {self.duration_s:5.2f} s  {self.target}"

    def __eq__(self, other: object) -> bool:
        return isinstance(other, PlannedFault) and str(self) == str(other)


FAULT_KINDS: dict[str, FaultKind] = {}


def register_fault(
    weight: float, min_duration_s: float, max_duration_s: float
) -> Callable[[Callable], Callable]:
    """Return a decorator that registers a function as a fault kind under its own name.

    Args:
        weight: relative frequency with which it is drawn.
        min_duration_s: shortest duration in seconds.
        max_duration_s: longest duration in seconds.
    """

    def register(apply: Callable) -> Callable:
        FAULT_KINDS[apply.__name__] = FaultKind(apply, weight, min_duration_s, max_duration_s)
        return apply

    return register


def make_schedule(
    seed: int, duration_s: float, kinds: dict[str, FaultKind] | None = None
) -> list[PlannedFault]:
    """Return the faults of a run, sorted by start time.

    Kinds are drawn in the order of their names, so a seed gives the same schedule whatever the
    order of registration.

    Args:
        seed: seed of the schedule.
        duration_s: seconds during which faults start.
        kinds: the kinds to draw from by name; all registered kinds if not given.
    """
    rng = random.Random(f"faults {seed}")
    registered = FAULT_KINDS if kinds is None else kinds
    choices = [registered[name] for name in sorted(registered)]
    weights = [kind.weight for kind in choices]
    planned = []
    at_s = FIRST_FAULT_S
    while at_s < duration_s:
        kind = rng.choices(choices, weights)[0]
        fault_duration_s = round(rng.uniform(kind.min_duration_s, kind.max_duration_s), 2)
        planned.append(
            PlannedFault(round(at_s, 2), kind.name, fault_duration_s, rng.randrange(TARGET_MAX))
        )
        if rng.random() >= SAME_TIME_PROBABILITY:
            at_s += rng.expovariate(1.0 / MEAN_GAP_S)
    return planned
