"""Idempotency keys: their format, zone, shard and time of creation."""

import re
import uuid

import xxhash

from camphorchute.contracts.codes import ResultCode
from camphorchute.contracts.errors import Refusal

__all__ = ["SHARDS_PER_ZONE", "KEY_MAX_CHARS", "JobKey", "new_key"]

SHARDS_PER_ZONE = 128
KEY_MAX_CHARS = 128

_KEY_PATTERN = re.compile(r"(?:(?P<zone>[a-z0-9-]{1,32}):)?(?P<name>[A-Za-z0-9._-]{1,128})")


class JobKey:
    """An idempotency key, parsed.

    The zone of a key without one follows from a hash of its name and the list of zones.

    Args:
        text: the key as the caller sent it, ``[zone:]name``.
        zones: the availability zones, in any order; every process must have the same ones.

    Attributes:
        text: the key as the caller sent it.
        zone: availability zone whose processes own the key.
        shard: shard of the key within its zone.
        created_unix_ms: time of creation in milliseconds since 1970, None if the name does not
            contain it, that is, if the name is no UUIDv7.

    Raises:
        Refusal: ``KEY_INVALID`` if the format is wrong or the zone is not known.

    Examples:
        >>> key = JobKey("north:stamp-17", ["north", "south"])
        >>> key.zone
        'north'
        >>> key.created_unix_ms is None
        True
        >>> JobKey("stamp-17", ["north", "south"]).zone in ("north", "south")
        True
    """

    __slots__ = ("text", "zone", "shard", "created_unix_ms")

    def __init__(self, text: str, zones: list[str]) -> None:
        match = _KEY_PATTERN.fullmatch(text)
        if match is None or len(text) > KEY_MAX_CHARS:
            raise Refusal(
                ResultCode.KEY_INVALID,
                f"key {text[:40]!r} of {len(text)} characters, expected [zone:]name of at most "
                f"{KEY_MAX_CHARS} characters",
            )
        zone, name = match["zone"], match["name"]
        if zone is not None and zone not in zones:
            raise Refusal(ResultCode.KEY_INVALID, f"key names an unknown zone {zone!r}")
        self.text = text
        self.zone = zone or max(zones, key=lambda z: xxhash.xxh64_intdigest(f"{z}/{name}".encode()))
        self.shard = xxhash.xxh64_intdigest(name.encode()) % SHARDS_PER_ZONE
        self.created_unix_ms = _creation_time_unix_ms(name)


def _creation_time_unix_ms(name: str) -> int | None:
    """Return the time in the first 48 bits of a UUIDv7, None for any other name."""
    try:
        value = uuid.UUID(name)
    except ValueError:
        return None
    if value.version != 7 or str(value) != name:
        return None
    return value.int >> 80


def new_key(zone: str | None = None) -> str:
    """Return a new key, a UUIDv7, with the prefix of a zone if one is given.

    Examples:
        >>> JobKey(new_key("north"), ["north"]).created_unix_ms > 0
        True
    """
    import uuid_utils

    name = str(uuid_utils.uuid7())
    return f"{zone}:{name}" if zone else name
