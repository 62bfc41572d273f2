from types import NoneType, UnionType

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import structs

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.job import JobSpec, TaskSpec
from camphorchute.contracts.messages import Done, Message
from camphorchute.links import Frame, FrameKind, decode_frame, encode_frame
from camphorchute.links.codec import IncompleteMessage

MESSAGE_TYPES = Message.__args__
NAMES = st.text("abc0", min_size=1, max_size=5)
NONNEGATIVE_FLOATS = st.floats(0, 1e9)
SCALARS = {
    int: st.integers(-(2**40), 2**40),
    str: st.text(max_size=9),
    bytes: st.binary(max_size=9),
    float: st.floats(allow_nan=False),
    bool: st.booleans(),
}
VALIDATED_FIELDS = {
    TaskSpec: {"kind": NAMES, "payload": SCALARS[str]}
    | dict.fromkeys(("run_time_ms", "cpus", "memory_mb", "accelerators"), NONNEGATIVE_FLOATS),
    JobSpec: {"service": NAMES, "team": NAMES},
}


def value_strategy(value_type):
    """Return a strategy for values of a type; it draws every field, also those with defaults."""
    if value_type in SCALARS:
        return SCALARS[value_type]
    if getattr(value_type, "__origin__", None) is list:
        return st.lists(value_strategy(value_type.__args__[0]), max_size=3)
    if getattr(value_type, "__origin__", None) is dict:
        return st.dictionaries(*map(value_strategy, value_type.__args__), max_size=3)
    if isinstance(value_type, UnionType):
        alternatives = [
            alternative for alternative in value_type.__args__ if alternative is not NoneType
        ]
        return st.one_of(st.none(), *map(value_strategy, alternatives))
    if not hasattr(value_type, "__struct_fields__"):
        return st.sampled_from(value_type)
    validated = VALIDATED_FIELDS.get(value_type, {})
    unvalidated = [f for f in structs.fields(value_type) if f.name not in validated]
    fields = {f.name: value_strategy(f.type) for f in unvalidated} | validated
    return st.builds(value_type, **fields)


def frame_strategy(value_type):
    return st.builds(
        Frame, st.sampled_from(FrameKind), st.integers(0, 2**40), value_strategy(value_type)
    )


FRAMES = st.one_of([frame_strategy(value_type) for value_type in MESSAGE_TYPES])


@pytest.mark.parametrize("value_type", MESSAGE_TYPES, ids=lambda value_type: value_type.__name__)
def test_every_message_type_survives_encoding_and_decoding(value_type):
    @settings(derandomize=True, max_examples=15, deadline=None)
    @given(frame_strategy(value_type))
    def check_round_trip(frame):
        assert decode_frame(encode_frame(frame)) == frame

    check_round_trip()


def check_decode(data):
    """Decode data that may be malformed; only a MALFORMED_MESSAGE refusal may be raised."""
    try:
        decode_frame(data)
    except Refusal as refusal:
        assert refusal.code is ResultCode.MALFORMED_MESSAGE


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=64))
def test_random_bytes_are_refused_or_decoded(data):
    check_decode(data)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(FRAMES, st.data())
def test_damaged_frames_are_refused_or_decoded(frame, data):
    encoded = bytearray(encode_frame(frame))
    position = data.draw(st.integers(0, len(encoded) - 1))
    encoded[position] = data.draw(st.integers(0, 255))
    check_decode(bytes(encoded))
    check_decode(bytes(encoded[:position]))


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
def test_hostile_bytes_are_refused_or_decoded(data):
    check_decode(data)


@pytest.mark.parametrize(
    ("message", "is_complete"),
    [
        (["member_beat"], False),
        (["member_beat", 3, [], 0, False, 0.0, "a later field"], True),
        (["member_beat", 3, [], 0, False], True),
        (["stop_tasks"], False),
        ({"type": "ask_record"}, False),
        ({"type": "ask_record", "zone": "north", "later": 1}, True),
    ],
)
def test_unknown_fields_are_ignored_and_missing_ones_are_told_from_malformed_data(
    message, is_complete
):
    data = cbor2.dumps([1, 7, message])
    if is_complete:
        assert decode_frame(data).number == 7
        return
    with pytest.raises(IncompleteMessage) as raised:
        decode_frame(data)
    assert (raised.value.kind, raised.value.number) == (FrameKind.REQUEST, 7)
