import socket
from io import BufferedReader, BytesIO

import gevent
import pytest

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.entry import request_body
from camphorchute.entry.chunk_decoder import ChunkDecoder
from camphorchute.entry.http_limits import HttpLimits
from camphorchute.entry.request_body import BodyReading, RequestBody

MAX_BYTES = 200_000
SMALL_CHUNKS = b"2\r\nab\r\n" * 20_000 + b"0\r\n\r\n"


def make_reading(max_bytes=MAX_BYTES, receive_max_bytes=8 * MAX_BYTES):
    return BodyReading(HttpLimits(max_bytes, receive_max_bytes, 100), lambda name, n=1: None)


def make_body(data, length=None, reading=None):
    stream = BufferedReader(BytesIO(data))
    is_chunked = length is None
    return RequestBody(stream, None, length, is_chunked, False, reading or make_reading())


@pytest.mark.parametrize(
    ("data", "length", "expected"),
    [
        (b"", 0, b""),
        (b"abc", 3, b"abc"),
        (b"abcdef", 3, b"abc"),
        (b"a" * MAX_BYTES, MAX_BYTES, b"a" * MAX_BYTES),
        (b"3\r\nabc\r\n0\r\n\r\nGET", None, b"abc"),
        (SMALL_CHUNKS, None, b"ab" * 20_000),
    ],
    ids=["empty", "whole", "more follows", "largest", "chunked", "small chunks"],
)
def test_body_is_read_up_to_its_end(data, length, expected):
    body = make_body(data, length)
    assert body.read() == expected
    assert not body.is_unread


def test_request_that_follows_a_chunked_body_is_left_in_the_stream():
    body = make_body(b"3\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1")
    body.read()
    assert body._stream.read() == b"GET / HTTP/1.1"


@pytest.mark.parametrize(
    ("data", "length", "code"),
    [
        (b"ab", 3, ResultCode.MALFORMED_BODY),
        (b"", MAX_BYTES + 1, ResultCode.BODY_TOO_LARGE),
        (b"3\r\nabc\r\n", None, ResultCode.MALFORMED_BODY),
        (b"fffff\r\n", None, ResultCode.BODY_TOO_LARGE),
    ],
)
def test_body_that_is_not_whole_is_refused_and_ends_its_connection(data, length, code):
    body = make_body(data, length)
    with pytest.raises(Refusal) as refused:
        body.read()
    assert refused.value.code is code
    assert body.is_unread


# Bodies in small chunks were read without a break, so that heartbeats, links and other callers of
# the process stood still.
@pytest.mark.parametrize("bodies", [1, 20])
def test_other_greenlets_run_after_each_block_of_small_chunks(monkeypatch, bodies):
    monkeypatch.setattr(request_body, "DECODE_SLICE_MS", 0.0)
    blocks_since_turn, most_blocks = 0, 0
    feed = ChunkDecoder.feed

    def counted_feed(decoder, block):
        nonlocal blocks_since_turn, most_blocks
        blocks_since_turn += 1
        most_blocks = max(most_blocks, blocks_since_turn)
        return feed(decoder, block)

    def take_turns():
        nonlocal blocks_since_turn
        while True:
            blocks_since_turn = 0
            gevent.sleep(0)

    monkeypatch.setattr(ChunkDecoder, "feed", counted_feed)
    other, reading = gevent.spawn(take_turns), make_reading()
    readers = [gevent.spawn(make_body(SMALL_CHUNKS, reading=reading).read) for _ in range(bodies)]
    gevent.joinall(readers, raise_error=True)
    other.kill()
    assert most_blocks <= 2


@pytest.mark.parametrize("sent_after", [0, 100_000])
def test_response_reaches_a_caller_that_still_sends(sent_after):
    """A connection that is closed with unread bytes is reset, and the response may be lost."""
    server, client = gevent.socket.socketpair()
    body = RequestBody(server.makefile("rb"), server, MAX_BYTES + 1, False, False, make_reading(1))
    with pytest.raises(Refusal):
        body.read()
    client.sendall(b"a" * sent_after)
    server.sendall(b"response")
    client.shutdown(socket.SHUT_WR)
    body._discard()
    assert client.recv(100) == b"response"
    assert not body._stream.read()


# Refused bodies stayed in memory for as long as their connections.
@pytest.mark.parametrize(
    ("data", "length"), [(b"ab", 3), (b"2\r\nab\r\n", None), (b"2\r\nab\r\nx", None)]
)
def test_refused_body_is_freed_and_its_bytes_are_released(data, length):
    reading = make_reading()
    body = make_body(data, length, reading)
    with pytest.raises(Refusal):
        body.read()
    body.release()
    assert (len(body._received), reading.budget.held_bytes) == (0, 0)


def test_body_that_is_given_up_is_freed_at_once_and_answered_with_a_refusal():
    server, client = gevent.socket.socketpair()
    reading = make_reading(receive_max_bytes=2 * MAX_BYTES)
    first = RequestBody(server.makefile("rb"), server, MAX_BYTES, False, False, reading)
    waiting = gevent.spawn(first.read)
    client.sendall(b"a" * (MAX_BYTES - 1))
    while len(first._received) < MAX_BYTES - 1:
        gevent.sleep(0.001)
    assert make_body(b"b" * MAX_BYTES, MAX_BYTES, reading).read() == b"b" * MAX_BYTES
    assert len(first._received) == 0
    waiting.join(5)
    assert waiting.exception.code is ResultCode.OVERLOADED
