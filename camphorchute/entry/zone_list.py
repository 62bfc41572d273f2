"""Check that all processes have the same list of availability zones.

The list determines which zone owns a key.
"""

import time
from collections.abc import Callable

import msgspec

from camphorchute.hosting import Store, StoreUnavailable, SwapConflict, SwapUnknown

__all__ = ["ZonesDiffer", "ensure_zone_list"]

ZONE_LIST_KEY = "/camphorchute/zone_list"
RETRY_INTERVAL_S = 0.5


class ZonesDiffer(Exception):  # noqa: N818
    """The list of availability zones in the store differs from the settings."""


def ensure_zone_list(store: Store, zones: list[str], count: Callable[..., None]) -> None:
    """Store the list of zones if there is none, and check that the stored list is the same.

    Retries until the store answers.

    Args:
        store: the store.
        zones: names of the availability zones from the settings.
        count: adds to a named counter.

    Raises:
        ZonesDiffer: the store holds another list.
    """
    expected = msgspec.json.encode(sorted(zones))
    while True:
        try:
            stored = store.get(ZONE_LIST_KEY)
            if stored is None:
                store.swap(ZONE_LIST_KEY, expected, 0)
            elif stored.value != expected:
                raise ZonesDiffer(
                    f"zones are {expected.decode()}, expected {stored.value!r} as in the store"
                )
            return
        except (StoreUnavailable, SwapConflict, SwapUnknown):
            count("entry.retry.zone_list")
            time.sleep(RETRY_INTERVAL_S)
