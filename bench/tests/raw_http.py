"""HTTP requests as raw bytes, so that tests can send malformed ones."""

import socket
from contextlib import suppress
from http.client import HTTPResponse

import msgspec

__all__ = ["Reply", "connect", "exchange", "read_reply", "request_bytes"]

TIMEOUT_S = 15.0


class Reply:
    """An HTTP response.

    Attributes:
        status: HTTP status.
        content_type: value of the header Content-Type, empty if absent.
        body: bytes of the body.
    """

    __slots__ = ("status", "content_type", "body")

    def __init__(self, status: int, content_type: str, body: bytes) -> None:
        self.status = status
        self.content_type = content_type
        self.body = body

    def json(self) -> object:
        """Return the body decoded from JSON."""
        return msgspec.json.decode(self.body)


def connect(address: str) -> socket.socket:
    """Open a TCP connection to ``IP:port``."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=TIMEOUT_S)


def request_bytes(method: str, path: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a request.

    Args:
        method: HTTP method.
        path: path with the query.
        headers: headers; Host and Content-Length are added unless given.
        body: bytes of the body.
    """
    fields = {"Host": "entry", "Content-Length": str(len(body)), **headers}
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def read_reply(connection: socket.socket) -> Reply:
    """Read one complete response."""
    response = HTTPResponse(connection)
    response.begin()
    reply = Reply(response.status, response.getheader("Content-Type", ""), response.read())
    response.close()
    return reply


def exchange(address: str, data: bytes, half_close: bool = False) -> Reply:
    """Send bytes on a new connection and return the response.

    Args:
        address: ``IP:port``.
        data: bytes to send.
        half_close: whether to close the sending side after the bytes.
    """
    with connect(address) as connection:
        connection.sendall(data)
        if half_close:
            _close_sending_side(connection)
        return read_reply(connection)


def _close_sending_side(connection: socket.socket) -> None:
    """Close the sending side; do nothing if the peer has closed the connection already."""
    with suppress(OSError):
        connection.shutdown(socket.SHUT_WR)
