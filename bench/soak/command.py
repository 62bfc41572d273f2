"""The command line of the randomised runs."""

import os
import random
import sys
import tempfile
from pathlib import Path

import click
import msgspec

from bench.soak.callers import is_unclear
from bench.soak.checker import check, complete_ratio
from bench.soak.records import Call, Evidence
from bench.soak.run import Run
from bench.soak.schedule import make_schedule
from bench.soak.site import reserve_base

__all__ = ["main"]

BROKEN_SHOWN = 20
LOG_LINES_SHOWN = 20


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of the faults.")
@click.option("--duration-s", default=30.0, show_default=True, help="Time under load.")
@click.option("--no-faults", is_flag=True, help="Bring no faults about.")
@click.option("--show-schedule", is_flag=True, help="Print the schedule also on success.")
@click.option("--logs", type=click.Path(path_type=Path), help="Folder that keeps logs and calls.")
def main(
    seed: int, duration_s: float, no_faults: bool, show_schedule: bool, logs: Path | None
) -> None:
    """Run real processes under random faults and check every promise."""
    planned = [] if no_faults else make_schedule(seed, duration_s)
    drawn = random.Random(f"size {seed}")
    zones, entries = drawn.choice([2, 3]), drawn.choice([2, 3])
    base, reservation = reserve_base(os.getpid())
    with tempfile.TemporaryDirectory() as folder, reservation:
        run = Run(seed, planned, duration_s, zones, entries, logs or Path(folder), base)
        click.echo(f"soak: seed {seed}, {zones} zones x {entries} entry VMs")
        run.execute()
        if logs:
            _write_calls(logs / "calls.jsonl", run.evidence)
        sys.exit(_report(seed, run, show_schedule))


def _report(seed: int, run: Run, show_schedule: bool) -> int:
    broken = check(run.evidence)
    _print_broken(broken)
    _print_lines("log", run.log_faults(), LOG_LINES_SHOWN)
    _print_lines("exit", run.site.exits, LOG_LINES_SHOWN)
    _print_lines("problem", run.problems, LOG_LINES_SHOWN)
    click.echo(f"soak: faults_in_log {len(run.log_faults())}")
    click.echo(f"soak: answers by code {_codes(run.evidence)}")
    has_failed = any(broken.values()) or bool(run.problems) or bool(run.site.exits)
    if has_failed or show_schedule:
        _print_schedule(run)
    figures = _figures(seed, run, {name: len(lines) for name, lines in broken.items()})
    click.echo(msgspec.json.encode(figures).decode())
    return 1 if has_failed else 0


def _figures(seed: int, run: Run, broken: dict[str, int]) -> dict:
    evidence = run.evidence
    submissions = [call for call in evidence.calls if call.is_submission]
    keys = {call.key for call in submissions}
    return {
        "seed": seed,
        "faults": len(run.applied),
        "submissions": len(keys),
        "resubmissions": len(submissions) - len(keys),
        "tasks_started": len(evidence.starts) + len(evidence.runs),
        **broken,
        "answered_complete_ratio": complete_ratio(evidence),
    }


def _codes(evidence: Evidence) -> dict[str, int]:
    codes: dict[str, int] = {}
    for call in evidence.calls:
        name = str(call.code) if call.code >= 0 else "none"
        codes[name] = codes.get(name, 0) + 1
    unclear = sum(1 for call in evidence.calls if is_unclear(call))
    return dict(sorted(codes.items())) | {"unclear": unclear}


def _print_broken(broken: dict[str, list[str]]) -> None:
    for name, lines in broken.items():
        _print_lines(f"broken {name}", lines, BROKEN_SHOWN)


def _print_lines(prefix: str, lines: list[str], shown: int) -> None:
    for line in lines[:shown]:
        click.echo(f"{prefix}: {line}")
    if len(lines) > shown:
        click.echo(f"{prefix}: and {len(lines) - shown} more")


def _print_schedule(run: Run) -> None:
    click.echo("schedule:")
    for applied in run.applied:
        span = f"{applied.began_unix_ms:.0f} to {applied.ended_unix_ms:.0f}"
        click.echo(f"  {applied.planned}  zone {applied.zone}  {span}")


def _write_calls(path: Path, evidence: Evidence) -> None:
    """Write every call and start in order of time, one JSON object a line."""
    rows = [_call_row(call) for call in evidence.calls]
    for start in evidence.starts:
        row = {"start": start.worker, "key": start.key, "index": start.index}
        rows.append((start.unix_ms, row))
    rows += [(run.unix_ms, {"run": run.upstream, "key": run.key}) for run in evidence.runs]
    rows.sort(key=lambda pair: pair[0])
    lines = [msgspec.json.encode({"unix_ms": round(at), **row}) for at, row in rows]
    path.write_bytes(b"\n".join(lines) + b"\n")


def _call_row(call: Call) -> tuple[float, dict]:
    row = {
        "call": call.kind.value,
        "key": call.key,
        "body": call.body_number,
        "tasks": call.tasks,
        "entry": call.life.name,
        "spent_ms": round(call.ended_unix_ms - call.sent_unix_ms),
        "connected": call.connected,
        "code": call.code,
        "fate": call.fate,
        "detail": call.detail,
    }
    return call.sent_unix_ms, row
