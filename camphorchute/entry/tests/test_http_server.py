"""The HTTP server alone: socket options, timeouts and graceful shutdown."""

import socket

import gevent
import pytest
from gevent import socket as gevent_socket

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.entry import http_server
from camphorchute.entry.http_limits import HttpLimits
from camphorchute.entry.http_server import HttpServer, Request, route
from camphorchute.entry.problem import PROBLEM_TYPE, json_response

TIMEOUT_S = 5.0
SHORT_MS = 100.0
BODY_MAX_BYTES = 1000


class Endpoints:
    """An endpoint that responds immediately and one that waits for an event."""

    def __init__(self):
        self.entered = gevent.event.Event()
        self.release = gevent.event.Event()

    @route("POST", "/quick")
    def quick(self, request: Request):
        return json_response(len(request.body))

    @route("POST", "/slow")
    def slow(self, request: Request):
        self.entered.set()
        self.release.wait(TIMEOUT_S)
        return json_response("x" * 100_000)


class RunningServer:
    """A started server with its endpoints and counters."""

    def __init__(self, connections_max=100):
        self.counted = []
        self.endpoints = Endpoints()
        self.server = HttpServer(
            "127.0.0.1:0",
            HttpLimits(BODY_MAX_BYTES, 10 * BODY_MAX_BYTES, connections_max),
            lambda name, n=1: self.counted.append(name),
        )
        self.server.add(self.endpoints)
        self.server.start()

    def connect(self):
        address = ("127.0.0.1", self.server._server.server_port)
        return gevent_socket.create_connection(address, timeout=TIMEOUT_S)


@pytest.fixture
def running():
    started = RunningServer()
    yield started
    started.endpoints.release.set()
    started.server.close(TIMEOUT_S * 1000)


def post(path, body=b"", length=None):
    length = len(body) if length is None else length
    return f"POST {path} HTTP/1.1\r\nContent-Length: {length}\r\n\r\n".encode() + body


def receive_all(connection):
    """Return all bytes until the server closes the connection."""
    received = b""
    while chunk := connection.recv(65536):
        received += chunk
    return received


