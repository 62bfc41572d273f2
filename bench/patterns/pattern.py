"""Registry of load patterns."""

from collections.abc import Callable

from bench.patterns.job import JobKind
from bench.patterns.model import Model
from bench.patterns.outcome import PatternOutcome
from camphorchute.policies import DecisionPolicies

__all__ = ["CHECKS", "BOOKINGS", "CANCELS", "PATTERNS", "play_pattern", "register_pattern"]

CHECKS = JobKind("checks", width=8, work_ms=60.0, priority=0)
CANCELS = JobKind("cancels", width=2, work_ms=200.0, priority=1)
BOOKINGS = JobKind("bookings", width=4, work_ms=900.0, priority=2)
PLAY_S = 40.0

Pattern = Callable[[Model], None]
PATTERNS: dict[str, Pattern] = {}


def register_pattern(name: str) -> Callable[[Pattern], Pattern]:
    """Return a decorator that adds a load pattern to the registry.

    A pattern schedules submissions and faults on a model.

    Args:
        name: name of the pattern.
    """

    def add(pattern: Pattern) -> Pattern:
        PATTERNS[name] = pattern
        return pattern

    return add


def play_pattern(
    name: str, seed: int, policies: DecisionPolicies, **fields: object
) -> PatternOutcome:
    """Play a pattern and return the outcome.

    Args:
        name: name of the pattern.
        seed: seed of the random numbers.
        policies: the policies to decide by.
        **fields: further arguments of the model.
    """
    model = Model(policies, seed, **fields)
    PATTERNS[name](model)
    return model.play(PLAY_S)
