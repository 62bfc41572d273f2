import gc
import weakref

import pytest

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.entry import chunk_decoder
from camphorchute.entry.chunk_decoder import ChunkDecoder

BODY = b"flags " * 50
MAX_BYTES = 1000


def encode(chunk_bytes, extension=b"", trailers=b""):
    chunks = [BODY[at : at + chunk_bytes] for at in range(0, len(BODY), chunk_bytes)]
    content = b"".join(b"%x%b\r\n%b\r\n" % (len(c), extension, c) for c in chunks)
    return content + b"0\r\n" + trailers + b"\r\n"


def decode(data, block_bytes):
    """Return the decoder and the number of bytes used after feeding data in blocks."""
    decoder, used = ChunkDecoder(MAX_BYTES), 0
    for at in range(0, len(data), block_bytes):
        used += decoder.feed(data[at : at + block_bytes])
        if decoder.is_complete:
            break
    return decoder, used


@pytest.mark.parametrize("block_bytes", [1, 2, 3, 7, 64, 8192])
@pytest.mark.parametrize(
    "data",
    [
        encode(1),
        encode(2),
        encode(17),
        encode(len(BODY)),
        encode(100, extension=b";name=value"),
        encode(100, extension=b' ; a="b"'),
        encode(100, trailers=b"X-A: 1\r\nX-B:\r\n"),
        encode(300).upper().replace(BODY.upper(), BODY),
    ],
)
def test_body_is_the_same_however_it_is_cut(data, block_bytes):
    decoder, used = decode(data + b"GET / HTTP/1.1\r\n", block_bytes)
    assert (bytes(decoder.body), used) == (BODY, len(data))


@pytest.mark.parametrize("block_bytes", [1, 5, 8192])
@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"zz\r\nabc\r\n", ResultCode.MALFORMED_BODY),
        (b"-1\r\n", ResultCode.MALFORMED_BODY),
        (b"1_0\r\n", ResultCode.MALFORMED_BODY),
        (b"\r\n", ResultCode.MALFORMED_BODY),
        (b"1\nx\r\n", ResultCode.MALFORMED_BODY),
        (b"1\r\nxy\r\n", ResultCode.MALFORMED_BODY),
        (b"f" * 17 + b"\r\n", ResultCode.MALFORMED_BODY),
        (b"0\r\nno colon\r\n\r\n", ResultCode.MALFORMED_BODY),
        (b"0\r\n: x\r\n\r\n", ResultCode.MALFORMED_BODY),
        (b"1" * 9000, ResultCode.MALFORMED_BODY),
        (b"0\r\n" + b"X: " + b"a" * 17_000, ResultCode.MALFORMED_BODY),
        (b"0\r\n" + b"X: a\r\n" * 5000, ResultCode.MALFORMED_BODY),
        ((b"1;" + b"x" * 100 + b"\r\na\r\n") * 200, ResultCode.MALFORMED_BODY),
        (b"3e9\r\n" + b"a" * 1001, ResultCode.BODY_TOO_LARGE),
        (b"ffffffffffffffff\r\na", ResultCode.BODY_TOO_LARGE),
        (b"1\r\na\r\n" * 1001, ResultCode.BODY_TOO_LARGE),
    ],
    ids=lambda value: repr(value[:12]) if isinstance(value, bytes) else value.name,
)
def test_malformed_and_endless_bodies_are_refused(data, code, block_bytes):
    with pytest.raises(Refusal) as refused:
        decode(data, block_bytes)
    assert refused.value.code is code


def test_small_chunks_take_no_more_memory_than_the_body():
    """A list of pieces took twenty times the size of a body in chunks of two bytes."""
    decoder = ChunkDecoder(100_000)
    for _ in range(50):
        decoder.feed(b"2\r\nab\r\n" * 1000)
    assert len(decoder.body) == 100_000
    assert decoder.body.__sizeof__() < 1.3 * 100_000
    assert len(decoder._partial) < chunk_decoder.LINE_MAX_BYTES


def test_body_is_freed_without_a_search_for_cycles():
    """Bodies of refused requests stayed in memory until the next search for reference cycles."""

    class Decoder(ChunkDecoder):
        __slots__ = ("__weakref__",)

    gc.disable()
    try:
        decoder = Decoder(MAX_BYTES)
        decoder.feed(b"5\r\nflags\r\n3\r\nab")
        reference = weakref.ref(decoder)
        del decoder
        assert reference() is None
    finally:
        gc.enable()