def receive_response(connection):
    """Return one response: its head and its complete body."""
    received = b""
    while b"\r\n\r\n" not in received:
        received += connection.recv(65536)
    head, _, body = received.partition(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    while len(body) < length:
        body += connection.recv(65536)
    return head.decode(), body


def test_tcp_nodelay_is_set_on_accepted_sockets(running, monkeypatch):
    options = []
    handle = http_server.WSGIServer.do_handle

    def record_option(server, client_socket, address):
        options.append(client_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
        handle(server, client_socket, address)

    monkeypatch.setattr(http_server.WSGIServer, "do_handle", record_option)
    for _ in range(3):
        with running.connect() as connection:
            connection.sendall(post("/quick", b"abc"))
            assert receive_response(connection)[1] == b"3"
    assert len(options) == 3
    assert all(options)


def test_small_response_takes_one_write(running, monkeypatch):
    writes = []
    write = http_server.WSGIHandler._sendall

    def record_write(handler, data):
        writes.append(len(data))
        write(handler, data)

    monkeypatch.setattr(http_server.WSGIHandler, "_sendall", record_write)
    with running.connect() as connection:
        for _ in range(3):
            connection.sendall(post("/quick", b"abc"))
            receive_response(connection)
    assert len(writes) == 3


SLOW_SENDERS = {
    "sends nothing": (b"", "IDLE_TIMEOUT_MS", b""),
    "stops in the request line": (b"POST /qu", "IDLE_TIMEOUT_MS", b""),
    "stops in the headers": (
        b"POST /quick HTTP/1.1\r\nX-A: b\r\n",
        "IDLE_TIMEOUT_MS",
        b"HTTP/1.1 408",
    ),
    "stops in the body": (post("/quick", b"a", length=9), "BODY_TIMEOUT_MS", b"HTTP/1.1 408"),
}


@pytest.mark.parametrize(
    ("data", "timeout_name", "answer"), SLOW_SENDERS.values(), ids=SLOW_SENDERS.keys()
)
def test_connection_of_a_slow_sender_is_closed(running, monkeypatch, data, timeout_name, answer):
    monkeypatch.setattr(http_server, timeout_name, SHORT_MS)
    with running.connect() as connection:
        connection.sendall(data)
        received = receive_all(connection)
    assert received.startswith(answer) and bool(received) == bool(answer)
    if answer:
        assert PROBLEM_TYPE.encode() in received
        assert f'"code":{int(ResultCode.REQUEST_TIMEOUT)}'.encode() in received


def test_close_completes_the_response_of_a_request_in_flight(running):
    with running.connect() as busy, running.connect() as idle:
        busy.sendall(post("/slow"))
        idle.sendall(post("/quick"))
        receive_response(idle)
        running.endpoints.entered.wait(TIMEOUT_S)
        closing = gevent.spawn(running.server.close, TIMEOUT_S * 1000)
        assert receive_all(idle) == b""
        with pytest.raises(OSError):
            running.connect()
        running.endpoints.release.set()
        head, body = receive_response(busy)
        assert "Connection: close" in head
        assert len(body) == 100_002
        assert closing.get(timeout=TIMEOUT_S) is True


def test_idle_connections_are_answered_while_a_request_is_in_flight(running):
    """Idle connections were ended before, so a readiness probe on one of them got no answer."""
    running.server.late_refusal = Refusal(ResultCode.LEAVING, "", 1000)
    with running.connect() as busy, running.connect() as late, running.connect() as idle:
        busy.sendall(post("/slow"))
        running.endpoints.entered.wait(TIMEOUT_S)
        closing = gevent.spawn(running.server.close, TIMEOUT_S * 1000)
        gevent.sleep(0.1)
        with pytest.raises(OSError):
            running.connect()
        late.sendall(post("/quick", b"abc"))
        received = receive_all(late)
        assert received.startswith(b"HTTP/1.1 503") and b"Connection: close" in received
        assert f'"code":{int(ResultCode.LEAVING)}'.encode() in received
        assert not closing.ready()
        running.endpoints.release.set()
        head, body = receive_response(busy)
        assert "Connection: close" in head and len(body) == 100_002
        assert receive_all(idle) == b""
        assert closing.get(timeout=TIMEOUT_S) is True


def test_request_that_arrives_as_idle_connections_end_is_answered(running):
    running.server.late_refusal = Refusal(ResultCode.LEAVING, "", 1000)
    with running.connect() as late:
        late.sendall(post("/quick", b"a"))
        receive_response(late)
        late.sendall(post("/quick", b"abc"))
        assert running.server.close(TIMEOUT_S * 1000) is True
        received = receive_all(late)
    assert received.startswith(b"HTTP/1.1 503")


def test_idle_connections_end_at_the_time_limit_of_requests_in_flight(running):
    running.server.late_refusal = Refusal(ResultCode.LEAVING, "", 1000)
    with running.connect() as busy, running.connect() as idle:
        busy.sendall(post("/slow"))
        running.endpoints.entered.wait(TIMEOUT_S)
        assert running.server.close(SHORT_MS) is False
        assert receive_all(idle) == b""


def test_pipelined_request_after_close_began_gets_no_response(running):
    with running.connect() as busy:
        busy.sendall(post("/slow") + post("/quick"))
        running.endpoints.entered.wait(TIMEOUT_S)
        closing = gevent.spawn(running.server.close, TIMEOUT_S * 1000)
        gevent.sleep(0)
        running.endpoints.release.set()
        received = receive_all(busy)
        assert closing.get(timeout=TIMEOUT_S) is True
    assert received.count(b"HTTP/1.1 ") == 1


def test_close_reports_a_request_that_did_not_end(running):
    with running.connect() as busy:
        busy.sendall(post("/slow"))
        running.endpoints.entered.wait(TIMEOUT_S)
        assert running.server.close(SHORT_MS) is False


# A caller got status 500, after which it does not send its job again.
def test_request_that_is_cut_off_by_the_end_of_the_process_is_answered_as_lost(running):
    with running.connect() as busy:
        busy.sendall(post("/slow"))
        running.endpoints.entered.wait(TIMEOUT_S)
        running.server.close(SHORT_MS)
        received = receive_all(busy)
    assert received.startswith(b"HTTP/1.1 502") and b"Connection: close" in received
    assert f'"code":{int(ResultCode.OWNER_LOST)}'.encode() in received
    assert "http.refused.owner_lost" in running.counted


def test_exception_in_an_endpoint_is_reported_as_internal_error(running, monkeypatch):
    def raise_key_error(request):
        raise KeyError("x")

    monkeypatch.setattr(running.server, "_find_handler", lambda request: raise_key_error)
    with running.connect() as connection:
        connection.sendall(post("/quick"))
        head, body = receive_response(connection)
    assert head.startswith("HTTP/1.1 500")
    assert f'"code":{int(ResultCode.INTERNAL)}'.encode() in body
    assert "http.fault" in running.counted


# A crowd that sends nothing, or stops within a request, took all connections of a process.
@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"", b""),
        (b"POST /quick HT", b"503"),
        (b"POST /quick HTTP/1.1\r\nHost: a\r\nContent-Le", b"503"),
        (b"POST /quick HTTP/1.1\r\nContent-Length: 9\r\n\r\n{", b"503"),
        (b"POST /quick HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{", b"503"),
    ],
    ids=["nothing", "request line", "headers", "body", "chunked body"],
)
def test_connection_that_waits_longest_is_refused_for_a_new_one(data, status):
    running = RunningServer(connections_max=3)
    waiting = running.connect()
    waiting.sendall(data)
    gevent.sleep(0.05)
    others = [running.connect() for _ in range(3)]
    response = waiting.recv(65536)
    assert response.partition(b" ")[2][:3] == status
    if status:
        assert b"Retry-After: " in response
        assert b'"may_have_run":"not run"' in response
    others[-1].sendall(b"POST /quick HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}")
    assert others[-1].recv(65536).startswith(b"HTTP/1.1 200")
    running.server.close(0)


