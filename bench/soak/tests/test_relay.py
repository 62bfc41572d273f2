"""The relay loses bytes as a network does: nothing is refused or reset."""

import socket
from collections.abc import Iterator

import gevent
import pytest
from gevent.server import StreamServer

from bench.relay import Cut, Relay, Route

WAIT_S = 0.3
LISTEN = "127.0.0.1:0"


class Echo:
    """An echo server behind a relay; the source is named ``a``, the destination ``b``."""

    def __init__(self) -> None:
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.relay = Relay(LISTEN)
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.listen = f"127.0.0.1:{probe.getsockname()[1]}"
        self.relay.open_route(Route(self.listen, f"127.0.0.1:{self.server.address[1]}", "b", "a"))

    def _serve(self, sock: object, address: tuple) -> None:
        while data := sock.recv(100):
            sock.sendall(data)

    def connect(self) -> object:
        host, port = self.listen.split(":")
        connection = gevent.socket.create_connection((host, int(port)))
        connection.settimeout(WAIT_S)
        return connection

    def set_cuts(self, *pairs: tuple[str, str]) -> None:
        self.relay.set_cuts([Cut([source], [destination]) for source, destination in pairs])


@pytest.fixture
def echo() -> Iterator[Echo]:
    made = Echo()
    yield made
    made.relay.close_route(made.listen)
    made.server.stop()


def answer(connection: object, data: bytes) -> bytes:
    connection.sendall(data)
    try:
        return connection.recv(100)
    except TimeoutError:
        return b"silence"


def test_bytes_are_carried(echo: Echo) -> None:
    assert answer(echo.connect(), b"one") == b"one"


@pytest.mark.parametrize("pair", [("a", "b"), ("b", "a")])
def test_cut_holds_bytes_until_it_ends(echo: Echo, pair: tuple[str, str]) -> None:
    connection = echo.connect()
    assert answer(connection, b"one") == b"one"
    echo.set_cuts(pair)
    assert answer(connection, b"two") == b"silence"
    echo.set_cuts()
    assert connection.recv(100) == b"two"


@pytest.mark.parametrize("pair", [("a", "b"), ("b", "a")])
def test_new_connection_in_a_cut_gets_no_answer(echo: Echo, pair: tuple[str, str]) -> None:
    echo.set_cuts(pair)
    assert answer(echo.connect(), b"one") == b"silence"


def test_connection_given_up_in_a_cut_is_never_carried(echo: Echo) -> None:
    echo.set_cuts(("a", "b"))
    connection = echo.connect()
    connection.sendall(b"one")
    connection.close()
    gevent.sleep(WAIT_S)
    accepted = []
    echo.server.set_handle(lambda sock, address: accepted.append(sock))
    echo.set_cuts()
    gevent.sleep(WAIT_S)
    assert not accepted


def test_silenced_connection_stays_silent_and_new_ones_work(echo: Echo) -> None:
    connection = echo.connect()
    assert answer(connection, b"one") == b"one"
    assert echo.relay.silence(Cut(["b"], ["a"])) == 1
    assert answer(connection, b"two") == b"silence"
    assert answer(echo.connect(), b"three") == b"three"


def test_closed_route_refuses(echo: Echo) -> None:
    echo.relay.close_route(echo.listen)
    with pytest.raises(ConnectionRefusedError):
        echo.connect()
