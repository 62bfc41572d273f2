"""Pooled HTTP/1.1 connections to one address that report whether a request may have been sent.

``geventhttpclient`` parses the answers. Its client class is not used, since it automatically
sends a request with an idempotent method again when a connection closes.
"""

import socket as sockets
import time

from gevent import socket
from geventhttpclient.response import HTTPParseError, HTTPSocketResponse

from camphorchute.observation_clock import observation_clock

__all__ = ["AnswerLost", "HttpAnswer", "HttpChannel", "NotSent", "split_address"]

CONNECT_TIMEOUT_MS = 1000.0
READ_BLOCK_BYTES = 65536
FINAL_STATUS_MIN = 200
LARGE_ANSWER_BYTES = 32_768
ANSWER_MAX_MS = 30_000.0
LAST_ATTEMPT_S = 0.001
MS_PER_S = 1000.0


class NotSent(Exception):  # noqa: N818
    """No byte of the request was sent, so the receiver cannot have run it."""


class AnswerLost(Exception):  # noqa: N818
    """The request may have been received, but no complete answer to it was."""


class HttpAnswer:
    """Status, headers and body of an HTTP answer."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class _Response(HTTPSocketResponse):
    """Counts complete answers, so that a second one is not taken for content of the first."""

    complete_answers = 0

    def _on_message_complete(self) -> None:
        if self.get_code() >= FINAL_STATUS_MIN:
            self.complete_answers += 1
        super()._on_message_complete()


def split_address(address: str) -> tuple[str, int]:
    """Split an ``IP:port`` address into the IP address and the port number.

    Examples:
        >>> split_address("[::1]:7000")
        ('::1', 7000)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def _is_idle(sock: socket.socket) -> bool:
    """Return whether an idle connection is still open and has no unread bytes."""
    sock.settimeout(0.0)
    try:
        sock.recv(1, sockets.MSG_PEEK)
    except BlockingIOError:
        return True
    except (OSError, ValueError):
        return False
    return False


class _NoAnswerInTime(Exception):  # noqa: N818
    """A time limit on an answer has passed."""


class _AnswerReader:
    """Reads one answer from a connection within its time limits.

    The limits count the time in which this process could have read. A limit that has passed takes
    effect only if no byte is there to read: a late event loop fires timers before it reads.

    Args:
        sock: the connection.
        timeout_ms: maximum time to the first byte, or to the last one without ``progress_ms``.
        progress_ms: maximum time between two blocks after the first one, 0 for no such limit.
    """

    __slots__ = ("_sock", "_progress_ms", "_started_s", "_due_s", "_received_bytes")

    def __init__(self, sock: socket.socket, timeout_ms: float, progress_ms: float) -> None:
        self._sock = sock
        self._progress_ms = progress_ms
        self._started_s = time.monotonic()
        self._due_s = observation_clock.now_s() + timeout_ms / MS_PER_S
        self._received_bytes = 0

    def recv(self, size_bytes: int) -> bytes:
        """Return the next block; raise :class:`_NoAnswerInTime` when a limit has passed."""
        data = None
        while data is None:
            data = self._recv_until(size_bytes, self._due_s - observation_clock.now_s())
        self._received_bytes += len(data)
        if self._received_bytes > LARGE_ANSWER_BYTES:
            observation_clock.record_transfer()
        if self._progress_ms:
            self._due_s = observation_clock.now_s() + self._progress_ms / MS_PER_S
            if (time.monotonic() - self._started_s) * MS_PER_S > ANSWER_MAX_MS:
                raise _NoAnswerInTime
        return data

    def close(self) -> None:
        """Close the connection; the parser calls this for an answer that ends it."""
        self._sock.close()

    def _recv_until(self, size_bytes: int, remaining_s: float) -> bytes | None:
        """Return the next block, None if none came; without time left, one that is there."""
        self._sock.settimeout(max(0.0, remaining_s))
        try:
            return self._sock.recv(size_bytes)
        except BlockingIOError:
            raise _NoAnswerInTime from None
        except TimeoutError:
            return None


