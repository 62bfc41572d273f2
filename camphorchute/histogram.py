"""Names of the counters that form a histogram of durations."""

__all__ = ["BUCKET_MAX_MS", "bucket_name"]

BUCKET_MIN_MS = 16
BUCKET_MAX_MS = 8192


def bucket_name(duration_ms: float) -> str:
    """Return the name of the bucket of a duration; bounds are powers of two.

    Args:
        duration_ms: the duration in milliseconds, not negative.

    Examples:
        >>> [bucket_name(ms) for ms in (0.0, 15.9, 16.0, 500.0, 8191.0, 8192.0)]
        ['under_16', 'under_16', 'under_32', 'under_512', 'under_8192', 'over_8192']
    """
    if duration_ms >= BUCKET_MAX_MS:
        return f"over_{BUCKET_MAX_MS}"
    return f"under_{max(BUCKET_MIN_MS, 1 << int(duration_ms).bit_length())}"
