"""Failing workers: how they are told from failing tasks, ejected and probed back."""

import random
from collections import deque

__all__ = ["FailureTracker", "may_eject"]

WINDOW_ENDS = 16
MIN_ENDS = 6
MIN_JOBS = 2
FAILING_SHARE = 0.8
HEALTHY_RATIO = 0.5
EJECTED_SHARE_MAX = 1 / 3
BACKOFF_FIRST_MS = 1000.0
BACKOFF_MAX_MS = 60_000.0
FORGIVE_AFTER_OK = 20


class FailureTracker:
    """Recent ends of one worker's attempts, and whether it is ejected.

    An ejected worker gets no work until its backoff has passed, then one task at a time: a
    success restores it, a failure doubles the backoff.

    Examples:
        >>> tracker = FailureTracker(random.Random(1))
        >>> for number in range(6):
        ...     tracker.note(False, f"job{number}")
        >>> tracker.failing
        True
    """

    __slots__ = ("ejected", "probe_at_ms", "_ends", "_level", "_ok_in_row", "_random")

    def __init__(self, rng: random.Random) -> None:
        self.ejected = False
        self.probe_at_ms = 0.0
        self._ends: deque[tuple[bool, str]] = deque(maxlen=WINDOW_ENDS)
        self._level = 0
        self._ok_in_row = 0
        self._random = rng

    @property
    def ends(self) -> int:
        """How many recent ends are known."""
        return len(self._ends)

    @property
    def failed_share(self) -> float:
        """Share of the recent ends that are failures."""
        if not self._ends:
            return 0.0
        return sum(not ok for ok, _ in self._ends) / len(self._ends)

    @property
    def failing(self) -> bool:
        """Whether nearly everything fails, and not in one job alone."""
        if len(self._ends) < MIN_ENDS or self.failed_share < FAILING_SHARE:
            return False
        return len({job for ok, job in self._ends if not ok}) >= MIN_JOBS

    def note(self, ok: bool, job: str) -> None:
        """Note the end of an attempt."""
        self._ends.append((ok, job))
        self._ok_in_row = self._ok_in_row + 1 if ok else 0
        if self._ok_in_row >= FORGIVE_AFTER_OK:
            self._level = 0

    def eject(self, now_ms: float) -> None:
        """Give the worker no work for a backoff with jitter, twice as long each time."""
        backoff_ms = min(BACKOFF_MAX_MS, BACKOFF_FIRST_MS * 2**self._level)
        self.ejected = True
        self.probe_at_ms = now_ms + backoff_ms * self._random.uniform(0.75, 1.25)
        self._level += 1

    def restore(self) -> None:
        """Give the worker work again."""
        self.ejected = False
        self._ends.clear()


def may_eject(tracker: FailureTracker, others: list[FailureTracker]) -> bool:
    """Whether a failing worker may be ejected beside the other workers of its service.

    Not where the failures are spread over all workers, since then the tasks are at fault, and
    not where a third of the workers are ejected already; one may be in any case.
    """
    if not tracker.failing:
        return False
    ejected = sum(other.ejected for other in others)
    if ejected and ejected + 1 > (len(others) + 1) * EJECTED_SHARE_MAX:
        return False
    healthy_share = tracker.failed_share * HEALTHY_RATIO
    return any(
        other.ends >= MIN_ENDS and other.failed_share <= healthy_share
        for other in others
        if not other.ejected
    )
