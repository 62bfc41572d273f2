import gevent
import pytest
from gevent import socket
from websockets.client import ClientProtocol
from websockets.uri import parse_uri

from camphorchute.links.web_socket import (
    WebSocketClosed,
    accept_web_socket,
    connect_web_socket,
)


class CountedSocket:
    """Passes everything on to a socket and counts the writes."""

    def __init__(self, sock):
        self._sock = sock
        self.writes = 0

    def sendall(self, data):
        self.writes += 1
        self._sock.sendall(data)

    def __getattr__(self, name):
        return getattr(self._sock, name)


@pytest.fixture
def listener():
    with socket.create_server(("127.0.0.1", 0)) as opened:
        yield opened


def accept(listener):
    return gevent.spawn(lambda: accept_web_socket(listener.accept()[0], 1000.0))


@pytest.fixture
def pair(listener):
    accepted = accept(listener)
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    client = connect_web_socket(address, "127.0.0.1", 1000.0)
    server = accepted.get(timeout=2)
    yield client, server
    client.close_socket()
    server.close_socket()


def receive(connection, count):
    received = []
    with gevent.Timeout(2):
        while len(received) < count:
            received += connection.recv()
    return received


@pytest.mark.parametrize("messages", [[b""], [b"a", b"", b"c"], [b"x" * 200_000, b"y"]])
@pytest.mark.parametrize("is_from_client", [True, False])
def test_messages_sent_together_arrive_in_order_with_one_write(pair, messages, is_from_client):
    sender, receiver = pair if is_from_client else pair[::-1]
    sender.socket = CountedSocket(sender.socket)
    sending = gevent.spawn(sender.send, *messages)
    assert receive(receiver, len(messages)) == messages
    sending.join()
    assert sender.socket.writes == 1


def test_messages_after_the_first_one_are_kept(pair):
    client, server = pair
    client.send(b"hello", b"second", b"third")
    assert server.recv_one(1000.0) == b"hello"
    assert receive(server, 2) == [b"second", b"third"]


def test_fragments_are_joined(pair):
    client, server = pair
    client._protocol.send_binary(b"one ", fin=False)
    client._protocol.send_continuation(b"two", fin=True)
    client._flush()
    assert receive(server, 1) == [b"one two"]


def test_ping_is_answered(pair):
    client, server = pair
    client._protocol.send_ping(b"")
    client.send(b"after")
    assert receive(server, 1) == [b"after"]


@pytest.mark.parametrize(
    "data", [b"", b"\xff" * 50, b"\x83\x00", b"\x82\xff" + b"\xff" * 8], ids=lambda d: d[:4].hex()
)
def test_end_or_malformed_data_ends_the_connection(pair, data):
    client, server = pair
    client.socket.sendall(data)
    client.socket.shutdown(socket.SHUT_WR)
    with pytest.raises(WebSocketClosed), gevent.Timeout(2):
        server.recv()
    with pytest.raises(OSError):
        server.send(b"late")


@pytest.mark.parametrize("data", [b"", b"GET / HTTP/1.1\r\n\r\n", b"\x00" * 100, b"hello\r\n\r\n"])
def test_connection_without_a_handshake_is_refused(listener, data):
    accepted = accept(listener)
    with socket.create_connection(listener.getsockname()) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        with pytest.raises(OSError):
            accepted.get(timeout=2)


def test_silent_peer_is_given_up(listener):
    accepted = gevent.spawn(lambda: accept_web_socket(listener.accept()[0], 50.0))
    with socket.create_connection(listener.getsockname()), pytest.raises(TimeoutError):
        accepted.get(timeout=2)


def test_message_that_arrives_with_the_handshake_is_read(listener):
    accepted = accept(listener)
    address = listener.getsockname()
    protocol = ClientProtocol(parse_uri(f"ws://{address[0]}:{address[1]}/"))
    protocol.send_request(protocol.connect())
    request = b"".join(protocol.data_to_send())
    with socket.create_connection(address) as sock:
        sock.sendall(request)
        protocol.receive_data(sock.recv(65536))
        protocol.send_binary(b"early")
        sock.sendall(b"".join(protocol.data_to_send()))
        assert receive(accepted.get(timeout=2), 1) == [b"early"]


def test_frames_in_pieces_are_put_together(pair):
    client, server = pair
    for byte in client._encode((b"one", b"x" * 300, b"three")):
        client.socket.sendall(bytes([byte]))
        gevent.sleep(0)
    assert receive(server, 3) == [b"one", b"x" * 300, b"three"]


def test_message_in_one_frame_does_not_pass_through_the_protocol(pair):
    """The generic protocol cost as much for each frame as the decoding of its message."""
    client, server = pair
    server._protocol.receive_data = None
    client.send(b"one", b"two")
    assert receive(server, 2) == [b"one", b"two"]


def test_bytes_that_the_socket_does_not_take_are_returned_without_a_wait(pair):
    client, server = pair
    message = b"x" * 8_000_000
    rest = client.send_now(message)
    assert rest
    sending = gevent.spawn(client.send_rest, rest)
    assert receive(server, 1) == [message]
    sending.join()
