"""A bound on how many requests may be sent again."""

__all__ = ["RetryBudget"]

CREDIT_MAX = 10.0
ROUNDING = 1e-9


class RetryBudget:
    """Allows a share of the first sends as retries.

    Attributes:
        ratio: retries allowed for each first send.

    Examples:
        >>> budget = RetryBudget(ratio=0.5)
        >>> budget.note_first_send()
        >>> budget.note_first_send()
        >>> budget.take(), budget.take()
        (True, False)
    """

    __slots__ = ("ratio", "_credit")

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self._credit = 0.0

    def note_first_send(self) -> None:
        """Add what one first send allows."""
        self._credit = min(CREDIT_MAX, self._credit + self.ratio)

    def take(self) -> bool:
        """Use up one retry, if it is allowed."""
        if self._credit < 1 - ROUNDING:
            return False
        self._credit -= 1
        return True
