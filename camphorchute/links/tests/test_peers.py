import gc
import os
import resource
import socket
import time

import cbor2
import gevent
import pytest
from gevent.selectors import GeventSelector

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.member import Member
from camphorchute.contracts.messages import (
    AskRecord,
    AskStatus,
    CancelTasks,
    Done,
    Hello,
    RecordIs,
    Welcome,
)
from camphorchute.contracts.run_messages import MemberBeat
from camphorchute.links import (
    Frame,
    FrameKind,
    Handlers,
    LinkLost,
    Peers,
    PeerUnreachable,
    decode_frame,
    encode_frame,
    handles,
)
from camphorchute.links import link as link_module
from camphorchute.links import peers as peers_module
from camphorchute.links.web_socket import connect_web_socket
from camphorchute.zones.tests.fakes import Counts


def free_address(host):
    with socket.create_server((host, 0)) as server:
        return f"{host}:{server.getsockname()[1]}"


def wait_until(condition):
    with gevent.Timeout(5):
        while not condition():
            gevent.sleep(0.005)


class Process:
    """A process with real links on loopback addresses, which records what it receives."""

    def __init__(self, name, address=None, zones=("north", "south")):
        host = f"127.77.0.{ord(name) % 100}"
        address = address or free_address(host)
        self.member = Member(name, "north", f"vm-{name}", "", address, "")
        self.counts = Counts()
        self.handlers = Handlers(self.counts)
        self.handlers.register(self)
        self.peers = Peers(self.member, list(zones), self.handlers, address)
        self.dead_members, self.unlinked_members, self.received = [], [], []
        self.peers.on_member_dead = self.dead_members.append
        self.peers.on_link_closed = self.unlinked_members.append
        self.reply_delay_s = 0.0
        self.peers.start()

    @handles(AskRecord)
    def answer_after_delay(self, peer, message):
        gevent.sleep(self.reply_delay_s)
        return RecordIs(message.zone.encode())

    @handles(AskStatus, nonblocking=True)
    def refuse_with_record(self, peer, message):
        refusal = Refusal(ResultCode.STALE_TERM, "old", 70)
        refusal.record = b"record"
        raise refusal

    @handles(CancelTasks, nonblocking=True)
    def record_message(self, peer, message):
        self.received.append((peer.member_id, message.key))
        if message.key == "fault":
            raise KeyError(message.key)
        return Done()

    def request(self, other, message=None, timeout_ms=2000.0):
        return self.peers.request(other.member, message or AskRecord("x"), timeout_ms)

    def link(self, other):
        return next(
            link for link in self.peers.links() if link.peer.member_id == other.member.member_id
        )


@pytest.fixture
def start():
    started = []

    def start(*args, **kwargs):
        started.append(Process(*args, **kwargs))
        return started[-1]

    yield start
    for process in started:
        process.peers.close()
    gevent.sleep(0.01)


@pytest.fixture
def pair(start):
    return start("a"), start("b")


def test_both_sides_send_requests_over_one_link(pair):
    a, b = pair
    assert a.request(b).record == b"x"
    assert b.request(a).record == b"x"
    assert a.request(a).record == b"x"
    assert len(a.peers.links()) == len(b.peers.links()) == 1


def test_concurrent_requests_receive_their_own_replies(pair):
    a, b = pair
    b.reply_delay_s = 0.02
    pending = [gevent.spawn(a.request, b, AskRecord(f"zone{i}")) for i in range(20)]
    assert [g.get(timeout=5).record for g in pending] == [b"zone%d" % i for i in range(20)]


def test_a_refusal_is_raised_with_all_its_fields(pair):
    a, b = pair
    for requester in (a, b):
        with pytest.raises(Refusal) as raised:
            requester.request(b, AskStatus())
        refusal = raised.value
        assert (refusal.code, refusal.detail) == (ResultCode.STALE_TERM, "old")
        assert (refusal.retry_after_ms, refusal.record) == (70, b"record")


