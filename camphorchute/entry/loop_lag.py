"""Measurement of how far the event loop of this process is behind."""

import math
import time
from collections.abc import Callable

import gevent
from eliot import log_message

from camphorchute.loops import spawn_loop, until_next_tick_s
from camphorchute.observation_clock import TICK_INTERVAL_MS, observation_clock

__all__ = ["LoopLag"]

SAMPLE_MAX_MS = 500.0
SAMPLE_WEIGHT = 0.1
DELAY_MEMORY_MS = 1000.0
BEHIND_THRESHOLD_MS = 120.0
CAUGHT_UP_THRESHOLD_MS = 40.0
BEHIND_MIN_DURATION_MS = 5000.0
PASSES_OF_A_JOB = 3  # its tasks are dispatched, their results arrive, the caller is answered
MS_PER_S = 1000.0


class LoopLag:
    """Measures how late timers fire, as a moving average over about a second.

    It also ticks the observation clock, which judgements of others are made by.

    A single sample is capped, which distinguishes a process on a VM that has become slow
    from one that was suspended once.

    Args:
        count: adds to a named counter.

    Attributes:
        average_ms: the average lag in milliseconds.
        is_behind: whether the loop is too far behind to send commands in time. Once set, it stays
            set for some seconds, so that released work does not return immediately.

    Examples:
        >>> lag = LoopLag(lambda name: None)
        >>> for _ in range(10):
        ...     lag.add_sample(500.0)
        >>> lag.is_behind
        True
    """

    __slots__ = (
        "average_ms",
        "is_behind",
        "_delay_ms",
        "_due_s",
        "_count",
        "_behind_since_s",
        "_greenlet",
    )

    def __init__(self, count: Callable[..., None]) -> None:
        self.average_ms = 0.0
        self.is_behind = False
        self._delay_ms = 0.0
        self._due_s = math.inf
        self._count = count
        self._behind_since_s = 0.0
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start measuring."""
        self._greenlet = spawn_loop("entry", self._measure, self._count)

    def close(self) -> None:
        """Stop measuring."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
            observation_clock.stop()

    def job_delay_ms(self) -> float:
        """Return how long a job waits in this process until its event loop has come to it."""
        return PASSES_OF_A_JOB * self._delay_ms

    def arrival_delay_ms(self) -> float:
        """Return how long a message or request that is read now has waited.

        It is the larger of the present lag of the loop and the usual one of the last second.
        Each lag counts with the time that it took: a loop that is late rarely but long has many
        timers that are in time, while most of what arrives does so during a delay.
        """
        present_ms = (time.monotonic() - self._due_s) * MS_PER_S
        return max(self._delay_ms, min(SAMPLE_MAX_MS, present_ms))

    def add_sample(self, lag_ms: float) -> None:
        """Add the lag of one timer to the average, in milliseconds."""
        sample_ms = min(SAMPLE_MAX_MS, lag_ms)
        self.average_ms += SAMPLE_WEIGHT * (sample_ms - self.average_ms)
        weight = 1 - math.exp(-(TICK_INTERVAL_MS + sample_ms) / DELAY_MEMORY_MS)
        self._delay_ms += weight * (sample_ms - self._delay_ms)
        now_s = time.monotonic()
        if not self.is_behind and self.average_ms > BEHIND_THRESHOLD_MS:
            self._set_behind(True, now_s)
        elif (
            self.is_behind
            and self.average_ms < CAUGHT_UP_THRESHOLD_MS
            and self._has_been_behind_long_enough(now_s)
        ):
            self._set_behind(False, now_s)

    def _has_been_behind_long_enough(self, now_s: float) -> bool:
        return (now_s - self._behind_since_s) * MS_PER_S > BEHIND_MIN_DURATION_MS

    def _measure(self) -> None:
        while True:
            pause_s = until_next_tick_s(TICK_INTERVAL_MS)
            due_s = self._due_s = time.monotonic() + pause_s
            gevent.sleep(pause_s)
            observation_clock.tick()
            self.add_sample(max(0.0, time.monotonic() - due_s) * MS_PER_S)

    def _set_behind(self, is_behind: bool, now_s: float) -> None:
        self.is_behind = is_behind
        self._behind_since_s = now_s
        self._count("entry.loop_behind" if is_behind else "entry.loop_caught_up")
        text = "entry: event loop is behind" if is_behind else "entry: event loop has caught up"
        log_message(message_type="entry", text=text, lag_ms=round(self.average_ms))