def test_caller_that_reads_no_response_loses_its_connection(running, monkeypatch):
    """Such callers kept their connections, which served nobody else, for as long as they liked."""
    monkeypatch.setattr(http_server, "RESPONSE_TIMEOUT_MS", SHORT_MS)
    running.endpoints.release.set()
    connection = running.connect()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.sendall(post("/slow") * 200)
    with gevent.Timeout(TIMEOUT_S):
        while "http.response_unread" not in running.counted:
            gevent.sleep(0.01)
        while len(running.server.connections):
            gevent.sleep(0.01)


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"POST /quick HTTP/1.1\r\n" + b"X: " + b"a" * 1_000_000, b"400"),
        (b"POST /quick HTTP/1.1\r\nContent-Length: 900000\r\n\r\n" + b"a" * 900_000, b"413"),
        (b"POST /" + b"a" * 1_000_000, b"400"),
    ],
    ids=["headers", "body", "request line"],
)
def test_refusal_reaches_a_caller_that_is_still_sending(running, head, status):
    """The connection was closed with unread bytes, which resets it, so that the answer was lost."""
    connection = running.connect()
    sending = gevent.spawn(connection.sendall, head)
    sending.join(TIMEOUT_S)
    assert sending.successful()
    connection.shutdown(socket.SHUT_WR)
    response = receive_all(connection)
    assert response.startswith(b"HTTP/1.1 " + status)
    assert b"Retry-After" in response or status != b"503"


def test_refusal_is_not_sent_without_end_to_a_caller_that_does_not_read(running, monkeypatch):
    monkeypatch.setattr(http_server, "RESPONSE_TIMEOUT_MS", SHORT_MS)
    connection = running.connect()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    valid = b"GET /nothing HTTP/1.1\r\n\r\n"
    sending = gevent.spawn(connection.sendall, valid * 40_000 + b"no request\r\n\r\n")
    with gevent.Timeout(TIMEOUT_S):
        while not running.server.connections:
            gevent.sleep(0.01)
        while len(running.server.connections):
            gevent.sleep(0.01)
    sending.kill()


def test_other_greenlets_run_between_requests_of_one_caller(running):
    """A caller that sent requests without a pause held up the whole process while it was served."""
    served_since_turn, most_served = 0, 0
    respond = running.server._respond

    def counted_respond(environ):
        nonlocal served_since_turn, most_served
        served_since_turn += 1
        most_served = max(most_served, served_since_turn)
        return respond(environ)

    def take_turns():
        nonlocal served_since_turn
        while True:
            served_since_turn = 0
            gevent.sleep(0)

    running.server._respond = counted_respond
    connection = running.connect()
    connection.sendall(post("/quick") * 100)
    other = gevent.spawn(take_turns)
    received = b""
    while received.count(b"HTTP/1.1 200") < 100:
        received += connection.recv(65536)
    other.kill()
    assert most_served <= 2
