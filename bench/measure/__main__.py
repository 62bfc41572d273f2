"""Run the benchmark of task placement: ``python -m bench.measure``.

Each row is printed as a JSON line when it is complete; the last line is a JSON summary."""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402
import tempfile  # noqa: E402
from collections.abc import Iterator  # noqa: E402
from pathlib import Path  # noqa: E402

import click  # noqa: E402
import msgspec  # noqa: E402

from bench.fleet import Fleet  # noqa: E402
from bench.measure.placement import FAULTS, ZONE, PlacementBenchmark  # noqa: E402
from bench.measure.plot import plot_rows  # noqa: E402
from bench.measure.report import choose_default_policy, failed_bounds, markdown_table  # noqa: E402
from bench.measure.row import Row  # noqa: E402
from bench.measure.workload import WORKLOADS  # noqa: E402

POLICIES = ("home", "random", "two_choices")
LOADS = (0.5, 0.8, 0.95, 2.0)
FAULT_LOAD = 0.8
NETWORK_BASE = 62
ARRIVALS_S = 6.0
OVERLOAD_ARRIVALS_S = 10.0
DEADLINE_MS = 16_000.0
OVERLOAD_DEADLINE_MS = 12_000.0
RUN_TIME_SCALE = 0.5
SHORT_RUN_TIME_SCALE = 0.1
SHORT_ARRIVALS_S = 2.0
SHORT_DEADLINE_MS = 100_000.0

Case = tuple[str, float, str, str]


def all_cases() -> Iterator[Case]:
    """Yield the workload, load, fault and policy of every row of the full benchmark."""
    for workload in WORKLOADS:
        for load in LOADS:
            for policy in POLICIES:
                yield workload, load, "none", policy
        for fault in FAULTS:
            if fault != "none":
                for policy in POLICIES:
                    yield workload, FAULT_LOAD, fault, policy


def short_cases() -> Iterator[Case]:
    """Yield the workload, load, fault and policy of each row of the short benchmark."""
    yield "association", 0.5, "none", "home"
    yield "huberhof", 0.5, "none", "two_choices"


def run_cases(
    cases: list[Case], scale: float, arrivals_s: float, deadline_ms: float, seed: int
) -> list[Row]:
    """Run the cases one after the other on one fleet and return their rows.

    Args:
        cases: workload, load, fault and policy of each row.
        scale: factor on all run times and deadlines.
        arrivals_s: duration of the arrivals in seconds; ``OVERLOAD_ARRIVALS_S`` above a load of 1.
        deadline_ms: deadline of every job in milliseconds, before scaling;
            ``OVERLOAD_DEADLINE_MS`` above a load of 1.
        seed: seed of the traces.
    """
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        bench = PlacementBenchmark(Fleet([ZONE], Path(folder), NETWORK_BASE), scale, seed)
        try:
            bench.start()
            for workload, load, fault, policy in cases:
                times = (arrivals_s, deadline_ms)
                if load > 1.0:
                    times = (OVERLOAD_ARRIVALS_S, OVERLOAD_DEADLINE_MS)
                row = bench.run(WORKLOADS[workload], load, fault, policy, *times)
                rows.append(row)
                print(msgspec.json.encode(row).decode(), flush=True)
        finally:
            bench.fleet.close()
    return rows


def describe_violations(rows: list[Row]) -> list[str]:
    """Describe each nonzero count that must be zero.

    These are tasks started twice, jobs without an answer and answers that are not complete.
    """
    names = ("double_starts", "unanswered", "partial")
    return [
        f"{row.workload} {row.load} {row.fault} {row.policy}: {name} {getattr(row, name)}"
        for row in rows
        for name in names
        if getattr(row, name)
    ]


@click.command()
@click.option("--short", is_flag=True, help="Run two rows and check only their counts.")
@click.option("--seed", default=1, show_default=True, help="Seed of the job traces.")
@click.option("--scale", default=RUN_TIME_SCALE, show_default=True, help="Factor on all run times.")
@click.option(
    "--picture",
    type=click.Path(path_type=Path),
    help="File for a plot of the rows without a fault.",
)
@click.option(
    "--table", type=click.Path(path_type=Path), help="File for a Markdown table of the rows."
)
@click.option("--policy", "policies", multiple=True, help="Run only these policies.")
@click.option("--load", "loads", multiple=True, type=float, help="Run only these loads.")
@click.option("--fault", "faults", multiple=True, help="Run only these faults.")
def main(
    short: bool,
    seed: int,
    scale: float,
    picture: Path | None,
    table: Path | None,
    policies: tuple[str, ...],
    loads: tuple[float, ...],
    faults: tuple[str, ...],
) -> None:
    """Run the placement benchmark; exit with status 1 if a bound or a count is violated."""
    if short:
        rows = run_cases(
            list(short_cases()), SHORT_RUN_TIME_SCALE, SHORT_ARRIVALS_S, SHORT_DEADLINE_MS, seed
        )
        failed: list = []
    else:
        cases = [
            case
            for case in all_cases()
            if (not loads or case[1] in loads)
            and (not faults or case[2] in faults)
            and (not policies or case[3] in policies)
        ]
        rows = run_cases(cases, scale, ARRIVALS_S, DEADLINE_MS, seed)
        failed = failed_bounds(rows, choose_default_policy(rows) or "home")
    violations = describe_violations(rows)
    if picture:
        plot_rows(rows, picture)
    if table:
        table.write_text(markdown_table(rows))
    for line in violations:
        print(f"expected 0: {line}")
    result = {"rows": rows, "default_policy": choose_default_policy(rows), "bounds_failed": failed}
    print(msgspec.json.encode(result).decode(), flush=True)
    sys.exit(1 if failed or violations else 0)


if __name__ == "__main__":
    main()
