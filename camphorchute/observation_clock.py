"""A clock for judging others: it counts only the time in which this process could hear them.

The idea is that of local health awareness in failure detectors (Dadgar, Phillips and Currey,
"Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018): a process that is
late itself has no evidence against others.
"""

import time

__all__ = ["ObservationClock", "observation_clock"]

TICK_INTERVAL_MS = 50.0
LATENESS_ALLOWED_MS = 25.0
LATENESS_MAX_MS = 2000.0  # without further ticks the clock goes on, so that no time-out lasts
TRANSFER_BLOCK_MS = 150.0
TRANSFER_MAX_MS = 3000.0
MS_PER_S = 1000.0
TICK_ALLOWED_S = (TICK_INTERVAL_MS + LATENESS_ALLOWED_MS) / MS_PER_S


class ObservationClock:
    """A monotonic clock that stands still while this process cannot hear others.

    That is the case while its event loop is late, because the process was paused or has too little
    processor time, and while a large answer fills its network link. Whatever judges another process
    or a worker by its silence takes both times from this clock. A lease is not judged by it.

    The event loop has to call :meth:`tick` every :data:`TICK_INTERVAL_MS`. Until the first call the
    clock is the monotonic clock. It stands still for :data:`LATENESS_MAX_MS` of one delay at most.

    Examples:
        >>> clock = ObservationClock()
        >>> start_s = clock.now_s()
        >>> clock.now_s() >= start_s
        True
    """

    __slots__ = (
        "_unobserved_s",
        "_ticked_s",
        "_in_step_until_s",
        "_transfer_began_s",
        "_transfer_block_s",
    )

    def __init__(self) -> None:
        self._unobserved_s = 0.0
        self._ticked_s = 0.0
        self._in_step_until_s = 0.0
        self._transfer_began_s = 0.0
        self._transfer_block_s = 0.0

    def now_s(self) -> float:
        """Return the time of this clock in seconds."""
        now_s = time.monotonic()
        if now_s < self._in_step_until_s:
            return now_s - self._unobserved_s
        return now_s - self._unobserved_s - self._unobserved_since_tick_s(now_s)

    def unobserved_s(self) -> float:
        """Return for how long the clock has stood still until now, in seconds."""
        now_s = time.monotonic()
        if now_s < self._in_step_until_s:
            return self._unobserved_s
        return self._unobserved_s + self._unobserved_since_tick_s(now_s)

    def tick(self) -> None:
        """Record that the event loop runs."""
        now_s = time.monotonic()
        self._unobserved_s += self._unobserved_since_tick_s(now_s)
        self._ticked_s = now_s
        is_in_transfer = self._transfer_end_s(now_s) == now_s
        self._in_step_until_s = 0.0 if is_in_transfer else now_s + TICK_ALLOWED_S

    def stop(self) -> None:
        """Count all time from now on, since there will be no further ticks."""
        self.tick()
        self._ticked_s = self._in_step_until_s = 0.0

    def record_transfer(self) -> None:
        """Record that a block of a large answer has arrived, so that smaller ones wait behind it.

        The clock stands still for :data:`TRANSFER_MAX_MS` of one transfer at most.
        """
        now_s = time.monotonic()
        if (now_s - self._transfer_block_s) * MS_PER_S > TRANSFER_BLOCK_MS:
            self._transfer_began_s = now_s
        if self._ticked_s:
            self.tick()
        self._in_step_until_s = 0.0
        self._transfer_block_s = now_s

    def is_transfer_under_way(self) -> bool:
        """Return whether blocks of a large answer are arriving."""
        return (time.monotonic() - self._transfer_block_s) * MS_PER_S <= TRANSFER_BLOCK_MS

    def _unobserved_since_tick_s(self, now_s: float) -> float:
        """Return how much of the time since the last tick does not count."""
        if not self._ticked_s:
            return 0.0
        elapsed_s = now_s - self._ticked_s
        in_transfer_s = max(0.0, self._transfer_end_s(now_s) - self._ticked_s)
        late_s = elapsed_s - TICK_ALLOWED_S
        return max(0.0, in_transfer_s, min(late_s, LATENESS_MAX_MS / MS_PER_S))

    def _transfer_end_s(self, now_s: float) -> float:
        """Return when the last transfer ended, ``now_s`` if it is under way."""
        return min(
            now_s,
            self._transfer_block_s + TRANSFER_BLOCK_MS / MS_PER_S,
            self._transfer_began_s + TRANSFER_MAX_MS / MS_PER_S,
        )


observation_clock = ObservationClock()
