"""Interference policies: which kinds of tasks slow each other down when they share a worker."""

import math
from collections.abc import Callable, Hashable, Mapping
from collections.abc import Set as AbstractSet

from camphorchute.policies.interference_evidence import (
    EARLY_PART,
    InterferenceChange,
    KindEvidence,
    NeighbourShare,
    PairEvidence,
    WorkerLevel,
)
from camphorchute.policies.registry import PolicyRegistry

__all__ = [
    "EARLY_PART",
    "INTERFERENCE_POLICIES",
    "InterferenceChange",
    "LearnedInterference",
    "NeighbourShare",
]

BESIDE_EARLY_MIN, BESIDE_MIN, APART_MAX = 0.6, 0.5, 0.2
FORGET_AFTER_MS = 180_000.0
FORGET_CHECK_MS = 1000.0
EVIDENCE_RUNS_MIN = 20.0
ERRORS_ALLOWED = 3.0
FOUND_WEIGHT_MAX = 40.0  # so that the end of an effect outweighs the evidence of its time
# The lower bound has to exceed both. Delays within the scheduler's process are part of a measured
# run time and grow with the load, as the number of neighbours does.
SLOWDOWN_MIN_LOG = math.log(1.15)
DELAY_MIN_MS = 15.0
CLIP_LOG = 1.2  # bounds the weight of the 3 % of the tasks that take 7 times as long
CLIPPED_FROM_RUNS = 5
KINDS_MAX, WORKERS_MAX = 64, 2000


