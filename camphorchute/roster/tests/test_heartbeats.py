import time

import gevent
import pytest

from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import MemberBeat
from camphorchute.roster import heartbeats as module
from camphorchute.roster.heartbeats import Beats


def member(number):
    return Member(f"m{number:02}", "north", "", "", "", "")


class FakeLink:
    def __init__(self, peer, unused_s=0.0, silent_s=0.0):
        now_s = time.monotonic()
        self.peer = peer
        self.last_used_s = now_s - unused_s
        self.last_heard_s = now_s + 60.0 - silent_s
        self.last_sent_s = 0.0
        self.is_open = True
        self.sent = []

    def close(self):
        self.is_open = False

    def send(self, message):
        self.sent.append(message)


class FakePeers:
    def __init__(self, own, links):
        self.member = own
        self.opened = links
        self.sent_to = []

    def links(self):
        return [link for link in self.opened if link.is_open]

    def is_linked(self, member_id):
        return any(link.peer.member_id == member_id for link in self.links())

    def send(self, to, message):
        self.sent_to.append(to.member_id)


class FakeView:
    def __init__(self, members):
        self.members = {member.member_id: member for member in members}
        self.queues = None


def start_beats(own, fleet, links):
    peers = FakePeers(member(own), links)
    beats = Beats(peers, FakeView(member(n) for n in range(fleet)), lambda name, n=1: None)
    beats.start()
    return beats, peers


@pytest.mark.parametrize(
    ("fleet", "own", "opened"),
    [
        (1, 0, set()),
        (3, 0, {"m01", "m02"}),
        (3, 2, set()),
        (42, 10, {"m11", "m12"}),
        (42, 41, set()),
        (42, 0, {"m01", "m02", "m40", "m41"}),
    ],
)
def test_links_are_opened_to_neighbours_only(fleet, own, opened):
    beats, peers = start_beats(own, fleet, [])
    gevent.sleep(0.05)
    beats.close()
    assert set(peers.sent_to) == opened


@pytest.mark.parametrize(
    ("peer", "unused_s", "silent_s", "stays"),
    [
        (11, 60.0, 0.0, True),
        (20, 1.0, 0.0, True),
        (20, 60.0, 0.0, False),
        (11, 0.0, 120.0, False),
    ],
)
def test_unused_and_silent_links_are_closed(peer, unused_s, silent_s, stays):
    link = FakeLink(member(peer), unused_s, silent_s)
    beats, _ = start_beats(10, 42, [link])
    gevent.sleep(0.05)
    beats.close()
    assert link.is_open is stays
    assert bool(link.sent) is stays


def test_beats_are_left_out_where_other_messages_were_sent(monkeypatch):
    monkeypatch.setattr(module, "BEAT_CHECK_MS", 10.0)
    link = FakeLink(member(11))
    beats, _ = start_beats(10, 42, [link])
    for _ in range(20):
        link.last_sent_s = time.monotonic()
        gevent.sleep(0.01)
    beats.close()
    assert link.sent == [MemberBeat(0)]
