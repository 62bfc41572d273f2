"""Encoding of link frames: typed messages in CBOR, validated when they are decoded."""

from enum import IntEnum

import cbor2
import msgspec

from camphorchute.contracts.codes import ResultCode
from camphorchute.contracts.errors import Refusal
from camphorchute.contracts.messages import Message

__all__ = ["FRAME_MAX_BYTES", "FrameKind", "Frame", "encode_frame", "decode_frame"]

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


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(frame, builtin_types=(bytes,)))


def decode_frame(data: bytes) -> Frame:
    """Decode a frame from CBOR and validate its message.

    Raises:
        Refusal: ``MALFORMED_MESSAGE`` if the data is not valid CBOR or not a valid frame.

    Examples:
        >>> from camphorchute.contracts.messages import Done
        >>> decode_frame(encode_frame(Frame(FrameKind.REPLY, 7, Done()))).number
        7
    """
    try:
        return msgspec.convert(cbor2.loads(data), Frame)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, TypeError) as error:
        raise Refusal(ResultCode.MALFORMED_MESSAGE, str(error)) from error
