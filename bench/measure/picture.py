"""The picture of response time and waste over load, drawn by matplotlib."""

from pathlib import Path

from bench.measure.row import Row

__all__ = ["draw"]

PANELS = (
    ("p50_ratio", "median response / ideal"),
    ("p99_ratio", "99th percentile / ideal"),
    ("wasted_per_task", "wasted messages per task"),
)


def draw(rows: list[Row], path: Path) -> None:
    """Draw the rows without a fault to a file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    plain = [row for row in rows if row.fault == "none"]
    workloads = sorted({row.workload for row in plain})
    figure, axes = pyplot.subplots(
        len(workloads), len(PANELS), figsize=(13, 4 * len(workloads)), squeeze=False
    )
    for line, workload in zip(axes, workloads, strict=True):
        for axis, (field, title) in zip(line, PANELS, strict=True):
            _draw_panel(axis, [row for row in plain if row.workload == workload], field)
            axis.set_title(f"{workload}: {title}")
    axes[0][0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def _draw_panel(axis: object, rows: list[Row], field: str) -> None:
    for policy in sorted({row.policy for row in rows}):
        points = sorted((row.load, getattr(row, field)) for row in rows if row.policy == policy)
        axis.plot([100 * x for x, _ in points], [y for _, y in points], "o-", label=policy)
    axis.set_xlabel("load, % of capacity")
    axis.set_ylim(bottom=0 if field == "wasted_per_task" else None)
    axis.grid(alpha=0.3)
