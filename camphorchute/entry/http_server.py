"""The HTTP server towards callers and operators: routes, limits and an orderly stop."""

import re
import socket
from collections.abc import Callable
from urllib.parse import parse_qs, unquote

import gevent
import msgspec
from eliot import write_traceback
from gevent.event import Event
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer
from gevent.socket import wait_read

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.entry.problem import Response, problem_response

__all__ = ["HttpServer", "Request", "route"]

CONNECTIONS_MAX = 4096
BODY_TIMEOUT_MS = 10_000.0
IDLE_TIMEOUT_MS = 60_000.0
LINE_TOO_LONG_STATUS = "414"
SOCKET_KEY = "camphorchute.socket"


def route(method: str, path: str) -> Callable:
    """Mark a method as the handler of a route; ``<name>`` stands for a part of the path.

    ``<name:path>`` at the end stands for all the rest.
    """

    def mark(function: Callable) -> Callable:
        pattern = re.sub(r"<(\w+)(:path)?>", _part_pattern, path)
        function.route = (method, re.compile(pattern))
        return function

    return mark


def _part_pattern(match: re.Match) -> str:
    return f"(?P<{match[1]}>{'.*' if match[2] else '[^/]+'})"


class Request:
    """An HTTP request.

    Attributes:
        method: its method.
        path: its path, not decoded.
        body: its bytes.
        parts: the named parts of the path.
    """

    __slots__ = ("method", "path", "body", "parts", "_environ", "_query")

    def __init__(self, environ: dict, body: bytes) -> None:
        self.method = environ["REQUEST_METHOD"]
        self.path = environ["PATH_INFO"]
        self.body = body
        self.parts: dict[str, str] = {}
        self._environ = environ
        self._query = parse_qs(environ.get("QUERY_STRING", ""))

    def header(self, name: str) -> str:
        """Return a header's value, empty where there is none."""
        return self._environ.get("HTTP_" + name.upper().replace("-", "_"), "")

    def watch_caller(self) -> "CallerWatch":
        """Return a watch that notices when the caller closes its connection."""
        return CallerWatch(self._environ[SOCKET_KEY])

    def query_ms(self, name: str, default: float, most: float) -> float:
        """Return a duration from the query.

        Raises:
            Refusal: ``MALFORMED_BODY`` where it is no number from 0 to ``most``.
        """
        text = self._query.get(name, [None])[-1]
        if text is None:
            return default
        try:
            value = float(text)
        except ValueError:
            value = -1.0
        if not 0 <= value <= most:
            raise Refusal(ResultCode.MALFORMED_BODY, f"{name}={text!r}, 0 to {most:.0f} allowed")
        return value

    def decode(self, body_type: type) -> object:
        """Return the JSON body as a checked struct.

        Raises:
            Refusal: ``MALFORMED_BODY``, with the path of the fault.
        """
        try:
            return msgspec.json.decode(self.body, type=body_type)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            raise Refusal(ResultCode.MALFORMED_BODY, str(error)) from error


class CallerWatch:
    """Notices that a caller has closed its connection while it waits for its answer.

    Args:
        sock: the connection.

    Attributes:
        gone: set when the connection was closed or reset.
    """

    __slots__ = ("gone", "_socket", "_greenlet")

    def __init__(self, sock: socket.socket) -> None:
        self.gone = Event()
        self._socket = sock
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Watch from now on."""
        self._greenlet = gevent.spawn(self._watch)

    def close(self) -> None:
        """Stop to watch."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def _watch(self) -> None:
        try:
            wait_read(self._socket.fileno())
            if not self._socket.recv(1, socket.MSG_PEEK):
                self.gone.set()
        except OSError:
            self.gone.set()


