"""Limit on the share of requests that are sent again."""

__all__ = ["RetryBudget"]

SAVED_RETRIES_MAX = 10.0
ROUNDING_TOLERANCE = 1e-9


class RetryBudget:
    """Allows retries in proportion to the requests that are sent for the first time.

    Attributes:
        ratio: number of retries that each first send allows.

    Examples:
        >>> budget = RetryBudget(ratio=0.5)
        >>> budget.record_first_send()
        >>> budget.record_first_send()
        >>> budget.take_retry(), budget.take_retry()
        (True, False)
    """

    __slots__ = ("ratio", "_saved_retries")

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self._saved_retries = 0.0

    def record_first_send(self) -> None:
        """Add the retries that one first send allows."""
        self._saved_retries = min(SAVED_RETRIES_MAX, self._saved_retries + self.ratio)

    def take_retry(self) -> bool:
        """Return whether a retry is allowed, and use it up if it is."""
        if self._saved_retries < 1 - ROUNDING_TOLERANCE:
            return False
        self._saved_retries -= 1
        return True
