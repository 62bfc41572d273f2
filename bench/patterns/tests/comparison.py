"""Comparison of the default policies with those in force before, on one load pattern."""

from bench.patterns import PatternOutcome, play_pattern
from camphorchute.policies import DecisionPolicies

__all__ = ["EARLIER_POLICIES", "play_both", "unserved_share"]

EARLIER_POLICIES = {
    "admission": "in-time",
    "task_order": "priority",
    "worker_choice": "slowest-in-time",
    "overdue": "never",
    "ejection": "never",
}


def play_both(pattern, seed, *changed) -> tuple[PatternOutcome, PatternOutcome]:
    """Play a pattern with the default policies and with the earlier ones.

    Args:
        pattern: name of the pattern.
        seed: seed of the random numbers.
        *changed: the decisions that have the earlier policy; all of them if none is named.
    """
    earlier = {name: EARLIER_POLICIES[name] for name in changed or EARLIER_POLICIES}
    return (
        play_pattern(pattern, seed, DecisionPolicies()),
        play_pattern(pattern, seed, DecisionPolicies(**earlier)),
    )


def unserved_share(outcome):
    return 1 - outcome.served_share()
