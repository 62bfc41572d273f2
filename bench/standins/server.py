"""The HTTP server that every stand-in is built on, and the faults that all of them know."""

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
CONNECTION_KEY = "standins.connection"
CONTROL_PATHS = ("/faults", "/record")


class ConnectionDropped(Exception):  # noqa: N818
    """The request's connection is to be closed without an answer."""


class Connection:
    """One accepted connection.

    Attributes:
        sock: its socket.
        silent: whether nothing more is ever sent on it.
    """

    __slots__ = ("sock", "silent")

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.silent = False

    def drop(self) -> None:
        """Close the connection in both directions; its handler ends by itself."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def wait_if_silent(self) -> None:
        """Never return if the connection is silent."""
        if self.silent:
            wait_forever()


class Request:
    """One request, read whole."""

    __slots__ = ("method", "path", "query", "headers", "body", "connection")

    def __init__(self, environ: dict) -> None:
        self.method = environ["REQUEST_METHOD"]
        self.path = environ["PATH_INFO"]
        query = parse_qs(environ["QUERY_STRING"])
        self.query = {name: values[-1] for name, values in query.items()}
        self.headers = environ
        self.body = environ["wsgi.input"].read()
        self.connection: Connection = environ[CONNECTION_KEY]

    def header(self, name: str) -> str:
        """Return a header's value, empty where it was not sent."""
        return self.headers.get("HTTP_" + name.upper().replace("-", "_"), "")

    def json(self) -> dict:
        """Return the body read as a JSON object, empty where there is none."""
        value = json.loads(self.body or b"{}")
        if not isinstance(value, dict):
            raise ValueError("the body is no JSON object")
        return value


class Reply:
    """What a handler answers.

    Args:
        body: a value that is sent as JSON, or an iterator of byte strings that is streamed.
        status: the HTTP status.
        headers: headers besides the content type.
    """

    __slots__ = ("body", "status", "headers")

    def __init__(self, body: object, status: int = 200, headers: tuple = ()) -> None:
        self.body = body
        self.status = status
        self.headers = headers

    def send(self, start_response: Callable, connection: Connection) -> Iterable[bytes]:
        """Return the body for the server to send."""
        headers = [("Content-Type", "application/json"), *self.headers]
        start_response(STATUS_LINES[self.status], headers)
        if hasattr(self.body, "__next__"):
            return self._stream(connection)
        return [json.dumps(self.body).encode()]

    def _stream(self, connection: Connection) -> Iterable[bytes]:
        for part in self.body:
            connection.wait_if_silent()
            yield part


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that every stand-in knows.

    Attributes:
        hang: requests are accepted and never answered.
        slow_ms: time added to every answer, milliseconds.
        down_ms: the listener and all connections close, and it listens again after this time.
        silent: the connections open now never send anything again; new ones work.
    """

    hang: bool = False
    slow_ms: float = 0.0
    down_ms: float = 0.0
    silent: bool = False


class _Handler(WSGIHandler):
    def get_environ(self) -> dict:
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self.server.connections[self.socket]
        return environ


class _Server(WSGIServer):
    """A WSGI server that knows its open connections."""

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
    """Base of the stand-ins: an HTTP server with routes and faults.

    A subclass fills ``routes`` by method and path. ``GET /faults`` shows the faults and
    ``POST /faults`` sets those that it names; faults never touch ``/faults`` and ``/record``,
    but for silent connections.

    Args:
        address: ``ip:port``; port 0 takes a free one.
    """

    faults_type: type[Faults] = Faults

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.faults = self.faults_type()
        self.routes: dict[tuple[str, str], Callable[[Request], Reply]] = {
            ("GET", "/faults"): self._show_faults,
            ("POST", "/faults"): self._set_faults,
        }
        self._server = _Server((host, int(port)), self._serve)

    @property
    def address(self) -> str:
        """The address it listens on."""
        host, port = self._server.address[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Listen."""
        self._server.start()

    def close(self) -> None:
        """Stop listening and close every connection."""
        self._stop_listening()

    def drop_connections(self, but: Connection | None = None) -> None:
        """Close every open connection but one."""
        for connection in list(self._server.connections.values()):
            if connection is not but:
                connection.drop()

    def before(self, request: Request) -> None:
        """Let the faults act on a request before it is handled."""
        if self.faults.hang:
            wait_forever()
        if self.faults.slow_ms:
            gevent.sleep(self.faults.slow_ms / 1000.0)

    def unrouted(self, request: Request) -> Reply:
        """Answer a request that no route takes."""
        return Reply({"error": f"no page {request.method} {request.path}"}, 404)

    def faults_changed(self, request: Request) -> None:
        """Act on faults that were just set."""
        if self.faults.silent:
            self.faults.silent = False
            for connection in self._server.connections.values():
                connection.silent = connection is not request.connection
        if self.faults.down_ms:
            gevent.spawn(self._go_down, self.faults.down_ms / 1000.0)
            self.faults.down_ms = 0.0

    def _go_down(self, duration_s: float) -> None:
        self._stop_listening()
        gevent.sleep(duration_s)
        self._server.start()

    def _stop_listening(self) -> None:
        self._server.stop()
        self.drop_connections()

    def _serve(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        request = Request(environ)
        try:
            request.connection.wait_if_silent()
            if request.path not in CONTROL_PATHS:
                self.before(request)
            reply = self._handle(request)
        except ConnectionDropped:
            request.connection.drop()
            reply = Reply(None, 500)
        request.connection.wait_if_silent()
        return reply.send(start_response, request.connection)

    def _handle(self, request: Request) -> Reply:
        handler = self.routes.get((request.method, request.path), self.unrouted)
        try:
            return handler(request)
        except (ValueError, KeyError, TypeError) as error:
            return Reply({"error": f"{type(error).__name__}: {error}"}, 400)

    def _show_faults(self, request: Request) -> Reply:
        return Reply(msgspec.to_builtins(self.faults))

    def _set_faults(self, request: Request) -> Reply:
        fields = msgspec.to_builtins(self.faults) | request.json()
        self.faults = msgspec.convert(fields, self.faults_type)
        self.faults_changed(request)
        return self._show_faults(request)


def wait_forever() -> None:
    """Block the calling greenlet for good."""
    Event().wait()


def now_unix_ms() -> float:
    """Return the wall clock time in milliseconds."""
    return time.time() * 1000.0
