"""Command line of the randomised runs of schedulers."""

import sys
import tempfile
from collections.abc import Callable
from functools import partial
from pathlib import Path

import click

from bench.run_faults.crash_play import CrashPlay
from bench.run_faults.faults import FAULTS
from bench.run_faults.idle_play import IdlePlay
from bench.run_faults.late_zones_play import LateZonesPlay
from bench.run_faults.play import play
from bench.run_faults.shrink_play import ShrinkPlay
from bench.run_faults.zones_play import ATTEMPTS_MAX, ZonesPlay

__all__ = ["main"]

ProcessPlay = CrashPlay | IdlePlay | ShrinkPlay | ZonesPlay


@click.command()
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--count", default=1, show_default=True, help="Number of seeds.")
@click.option("--duration-s", default=5.0, show_default=True, help="Time under load, each.")
@click.option("--fault", "faults", multiple=True, type=click.Choice(sorted(FAULTS)), help="Only.")
@click.option("--long-tasks", is_flag=True, help="Tasks of seconds, and faults that act as late.")
@click.option("--counters", is_flag=True, help="Print the counters of each play.")
@click.option(
    "--crashing-tasks", "play_type", flag_value=CrashPlay, help="Entry processes, crashing tasks."
)
@click.option(
    "--shrinking-capacity", "play_type", flag_value=ShrinkPlay, help="The same, less capacity."
)
@click.option(
    "--idle-service", "play_type", flag_value=IdlePlay, help="A pause without jobs, then a burst."
)
@click.option(
    "--lost-owners", "play_type", flag_value=ZonesPlay, help="Four zones, long tasks, lost owners."
)
@click.option(
    "--late-zones",
    "play_type",
    flag_value=LateZonesPlay,
    help="The same, late commands and restarted workers.",
)
@click.option(
    "--attempts",
    default=ATTEMPTS_MAX,
    show_default=True,
    help="How often callers send a job, with --late-zones.",
)
@click.option(
    "--silent-links",
    is_flag=True,
    help="Links that are silent in one direction, with --late-zones.",
)
@click.option(
    "--spaced-losses",
    is_flag=True,
    help="At most two processes lost in 20 s, with --late-zones.",
)
@click.option("--base", default=57, show_default=True, help="Second byte of their addresses.")
@click.option(
    "--log-dir", type=click.Path(path_type=Path), help="Folder that keeps their logs, by seed."
)
def main(
    seed: int,
    count: int,
    duration_s: float,
    faults: tuple[str, ...],
    long_tasks: bool,
    counters: bool,
    play_type: type[ProcessPlay] | None,
    attempts: int,
    silent_links: bool,
    spaced_losses: bool,
    base: int,
    log_dir: Path | None,
) -> None:
    """Play schedulers under random faults and check that no task has two runs at a time."""
    open_play: Callable[..., ProcessPlay] | None = play_type
    if play_type is LateZonesPlay:
        open_play = partial(
            LateZonesPlay,
            attempts_max=attempts,
            has_silent_links=silent_links,
            has_spaced_losses=spaced_losses,
        )
    elif silent_links or spaced_losses or attempts != ATTEMPTS_MAX:
        raise click.UsageError("--attempts, --silent-links, --spaced-losses need --late-zones")
    if open_play is not None:
        seeds = range(seed, seed + count)
        plays = [_play_processes(open_play, number, duration_s, base, log_dir) for number in seeds]
        sys.exit(1 if any(plays) else 0)
    failed = 0
    for number in range(seed, seed + count):
        report = play(number, duration_s, faults, long_tasks)
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


def _play_processes(
    open_play: Callable[..., ProcessPlay],
    seed: int,
    duration_s: float,
    base: int,
    log_dir: Path | None,
) -> bool:
    """Play one run of entry processes; return whether anything was found."""
    with tempfile.TemporaryDirectory() as scratch_dir:
        play_dir = log_dir / f"seed-{seed}" if log_dir else Path(scratch_dir)
        play_dir.mkdir(parents=True, exist_ok=True)
        process_play = open_play(seed, play_dir, base)
        try:
            process_play.start()
            process_play.execute(duration_s)
            click.echo(f"run_faults: seed {seed}, {process_play.summary()}")
            if process_play.has_findings():
                click.echo(process_play.describe())
            return process_play.has_findings()
        finally:
            process_play.close()
