"""Clients that keep to no limit: what each kind sends before it stops and stays connected."""

import socket
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from threading import Thread

from bench.standins.fleet_site import QUEUE_HOST, QUEUE_PATH_PREFIX

__all__ = ["CLIENT_KINDS", "Crowd", "HastyClient", "job_head"]

SEND_TIMEOUT_S = 20.0
BODY_BYTES = 2_000_000
PIECE_BYTES = 4096
PIECE_PAUSE_S = 0.002
HASTY_MAX_BYTES = 200_000_000

CLIENT_KINDS: dict[str, Callable[[int], Iterator[bytes]]] = {}


def client_kind(send: Callable[[int], Iterator[bytes]]) -> Callable[[int], Iterator[bytes]]:
    """Register a kind of client: a generator of what its number sends, by the generator's name."""
    CLIENT_KINDS[send.__name__] = send
    return send


def job_head(job_id: str, *headers: str) -> bytes:
    """Return the head of a submission.

    Args:
        job_id: id of the job.
        headers: further header lines.
    """
    lines = [f"POST {QUEUE_PATH_PREFIX}{job_id} HTTP/1.1", f"Host: {QUEUE_HOST}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n"


def _open_head(number: int) -> bytes:
    return job_head(f"{number:016x}")


def _complete_head(number: int, *headers: str) -> bytes:
    return job_head(f"{number:016x}", *headers) + b"\r\n"


@client_kind
def long_head(number: int) -> Iterator[bytes]:
    """Send 95 header lines of 60 KB."""
    yield _open_head(number)
    for index in range(95):
        yield f"X-{index}: ".encode() + b"a" * 60_000 + b"\r\n"


@client_kind
def endless_header(number: int) -> Iterator[bytes]:
    """Send one header line without end."""
    yield _open_head(number) + b"X-A: "
    for _ in range(400):
        yield b"a" * 65_536


@client_kind
def empty_lines(number: int) -> Iterator[bytes]:
    """Send empty lines before a request that never comes."""
    for _ in range(400):
        yield b"\r\n" * 32_768


@client_kind
def short_headers(number: int) -> Iterator[bytes]:
    """Send 90 short header lines and no end."""
    yield _open_head(number)
    for index in range(90):
        yield f"X-{index}: ".encode() + b"a" * 100 + b"\r\n"


@client_kind
def silent(number: int) -> Iterator[bytes]:
    """Send nothing."""
    yield b""


@client_kind
def body(number: int) -> Iterator[bytes]:
    """Send all but one byte of a body of the largest size."""
    yield _complete_head(number, f"Content-Length: {BODY_BYTES}") + b"{" * (BODY_BYTES - 1)


@client_kind
def body_in_pieces(number: int) -> Iterator[bytes]:
    """Send most of a body of the largest size piece by piece."""
    yield _complete_head(number, f"Content-Length: {BODY_BYTES}")
    for _ in range(BODY_BYTES // PIECE_BYTES):
        yield b"{" * PIECE_BYTES
        time.sleep(PIECE_PAUSE_S)


@client_kind
def large_chunks(number: int) -> Iterator[bytes]:
    """Send a chunked body in chunks of 64 KB, without the last one."""
    yield _complete_head(number, "Transfer-Encoding: chunked")
    for _ in range(30):
        yield b"10000\r\n" + b"{" * 65_536 + b"\r\n"


@client_kind
def small_chunks(number: int) -> Iterator[bytes]:
    """Send a chunked body in chunks of two bytes, without the last one."""
    yield _complete_head(number, "Transfer-Encoding: chunked")
    for _ in range(40):
        yield b"2\r\n{{\r\n" * 20_000


@client_kind
def long_chunk_extensions(number: int) -> Iterator[bytes]:
    """Send chunks of one byte with extensions of 8,000 bytes."""
    yield _complete_head(number, "Transfer-Encoding: chunked")
    for _ in range(3000):
        yield b"1;" + b"x" * 8000 + b"\r\n{\r\n"


@client_kind
def trailers(number: int) -> Iterator[bytes]:
    """Send trailers without end after the last chunk."""
    yield _complete_head(number, "Transfer-Encoding: chunked") + b"0\r\n"
    for _ in range(400):
        yield (b"X-A: " + b"a" * 4000 + b"\r\n") * 16


@client_kind
def unread_answers(number: int) -> Iterator[bytes]:
    """Send 4,000 requests and read no answer."""
    for _ in range(4000):
        yield f"GET /nothing/here HTTP/1.1\r\nHost: {QUEUE_HOST}\r\n\r\n".encode()


class HastyClient:
    """Sends requests without a pause and reads the answers, from `start` to `close`.

    Args:
        address: ``IP:port`` to connect to.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._connection = socket.create_connection((host, int(port)), SEND_TIMEOUT_S)
        self._threads = [Thread(target=self._send), Thread(target=self._read)]

    def start(self) -> None:
        """Start to send and to read."""
        for thread in self._threads:
            thread.start()

    def _send(self) -> None:
        requests = f"GET /nothing/here HTTP/1.1\r\nHost: {QUEUE_HOST}\r\n\r\n".encode() * 500
        with suppress(OSError):
            for _ in range(HASTY_MAX_BYTES // len(requests)):
                self._connection.sendall(requests)

    def _read(self) -> None:
        with suppress(OSError):
            while self._connection.recv(65_536):
                pass

    def close(self) -> None:
        """Close the connection."""
        with suppress(OSError):
            self._connection.shutdown(socket.SHUT_RDWR)
        for thread in self._threads:
            thread.join()
        self._connection.close()


class Crowd:
    """Clients that send what their kind says, stop, and stay connected until `close`.

    Args:
        address: ``IP:port`` to connect to.
        clients: kind and number of clients.
    """

    def __init__(self, address: str, clients: dict[str, int]) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._kinds = [kind for kind, count in clients.items() for _ in range(count)]
        self._sockets: list[socket.socket] = []

    def send(self) -> dict[str, int]:
        """Connect and send; return the largest number of bytes that a client of each kind sent."""
        sent_bytes = [0] * len(self._kinds)
        threads = [
            Thread(target=self._send, args=(number, kind, sent_bytes))
            for number, kind in enumerate(self._kinds)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        largest: dict[str, int] = {}
        for kind, count in zip(self._kinds, sent_bytes, strict=True):
            largest[kind] = max(count, largest.get(kind, 0))
        return largest

    def _send(self, number: int, kind: str, sent_bytes: list[int]) -> None:
        with suppress(OSError):
            connection = socket.create_connection(self._address, SEND_TIMEOUT_S)
            self._sockets.append(connection)
            for part in CLIENT_KINDS[kind](number):
                connection.sendall(part)
                sent_bytes[number] += len(part)

    def close(self) -> None:
        """Close all connections."""
        for connection in self._sockets:
            connection.close()
