"""HTTP server that is the base of every stand-in, with the faults that all of them support."""

import json
import time
from collections.abc import Callable, Iterable
from urllib.parse import parse_qs

import gevent
import msgspec
from gevent import socket
from gevent.event import Event
from gevent.pywsgi import WSGIHandler, WSGIServer

__all__ = ["Connection", "ConnectionDropped", "Faults", "Reply", "Request", "Standin"]

STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    404: "404 Not Found",
    409: "409 Conflict",
    410: "410 Gone",
    412: "412 Precondition Failed",
    421: "421 Misdirected Request",
    429: "429 Too Many Requests",
    500: "500 Internal Server Error",
    503: "503 Service Unavailable",
}
CONNECTION_ENVIRON_KEY = "standins.connection"
CONTROL_PATHS = ("/faults", "/record")


class ConnectionDropped(Exception):  # noqa: N818
    """Raised by a handler to close the connection of its request without an answer."""


class Connection:
    """One accepted connection.

    Attributes:
        sock: its socket.
        is_unresponsive: whether nothing more is ever sent on it.
    """

    __slots__ = ("sock", "is_unresponsive")

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.is_unresponsive = False

    def drop(self) -> None:
        """Close the connection in both directions, which makes its handler return."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def block_if_unresponsive(self) -> None:
        """Block forever if the connection is unresponsive."""
        if self.is_unresponsive:
            wait_forever()


class Request:
    """One request with its complete body.

    Args:
        environ: the WSGI environment of the request.

    Attributes:
        method: the HTTP method.
        path: the path without the query.
        query: the last value of each query parameter, by name.
        headers: the WSGI environment, which holds the headers.
        body: the body.
        connection: the connection that the request arrived on.
        delayed_ms: time between its arrival and its execution if a fault delays it, in
            milliseconds.
    """

    __slots__ = ("method", "path", "query", "headers", "body", "connection", "delayed_ms")

    def __init__(self, environ: dict) -> None:
        self.method = environ["REQUEST_METHOD"]
        self.path = environ["PATH_INFO"]
        query = parse_qs(environ["QUERY_STRING"])
        self.query = {name: values[-1] for name, values in query.items()}
        self.headers = environ
        self.body = environ["wsgi.input"].read()
        self.connection: Connection = environ[CONNECTION_ENVIRON_KEY]
        self.delayed_ms = 0.0

    def header(self, name: str) -> str:
        """Return the value of a header, empty if it was not sent."""
        return self.headers.get("HTTP_" + name.upper().replace("-", "_"), "")

    def json(self) -> dict:
        """Return the body decoded as a JSON object; no body is an empty object.

        Raises:
            ValueError: the body is not a JSON object.
        """
        value = json.loads(self.body or b"{}")
        if not isinstance(value, dict):
            raise ValueError(f"the body is a JSON {type(value).__name__}, expected an object")
        return value


class Reply:
    """The response of a handler.

    Args:
        body: a value that is sent as JSON, or an iterator of byte strings that are streamed.
        status: the HTTP status.
        headers: name and value of each header besides the content type.
    """

    __slots__ = ("body", "status", "headers")

    def __init__(self, body: object, status: int = 200, headers: tuple = ()) -> None:
        self.body = body
        self.status = status
        self.headers = headers

    def send(self, start_response: Callable, connection: Connection) -> Iterable[bytes]:
        """Start the response and return its body.

        Args:
            start_response: the WSGI function that sends the status and the headers.
            connection: the connection that the response is sent on.
        """
        headers = [("Content-Type", "application/json"), *self.headers]
        start_response(STATUS_LINES[self.status], headers)
        if hasattr(self.body, "__next__"):
            return self._stream_body(connection)
        return [json.dumps(self.body).encode()]

    def _stream_body(self, connection: Connection) -> Iterable[bytes]:
        for chunk in self.body:
            connection.block_if_unresponsive()
            yield chunk


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that every stand-in supports.

    Attributes:
        hang: whether requests are accepted and never answered.
        slow_ms: delay before every request is handled, in milliseconds.
        down_ms: closes the listener and all connections; it listens again after this time, in
            milliseconds.
        silent: makes the connections that are open now unresponsive; new ones work.
    """

    hang: bool = False
    slow_ms: float = 0.0
    down_ms: float = 0.0
    silent: bool = False


