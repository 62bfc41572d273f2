"""All processes must have the same list of availability zones, for it decides where keys go."""

import time
from collections.abc import Callable

import msgspec

from camphorchute.hosting import Store, StoreUnavailable, SwapConflict, SwapUnknown

__all__ = ["ZonesDiffer", "agree_on_zones"]

ZONE_LIST_KEY = "/camphorchute/zone_list"
RETRY_S = 0.5


class ZonesDiffer(Exception):  # noqa: N818
    """The store holds another list of availability zones than the settings."""


def agree_on_zones(store: Store, zones: list[str], count: Callable[..., None]) -> None:
    """Return once the store is known to hold this list of zones.

    Raises:
        ZonesDiffer: it holds another one.
    """
    wanted = msgspec.json.encode(sorted(zones))
    while True:
        try:
            stored = store.get(ZONE_LIST_KEY)
            if stored is None:
                store.swap(ZONE_LIST_KEY, wanted, 0)
            elif stored.value != wanted:
                raise ZonesDiffer(f"zones {wanted.decode()}, the store has {stored.value!r}")
            return
        except (StoreUnavailable, SwapConflict, SwapUnknown):
            count("entry.retry.zone_list")
            time.sleep(RETRY_S)