def test_one_way_messages_arrive_in_order_and_a_handler_error_is_counted(pair):
    a, b = pair
    keys = ["1", "fault", "2"]
    assert all(a.peers.send(b.member, CancelTasks(key)) for key in keys)
    wait_until(lambda: len(b.received) == 3)
    assert [key for _, key in b.received] == keys and b.counts["links.handler_fault"] == 1
    assert a.request(b).record == b"x"


def test_a_reply_after_the_timeout_is_dropped_and_counted(pair):
    a, b = pair
    b.reply_delay_s = 0.1
    with pytest.raises(LinkLost):
        a.request(b, timeout_ms=20.0)
    wait_until(lambda: a.counts["links.late_reply"] == 1)
    b.reply_delay_s = 0.0
    assert a.request(b, AskRecord("y")).record == b"y"


@pytest.mark.parametrize("closing_side", [0, 1])
def test_closing_a_link_fails_pending_requests_and_is_reported_on_both_sides(pair, closing_side):
    a, b = pair
    a.request(b)
    b.reply_delay_s = 5.0
    pending_request = gevent.spawn(a.request, b)
    gevent.sleep(0.02)
    pair[closing_side].link(pair[1 - closing_side]).close()
    with pytest.raises(LinkLost):
        pending_request.get(timeout=2)
    wait_until(lambda: a.unlinked_members and b.unlinked_members)
    assert a.unlinked_members == [b.member] and b.unlinked_members == [a.member]
    assert not a.peers.is_linked("b") and not b.peers.is_linked("a")
    b.reply_delay_s = 0.0
    assert a.request(b).record == b"x"


def test_closing_a_replaced_link_is_reported(pair):
    a, b = pair
    a.request(b)
    first = a.link(b)
    a.peers._links.clear()
    a.request(b)
    assert a.link(b) is not first
    first.close()
    wait_until(lambda: a.unlinked_members and b.unlinked_members)
    assert a.peers.is_linked("b") and a.request(b).record == b"x"


def test_another_incarnation_at_the_address_proves_the_previous_one_dead(start):
    a, b = start("a"), start("b")
    a.request(b)
    b.peers.close()
    wait_until(lambda: not a.peers.is_linked("b"))
    start("c", address=b.member.link_address)
    with pytest.raises(PeerUnreachable):
        a.request(b)
    assert a.dead_members == [b.member]


def test_a_refused_connection_proves_death_and_an_unresponsive_address_does_not(start):
    a = start("a")
    dead = Member("b", "north", "vm-b", "", free_address("127.77.0.98"), "")
    with pytest.raises(PeerUnreachable):
        a.peers.request(dead, AskRecord("x"), 100.0)
    assert a.dead_members == [dead]
    with socket.create_server(("127.77.0.99", 0)) as listening:
        port = listening.getsockname()[1]
        unresponsive = Member("c", "north", "vm-c", "", f"127.77.0.99:{port}", "")
        with pytest.raises(PeerUnreachable):
            a.peers.request(unresponsive, AskRecord("x"), 100.0)
    assert a.dead_members == [dead]


def test_processes_with_different_zones_are_refused(start):
    a, b = start("a"), start("b", zones=["north"])
    with pytest.raises(PeerUnreachable):
        a.request(b)
    assert b.counts["links.zones_differ"] == 1 and not a.dead_members
    assert not a.peers.links() and not b.peers.links()


# Guards against a process that accepted no links any more after it had once run out of descriptors.
def test_process_accepts_links_again_once_it_has_a_free_descriptor(pair):
    a, b = pair
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    with socket.socket() as waiting:
        waiting.bind(("127.77.0.3", 0))
        lowest_free = os.dup(waiting.fileno())
        os.close(lowest_free)
        resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, limits[1]))
        try:
            host, _, port = b.member.link_address.rpartition(":")
            waiting.connect((host, int(port)))
            gevent.sleep(0.05)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
    assert a.request(b).record == b"x"
    assert b.counts["links.accept_failed"]


