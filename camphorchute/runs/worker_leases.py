"""Leases of the runs on one worker, on the worker's clock and on that of this process."""

import time

__all__ = ["LONGEST_LEASE_MS", "OTHER_SCHEDULER_MS", "WorkerLeases"]

LEASE_MS = 1000.0
CLOCK_DRIFT_RATIO = 0.02
LEASE_MARGIN_MS = 80.0
LONGEST_LEASE_MS = LEASE_MS * (1 + CLOCK_DRIFT_RATIO) + LEASE_MARGIN_MS
OTHER_SCHEDULER_MS = 800.0  # for which another scheduler may renew and then stop a run
MS_PER_S = 1000.0


class WorkerLeases:
    """The leases of the runs on a worker, whoever granted them.

    Attributes:
        expiry_s: monotonic time in seconds by which every lease known here has expired,
            also if the worker's clock is slow.

    Examples:
        >>> leases = WorkerLeases()
        >>> leases.read_clock(5000.0)
        >>> 6000.0 <= leases.grant() < 6100.0
        True
        >>> leases.expiry_s > time.monotonic()
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

    def grant(self) -> float:
        """Return the time on the worker's clock until which a lease granted now lasts."""
        since_ms = (time.monotonic() - self._clock_read_s) * MS_PER_S
        until_ms = self._clock_ms + since_ms * (1 - CLOCK_DRIFT_RATIO) + LEASE_MS
        self.record_active()
        return until_ms

    def record_active(self) -> None:
        """Record that runs may have a lease that was granted until now, by any scheduler."""
        self.expiry_s = max(self.expiry_s, time.monotonic() + LONGEST_LEASE_MS / MS_PER_S)

    def remaining_ms(self) -> float:
        """Return the time until the runs of a worker that does not answer have ended.

        Another scheduler may reach the worker meanwhile and renew its leases, until it stops the
        runs that no owner asks it for.
        """
        expiry_ms = (self.expiry_s - time.monotonic()) * MS_PER_S
        return max(0.0, expiry_ms + OTHER_SCHEDULER_MS)