class HttpServer:
    """Serves the marked methods of the parts.

    Args:
        address: ``IP:port`` to listen on.
        body_max_bytes: largest body that is read.
        count: adds to a named counter.

    Attributes:
        leaving: whether connections are closed after their request.
    """

    def __init__(self, address: str, body_max_bytes: int, count: Callable[..., None]) -> None:
        host, _, port = address.rpartition(":")
        self.leaving = False
        self.idle: set[_Handler] = set()
        self._body_max_bytes = body_max_bytes
        self.count = count
        self._routes: list[tuple[str, re.Pattern, Callable]] = []
        self._pool = Pool(CONNECTIONS_MAX)
        self._server = _Server(
            (host, int(port)), self._serve, log=None, spawn=self._pool, handler_class=_Handler
        )
        self._server.owner = self

    def add(self, part: object) -> None:
        """Take in the marked methods of a part."""
        for name in dir(type(part)):
            marked = getattr(getattr(type(part), name), "route", None)
            if marked is not None:
                self._routes.append((*marked, getattr(part, name)))

    def start(self) -> None:
        """Listen."""
        self._server.start()

    def close(self, timeout_ms: float) -> bool:
        """Accept no more, let requests in flight end, then close.

        Returns:
            Whether every request in flight ended in time.
        """
        self.leaving = True
        self._server.close()
        for handler in list(self.idle):
            handler.end_idle()
        self._pool.join(timeout_ms / 1000)
        ended = len(self._pool) == 0
        self._server.stop(timeout=0)
        return ended

    def _serve(self, environ: dict, start_response: Callable) -> list[bytes]:
        response = self._respond(environ)
        headers = [*response.headers, ("Content-Length", str(len(response.body)))]
        if self.leaving:
            headers.append(("Connection", "close"))
        start_response(response.status_line, headers)
        return [response.body]

    def _respond(self, environ: dict) -> Response:
        try:
            request = Request(environ, self._read_body(environ))
            return self._find(request)(request)
        except Refusal as refusal:
            self.count(f"http.refused.{refusal.code.name.lower()}")
            return problem_response(refusal)
        except Exception as error:  # noqa: BLE001 - the caller must get an honest answer
            self.count("http.fault")
            write_traceback()
            return problem_response(Refusal(ResultCode.INTERNAL, repr(error)))

    def _find(self, request: Request) -> Callable[[Request], Response]:
        known = False
        for method, pattern, function in self._routes:
            match = pattern.fullmatch(request.path)
            if match is None:
                continue
            known = True
            if method == request.method:
                request.parts = {k: unquote(v) for k, v in match.groupdict().items()}
                return function
        code = ResultCode.METHOD_NOT_ALLOWED if known else ResultCode.NO_SUCH_PAGE
        raise Refusal(code, f"{request.method} {request.path[:100]}")

    def _read_body(self, environ: dict) -> bytes:
        length = _content_length(environ)
        if length is not None and length > self._body_max_bytes:
            raise Refusal(
                ResultCode.BODY_TOO_LARGE, f"{length} bytes, at most {self._body_max_bytes}"
            )
        try:
            with gevent.Timeout(BODY_TIMEOUT_MS / 1000):
                body = environ["wsgi.input"].read(self._body_max_bytes + 1)
        except gevent.Timeout:
            environ[SOCKET_KEY].shutdown(socket.SHUT_RD)
            raise Refusal(ResultCode.REQUEST_TIMEOUT, "the body came too slowly") from None
        except OSError as error:
            raise Refusal(ResultCode.MALFORMED_BODY, f"body: {error}") from error
        if len(body) > self._body_max_bytes:
            raise Refusal(ResultCode.BODY_TOO_LARGE, f"over {self._body_max_bytes} bytes")
        if length is not None and len(body) < length:
            raise Refusal(ResultCode.MALFORMED_BODY, f"{len(body)} of {length} bytes came")
        return body


class _HeadersTooSlow(Exception):  # noqa: N818
    """The headers of a request did not come in time."""


class _Server(WSGIServer):
    owner: HttpServer

    def do_handle(self, client_socket: socket.socket, address: tuple) -> None:
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().do_handle(client_socket, address)


class _Handler(WSGIHandler):
    """Keeps count of idle connections, so that a stop can end them."""

    def read_requestline(self) -> str:
        owner = self.server.owner
        if owner.leaving:
            return ""
        owner.idle.add(self)
        try:
            with gevent.Timeout(IDLE_TIMEOUT_MS / 1000, False):
                return super().read_requestline()
            return ""
        finally:
            owner.idle.discard(self)

    def read_request(self, raw_requestline: str) -> bool:
        with gevent.Timeout(IDLE_TIMEOUT_MS / 1000, _HeadersTooSlow):
            return super().read_request(raw_requestline)

    def _handle_client_error(self, ex: Exception) -> object:
        if isinstance(ex, _HeadersTooSlow):
            return self._refuse(ResultCode.REQUEST_TIMEOUT, "the headers came too slowly")
        return self._refuse(ResultCode.MALFORMED_BODY, f"no valid request: {ex}")

    def handle_one_request(self) -> object:
        result = super().handle_one_request()
        if isinstance(result, tuple) and result[0] == LINE_TOO_LONG_STATUS:
            return self._refuse(ResultCode.MALFORMED_BODY, "the request line is too long")
        return result

    def _refuse(self, code: ResultCode, detail: str) -> tuple[str, bytes]:
        """Answer bytes that are no request, and end the connection."""
        self.server.owner.count(f"http.refused.{code.name.lower()}")
        response = problem_response(Refusal(code, detail))
        return str(response.status), _whole_message(response)

    def get_environ(self) -> dict:
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ

    def end_idle(self) -> None:
        """End a connection that waits for its next request."""
        try:
            self.socket.shutdown(socket.SHUT_RD)
        except OSError:
            return


def _whole_message(response: Response) -> bytes:
    headers = [
        *response.headers,
        ("Content-Length", str(len(response.body))),
        ("Connection", "close"),
    ]
    lines = [f"HTTP/1.1 {response.status_line}", *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join([*lines, "", ""]).encode() + response.body


def _content_length(environ: dict) -> int | None:
    text = environ.get("CONTENT_LENGTH") or ""
    if not text:
        return None
    if not text.isascii() or not text.isdigit():
        raise Refusal(ResultCode.MALFORMED_BODY, f"Content-Length {text!r}")
    return int(text)
