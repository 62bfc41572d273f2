import socket

from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import MemberBeat
from camphorchute.links import Frame, FrameKind, Handlers, encode_frame, handles
from camphorchute.links.link import Link

PEER = Member("peer", "north", "vm2", "", "127.0.0.1:3", "")


class LateSocket:
    """A connection whose reader is woken with messages after its link was closed."""

    def __init__(self, batches):
        self.batches, self.before_recv = batches, lambda: None
        self.socket, self.other_end = socket.socketpair()

    def recv(self):
        if not self.batches:
            raise OSError("closed")
        self.before_recv()
        return self.batches.pop(0)

    def close_socket(self):
        self.socket.close()


class Receiver:
    def __init__(self):
        self.versions, self.after = [], lambda: None

    @handles(MemberBeat, nonblocking=True)
    def receive(self, peer, message):
        self.versions.append(message.queues_version)
        self.after()


def make_link(batches):
    handlers, receiver = Handlers(lambda *args: None), Receiver()
    handlers.register(receiver)
    socket_ = LateSocket(batches)
    return Link(socket_, PEER, handlers, lambda link: None), socket_, receiver


def beat(version):
    return encode_frame(Frame(FrameKind.ONE_WAY, 0, MemberBeat(version)))


# Guards against messages of a replaced link, which are acted on with the news of the new link.
def test_messages_read_after_a_link_was_closed_are_dropped():
    link, socket_, receiver = make_link([[beat(1)]])
    socket_.before_recv = link.close
    link.read_frames()
    assert receiver.versions == []


def test_rest_of_a_batch_is_dropped_once_a_link_was_closed():
    link, socket_, receiver = make_link([[beat(1), beat(2)]])
    receiver.after = link.close
    link.read_frames()
    assert receiver.versions == [1]
