"""The time after which callers that were refused are asked to return."""

import random

__all__ = ["spread_retry_after_ms"]

RETRY_AFTER_MIN_MS = 500.0
SPREAD_MIN_MS = 1500.0


def spread_retry_after_ms(wait_ms: float = 0.0) -> int:
    """Return a random time from the expected wait on, in milliseconds.

    Callers that were refused at the same time return over a range of more than a second, so that
    they differ also where only whole seconds can be stated.

    Args:
        wait_ms: time until the request is expected to be accepted, 0 if it is not known.

    Examples:
        >>> all(500 <= spread_retry_after_ms() <= 2000 for _ in range(100))
        True
        >>> all(3000 <= spread_retry_after_ms(3000.0) <= 6000 for _ in range(100))
        True
    """
    earliest_ms = max(RETRY_AFTER_MIN_MS, wait_ms)
    return round(earliest_ms + random.uniform(0.0, max(SPREAD_MIN_MS, earliest_ms)))
