"""The links of one process to its peers, opened on first use."""

import time
from collections import deque
from collections.abc import Callable

import gevent
from gevent import socket
from gevent.lock import RLock

from camphorchute.contracts.codes import ResultCode
from camphorchute.contracts.errors import Refusal
from camphorchute.contracts.member import Member
from camphorchute.contracts.messages import Hello, Message, Refused, Welcome
from camphorchute.links.codec import Frame, FrameKind, decode_frame, encode_frame
from camphorchute.links.echoed_times import EchoedTimes, now_ms, uptime_s
from camphorchute.links.handlers import Handlers
from camphorchute.links.link import Link, LinkLost
from camphorchute.links.web_socket import WebSocket, accept_web_socket, connect_web_socket

__all__ = ["Peers", "PeerUnreachable", "CONNECT_TIMEOUT_MS"]

CONNECT_TIMEOUT_MS = 1000.0
PENDING_CONNECTIONS_MAX = 256
ACCEPT_RETRY_MS = 50.0
MS_PER_S = 1000.0


class Peers:
    """All links of a process, at most one in use per peer.

    Args:
        member: this process.
        zones: names of the availability zones; links to processes with other zones are refused.
        handlers: handlers of the messages that peers send.
        listen_address: ``IP:port`` on which to accept links.

    Attributes:
        member: this process.
        zones: sorted names of the availability zones.
        on_member_dead: called with a member that is proved dead, because another incarnation
            answers at its address or because nothing listens there.
        on_link_closed: called with the peer of each link in use that closes, also when a newer
            link has replaced it.
    """

    __slots__ = (
        "member",
        "zones",
        "on_member_dead",
        "on_link_closed",
        "_handlers",
        "_listen_address",
        "_links",
        "_opening_ids",
        "_open_locks",
        "_listener",
        "_own_messages",
        "_is_delivering",
        "_greenlets",
    )

    def __init__(
        self, member: Member, zones: list[str], handlers: Handlers, listen_address: str
    ) -> None:
        self.member = member
        self.zones = sorted(zones)
        self.on_member_dead: Callable[[Member], None] = lambda member: None
        self.on_link_closed: Callable[[Member], None] = lambda member: None
        self._handlers = handlers
        self._listen_address = listen_address
        self._links: dict[str, Link] = {}
        self._open_locks: dict[str, RLock] = {}
        self._opening_ids: set[str] = set()
        self._listener: socket.socket | None = None
        self._own_messages: deque[Message] = deque()
        self._is_delivering = False
        self._greenlets: list = []

    def start(self) -> None:
        """Start to accept links and to deliver messages that this process sends itself."""
        host, _, port = self._listen_address.rpartition(":")
        self._listener = socket.create_server(
            (host.strip("[]"), int(port)), backlog=PENDING_CONNECTIONS_MAX
        )
        self._greenlets.append(gevent.spawn(self._accept_connections))

    def close(self) -> None:
        """Stop accepting links and close all open ones."""
        if self._listener is not None:
            self._listener.close()
        for link in list(self._links.values()):
            link.close()

    def links(self) -> list[Link]:
        """Return the open links."""
        return list(self._links.values())

    def is_linked(self, member_id: str) -> bool:
        """Whether there is an open link to the member."""
        return member_id in self._links

    def running_at_s(self, member_id: str) -> float:
        """Return the latest monotonic time at which a member is known to have been running.

        Messages that arrive late do not count as news of it. The result is minus infinity for a
        member without an open link, and the current time for this process.

        Args:
            member_id: id of the member.
        """
        if member_id == self.member.member_id:
            return time.monotonic()
        link = self._links.get(member_id)
        if link is None:
            return float("-inf")
        return time.monotonic() - link.echoed_times.age_ms() / MS_PER_S

    def request(self, member: Member, message: Message, timeout_ms: float) -> Message:
        """Send a request to a member and return its reply, opening a link if there is none.

        Args:
            member: the receiver, which may be this process.
            message: the request.
            timeout_ms: how long to wait for the reply, without the time to open a link; not
                applied to requests to this process.

        Raises:
            Refusal: the member refused the request, or the request is too large for a frame.
            LinkLost: no reply arrived; the member may have acted on the request.
            PeerUnreachable: no link could be opened; the member has not received the request.
        """
        if member.member_id == self.member.member_id:
            return self._handle_own_request(message)
        return self._get_or_open_link(member).request(message, timeout_ms)

    def send(self, member: Member, message: Message) -> bool:
        """Send a one-way message, opening a link if there is none; return whether it was queued."""
        if member.member_id == self.member.member_id:
            self._queue_own_message(message)
            return True
        try:
            return self._get_or_open_link(member).send(message)
        except PeerUnreachable:
            return False

    def send_or_open(self, member: Member, message: Message) -> bool:
        """Send a one-way message if a link is open; otherwise open one in the background.

        Without an open link the message is dropped, as it might be outdated by the time that the
        link is open. Returns whether the message was queued.
        """
        if member.member_id == self.member.member_id or member.member_id in self._links:
            return self.send_if_linked(member.member_id, message)
        if member.member_id not in self._opening_ids:
            self._opening_ids.add(member.member_id)
            gevent.spawn(self._open_in_background, member)
        return False

    def _open_in_background(self, member: Member) -> None:
        try:
            self._get_or_open_link(member)
        except PeerUnreachable:
            self._handlers.count("links.open_ahead_failed")
        finally:
            self._opening_ids.discard(member.member_id)

    def send_to_all(self, members: list[Member], message: Message) -> None:
        """Send a one-way message to several members, encoding it once for all open links.

        Where no link is open, one is opened in the background and the message is sent over it.
        """
        data = encode_frame(Frame(FrameKind.ONE_WAY, 0, message))
        for member in members:
            link = self._links.get(member.member_id)
            if link is not None:
                link.send_encoded(data)
            elif member.member_id == self.member.member_id:
                self._queue_own_message(message)
            else:
                gevent.spawn(self.send, member, message)

    def send_heartbeat(self, links: list[Link], message: Message) -> None:
        """Send a heartbeat on open links, encoded once; it does not count as use of the links."""
        if links:
            data = encode_frame(Frame(FrameKind.ONE_WAY, 0, message))
            for link in links:
                link.send_encoded_heartbeat(data)

    def send_if_linked(self, member_id: str, message: Message) -> bool:
        """Send a one-way message if a link is open; return whether it was queued."""
        link = self._links.get(member_id)
        if link is None:
            return member_id == self.member.member_id and self.send(self.member, message)
        return link.send(message)

    def _accept_connections(self) -> None:
        """Accept connections and serve each in its own greenlet."""
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                if self._listener.closed:
                    return
                self._handlers.count("links.accept_failed")
                gevent.sleep(ACCEPT_RETRY_MS / MS_PER_S)
            else:
                gevent.spawn(self._serve_connection, sock)

    def _serve_connection(self, sock: socket.socket) -> None:
        try:
            connection = accept_web_socket(sock, CONNECT_TIMEOUT_MS)
            try:
                self._handle_connection(connection)
            finally:
                connection.close_socket()
        except OSError:
            self._handlers.count("links.no_greeting")

    def _queue_own_message(self, message: Message) -> None:
        self._own_messages.append(message)
        if not self._is_delivering:
            self._is_delivering = True
            gevent.spawn(self._deliver_own_messages)

    def _deliver_own_messages(self) -> None:
        """Handle one-way messages to this process in order, outside the sender's greenlet."""
        try:
            while self._own_messages:
                self._handlers.handle_one_way(self.member, self._own_messages.popleft())
        finally:
            self._is_delivering = False

    def _handle_own_request(self, message: Message) -> Message:
        reply = self._handlers.handle_request(self.member, message)
        if isinstance(reply, Refused):
            refusal = Refusal(ResultCode(reply.code), reply.detail, reply.retry_after_ms)
            refusal.record = reply.record
            raise refusal
        return reply

    def _get_or_open_link(self, member: Member) -> Link:
        link = self._links.get(member.member_id)
        if link is not None:
            return link
        lock = self._open_locks.setdefault(member.member_id, RLock())
        with lock:
            link = self._links.get(member.member_id)
            return link if link is not None else self._open_link(member)

    def _open_link(self, member: Member) -> Link:
        host = self._listen_address.rpartition(":")[0]
        try:
            socket_ = connect_web_socket(member.link_address, host, CONNECT_TIMEOUT_MS)
        except ConnectionRefusedError as error:
            self._handlers.count("links.connect_refused")
            self.on_member_dead(member)
            raise PeerUnreachable(str(error)) from error
        except OSError as error:
            self._handlers.count("links.connect_failed")
            raise PeerUnreachable(str(error)) from error
        return self._perform_handshake(socket_, member)

    def _perform_handshake(self, socket_: WebSocket, member: Member) -> Link:
        hello = Hello(self.member, self.zones)
        sent_s = uptime_s()
        try:
            socket_.send(encode_frame(Frame(FrameKind.ONE_WAY, 0, hello)))
            reply = decode_frame(socket_.recv_one(CONNECT_TIMEOUT_MS)).message
        except (OSError, Refusal) as error:
            socket_.close_socket()
            raise PeerUnreachable(
                f"handshake with {member.link_address} failed: {error}"
            ) from error
        if not isinstance(reply, Welcome):
            socket_.close_socket()
            raise PeerUnreachable(
                f"handshake with {member.link_address}: expected Welcome, received {reply!r}"
            )
        if reply.member.member_id != member.member_id:
            self.on_member_dead(member)
            socket_.close_socket()
            raise PeerUnreachable(
                f"expected member {member.member_id} at {member.link_address}, "
                f"found {reply.member.member_id}"
            )
        new_link = Link(
            socket_,
            reply.member,
            self._handlers,
            self._handle_link_closed,
            self.member.member_id,
            EchoedTimes(reply.sent_ms, sent_s),
        )
        link = self._install_link(new_link)
        if link is new_link:
            self._greenlets = [g for g in self._greenlets if not g.dead]
            self._greenlets.append(gevent.spawn(link.read_frames))
        return link

    def _handle_connection(self, socket_: WebSocket) -> None:
        try:
            hello = decode_frame(socket_.recv_one(CONNECT_TIMEOUT_MS)).message
        except (OSError, Refusal):
            self._handlers.count("links.no_greeting")
            return
        if not isinstance(hello, Hello) or sorted(hello.zones) != self.zones:
            self._handlers.count("links.zones_differ")
            refused = Refused(
                int(ResultCode.ZONES_DIFFER), f"expected Hello with zones {self.zones}"
            )
            socket_.send(encode_frame(Frame(FrameKind.ONE_WAY, 0, refused)))
            return
        socket_.send(encode_frame(Frame(FrameKind.ONE_WAY, 0, Welcome(self.member, now_ms()))))
        peer = hello.member
        new_link = Link(socket_, peer, self._handlers, self._handle_link_closed, peer.member_id)
        if self._install_link(new_link) is new_link:
            new_link.read_frames()

    def _install_link(self, link: Link) -> Link:
        """Put a new link into use and close the previous one; return the link in use.

        If both sides opened a link at the same time, both keep the link that the lower member id
        opened. Frames still in transit on the other link are never read.
        """
        old = self._links.get(link.peer.member_id)
        if old is not None and self._is_old_link_preferred(old, link):
            link.discard()
            return old
        self._links[link.peer.member_id] = link
        link.start_writer()
        if old is not None:
            link.echoed_times.running_at_s = max(
                link.echoed_times.running_at_s, old.echoed_times.running_at_s
            )
            old.close()
        return link

    def _is_old_link_preferred(self, old: Link, new: Link) -> bool:
        opened_recently = time.monotonic() - old.opened_s < CONNECT_TIMEOUT_MS / 1000
        opened_by_different_members = old.opened_by != new.opened_by
        return (
            old.is_open
            and opened_recently
            and opened_by_different_members
            and old.opened_by < new.opened_by
        )

    def _handle_link_closed(self, link: Link) -> None:
        if self._links.get(link.peer.member_id) is link:
            del self._links[link.peer.member_id]
            self._open_locks.pop(link.peer.member_id, None)
        self.on_link_closed(link.peer)


class PeerUnreachable(LinkLost):
    """No link could be opened; the peer has not received the message."""
