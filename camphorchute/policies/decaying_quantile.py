"""Quantile of recent durations, in bounded memory."""

import math

__all__ = ["DecayingQuantile"]

HALF_LIFE_S = 1.5  # a change of load shows within a second or two, as it does in the users' bursts
BUCKETS_PER_DOUBLING = 2
BUCKETS = 28  # up to 8 s, longer than any caller waits
WEIGHT_MAX = 2.0**40
MAX_EXPONENT = 200.0  # five minutes; after that nothing of an earlier duration counts
ROUNDING = 1 - 1e-9


class DecayingQuantile:
    """A histogram whose weights halve every :data:`HALF_LIFE_S`.

    The histogram has logarithmic buckets, each with the mean of its durations. Once hardly any
    weight is left, the quantile falls to 0 with it, so that without samples all is forgotten.

    Examples:
        >>> durations = DecayingQuantile()
        >>> for ms in (10.0, 20.0, 30.0, 400.0):
        ...     durations.add(ms, now_s=5.0)
        >>> durations.value(0.75, now_s=5.0), durations.value(0.9, now_s=5.0)
        (30.0, 400.0)
        >>> durations.value(0.9, now_s=35.0) < 0.01
        True
    """

    __slots__ = ("_weights", "_sums", "_total", "_origin_s")

    def __init__(self) -> None:
        self._weights = [0.0] * BUCKETS
        self._sums = [0.0] * BUCKETS
        self._total = 0.0
        self._origin_s = 0.0

    def add(self, duration_ms: float, now_s: float) -> None:
        """Add a duration.

        Args:
            duration_ms: the duration in milliseconds, not negative.
            now_s: the present time in seconds.
        """
        weight = self._weight_now(now_s)
        if weight > WEIGHT_MAX:
            self._rescale(weight, now_s)
            weight = 1.0
        bucket = int(BUCKETS_PER_DOUBLING * math.log2(max(1.0, duration_ms)))
        bucket = min(BUCKETS - 1, bucket)
        self._weights[bucket] += weight
        self._sums[bucket] += weight * duration_ms
        self._total += weight

    def weight(self, now_s: float) -> float:
        """Return the number of durations in the histogram, each with its present weight."""
        return self._total / self._weight_now(now_s)

    def value(self, share: float, now_s: float) -> float:
        """Return the duration that a share of the recent ones does not exceed, in milliseconds.

        Args:
            share: the share, from 0 to 1.
            now_s: the present time in seconds.
        """
        below, limit = 0.0, share * self._total * ROUNDING
        for weight, sum_ms in zip(self._weights, self._sums, strict=True):
            below += weight
            if weight and below >= limit:
                return sum_ms / weight * min(1.0, self.weight(now_s))
        return 0.0

    def _weight_now(self, now_s: float) -> float:
        """Return the weight of a new duration; it grows, so that earlier ones need no change."""
        if not self._total:
            self._origin_s = now_s
        return 2.0 ** min(MAX_EXPONENT, (now_s - self._origin_s) / HALF_LIFE_S)

    def _rescale(self, divisor: float, now_s: float) -> None:
        self._weights = [weight / divisor for weight in self._weights]
        self._sums = [sum_ms / divisor for sum_ms in self._sums]
        self._total /= divisor
        self._origin_s = now_s
