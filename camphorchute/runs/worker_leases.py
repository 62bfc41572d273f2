"""Leases of the runs on one worker, on the worker's clock and on that of this process."""

from __future__ import annotations

import time

from camphorchute.runs.late_commands import LATE_ARRIVAL_MAX_S, LATE_ARRIVAL_MIN_S

__all__ = [
    "LEASE_MS",
    "LONGEST_LEASE_MS",
    "ORPHAN_GRACE_MS",
    "SILENT_BEYOND_LEASES_MS",
    "WorkerLeases",
]

LEASE_MS = 850.0
LEASE_MAX_MS = 1000.0  # of an earlier version
CLOCK_DRIFT_RATIO = 0.02
LEASE_MARGIN_MS = 80.0
CLOCK_DOUBT_MAX_MS = 0.1 * LEASE_MS
CLOCK_AGE_MAX_MS = CLOCK_DOUBT_MAX_MS / CLOCK_DRIFT_RATIO
LONGEST_LEASE_MS = LEASE_MAX_MS * (1 + CLOCK_DRIFT_RATIO) + LEASE_MARGIN_MS
ORPHAN_GRACE_MS = 300.0  # short, as the caller of a job that has ended repeats it after 1.3 s
SILENCE_MARGIN_MS = 1000.0
# After which a silent worker has no run left, whoever has sent it commands before.
SILENT_BEYOND_LEASES_MS = LATE_ARRIVAL_MAX_S * 1000.0 + LONGEST_LEASE_MS + SILENCE_MARGIN_MS
MS_PER_S = 1000.0


class WorkerLeases:
    """The leases of the runs on a worker, whoever granted them.

    A lease ends at a time of the worker's clock. That is estimated from the last reading, at the
    low end of the permitted drift, so a lease that is granted on an old reading is short or has
    expired already. Callers read the clock again unless :meth:`is_clock_recent`.

    Attributes:
        expiry_s: monotonic time in seconds by which every lease known here has expired,
            also if the worker's clock is slow.
        in_force_until_s: monotonic time in seconds until which runs that start now may go on, as
            a lease applies to every run of the worker. It includes the leases of another scheduler
            once the worker has listed its runs under the fencing token in force.

    Examples:
        >>> leases = WorkerLeases()
        >>> leases.is_clock_recent()
        False
        >>> leases.read_clock(5000.0)
        >>> leases.is_clock_recent()
        True
        >>> 5800.0 <= leases.grant() < 5900.0
        True
        >>> shorter = WorkerLeases()
        >>> shorter.read_clock(5000.0)
        >>> shorter.grant(time.monotonic() + 0.5) < 5600.0
        True
        >>> leases.expiry_s > time.monotonic()
        True
    """

    __slots__ = (
        "expiry_s",
        "in_force_until_s",
        "_clock_ms",
        "_clock_read_s",
        "_is_clock_known",
        "_granted_until_ms",
        "_unanswered_s",
    )

    def __init__(self) -> None:
        self.expiry_s = 0.0
        self.in_force_until_s = 0.0
        self._granted_until_ms = 0.0
        self._clock_ms = 0.0
        self._clock_read_s = 0.0
        self._is_clock_known = False
        self._unanswered_s: list[float] = []

    def read_clock(self, clock_ms: float) -> None:
        """Record a reading of the worker's clock that was just received."""
        self._clock_ms = clock_ms
        self._clock_read_s = time.monotonic()
        self._is_clock_known = True

    def discard_clock(self) -> None:
        """Forget the last reading of the worker's clock, since a refusal shows that it is wrong."""
        self._is_clock_known = False

    def is_clock_recent(self) -> bool:
        """Whether a lease can be granted on the last reading of the worker's clock."""
        return self._is_clock_known and self.clock_age_ms() <= CLOCK_AGE_MAX_MS

    def clock_age_ms(self) -> float:
        """Return how long ago the worker's clock was read, in milliseconds."""
        return (time.monotonic() - self._clock_read_s) * MS_PER_S

    def grant(self, end_s: float = float("inf")) -> float:
        """Return the time on the worker's clock until which a lease granted now lasts.

        Args:
            end_s: monotonic time in seconds beyond which the lease is not extended.
        """
        now_s = time.monotonic()
        lease_ms = min(LEASE_MS, (end_s - now_s) * MS_PER_S)
        self._granted_until_ms = max(self._granted_until_ms, self._worker_now_ms() + lease_ms)
        self.in_force_until_s = max(self.in_force_until_s, now_s + lease_ms / MS_PER_S)
        self.record_active()
        return self._granted_until_ms

    def granted_until_ms(self) -> float:
        """Return the time on the worker's clock until which the last lease granted here lasts."""
        return self._granted_until_ms

    def granted_ms(self) -> float:
        """Return for how long that lease lasts from now on, 0 if it has expired."""
        return max(0.0, self._granted_until_ms - self._worker_now_ms())

    def record_active(self) -> None:
        """Record that runs may have a lease that was granted until now, by any scheduler."""
        self.expiry_s = max(self.expiry_s, time.monotonic() + LONGEST_LEASE_MS / MS_PER_S)

    def record_other_scheduler(self) -> None:
        """Record that another scheduler may have granted leases until now."""
        until_s = time.monotonic() + LEASE_MAX_MS / MS_PER_S
        self.in_force_until_s = max(self.in_force_until_s, until_s)

    def record_unanswered(self, sent_s: float) -> None:
        """Record that a command that grants leases has no answer.

        Args:
            sent_s: monotonic time at which it was sent, in seconds.
        """
        since_s = time.monotonic() - LATE_ARRIVAL_MAX_S
        recent = [earlier_s for earlier_s in self._unanswered_s if earlier_s > since_s]
        self._unanswered_s[:] = [*recent, sent_s]

    def take_unanswered(self, earlier: WorkerLeases) -> None:
        """Count the commands without an answer of earlier leases of the worker, from now on too.

        They name the id of the worker, so that the next incarnation may carry them out.

        Args:
            earlier: those leases.
        """
        earlier._unanswered_s += self._unanswered_s
        self._unanswered_s = earlier._unanswered_s

    def latest_expiry_s(self) -> float:
        """Return by when every lease has expired, also if unanswered commands renew them late.

        Each of them can renew the leases once, if it arrives before they have expired. Those sent
        since the worker fell silent arrive at once or too late, unless an earlier one has arrived.

        Examples:
            >>> leases = WorkerLeases()
            >>> leases.record_active()
            >>> leases.record_unanswered(time.monotonic())
            >>> leases.latest_expiry_s() == leases.expiry_s
            True
            >>> leases.record_unanswered(time.monotonic() - 1.5)
            >>> leases.latest_expiry_s() > leases.expiry_s
            True
        """
        expiry_s = self.expiry_s
        for sent_s in sorted(self._unanswered_s):
            if sent_s + LATE_ARRIVAL_MIN_S < expiry_s:
                arrival_s = min(sent_s + LATE_ARRIVAL_MAX_S, expiry_s)
                expiry_s = max(expiry_s, arrival_s + LONGEST_LEASE_MS / MS_PER_S)
        return expiry_s

    def remaining_ms(self) -> float:
        """Return the time until the runs of a worker that does not answer have ended.

        Another scheduler may reach the worker meanwhile, but renews no lease there before owners
        have asked it for every run.
        """
        return max(0.0, (self.latest_expiry_s() - time.monotonic()) * MS_PER_S)

    def _worker_now_ms(self) -> float:
        """Return the time on the worker's clock, which may be later if that clock is exact."""
        return self._clock_ms + self.clock_age_ms() * (1 - CLOCK_DRIFT_RATIO)
