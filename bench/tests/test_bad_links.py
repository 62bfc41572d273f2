"""Bad input on the link port closes that connection only; the process continues to serve."""

import socket
from contextlib import contextmanager

import cbor2
import msgspec
import pytest
from websockets.exceptions import ConnectionClosed
from websockets.sync.client import connect as connect_websocket

from bench.fleet import TOKEN, call
from bench.tests.raw_http import connect
from bench.tests.small_fleet import (
    ZONE,
    count_open_files,
    job_body,
    open_files_fall_to,
    small_fleet,
    submit,
)
from camphorchute.contracts.member import Member
from camphorchute.contracts.messages import Hello, Refused, Welcome
from camphorchute.links import Frame, FrameKind, decode_frame, encode_frame

BASE = 12
CLOSE_TIMEOUT_S = 5.0
OPERATOR = {"Authorization": f"Bearer {TOKEN}", "X-Operator": "tests"}
MEMBER = Member("stranger0001", ZONE, "127.0.0.9", "", "127.0.0.9:1", "127.0.0.9:2")


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with small_fleet(tmp_path_factory.mktemp("bad_links"), BASE) as running:
        yield running


def open_link(entry):
    """Open a WebSocket connection to the link port."""
    return connect_websocket(
        f"ws://{entry.link_address}/", compression=None, ping_interval=None, proxy=None
    )


@contextmanager
def open_greeted_link(entry):
    """Open a link and exchange the greeting."""
    with open_link(entry) as socket_:
        greet(socket_)
        yield socket_


def greet(socket_):
    """Send a Hello and check that the answer is a Welcome."""
    socket_.send(encode_frame(Frame(FrameKind.ONE_WAY, 0, Hello(MEMBER, [ZONE]))))
    assert isinstance(decode_frame(socket_.recv(timeout=CLOSE_TIMEOUT_S)).message, Welcome)


def read_counter(entry, name):
    counters = call(entry.http_address, "GET", "/v1/counters", None, OPERATOR)[1]
    return counters.get(name, 0)


def completes_jobs(fleet, key):
    """Whether each entry process completes a job."""
    return all(submit(e, f"{key}-{e.host}", job_body(3))[0] == 200 for e in fleet.entries)


NOT_WEBSOCKET = {
    "nothing": b"",
    "not HTTP": b"\x00\xff\x13garbage" * 50,
    "HTTP without an upgrade": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    "half a handshake": b"GET / HTTP/1.1\r\nUpgrade: websoc",
    "line too long": b"GET /" + b"a" * 100_000,
}


@pytest.mark.parametrize("name", NOT_WEBSOCKET)
def test_bytes_that_are_not_websocket_leak_nothing_and_stop_no_job(fleet, name):
    entry = fleet.entries[0]
    file_count, start_count = count_open_files(entry), len(fleet.starts())
    connections = [connect(entry.link_address) for _ in range(10)]
    for connection in connections:
        try:
            connection.sendall(NOT_WEBSOCKET[name])
            connection.shutdown(socket.SHUT_WR)
            while connection.recv(4096):
                pass
        except OSError:
            pass
        connection.close()
    assert open_files_fall_to(entry, file_count)
    assert len(fleet.starts()) == start_count
    assert completes_jobs(fleet, f"north:raw-{name.replace(' ', '-')}")


MALFORMED_FRAMES = {
    "empty": b"",
    "not CBOR": b"\xff\xff\xff",
    "truncated": cbor2.dumps([1, 2, ["x" * 100]])[:-50],
    "array length beyond the data": b"\x9b\xff\xff\xff\xff\xff\xff\xff\xff",
    "bytes length beyond the data": b"\x5b\x00\x00\x00\xff\xff\xff\xff\xff",
    "deep nesting": b"\x81" * 200_000 + b"\x00",
    "not a frame": cbor2.dumps({"a": 1}),
    "unknown message": cbor2.dumps([1, 1, ["NoSuchMessage", 1]]),
    "unknown kind": cbor2.dumps([9, 1, ["AskStatus"]]),
    "wrong types": cbor2.dumps([1, "one", ["AskStatus"]]),
    "NaN for a number": cbor2.dumps([1, float("nan"), ["AskStatus"]]),
    "text frame": "no bytes",
}


@pytest.mark.parametrize(
    "is_greeted", [False, True], ids=["before the greeting", "after the greeting"]
)
@pytest.mark.parametrize("data", MALFORMED_FRAMES.values(), ids=MALFORMED_FRAMES.keys())
def test_malformed_frame_closes_the_link_and_is_counted(fleet, data, is_greeted):
    entry = fleet.entries[0]
    file_count = count_open_files(entry)
    name = "links.malformed_message" if is_greeted else "links.no_greeting"
    count_before = read_counter(entry, name)
    with open_greeted_link(entry) if is_greeted else open_link(entry) as socket_:
        socket_.send(data)
        with pytest.raises(ConnectionClosed):
            while True:
                socket_.recv(timeout=CLOSE_TIMEOUT_S)
    assert read_counter(entry, name) == count_before + 1
    assert open_files_fall_to(entry, file_count)
    assert call(entry.http_address, "GET", "/readyz")[0] == 200


def test_greeting_with_other_zones_is_refused_with_its_code(fleet):
    with open_link(fleet.entries[0]) as socket_:
        socket_.send(encode_frame(Frame(FrameKind.ONE_WAY, 0, Hello(MEMBER, ["south"]))))
        refused = decode_frame(socket_.recv(timeout=CLOSE_TIMEOUT_S)).message
    assert isinstance(refused, Refused)
    assert refused.code == 605


def test_request_frame_whose_message_is_no_request_is_refused(fleet):
    with open_greeted_link(fleet.entries[0]) as socket_:
        socket_.send(encode_frame(Frame(FrameKind.REQUEST, 5, Welcome(MEMBER))))
        frame = decode_frame(socket_.recv(timeout=CLOSE_TIMEOUT_S))
    assert (frame.number, frame.message.code) == (5, 604)
    assert msgspec.to_builtins(frame.kind) == FrameKind.REPLY
