"""The zone's ownership record in the platform's store."""

import time
from collections.abc import Callable

from camphorchute.hosting import Store, StoreUnavailable, SwapLost, SwapUnknown
from camphorchute.zones.record import OwnershipRecord, decode_record, empty_record, encode_record
from camphorchute.zones.view import ZoneView

__all__ = ["RecordStore", "ZONE_KEY_PREFIX"]

ZONE_KEY_PREFIX = "/camphorchute/zones/"
OTHER_ZONE_READ_INTERVAL_S = 1.0


class RecordStore:
    """Reads and changes ownership records; what it learns goes into the view.

    Args:
        store: the platform's store.
        view: what this process knows of the records.
        count: adds to a named counter.
    """

    __slots__ = ("_store", "_view", "_count", "_read_at_s")

    def __init__(self, store: Store, view: ZoneView, count: Callable[..., None]) -> None:
        self._store = store
        self._view = view
        self._count = count
        self._read_at_s: dict[str, float] = {}

    def read(self, zone: str) -> OwnershipRecord:
        """Read a zone's record.

        Raises:
            StoreUnavailable: the store does not answer.
        """
        return self._read(zone)[0]

    def refresh(self, zone: str) -> None:
        """Read a zone's record, at most once a second, and pass over an outage."""
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
        """Change the own zone's record by compare-and-swap.

        Args:
            change: makes the next record from the current one, or None to leave it.

        Returns:
            Whether the change took effect. A lost race or an outage is no error: the caller
            looks at the view and decides again.
        """
        zone = self._view.member.zone
        try:
            current, revision = self._read(zone)
            following = change(current)
            if following is None:
                return False
            self._store.swap(ZONE_KEY_PREFIX + zone, encode_record(following), revision)
        except SwapLost:
            self._count("zones.retry.record_race")
            return False
        except (StoreUnavailable, SwapUnknown):
            self._count("zones.retry.record_store")
            return False
        self._view.adopt(following)
        return True

    def _read(self, zone: str) -> tuple[OwnershipRecord, int]:
        stored = self._store.get(ZONE_KEY_PREFIX + zone)
        if stored is None:
            return empty_record(zone), 0
        record = decode_record(stored.value)
        self._view.adopt(record)
        return record, stored.mod_revision
