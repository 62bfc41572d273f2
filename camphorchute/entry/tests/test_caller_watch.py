"""Detection of callers that close their connection before they have their response."""

import socket
import struct

import gevent
import pytest
from gevent import socket as gevent_socket

from camphorchute.entry import caller_watch
from camphorchute.entry.caller_watch import CallerWatch


@pytest.mark.parametrize(("data", "is_gone"), [(b"", True), (b"GET / HTTP/1.1", False)])
def test_caller_watch_detects_the_end_of_a_connection_without_a_greenlet(
    data, is_gone, monkeypatch
):
    """A greenlet for each request cost as much as the reading of its body."""
    spawned = []
    monkeypatch.setattr(
        caller_watch.gevent,
        "spawn",
        lambda *args: spawned.append(args) or gevent.Greenlet.spawn(*args),
    )
    ours, theirs = gevent_socket.socketpair()
    watch = CallerWatch(ours)
    watch.start()
    gevent.sleep(0.01)
    assert not spawned and not watch.disconnected.is_set()
    if data:
        theirs.sendall(data)
    else:
        theirs.close()
    gevent.sleep(0.02)
    assert watch.disconnected.is_set() is is_gone
    assert len(spawned) == 1
    watch.close()
    for sock in (ours, theirs):
        sock.close()


# Guards against a job that starts although its caller had gone, and sent it again, before a process
# that was paused or late read the request.
@pytest.mark.parametrize(
    ("data", "is_closed", "is_gone"),
    [(b"", True, True), (b"", False, False), (b"GET / HTTP/1.1", False, False)],
)
def test_caller_that_has_gone_before_its_request_is_handled_is_known_at_once(
    data, is_closed, is_gone
):
    ours, theirs = gevent_socket.socketpair()
    theirs.sendall(data)
    if is_closed:
        theirs.close()
    watch = CallerWatch(ours)
    watch.start()
    assert watch.disconnected.is_set() is is_gone
    watch.close()
    for sock in (ours, theirs):
        sock.close()


def test_watch_of_a_reset_connection_knows_it_at_once():
    listener = gevent_socket.create_server(("127.0.0.1", 0))
    theirs = gevent_socket.create_connection(listener.getsockname())
    ours, _ = listener.accept()
    theirs.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    theirs.close()
    watch = CallerWatch(ours)
    watch.start()
    assert watch.disconnected.is_set()
    watch.close()
    for sock in (ours, listener):
        sock.close()


def test_closed_caller_watch_leaves_the_socket_to_the_next_request():
    """Its check waited on the socket, and the reader of the next request failed."""
    ours, theirs = gevent_socket.socketpair()
    watch = CallerWatch(ours)
    watch.start()
    gevent.spawn(theirs.sendall, b"next request")
    gevent_socket.wait_read(ours.fileno())
    watch.close()
    assert ours.recv(100) == b"next request"
    gevent.sleep(0.01)
    ours.settimeout(0.01)
    with pytest.raises(TimeoutError):
        ours.recv(1)
    for sock in (ours, theirs):
        sock.close()
