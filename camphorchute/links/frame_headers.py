"""Headers of websocket frames, RFC 6455, section 5.2."""

import struct

__all__ = ["WHOLE_BINARY_MESSAGE", "encode_header", "read_header"]

WHOLE_BINARY_MESSAGE = 0x82  # first byte of a frame with a binary message and the FIN bit set
MASKED = 0x80
LENGTH_16_BITS, LENGTH_64_BITS = 126, 127


def encode_header(size_bytes: int, is_masked: bool) -> bytes:
    """Return the header of a binary message in one frame, without its mask.

    Args:
        size_bytes: size of the message.
        is_masked: whether a mask follows the header.

    Examples:
        >>> encode_header(300, is_masked=False).hex()
        '827e012c'
    """
    mask_bit = MASKED if is_masked else 0
    if size_bytes < LENGTH_16_BITS:
        return bytes((WHOLE_BINARY_MESSAGE, mask_bit | size_bytes))
    if size_bytes < 1 << 16:
        return struct.pack(">BBH", WHOLE_BINARY_MESSAGE, mask_bit | LENGTH_16_BITS, size_bytes)
    return struct.pack(">BBQ", WHOLE_BINARY_MESSAGE, mask_bit | LENGTH_64_BITS, size_bytes)


def read_header(data: bytes, position: int) -> tuple[int, int, bytes | None]:
    """Read the header of a frame, which may be incomplete.

    Args:
        data: bytes received.
        position: where the frame starts in them.

    Returns:
        Where the payload starts, its size and its mask, None without one. The start is beyond the
        end of the data if the header is incomplete.

    Examples:
        >>> read_header(bytes.fromhex("827e012c"), 0)
        (4, 300, None)
    """
    if position + 2 > len(data):
        return position + 2, 0, None
    second = data[position + 1]
    size_bytes, start = second & ~MASKED, position + 2
    if size_bytes >= LENGTH_16_BITS:
        start += 2 if size_bytes == LENGTH_16_BITS else 8
        size_bytes = int.from_bytes(data[position + 2 : start], "big") if start <= len(data) else 0
    if not second & MASKED:
        return start, size_bytes, None
    return start + 4, size_bytes, data[start : start + 4]
