"""Bodies of HTTP requests, read from their connection in blocks."""

import socket
import time
from collections.abc import Callable
from contextlib import suppress
from io import BufferedReader

import gevent
from gevent.lock import BoundedSemaphore

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.entry.chunk_decoder import ChunkDecoder
from camphorchute.entry.http_limits import HttpLimits
from camphorchute.entry.receive_budget import ReceiveBudget

__all__ = ["BodyReading", "RequestBody", "linger"]

BLOCK_BYTES = 65_536
LINGER_MS = 1000.0
LINGER_MAX_BYTES = 2_000_000
DECODE_SLICE_MS = 0.5
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
MS_PER_S = 1000.0


class BodyReading:
    """What the bodies of all connections of a server have in common.

    Args:
        limits: limits of the server.
        count: adds to a named counter.

    Attributes:
        max_bytes: the largest accepted body.
        budget: bounds the memory of all bodies.
        decode_turn: held while a block of small chunks is decoded, so that many such bodies hold up
            the other greenlets no longer than one.
    """

    __slots__ = ("max_bytes", "budget", "decode_turn")

    def __init__(self, limits: HttpLimits, count: Callable[..., None]) -> None:
        self.max_bytes = limits.body_max_bytes
        self.budget = ReceiveBudget(limits.receive_max_bytes, count)
        self.decode_turn = BoundedSemaphore(1)


class RequestBody:
    """Body of one request. Takes the place of gevent's input object.

    Args:
        stream: buffered stream of the connection, after the headers.
        sock: the socket of the connection.
        length: number of bytes of the body, None without Content-Length.
        is_chunked: whether the body is chunked.
        is_continue_expected: whether the caller waits for "100 Continue" before the body.
        reading: limits of all bodies.
    """

    __slots__ = (
        "_stream",
        "_socket",
        "_length",
        "_is_chunked",
        "_is_continue_expected",
        "_reading",
        "_is_read",
        "_reservation",
        "_received",
    )

    def __init__(
        self,
        stream: BufferedReader,
        sock: socket.socket,
        length: int | None,
        is_chunked: bool,
        is_continue_expected: bool,
        reading: BodyReading,
    ) -> None:
        self._stream = stream
        self._socket = sock
        self._length = length
        self._is_chunked = is_chunked
        self._is_continue_expected = is_continue_expected
        self._reading = reading
        self._is_read = not is_chunked and not length
        self._received = bytearray()
        self._reservation = None if self._is_read else reading.budget.open(self._end_receipt)

    @property
    def is_unread(self) -> bool:
        """Whether the connection cannot be used again, as a part of the body was not read."""
        return not self._is_read

    def read(self) -> bytes:
        """Return the whole body.

        Raises:
            OSError: the connection failed.
            Refusal: ``MALFORMED_BODY`` or ``BODY_TOO_LARGE``, or ``OVERLOADED`` if other bodies
                take the memory.
        """
        if self._is_read:
            return b""
        if self._is_continue_expected:
            self._is_continue_expected = False
            self._socket.sendall(CONTINUE_RESPONSE)
        try:
            body = self._read_chunked() if self._is_chunked else self._read_plain()
        finally:
            self._received.clear()
        self._reservation.end_receipt()
        self._is_read = True
        return body

    def release(self) -> None:
        """Release the memory that was reserved for the body."""
        if self._reservation is not None:
            self._reservation.close()

    def _end_receipt(self) -> None:
        """Free what has been received, and let the read that waits for the rest return."""
        self._received.clear()
        with suppress(OSError):
            self._socket._sock.shutdown(socket.SHUT_RD)

    def _read_plain(self) -> bytes:
        length = self._length
        if length > self._reading.max_bytes:
            raise Refusal(
                ResultCode.BODY_TOO_LARGE, f"{length} bytes, at most {self._reading.max_bytes}"
            )
        self._reservation.grow_to(length)
        body = self._received
        while len(body) < length:
            block = self._stream.read1(min(BLOCK_BYTES, length - len(body)))
            self._reservation.check()
            if not block:
                raise Refusal(
                    ResultCode.MALFORMED_BODY, f"received {len(body)} of {length} bytes of the body"
                )
            if len(block) == length:
                return block
            body += block
            if len(block) == BLOCK_BYTES:
                gevent.sleep(0)
        return bytes(body)

    def _read_chunked(self) -> bytes:
        decoder = ChunkDecoder(self._reading.max_bytes, self._received)
        while not decoder.is_complete:
            block = self._stream.peek(1)
            self._reservation.grow_to(len(decoder.body) + len(block))
            if not block:
                raise Refusal(ResultCode.MALFORMED_BODY, "body: it ends before the last chunk")
            with self._reading.decode_turn:
                started_s = time.perf_counter()
                used = decoder.feed(block)
                if (time.perf_counter() - started_s) * MS_PER_S > DECODE_SLICE_MS:
                    gevent.sleep(0)
            self._stream.read(used)
        return bytes(decoder.body)

    def _discard(self) -> None:
        """Let the caller read a refusal before the connection is closed; called by gevent."""
        if not self._is_read and not self._is_continue_expected:
            linger(self._socket, self._stream)


def linger(sock: socket.socket, stream: BufferedReader) -> None:
    """Read what a caller still sends after its last response, for a short time.

    Closing a connection with unread bytes resets it, and the response may be lost with it.

    Args:
        sock: socket of the connection.
        stream: buffered stream of the connection.

    Raises:
        OSError: the connection has ended.
    """
    sock._sock.shutdown(socket.SHUT_WR)
    remaining_bytes = LINGER_MAX_BYTES
    with gevent.Timeout(LINGER_MS / MS_PER_S, False):
        while remaining_bytes > 0 and (block := stream.read1(BLOCK_BYTES)):
            remaining_bytes -= len(block)
            gevent.sleep(0)
