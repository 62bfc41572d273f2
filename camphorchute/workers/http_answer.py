"""Answers of HTTP/1.1 receivers: a short path for plain ones, and the parser for all others.

A plain answer has one ``Content-Length`` and no header that changes how it is framed. Everything
else, and whatever the short path does not understand, is read by ``geventhttpclient``.
"""

import re
from typing import Protocol

from geventhttpclient.response import HTTPParseError, HTTPResponse, HTTPSocketResponse

__all__ = ["BlockReader", "HttpAnswer", "read_answer", "read_parsed_answer"]

READ_BLOCK_BYTES = 65536
FINAL_STATUS_MIN = 200
PLAIN_METHODS = frozenset(("GET", "POST", "PUT", "PATCH", "DELETE"))

# Statuses without a body, repeated lengths, and headers that change framing or reuse do not match.
_HEADER_LINE = (
    rb"(?![ctup](?:ontent-length:|ransfer-encoding:|pgrade:|roxy-connection:"
    rb"|onnection:(?! ?keep-alive\r\n)))[a-z0-9-]++:[\t -~]*+\r\n"
)
_PLAIN_HEAD = re.compile(
    rb"HTTP/1\.1 (?!204|304)([2-5][0-9][0-9]) [ -~]*+\r\n"
    rb"(?i:(?:%b)*+content-length: ?([0-9]{1,9})\r\n(?:%b)*+)\r\n" % (_HEADER_LINE, _HEADER_LINE)
)


class BlockReader(Protocol):
    """Reads the blocks of one answer from a connection."""

    def recv(self, size_bytes: int) -> bytes:
        """Return the next block, empty at the end of the connection."""

    def close(self) -> None:
        """Close the connection."""


class HttpAnswer:
    """Status, headers and body of an HTTP answer.

    Args:
        status: status code.
        headers: the headers, or the bytes of a complete head to parse them from when they are used.
        body: content of the body.
    """

    __slots__ = ("status", "body", "_headers")

    def __init__(self, status: int, headers: dict[str, str] | bytes, body: bytes) -> None:
        self.status = status
        self.body = body
        self._headers = headers

    @property
    def headers(self) -> dict[str, str]:
        """The headers by name."""
        if isinstance(self._headers, bytes):
            response = HTTPResponse()
            response.feed(self._headers)
            self._headers = dict(response.headers)
        return self._headers


class _Response(HTTPSocketResponse):
    """Counts complete answers, so that a further one is not taken for content of the first."""

    complete_answers = 0
    has_further_answer = False

    def _on_message_begin(self) -> None:
        self.has_further_answer |= self.complete_answers > 0
        super()._on_message_begin()

    def _on_message_complete(self) -> None:
        if self.get_code() >= FINAL_STATUS_MIN:
            self.complete_answers += 1
        super()._on_message_complete()


class _Replay:
    """A reader that returns what was read before, then what the connection brings."""

    __slots__ = ("_reader", "_read_before")

    def __init__(self, reader: BlockReader, read_before: bytes) -> None:
        self._reader = reader
        self._read_before = read_before

    def recv(self, size_bytes: int) -> bytes:
        data, self._read_before = self._read_before, b""
        return data or self._reader.recv(size_bytes)

    def close(self) -> None:
        self._reader.close()


def read_answer(reader: BlockReader, method: str) -> tuple[HttpAnswer, bool]:
    """Read the answer to a request; return it and whether the connection can be used again.

    Args:
        reader: reads from the connection.
        method: method of the request.

    Raises:
        HTTPParseError: there was no complete answer, or another one besides it.
    """
    if method not in PLAIN_METHODS:
        return read_parsed_answer(reader, method)
    data = reader.recv(READ_BLOCK_BYTES)
    head = _PLAIN_HEAD.match(data)
    if head is None:
        return read_parsed_answer(_Replay(reader, data), method)
    begin = head.end()
    end = begin + int(head[2])
    if len(data) < end:
        data = _read_more(reader, data, end)
    if len(data) != end:
        return read_parsed_answer(_Replay(reader, data), method)
    return HttpAnswer(int(head[1]), head[0], data[begin:]), True


def read_parsed_answer(reader: BlockReader, method: str) -> tuple[HttpAnswer, bool]:
    """Read an answer as :func:`read_answer` does, with the parser only."""
    response = _Response(reader, READ_BLOCK_BYTES, method)
    content = response.read()
    if response.complete_answers != 1 or response.has_further_answer:
        reader.close()
        raise HTTPParseError(f"{response.complete_answers} complete answers, expected one only")
    answer = HttpAnswer(response.status_code, dict(response.headers), bytes(content))
    return answer, not response.should_close()


def _read_more(reader: BlockReader, data: bytes, size_bytes: int) -> bytes:
    """Return the data with the blocks that follow it up to a size or the end of the connection."""
    blocks, received_bytes = [data], len(data)
    while received_bytes < size_bytes:
        block = reader.recv(READ_BLOCK_BYTES)
        if not block:
            break
        blocks.append(block)
        received_bytes += len(block)
    return b"".join(blocks)
