"""A link: one websocket connection to a peer, on which both sides send requests."""

import socket
import time
from collections.abc import Callable

import gevent
from gevent.event import AsyncResult

from camphorchute.contracts.codes import ResultCode
from camphorchute.contracts.errors import Refusal
from camphorchute.contracts.member import Member
from camphorchute.contracts.messages import Message, Refused, SlotCount
from camphorchute.contracts.run_messages import MemberBeat
from camphorchute.links.codec import (
    FRAME_MAX_BYTES,
    Frame,
    FrameKind,
    IncompleteMessage,
    decode_frame,
    encode_frame,
)
from camphorchute.links.echoed_times import ECHOED_TIMES_BYTES, EchoedTimes
from camphorchute.links.handlers import Handlers
from camphorchute.links.outbox import Outbox
from camphorchute.links.web_socket import WebSocket
from camphorchute.observation_clock import observation_clock

__all__ = ["Link", "LinkLost"]


class LinkLost(Exception):  # noqa: N818
    """The link closed or no reply arrived; the peer may have acted on the message."""


class Link:
    """A websocket connection to one peer.

    One greenlet reads; an :class:`Outbox` writes. Requests are numbered, so several may be pending
    at a time.

    Args:
        socket_: an open websocket connection.
        peer: the process at the other end.
        handlers: handlers of the messages that the peer sends.
        on_closed: called once with the link when it closes; not called by :meth:`discard`.
        opened_by: member id of the process that opened the connection.
        echoed_times: the times that the handshake has exchanged, None if it has not.

    Attributes:
        peer: the process at the other end.
        opened_by: member id of the process that opened the connection.
        opened_s: monotonic time at which the link was created.
        last_received_s: monotonic time of the last message received.
        last_observed_s: the same time by the observation clock, by which the peer's silence is
            judged.
        last_sent_s: monotonic time at which a message was last queued for sending, 0 before the
            first.
        last_activity_s: monotonic time of the last message sent or received that was not a
            :class:`MemberBeat`.
        last_sent_slots: slot counts last sent to the peer in a heartbeat, None before the first.
        echoed_times: the times that frames carry, which prove until when the peer was running.
    """

    __slots__ = (
        "peer",
        "opened_by",
        "opened_s",
        "last_received_s",
        "last_observed_s",
        "last_sent_s",
        "last_activity_s",
        "last_sent_slots",
        "echoed_times",
        "_socket",
        "_handlers",
        "_on_closed",
        "_outbox",
        "_pending_replies",
        "_last_request_number",
        "_last_heartbeat",
        "_open",
    )

    def __init__(
        self,
        socket_: WebSocket,
        peer: Member,
        handlers: Handlers,
        on_closed: Callable[["Link"], None],
        opened_by: str = "",
        echoed_times: EchoedTimes | None = None,
    ) -> None:
        self.peer = peer
        self.opened_by = opened_by
        self.opened_s = time.monotonic()
        self.last_received_s = self.opened_s
        self.last_observed_s = observation_clock.now_s()
        self.last_sent_s = 0.0
        self.last_activity_s = self.opened_s
        self.last_sent_slots: list[SlotCount] | None = None
        self.echoed_times = echoed_times or EchoedTimes()
        self._socket = socket_
        self._handlers = handlers
        self._on_closed = on_closed
        self._outbox = Outbox(socket_, self.close)
        self._pending_replies: dict[int, AsyncResult] = {}
        self._last_request_number = 0
        self._last_heartbeat: tuple[bytes | None, Frame | None] = (None, None)
        self._open = True

    @property
    def is_open(self) -> bool:
        """Whether the link is open."""
        return self._open

    def start_writer(self) -> None:
        """Start to write queued frames; :meth:`read_frames` reads."""
        self._outbox.start()

    def read_frames(self) -> None:
        """Read and dispatch frames until the link closes."""
        try:
            while self._open:
                messages = self._socket.recv()
                self.last_received_s = time.monotonic()
                self.last_observed_s = observation_clock.now_s()
                for data in messages:
                    if not self._open:
                        break
                    self._read_frame(data)
        except OSError:
            pass
        except Refusal as refusal:
            self._handlers.count("links.malformed_message")
            self._handlers.log_error(
                f"links: malformed message from {self.peer.member_id}, closing the link", refusal
            )
        finally:
            self.close()

    def _read_frame(self, data: bytes) -> None:
        data = self.echoed_times.read(data)
        last_data, frame = self._last_heartbeat
        if data != last_data:
            try:
                frame = decode_frame(data)
            except IncompleteMessage as error:
                self._answer_incomplete(error)
                return
            if isinstance(frame.message, MemberBeat):
                self._last_heartbeat = (data, frame)
            else:
                self.last_activity_s = self.last_received_s
        self._dispatch_frame(frame)

    def _answer_incomplete(self, error: IncompleteMessage) -> None:
        """Drop a message that lacks a field; a request is refused, and so is one whose reply it is.

        The link stays open, as its loss would stop all tasks of the peer.
        """
        self._handlers.count("links.incomplete_message")
        refused = Refused(int(error.code), error.detail)
        if error.kind is FrameKind.REQUEST:
            self._enqueue_frame(Frame(FrameKind.REPLY, error.number, refused))
        elif error.kind is FrameKind.REPLY:
            self._dispatch_frame(Frame(FrameKind.REPLY, error.number, refused))

    def send(self, message: Message) -> bool:
        """Send a one-way message; return whether it was queued.

        A message too large for a frame is not queued. A full outbox closes the link.
        """
        return self._enqueue_frame(Frame(FrameKind.ONE_WAY, 0, message))

    def send_encoded(self, data: bytes) -> bool:
        """Send an encoded one-way frame; return whether it was queued."""
        return self._open and self._enqueue_encoded(data)

    def send_encoded_heartbeat(self, data: bytes) -> bool:
        """Send an encoded heartbeat, which is no use of the link; return whether it was queued."""
        activity_s = self.last_activity_s
        queued = self.send_encoded(data)
        self.last_activity_s = activity_s
        return queued

    def request(self, message: Message, timeout_ms: float) -> Message:
        """Send a request and return its reply.

        Args:
            message: the request.
            timeout_ms: how long to wait for the reply.

        Raises:
            Refusal: the peer refused the request, or the request is too large for a frame.
            LinkLost: no reply arrived; the peer may have acted on the request.
        """
        self._last_request_number += 1
        number = self._last_request_number
        result = AsyncResult()
        self._pending_replies[number] = result
        try:
            if not self._enqueue_frame(Frame(FrameKind.REQUEST, number, message)):
                raise LinkLost(f"link to {self.peer.member_id} is closed")
            reply = result.get(timeout=timeout_ms / 1000)
        except gevent.Timeout:
            raise LinkLost(
                f"no reply from {self.peer.member_id} within {timeout_ms:.0f} ms"
            ) from None
        finally:
            self._pending_replies.pop(number, None)
        if isinstance(reply, Refused):
            raise _decode_refusal(reply)
        return reply

    def close(self) -> None:
        """Close the link; pending requests fail with :class:`LinkLost`."""
        if not self._open:
            return
        self._open = False
        pending_replies, self._pending_replies = self._pending_replies, {}
        for result in pending_replies.values():
            result.set_exception(LinkLost(f"link to {self.peer.member_id} closed"))
        gevent.spawn(self._close_socket)
        self._on_closed(self)

    def discard(self) -> None:
        """Close a link that was never used, without calling ``on_closed``."""
        self._open = False
        gevent.spawn(self._close_socket)

    def _close_socket(self) -> None:
        self._outbox.close()
        try:
            self._socket.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        finally:
            self._socket.close_socket()

    def _enqueue_frame(self, frame: Frame) -> bool:
        if not self._open:
            return False
        data = encode_frame(frame)
        if len(data) > FRAME_MAX_BYTES - ECHOED_TIMES_BYTES:
            return self._reject_oversized_frame(frame, len(data))
        activity_s = self.last_activity_s
        queued = self._enqueue_encoded(data)
        if isinstance(frame.message, MemberBeat):
            self.last_activity_s = activity_s
        return queued

    def _enqueue_encoded(self, data: bytes) -> bool:
        self.last_sent_s = self.last_activity_s = time.monotonic()
        if not self._outbox.put(self.echoed_times.add_to(data)):
            self._handlers.count("links.outbox_full")
            self.close()
            return False
        return True

    def _reject_oversized_frame(self, frame: Frame, size_bytes: int) -> bool:
        self._handlers.count("links.message_too_large")
        refusal = Refusal(
            ResultCode.VALUE_TOO_LARGE,
            f"frame has {size_bytes} bytes, at most {FRAME_MAX_BYTES} allowed",
        )
        if frame.kind is FrameKind.REPLY:
            refused = Refused(int(refusal.code), refusal.detail)
            return self._enqueue_frame(Frame(FrameKind.REPLY, frame.number, refused))
        if frame.kind is FrameKind.REQUEST:
            raise refusal
        return False

    def _dispatch_frame(self, frame: Frame) -> None:
        if frame.kind is FrameKind.REPLY:
            result = self._pending_replies.get(frame.number)
            if result is None:
                self._handlers.count("links.late_reply")
            else:
                result.set(frame.message)
        elif frame.kind is FrameKind.ONE_WAY:
            self._handlers.handle_one_way(self.peer, frame.message)
        elif self._handlers.is_nonblocking(frame.message):
            self._handle_request(frame)
        else:
            gevent.spawn(self._handle_request, frame)

    def _handle_request(self, frame: Frame) -> None:
        reply = self._handlers.handle_request(self.peer, frame.message)
        self._enqueue_frame(Frame(FrameKind.REPLY, frame.number, reply))


def _decode_refusal(reply: Refused) -> Refusal:
    is_known_code = reply.code in ResultCode._value2member_map_
    code = ResultCode(reply.code) if is_known_code else ResultCode.INTERNAL
    refusal = Refusal(code, reply.detail, reply.retry_after_ms)
    refusal.record = reply.record
    return refusal
