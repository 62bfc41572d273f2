"""Times after which callers that were refused are asked to return, one after the other."""

import math
import random

from camphorchute.retry_after import spread_retry_after_ms

__all__ = ["ReturnTimes"]

HALF_LIFE_S = 1.5
RETURN_SHARE = 0.5  # of the jobs that are worked off; new callers come as well
DRAIN_MAX_MS = 5000.0
QUEUE_MAX_MS = 10_000.0  # later, the load is likely to be another one
MS_PER_S = 1000.0


class ReturnTimes:
    """Spreads the return of refused callers by the rate at which this process works off its jobs.

    Each refused caller takes a place in a virtual queue that is served at a share of that rate, and
    is asked to return when its turn comes, not before the expected wait is over, and with a random
    part on top. All times of the clock are in seconds.

    Examples:
        >>> returns = ReturnTimes()
        >>> for _ in range(20):
        ...     returns.record_ended(tasks=4, now_s=1.0)
        >>> 500 < returns.drain_ms(open_tasks=20, now_s=1.0) < 600
        True
        >>> returns.drain_ms(open_tasks=20, now_s=60.0)
        5000.0
    """

    __slots__ = ("_jobs", "_tasks", "_decayed_s", "_last_turn_s")

    def __init__(self) -> None:
        self._jobs = self._tasks = 0.0
        self._decayed_s = 0.0
        self._last_turn_s = -math.inf

    def record_ended(self, tasks: int, now_s: float) -> None:
        """Record that a job has ended.

        Args:
            tasks: its number of tasks.
            now_s: the present time.
        """
        self._decay(now_s)
        self._jobs += 1
        self._tasks += tasks

    def drain_ms(self, open_tasks: int, now_s: float) -> float:
        """Return the expected time until the open tasks are worked off, in milliseconds.

        Args:
            open_tasks: number of open tasks.
            now_s: the present time.
        """
        self._decay(now_s)
        tasks_per_s = self._tasks * math.log(2) / HALF_LIFE_S
        if not open_tasks:
            return 0.0
        return min(DRAIN_MAX_MS, MS_PER_S * open_tasks / max(1e-6, tasks_per_s))

    def next_ms(self, wait_ms: float, now_s: float) -> int:
        """Return after how many milliseconds the next refused caller is asked to return.

        Args:
            wait_ms: time until its job is expected to be accepted, 0 if it is not known.
            now_s: the present time.
        """
        self._decay(now_s)
        jobs_per_s = self._jobs * math.log(2) / HALF_LIFE_S
        self._last_turn_s = max(self._last_turn_s, now_s)
        if jobs_per_s >= 1.0:
            self._last_turn_s += 1 / (RETURN_SHARE * jobs_per_s)
        turn_ms = (self._last_turn_s - now_s) * MS_PER_S
        if turn_ms > QUEUE_MAX_MS:
            self._last_turn_s = now_s + QUEUE_MAX_MS / MS_PER_S
            turn_ms = random.uniform(0.0, QUEUE_MAX_MS)
        later_ms = max(0.0, turn_ms - wait_ms)
        return round(later_ms) + spread_retry_after_ms(wait_ms)

    def _decay(self, now_s: float) -> None:
        factor = 0.5 ** (max(0.0, now_s - self._decayed_s) / HALF_LIFE_S)
        self._jobs *= factor
        self._tasks *= factor
        self._decayed_s = max(self._decayed_s, now_s)
