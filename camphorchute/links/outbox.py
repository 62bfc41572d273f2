"""Outbox of a link: the encoded frames that wait to be written."""

from collections import deque
from collections.abc import Callable

import gevent

from camphorchute.links.web_socket import WebSocket

__all__ = ["OUTBOX_MAX_FRAMES", "Outbox"]

OUTBOX_MAX_FRAMES = 10_000
WRITE_BATCH_BYTES = 16_384


class Outbox:
    """Writes the frames that are queued in one pass of the event loop together, at its end.

    No greenlet is woken for that; only what the socket does not take at once is written by one.

    Args:
        socket_: an open websocket connection.
        on_failed: called in a greenlet when the connection has ended.
    """

    __slots__ = ("_socket", "_on_failed", "_frames", "_is_open", "_is_write_due", "_writer")

    def __init__(self, socket_: WebSocket, on_failed: Callable[[], None]) -> None:
        self._socket = socket_
        self._on_failed = on_failed
        self._frames: deque[bytes] = deque()
        self._is_open = True
        self._is_write_due = True  # until the start
        self._writer: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to write."""
        gevent.get_hub().loop.run_callback(self._write_queued)

    def close(self) -> None:
        """Write nothing more."""
        self._is_open = False
        if self._writer is not None:
            self._writer.kill(block=False)

    def put(self, data: bytes) -> bool:
        """Queue a frame; return whether there was place for it."""
        if len(self._frames) >= OUTBOX_MAX_FRAMES:
            return False
        self._frames.append(data)
        if not self._is_write_due:
            self._is_write_due = True
            gevent.get_hub().loop.run_callback(self._write_queued)
        return True

    def _write_queued(self) -> None:
        """Write the queued frames without waiting; a callback of the event loop."""
        rest = b""
        try:
            while self._is_open and self._frames and not rest:
                rest = self._socket.send_now(*self._take_batch())
        except OSError:
            gevent.spawn(self._on_failed)
            return
        if rest:
            self._writer = gevent.spawn(self._write_rest, rest)
        else:
            self._is_write_due = False

    def _write_rest(self, rest: bytes) -> None:
        """Write what the socket did not take at once, and all that is queued meanwhile."""
        try:
            self._socket.send_rest(rest)
            while self._is_open and self._frames:
                self._socket.send(*self._take_batch())
        except OSError:
            self._on_failed()
        self._is_write_due = False

    def _take_batch(self) -> list[bytes]:
        """Remove from the outbox the frames for one write, and return them."""
        batch = [self._frames.popleft()]
        size_bytes = len(batch[0])
        while self._frames and size_bytes < WRITE_BATCH_BYTES:
            batch.append(self._frames.popleft())
            size_bytes += len(batch[-1])
        return batch
