"""HTTP requests written byte by byte, so that they can be wrong."""

import socket
from contextlib import suppress
from http.client import HTTPResponse

import msgspec

__all__ = ["Reply", "connect", "exchange", "read_reply", "request_bytes"]

TIMEOUT_S = 15.0


class Reply:
    """What came back.

    Attributes:
        status: the HTTP status.
        content_type: the header Content-Type.
        body: the bytes of the body.
    """

    __slots__ = ("status", "content_type", "body")

    def __init__(self, status: int, content_type: str, body: bytes) -> None:
        self.status = status
        self.content_type = content_type
        self.body = body

    def json(self) -> object:
        """Return the decoded body."""
        return msgspec.json.decode(self.body)


def connect(address: str) -> socket.socket:
    """Return a new connection."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=TIMEOUT_S)


def request_bytes(method: str, path: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a request; Content-Length is that of the body if not given."""
    fields = {"Host": "entry", "Content-Length": str(len(body)), **headers}
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def read_reply(connection: socket.socket) -> Reply:
    """Read one whole reply."""
    response = HTTPResponse(connection)
    response.begin()
    reply = Reply(response.status, response.getheader("Content-Type", ""), response.read())
    response.close()
    return reply


def exchange(address: str, data: bytes, half_close: bool = False) -> Reply:
    """Send bytes on a new connection and return the reply.

    Args:
        address: ``IP:port``.
        data: what is sent.
        half_close: whether the sending side is closed after the bytes.
    """
    with connect(address) as connection:
        connection.sendall(data)
        if half_close:
            _shut_down_sending(connection)
        return read_reply(connection)


def _shut_down_sending(connection: socket.socket) -> None:
    """Close the sending side, unless the other end has closed the connection already."""
    with suppress(OSError):
        connection.shutdown(socket.SHUT_WR)
