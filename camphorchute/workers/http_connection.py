"""One connection of an HTTP channel, with few system calls for an exchange."""

import socket as sockets
import time

from gevent import get_hub, socket
from gevent.hub import Waiter

from camphorchute.observation_clock import observation_clock

__all__ = ["AnswerReader", "HttpConnection", "NoAnswerInTime"]

READABLE = 1  # event of a libev watcher
LARGE_ANSWER_BYTES = 32_768
ANSWER_MAX_MS = 30_000.0
MS_PER_S = 1000.0


class NoAnswerInTime(Exception):  # noqa: N818
    """A time limit on an answer has passed."""


class HttpConnection:
    """An open connection that carries one request at a time.

    One watcher stays active between the exchanges: a watcher for each wait costs a system call
    each time, and an attempt to read before the wait costs another one that finds nothing.

    Args:
        sock: the connected socket, which this object closes.
    """

    __slots__ = ("sock", "_watcher", "_waiter")

    def __init__(self, sock: socket.socket) -> None:
        sock.settimeout(0.0)
        self.sock = sock
        self._waiter: Waiter | None = None
        self._watcher = get_hub().loop.io(sock.fileno(), READABLE, ref=False)
        self._watcher.start(self._on_readable)

    def close(self) -> None:
        """Close the connection."""
        self._watcher.close()
        self.sock.close()

    def is_unused(self) -> bool:
        """Return whether the idle connection is still open and has no unread bytes."""
        if not self._watcher.active:
            return False
        try:
            self.sock.recv(1, sockets.MSG_PEEK)
        except BlockingIOError:
            return True
        except (OSError, ValueError):
            return False
        return False

    def send(self, request: bytes, timeout_ms: float) -> None:
        """Send a request once.

        Args:
            request: the request.
            timeout_ms: maximum time.

        Raises:
            OSError: it was not sent completely.
        """
        try:
            sent_bytes = self.sock.send(request)
        except BlockingIOError:
            sent_bytes = 0
        if sent_bytes < len(request):
            self.sock.settimeout(timeout_ms / MS_PER_S)
            self.sock.sendall(memoryview(request)[sent_bytes:])
            self.sock.settimeout(0.0)

    def wait_readable(self, timeout_s: float) -> None:
        """Wait until there may be something to read, or a time has passed."""
        hub = get_hub()
        if not self._watcher.active:
            self._watcher.start(self._on_readable)
        self._waiter = waiter = Waiter(hub)
        timer = hub.loop.timer(timeout_s)
        try:
            timer.start(waiter.switch, None)
            waiter.get()
        finally:
            self._waiter = None
            timer.close()

    def _on_readable(self) -> None:
        """Wake the reader; without one, watch no more, since the event would repeat."""
        if self._waiter is None:
            self._watcher.stop()
        else:
            self._waiter.switch(None)


class AnswerReader:
    """Reads one answer from a connection within its time limits.

    The limits count the time in which this process could have read. A limit that has passed takes
    effect only if no byte is there to read: a late event loop fires timers before it reads.

    Args:
        connection: the connection, on which a request was just sent.
        timeout_ms: maximum time to the first byte, or to the last one without ``progress_ms``.
        progress_ms: maximum time between two blocks after the first one, 0 for no such limit.
    """

    __slots__ = ("_connection", "_progress_ms", "_started_s", "_due_s", "_received_bytes")

    def __init__(self, connection: HttpConnection, timeout_ms: float, progress_ms: float) -> None:
        self._connection = connection
        self._progress_ms = progress_ms
        self._started_s = time.monotonic() if progress_ms else 0.0
        self._due_s = observation_clock.now_s() + timeout_ms / MS_PER_S
        self._received_bytes = 0

    def recv(self, size_bytes: int) -> bytes:
        """Return the next block; raise :class:`NoAnswerInTime` when a limit has passed."""
        data = self._recv_in_time(size_bytes)
        self._received_bytes += len(data)
        if self._received_bytes > LARGE_ANSWER_BYTES:
            observation_clock.record_transfer()
        if self._progress_ms:
            self._due_s = observation_clock.now_s() + self._progress_ms / MS_PER_S
            if (time.monotonic() - self._started_s) * MS_PER_S > ANSWER_MAX_MS:
                raise NoAnswerInTime
        return data

    def close(self) -> None:
        """Close the connection; the parser calls this for an answer that ends it."""
        self._connection.close()

    def _recv_in_time(self, size_bytes: int) -> bytes:
        """Return the next block: each wait is followed by an attempt to read.

        Raises:
            NoAnswerInTime: no time remained before an attempt, and it found nothing.
        """
        remaining_s = self._due_s - observation_clock.now_s()
        while True:
            if remaining_s > 0:
                self._connection.wait_readable(remaining_s)
            try:
                return self._connection.sock.recv(size_bytes)
            except BlockingIOError:
                if remaining_s <= 0:
                    raise NoAnswerInTime from None
            remaining_s = self._due_s - observation_clock.now_s()
