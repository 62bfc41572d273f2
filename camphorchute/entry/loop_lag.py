"""How far the event loop of this process is behind."""

import time
from collections.abc import Callable

import gevent
from eliot import log_message

from camphorchute.loops import spawn_loop

__all__ = ["LoopLag"]

PERIOD_MS = 50.0
SAMPLE_MAX_MS = 500.0
WEIGHT = 0.1
BEHIND_MS = 120.0
CAUGHT_UP_MS = 40.0
BEHIND_MIN_MS = 5000.0
MS_PER_S = 1000.0


class LoopLag:
    """Measures how late timers fire, averaged over about a second.

    A process on a machine that has become slow is told apart from one that was suspended: a
    single late timer counts with a bounded amount only.

    Args:
        count: adds to a named counter.

    Attributes:
        value_ms: the average lag.
        is_behind: whether the loop is too far behind to give orders in time. Once it is, it stays
            so for some seconds, so that the work that it gives away does not come back at once.

    Examples:
        >>> lag = LoopLag(lambda name: None)
        >>> for _ in range(10):
        ...     lag.take_sample(500.0)
        >>> lag.is_behind
        True
    """

    __slots__ = ("value_ms", "is_behind", "_count", "_behind_since_s", "_greenlet")

    def __init__(self, count: Callable[..., None]) -> None:
        self.value_ms = 0.0
        self.is_behind = False
        self._count = count
        self._behind_since_s = 0.0
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Measure from now on."""
        self._greenlet = spawn_loop("entry", self._measure, self._count)

    def close(self) -> None:
        """Stop measuring."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def take_sample(self, lag_ms: float) -> None:
        """Take in how late one timer was."""
        self.value_ms += WEIGHT * (min(SAMPLE_MAX_MS, lag_ms) - self.value_ms)
        now_s = time.monotonic()
        if not self.is_behind and self.value_ms > BEHIND_MS:
            self._set_behind(True, now_s)
        elif self.is_behind and self.value_ms < CAUGHT_UP_MS and self._was_long_behind(now_s):
            self._set_behind(False, now_s)

    def _was_long_behind(self, now_s: float) -> bool:
        return (now_s - self._behind_since_s) * MS_PER_S > BEHIND_MIN_MS

    def _measure(self) -> None:
        while True:
            due_s = time.monotonic() + PERIOD_MS / MS_PER_S
            gevent.sleep(PERIOD_MS / MS_PER_S)
            self.take_sample(max(0.0, time.monotonic() - due_s) * MS_PER_S)

    def _set_behind(self, is_behind: bool, now_s: float) -> None:
        self.is_behind = is_behind
        self._behind_since_s = now_s
        self._count("entry.loop_behind" if is_behind else "entry.loop_caught_up")
        text = "entry: event loop is behind" if is_behind else "entry: event loop has caught up"
        log_message(message_type="entry", text=text, lag_ms=round(self.value_ms))
