"""Checks of benchmark rows against their bounds, and the choice of the default policy."""

from collections import defaultdict

from bench.measure.row import Row
from bench.measure.workload import WORKLOADS

__all__ = ["choose_default_policy", "failed_bounds", "markdown_table"]

BOUNDED_LOAD = 0.8
OVERLOAD = 2.0
P50_RATIO_MAX = 1.10
P99_RATIO_MAX = 1.5
P99_RATIO_WITH_FAULT_MAX = 2.0
WASTED_PER_TASK_MAX = 0.01
OVERLOAD_GOODPUT_MIN = 0.9


def failed_bounds(rows: list[Row], policy: str) -> list[dict]:
    """Return the row, the name and the value of each bound that a row of the policy violates."""
    failed = []
    for row in rows:
        if row.policy != policy:
            continue
        for name, value, met in _bounds(row):
            if not met:
                failed.append(
                    {
                        "workload": row.workload,
                        "load": row.load,
                        "fault": row.fault,
                        "bound": name,
                        "value": value,
                    }
                )
    return failed


def _bounds(row: Row) -> list[tuple[str, float, bool]]:
    """Return name, value and whether it is met, for each bound that applies to a row."""
    if row.load == BOUNDED_LOAD and row.fault == "none":
        return [
            ("p50_ratio", row.p50_ratio, row.p50_ratio <= P50_RATIO_MAX),
            ("p99_ratio", row.p99_ratio, row.p99_ratio <= P99_RATIO_MAX),
            ("wasted_per_task", row.wasted_per_task, row.wasted_per_task <= WASTED_PER_TASK_MAX),
        ]
    if row.load == BOUNDED_LOAD:
        met = row.p99_ratio <= P99_RATIO_WITH_FAULT_MAX
        return [("p99_ratio_with_fault", row.p99_ratio, met)]
    if row.load == OVERLOAD:
        met = row.goodput_ratio >= OVERLOAD_GOODPUT_MIN
        return [("goodput_ratio", row.goodput_ratio, met)]
    return []


def choose_default_policy(rows: list[Row]) -> str:
    """Return the policy with the lowest cost summed over both workloads; empty without rows.

    The cost of a row at 80 % load without a fault is ``(1 - w) * (p50_ratio - 1 + p99_ratio - 1) +
    w * wasted_per_task`` where w is the waste weight of the workload.
    """
    costs: dict[str, float] = defaultdict(float)
    for row in rows:
        if row.load == BOUNDED_LOAD and row.fault == "none":
            weight = WORKLOADS[row.workload].waste_weight
            excess = row.p50_ratio + row.p99_ratio - 2
            costs[row.policy] += (1 - weight) * excess + weight * row.wasted_per_task
    return min(costs, key=costs.__getitem__) if costs else ""


def markdown_table(rows: list[Row]) -> str:
    """Return the rows as a Markdown table."""
    names = ("workload", "load", "fault", "policy", "p50_ratio", "p99_ratio")
    names += ("wasted_per_task", "goodput_ratio", "starts_per_core_s")
    lines = ["| " + " | ".join(names) + " |", "|" + " --- |" * len(names)]
    for row in rows:
        lines.append("| " + " | ".join(str(getattr(row, name)) for name in names) + " |")
    return "\n".join(lines) + "\n"
