import time

import gevent
import pytest

from camphorchute.cluster import heartbeats as module
from camphorchute.cluster.heartbeats import Heartbeats
from camphorchute.cluster.zone_evacuations import ZoneEvacuations
from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import MemberBeat, ZoneEvacuation


def make_member(number):
    return Member(f"m{number:02}", "north", "", "", "", "")


class FakeLink:
    def __init__(self, peer, unused_s=0.0, unresponsive_s=0.0):
        now_s = time.monotonic()
        self.peer = peer
        self.last_activity_s = now_s - unused_s
        self.last_received_s = self.last_observed_s = now_s + 60.0 - unresponsive_s
        self.last_sent_s = 0.0
        self.is_open = True
        self.sent = []

    def close(self):
        self.is_open = False

    def send(self, message):
        self.sent.append(message)


class FakePeers:
    def __init__(self, own_member, links):
        self.member = own_member
        self._links = links
        self.connected_to = []

    def links(self):
        return [link for link in self._links if link.is_open]

    def is_linked(self, member_id):
        return any(link.peer.member_id == member_id for link in self.links())

    def send(self, peer, message):
        self.connected_to.append(peer.member_id)

    def send_heartbeat(self, links, message):
        for link in links:
            link.send(message)


class FakeView:
    def __init__(self, members):
        self.members = {member.member_id: member for member in members}
        self.queues = None
        self.zone_evacuations = ZoneEvacuations(lambda key: key, lambda name: None)

    def member_ring(self):
        return sorted(self.members.values(), key=lambda member: member.member_id)


class FakeFetch:
    def __init__(self):
        self.offers = []

    def offer(self, peer, version):
        self.offers.append((peer.member_id, version))


def start_heartbeats(own_number, member_count, links):
    peers = FakePeers(make_member(own_number), links)
    heartbeats = Heartbeats(
        peers,
        FakeView(make_member(number) for number in range(member_count)),
        FakeFetch(),
        lambda name, n=1: None,
    )
    heartbeats.start()
    return heartbeats, peers


@pytest.mark.parametrize(
    ("member_count", "own_number", "opened_to"),
    [
        (1, 0, set()),
        (3, 0, {"m01", "m02"}),
        (3, 2, set()),
        (42, 10, {"m11", "m12"}),
        (42, 41, set()),
        (42, 0, {"m01", "m02", "m40", "m41"}),
    ],
)
def test_links_are_opened_to_neighbours_only(member_count, own_number, opened_to):
    heartbeats, peers = start_heartbeats(own_number, member_count, [])
    gevent.sleep(0.05)
    heartbeats.close()
    assert set(peers.connected_to) == opened_to


@pytest.mark.parametrize(
    ("peer_number", "unused_s", "unresponsive_s", "stays_open"),
    [
        (11, 60.0, 0.0, True),
        (20, 1.0, 0.0, True),
        (20, 60.0, 0.0, False),
        (11, 0.0, 120.0, False),
    ],
)
def test_unused_and_unresponsive_links_are_closed(
    peer_number, unused_s, unresponsive_s, stays_open
):
    link = FakeLink(make_member(peer_number), unused_s, unresponsive_s)
    heartbeats, _ = start_heartbeats(10, 42, [link])
    gevent.sleep(0.05)
    heartbeats.close()
    assert link.is_open is stays_open
    assert bool(link.sent) is stays_open


def test_no_heartbeat_is_sent_on_a_link_with_recent_messages(monkeypatch):
    monkeypatch.setattr(module, "LINK_CHECK_INTERVAL_MS", 10.0)
    link = FakeLink(make_member(11))
    heartbeats, _ = start_heartbeats(10, 42, [link])
    for _ in range(20):
        link.last_sent_s = time.monotonic()
        gevent.sleep(0.01)
    heartbeats.close()
    assert link.sent == [MemberBeat(0)]


@pytest.mark.parametrize(
    ("observed_silence_ms", "silence_ms", "stays_open"),
    [
        (100.0, 100.0, True),
        (100.0, 1000.0, True),
        (800.0, 800.0, False),
        (100.0, 1200.0, False),
    ],
    ids=["heard", "this process was late", "silent", "late until the job may be submitted again"],
)
def test_link_is_closed_for_a_silence_that_this_process_observed(
    monkeypatch, observed_silence_ms, silence_ms, stays_open
):
    """A process that was late for a second closed its links to healthy members."""
    link = FakeLink(make_member(11))
    now_s = time.monotonic()
    link.last_received_s = now_s - silence_ms / 1000
    link.last_observed_s = now_s - observed_silence_ms / 1000
    heartbeats, _ = start_heartbeats(10, 42, [link])
    gevent.sleep(0.03)
    heartbeats.close()
    assert link.is_open is stays_open


def test_versions_of_the_configuration_are_passed_on():
    heartbeats, _ = start_heartbeats(10, 42, [])
    heartbeats.handle_heartbeat(make_member(3), MemberBeat(17))
    heartbeats.close()
    assert heartbeats._configuration_fetch.offers == [("m03", 17)]


def test_heartbeats_repeat_evacuations_on_busy_links_and_pass_them_on(monkeypatch):
    """A peer that the store rejects would miss a change if the one message with it was lost."""
    monkeypatch.setattr(module, "LINK_CHECK_INTERVAL_MS", 10.0)
    monkeypatch.setattr(module, "EVACUATIONS_INTERVAL_MS", 100.0)
    link = FakeLink(make_member(11))
    heartbeats, _ = start_heartbeats(10, 42, [link])
    state = ZoneEvacuation("south", 7, True)
    heartbeats.handle_heartbeat(make_member(3), MemberBeat(0, [state], 9))
    for _ in range(30):
        link.last_sent_s = time.monotonic()
        gevent.sleep(0.01)
    heartbeats.close()
    assert link.sent.count(MemberBeat(0, [state], 9)) >= 2


def test_first_message_on_a_new_link_is_a_heartbeat(monkeypatch):
    """What was sent on a link that was lost counted as sent on the next one."""
    monkeypatch.setattr(module, "LINK_CHECK_INTERVAL_MS", 10.0)
    links = [FakeLink(make_member(11))]
    heartbeats, _ = start_heartbeats(10, 42, links)
    gevent.sleep(0.03)
    links[0].close()
    links.append(FakeLink(make_member(11)))
    links[1].last_sent_s = time.monotonic()
    gevent.sleep(0.05)
    heartbeats.close()
    assert links[1].sent == [MemberBeat(0)]


@pytest.mark.parametrize("for_ms", [3000.0, 0.0, -1.0, float("nan")])
def test_request_for_reports_is_passed_on(for_ms):
    """The reports are wanted in a heartbeat, as earlier versions close a link for a new message."""
    heartbeats, _ = start_heartbeats(10, 42, [])
    wanted = []
    heartbeats.on_reports_requested = lambda member, ms: wanted.append((member.member_id, ms))
    heartbeats.handle_heartbeat(make_member(20), MemberBeat(0, reports_ms=for_ms))
    heartbeats.close()
    assert wanted == ([("m20", for_ms)] if for_ms > 0 else [])
