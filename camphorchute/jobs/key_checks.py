"""Checks of a key: its owner, its age, its body and whether its records were lost."""

import time

from camphorchute.contracts import JobKey, Refusal, ResultCode
from camphorchute.contracts.job import DEADLINE_MAX_MS
from camphorchute.zones import ZoneView
from camphorchute.zones.record import encode_record

__all__ = ["KeyChecks", "check_digest"]


def check_digest(key: JobKey, accepted_digest: bytes, submitted_digest: bytes) -> None:
    """Refuse a body that differs from the one that its key was accepted with.

    Args:
        key: the key.
        accepted_digest: digest of the accepted body; empty if two bodies of the key are known.
        submitted_digest: digest of the submitted body.

    Raises:
        Refusal: ``KEY_CONFLICT``, or ``RECORDS_LOST`` if two bodies are known.
    """
    if not accepted_digest:
        raise Refusal(
            ResultCode.RECORDS_LOST, f"two bodies of key {key.text!r} are known, expected one"
        )
    if accepted_digest != submitted_digest:
        raise Refusal(ResultCode.KEY_CONFLICT, f"key {key.text!r} has another body")


class KeyChecks:
    """Checks keys against the ownership record and the resubmission window.

    Args:
        view: the ownership records.
        window_ms: resubmission window in milliseconds.
        clock_skew_ms: largest difference in milliseconds between the clocks of processes and
            callers.
    """

    __slots__ = ("_view", "_window_ms", "_clock_skew_ms")

    def __init__(self, view: ZoneView, window_ms: float, clock_skew_ms: float) -> None:
        self._view = view
        self._window_ms = window_ms
        self._clock_skew_ms = clock_skew_ms

    @property
    def key_retention_ms(self) -> float:
        """Longest time for which the key of a job that begins now is retained, in milliseconds."""
        return max(self._window_ms, DEADLINE_MAX_MS) + 2 * self._clock_skew_ms

    def key_expiry_unix_ms(self, remaining_ms: float) -> int:
        """Return until when the key of a job that begins now is retained.

        Args:
            remaining_ms: time to the deadline of the job, until which its tasks may run.

        Returns:
            The Unix time in milliseconds.
        """
        retention_ms = max(self._window_ms, remaining_ms) + 2 * self._clock_skew_ms
        return round(time.time() * 1000 + retention_ms)

    def deadline_unix_ms(self, remaining_ms: float) -> int:
        """Return the latest Unix time of a deadline on the clock of any process, in milliseconds.

        Args:
            remaining_ms: time to the deadline.
        """
        return round(time.time() * 1000 + remaining_ms + 2 * self._clock_skew_ms)

    def check_ownership(self, key: JobKey) -> None:
        """Refuse a key that this process does not own.

        Args:
            key: the key.

        Raises:
            Refusal: ``NOT_OWNER``, or ``SHARD_NOT_SETTLED`` while the shard is recovered.
        """
        record = self._view.record
        if key.zone != record.zone or not record.shards:
            raise self.not_owner_refusal(key)
        if record.shards[key.shard].current.owner != self._view.member.member_id:
            raise self.not_owner_refusal(key)
        if self._view.owned_term(key.shard) is None:
            raise Refusal(
                ResultCode.SHARD_NOT_SETTLED, f"recovery of shard {key.shard} is not complete", 300
            )

    def check_age(self, key: JobKey) -> None:
        """Refuse a key that was created before the resubmission window or in the future.

        A key without a creation time passes.

        Args:
            key: the key.

        Raises:
            Refusal: ``KEY_EXPIRED`` or ``KEY_INVALID``.
        """
        if key.created_unix_ms is None:
            return
        age_ms = time.time() * 1000 - key.created_unix_ms
        if age_ms > self._window_ms:
            raise Refusal(
                ResultCode.KEY_EXPIRED,
                f"key {key.text!r} was created {age_ms / 1000:.0f} s ago, "
                f"expected at most {self._window_ms / 1000:.0f} s",
            )
        if age_ms < -self._clock_skew_ms:
            raise Refusal(
                ResultCode.KEY_INVALID,
                f"key {key.text!r} was created {-age_ms / 1000:.0f} s in the future, "
                f"expected at most {self._clock_skew_ms / 1000:.0f} s",
            )

    def check_records_not_lost(self, key: JobKey) -> None:
        """Refuse a key that may have been accepted before the records of its shard were lost.

        Args:
            key: the key.

        Raises:
            Refusal: ``RECORDS_LOST``.
        """
        lost_unix_ms = self._view.record.shards[key.shard].lost_unix_ms
        now_unix_ms = time.time() * 1000
        if not lost_unix_ms or now_unix_ms > lost_unix_ms + self.key_retention_ms:
            return
        created_unix_ms = key.created_unix_ms
        if created_unix_ms is None or created_unix_ms <= lost_unix_ms + self._clock_skew_ms:
            remaining_ms = lost_unix_ms + self.key_retention_ms - now_unix_ms
            raise Refusal(
                ResultCode.RECORDS_LOST,
                f"records of shard {key.shard} were lost; key {key.text!r} may have been accepted",
                round(remaining_ms),
            )

    def not_owner_refusal(self, key: JobKey) -> Refusal:
        """Return the refusal for a key of another owner, with the ownership record known here.

        Args:
            key: the key.
        """
        refusal = Refusal(ResultCode.NOT_OWNER, f"key {key.text!r} belongs to another owner", 50)
        record = self._view.record
        refusal.record = encode_record(record) if record.version else b""
        return refusal
