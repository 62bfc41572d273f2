"""Answer times: how long commands to workers take to be answered, and when one counts as lost."""

__all__ = ["AnswerTimes"]

TIMEOUT_MIN_MS = 40.0
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS_ALLOWED = 4.0
MEANS_ALLOWED = 2.0


class AnswerTimes:
    """Estimates by when an answer can be expected.

    Mean and mean deviation are estimated as for the retransmission timeout of TCP (RFC 6298). The
    first answers widen the estimate at once and later ones narrow it slowly.

    Args:
        timeout_max_ms: the timeout before the first answer, and the longest one.

    Examples:
        >>> times = AnswerTimes(timeout_max_ms=120.0)
        >>> times.timeout_ms()
        120.0
        >>> for _ in range(50):
        ...     times.record(2.0)
        >>> times.timeout_ms()
        40.0
        >>> times.record(100.0)
        >>> round(times.timeout_ms())
        112
    """

    __slots__ = ("_timeout_max_ms", "_mean_ms", "_deviation_ms")

    def __init__(self, timeout_max_ms: float) -> None:
        self._timeout_max_ms = timeout_max_ms
        self._mean_ms: float | None = None
        self._deviation_ms = 0.0

    def record(self, answer_ms: float) -> None:
        """Record how long a command took to be answered."""
        if self._mean_ms is None:
            self._mean_ms, self._deviation_ms = answer_ms, answer_ms / 2
            return
        self._deviation_ms += DEVIATION_WEIGHT * (
            abs(answer_ms - self._mean_ms) - self._deviation_ms
        )
        self._mean_ms += MEAN_WEIGHT * (answer_ms - self._mean_ms)

    def timeout_ms(self) -> float:
        """Return the time after which an answer counts as lost."""
        if self._mean_ms is None:
            return self._timeout_max_ms
        expected_ms = self._mean_ms + DEVIATIONS_ALLOWED * self._deviation_ms
        expected_ms = max(expected_ms, MEANS_ALLOWED * self._mean_ms)
        return min(self._timeout_max_ms, max(TIMEOUT_MIN_MS, expected_ms))