class LearnedInterference:
    """Estimates of how much longer runs take beside a kind of task than otherwise.

    The figure is the logarithm of measured to declared run time, less the level of the worker: a
    decaying mean over its runs of all kinds, each relative to its kind. So neither the speed of a
    worker nor a wrong declaration of a queue counts as interference. Which sort a run belongs to
    follows from the first part of its expected time: the neighbours of the whole run depend on how
    long it took. Runs beside the neighbour must have had it for most of their time as well, which
    leaves out long ones only, so it can hide an effect and not feign one.

    Examples:
        >>> interference = LearnedInterference()
        >>> beside = {"scan": NeighbourShare(1.0, 1.0)}
        >>> for number in range(100):
        ...     _ = interference.record_run("check", "w1", 100.0, 100.0, {}, 1.0, 20.0 * number)
        ...     _ = interference.record_run("check", "w1", 160.0, 100.0, beside, 1.0, 20.0 * number)
        >>> interference.conflicting_kinds("check"), interference.conflicting_kinds("scan")
        ({'scan'}, {'check'})
    """

    __slots__ = ("_kinds", "_levels", "_found", "_conflicts", "_checked_ms")

    def __init__(self) -> None:
        self._kinds: dict[str, KindEvidence] = {}
        self._levels: dict[Hashable, WorkerLevel] = {}
        self._found: dict[tuple[str, str], PairEvidence] = {}
        self._conflicts: dict[str, set[str]] = {}
        self._checked_ms = 0.0

    def conflicting_kinds(self, kind: str) -> AbstractSet[str]:
        """Return the kinds that slow a kind down, or that it slows down."""
        return self._conflicts.get(kind, frozenset())

    def is_explained(self, kind: str, neighbours: Mapping[str, NeighbourShare]) -> bool:
        """Return whether a kind known to slow down a run was beside it.

        Args:
            kind: kind of the run's task.
            neighbours: what ran beside the run, by kind.
        """
        return bool(self._found) and any(
            max(share.early, share.whole) >= APART_MAX and (kind, neighbour) in self._found
            for neighbour, share in neighbours.items()
        )

    def record_run(
        self,
        kind: str,
        worker_key: Hashable,
        run_ms: float,
        declared_ms: float,
        neighbours: Mapping[str, NeighbourShare],
        weight: float,
        now_ms: float,
    ) -> list[InterferenceChange]:
        """Record a run that was done; return the pairs that were found or forgotten.

        Args:
            kind: kind of the run's task.
            worker_key: identifies the worker.
            run_ms: measured run time.
            declared_ms: declared run time at speed 1.0.
            neighbours: what ran beside the run, by kind; its own kind is ignored.
            weight: 1 for a run that is independent of others, less for one of several tasks of a
                job, whose declared times are wrong by the same factor.
            now_ms: time of the caller's clock in milliseconds.
        """
        changes = self._forget_old(now_ms)
        record = self._kind(kind, now_ms)
        if record is None or run_ms <= 0 or declared_ms <= 0:
            return changes
        level = self._level(worker_key)
        figure = math.log(run_ms / declared_ms) - level.value
        if record.runs >= CLIPPED_FROM_RUNS:
            figure = min(record.center + CLIP_LOG, max(record.center - CLIP_LOG, figure))
        is_explained = self.is_explained(kind, neighbours)
        if is_explained:
            neighbours = {
                name: neighbours[name] for name in neighbours if (kind, name) in self._found
            }
        else:
            record.record_center(figure)
            level.record(figure - record.center)
        if not level.is_settled:
            return changes
        if not is_explained:
            record.all.decay(now_ms).add(figure, weight)
        expected_ms = declared_ms * math.exp(record.center + level.value)
        for neighbour in _add_to_pairs(record, kind, neighbours, figure, weight, now_ms):
            changes += self._judge(kind, record, neighbour, expected_ms, now_ms)
        return changes

    def _level(self, worker_key: Hashable) -> WorkerLevel:
        level = self._levels.pop(worker_key, None) or WorkerLevel()
        if len(self._levels) >= WORKERS_MAX:
            del self._levels[next(iter(self._levels))]
        self._levels[worker_key] = level
        return level

    def _kind(self, kind: str, now_ms: float) -> KindEvidence | None:
        """Return the record of a kind, None if there is no place for another one."""
        record = self._kinds.pop(kind, None)
        if record is None:
            if len(self._kinds) >= KINDS_MAX:
                slowed = {slowed for slowed, _ in self._found}
                oldest = next((name for name in self._kinds if name not in slowed), None)
                if oldest is None:
                    return None
                del self._kinds[oldest]
            record = KindEvidence(now_ms)
        self._kinds[kind] = record
        return record

    def _judge(
        self, kind: str, record: KindEvidence, neighbour: str, expected_ms: float, now_ms: float
    ) -> list[InterferenceChange]:
        """Find or forget a pair by the figures of its runs."""
        pair = record.pairs.get(neighbour)
        if pair is None:
            return []
        beside, other = pair.beside, record.other_runs(pair, now_ms)
        if other.runs < EVIDENCE_RUNS_MIN:
            return []
        difference = beside.mean() - other.mean()
        error = math.sqrt(beside.squared_error() + other.squared_error())
        if pair.is_found:
            if difference + error >= SLOWDOWN_MIN_LOG:
                return []
            return [self._forget(kind, neighbour, now_ms)]
        lower_bound = difference - ERRORS_ALLOWED * error
        if (
            beside.runs < EVIDENCE_RUNS_MIN
            or lower_bound < SLOWDOWN_MIN_LOG
            or math.expm1(lower_bound) * expected_ms < DELAY_MIN_MS
        ):
            return []
        pair.is_found = True
        record.all.subtract(beside)
        # Runs beside two kinds were counted for both; the other pairs need new evidence.
        record.pairs = {name: kept for name, kept in record.pairs.items() if kept.is_found}
        self._found[kind, neighbour] = pair
        self._update_conflicts()
        return [InterferenceChange(kind, neighbour, True, beside, other)]

    def _forget_old(self, now_ms: float) -> list[InterferenceChange]:
        """Forget the pairs without evidence for a while; they are looked at once a second."""
        if not self._found or now_ms - self._checked_ms < FORGET_CHECK_MS:
            return []
        self._checked_ms = now_ms
        old = [
            key
            for key, pair in self._found.items()
            if now_ms - pair.last_beside_ms > FORGET_AFTER_MS
        ]
        return [self._forget(kind, neighbour, now_ms) for kind, neighbour in old]

    def _forget(self, kind: str, neighbour: str, now_ms: float) -> InterferenceChange:
        record, pair = self._kinds[kind], self._found.pop((kind, neighbour))
        other = record.other_runs(pair, now_ms)
        del record.pairs[neighbour]
        self._update_conflicts()
        return InterferenceChange(kind, neighbour, False, pair.beside.decay(now_ms), other)

    def _update_conflicts(self) -> None:
        self._conflicts = {}
        for kind, neighbour in self._found:
            self._conflicts.setdefault(kind, set()).add(neighbour)
            self._conflicts.setdefault(neighbour, set()).add(kind)


def _add_to_pairs(
    record: KindEvidence,
    kind: str,
    neighbours: Mapping[str, NeighbourShare],
    figure: float,
    weight: float,
    now_ms: float,
) -> list[str]:
    """Add a run to the pairs with its neighbours; return those that it was beside."""
    updated = []
    for neighbour, share in neighbours.items():
        if neighbour == kind or share.early < APART_MAX:
            continue
        pair = record.pair(neighbour, now_ms)
        if pair is None:
            continue
        if share.early >= BESIDE_EARLY_MIN and share.whole >= BESIDE_MIN:
            pair.beside.decay(now_ms).add(figure, weight)
            pair.last_beside_ms = now_ms
            if pair.is_found:
                pair.beside.limit(FOUND_WEIGHT_MAX)
            updated.append(neighbour)
        elif not pair.is_found:
            pair.unclear.decay(now_ms).add(figure, weight)
    return updated


InterferencePolicy = Callable[[], LearnedInterference | None]
INTERFERENCE_POLICIES: PolicyRegistry[InterferencePolicy] = PolicyRegistry("interference")
INTERFERENCE_POLICIES.register("learned")(LearnedInterference)


@INTERFERENCE_POLICIES.register("off")
def track_nothing() -> None:
    """Return None: nothing is learned, and no task is kept apart from others.

    Examples:
        >>> track_nothing() is None
        True
    """
    return None
