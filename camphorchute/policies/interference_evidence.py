"""Evidence on the interference of kinds of tasks: figures of their runs, which decay with time."""

import math
from typing import Self

__all__ = [
    "EARLY_PART",
    "DecayingMoments",
    "InterferenceChange",
    "KindEvidence",
    "NeighbourShare",
    "PairEvidence",
    "WorkerLevel",
]

EARLY_PART = 0.3  # of the expected run time; few runs are shorter than that
HALF_LIFE_MS = 60_000.0
DEVIATION_MIN_LOG = 0.1
NEIGHBOURS_MAX = 16
CENTER_WEIGHT_MIN = 0.02
LEVEL_WEIGHT_MIN, LEVEL_PRIOR_RUNS, LEVEL_RUNS_MIN = 0.05, 5, 10
DRIFT_WEIGHT, DRIFT_MAX_LOG = 0.25, 0.5


class DecayingMoments:
    """Number, mean and variance of a figure; the weight of each value halves with time."""

    __slots__ = ("runs", "weight", "total", "squares", "updated_ms")

    def __init__(self, now_ms: float) -> None:
        self.runs = self.weight = self.total = self.squares = 0.0
        self.updated_ms = now_ms

    def decay(self, now_ms: float) -> Self:
        """Reduce the weight of all values to that at a time, and return these moments."""
        if now_ms > self.updated_ms:
            self._scale(0.5 ** ((now_ms - self.updated_ms) / HALF_LIFE_MS))
            self.updated_ms = now_ms
        return self

    def limit(self, weight: float) -> None:
        """Reduce the weight of all values so that their sum is at most a limit."""
        if self.weight > weight:
            self._scale(weight / self.weight)

    def _scale(self, factor: float) -> None:
        self.runs *= factor
        self.weight *= factor
        self.total *= factor
        self.squares *= factor

    def add(self, value: float, weight: float) -> None:
        """Add the figure of one run."""
        self.runs += 1
        self.weight += weight
        self.total += weight * value
        self.squares += weight * value * value

    def subtract(self, other: Self) -> None:
        """Remove the values of other moments, which were decayed to the same time."""
        self.runs -= other.runs
        self.weight -= other.weight
        self.total -= other.total
        self.squares -= other.squares

    def mean(self) -> float:
        """Return the mean, 0 without values."""
        return self.total / self.weight if self.weight > 0 else 0.0

    def squared_error(self) -> float:
        """Return the squared standard error of the mean."""
        if self.weight <= 0:
            return math.inf
        variance = max(DEVIATION_MIN_LOG**2, self.squares / self.weight - self.mean() ** 2)
        return variance / self.weight


class NeighbourShare:
    """How much of a run a kind of task ran beside it.

    Attributes:
        early: share of the first part of the run, :data:`EARLY_PART` of its expected time.
        whole: share of the whole run.
    """

    __slots__ = ("early", "whole")

    def __init__(self, early: float, whole: float) -> None:
        self.early = early
        self.whole = whole


class InterferenceChange:
    """A pair that was found to interfere, or that no longer counts as such.

    Attributes:
        kind: the kind that is slowed down.
        neighbour: the kind that slows it down.
        is_found: whether the pair was found; it is forgotten otherwise.
        beside_ratio: run time beside the neighbour, divided by the declared one.
        other_ratio: run time of other runs of the kind, divided by the declared one.
        beside_runs: number of runs beside the neighbour, decayed.
        other_runs: number of other runs, decayed.
    """

    __slots__ = (
        "kind",
        "neighbour",
        "is_found",
        "beside_ratio",
        "other_ratio",
        "beside_runs",
        "other_runs",
    )

    def __init__(
        self,
        kind: str,
        neighbour: str,
        is_found: bool,
        beside: DecayingMoments,
        other: DecayingMoments,
    ) -> None:
        self.kind = kind
        self.neighbour = neighbour
        self.is_found = is_found
        self.beside_ratio = math.exp(beside.mean())
        self.other_ratio = math.exp(other.mean())
        self.beside_runs = beside.runs
        self.other_runs = other.runs


class WorkerLevel:
    """How much longer runs take on a worker than elsewhere, as a logarithm.

    Attributes:
        value: decaying mean over its runs of all kinds, each relative to its kind.
        is_settled: whether the recent runs are as the level says. Runs on a worker that has just
            turned slow are no evidence for interference: such a worker also has more neighbours.
    """

    __slots__ = ("value", "is_settled", "_runs", "_drift")

    def __init__(self) -> None:
        self.value = 0.0
        self.is_settled = False
        self._runs = 0
        self._drift = 0.0

    def record(self, residual: float) -> None:
        """Record how far the figure of a run is from its kind and this level."""
        weight = max(LEVEL_WEIGHT_MIN, 1 / (self._runs + LEVEL_PRIOR_RUNS))
        if abs(self._drift) > DRIFT_MAX_LOG:
            weight = DRIFT_WEIGHT
        self.value += weight * residual
        self._runs += 1
        self._drift += DRIFT_WEIGHT * (residual - self._drift)
        self.is_settled = self._runs >= LEVEL_RUNS_MIN and abs(self._drift) <= DRIFT_MAX_LOG


class PairEvidence:
    """Runs of a kind beside a neighbour of another kind.

    Attributes:
        beside: runs that had the neighbour for most of their time.
        unclear: runs that had it for a part.
        last_beside_ms: time of the latest run in ``beside``.
        is_found: whether the neighbour is known to slow down the kind.
    """

    __slots__ = ("beside", "unclear", "last_beside_ms", "is_found")

    def __init__(self, now_ms: float) -> None:
        self.beside = DecayingMoments(now_ms)
        self.unclear = DecayingMoments(now_ms)
        self.last_beside_ms = now_ms
        self.is_found = False


class KindEvidence:
    """Runs of one kind.

    Attributes:
        all: runs that no pair which was found explains.
        center: decaying mean of their figures, also on workers whose level has not settled.
        runs: number of runs in ``center``.
        pairs: the pairs of the kind, by the kind of the neighbour.
    """

    __slots__ = ("all", "center", "runs", "pairs")

    def __init__(self, now_ms: float) -> None:
        self.all = DecayingMoments(now_ms)
        self.center = 0.0
        self.runs = 0
        self.pairs: dict[str, PairEvidence] = {}

    def record_center(self, figure: float) -> None:
        """Record the figure of a run in the decaying mean."""
        self.runs += 1
        self.center += max(CENTER_WEIGHT_MIN, 1 / self.runs) * (figure - self.center)

    def pair(self, neighbour: str, now_ms: float) -> PairEvidence | None:
        """Return the pair with a neighbour, None if there is no place for another one."""
        pair = self.pairs.pop(neighbour, None)
        if pair is None:
            if len(self.pairs) >= NEIGHBOURS_MAX:
                oldest = next((name for name, old in self.pairs.items() if not old.is_found), None)
                if oldest is None:
                    return None
                del self.pairs[oldest]
            pair = PairEvidence(now_ms)
        self.pairs[neighbour] = pair
        return pair

    def other_runs(self, pair: PairEvidence, now_ms: float) -> DecayingMoments:
        """Return the runs that were not beside a pair's neighbour."""
        other = DecayingMoments(now_ms)
        all_runs = self.all.decay(now_ms)
        other.runs, other.weight = all_runs.runs, all_runs.weight
        other.total, other.squares = all_runs.total, all_runs.squares
        other.subtract(pair.unclear.decay(now_ms))
        if not pair.is_found:
            other.subtract(pair.beside.decay(now_ms))
        return other
