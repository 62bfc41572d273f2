"""System calls of an exchange, and what makes a connection unusable for the next one."""

import socket

import gevent
import pytest

from camphorchute.workers.http_channel import AnswerLost, HttpChannel

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class CountingProxy:
    """Passes everything on to an object and records which methods were called."""

    def __init__(self, target, calls):
        self._target, self._calls = target, calls

    def __getattr__(self, name):
        value = getattr(self._target, name)
        if not callable(value):
            return value

        def call(*args, **kwargs):
            self._calls.append(name)
            return value(*args, **kwargs)

        return call


@pytest.fixture
def receiver():
    """A listening socket whose connections the test serves itself."""
    server = socket.create_server(("127.0.0.1", 0))
    channel = HttpChannel(f"127.0.0.1:{server.getsockname()[1]}")
    yield server, channel
    channel.close()
    server.close()


def exchange(channel, connection, answer=OK, body=b"", timeout_ms=1000):
    request = gevent.spawn(channel.exchange, "POST", "/", body, timeout_ms)
    gevent.sleep(0.01)
    connection.recv(65536)
    connection.sendall(answer)
    return request.get(timeout=5)


def open_connection(server, channel):
    request = gevent.spawn(channel.exchange, "POST", "/", b"", 1000)
    gevent.sleep(0.01)
    connection, _ = server.accept()
    connection.recv(65536)
    connection.sendall(OK)
    request.get(timeout=5)
    return connection


def test_exchange_on_an_idle_connection_takes_three_system_calls(receiver):
    """Guards against a further call for each exchange, and against a watcher for each wait."""
    server, channel = receiver
    peer = open_connection(server, channel)
    calls = []
    connection = channel._idle[0]
    connection.sock._sock = CountingProxy(connection.sock._sock, calls)
    connection._watcher = CountingProxy(connection._watcher, calls)
    for _ in range(3):
        assert exchange(channel, peer).body == b"ok"
    assert calls == ["recv", "send", "recv"] * 3


@pytest.mark.parametrize("is_loop_late", [False, True], ids=["seen by the loop", "not yet seen"])
@pytest.mark.parametrize("stray", [OK, b""], ids=["second answer", "end of the connection"])
def test_idle_connection_that_brings_something_is_not_used(receiver, stray, is_loop_late):
    """A late second answer would be taken for the answer to the next request."""
    server, channel = receiver
    peer = open_connection(server, channel)
    if stray:
        peer.sendall(stray)
    else:
        peer.close()
    if not is_loop_late:
        gevent.sleep(0.02)
    request = gevent.spawn(channel.exchange, "POST", "/", b"", 1000)
    gevent.sleep(0.02)
    second, _ = server.accept()
    second.recv(65536)
    second.sendall(OK.replace(b"ok", b"no"))
    assert request.get(timeout=5).body == b"no"
    second.close()


def test_request_larger_than_the_send_buffer_arrives_once(receiver):
    server, channel = receiver
    peer = open_connection(server, channel)
    body = bytes(range(256)) * 40_000
    request = gevent.spawn(channel.exchange, "POST", "/", body, 5000)
    received = b""
    while len(received) < len(body):
        gevent.sleep(0)
        peer.setblocking(False)
        try:
            received += peer.recv(1 << 20)
        except BlockingIOError:
            continue
    peer.sendall(OK)
    assert request.get(timeout=5).status == 200
    assert received.endswith(body)


def test_connection_of_a_killed_exchange_is_not_used_again(receiver):
    """The answer to the request that was given up would be taken for the next one's."""
    server, channel = receiver
    peer = open_connection(server, channel)
    request = gevent.spawn(channel.exchange, "POST", "/", b"", 1000)
    gevent.sleep(0.01)
    request.kill()
    assert not channel._idle
    peer.recv(65536)
    assert peer.recv(1) == b""


def test_answer_that_says_close_ends_the_connection(receiver):
    server, channel = receiver
    peer = open_connection(server, channel)
    closing = OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    assert exchange(channel, peer, closing).body == b"ok"
    assert not channel._idle
    assert peer.recv(1) == b""


def test_time_limit_ends_an_exchange_with_half_an_answer(receiver):
    server, channel = receiver
    peer = open_connection(server, channel)
    with pytest.raises(AnswerLost, match="no answer in 60 ms"):
        exchange(channel, peer, OK[:-1], timeout_ms=60)
    assert not channel._idle


def test_idle_connection_does_not_keep_the_event_loop_running(receiver):
    """Guards against a process that does not end while a connection is idle."""
    server, channel = receiver
    peer = open_connection(server, channel)
    assert not channel._idle[0]._watcher.ref
    peer.close()
