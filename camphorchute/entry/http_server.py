"""HTTP server for callers and operators, with routes, limits and graceful shutdown."""

import errno
import re
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from urllib.parse import parse_qs, unquote

import gevent
import msgspec
from eliot import write_traceback
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.entry.caller_watch import CallerWatch
from camphorchute.entry.http_limits import HttpLimits
from camphorchute.entry.open_connections import OpenConnections
from camphorchute.entry.problem import Response, problem_response
from camphorchute.entry.request_body import BodyReading, RequestBody, linger
from camphorchute.entry.request_headers import read_headers

__all__ = ["HttpServer", "Request", "route"]

CLOSING_CONNECTIONS_MAX = 32
RECEIVE_BUFFER_BYTES = 32_768
BODY_TIMEOUT_MS = 10_000.0
IDLE_TIMEOUT_MS = 60_000.0
RESPONSE_TIMEOUT_MS = 30_000.0
CLOSE_CHECK_INTERVAL_MS = 10.0
LINE_TOO_LONG_STATUS = "414"
SOCKET_KEY = "camphorchute.socket"
TOO_MANY_CONNECTIONS = "too many open connections"
HANDLER_KEY = "camphorchute.handler"
BODY_KEY = "wsgi.input"


def route(method: str, path: str) -> Callable:
    """Return a decorator that marks a method as the handler of a route.

    Args:
        method: the HTTP method.
        path: template of the path. ``<name>`` matches one segment, ``<name:path>`` at the end
            matches the rest of the path.
    """

    def decorate(function: Callable) -> Callable:
        pattern = re.sub(r"<(\w+)(:path)?>", _segment_pattern, path)
        function.route = (method, re.compile(pattern))
        return function

    return decorate


def _segment_pattern(match: re.Match) -> str:
    return f"(?P<{match[1]}>{'.*' if match[2] else '[^/]+'})"