class _Handler(WSGIHandler):
    def get_environ(self) -> dict:
        environ = super().get_environ()
        environ[CONNECTION_ENVIRON_KEY] = self.server.connections[self.socket]
        return environ


class _Server(WSGIServer):
    """A WSGI server that tracks its open connections."""

    def __init__(self, address: tuple[str, int], application: Callable) -> None:
        super().__init__(address, application, log=None, handler_class=_Handler)
        self.connections: dict[socket.socket, Connection] = {}

    def handle(self, sock: socket.socket, address: tuple) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections[sock] = Connection(sock)
        try:
            super().handle(sock, address)
        finally:
            del self.connections[sock]


class Standin:
    """Base class of the stand-ins: an HTTP server with routes and injected faults.

    ``GET /faults`` returns the faults and ``POST /faults`` sets those that its body names.
    ``/faults`` and ``/record`` are exempt from faults, except on unresponsive connections.

    Args:
        address: ``ip:port`` to listen on; port 0 chooses a free one.

    Attributes:
        faults_type: the type of the faults.
        faults: the faults in force.
        routes: handlers by method and path; subclasses add theirs.
    """

    faults_type: type[Faults] = Faults

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.faults = self.faults_type()
        self.routes: dict[tuple[str, str], Callable[[Request], Reply]] = {
            ("GET", "/faults"): self._show_faults,
            ("POST", "/faults"): self._set_faults,
        }
        self._server = _Server((host, int(port)), self._serve_request)

    @property
    def address(self) -> str:
        """The address that it listens on, as ``ip:port``."""
        host, port = self._server.address[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def close(self) -> None:
        """Stop listening and close every connection."""
        self._stop_listening()

    def drop_connections(self, except_for: Connection | None = None) -> None:
        """Close every open connection except one; None closes them all."""
        for connection in list(self._server.connections.values()):
            if connection is not except_for:
                connection.drop()

    def before_request(self, request: Request) -> None:
        """Apply the faults to a request before it is handled."""
        if self.faults.hang:
            wait_forever()
        if self.faults.slow_ms:
            gevent.sleep(self.faults.slow_ms / 1000.0)

    def handle_unrouted_request(self, request: Request) -> Reply:
        """Answer a request that no route matches."""
        return Reply({"error": f"no endpoint {request.method} {request.path}"}, 404)

    def apply_changed_faults(self, request: Request) -> None:
        """Carry out the faults that take effect once, when they are set.

        Args:
            request: the request that set them; its connection stays responsive.
        """
        if self.faults.silent:
            self.faults.silent = False
            for connection in self._server.connections.values():
                connection.is_unresponsive = connection is not request.connection
        if self.faults.down_ms:
            gevent.spawn(self._stop_temporarily, self.faults.down_ms / 1000.0)
            self.faults.down_ms = 0.0

    def _stop_temporarily(self, duration_s: float) -> None:
        self._stop_listening()
        gevent.sleep(duration_s)
        self._server.start()

    def _stop_listening(self) -> None:
        self._server.stop()
        self.drop_connections()

    def _serve_request(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        request = Request(environ)
        try:
            request.connection.block_if_unresponsive()
            if request.path not in CONTROL_PATHS:
                self.before_request(request)
            reply = self._handle_request(request)
        except ConnectionDropped:
            request.connection.drop()
            reply = Reply(None, 500)
        request.connection.block_if_unresponsive()
        return reply.send(start_response, request.connection)

    def _handle_request(self, request: Request) -> Reply:
        handler = self.routes.get((request.method, request.path), self.handle_unrouted_request)
        try:
            return handler(request)
        except (ValueError, KeyError, TypeError) as error:
            return Reply({"error": f"{type(error).__name__}: {error}"}, 400)

    def _show_faults(self, request: Request) -> Reply:
        return Reply(msgspec.to_builtins(self.faults))

    def _set_faults(self, request: Request) -> Reply:
        fields = msgspec.to_builtins(self.faults) | request.json()
        self.faults = msgspec.convert(fields, self.faults_type)
        self.apply_changed_faults(request)
        return self._show_faults(request)


def wait_forever() -> None:
    """Block the calling greenlet forever."""
    Event().wait()


def now_unix_ms() -> float:
    """Return the time of the wall clock in milliseconds since the Unix epoch."""
    return time.time() * 1000.0