@pytest.mark.parametrize("data", [b"", b"\xff\x00", b"\x80", "text", b"\x81" * 5000])
@pytest.mark.parametrize("after_handshake", [True, False])
def test_a_malformed_frame_closes_only_its_link(pair, data, after_handshake):
    a, b = pair
    connection = connect_web_socket(b.member.link_address, "127.77.0.3", 2000.0)
    if after_handshake:
        hello = Hello(Member("z", "north", "vm-z", "", "127.77.0.3:1", ""), b.peers.zones)
        connection.send(encode_frame(Frame(FrameKind.ONE_WAY, 0, hello)))
        assert isinstance(decode_frame(connection.recv_one(2000.0)).message, Welcome)
    if isinstance(data, str):
        connection._protocol.send_text(data.encode())
        connection._flush()
    else:
        connection.send(data)
    with pytest.raises(OSError, match="close|reset|received|sent|end"):
        connection.recv_one(2000.0)
    assert b.counts["links.malformed_message" if after_handshake else "links.no_greeting"] == 1
    assert not b.peers.is_linked("z") and a.request(b).record == b"x"


def test_both_sides_set_tcp_nodelay(pair):
    a, b = pair
    a.request(b)
    for link in (a.link(b), b.link(a)):
        socket_ = link._socket.socket
        assert socket_.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


def test_an_oversized_message_fails_without_closing_the_link(pair):
    a, b = pair
    a.request(b)
    link = a.link(b)
    with pytest.raises((LinkLost, Refusal)):
        a.request(b, AskRecord("x" * (17 * 1024 * 1024)))
    assert link.is_open and a.request(b).record == b"x"


def test_a_message_to_the_own_process_is_not_handled_in_the_senders_greenlet(pair):
    a, _ = pair
    assert a.peers.send_if_linked(a.member.member_id, CancelTasks("own"))
    assert not a.received
    wait_until(lambda: a.received)
    assert a.received == [(a.member.member_id, "own")]


def test_send_or_open_drops_messages_until_the_link_is_open(pair):
    """Tasks sent after a connect of 900 ms were dispatched although their job had ended."""
    first, second = pair
    started_s = time.monotonic()
    assert not first.peers.send_or_open(second.member, CancelTasks("early"))
    assert not first.peers.send_or_open(second.member, CancelTasks("early"))
    assert time.monotonic() - started_s < 0.05
    wait_until(lambda: first.peers.is_linked("b"))
    assert first.peers.send_or_open(second.member, CancelTasks("late"))
    wait_until(lambda: second.received)
    assert second.received == [("a", "late")]


def test_send_to_all_encodes_the_message_once(start, monkeypatch):
    first, second, third = start("a"), start("b"), start("c")
    first.peers.send(second.member, CancelTasks("linked"))
    encoded = []
    monkeypatch.setattr(
        peers_module, "encode_frame", lambda frame: encoded.append(frame) or encode_frame(frame)
    )
    members = [first.member, second.member, third.member]
    first.peers.send_to_all(members, CancelTasks("all"))
    assert len(encoded) == 1
    for process in (first, second, third):
        wait_until(lambda process=process: ("a", "all") in process.received)


def closed_descriptors_still_watched():
    """Return the closed file descriptors that a gevent selector still watches."""
    selectors = [obj for obj in gc.get_objects() if isinstance(obj, GeventSelector)]
    watched = {fd for selector in selectors for fd in selector._active_watchers or ()}
    return {fd for fd in watched if not os.path.exists(f"/proc/self/fd/{fd}")}


@pytest.mark.parametrize("closed_part", ["link", "server"])
def test_closed_sockets_are_not_watched_by_a_selector(start, closed_part):
    """A watched descriptor that was closed made the event loop abort the process on its reuse."""
    gc.collect()
    gc.disable()
    try:
        first, second = start("a"), start("b")
        first.request(second)
        if closed_part == "link":
            for link in first.peers.links():
                link.close()
        else:
            first.peers.close()
        gevent.sleep(0.1)
        assert closed_descriptors_still_watched() == set()
    finally:
        gc.enable()


