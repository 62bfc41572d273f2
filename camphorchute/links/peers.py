"""The links of one process to its peers, opened as they are needed."""

import time
from collections.abc import Callable

import gevent
from gevent.lock import RLock
from gevent.queue import Queue
from websockets.exceptions import InvalidHandshake, WebSocketException
from websockets.sync.client import connect
from websockets.sync.server import serve

from camphorchute.contracts.codes import ResultCode
from camphorchute.contracts.errors import Refusal
from camphorchute.contracts.member import Member
from camphorchute.contracts.messages import Hello, Message, Refused, Welcome
from camphorchute.links.codec import (
    FRAME_MAX_BYTES,
    Frame,
    FrameKind,
    decode_frame,
    encode_frame,
)
from camphorchute.links.handlers import Handlers
from camphorchute.links.link import Link, LinkLost
from camphorchute.links.socket_reader import use_blocking_reads

__all__ = ["Peers", "PeerUnreachable", "CONNECT_TIMEOUT_MS"]

CONNECT_TIMEOUT_MS = 1000.0

use_blocking_reads()


class Peers:
    """All links of a process.

    Args:
        member: this process.
        zones: the availability zones, the same list at every process.
        handlers: what to do with messages.
        listen_address: ``IP:port`` to accept links on.

    Attributes:
        replaced: called with a member that is proved dead, because another incarnation answers
            at its address or because nothing listens there.
        lost: called with a member whose last link ended.
    """

    __slots__ = (
        "member",
        "zones",
        "replaced",
        "lost",
        "_handlers",
        "_address",
        "_links",
        "_opening",
        "_locks",
        "_server",
        "_own_messages",
        "_greenlets",
    )

    def __init__(
        self, member: Member, zones: list[str], handlers: Handlers, listen_address: str
    ) -> None:
        self.member = member
        self.zones = sorted(zones)
        self.replaced: Callable[[Member], None] = lambda member: None
        self.lost: Callable[[Member], None] = lambda member: None
        self._handlers = handlers
        self._address = listen_address
        self._links: dict[str, Link] = {}
        self._locks: dict[str, RLock] = {}
        self._opening: set[str] = set()
        self._server = None
        self._own_messages: Queue = Queue()
        self._greenlets: list = []

    def start(self) -> None:
        """Accept links."""
        host, _, port = self._address.rpartition(":")
        self._server = serve(
            self._accept,
            host,
            int(port),
            compression=None,
            ping_interval=None,
            max_size=FRAME_MAX_BYTES,
            open_timeout=CONNECT_TIMEOUT_MS / 1000,
        )
        self._greenlets.append(gevent.spawn(self._accept_all))
        self._greenlets.append(gevent.spawn(self._tell_self))

    def close(self) -> None:
        """End all links and accept no more."""
        if self._server is not None:
            self._server.socket.close()
        for link in list(self._links.values()):
            link.close()

    def links(self) -> list[Link]:
        """Return the open links."""
        return list(self._links.values())

    def is_linked(self, member_id: str) -> bool:
        """Whether a link to the member is open."""
        return member_id in self._links

    def request(self, member: Member, message: Message, timeout_ms: float) -> Message:
        """Send a request to a member, over a new link if there is none.

        Raises:
            Refusal: the member refused.
            LinkLost: it may or may not have acted on the request.
            PeerUnreachable: it has not received the request.
        """
        if member.member_id == self.member.member_id:
            return self._answer_self(message)
        return self._link_to(member).request(message, timeout_ms)

    def send(self, member: Member, message: Message) -> bool:
        """Send one way; return whether the message was queued on a link."""
        if member.member_id == self.member.member_id:
            self._own_messages.put(message)
            return True
        try:
            return self._link_to(member).send(message)
        except PeerUnreachable:
            return False

    def send_now(self, member: Member, message: Message) -> bool:
        """Send one way if a link is open; else open one in the background and send nothing.

        A message that would have to wait for its link may no longer be true by then.
        """
        if member.member_id == self.member.member_id or member.member_id in self._links:
            return self.send_linked(member.member_id, message)
        if member.member_id not in self._opening:
            self._opening.add(member.member_id)
            gevent.spawn(self._open_ahead, member)
        return False

    def _open_ahead(self, member: Member) -> None:
        try:
            self._link_to(member)
        except PeerUnreachable:
            self._handlers.count("links.open_ahead_failed")
        finally:
            self._opening.discard(member.member_id)

    def send_each(self, members: list[Member], message: Message) -> None:
        """Send the same message one way to several members, encoded once.

        Links that are not open yet are opened in the background.
        """
        data = encode_frame(Frame(FrameKind.ONE_WAY, 0, message))
        for member in members:
            link = self._links.get(member.member_id)
            if link is not None:
                link.send_encoded(data)
            elif member.member_id == self.member.member_id:
                self._own_messages.put(message)
            else:
                gevent.spawn(self.send, member, message)

    def send_linked(self, member_id: str, message: Message) -> bool:
        """Send one way over a link that is open already."""
        link = self._links.get(member_id)
        if link is None:
            return member_id == self.member.member_id and self.send(self.member, message)
        return link.send(message)

    def _accept_all(self) -> None:
        """Serve each connection in a greenlet of its own.

        The server's own loop keeps its socket in a selector while the socket is closed, which
        gevent's event loop answers with an abort of the process.
        """
        while True:
            try:
                sock, address = self._server.socket.accept()
            except OSError:
                return
            gevent.spawn(self._server.handler, sock, address)

    def _tell_self(self) -> None:
        """Deliver one-way messages to this process in order, never within their sender."""
        while True:
            self._handlers.tell(self.member, self._own_messages.get())

    def _answer_self(self, message: Message) -> Message:
        reply = self._handlers.answer(self.member, message)
        if isinstance(reply, Refused):
            refusal = Refusal(ResultCode(reply.code), reply.detail, reply.retry_after_ms)
            refusal.record = reply.record
            raise refusal
        return reply

    def _link_to(self, member: Member) -> Link:
        link = self._links.get(member.member_id)
        if link is not None:
            return link
        lock = self._locks.setdefault(member.member_id, RLock())
        with lock:
            link = self._links.get(member.member_id)
            return link if link is not None else self._open(member)

    def _open(self, member: Member) -> Link:
        host = self._address.rpartition(":")[0]
        try:
            socket_ = connect(
                f"ws://{member.link_address}/",
                compression=None,
                ping_interval=None,
                max_size=FRAME_MAX_BYTES,
                proxy=None,
                open_timeout=CONNECT_TIMEOUT_MS / 1000,
                source_address=(host, 0),
            )
        except ConnectionRefusedError as error:
            self._handlers.count("links.connect_refused")
            self.replaced(member)
            raise PeerUnreachable(str(error)) from error
        except (OSError, TimeoutError, WebSocketException, EOFError) as error:
            self._handlers.count("links.connect_failed")
            raise PeerUnreachable(str(error)) from error
        return self._greet(socket_, member)

    def _greet(self, socket_: object, member: Member) -> Link:
        hello = Hello(self.member, self.zones)
        try:
            socket_.send(encode_frame(Frame(FrameKind.ONE_WAY, 0, hello)))
            reply = decode_frame(socket_.recv(timeout=CONNECT_TIMEOUT_MS / 1000)).message
        except (OSError, TimeoutError, WebSocketException, Refusal) as error:
            socket_.close_socket()
            raise PeerUnreachable(f"no greeting: {error}") from error
        if not isinstance(reply, Welcome):
            socket_.close_socket()
            raise PeerUnreachable(f"greeted with {reply!r}")
        if reply.member.member_id != member.member_id:
            self.replaced(member)
            socket_.close_socket()
            raise PeerUnreachable(f"{member.link_address} has another incarnation now")
        opened = Link(
            socket_, reply.member, self._handlers, self._link_ended, self.member.member_id
        )
        link = self._adopt(opened)
        if link is opened:
            self._greenlets = [g for g in self._greenlets if not g.dead]
            self._greenlets.append(gevent.spawn(link.run))
        return link

    def _accept(self, socket_: object) -> None:
        try:
            hello = decode_frame(socket_.recv(timeout=CONNECT_TIMEOUT_MS / 1000)).message
        except (OSError, TimeoutError, WebSocketException, InvalidHandshake, Refusal):
            self._handlers.count("links.no_greeting")
            return
        if not isinstance(hello, Hello) or sorted(hello.zones) != self.zones:
            self._handlers.count("links.zones_differ")
            refused = Refused(int(ResultCode.ZONES_DIFFER), f"zones here: {self.zones}")
            socket_.send(encode_frame(Frame(FrameKind.ONE_WAY, 0, refused)))
            return
        socket_.send(encode_frame(Frame(FrameKind.ONE_WAY, 0, Welcome(self.member))))
        peer = hello.member
        opened = Link(socket_, peer, self._handlers, self._link_ended, peer.member_id)
        if self._adopt(opened) is opened:
            opened.run()

    def _adopt(self, link: Link) -> Link:
        """Use a new link and end the one before it; return the link that is used.

        Where both ends have opened one at the same time, both keep the one that was opened by the
        lower member id. What was still under way on the other one is never read.
        """
        old = self._links.get(link.peer.member_id)
        if old is not None and self._is_preferred(old, link):
            link.discard()
            return old
        self._links[link.peer.member_id] = link
        link.start()
        if old is not None:
            old.close()
        return link

    def _is_preferred(self, old: Link, new: Link) -> bool:
        at_once = time.monotonic() - old.opened_s < CONNECT_TIMEOUT_MS / 1000
        crossed = old.opened_by != new.opened_by
        return old.is_open and at_once and crossed and old.opened_by < new.opened_by

    def _link_ended(self, link: Link) -> None:
        if self._links.get(link.peer.member_id) is link:
            del self._links[link.peer.member_id]
            self._locks.pop(link.peer.member_id, None)
        self.lost(link.peer)


class PeerUnreachable(LinkLost):
    """No link could be opened; the peer has not received the request."""
