"""Plot of the share of jobs that are not served, by load pattern and policy."""

from pathlib import Path

__all__ = ["plot_unserved"]

BAR_WIDTH_ALL = 0.8


def plot_unserved(unserved: dict[str, dict[str, float]], path: Path) -> None:
    """Plot one group of bars for each pattern, one bar for each variant.

    Args:
        unserved: share of jobs not served, by variant and pattern.
        path: file to write; its suffix gives the format.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    patterns = list(next(iter(unserved.values())))
    figure, axes = pyplot.subplots(figsize=(13, 5))
    width = BAR_WIDTH_ALL / len(unserved)
    for number, (variant, shares) in enumerate(unserved.items()):
        positions = [index + number * width for index in range(len(patterns))]
        heights = [max(1e-4, shares[pattern]) for pattern in patterns]
        axes.bar(positions, heights, width, label=variant)
    axes.set_xticks([index + BAR_WIDTH_ALL / 2 for index in range(len(patterns))], patterns)
    axes.tick_params(axis="x", labelrotation=15)
    axes.set_yscale("log")
    axes.set_ylabel("share of jobs not served")
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=80)
