"""Echoed times: prove until when the process at the other end of a link was running."""

import struct
import time

__all__ = ["ECHOED_TIMES_BYTES", "EchoedTimes", "now_ms", "uptime_s"]

MS_PER_S = 1000.0
ARRAY_OF_3, ARRAY_OF_5 = b"\x83", b"\x85"  # first bytes of frames without and with the two times
UINT_64 = 0x1B  # first byte of a CBOR integer of eight bytes
TIMES = struct.Struct(">BQBQ")
ECHOED_TIMES_BYTES = TIMES.size


def uptime_s() -> float:
    """Return the time of a clock in seconds that never jumps and counts suspensions as well."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def now_ms() -> int:
    """Return that time in whole milliseconds."""
    return int(uptime_s() * MS_PER_S)


class EchoedTimes:
    """Adds two times to each frame that is sent on a link, and reads those of the peer.

    The first is the time of sending by the sender's clock, the second is the latest time that the
    sender has received from its peer. A frame that echoes a time was sent after that time, however
    long it waited on its way or in this process. The idea is that of the TCP timestamps option
    (RFC 7323, section 3); the clocks of the two processes are never compared.

    Frames of an older version carry no times. They count as sent when they are read.

    Args:
        peer_time_ms: time of the peer that the first frame echoes, 0 if none was received.
        running_at_s: uptime at which the peer is known to have been running, in seconds.

    Attributes:
        running_at_s: latest uptime at which the peer is known to have been running, in seconds.

    Examples:
        >>> here, there = EchoedTimes(), EchoedTimes()
        >>> frame = bytes.fromhex("83000000")
        >>> sent_s = uptime_s()
        >>> there.read(here.add_to(frame)) == here.read(there.add_to(frame)) == frame
        True
        >>> sent_s - 0.001 <= here.running_at_s <= uptime_s()
        True
        >>> there.running_at_s
        0.0
    """

    __slots__ = ("running_at_s", "_peer_time_ms")

    def __init__(self, peer_time_ms: int = 0, running_at_s: float = 0.0) -> None:
        self.running_at_s = running_at_s
        self._peer_time_ms = peer_time_ms

    def age_ms(self) -> float:
        """Return for how long the peer has not been known to be running, in milliseconds."""
        return (uptime_s() - self.running_at_s) * MS_PER_S

    def add_to(self, data: bytes) -> bytes:
        """Return an encoded frame with the two times.

        Args:
            data: the frame, an array of three elements.
        """
        return ARRAY_OF_5 + data[1:] + TIMES.pack(UINT_64, now_ms(), UINT_64, self._peer_time_ms)

    def read(self, data: bytes) -> bytes:
        """Record the two times of a frame that was received, and return the frame without them.

        Args:
            data: the frame as it was received.
        """
        times = self._times_of(data)
        if times is None:
            if data[:1] == ARRAY_OF_3:
                self.running_at_s = uptime_s()
            return data
        self._peer_time_ms, echoed_ms = times
        echoed_s = min(echoed_ms / MS_PER_S, uptime_s())
        self.running_at_s = max(self.running_at_s, echoed_s)
        return ARRAY_OF_3 + data[1:-ECHOED_TIMES_BYTES]

    @staticmethod
    def _times_of(data: bytes) -> tuple[int, int] | None:
        """Return the times of a frame, None if it has none."""
        if data[:1] != ARRAY_OF_5 or len(data) <= ECHOED_TIMES_BYTES:
            return None
        kind, sent_ms, other_kind, echoed_ms = TIMES.unpack_from(
            data, len(data) - ECHOED_TIMES_BYTES
        )
        return (sent_ms, echoed_ms) if kind == other_kind == UINT_64 else None
