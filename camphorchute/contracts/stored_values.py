"""Checked decoding of values that other writers may have put into the platform's store."""

import ipaddress
from functools import lru_cache
from typing import Annotated, TypeVar

import msgspec

__all__ = ["Amount", "Count", "ServiceName", "decode_json", "is_address"]

PORT_MAX = 65_535
CACHED_ADDRESSES = 65_536

T = TypeVar("T")

Amount = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**31)]
ServiceName = Annotated[str, msgspec.Meta(pattern=r"^[^\x00-\x20/\x7f]{1,100}\Z")]


def decode_json(value: bytes, value_type: type[T]) -> T:
    """Return the value of a type that bytes encode.

    Args:
        value: the bytes.
        value_type: the type.

    Raises:
        ValueError: the bytes are no JSON of that type, are nested too deeply, or have a number
            that is out of range.

    Examples:
        >>> decode_json(b"[1]", list[int])
        [1]
        >>> decode_json(b"[" * 5000, list)
        Traceback (most recent call last):
        ...
        ValueError: nested too deeply
    """
    try:
        return msgspec.json.decode(value, type=value_type)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
    except (msgspec.MsgspecError, UnicodeDecodeError, OverflowError) as error:
        raise ValueError(str(error)) from error


@lru_cache(CACHED_ADDRESSES)
def is_address(text: str) -> bool:
    """Return whether a text is an ``IP:port`` that a connection can be opened to.

    Args:
        text: the text.

    Examples:
        >>> [is_address(text) for text in ("10.0.0.1:80", "[::1]:80", "10.0.0.1:70000", "a:80")]
        [True, True, False, False]
    """
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdecimal()) or not 1 <= int(port[:6]) <= PORT_MAX:
        return False
    try:
        address = ipaddress.ip_address(host[1:-1] if host[:1] + host[-1:] == "[]" else host)
    except ValueError:
        return False
    return "%" not in host and (address.version == 6) == host.startswith("[")
