"""One link: a websocket to a peer, used in both directions."""

import socket
import time
from collections.abc import Callable

import gevent
from gevent.event import AsyncResult
from gevent.queue import Full, Queue
from websockets.exceptions import ConnectionClosed

from camphorchute.contracts.codes import ResultCode
from camphorchute.contracts.errors import Refusal
from camphorchute.contracts.member import Member
from camphorchute.contracts.messages import Message, Refused, SlotCount
from camphorchute.contracts.run_messages import MemberBeat
from camphorchute.links.codec import (
    FRAME_MAX_BYTES,
    Frame,
    FrameKind,
    decode_frame,
    encode_frame,
)
from camphorchute.links.handlers import Handlers

__all__ = ["Link", "LinkLost", "OUTBOX_MAX_FRAMES"]

OUTBOX_MAX_FRAMES = 10_000


class LinkLost(Exception):  # noqa: N818
    """The link ended or stayed silent; the peer may have acted on what was sent."""


class Link:
    """A websocket to one peer.

    Attributes:
        peer: the process at the other end.
        last_heard_s: monotonic time of the last message from it.
        last_sent_s: monotonic time of the last message to it.
        last_used_s: monotonic time of the last message either way that was not a beat.
        told_slots: slot counts that the last heartbeat carried.

    One greenlet reads, one writes. Requests are numbered and may be outstanding together.

    Args:
        socket_: an open websocket connection.
        peer: the process at the other end.
        handlers: what to do with the peer's messages.
        ended: called once with the link when it has ended.
        opened_by: member id of the process that opened it.
    """

    __slots__ = (
        "peer",
        "opened_by",
        "opened_s",
        "last_heard_s",
        "last_sent_s",
        "last_used_s",
        "told_slots",
        "_socket",
        "_handlers",
        "_ended",
        "_outbox",
        "_waiting",
        "_number",
        "_open",
        "_writer",
    )

    def __init__(
        self,
        socket_: object,
        peer: Member,
        handlers: Handlers,
        ended: Callable[["Link"], None],
        opened_by: str = "",
    ) -> None:
        self.peer = peer
        self.opened_by = opened_by
        self.opened_s = time.monotonic()
        self.last_heard_s = self.opened_s
        self.last_sent_s = 0.0
        self.last_used_s = self.opened_s
        self.told_slots: list[SlotCount] | None = None
        self._socket = socket_
        self._handlers = handlers
        self._ended = ended
        self._outbox: Queue = Queue(OUTBOX_MAX_FRAMES)
        self._waiting: dict[int, AsyncResult] = {}
        self._number = 0
        self._open = True
        self._writer = None

    @property
    def is_open(self) -> bool:
        """Whether the link still carries messages."""
        return self._open

    def start(self) -> None:
        """Start to write; reading is up to :meth:`run`."""
        self._writer = gevent.spawn(self._write)

    def run(self) -> None:
        """Read until the link ends."""
        try:
            while self._open:
                frame = decode_frame(self._socket.recv())
                self.last_heard_s = time.monotonic()
                if not isinstance(frame.message, MemberBeat):
                    self.last_used_s = self.last_heard_s
                self._receive(frame)
        except (ConnectionClosed, OSError):
            pass
        except Refusal as refusal:
            self._handlers.count("links.malformed_message")
            self._handlers.log("links: closed a link with a malformed message", refusal)
        finally:
            self.close()

    def send(self, message: Message) -> bool:
        """Send one way; return whether the message was queued."""
        return self._put(Frame(FrameKind.ONE_WAY, 0, message))

    def send_encoded(self, data: bytes) -> bool:
        """Send a one-way frame that was encoded before; return whether it was queued."""
        return self._open and self._put_bytes(data)

    def request(self, message: Message, timeout_ms: float) -> Message:
        """Send a request and return its reply.

        Raises:
            Refusal: the peer refused.
            LinkLost: no reply came; the peer may have acted on the request.
        """
        self._number += 1
        number = self._number
        result = AsyncResult()
        self._waiting[number] = result
        try:
            if not self._put(Frame(FrameKind.REQUEST, number, message)):
                raise LinkLost(f"link to {self.peer.member_id} is closed")
            reply = result.get(timeout=timeout_ms / 1000)
        except gevent.Timeout:
            raise LinkLost(f"no reply from {self.peer.member_id} in {timeout_ms:.0f} ms") from None
        finally:
            self._waiting.pop(number, None)
        if isinstance(reply, Refused):
            raise _refusal(reply)
        return reply

    def close(self) -> None:
        """End the link; requests under way end with :class:`LinkLost`."""
        if not self._open:
            return
        self._open = False
        waiting, self._waiting = self._waiting, {}
        for result in waiting.values():
            result.set_exception(LinkLost(f"link to {self.peer.member_id} ended"))
        gevent.spawn(self._close_socket)
        self._ended(self)

    def discard(self) -> None:
        """End a link that was never used."""
        self._open = False
        gevent.spawn(self._close_socket)

    def _close_socket(self) -> None:
        if self._writer is not None:
            self._writer.kill(block=False)
        try:
            self._socket.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        finally:
            self._socket.close_socket()

    def _put(self, frame: Frame) -> bool:
        if not self._open:
            return False
        data = encode_frame(frame)
        if len(data) > FRAME_MAX_BYTES:
            return self._put_too_large(frame, len(data))
        used_s = self.last_used_s
        queued = self._put_bytes(data)
        if isinstance(frame.message, MemberBeat):
            self.last_used_s = used_s
        return queued

    def _put_bytes(self, data: bytes) -> bool:
        self.last_sent_s = self.last_used_s = time.monotonic()
        try:
            self._outbox.put_nowait(data)
        except Full:
            self._handlers.count("links.outbox_full")
            self.close()
            return False
        return True

    def _put_too_large(self, frame: Frame, size_bytes: int) -> bool:
        self._handlers.count("links.message_too_large")
        refusal = Refusal(
            ResultCode.VALUE_TOO_LARGE, f"{size_bytes} bytes, at most {FRAME_MAX_BYTES}"
        )
        if frame.kind is FrameKind.REPLY:
            refused = Refused(int(refusal.code), refusal.detail)
            return self._put(Frame(FrameKind.REPLY, frame.number, refused))
        if frame.kind is FrameKind.REQUEST:
            raise refusal
        return False

    def _write(self) -> None:
        try:
            while self._open:
                self._socket.send(self._outbox.get())
        except (ConnectionClosed, OSError):
            self.close()

    def _receive(self, frame: Frame) -> None:
        if frame.kind is FrameKind.REPLY:
            result = self._waiting.get(frame.number)
            if result is None:
                self._handlers.count("links.late_reply")
            else:
                result.set(frame.message)
        elif frame.kind is FrameKind.ONE_WAY:
            self._handlers.tell(self.peer, frame.message)
        elif self._handlers.is_prompt(frame.message):
            self._answer(frame)
        else:
            gevent.spawn(self._answer, frame)

    def _answer(self, frame: Frame) -> None:
        reply = self._handlers.answer(self.peer, frame.message)
        self._put(Frame(FrameKind.REPLY, frame.number, reply))


def _refusal(reply: Refused) -> Refusal:
    known = reply.code in ResultCode._value2member_map_
    code = ResultCode(reply.code) if known else ResultCode.INTERNAL
    refusal = Refusal(code, reply.detail, reply.retry_after_ms)
    refusal.record = reply.record
    return refusal