class Request:
    """An HTTP request.

    Attributes:
        method: the HTTP method.
        path: the percent-decoded path without the query.
        body: the body in bytes.
        path_parameters: values of the route's named parameters, percent-decoded once more.
    """

    __slots__ = ("method", "path", "body", "path_parameters", "_environ", "_query")

    def __init__(self, environ: dict, body: bytes) -> None:
        self.method = environ["REQUEST_METHOD"]
        self.path = environ["PATH_INFO"]
        self.body = body
        self.path_parameters: dict[str, str] = {}
        self._environ = environ
        self._query = parse_qs(environ.get("QUERY_STRING", ""))

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string if it is missing."""
        return self._environ.get("HTTP_" + name.upper().replace("-", "_"), "")

    def watch_caller(self) -> CallerWatch:
        """Return a watch that detects when the caller closes its connection."""
        return CallerWatch(self._environ[SOCKET_KEY])

    def query_ms(self, name: str, default: float, max_ms: float) -> float:
        """Return a duration from the query, in milliseconds.

        Args:
            name: the name of the query parameter.
            default: the duration if the parameter is missing, in milliseconds.
            max_ms: the longest allowed duration.

        Raises:
            Refusal: ``MALFORMED_BODY`` if the value is not a number from 0 to ``max_ms``.
        """
        text = self._query.get(name, [None])[-1]
        if text is None:
            return default
        try:
            value = float(text)
        except ValueError:
            value = -1.0
        if not 0 <= value <= max_ms:
            raise Refusal(ResultCode.MALFORMED_BODY, f"{name}={text!r}, 0 to {max_ms:.0f} allowed")
        return value

    def decode(self, body_type: type) -> object:
        """Return the JSON body as a validated struct of a type.

        Raises:
            Refusal: ``MALFORMED_BODY``, with the path of the validation error.
        """
        try:
            return msgspec.json.decode(self.body, type=body_type)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise Refusal(ResultCode.MALFORMED_BODY, str(error)) from error


class HttpServer:
    """Serves the methods of endpoint objects that :func:`route` has marked.

    Args:
        address: ``IP:port`` to listen on.
        limits: limits on what it holds for its callers.
        count: adds to a named counter.

    Attributes:
        is_closing: whether the server is shutting down; connections close after their request.
        is_ending_idle: whether connections that wait for a request are ended.
        idle_handlers: handlers of the connections that wait for a request.
        body_reading: limits of the bodies of all requests.
        connections: the open connections.
        late_refusal: response to every request that arrives during a shutdown. With one, idle
            connections stay open while requests are in flight; without, they end at its begin.
        count: adds to a named counter.
    """

    def __init__(self, address: str, limits: HttpLimits, count: Callable[..., None]) -> None:
        host, _, port = address.rpartition(":")
        self.is_closing = False
        self.is_ending_idle = False
        self.idle_handlers: set[_Handler] = set()
        self.late_refusal: Refusal | None = None
        self.body_reading = BodyReading(limits, count)
        self.count = count
        self._routes: list[tuple[str, re.Pattern, Callable]] = []
        self.connections = OpenConnections(limits.connections_max, count)
        self._pool = Pool(limits.connections_max + CLOSING_CONNECTIONS_MAX)
        self._server = _Server(
            (host, int(port)), self._serve, log=None, spawn=self._pool, handler_class=_Handler
        )
        self._server.http_server = self

    def add(self, component: object) -> None:
        """Register the routes of an object's marked methods."""
        for name in dir(type(component)):
            route_of_method = getattr(getattr(type(component), name), "route", None)
            if route_of_method is not None:
                self._routes.append((*route_of_method, getattr(component, name)))

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def close(self, timeout_ms: float) -> bool:
        """Stop accepting connections, wait for the requests in flight, then close.

        Requests that do not end in time are answered as lost with this process.

        Args:
            timeout_ms: how long to wait for the requests in flight, in milliseconds.

        Returns:
            Whether every request in flight ended in time.
        """
        deadline_s = time.monotonic() + timeout_ms / 1000
        self.is_closing = True
        self._server.close()
        if self.late_refusal is not None:
            self._wait_for_requests(deadline_s)
        self.is_ending_idle = True
        for handler in list(self.idle_handlers):
            handler.end_idle()
        self._pool.join(max(0.0, deadline_s - time.monotonic()))
        all_ended = len(self._pool) == 0
        self._server.stop(timeout=0)
        return all_ended

    def _wait_for_requests(self, deadline_s: float) -> None:
        """Wait until every open connection is idle, at most until a monotonic time in seconds."""
        while len(self._pool) > len(self.idle_handlers) and time.monotonic() < deadline_s:
            gevent.sleep(CLOSE_CHECK_INTERVAL_MS / 1000)

    def _serve(self, environ: dict, start_response: Callable) -> list[bytes]:
        response = self._respond(environ)
        headers = [*response.headers, ("Content-Length", str(len(response.body)))]
        if self.is_closing or environ[BODY_KEY].is_unread:
            headers.append(("Connection", "close"))
        start_response(response.status_line, headers)
        return [response.body]

    def _respond(self, environ: dict) -> Response:
        late_refusal = self.late_refusal if self.is_closing else None
        try:
            request = Request(environ, self._read_body(environ))
            self.connections.begin_request(environ[HANDLER_KEY])
            if late_refusal is not None:
                raise late_refusal
            try:
                return self._find_handler(request)(request)
            except gevent.GreenletExit:
                raise Refusal(ResultCode.OWNER_LOST, "the process that received it ends") from None
        except Refusal as refusal:
            self.count(f"http.refused.{refusal.code.name.lower()}")
            return problem_response(refusal)
        except Exception as error:  # noqa: BLE001 - every error must reach the caller as a response
            self.count("http.fault")
            write_traceback()
            return problem_response(Refusal(ResultCode.INTERNAL, repr(error)))
        finally:
            environ[BODY_KEY].release()

    def _find_handler(self, request: Request) -> Callable[[Request], Response]:
        path_exists = False
        for method, pattern, function in self._routes:
            match = pattern.fullmatch(request.path)
            if match is None:
                continue
            path_exists = True
            if method == request.method:
                request.path_parameters = {k: unquote(v) for k, v in match.groupdict().items()}
                return function
        code = ResultCode.METHOD_NOT_ALLOWED if path_exists else ResultCode.NO_SUCH_PAGE
        raise Refusal(code, f"{request.method} {request.path[:100]}")

    def _read_body(self, environ: dict) -> bytes:
        _check_content_length(environ)
        try:
            with gevent.Timeout(BODY_TIMEOUT_MS / 1000):
                return environ[BODY_KEY].read()
        except Refusal:
            if environ[HANDLER_KEY].is_given_up:
                raise Refusal(ResultCode.OVERLOADED, TOO_MANY_CONNECTIONS) from None
            raise
        except gevent.Timeout:
            raise Refusal(ResultCode.REQUEST_TIMEOUT, "the body was not received in time") from None
        except OSError as error:
            raise Refusal(ResultCode.MALFORMED_BODY, f"body: {error}") from error


class _HeadersTooSlow(Exception):  # noqa: N818
    """The headers of a request were not received in time."""


class _GivenUp(Exception):  # noqa: N818
    """The connection was needed for others before its request was complete."""


class _Server(WSGIServer):
    http_server: HttpServer

    def init_socket(self) -> None:
        super().init_socket()
        # Bytes that nobody has read yet take memory of the machine for each connection.
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    def do_handle(self, client_socket: socket.socket, address: tuple) -> None:
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().do_handle(client_socket, address)


