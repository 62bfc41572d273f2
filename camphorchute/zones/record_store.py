"""Reads and compare-and-swap writes of ownership records in the platform's store."""

import time
from collections.abc import Callable

from camphorchute.hosting import Store, StoreUnavailable, SwapConflict, SwapUnknown
from camphorchute.zones.record import OwnershipRecord, decode_record, empty_record, encode_record
from camphorchute.zones.view import ZoneView

__all__ = ["RecordStore", "ZONE_KEY_PREFIX"]

ZONE_KEY_PREFIX = "/camphorchute/zones/"
OTHER_ZONE_READ_INTERVAL_S = 1.0


class RecordStore:
    """Reads and changes ownership records; every record read or written is adopted by the view.

    Args:
        store: the platform's store.
        view: the ownership records known to this process.
        count: adds to a named counter.
    """

    __slots__ = ("_store", "_view", "_count", "_read_at_s")

    def __init__(self, store: Store, view: ZoneView, count: Callable[..., None]) -> None:
        self._store = store
        self._view = view
        self._count = count
        self._read_at_s: dict[str, float] = {}

    def read(self, zone: str) -> OwnershipRecord:
        """Read and return a zone's record; an empty one if the store has none.

        Args:
            zone: the availability zone.

        Raises:
            StoreUnavailable: if the store does not answer.
        """
        return self._read(zone)[0]

    def refresh(self, zone: str) -> None:
        """Read a zone's record, at most once per ``OTHER_ZONE_READ_INTERVAL_S``.

        If the store does not answer, this is counted and the known record stays.

        Args:
            zone: the availability zone.
        """
        now_s = time.monotonic()
        if now_s - self._read_at_s.get(zone, -OTHER_ZONE_READ_INTERVAL_S) < (
            OTHER_ZONE_READ_INTERVAL_S
        ):
            return
        self._read_at_s[zone] = now_s
        try:
            self._read(zone)
        except StoreUnavailable:
            self._count("zones.retry.record_read")

    def change(self, change: Callable[[OwnershipRecord], OwnershipRecord | None]) -> bool:
        """Change the record of this process's zone by compare-and-swap.

        Args:
            change: returns the next record given the current one, or None to leave it unchanged.

        Returns:
            Whether the change is known to have taken effect. A concurrent change or a store
            outage is not an error: the caller reads the view and decides again.
        """
        zone = self._view.member.zone
        try:
            current, revision = self._read(zone)
            next_record = change(current)
            if next_record is None:
                return False
            self._store.swap(ZONE_KEY_PREFIX + zone, encode_record(next_record), revision)
        except SwapConflict:
            self._count("zones.retry.record_race")
            return False
        except (StoreUnavailable, SwapUnknown):
            self._count("zones.retry.record_store")
            return False
        self._view.adopt(next_record)
        return True

    def _read(self, zone: str) -> tuple[OwnershipRecord, int]:
        stored = self._store.get(ZONE_KEY_PREFIX + zone)
        if stored is None:
            return empty_record(zone), 0
        record = decode_record(stored.value)
        self._view.adopt(record)
        return record, stored.mod_revision
