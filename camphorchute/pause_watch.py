"""Pause watch: detects that this process was paused, or its machine suspended."""

import time

__all__ = ["PAUSE_MIN_MS", "PauseWatch"]

PAUSE_MIN_MS = 500.0  # less than the silence after which other processes give a link up
SETTLE_MS = 20.0
SETTLE_TICKS = 3  # a closed connection is read, checked and reported in as many passes
MS_PER_S = 1000.0


class PauseWatch:
    """Tells when a process has just been paused, so that what it knows may be outdated.

    While it was paused, other processes may have taken over its work, and callers may have gone.
    Both shows in its connections, which the event loop reads after the timers that are due. What
    the process would start has to wait until then: for a time, and for some passes of the event
    loop, which take longer on a busy machine.

    The clock also counts the time for which the machine was suspended.

    Attributes:
        last_pause_ms: length of the last pause in milliseconds, 0 if there was none.

    Examples:
        >>> watch = PauseWatch()
        >>> watch.is_settled()
        True
    """

    __slots__ = ("last_pause_ms", "_ticked_s", "_settled_s", "_ticks_to_settle")

    def __init__(self) -> None:
        self.last_pause_ms = 0.0
        self._ticked_s = _uptime_s()
        self._settled_s = 0.0
        self._ticks_to_settle = 0

    def tick(self) -> bool:
        """Record that the event loop runs; return whether it was paused since the last call."""
        now_s = _uptime_s()
        was_paused = self._is_paused(now_s)
        if was_paused:
            self.last_pause_ms = (now_s - self._ticked_s) * MS_PER_S
            self._settled_s = now_s + SETTLE_MS / MS_PER_S
            self._ticks_to_settle = SETTLE_TICKS
        else:
            self._ticks_to_settle = max(0, self._ticks_to_settle - 1)
        self._ticked_s = now_s
        return was_paused

    def is_settled(self) -> bool:
        """Return whether there was no pause, or the event loop has run for a while since."""
        now_s = _uptime_s()
        has_run = self._ticks_to_settle == 0 and now_s >= self._settled_s
        return has_run and not self._is_paused(now_s)

    def _is_paused(self, now_s: float) -> bool:
        return (now_s - self._ticked_s) * MS_PER_S > PAUSE_MIN_MS


def _uptime_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
