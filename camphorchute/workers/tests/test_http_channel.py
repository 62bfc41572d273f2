import socket

import gevent
import pytest
from gevent.server import StreamServer

from camphorchute.workers.http_channel import AnswerLost, HttpChannel, NotSent

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Server:
    """Answers each request with the next of its scripts, not at all if the script is None."""

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.connections = 0
        self.requests = []
        self.server = StreamServer(("127.0.0.1", 0), self.handle)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"

    def handle(self, sock, _):
        self.connections += 1
        while data := sock.recv(65536):
            self.requests.append(data)
            script = self.scripts.pop(0)
            if script is None:
                gevent.sleep(60)
            sock.sendall(script)
            if script != OK:
                sock.close()
                return


@pytest.fixture
def serve():
    servers = []

    def start(*scripts):
        servers.append(Server(*scripts))
        return servers[-1]

    yield start
    for server in servers:
        server.server.stop(timeout=0)


LOST = {
    "no answer": None,
    "closed immediately": b"",
    "closed in the head": b"HTTP/1.1 200 OK\r\nCont",
    "closed in the body": b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
    "closed in a chunk": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
    "no HTTP": b"hello\r\n\r\n",
    "two answers": OK + OK,
}


@pytest.mark.parametrize("script", LOST.values(), ids=LOST)
@pytest.mark.parametrize("method", ["POST", "GET"])
def test_a_request_without_one_complete_answer_is_sent_once_and_its_connection_closed(
    serve, script, method
):
    server = serve(script, OK)
    channel = HttpChannel(server.address)
    with pytest.raises(AnswerLost):
        channel.exchange(method, "/", b"body", timeout_ms=50)
    assert len(server.requests) == 1
    assert channel.exchange(method, "/", b"body", timeout_ms=1000).body == b"ok"
    assert server.connections == 2


def test_an_idle_connection_is_used_again_unless_a_fresh_one_is_requested(serve):
    server = serve(OK, OK, OK)
    channel = HttpChannel(server.address)
    for new_connection, connections in ((False, 1), (False, 1), (True, 2)):
        channel.exchange("GET", "/", b"", timeout_ms=1000, new_connection=new_connection)
        assert server.connections == connections


def test_an_idle_connection_that_the_receiver_closed_is_not_used(serve):
    server = serve(OK, OK)
    channel = HttpChannel(server.address)
    channel.exchange("GET", "/", b"", timeout_ms=1000)
    channel._idle[0].shutdown(socket.SHUT_RD)
    channel.exchange("GET", "/", b"", timeout_ms=1000)
    assert server.connections == 2


def test_a_refused_connection_raises_not_sent(serve):
    server = serve()
    server.server.stop()
    with pytest.raises(NotSent):
        HttpChannel(server.address).exchange("POST", "/", b"", timeout_ms=1000)


def test_a_request_is_sent_in_one_write_without_delay(serve):
    server = serve(OK)
    channel = HttpChannel(server.address)
    channel.exchange("POST", "/", b"x" * 1000, timeout_ms=1000)
    assert len(server.requests) == 1
    assert server.requests[0].endswith(b"x" * 1000)
    assert channel._idle[0].getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


@pytest.mark.parametrize("part", ["target", "header"])
def test_a_request_with_a_line_break_in_target_or_header_is_not_sent(serve, part):
    server = serve()
    channel = HttpChannel(server.address)
    target = "/ HTTP/1.1\r\nX: y" if part == "target" else "/"
    headers = {"X-Name": "a\r\nX: y"} if part == "header" else {}
    with pytest.raises(ValueError, match="line break"):
        channel.exchange("GET", target, b"", 1000, headers)
    assert server.connections == 0
