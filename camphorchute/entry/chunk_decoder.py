"""Decoder of chunked request bodies."""

import re

from camphorchute.contracts import Refusal, ResultCode

__all__ = ["ChunkDecoder"]

LINE_MAX_BYTES = 8192
FRAMING_MAX_BYTES = 16_384
_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})([ \t]*;[^\r\n]*)?\r\n")
_TRAILER = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\r\n]*")


class ChunkDecoder:
    """Decodes a chunked body from blocks of bytes, in memory of about the size of the body.

    Chunk extensions and trailers are checked and dropped; together they may have
    ``FRAMING_MAX_BYTES``. The number of chunks is not limited.

    Args:
        max_bytes: the largest accepted body.
        body: empty buffer for the body; a new one if it is None.

    Attributes:
        body: what has been decoded so far.
        is_complete: whether the end of the body has been reached.

    Examples:
        >>> decoder = ChunkDecoder(100)
        >>> decoder.feed(b"2\\r\\nab\\r\\n1;x=y\\r\\nc")
        15
        >>> decoder.feed(b"\\r\\n0\\r\\n\\r\\nGET /")
        7
        >>> bytes(decoder.body), decoder.is_complete
        (b'abc', True)
    """

    __slots__ = ("body", "is_complete", "_max_bytes", "_left", "_partial", "_read", "_framing")

    def __init__(self, max_bytes: int, body: bytearray | None = None) -> None:
        self.body = bytearray() if body is None else body
        self.is_complete = False
        self._max_bytes = max_bytes
        self._left = 0
        self._partial = b""
        self._read = ChunkDecoder._read_chunk  # not bound, which would make a reference cycle
        self._framing = 0

    def feed(self, block: bytes) -> int:
        """Decode a block; return how many of its bytes belong to the body.

        Args:
            block: the bytes that follow those fed before.

        Raises:
            Refusal: ``MALFORMED_BODY`` or ``BODY_TOO_LARGE``.
        """
        data = self._partial + block if self._partial else block
        partial_bytes = len(self._partial)
        position = 0
        while not self.is_complete:
            next_position = self._read(self, data, position)
            if next_position < 0:
                break
            position = next_position
        self._check_size(len(self.body))
        if self.is_complete:
            return position - partial_bytes
        self._partial = data[position:]
        return len(block)

    def _read_chunk(self, data: bytes, position: int) -> int:
        """Read whole chunks; return the position after them, negative if there are none.

        Args:
            data: bytes that are not decoded yet.
            position: position of a size line.
        """
        body, end = self.body, len(data)
        started_at = position
        while match := _SIZE_LINE.match(data, position):
            size = int(match[1], 16)
            if match[2] is not None:
                self._add_framing(len(match[2]))
            content_at = match.end()
            content_end = content_at + size
            if size == 0:
                self._read = ChunkDecoder._read_trailer
                return content_at
            if content_end + 2 > end:
                self._check_size(len(body) + size)
                self._left = size
                self._read = ChunkDecoder._read_content
                return content_at
            if data[content_end : content_end + 2] != b"\r\n":
                raise _malformed("a chunk is longer than its size")
            body += data[content_at:content_end]
            position = content_end + 2
        if data.find(b"\n", position) >= 0 or end - position > LINE_MAX_BYTES:
            raise _malformed("the size of a chunk cannot be read")
        return position if position > started_at else -1

    def _read_content(self, data: bytes, position: int) -> int:
        """Read content of a chunk that is not complete; return the position after it."""
        taken = min(self._left, len(data) - position)
        if not taken and self._left:
            return -1
        self._left -= taken
        self.body += memoryview(data)[position : position + taken]
        if not self._left:
            self._read = ChunkDecoder._read_end_of_chunk
        return position + taken

    def _read_end_of_chunk(self, data: bytes, position: int) -> int:
        """Read the line end after the content of a chunk; return the position after it."""
        line_end = data[position : position + 2]
        if not b"\r\n".startswith(line_end):
            raise _malformed("a chunk is longer than its size")
        if len(line_end) < 2:
            return -1
        self._read = ChunkDecoder._read_chunk
        return position + 2

    def _read_trailer(self, data: bytes, position: int) -> int:
        """Read one trailer, or the empty line at the end; return the position after it."""
        line_end = data.find(b"\r\n", position)
        if line_end < 0:
            self._check_framing(len(data) - position)
            return -1
        if line_end == position:
            self.is_complete = True
        elif not _TRAILER.fullmatch(data, position, line_end):
            raise _malformed("a trailer cannot be read")
        self._add_framing(line_end - position)
        return line_end + 2

    def _check_size(self, body_bytes: int) -> None:
        if body_bytes > self._max_bytes:
            raise Refusal(ResultCode.BODY_TOO_LARGE, f"over {self._max_bytes} bytes")

    def _add_framing(self, size: int) -> None:
        self._check_framing(size)
        self._framing += size

    def _check_framing(self, size: int) -> None:
        if self._framing + size > FRAMING_MAX_BYTES:
            raise _malformed(f"extensions and trailers have over {FRAMING_MAX_BYTES} bytes")


def _malformed(detail: str) -> Refusal:
    return Refusal(ResultCode.MALFORMED_BODY, f"body: {detail}")
