"""Outlier ejection: detects workers that fail nearly every task, ejects and probes them."""

import random
from collections import deque

__all__ = ["FailureTracker", "is_ejected_share_reached", "may_eject"]

WINDOW_OUTCOMES = 16
MIN_OUTCOMES = 6
MIN_FAILED_JOBS = 2
FAILING_SHARE = 0.8
HEALTHY_SHARE_RATIO = 0.5
EJECTED_SHARE_MAX = 1 / 3
BACKOFF_FIRST_MS = 1000.0
BACKOFF_MAX_MS = 60_000.0
RESET_AFTER_SUCCESSES = 20


class FailureTracker:
    """Recent outcomes of one worker's attempts, and whether the worker is ejected.

    An ejected worker gets no work until its backoff has passed, then one task at a time as a
    probe: a success restores it, a failure doubles the backoff.

    Attributes:
        ejected: whether the worker is ejected.
        ejected_at_ms: monotonic time of its last ejection.
        last_success_ms: monotonic time of the last success that was recorded with its time.
        probe_at_ms: monotonic time from which an ejected worker may be probed.

    Examples:
        >>> tracker = FailureTracker(random.Random(1))
        >>> for number in range(6):
        ...     tracker.record_outcome(False, f"job{number}")
        >>> tracker.failing
        True
    """

    __slots__ = (
        "ejected",
        "ejected_at_ms",
        "last_success_ms",
        "probe_at_ms",
        "_outcomes",
        "_backoff_level",
        "_successes_in_row",
        "_random",
    )

    def __init__(self, rng: random.Random) -> None:
        self.ejected = False
        self.ejected_at_ms = 0.0
        self.last_success_ms = 0.0
        self.probe_at_ms = 0.0
        self._outcomes: deque[tuple[bool, str]] = deque(maxlen=WINDOW_OUTCOMES)
        self._backoff_level = 0
        self._successes_in_row = 0
        self._random = rng

    @property
    def outcome_count(self) -> int:
        """Number of recent outcomes that are stored."""
        return len(self._outcomes)

    @property
    def failed_share(self) -> float:
        """Share of the recent outcomes that are failures, from 0 to 1."""
        if not self._outcomes:
            return 0.0
        return sum(not ok for ok, _ in self._outcomes) / len(self._outcomes)

    @property
    def failing(self) -> bool:
        """Whether nearly all recent outcomes are failures, and of more than one job."""
        if len(self._outcomes) < MIN_OUTCOMES or self.failed_share < FAILING_SHARE:
            return False
        return len({job for ok, job in self._outcomes if not ok}) >= MIN_FAILED_JOBS

    def record_outcome(self, ok: bool, job: str, now_ms: float = 0.0) -> None:
        """Store the outcome of an attempt of a job.

        Args:
            ok: whether it was a success.
            job: the job.
            now_ms: monotonic time, 0 if :meth:`makes_progress` is not used.
        """
        self._outcomes.append((ok, job))
        if ok:
            self.last_success_ms = now_ms
        self._successes_in_row = self._successes_in_row + 1 if ok else 0
        if self._successes_in_row >= RESET_AFTER_SUCCESSES:
            self._backoff_level = 0

    def eject(self, now_ms: float) -> None:
        """Give the worker no work for a backoff with jitter, doubled with each ejection."""
        backoff_ms = min(BACKOFF_MAX_MS, BACKOFF_FIRST_MS * 2**self._backoff_level)
        self.ejected = True
        self.ejected_at_ms = now_ms
        self.probe_at_ms = now_ms + backoff_ms * self._random.uniform(0.75, 1.25)
        self._backoff_level += 1

    def is_probe(self, started_ms: float) -> bool:
        """Return whether an attempt is a probe: it was started after the worker was ejected.

        Args:
            started_ms: monotonic time of the start of the attempt.

        Examples:
            >>> tracker = FailureTracker(random.Random(1))
            >>> tracker.eject(500.0)
            >>> tracker.is_probe(499.0), tracker.is_probe(1500.0)
            (False, True)
        """
        return self.ejected and started_ms > self.ejected_at_ms

    def makes_progress(self, since_ms: float) -> bool:
        """Return whether the worker is in use and has completed an attempt since a time.

        Args:
            since_ms: monotonic time.
        """
        return not self.ejected and self.last_success_ms > since_ms

    def restore(self) -> None:
        """Give the worker work again and clear its outcomes."""
        self.ejected = False
        self._outcomes.clear()


def may_eject(tracker: FailureTracker, others: list[FailureTracker]) -> bool:
    """Return whether a worker is failing and may be ejected.

    It may not if the failures are spread over all workers, since then the tasks are at fault. It
    may not either if more than a third of the workers would be ejected with it, unless no other
    one is ejected.

    Args:
        tracker: outcomes of the worker.
        others: outcomes of the other workers of its service.
    """
    if not tracker.failing:
        return False
    if is_ejected_share_reached(others):
        return False
    healthy_share = tracker.failed_share * HEALTHY_SHARE_RATIO
    return any(
        other.outcome_count >= MIN_OUTCOMES and other.failed_share <= healthy_share
        for other in others
        if not other.ejected
    )


def is_ejected_share_reached(others: list[FailureTracker]) -> bool:
    """Return whether no further worker may be ejected beside those that are.

    Args:
        others: outcomes of the other workers of the service.
    """
    ejected = sum(other.ejected for other in others)
    return bool(ejected) and ejected + 1 > (len(others) + 1) * EJECTED_SHARE_MAX
