"""Play every load pattern with one policy changed at a time: ``python -m bench.patterns``."""

import sys
from pathlib import Path

import click

from bench.patterns import PATTERNS, PatternOutcome, play_pattern
from bench.patterns.plot import plot_unserved
from camphorchute.policies import POLICY_REGISTRIES, DecisionPolicies

DEFAULT_VARIANT = "default"
HEADER = (
    "| pattern | policy | served | in time | refused | p50 | p99 | starts a job | core-s a job |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
)


def variants() -> dict[str, DecisionPolicies]:
    """Return the default policies, and one variant for each other policy that is registered."""
    default = DecisionPolicies()
    found = {DEFAULT_VARIANT: default}
    for decision, registry in POLICY_REGISTRIES.items():
        for name in registry.names():
            if registry.find(name) is not getattr(default, decision):
                found[f"{decision} {name}"] = DecisionPolicies(**{decision: name})
    return found


def row_text(pattern: str, variant: str, outcomes: list[PatternOutcome]) -> str:
    """Return the row of a table for the outcomes of one pattern with one variant."""
    count = len(outcomes)
    jobs = sum(outcome.jobs() for outcome in outcomes)
    values = (
        f"{sum(outcome.served_share() for outcome in outcomes) / count:.4f}",
        f"{sum(outcome.in_time_share() for outcome in outcomes) / count:.4f}",
        f"{sum(outcome.refused for outcome in outcomes) / jobs:.4f}",
        f"{sum(outcome.stretch_percentile(50) for outcome in outcomes) / count:.2f}",
        f"{sum(outcome.stretch_percentile(99) for outcome in outcomes) / count:.2f}",
        f"{sum(outcome.starts for outcome in outcomes) / jobs:.2f}",
        f"{sum(outcome.core_s for outcome in outcomes) / jobs:.2f}",
    )
    return f"| {pattern} | {variant} | " + " | ".join(values) + " |"


@click.command()
@click.option("--seeds", default=2, help="Number of seeds of each row.")
@click.option("--plot", "plot_path", type=click.Path(path_type=Path), help="File for a plot.")
def main(seeds: int, plot_path: Path | None) -> None:
    """Print a table of load patterns by policy; p50 and p99 are times against the work."""
    unserved: dict[str, dict[str, float]] = {}
    print(HEADER)
    for pattern in PATTERNS:
        for variant, policies in variants().items():
            outcomes = [play_pattern(pattern, seed, policies) for seed in range(1, seeds + 1)]
            print(row_text(pattern, variant, outcomes), flush=True)
            served = sum(outcome.served_share() for outcome in outcomes) / seeds
            unserved.setdefault(variant, {})[pattern] = 1 - served
    if plot_path is not None:
        plot_unserved(unserved, plot_path)


if __name__ == "__main__":
    sys.exit(main())
