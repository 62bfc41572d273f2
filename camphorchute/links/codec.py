"""Encoding of link frames: typed messages in CBOR, validated when they are decoded."""

from enum import IntEnum
from functools import reduce
from operator import or_

import cbor2
import msgspec

from camphorchute.contracts.codes import ResultCode
from camphorchute.contracts.errors import Refusal
from camphorchute.contracts.messages import Message

__all__ = [
    "FRAME_MAX_BYTES",
    "FrameKind",
    "Frame",
    "IncompleteMessage",
    "encode_frame",
    "decode_frame",
]

FRAME_MAX_BYTES = 16 * 1024 * 1024


class FrameKind(IntEnum):
    """Role of a frame: one-way message, request or reply."""

    ONE_WAY = 0
    REQUEST = 1
    REPLY = 2


class Frame(msgspec.Struct, array_like=True):
    """A message and its place in a request-reply exchange.

    Attributes:
        kind: whether the message is one-way, a request or a reply.
        number: number that a request and its reply share; 0 in one-way frames.
        message: the message.
    """

    kind: FrameKind
    number: int
    message: Message


class IncompleteMessage(Refusal):
    """A message of a known type lacks a field; the frames that follow can be read.

    Attributes:
        kind: kind of its frame.
        number: number of its frame.
    """

    def __init__(self, detail: str, kind: FrameKind, number: int) -> None:
        super().__init__(ResultCode.MALFORMED_MESSAGE, detail)
        self.kind = kind
        self.number = number


class _FrameHead(msgspec.Struct, array_like=True):
    """A frame without its message; further elements are ignored."""

    kind: FrameKind
    number: int


def _union_of(is_array: bool) -> object:
    """Return the union of the messages that are encoded as arrays, or as maps."""
    return reduce(
        or_, (kind for kind in Message.__args__ if kind.__struct_config__.array_like is is_array)
    )


# msgspec does not decode a union of arrays and maps, and it prepares a union for decoding only once
# where it is the type of a field.
class _ArrayFrame(_FrameHead, array_like=True):
    message: _union_of(True)


class _MapFrame(_FrameHead, array_like=True):
    message: _union_of(False)


_MISSING_FIELD_TEXTS = ("missing required field", "of at least length")


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(frame, builtin_types=(bytes,)))


def decode_frame(data: bytes) -> Frame:
    """Decode a frame from CBOR and validate its message.

    Fields that the message type does not have are ignored.

    Raises:
        IncompleteMessage: the message lacks a field.
        Refusal: ``MALFORMED_MESSAGE`` if the data is not valid CBOR or not a valid frame.

    Examples:
        >>> from camphorchute.contracts.messages import Done
        >>> decode_frame(encode_frame(Frame(FrameKind.REPLY, 7, Done()))).number
        7
    """
    try:
        builtins = cbor2.loads(data)
        frame_type = _ArrayFrame if type(builtins[2]) is list else _MapFrame
        try:
            frame = msgspec.convert(builtins, frame_type)
        except msgspec.ValidationError as error:
            if not any(text in str(error) for text in _MISSING_FIELD_TEXTS):
                raise
            head = msgspec.convert(builtins, _FrameHead)
            raise IncompleteMessage(str(error), head.kind, head.number) from error
        return Frame(frame.kind, frame.number, frame.message)
    except (
        cbor2.CBORDecodeError,
        msgspec.ValidationError,
        ValueError,
        TypeError,
        LookupError,
    ) as error:
        raise Refusal(ResultCode.MALFORMED_MESSAGE, str(error)) from error
