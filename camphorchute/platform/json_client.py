"""An HTTP client for JSON interfaces with pooled connections.

Its errors distinguish a request that was not sent from one whose answer was lost, so that the
caller knows whether a write may have taken effect.
"""

import time
from collections.abc import Iterator

import gevent
from gevent import socket
from gevent.lock import BoundedSemaphore
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPParseError, HTTPSocketPoolResponse

__all__ = ["AnswerLost", "JsonClient", "NotSent", "StatusError"]

CONNECT_TIMEOUT_MS = 1000.0
CALL_TIMEOUT_MS = 2000.0
DEFAULT_CONNECTIONS = 4
HTTP_OK = 200
_HEADERS = {"Content-Type": "application/json"}


class NotSent(Exception):  # noqa: N818
    """No byte of the request was sent, so the receiver cannot have executed it."""

    reason = "not_sent"


class AnswerLost(Exception):  # noqa: N818
    """The request may have been executed, but no complete answer was received.

    Args:
        reason: ``timeout``, ``closed`` or ``malformed``.
        detail: description of the error.
    """

    def __init__(self, reason: str, detail: str) -> None:
        self.reason = reason
        super().__init__(f"{reason}: {detail}")


class StatusError(Exception):
    """The answer has an HTTP status other than 200.

    Args:
        status: HTTP status of the answer.
        body: body of the answer; the message quotes its first 200 bytes.
    """

    reason = "status"

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        super().__init__(f"HTTP status {status}, expected 200: {body[:200]!r}")


