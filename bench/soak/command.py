"""Command line of the randomised soak runs."""

import os
import random
import sys
import tempfile
from pathlib import Path

import click
import msgspec

from bench.soak.callers import is_fate_unclear
from bench.soak.checker import complete_ratio, run_checks
from bench.soak.records import Call, SoakRecords
from bench.soak.schedule import make_schedule
from bench.soak.soak_run import SoakRun

__all__ = ["main"]

VIOLATIONS_SHOWN_MAX = 20
LINES_SHOWN_MAX = 20
FIRST_ADDRESS_BASE, ADDRESS_BASE_COUNT = 70, 130


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of the faults.")
@click.option("--duration-s", default=30.0, show_default=True, help="Time under load.")
@click.option("--no-faults", is_flag=True, help="Inject no faults.")
@click.option("--show-schedule", is_flag=True, help="Print the schedule also on success.")
@click.option("--logs", type=click.Path(path_type=Path), help="Folder that keeps logs and calls.")
def main(
    seed: int, duration_s: float, no_faults: bool, show_schedule: bool, logs: Path | None
) -> None:
    """Run real processes under random faults and check every guarantee."""
    faults = [] if no_faults else make_schedule(seed, duration_s)
    rng = random.Random(f"size {seed}")
    zones, entries = rng.choice([2, 3]), rng.choice([2, 3])
    base = FIRST_ADDRESS_BASE + os.getpid() % ADDRESS_BASE_COUNT
    with tempfile.TemporaryDirectory() as folder:
        run = SoakRun(seed, faults, duration_s, zones, entries, logs or Path(folder), base)
        click.echo(f"soak: seed {seed}, {zones} zones x {entries} entry VMs")
        run.execute()
        if logs:
            _write_calls(logs / "calls.jsonl", run.records)
        sys.exit(_print_report(seed, run, show_schedule))


def _print_report(seed: int, run: SoakRun, show_schedule: bool) -> int:
    violations = run_checks(run.records)
    _print_violations(violations)
    _print_lines("log", run.find_log_errors(), LINES_SHOWN_MAX)
    _print_lines("exit", run.fleet.unexpected_exits, LINES_SHOWN_MAX)
    _print_lines("problem", run.problems, LINES_SHOWN_MAX)
    click.echo(f"soak: faults_in_log {len(run.find_log_errors())}")
    click.echo(f"soak: answers by code {_count_codes(run.records)}")
    has_failed = any(violations.values()) or bool(run.problems) or bool(run.fleet.unexpected_exits)
    if has_failed or show_schedule:
        _print_schedule(run)
    figures = _make_figures(seed, run, {name: len(lines) for name, lines in violations.items()})
    click.echo(msgspec.json.encode(figures).decode())
    return 1 if has_failed else 0


def _make_figures(seed: int, run: SoakRun, violations: dict[str, int]) -> dict:
    records = run.records
    submissions = [call for call in records.calls if call.is_submission]
    keys = {call.key for call in submissions}
    return {
        "seed": seed,
        "faults": len(run.applied_faults),
        "submissions": len(keys),
        "resubmissions": len(submissions) - len(keys),
        "tasks_started": len(records.starts) + len(records.runs),
        **violations,
        "answered_complete_ratio": complete_ratio(records),
    }


def _count_codes(records: SoakRecords) -> dict[str, int]:
    codes: dict[str, int] = {}
    for call in records.calls:
        name = str(call.code) if call.code >= 0 else "none"
        codes[name] = codes.get(name, 0) + 1
    unclear = sum(1 for call in records.calls if is_fate_unclear(call))
    return dict(sorted(codes.items())) | {"unclear": unclear}


def _print_violations(violations: dict[str, list[str]]) -> None:
    for name, lines in violations.items():
        _print_lines(f"broken {name}", lines, VIOLATIONS_SHOWN_MAX)


def _print_lines(prefix: str, lines: list[str], shown: int) -> None:
    for line in lines[:shown]:
        click.echo(f"{prefix}: {line}")
    if len(lines) > shown:
        click.echo(f"{prefix}: and {len(lines) - shown} more")


def _print_schedule(run: SoakRun) -> None:
    click.echo("schedule:")
    for applied in run.applied_faults:
        span = f"{applied.began_unix_ms:.0f} to {applied.ended_unix_ms:.0f}"
        click.echo(f"  {applied.planned}  zone {applied.zone}  {span}")


def _write_calls(path: Path, records: SoakRecords) -> None:
    """Write every call, task start and request run as JSON lines, sorted by time."""
    rows = [_call_row(call) for call in records.calls]
    for start in records.starts:
        row = {"start": start.worker, "key": start.key, "index": start.index}
        rows.append((start.unix_ms, row))
    rows += [(run.unix_ms, {"run": run.upstream, "key": run.key}) for run in records.runs]
    rows.sort(key=lambda pair: pair[0])
    lines = [msgspec.json.encode({"unix_ms": round(at), **row}) for at, row in rows]
    path.write_bytes(b"\n".join(lines) + b"\n")


def _call_row(call: Call) -> tuple[float, dict]:
    row = {
        "call": call.kind.value,
        "key": call.key,
        "body": call.body_number,
        "tasks": call.task_count,
        "entry": call.incarnation.name,
        "spent_ms": round(call.ended_unix_ms - call.sent_unix_ms),
        "connected": call.connected,
        "code": call.code,
        "fate": call.fate,
        "detail": call.detail,
    }
    return call.sent_unix_ms, row
