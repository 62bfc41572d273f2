"""Plots of response time and wasted messages over load, made with matplotlib."""

from pathlib import Path

from bench.measure.row import Row

__all__ = ["plot_rows"]

PANELS = (
    ("p50_ratio", "median response / ideal"),
    ("p99_ratio", "99th percentile / ideal"),
    ("wasted_per_task", "wasted messages per task"),
)


def plot_rows(rows: list[Row], path: Path) -> None:
    """Plot the rows without a fault, one line of panels for each workload.

    Args:
        rows: rows of the benchmark; those with a fault are left out.
        path: file to write; its suffix gives the format.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    faultless_rows = [row for row in rows if row.fault == "none"]
    workloads = sorted({row.workload for row in faultless_rows})
    figure, axes = pyplot.subplots(
        len(workloads), len(PANELS), figsize=(13, 4 * len(workloads)), squeeze=False
    )
    for line, workload in zip(axes, workloads, strict=True):
        for axis, (field, title) in zip(line, PANELS, strict=True):
            _plot_panel(axis, [row for row in faultless_rows if row.workload == workload], field)
            axis.set_title(f"{workload}: {title}")
    axes[0][0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def _plot_panel(axis: object, rows: list[Row], field: str) -> None:
    for policy in sorted({row.policy for row in rows}):
        points = sorted((row.load, getattr(row, field)) for row in rows if row.policy == policy)
        axis.plot([100 * x for x, _ in points], [y for _, y in points], "o-", label=policy)
    axis.set_xlabel("load, % of capacity")
    axis.set_ylim(bottom=0 if field == "wasted_per_task" else None)
    axis.grid(alpha=0.3)
