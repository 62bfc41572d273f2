"""Jittered waits between repeated tries."""

import random

__all__ = ["Backoff"]

FIRST_WAIT_S = 0.2
LONGEST_WAIT_S = 4.0


class Backoff:
    """Waits that double up to a bound, each drawn at random from its upper half.

    Args:
        rng: source of randomness.

    Examples:
        >>> backoff = Backoff(random.Random(1))
        >>> waits = [backoff.next_s() for _ in range(9)]
        >>> 0.1 <= waits[0] <= 0.2, 2.0 <= waits[8] <= 4.0
        (True, True)
    """

    __slots__ = ("_rng", "_wait_s")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._wait_s = FIRST_WAIT_S

    def next_s(self) -> float:
        """Return the next wait in seconds."""
        wait_s = self._wait_s
        self._wait_s = min(2 * wait_s, LONGEST_WAIT_S)
        return wait_s * self._rng.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Begin again with the shortest wait."""
        self._wait_s = FIRST_WAIT_S
