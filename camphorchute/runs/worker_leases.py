"""Leases of the runs on one worker, on the worker's clock and on that of this process."""

import time

__all__ = ["LONGEST_LEASE_MS", "WorkerLeases"]

LEASE_MS = 1000.0
CLOCK_DRIFT_RATIO = 0.02
LEASE_MARGIN_MS = 80.0
LONGEST_LEASE_MS = LEASE_MS * (1 + CLOCK_DRIFT_RATIO) + LEASE_MARGIN_MS
MS_PER_S = 1000.0


class WorkerLeases:
    """The leases granted to the runs of a worker.

    Attributes:
        expiry_s: time of the monotonic clock in seconds by which every lease granted so far has
            expired, also if the worker's clock is slow.

    Examples:
        >>> leases = WorkerLeases()
        >>> leases.read_clock(5000.0)
        >>> 6000.0 <= leases.until_ms() < 6100.0
        True
    """

    __slots__ = ("expiry_s", "_clock_ms", "_clock_read_s")

    def __init__(self) -> None:
        self.expiry_s = 0.0
        self._clock_ms = 0.0
        self._clock_read_s = 0.0

    def read_clock(self, clock_ms: float) -> None:
        """Record a reading of the worker's clock that was just received."""
        self._clock_ms = clock_ms
        self._clock_read_s = time.monotonic()

    def until_ms(self) -> float:
        """Return the time on the worker's clock until which a lease granted now lasts."""
        since_ms = (time.monotonic() - self._clock_read_s) * MS_PER_S
        return self._clock_ms + since_ms + LEASE_MS

    def extend(self) -> None:
        """Record that a command which grants a lease is about to be sent."""
        self.expiry_s = max(self.expiry_s, time.monotonic() + LONGEST_LEASE_MS / MS_PER_S)
