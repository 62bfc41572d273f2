import os
import resource
import socket
import time

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
    channel._idle[0].sock.shutdown(socket.SHUT_RD)
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
    assert channel._idle[0].sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


@pytest.mark.parametrize("part", ["target", "header"])
def test_a_request_with_a_line_break_in_target_or_header_is_not_sent(serve, part):
    server = serve()
    channel = HttpChannel(server.address)
    target = "/ HTTP/1.1\r\nX: y" if part == "target" else "/"
    headers = {"X-Name": "a\r\nX: y"} if part == "header" else {}
    with pytest.raises(ValueError, match="line break"):
        channel.exchange("GET", target, b"", 1000, headers)
    assert server.connections == 0


def block_event_loop(duration_s):
    """Keep the event loop from running, as a late process does."""
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        pass


def test_answer_that_arrived_while_the_event_loop_was_late_is_read():
    """A process that was late for 0.3 s had given its workers up as silent."""
    server = socket.create_server(("127.0.0.1", 0))
    channel = HttpChannel(f"127.0.0.1:{server.getsockname()[1]}")
    request = gevent.spawn(channel.exchange, "GET", "/", b"", 100)
    gevent.sleep(0.02)
    connection, _ = server.accept()
    connection.sendall(OK)
    block_event_loop(0.3)
    assert request.get(timeout=5).body == b"ok"
    connection.close()
    server.close()


def test_connection_that_was_opened_while_the_event_loop_was_late_is_used():
    """Workers counted as unreachable by a process that could not read for 0.2 s."""
    server = socket.create_server(("127.0.0.1", 0))
    channel = HttpChannel(f"127.0.0.1:{server.getsockname()[1]}", connect_timeout_ms=50.0)
    connecting = gevent.spawn(channel.connect)
    gevent.sleep(0)
    block_event_loop(0.2)
    connecting.get(timeout=5).close()
    server.close()


# Guards against an unexpected error for a request of a process that has no free descriptor.
def test_connection_without_a_free_descriptor_is_not_sent():
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    server = socket.create_server(("127.0.0.1", 0))
    channel = HttpChannel(f"127.0.0.1:{server.getsockname()[1]}")
    lowest_free = os.dup(server.fileno())
    os.close(lowest_free)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, limits[1]))
    try:
        with pytest.raises(NotSent):
            channel.exchange("GET", "/", b"", 100)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)
    server.close()


def test_address_that_does_not_answer_is_given_up():
    server = socket.create_server(("127.0.0.1", 0), backlog=0)
    address = server.getsockname()
    waiting = [socket.socket() for _ in range(4)]
    for sock in waiting:
        sock.setblocking(False)
        sock.connect_ex(address)
    started_s = time.monotonic()
    with pytest.raises(NotSent):
        HttpChannel(f"127.0.0.1:{address[1]}", connect_timeout_ms=100.0).connect()
    assert time.monotonic() - started_s < 0.4
    for sock in (*waiting, server):
        sock.close()


def serve_in_pieces(sock, size_bytes, piece_bytes, pause_s):
    sock.recv(65536)
    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size_bytes)
    for _ in range(0, size_bytes, piece_bytes):
        sock.sendall(b"x" * piece_bytes)
        gevent.sleep(pause_s)


@pytest.mark.parametrize(
    ("pause_s", "progress_ms", "is_complete"),
    [(0.03, 150.0, True), (0.4, 150.0, False), (0.03, 0.0, False)],
    ids=["slow but steady", "stopped in the middle", "without a limit on progress"],
)
def test_large_answer_is_read_as_long_as_it_makes_progress(pause_s, progress_ms, is_complete):
    """A configuration over a thin link had been cut off and asked for again from the start."""
    server = StreamServer(
        ("127.0.0.1", 0), lambda sock, _: serve_in_pieces(sock, 20_000, 1_000, pause_s)
    )
    server.start()
    channel = HttpChannel(f"127.0.0.1:{server.server_port}")
    try:
        answer = channel.exchange("GET", "/", b"", 200, progress_ms=progress_ms)
        assert is_complete and len(answer.body) == 20_000
    except AnswerLost:
        assert not is_complete
    finally:
        server.stop(timeout=0)
