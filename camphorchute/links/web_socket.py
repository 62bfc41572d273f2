"""A websocket connection whose frames are read and written in batches.

The protocol is that of ``websockets`` without its connections, which read each frame in a thread
of its own and hand it over behind a lock.
"""

from gevent import socket
from websockets.client import ClientProtocol
from websockets.frames import Frame, Opcode
from websockets.http11 import Request
from websockets.protocol import OPEN, SEND_EOF, Event, Protocol
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from camphorchute.links.codec import FRAME_MAX_BYTES

__all__ = ["WebSocket", "WebSocketClosed", "accept_web_socket", "connect_web_socket"]

READ_BLOCK_BYTES = 65_536
DATA_OPCODES = (Opcode.BINARY, Opcode.TEXT, Opcode.CONT)
MS_PER_S = 1000.0


class WebSocketClosed(OSError):  # noqa: N818
    """The connection has ended, or its peer does not follow the protocol."""


class WebSocket:
    """An open websocket connection.

    Args:
        sock: the connected socket.
        protocol: state of the connection on this side.

    Attributes:
        socket: the connected socket.
    """

    __slots__ = ("socket", "_protocol", "_fragments", "_messages")

    def __init__(self, sock: socket.socket, protocol: Protocol) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket = sock
        self._protocol = protocol
        self._fragments: list[bytes] = []
        self._messages: list[bytes] = []

    def send(self, *messages: bytes) -> None:
        """Send messages with one write.

        Raises:
            WebSocketClosed: the connection is closing.
            OSError: the connection has ended.
        """
        if self._protocol.state is not OPEN:
            raise WebSocketClosed("the connection is closing")
        for message in messages:
            self._protocol.send_binary(message)
        self._flush()

    def recv(self) -> list[bytes]:
        """Return the next messages, at least one; wait for them without a limit.

        Raises:
            WebSocketClosed: the connection was closed or the peer does not follow the protocol.
            OSError: the connection has ended.
        """
        while not self._messages:
            if self._protocol.state is not OPEN:
                raise WebSocketClosed(str(self._protocol.parser_exc or "closed by the peer"))
            self._receive()
            self._take_frames(self._protocol.events_received())
        messages, self._messages = self._messages, []
        return messages

    def recv_one(self, timeout_ms: float) -> bytes:
        """Return the next message only.

        Args:
            timeout_ms: maximum time without data, in milliseconds.

        Raises:
            TimeoutError: no data arrived in time.
            WebSocketClosed: the connection was closed or the peer does not follow the protocol.
            OSError: the connection has ended.
        """
        self.socket.settimeout(timeout_ms / MS_PER_S)
        first, *later = self.recv()
        self._messages = later
        self.socket.settimeout(None)
        return first

    def shake_hands(self, timeout_ms: float) -> None:
        """Complete the opening handshake.

        Args:
            timeout_ms: maximum time without data, in milliseconds.

        Raises:
            TimeoutError: the handshake was not completed in time.
            WebSocketClosed: the peer does not follow the protocol.
            OSError: the connection has ended.
        """
        self.socket.settimeout(timeout_ms / MS_PER_S)
        if isinstance(self._protocol, ClientProtocol):
            self._protocol.send_request(self._protocol.connect())
            self._flush()
        while self._protocol.state is not OPEN:
            self._receive()
            events = self._protocol.events_received()
            if events and isinstance(events[0], Request):
                self._protocol.send_response(self._protocol.accept(events[0]))
                self._flush()
            self._take_frames(events)
            error = self._protocol.handshake_exc or self._protocol.parser_exc
            if error is not None:
                raise WebSocketClosed(f"handshake failed: {error}")
        self.socket.settimeout(None)

    def close_socket(self) -> None:
        """Close the connection without a closing handshake."""
        self.socket.close()

    def _receive(self) -> None:
        """Receive data and answer what the protocol answers by itself."""
        data = self.socket.recv(READ_BLOCK_BYTES)
        if data:
            self._protocol.receive_data(data)
        else:
            self._protocol.receive_eof()
        self._flush()

    def _flush(self) -> None:
        chunks = self._protocol.data_to_send()
        data = b"".join(chunks)
        if data:
            self.socket.sendall(data)
        if SEND_EOF in chunks:
            self.socket.shutdown(socket.SHUT_WR)

    def _take_frames(self, events: list[Event]) -> None:
        """Add the messages of the frames received; a text message is added as its bytes."""
        for frame in events:
            if not isinstance(frame, Frame) or frame.opcode not in DATA_OPCODES:
                continue
            self._fragments.append(bytes(frame.data))
            if frame.fin:
                self._messages.append(b"".join(self._fragments))
                self._fragments = []


def connect_web_socket(address: str, source_host: str, timeout_ms: float) -> WebSocket:
    """Open a connection.

    Args:
        address: ``IP:port`` to connect to.
        source_host: IP address to connect from.
        timeout_ms: maximum time to connect, and again for the handshake.

    Raises:
        TimeoutError: no connection or no handshake in time.
        WebSocketClosed: the other side does not follow the protocol.
        OSError: the connection failed.
    """
    host, _, port = address.rpartition(":")
    sock = socket.create_connection(
        (host.strip("[]"), int(port)), timeout_ms / MS_PER_S, (source_host.strip("[]"), 0)
    )
    protocol = ClientProtocol(parse_uri(f"ws://{address}/"), max_size=FRAME_MAX_BYTES)
    return _shake_hands(WebSocket(sock, protocol), timeout_ms)


def accept_web_socket(sock: socket.socket, timeout_ms: float) -> WebSocket:
    """Complete the handshake on an accepted connection; arguments and errors as to connect."""
    return _shake_hands(WebSocket(sock, ServerProtocol(max_size=FRAME_MAX_BYTES)), timeout_ms)


def _shake_hands(connection: WebSocket, timeout_ms: float) -> WebSocket:
    try:
        connection.shake_hands(timeout_ms)
    except BaseException:
        connection.close_socket()
        raise
    return connection