class HttpChannel:
    """Pool of connections to one address, each of which carries one request at a time.

    A connection is closed at its first timeout or error and is not used again.

    Args:
        address: ``IP:port`` of the receiver.
        max_idle_connections: maximum number of idle connections in the pool.
        connect_timeout_ms: maximum time to open a connection.
    """

    __slots__ = (
        "address",
        "max_idle_connections",
        "connect_timeout_ms",
        "_family",
        "_host_and_port",
        "_idle",
        "_closed",
    )

    def __init__(
        self,
        address: str,
        max_idle_connections: int = 2,
        connect_timeout_ms: float = CONNECT_TIMEOUT_MS,
    ) -> None:
        self.address = address
        self.max_idle_connections = max_idle_connections
        self.connect_timeout_ms = connect_timeout_ms
        self._host_and_port = split_address(address)
        self._family = sockets.AF_INET6 if ":" in self._host_and_port[0] else sockets.AF_INET
        self._idle: list[socket.socket] = []
        self._closed = False

    def close(self) -> None:
        """Close the idle connections; those in use are closed when their exchange ends."""
        self._closed = True
        while self._idle:
            self._idle.pop().close()

    def connect(self) -> socket.socket:
        """Open a connection outside of the pool.

        Raises:
            NotSent: the connection could not be opened.
        """
        sock = socket.socket(self._family, sockets.SOCK_STREAM)
        try:
            self._connect_in_time(sock)
            sock.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
        except OSError as error:
            sock.close()
            raise NotSent(f"{self.address}: {error}") from error
        except BaseException:
            sock.close()
            raise
        return sock

    def _connect_in_time(self, sock: socket.socket) -> None:
        """Connect within the time limit, which counts the time in which this process could hear.

        Raises:
            OSError: the connection failed, or the limit has passed.
        """
        due_s = observation_clock.now_s() + self.connect_timeout_ms / MS_PER_S
        while True:
            remaining_s = due_s - observation_clock.now_s()
            sock.settimeout(max(LAST_ATTEMPT_S, remaining_s))
            try:
                sock.connect(self._host_and_port)
                return
            except TimeoutError:
                if remaining_s <= LAST_ATTEMPT_S:
                    raise

    def exchange(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout_ms: float,
        headers: dict[str, str] | None = None,
        new_connection: bool = False,
        progress_ms: float = 0.0,
    ) -> HttpAnswer:
        """Send a request exactly once and return its answer.

        Args:
            method: HTTP method.
            target: path and query.
            body: body of the request, may be empty.
            timeout_ms: maximum time from the first byte sent to the last byte received, or to the
                first one if ``progress_ms`` is given.
            headers: further headers.
            new_connection: whether to open a new connection instead of using an idle one.
            progress_ms: maximum time between two blocks of the answer, for answers that may be
                large; 0 for no such limit.

        Raises:
            NotSent: no byte was sent.
            AnswerLost: the request may have been received, without one complete answer in time.
            ValueError: the request line or a header has a line break or is not Latin-1.
        """
        request = self._encode(method, target, body, headers)
        sock = None if new_connection else self._take_idle_connection()
        if sock is None:
            sock = self.connect()
        try:
            sock.settimeout(timeout_ms / MS_PER_S)
            sock.sendall(request)
            reader = _AnswerReader(sock, timeout_ms, progress_ms)
            response = _Response(reader, READ_BLOCK_BYTES, method)
            content = response.read()
            if response.complete_answers != 1:
                sock.close()
                raise AnswerLost(
                    f"{self.address}: {response.complete_answers} answers to a request, not 1"
                )
        except (_NoAnswerInTime, TimeoutError) as error:
            sock.close()
            raise AnswerLost(f"{self.address}: no answer in {timeout_ms:.0f} ms") from error
        except (OSError, HTTPParseError) as error:
            sock.close()
            raise AnswerLost(f"{self.address}: {error}") from error
        except BaseException:
            sock.close()
            raise
        self._return_to_pool(sock, response)
        return HttpAnswer(response.status_code, dict(response.headers), bytes(content))

    def _encode(
        self, method: str, target: str, body: bytes, headers: dict[str, str] | None
    ) -> bytes:
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self.address}"]
        if body or method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {len(body)}")
        for name, value in (headers or {}).items():
            lines.append(f"{name}: {value}")
        head_text = "\r\n".join(lines)
        if head_text.count("\n") != len(lines) - 1 or head_text.count("\r") != len(lines) - 1:
            raise ValueError("a line break in a request line or header")
        try:
            head = head_text.encode("latin-1")
        except UnicodeEncodeError as error:
            raise ValueError("a request line or header that is not Latin-1") from error
        return head + b"\r\n\r\n" + body

    def _take_idle_connection(self) -> socket.socket | None:
        while self._idle:
            sock = self._idle.pop()
            if _is_idle(sock):
                return sock
            sock.close()
        return None

    def _return_to_pool(self, sock: socket.socket, response: HTTPSocketResponse) -> None:
        if self._closed or len(self._idle) >= self.max_idle_connections or response.should_close():
            sock.close()
        else:
            self._idle.append(sock)