class _ConnectionPool(ConnectionPool):
    """A pool of idle connections that reuses the most recently used one first.

    It has no lock that limits the number of connections, so that a connection that is never
    returned uses up no place in the pool.
    """

    def __init__(self, host: str, port: int, connect_timeout_s: float, timeout_s: float) -> None:
        super().__init__(
            host, port, host, port, connection_timeout=connect_timeout_s, network_timeout=timeout_s
        )
        self._idle_sockets: list[socket.socket] = []

    def after_connect(self, sock: socket.socket) -> None:
        """Disable Nagle's algorithm on a new connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def get_socket(self) -> socket.socket:
        """Return an idle connection, or a new one if none is usable.

        Raises:
            NotSent: no connection could be opened.
        """
        while self._idle_sockets:
            sock = self._idle_sockets.pop()
            if self._is_socket_alive(sock):
                return sock
            sock.close()
        try:
            return self._create_socket()
        except OSError as error:
            raise NotSent(f"{self._connection_host}:{self._connection_port}: {error}") from error

    def return_socket(self, sock: socket.socket) -> None:
        """Keep a connection for reuse, or close it if the pool is closed."""
        if self._closed:
            sock.close()
        else:
            self._idle_sockets.append(sock)

    def release_socket(self, sock: socket.socket) -> None:
        """Close a connection that cannot be reused."""
        sock.close()

    def close_idle_sockets(self) -> None:
        """Close all idle connections."""
        while self._idle_sockets:
            self._idle_sockets.pop().close()

    def close(self) -> None:
        """Close all idle connections, and the others when they are returned."""
        self._closed = True
        self.close_idle_sockets()


class JsonClient:
    """A client for the JSON interface at one address.

    After a timeout all idle connections are closed, since the cause of one unresponsive
    connection may affect the others too; the next call opens a new connection.

    Args:
        address: ``ip:port`` of the server.
        timeout_ms: timeout of one call after connecting, in milliseconds.
        connect_timeout_ms: timeout for waiting for a free connection, and for connecting, in
            milliseconds.
        connections: largest number of concurrent calls, not counting streams.
    """

    def __init__(
        self,
        address: str,
        timeout_ms: float = CALL_TIMEOUT_MS,
        connect_timeout_ms: float = CONNECT_TIMEOUT_MS,
        connections: int = DEFAULT_CONNECTIONS,
    ) -> None:
        self.address = address
        self.timeout_s = timeout_ms / 1000.0
        self.connect_timeout_s = connect_timeout_ms / 1000.0
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._free_connections = BoundedSemaphore(connections)
        self._http_client = self._create_http_client(self.timeout_s)

    def _create_http_client(self, timeout_s: float | None) -> HTTPClient:
        http_client = HTTPClient(self._host, self._port, headers=_HEADERS)
        http_client._connection_pool = _ConnectionPool(
            self._host, self._port, self.connect_timeout_s, timeout_s
        )
        return http_client

    def close(self) -> None:
        """Close the idle connections; those of active calls close when the calls return."""
        self._http_client.close()

    def send_request(self, method: str, path: str, body: bytes = b"") -> bytes:
        """Send a request once and return the body of its answer.

        Args:
            method: HTTP method.
            path: path and query of the URL.
            body: body of the request.

        Raises:
            NotSent: no connection was free or could be opened in time.
            AnswerLost: the request may have been sent, and no complete answer was received.
            StatusError: the answer has an HTTP status other than 200.
        """
        if not self._free_connections.acquire(timeout=self.connect_timeout_s):
            raise NotSent(f"{self.address}: no free connection within {self.connect_timeout_s:g} s")
        try:
            return self._exchange(method, path, body)
        finally:
            self._free_connections.release()

    def _exchange(self, method: str, path: str, body: bytes) -> bytes:
        call_timeout = gevent.Timeout(self.connect_timeout_s + self.timeout_s)
        call_timeout.start()
        try:
            response = self._http_client.request(method, path, body)
            answer = response.read()
        except gevent.Timeout as error:
            if error is not call_timeout:
                raise
            raise self._handle_timeout() from error
        except TimeoutError as error:
            raise self._handle_timeout() from error
        except (OSError, HTTPParseError) as error:
            raise AnswerLost("closed", f"{self.address}: {error}") from error
        finally:
            call_timeout.close()
        if response.status_code != HTTP_OK:
            raise StatusError(response.status_code, answer)
        return answer

    def _handle_timeout(self) -> AnswerLost:
        """Close the idle connections and return the error for a call that timed out."""
        self._http_client._connection_pool.close_idle_sockets()
        return AnswerLost("timeout", f"{self.address}: no answer within {self.timeout_s:g} s")

    def stream_lines(self, path: str, body: bytes, lifetime_s: float) -> Iterator[bytes]:
        """Send a POST request on a separate connection and yield the lines of its answer.

        The first line has to arrive within the timeout of a call; the iteration ends after
        ``lifetime_s``.

        Args:
            path: path and query of the URL.
            body: body of the request.
            lifetime_s: duration of the stream in seconds.

        Raises:
            NotSent: no connection could be opened in time.
            AnswerLost: the first line did not arrive in time, or the connection was closed.
            StatusError: the answer has an HTTP status other than 200.
        """
        deadline_s = time.monotonic() + lifetime_s
        http_client = self._create_http_client(timeout_s=None)
        response = None
        try:
            response = self._open_stream(http_client, path, body)
            line = self._read_line(response, self.timeout_s)
            if line is None:
                raise AnswerLost(
                    "timeout",
                    f"{self.address}: the stream sent no line within {self.timeout_s:g} s",
                )
            while line is not None:
                yield line
                line = self._read_line(response, deadline_s - time.monotonic())
        finally:
            if response is not None:
                response.release()
            http_client.close()

    def _open_stream(
        self, http_client: HTTPClient, path: str, body: bytes
    ) -> HTTPSocketPoolResponse:
        response = None
        with gevent.Timeout(self.connect_timeout_s + self.timeout_s, False):
            try:
                response = http_client.request("POST", path, body)
            except (OSError, HTTPParseError) as error:
                raise AnswerLost("closed", f"{self.address}: {error}") from error
        if response is None:
            raise self._handle_timeout()
        if response.status_code != HTTP_OK:
            raise StatusError(response.status_code, response.read())
        return response

    def _read_line(self, response: HTTPSocketPoolResponse, line_timeout_s: float) -> bytes | None:
        """Return the next line of a stream, None after a timeout."""
        line = None
        with gevent.Timeout(max(line_timeout_s, 0.0), False):
            try:
                line = response.readline(b"\n")
            except (OSError, HTTPParseError) as error:
                raise AnswerLost("closed", f"{self.address}: {error}") from error
        if line == b"":
            raise AnswerLost("closed", f"{self.address}: the server closed the stream")
        return line
