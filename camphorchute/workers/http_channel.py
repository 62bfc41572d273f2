"""Pooled HTTP/1.1 connections to one address that report whether a request may have been sent.

``geventhttpclient`` parses the answers that :mod:`camphorchute.workers.http_answer` does not. Its
client class is not used, since it automatically sends a request with an idempotent method again
when a connection closes.
"""

import socket as sockets

from gevent import socket
from geventhttpclient.response import HTTPParseError

from camphorchute.observation_clock import observation_clock
from camphorchute.workers.http_answer import HttpAnswer, read_answer
from camphorchute.workers.http_connection import AnswerReader, HttpConnection, NoAnswerInTime

__all__ = ["AnswerLost", "HttpAnswer", "HttpChannel", "NotSent", "RequestHead", "split_address"]

CONNECT_TIMEOUT_MS = 1000.0
LAST_ATTEMPT_S = 0.001
MS_PER_S = 1000.0


class NotSent(Exception):  # noqa: N818
    """No byte of the request was sent, so the receiver cannot have run it."""


class AnswerLost(Exception):  # noqa: N818
    """The request may have been received, but no complete answer to it was."""


def split_address(address: str) -> tuple[str, int]:
    """Split an ``IP:port`` address into the IP address and the port number.

    Examples:
        >>> split_address("[::1]:7000")
        ('::1', 7000)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class RequestHead:
    """The encoded head of requests that differ in their bodies only.

    Args:
        method: HTTP method.
        lines: the request line and the headers, without the length of the body.

    Raises:
        ValueError: a line has a line break or is not Latin-1.
    """

    __slots__ = ("method", "_first_lines", "_further_lines", "_has_length")

    def __init__(self, method: str, lines: list[str]) -> None:
        text = "\r\n".join(lines)
        if text.count("\n") != len(lines) - 1 or text.count("\r") != len(lines) - 1:
            raise ValueError("a line break in a request line or header")
        try:
            encoded = [line.encode("latin-1") + b"\r\n" for line in lines]
        except UnicodeEncodeError as error:
            raise ValueError("a request line or header that is not Latin-1") from error
        self.method = method
        self._first_lines = b"".join(encoded[:2])
        self._further_lines = b"".join(encoded[2:]) + b"\r\n"
        self._has_length = method not in ("GET", "HEAD")

    def with_body(self, body: bytes) -> bytes:
        """Return the request with a body, which may be empty."""
        if not (body or self._has_length):
            return self._first_lines + self._further_lines
        length_line = b"Content-Length: %d\r\n" % len(body)
        return b"".join((self._first_lines, length_line, self._further_lines, body))


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
        self._idle: list[HttpConnection] = []
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
        try:
            sock = socket.socket(self._family, sockets.SOCK_STREAM)
        except OSError as error:
            raise NotSent(f"{self.address}: {error}") from error
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
        head = self.prepare(method, target, headers)
        return self.exchange_prepared(head, body, timeout_ms, new_connection, progress_ms)

    def prepare(
        self, method: str, target: str, headers: dict[str, str] | None = None
    ) -> RequestHead:
        """Encode what requests have in common; see :meth:`exchange` for arguments and errors."""
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self.address}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        return RequestHead(method, lines)

    def exchange_prepared(
        self,
        head: RequestHead,
        body: bytes,
        timeout_ms: float,
        new_connection: bool = False,
        progress_ms: float = 0.0,
    ) -> HttpAnswer:
        """Send a request exactly once as :meth:`exchange`, with a head from :meth:`prepare`."""
        connection = None if new_connection else self._take_idle_connection()
        if connection is None:
            connection = HttpConnection(self.connect())
        try:
            connection.send(head.with_body(body), timeout_ms)
            reader = AnswerReader(connection, timeout_ms, progress_ms)
            answer, is_reusable = read_answer(reader, head.method)
        except (NoAnswerInTime, TimeoutError) as error:
            connection.close()
            raise AnswerLost(f"{self.address}: no answer in {timeout_ms:.0f} ms") from error
        except (OSError, HTTPParseError) as error:
            connection.close()
            raise AnswerLost(f"{self.address}: {error}") from error
        except BaseException:
            connection.close()
            raise
        if is_reusable and not self._closed and len(self._idle) < self.max_idle_connections:
            self._idle.append(connection)
        else:
            connection.close()
        return answer

    def _take_idle_connection(self) -> HttpConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_unused():
                return connection
            connection.close()
        return None
