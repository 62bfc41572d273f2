"""Frames on a link: a typed message in CBOR, checked on receipt."""

from enum import IntEnum

import cbor2
import msgspec

from camphorchute.contracts.codes import ResultCode
from camphorchute.contracts.errors import Refusal
from camphorchute.contracts.messages import Message

__all__ = ["FRAME_MAX_BYTES", "FrameKind", "Frame", "encode_frame", "decode_frame"]

FRAME_MAX_BYTES = 16 * 1024 * 1024


class FrameKind(IntEnum):
    """What a frame is for."""

    ONE_WAY = 0
    REQUEST = 1
    REPLY = 2


class Frame(msgspec.Struct, array_like=True):
    """A message with the number that pairs a reply with its request."""

    kind: FrameKind
    number: int
    message: Message


def encode_frame(frame: Frame) -> bytes:
    """Return the bytes of a frame."""
    return cbor2.dumps(msgspec.to_builtins(frame, builtin_types=(bytes,)))


def decode_frame(data: bytes) -> Frame:
    """Return the frame in the bytes.

    Raises:
        Refusal: ``MALFORMED_MESSAGE`` where the bytes are no CBOR or no message of ours.

    Examples:
        >>> from camphorchute.contracts.messages import Done
        >>> decode_frame(encode_frame(Frame(FrameKind.REPLY, 7, Done()))).number
        7
    """
    try:
        return msgspec.convert(cbor2.loads(data), Frame)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, TypeError) as error:
        raise Refusal(ResultCode.MALFORMED_MESSAGE, str(error)) from error