class _Handler(WSGIHandler):
    """Handles the requests of one connection.

    It registers itself with the server while idle, so that a shutdown can end its connection, and
    while open, so that the connection can be closed for others.
    """

    is_given_up = False  # whether it was closed for others

    def handle(self) -> None:
        connections = self.server.http_server.connections
        connections.add(self)
        try:
            super().handle()
        finally:
            connections.remove(self)

    def give_up(self) -> None:
        """Close the connection for others; a request that has begun is refused."""
        self.is_given_up = True
        self.end_idle()

    def read_requestline(self) -> str:
        http_server = self.server.http_server
        if http_server.is_ending_idle:
            return ""
        http_server.idle_handlers.add(self)
        try:
            with gevent.Timeout(IDLE_TIMEOUT_MS / 1000, False):
                line = super().read_requestline()
                return "" if self.is_given_up and not line.strip() else line
            return ""
        finally:
            http_server.idle_handlers.discard(self)

    def read_request(self, raw_requestline: str) -> bool:
        try:
            with gevent.Timeout(IDLE_TIMEOUT_MS / 1000, _HeadersTooSlow):
                return super().read_request(raw_requestline)
        finally:
            if self.is_given_up:
                raise _GivenUp

    def MessageClass(self, stream: object, *_: object) -> object:  # noqa: N802 - name in gevent
        return read_headers(stream)

    def _handle_client_error(self, ex: Exception) -> object:
        if isinstance(ex, _HeadersTooSlow):
            return self._refuse_and_close(
                ResultCode.REQUEST_TIMEOUT, "the headers were not received in time"
            )
        if isinstance(ex, _GivenUp):
            return self._refuse_and_close(ResultCode.OVERLOADED, TOO_MANY_CONNECTIONS)
        return self._refuse_and_close(ResultCode.MALFORMED_BODY, f"invalid HTTP request: {ex}")

    def handle_one_request(self) -> object:
        result = super().handle_one_request()
        self.server.http_server.connections.end_request(self)
        if not isinstance(result, tuple):
            gevent.sleep(0)  # the next request may have arrived already, and others wait
            return result
        if result[0] == LINE_TOO_LONG_STATUS:
            result = self._refuse_and_close(
                ResultCode.MALFORMED_BODY, "the request line is too long"
            )
        with suppress(OSError):
            self._send_in_time(self.socket.sendall, result[1])
            linger(self.socket, self.rfile)
        return None

    def _refuse_and_close(self, code: ResultCode, detail: str) -> tuple[str, bytes]:
        """Return the response to a request without a complete head; it closes the connection."""
        self.server.http_server.count(f"http.refused.{code.name.lower()}")
        response = problem_response(Refusal(code, detail))
        return str(response.status), _encode_message(response)

    def get_environ(self) -> dict:
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        environ[HANDLER_KEY] = self
        self.wsgi_input = environ[BODY_KEY] = RequestBody(
            self.rfile,
            self.socket,
            self.content_length,
            environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked",
            environ.get("HTTP_EXPECT") == "100-continue",
            self.server.http_server.body_reading,
        )
        return environ

    def _sendall(self, data: bytes) -> None:
        self._send_in_time(super()._sendall, data)

    def _send_in_time(self, send: Callable[[bytes], None], data: bytes) -> None:
        """Send a part of a response; a caller that does not read it loses its connection.

        Args:
            send: sends all bytes.
            data: the part.

        Raises:
            ConnectionResetError: the caller has not read it within ``RESPONSE_TIMEOUT_MS``.
            OSError: the connection has ended.
        """
        try:
            with gevent.Timeout(RESPONSE_TIMEOUT_MS / 1000):
                send(data)
        except gevent.Timeout:
            self.server.http_server.count("http.response_unread")
            raise ConnectionResetError(errno.ECONNRESET, "the response is not read") from None

    def _write_with_headers(self, data: bytes) -> None:
        """Send the headers and the first part of the body with one write."""
        parts: list[bytes] = []
        self._sendall = parts.append
        try:
            super()._write_with_headers(data)
        finally:
            del self._sendall
        self._sendall(b"".join(parts))

    def end_idle(self) -> None:
        """End the connection while it waits for its caller.

        A request that has arrived is read nevertheless; the method of gevent's socket would
        cancel the wait for it.
        """
        try:
            self.socket._sock.shutdown(socket.SHUT_RD)
        except OSError:
            return


def _encode_message(response: Response) -> bytes:
    headers = [
        *response.headers,
        ("Content-Length", str(len(response.body))),
        ("Connection", "close"),
    ]
    lines = [f"HTTP/1.1 {response.status_line}", *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join([*lines, "", ""]).encode() + response.body


def _check_content_length(environ: dict) -> None:
    """Raise the refusal of a length that is not well formed although it can be converted."""
    text = environ.get("CONTENT_LENGTH") or "0"
    if not text.isascii() or not text.isdigit():
        raise Refusal(ResultCode.MALFORMED_BODY, f"Content-Length {text!r}")
