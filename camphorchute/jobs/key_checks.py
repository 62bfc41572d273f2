"""Whether this process may decide on a key, and whether the key may be new."""

import time

from camphorchute.contracts import JobKey, Refusal, ResultCode
from camphorchute.zones import ZoneView
from camphorchute.zones.record import encode_record

__all__ = ["KeyChecks", "check_digest"]


def check_digest(key: JobKey, held: bytes, digest: bytes) -> None:
    """Refuse a body that does not belong to its key.

    Args:
        key: the key.
        held: digest that the key was accepted with; empty where two are known.
        digest: digest of the body that came in.

    Raises:
        Refusal: ``KEY_CONFLICT``, or ``RECORDS_LOST`` where two bodies are known.
    """
    if not held:
        raise Refusal(ResultCode.RECORDS_LOST, f"two bodies are known of {key.text!r}")
    if held != digest:
        raise Refusal(ResultCode.KEY_CONFLICT, f"key {key.text!r} has another body")


class KeyChecks:
    """Checks a key against the ownership record and the resubmission window.

    Args:
        view: the ownership records.
        window_ms: resubmission window.
        clock_skew_ms: largest difference between clocks of processes and callers.
    """

    __slots__ = ("_view", "_window_ms", "_clock_skew_ms")

    def __init__(self, view: ZoneView, window_ms: float, clock_skew_ms: float) -> None:
        self._view = view
        self._window_ms = window_ms
        self._clock_skew_ms = clock_skew_ms

    @property
    def kept_ms(self) -> float:
        """How long an accepted key is remembered."""
        return self._window_ms + 2 * self._clock_skew_ms

    def check_owned(self, key: JobKey) -> None:
        """Refuse a key that this process may not decide on.

        Raises:
            Refusal: ``NOT_OWNER``, or ``SHARD_NOT_SETTLED`` while records are gathered.
        """
        record = self._view.record
        if key.zone != record.zone or not record.shards:
            raise self.not_owner(key)
        if record.shards[key.shard].current.owner != self._view.member.member_id:
            raise self.not_owner(key)
        if self._view.owned_term(key.shard) is None:
            raise Refusal(ResultCode.SHARD_NOT_SETTLED, f"shard {key.shard}", 300)

    def check_age(self, key: JobKey) -> None:
        """Refuse a key that was made before the window or ahead of time.

        Raises:
            Refusal: ``KEY_EXPIRED`` or ``KEY_INVALID``.
        """
        if key.created_unix_ms is None:
            return
        age_ms = time.time() * 1000 - key.created_unix_ms
        if age_ms > self._window_ms:
            raise Refusal(ResultCode.KEY_EXPIRED, f"made {age_ms / 1000:.0f} s ago")
        if age_ms < -self._clock_skew_ms:
            raise Refusal(ResultCode.KEY_INVALID, f"made {-age_ms / 1000:.0f} s ahead of time")

    def check_not_lost(self, key: JobKey) -> None:
        """Refuse a key that may have been accepted and whose records were lost.

        Raises:
            Refusal: ``RECORDS_LOST``.
        """
        lost_unix_ms = self._view.record.shards[key.shard].lost_unix_ms
        now_unix_ms = time.time() * 1000
        if not lost_unix_ms or now_unix_ms > lost_unix_ms + self.kept_ms:
            return
        created = key.created_unix_ms
        if created is None or created <= lost_unix_ms + self._clock_skew_ms:
            left_ms = lost_unix_ms + self.kept_ms - now_unix_ms
            raise Refusal(ResultCode.RECORDS_LOST, f"shard {key.shard}", round(left_ms))

    def not_owner(self, key: JobKey) -> Refusal:
        """Return the refusal that sends a caller to the owner."""
        refusal = Refusal(ResultCode.NOT_OWNER, f"{key.text!r} is decided on elsewhere", 50)
        record = self._view.record
        refusal.record = encode_record(record) if record.version else b""
        return refusal
