"""Exponential backoff with jitter between retries."""

import random

__all__ = ["Backoff"]

FIRST_WAIT_S = 0.2
MAX_WAIT_S = 4.0


class Backoff:
    """Wait times that double up to a maximum, each drawn at random from its upper half.

    Args:
        rng: random number generator.

    Examples:
        >>> backoff = Backoff(random.Random(1))
        >>> waits = [backoff.next_wait_s() for _ in range(9)]
        >>> 0.1 <= waits[0] <= 0.2, 2.0 <= waits[8] <= 4.0
        (True, True)
    """

    __slots__ = ("_rng", "_wait_s")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._wait_s = FIRST_WAIT_S

    def next_wait_s(self) -> float:
        """Return the next wait time in seconds."""
        wait_s = self._wait_s
        self._wait_s = min(2 * wait_s, MAX_WAIT_S)
        return wait_s * self._rng.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Restart from the first wait time."""
        self._wait_s = FIRST_WAIT_S
