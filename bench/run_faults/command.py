"""Command line of the randomised runs of schedulers."""

import sys

import click

from bench.run_faults.faults import FAULTS
from bench.run_faults.play import play

__all__ = ["main"]


@click.command()
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--count", default=1, show_default=True, help="Number of seeds.")
@click.option("--duration-s", default=5.0, show_default=True, help="Time under load, each.")
@click.option("--fault", "faults", multiple=True, type=click.Choice(sorted(FAULTS)), help="Only.")
@click.option("--counters", is_flag=True, help="Print the counters of each play.")
def main(seed: int, count: int, duration_s: float, faults: tuple[str, ...], counters: bool) -> None:
    """Play schedulers under random faults and check that no task has two runs at a time."""
    failed = 0
    for number in range(seed, seed + count):
        report = play(number, duration_s, faults)
        failed += report.has_findings()
        click.echo(
            f"run_faults: seed {number}, {report.started_runs} runs, "
            f"{len(report.overlaps)} at the same time, {len(report.duplicates)} in two places, "
            f"answers {dict(report.answers)}"
        )
        if report.has_findings():
            click.echo(report.describe())
        if counters:
            click.echo(f"counters {dict(sorted(report.counts.items()))}")
    sys.exit(1 if failed else 0)
