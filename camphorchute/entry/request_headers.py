"""Headers of HTTP requests, parsed without the parser for e-mail messages where they are simple."""

import re
from collections.abc import Iterator
from io import BytesIO
from typing import BinaryIO

from gevent.pywsgi import headers_factory

__all__ = ["HEADERS_MAX_BYTES", "HeadersTooLarge", "RequestHeaders", "read_headers"]

HEADERS_MAX_BYTES = 32_768
HEADERS_MAX = 100  # as in http.client
_SIMPLE_LINE = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([\x21-\x7e](?:[ -~]*[!-~])?)?\r\n"
)


class HeadersTooLarge(ValueError):  # noqa: N818
    """The headers of a request are longer than ``HEADERS_MAX_BYTES``."""


class RequestHeaders:
    """Headers by name, with the methods that gevent's request handler uses.

    Args:
        pairs: names and values in the order received.

    Attributes:
        status: error found while parsing, always empty.
    """

    __slots__ = ("_pairs", "_values")

    status = ""

    def __init__(self, pairs: list[tuple[str, str]]) -> None:
        self._pairs = pairs
        self._values: dict[str, str] = {}
        for name, value in pairs:
            self._values.setdefault(name.lower(), value)

    def __delitem__(self, name: str) -> None:
        self._values.pop(name.lower(), None)
        self._pairs = [pair for pair in self._pairs if pair[0].lower() != name.lower()]

    @property
    def headers(self) -> Iterator[str]:
        """The headers as lines."""
        return (f"{name}: {value}\r\n" for name, value in self._pairs)

    @property
    def typeheader(self) -> str | None:
        """The value of Content-Type, None without one."""
        return self._values.get("content-type")

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the first value of a header, or a default."""
        return self._values.get(name.lower(), default)

    getheader = get


def read_headers(stream: BinaryIO) -> object:
    """Read headers up to the empty line.

    Whatever is not a plain header line is left to the parser that gevent uses.

    Args:
        stream: the connection, after the request line.

    Raises:
        HeadersTooLarge: the headers of the request are too long.

    Examples:
        >>> read_headers(BytesIO(b"Host: a.example\\r\\n\\r\\n")).get("host")
        'a.example'
    """
    lines: list[bytes] = []
    pairs: list[tuple[str, str]] = []
    is_simple = True
    remaining_bytes = HEADERS_MAX_BYTES
    while True:
        line = stream.readline(remaining_bytes + 1)
        remaining_bytes -= len(line)
        if remaining_bytes < 0:
            raise HeadersTooLarge(f"the headers have over {HEADERS_MAX_BYTES} bytes")
        lines.append(line)
        if line in (b"\r\n", b"\n", b""):
            break
        match = _SIMPLE_LINE.fullmatch(line)
        if match is None:
            is_simple = False
        else:
            pairs.append((match[1].decode("ascii"), (match[2] or b"").decode("ascii")))
        if len(lines) > HEADERS_MAX:
            is_simple = False
            break
    if is_simple:
        return RequestHeaders(pairs)
    return headers_factory(BytesIO(b"".join(lines)), 0)
