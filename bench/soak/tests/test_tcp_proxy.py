"""The proxy loses bytes like a network: during a cut nothing is refused or reset."""

import socket
from collections.abc import Iterator

import gevent
import pytest
from gevent.server import StreamServer

from bench.tcp_proxy import Cut, Route, TcpProxy

NO_ANSWER_WAIT_S = 0.3
LISTEN = "127.0.0.1:0"


class ProxiedEchoServer:
    """An echo server behind the proxy; the source is named ``a``, the destination ``b``."""

    def __init__(self) -> None:
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.proxy = TcpProxy(LISTEN)
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.listen = f"127.0.0.1:{probe.getsockname()[1]}"
        self.proxy.open_route(Route(self.listen, f"127.0.0.1:{self.server.address[1]}", "b", "a"))

    def _serve(self, sock: object, address: tuple) -> None:
        while data := sock.recv(100):
            sock.sendall(data)

    def connect(self) -> object:
        host, port = self.listen.split(":")
        connection = gevent.socket.create_connection((host, int(port)))
        connection.settimeout(NO_ANSWER_WAIT_S)
        return connection

    def set_cuts(self, *pairs: tuple[str, str]) -> None:
        self.proxy.set_cuts([Cut([source], [destination]) for source, destination in pairs])


@pytest.fixture
def echo() -> Iterator[ProxiedEchoServer]:
    echo_server = ProxiedEchoServer()
    yield echo_server
    echo_server.proxy.close_route(echo_server.listen)
    echo_server.server.stop()


def send_and_receive(connection: object, data: bytes) -> bytes:
    connection.sendall(data)
    try:
        return connection.recv(100)
    except TimeoutError:
        return b"silence"


def test_proxy_forwards_bytes(echo: ProxiedEchoServer) -> None:
    assert send_and_receive(echo.connect(), b"one") == b"one"


@pytest.mark.parametrize("pair", [("a", "b"), ("b", "a")])
def test_bytes_sent_during_a_cut_arrive_when_it_ends(
    echo: ProxiedEchoServer, pair: tuple[str, str]
) -> None:
    connection = echo.connect()
    assert send_and_receive(connection, b"one") == b"one"
    echo.set_cuts(pair)
    assert send_and_receive(connection, b"two") == b"silence"
    echo.set_cuts()
    assert connection.recv(100) == b"two"


@pytest.mark.parametrize("pair", [("a", "b"), ("b", "a")])
def test_connection_made_during_a_cut_gets_no_answer(
    echo: ProxiedEchoServer, pair: tuple[str, str]
) -> None:
    echo.set_cuts(pair)
    assert send_and_receive(echo.connect(), b"one") == b"silence"


def test_connection_closed_during_a_cut_is_never_forwarded(echo: ProxiedEchoServer) -> None:
    echo.set_cuts(("a", "b"))
    connection = echo.connect()
    connection.sendall(b"one")
    connection.close()
    gevent.sleep(NO_ANSWER_WAIT_S)
    accepted = []
    echo.server.set_handle(lambda sock, address: accepted.append(sock))
    echo.set_cuts()
    gevent.sleep(NO_ANSWER_WAIT_S)
    assert not accepted


def test_silenced_connection_stays_unresponsive_and_new_ones_work(echo: ProxiedEchoServer) -> None:
    connection = echo.connect()
    assert send_and_receive(connection, b"one") == b"one"
    assert echo.proxy.silence(Cut(["b"], ["a"])) == 1
    assert send_and_receive(connection, b"two") == b"silence"
    assert send_and_receive(echo.connect(), b"three") == b"three"


@pytest.mark.parametrize(
    ("cut", "lost", "arrives"),
    [
        (("a", "b"), "a", b"silence"),
        (("b", "a"), "b", b"silence"),
        (("a", "b"), "b", b"two"),
        (("b", "a"), "a", b"two"),
    ],
)
def test_bytes_of_a_lost_host_that_a_cut_holds_back_never_arrive(
    echo: ProxiedEchoServer, cut: tuple[str, str], lost: str, arrives: bytes
) -> None:
    connection = echo.connect()
    assert send_and_receive(connection, b"one") == b"one"
    echo.set_cuts(cut)
    assert send_and_receive(connection, b"two") == b"silence"
    echo.proxy.lose_host(lost)
    echo.set_cuts()
    assert send_and_receive(connection, b"") == arrives
    assert send_and_receive(echo.connect(), b"three") == b"three"


def test_closed_route_refuses_connections(echo: ProxiedEchoServer) -> None:
    echo.proxy.close_route(echo.listen)
    with pytest.raises(ConnectionRefusedError):
        echo.connect()
