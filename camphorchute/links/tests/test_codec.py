from types import NoneType, UnionType

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import structs

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.job import JobSpec, TaskSpec
from camphorchute.contracts.messages import Done, Message
from camphorchute.links import Frame, FrameKind, decode_frame, encode_frame

TYPES = Message.__args__
NAMES = st.text("abc0", min_size=1, max_size=5)
AMOUNTS = st.floats(0, 1e9)
PLAIN = {
    int: st.integers(-(2**40), 2**40),
    str: st.text(max_size=9),
    bytes: st.binary(max_size=9),
    float: st.floats(allow_nan=False),
    bool: st.booleans(),
}
BOUNDED = {
    TaskSpec: {"kind": NAMES, "payload": PLAIN[str]}
    | dict.fromkeys(("run_time_ms", "cpus", "memory_mb", "accelerators"), AMOUNTS),
    JobSpec: {"service": NAMES, "team": NAMES},
}


def values(kind):
    """Values of a type, with each field drawn, those with defaults too."""
    if kind in PLAIN:
        return PLAIN[kind]
    if getattr(kind, "__origin__", None) is list:
        return st.lists(values(kind.__args__[0]), max_size=3)
    if getattr(kind, "__origin__", None) is dict:
        return st.dictionaries(*map(values, kind.__args__), max_size=3)
    if isinstance(kind, UnionType):
        parts = [part for part in kind.__args__ if part is not NoneType]
        return st.one_of(st.none(), *map(values, parts))
    if not hasattr(kind, "__struct_fields__"):
        return st.sampled_from(kind)
    bounded = BOUNDED.get(kind, {})
    drawn = [f for f in structs.fields(kind) if f.name not in bounded]
    fields = {f.name: values(f.type) for f in drawn} | bounded
    return st.builds(kind, **fields)


def frames(kind):
    return st.builds(Frame, st.sampled_from(FrameKind), st.integers(0, 2**40), values(kind))


FRAMES = st.one_of([frames(kind) for kind in TYPES])


@pytest.mark.parametrize("kind", TYPES, ids=lambda kind: kind.__name__)
def test_every_message_survives_the_link(kind):
    @settings(derandomize=True, max_examples=15, deadline=None)
    @given(frames(kind))
    def check(frame):
        assert decode_frame(encode_frame(frame)) == frame

    check()


def decode(data):
    try:
        decode_frame(data)
    except Refusal as refusal:
        assert refusal.code is ResultCode.MALFORMED_MESSAGE


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=64))
def test_random_bytes_are_refused(data):
    decode(data)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(FRAMES, st.data())
def test_damaged_frames_are_refused_or_read(frame, data):
    encoded = bytearray(encode_frame(frame))
    place = data.draw(st.integers(0, len(encoded) - 1))
    encoded[place] = data.draw(st.integers(0, 255))
    decode(bytes(encoded))
    decode(bytes(encoded[:place]))


@pytest.mark.parametrize(
    "data",
    [
        b"",
        "text",
        b"\x81" * 100_000,
        b"\x9f" * 100_000,
        b"\xd8\x1c\x81\xd8\x1d\x00",
        b"\x5b\x7f" + b"\xff" * 7,
        b"\xbb\x7f" + b"\xff" * 7,
        b"\xd8\x1e\x82\x01\x00",
        b"\xc1\xfb\x7f\xef" + b"\xff" * 6,
        b"\xd8\x23\x61(",
        encode_frame(Frame(FrameKind.REPLY, 1, Done())) + b"\x00",
    ],
    ids=lambda data: repr(data[:8]),
)
def test_hostile_bytes_are_refused_or_read(data):
    decode(data)
