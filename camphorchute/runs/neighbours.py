"""Neighbours of runs: which kinds of tasks ran beside a run on its worker, and for how long."""

from collections.abc import Hashable, Iterable

from camphorchute.policies.interference import EARLY_PART, NeighbourShare

__all__ = ["NeighbourHistory"]

ENDED_RUNS_MAX = 64
WORKERS_MAX = 2000
Interval = tuple[float, float]


class _EndedRuns:
    """Runs that have ended on a worker since its oldest active run started.

    Attributes:
        intervals: kind, start and end of each run, in the order of their ends.
        complete_from_s: time since when no run is missing.
    """

    __slots__ = ("intervals", "complete_from_s")

    def __init__(self) -> None:
        self.intervals: list[tuple[str, float, float]] = []
        self.complete_from_s = float("-inf")


class NeighbourHistory:
    """The runs that ended on each worker while others were active there.

    A worker without an active run has no entry, so memory follows from the active runs. All times
    are in seconds of one clock, which the caller reads.

    Examples:
        >>> history = NeighbourHistory()
        >>> _ = history.record_end("w1", "scan", 0.0, 0.5, 0.5, [("check", 0.0)])
        >>> shares = history.record_end("w1", "check", 0.0, 1.0, 1.0, [])
        >>> shares["scan"].early, shares["scan"].whole
        (1.0, 0.5)
    """

    __slots__ = ("_ended",)

    def __init__(self) -> None:
        self._ended: dict[Hashable, _EndedRuns] = {}

    def __len__(self) -> int:
        return len(self._ended)

    def record_end(
        self,
        worker_key: Hashable,
        kind: str,
        started_s: float,
        ended_s: float,
        expected_s: float,
        active: Iterable[tuple[str, float]],
    ) -> dict[str, NeighbourShare] | None:
        """Record the end of a run; return what ran beside it by kind, None if that is not known.

        Args:
            worker_key: identifies the worker.
            kind: kind of the run's task.
            started_s: time of its start.
            ended_s: time of its end.
            expected_s: its expected run time on this worker.
            active: kind and start of each run that is active on the worker now.
        """
        active = list(active)
        ended = self._ended.pop(worker_key, None) or _EndedRuns()
        shares = None
        if started_s >= ended.complete_from_s:
            beside = ended.intervals + [(other, start, ended_s) for other, start in active]
            shares = _shares(beside, started_s, ended_s, EARLY_PART * expected_s)
        if active:
            self._keep(worker_key, ended, (kind, started_s, ended_s), min(s for _, s in active))
        return shares

    def _keep(
        self, worker_key: Hashable, ended: _EndedRuns, run: tuple[str, float, float], since_s: float
    ) -> None:
        """Keep a run and the earlier ones that an active run may have been beside."""
        if len(self._ended) >= WORKERS_MAX:
            del self._ended[next(iter(self._ended))]
        ended.intervals = [kept for kept in (*ended.intervals, run) if kept[2] > since_s]
        if len(ended.intervals) > ENDED_RUNS_MAX:
            ended.complete_from_s = ended.intervals.pop(0)[2]
        self._ended[worker_key] = ended


def _shares(
    beside: list[tuple[str, float, float]], started_s: float, ended_s: float, early_s: float
) -> dict[str, NeighbourShare]:
    by_kind: dict[str, list[Interval]] = {}
    for kind, start_s, end_s in beside:
        if end_s > started_s and start_s < ended_s:
            by_kind.setdefault(kind, []).append((start_s, end_s))
    early_until_s = min(ended_s, started_s + early_s)
    return {
        kind: NeighbourShare(
            _covered_share(intervals, started_s, early_until_s),
            _covered_share(intervals, started_s, ended_s),
        )
        for kind, intervals in by_kind.items()
    }


def _covered_share(intervals: list[Interval], from_s: float, until_s: float) -> float:
    """Return the share of a period that intervals cover; overlaps count once.

    Examples:
        >>> _covered_share([(0.0, 2.0), (1.0, 3.0), (5.0, 9.0)], 1.0, 6.0)
        0.6
    """
    if until_s <= from_s:
        return 0.0
    covered_s, reached_s = 0.0, from_s
    for start_s, end_s in sorted(intervals):
        start_s, end_s = max(start_s, reached_s), min(end_s, until_s)
        if end_s > start_s:
            covered_s += end_s - start_s
            reached_s = end_s
    return covered_s / (until_s - from_s)
