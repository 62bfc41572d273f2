"""A websocket connection whose frames are read and written in batches.

The protocol is that of ``websockets`` without its connections, which read each frame in a thread
of its own and hand it over behind a lock. Complete binary messages in one frame, which are all that
links send, are written and read here; the protocol gets every other frame and all malformed data.
"""

import os
import random

from gevent import socket
from websockets.client import ClientProtocol
from websockets.frames import Frame, Opcode, apply_mask
from websockets.http11 import Request
from websockets.protocol import OPEN, SEND_EOF, Event, Protocol
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from camphorchute.links.codec import FRAME_MAX_BYTES
from camphorchute.links.frame_headers import WHOLE_BINARY_MESSAGE, encode_header, read_header

__all__ = ["WebSocket", "WebSocketClosed", "accept_web_socket", "connect_web_socket"]

READ_BLOCK_BYTES = 65_536
DATA_OPCODES = (Opcode.BINARY, Opcode.TEXT, Opcode.CONT)
END_OF_HANDSHAKE = b"\r\n\r\n"
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

    __slots__ = (
        "socket",
        "_protocol",
        "_is_client",
        "_masks",
        "_fragments",
        "_messages",
        "_unread",
        "_needed_bytes",
    )

    def __init__(self, sock: socket.socket, protocol: Protocol) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket = sock
        self._protocol = protocol
        self._is_client = isinstance(protocol, ClientProtocol)
        self._masks = random.Random(os.urandom(32))
        self._fragments: list[bytes] = []
        self._messages: list[bytes] = []
        self._unread = bytearray()
        self._needed_bytes = 0

    def send(self, *messages: bytes) -> None:
        """Send messages with one write.

        Raises:
            WebSocketClosed: the connection is closing.
            OSError: the connection has ended.
        """
        self.socket.sendall(self._encode(messages))

    def send_now(self, *messages: bytes) -> bytes:
        """Send messages with one write that does not wait.

        Returns:
            The bytes that the socket did not take; :meth:`send_rest` has to send them next.

        Raises:
            WebSocketClosed: the connection is closing.
            OSError: the connection has ended.
        """
        data = self._encode(messages)
        try:
            sent = self.socket.send(data, 0, 0.0)
        except BlockingIOError:
            return data
        return data[sent:]

    def send_rest(self, data: bytes) -> None:
        """Send the bytes that :meth:`send_now` returned.

        Raises:
            OSError: the connection has ended.
        """
        self.socket.sendall(data)

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
        if self._is_client:
            self._protocol.send_request(self._protocol.connect())
            self._flush()
        received = b""
        while self._protocol.state is not OPEN:
            data = self.socket.recv(READ_BLOCK_BYTES)
            if data:
                received += data
                handshake, end, frames = received.partition(END_OF_HANDSHAKE)
                size_bytes = len(handshake) + len(end) - (len(received) - len(data))
                self._protocol.receive_data(data[:size_bytes])
                self._unread += frames
            else:
                self._protocol.receive_eof()
            events = self._protocol.events_received()
            if events and isinstance(events[0], Request):
                self._protocol.send_response(self._protocol.accept(events[0]))
            self._flush()
            error = self._protocol.handshake_exc or self._protocol.parser_exc
            if error is not None:
                raise WebSocketClosed(f"handshake failed: {error}")
        self.socket.settimeout(None)

    def close_socket(self) -> None:
        """Close the connection without a closing handshake."""
        self.socket.close()

    def _receive(self) -> None:
        """Receive data, add the complete messages, and answer what the protocol answers itself."""
        if self._unread and not self._needed_bytes:
            data = b""  # frames that arrived with the handshake
        else:
            if self.socket.timeout is None:
                # Mostly nothing has arrived yet; recv() would first try in vain, with a system call
                # and an exception.
                self.socket._wait(self.socket._read_event)
            data = self.socket.recv(READ_BLOCK_BYTES)
            if not data:
                self._pass_to_protocol(bytes(self._unread))
                self._protocol.receive_eof()
                self._flush()
                return
        if not self._unread:
            self._unread = self._take_data(data)
            return
        self._unread += data
        if len(self._unread) >= self._needed_bytes:
            self._unread = self._take_data(bytes(self._unread))

    def _take_data(self, data: bytes) -> bytearray:
        """Add the messages of the complete frames; return the bytes of the last, incomplete one."""
        position, end = 0, len(data)
        while position < end and self._protocol.state is OPEN:
            start, size_bytes, mask = read_header(data, position)
            if size_bytes > FRAME_MAX_BYTES:
                self._pass_to_protocol(data[position:])
                break
            self._needed_bytes = start + size_bytes - position
            if start + size_bytes > end:
                return bytearray(data[position:])
            if (
                data[position] == WHOLE_BINARY_MESSAGE
                and (mask is None) == self._is_client
                and not self._fragments
            ):
                payload = data[start : start + size_bytes]
                self._messages.append(payload if mask is None else apply_mask(payload, mask))
            else:
                self._pass_to_protocol(data[position : start + size_bytes])
            position = start + size_bytes
        return bytearray()

    def _pass_to_protocol(self, data: bytes) -> None:
        self._protocol.receive_data(data)
        self._flush()
        self._take_frames(self._protocol.events_received())

    def _encode(self, messages: tuple[bytes, ...]) -> bytes:
        """Return the frames of binary messages.

        Raises:
            WebSocketClosed: the connection is closing.
        """
        if self._protocol.state is not OPEN:
            raise WebSocketClosed("the connection is closing")
        parts: list[bytes] = []
        for message in messages:
            parts.append(encode_header(len(message), self._is_client))
            if self._is_client:
                mask = self._masks.getrandbits(32).to_bytes(4, "big")
                parts.append(mask)
                message = apply_mask(message, mask)
            parts.append(message)
        return b"".join(parts)

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
