"""Log lines for decisions about requests, bounded in number."""

import time

from eliot import log_message

__all__ = ["DecisionLog", "log_decision"]

LINES_PER_S = 20.0
BURST_LINES = 60.0


class DecisionLog:
    """Writes at most a number of lines a second; the next line says how many were left out.

    Args:
        lines_per_s: lines a second in the long run.
        burst_lines: lines that may be written at once.

    Examples:
        >>> log = DecisionLog(lines_per_s=0.0, burst_lines=2.0)
        >>> [log.write("queues", "job refused", job=n) for n in range(3)]
        [True, True, False]
        >>> log.left_out
        1
    """

    __slots__ = ("left_out", "_lines_per_s", "_burst_lines", "_tokens", "_filled_s")

    def __init__(self, lines_per_s: float = LINES_PER_S, burst_lines: float = BURST_LINES) -> None:
        self.left_out = 0
        self._lines_per_s = lines_per_s
        self._burst_lines = burst_lines
        self._tokens = burst_lines
        self._filled_s = time.monotonic()

    def write(self, part: str, text: str, **fields: object) -> bool:
        """Write a line; return whether it was written."""
        now_s = time.monotonic()
        gained = (now_s - self._filled_s) * self._lines_per_s
        self._tokens = min(self._burst_lines, self._tokens + gained)
        self._filled_s = now_s
        if self._tokens < 1:
            self.left_out += 1
            return False
        self._tokens -= 1
        if self.left_out:
            fields["left_out"] = self.left_out
            self.left_out = 0
        log_message(message_type=part, text=f"{part}: {text}", **fields)
        return True


log_decision = DecisionLog().write
