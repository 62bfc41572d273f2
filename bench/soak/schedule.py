"""The faults of a run, drawn from its seed alone."""

import random
from collections.abc import Callable

__all__ = ["FAULT_KINDS", "FaultKind", "PlannedFault", "fault", "make_schedule"]

FIRST_FAULT_S = 0.5
GAP_MEAN_S = 1.1
TOGETHER_SHARE = 0.35
TARGET_MAX = 1_000_000


class FaultKind:
    """A kind of fault.

    Attributes:
        name: its name.
        apply: brings it about, waits for its duration and ends it.
        weight: how often it is drawn, beside the others.
        shortest_s: shortest duration.
        longest_s: longest duration.
    """

    __slots__ = ("name", "apply", "weight", "shortest_s", "longest_s")

    def __init__(self, apply: Callable, weight: float, shortest_s: float, longest_s: float) -> None:
        self.name = apply.__name__
        self.apply = apply
        self.weight = weight
        self.shortest_s = shortest_s
        self.longest_s = longest_s


class PlannedFault:
    """One fault of a schedule.

    Attributes:
        at_s: time from the beginning of the faults.
        kind: name of its kind.
        duration_s: how long it lasts.
        target: number that chooses among the possible targets of that time.
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


def fault(weight: float, shortest_s: float, longest_s: float) -> Callable[[Callable], Callable]:
    """Add a function to the registry of faults.

    Args:
        weight: how often it is drawn, beside the others.
        shortest_s: shortest duration.
        longest_s: longest duration.
    """

    def register(apply: Callable) -> Callable:
        FAULT_KINDS[apply.__name__] = FaultKind(apply, weight, shortest_s, longest_s)
        return apply

    return register


def make_schedule(
    seed: int, duration_s: float, kinds: dict[str, FaultKind] | None = None
) -> list[PlannedFault]:
    """Return the faults of a run, in order of time.

    Args:
        seed: the seed.
        duration_s: time in which faults begin.
        kinds: the kinds to draw from; all that are registered if not given.
    """
    drawn = random.Random(f"faults {seed}")
    registered = FAULT_KINDS if kinds is None else kinds
    choices = [registered[name] for name in sorted(registered)]
    weights = [kind.weight for kind in choices]
    planned = []
    at_s = FIRST_FAULT_S
    while at_s < duration_s:
        kind = drawn.choices(choices, weights)[0]
        lasts_s = round(drawn.uniform(kind.shortest_s, kind.longest_s), 2)
        planned.append(
            PlannedFault(round(at_s, 2), kind.name, lasts_s, drawn.randrange(TARGET_MAX))
        )
        if drawn.random() >= TOGETHER_SHARE:
            at_s += drawn.expovariate(1.0 / GAP_MEAN_S)
    return planned