def test_messages_of_one_pass_of_the_loop_are_written_together_and_in_order(pair):
    """Each message woke the writer and took a system call of its own."""
    first, second = pair
    first.request(second)
    connection = first.link(second)._socket
    writes = []
    send = connection.socket.send
    connection.socket = SocketWithSend(connection.socket, lambda *a: writes.append(1) or send(*a))
    keys = [str(number) for number in range(20)]
    assert all(first.peers.send(second.member, CancelTasks(key)) for key in keys)
    wait_until(lambda: len(second.received) == 20)
    assert [key for _, key in second.received] == keys
    assert len(writes) == 1


def test_messages_queued_behind_a_full_socket_arrive_in_order(pair):
    first, second = pair
    first.request(second)
    keys = [str(number) + "x" * 3_000_000 for number in range(4)] + ["small"]
    for key in keys:
        assert first.peers.send(second.member, CancelTasks(key))
        gevent.sleep(0)
    wait_until(lambda: len(second.received) == 5)
    assert [key for _, key in second.received] == keys


def test_message_that_lacks_a_field_does_not_close_the_link(pair):
    """The loss of a link stops all tasks of the peer."""
    first, second = pair
    first.request(second)
    link = first.link(second)
    for kind, number in ((FrameKind.ONE_WAY, 0), (FrameKind.REQUEST, 99), (FrameKind.REPLY, 99)):
        assert link.send_encoded(cbor2.dumps([int(kind), number, {"type": "ask_record"}]))
    assert first.request(second).record == b"x"
    assert link.is_open and second.counts["links.incomplete_message"] == 3


def test_heartbeat_is_encoded_once_and_the_same_one_decoded_once(start, monkeypatch):
    first, second, third = start("a"), start("b"), start("c")
    for other in (second, third):
        first.request(other)
    beats, encoded, decoded = [], [], []
    second.handlers._handlers[MemberBeat] = (lambda peer, beat: beats.append(beat), True)
    monkeypatch.setattr(
        peers_module, "encode_frame", lambda frame: encoded.append(frame) or encode_frame(frame)
    )
    monkeypatch.setattr(
        link_module, "decode_frame", lambda data: decoded.append(data) or decode_frame(data)
    )
    used_s = second.link(first).last_activity_s
    for version in (1, 1, 2):
        first.peers.send_heartbeat(first.peers.links(), MemberBeat(version))
    wait_until(lambda: len(beats) == 3)
    gevent.sleep(0.01)
    assert [beat.queues_version for beat in beats] == [1, 1, 2]
    assert (len(encoded), len(decoded)) == (3, 4)
    assert second.link(first).last_activity_s == used_s


class SocketWithSend:
    """Passes everything on to a socket but the writes that do not wait."""

    def __init__(self, sock, send):
        self._sock = sock
        self.send = send

    def __getattr__(self, name):
        return getattr(self._sock, name)


# Guards against messages that are handled after the loss of their link: after a pause the timer
# that closes a silent link is due before its socket is read, and a task started that nobody stops.
def test_message_that_waits_in_the_socket_of_a_closed_link_is_not_handled(pair):
    a, b = pair
    a.request(b)
    link = b.link(a)
    gevent.spawn_later(0.01, link.close)
    gevent.sleep(0)
    frame = encode_frame(Frame(FrameKind.ONE_WAY, 0, CancelTasks("late")))
    a.link(b)._socket.send(a.link(b).echoed_times.add_to(frame))
    until_s = time.monotonic() + 0.05
    while time.monotonic() < until_s:
        pass
    gevent.sleep(0.05)
    assert b.unlinked_members == [a.member]
    assert b.received == []
