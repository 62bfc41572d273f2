"""Command line of the randomised runs of schedulers."""

import sys
import tempfile
from pathlib import Path

import click

from bench.run_faults.crash_play import CrashPlay
from bench.run_faults.faults import FAULTS
from bench.run_faults.play import play

__all__ = ["main"]


@click.command()
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--count", default=1, show_default=True, help="Number of seeds.")
@click.option("--duration-s", default=5.0, show_default=True, help="Time under load, each.")
@click.option("--fault", "faults", multiple=True, type=click.Choice(sorted(FAULTS)), help="Only.")
@click.option("--counters", is_flag=True, help="Print the counters of each play.")
@click.option("--crashing-tasks", is_flag=True, help="Entry processes with crashing tasks.")
@click.option("--base", default=57, show_default=True, help="Second byte of their addresses.")
def main(
    seed: int,
    count: int,
    duration_s: float,
    faults: tuple[str, ...],
    counters: bool,
    crashing_tasks: bool,
    base: int,
) -> None:
    """Play schedulers under random faults and check that no task has two runs at a time."""
    if crashing_tasks:
        seeds = range(seed, seed + count)
        found = [number for number in seeds if _has_findings_with_crashes(number, duration_s, base)]
        sys.exit(1 if found else 0)
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


def _has_findings_with_crashes(seed: int, duration_s: float, base: int) -> bool:
    """Play one run with tasks that crash their workers; return whether anything was found."""
    with tempfile.TemporaryDirectory() as log_dir:
        play = CrashPlay(seed, Path(log_dir), base)
        try:
            play.start()
            play.execute(duration_s)
            click.echo(
                f"run_faults: seed {seed}, {play.started_runs()} runs, "
                f"{len(play.states)} jobs, {len(play.overlaps)} at the same time, "
                f"{len(play.over_budget)} over budget, {len(play.wrongly_ended)} wrongly ended"
            )
            if play.has_findings():
                click.echo(play.describe())
            return play.has_findings()
        finally:
            play.close()
