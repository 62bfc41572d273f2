"""Rate-limited log lines about decisions on requests."""

import time

from eliot import log_message

__all__ = ["DecisionLog", "log_decision"]

LINES_PER_S = 20.0
BURST_LINES = 60.0


class DecisionLog:
    """A log with a token-bucket rate limit.

    The next line that is written has the number of lines dropped before it in its field
    ``left_out``.

    Args:
        lines_per_s: sustained rate, in lines per second.
        burst_lines: largest number of lines in a burst.

    Attributes:
        dropped_lines: lines dropped since the last one written.

    Examples:
        >>> log = DecisionLog(lines_per_s=0.0, burst_lines=2.0)
        >>> [log.write("queues", "job refused", job=n) for n in range(3)]
        [True, True, False]
        >>> log.dropped_lines
        1
    """

    __slots__ = ("dropped_lines", "_lines_per_s", "_burst_lines", "_tokens", "_refilled_s")

    def __init__(self, lines_per_s: float = LINES_PER_S, burst_lines: float = BURST_LINES) -> None:
        self.dropped_lines = 0
        self._lines_per_s = lines_per_s
        self._burst_lines = burst_lines
        self._tokens = burst_lines
        self._refilled_s = time.monotonic()

    def write(self, component: str, text: str, **fields: object) -> bool:
        """Write a line unless the rate limit is exceeded; return whether it was written.

        Args:
            component: log prefix and message type.
            text: the message.
            fields: further fields of the line.
        """
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * self._lines_per_s
        self._tokens = min(self._burst_lines, self._tokens + refill)
        self._refilled_s = now_s
        if self._tokens < 1:
            self.dropped_lines += 1
            return False
        self._tokens -= 1
        if self.dropped_lines:
            fields["left_out"] = self.dropped_lines
            self.dropped_lines = 0
        log_message(message_type=component, text=f"{component}: {text}", **fields)
        return True


log_decision = DecisionLog().write
