import json
import random
import zlib

import gevent
import pytest

import camphorchute.platform  # noqa: F401 - fills the registry of platforms
from camphorchute.cluster import ClusterView, ConfigurationFetch
from camphorchute.cluster import configuration_fetch as module
from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import QueuesPart
from camphorchute.hosting import make_platform
from camphorchute.links import LinkLost
from camphorchute.runs.tests.scheduler_site import wait_until


def encode_configuration(version, routes):
    draw = random.Random(version)
    return json.dumps(
        {
            "version": version,
            "routes": [
                {
                    "name": f"r-{draw.getrandbits(40):x}",
                    "host": f"{draw.getrandbits(32):x}.example",
                    "prefix": f"/{draw.getrandbits(40):x}/",
                    "service": "flags",
                }
                for _ in range(routes)
            ],
        }
    ).encode()


class Process:
    """The configuration of one member, and the transfer of it over fake links."""

    def __init__(self, number, zone="north", routes=0, version=0):
        self.member = Member(f"m{number}", zone, "", "", "", "")
        self.counts = {}
        self.view = ClusterView(make_platform("fleet", "127.0.0.1:1", self.count), self.count)
        if version:
            self.view.apply_newer_queues(encode_configuration(version, routes))
        self.links = {}
        self.requests = []
        self.pause_ms = 0.0
        self.is_store_lost = True
        self.lost_after_parts = {}
        self.fetch = ConfigurationFetch(self, self.view, lambda: self.is_store_lost, self.count)

    def count(self, name, n=1):
        self.counts[name] = self.counts.get(name, 0) + n

    def is_linked(self, member_id):
        return member_id in self.links

    def version(self):
        return self.view.queues.version if self.view.queues else 0

    def request(self, member, message, timeout_ms):
        self.requests.append((member.member_id, message.version, message.offset))
        gevent.sleep(self.pause_ms / 1000)
        if len(self.requests) > self.lost_after_parts.get(member.member_id, 10_000):
            raise LinkLost(member.member_id)
        return self.links[member.member_id](message)


def link(receiver, sender):
    receiver.links[sender.member.member_id] = lambda message: sender.fetch.send_part(
        receiver.member, message
    )


@pytest.fixture
def start():
    started = []

    def start_process(*args, **fields):
        started.append(Process(*args, **fields))
        started[-1].fetch.start()
        return started[-1]

    yield start_process
    for process in started:
        process.fetch.close()


@pytest.mark.parametrize("routes", [0, 1, 1400, 5000])
def test_configuration_is_transferred_once_in_parts(start, routes):
    """Up to four whole tables a second and link were under way, and none came in time."""
    receiver, senders = start(0), [start(n, routes=routes, version=7) for n in range(1, 5)]
    receiver.pause_ms = 5.0
    for sender in senders:
        link(receiver, sender)
    for _ in range(3):
        for sender in senders:
            receiver.fetch.offer(sender.member, 7)
        gevent.sleep(0.01)
    assert wait_until(lambda: receiver.version() == 7)
    gevent.sleep(0.05)
    size_bytes = len(zlib.compress(senders[0].view.queues.encoded, 1))
    assert len(receiver.requests) == -(-size_bytes // module.PART_BYTES)
    assert len({member_id for member_id, _, _ in receiver.requests}) == 1
    assert receiver.view.queues.encoded == senders[0].view.queues.encoded


def test_interrupted_transfer_is_continued_from_another_member(start):
    receiver = start(0)
    first, second = (start(n, routes=3000, version=7) for n in (1, 2))
    link(receiver, first)
    receiver.lost_after_parts = {"m1": 4}
    receiver.fetch.offer(first.member, 7)
    assert wait_until(lambda: receiver.counts.get("roster.retry.fetch_queues"))
    link(receiver, second)
    receiver.fetch.offer(second.member, 7)
    assert wait_until(lambda: receiver.version() == 7)
    assert [offset for _, _, offset in receiver.requests].count(0) == 1


def test_newer_version_at_the_sender_replaces_the_one_under_way(start):
    receiver, sender = start(0), start(1, routes=3000, version=7)
    link(receiver, sender)
    receiver.pause_ms = 10.0
    receiver.fetch.offer(sender.member, 7)
    assert wait_until(lambda: len(receiver.requests) == 2)
    sender.view.apply_newer_queues(encode_configuration(8, 10))
    assert wait_until(lambda: receiver.version() == 8)


def test_store_has_precedence_while_it_answers(start, monkeypatch):
    monkeypatch.setattr(module, "STORE_PRECEDENCE_MS", 300.0)
    receiver, sender = start(0), start(1, routes=10, version=7)
    link(receiver, sender)
    receiver.is_store_lost = False
    receiver.fetch.offer(sender.member, 7)
    gevent.sleep(0.1)
    receiver.view.apply_newer_queues(encode_configuration(7, 10))
    gevent.sleep(0.5)
    assert receiver.requests == []


def test_configuration_that_the_store_does_not_send_is_fetched(start):
    receiver, sender = start(0), start(1, routes=10, version=7)
    link(receiver, sender)
    receiver.is_store_lost = False
    receiver.fetch.offer(sender.member, 7)
    assert wait_until(lambda: receiver.version() == 7, 1.0)


def test_member_of_the_own_zone_is_asked_first(start):
    receiver = start(0)
    senders = [start(n, zone=zone, routes=1, version=7) for n, zone in enumerate("abc", 1)]
    senders.append(start(9, routes=1, version=7))
    for sender in senders:
        link(receiver, sender)
        receiver.fetch.offer(sender.member, 7)
    assert wait_until(lambda: receiver.version() == 7)
    assert [member_id for member_id, _, _ in receiver.requests] == ["m9"]


@pytest.mark.parametrize(
    "part",
    [
        QueuesPart(0, 0),
        QueuesPart(7, 0, 0, b""),
        QueuesPart(7, 100, 0, b""),
        QueuesPart(7, 10**9, 0, b"x"),
        QueuesPart(7, 10, 5, b"x"),
        QueuesPart(7, 3, 0, b"abc"),
        QueuesPart(7, 20, 0, zlib.compress(b"{")[:5] + b"x" * 20),
        QueuesPart(7, len(zlib.compress(b"no table")), 0, zlib.compress(b"no table")),
    ],
    ids=["none known", "empty", "no data", "too large", "gap", "not compressed", "broken", "JSON"],
)
def test_malformed_part_is_ignored_and_another_member_is_asked(start, part):
    receiver, sender = start(0, routes=1, version=3), start(1, routes=10, version=7)
    receiver.links["m5"] = lambda message: part
    receiver.fetch.offer(Member("m5", "north", "", "", "", ""), 8)
    gevent.sleep(0.05)
    assert receiver.version() == 3
    assert len(receiver.requests) <= 2
    link(receiver, sender)
    receiver.fetch.offer(sender.member, 7)
    assert wait_until(lambda: receiver.version() == 7)


@pytest.mark.parametrize("offset", [-5, 10**9, 0])
def test_request_with_any_offset_is_answered(start, offset):
    sender = start(1, routes=10, version=7)
    message = module.FetchQueues(7, offset)
    part = sender.fetch.send_part(sender.member, message)
    assert part.version == 7
    assert bool(part.data) == (offset < 10**9)


def test_configuration_that_cannot_be_used_is_not_fetched_again_at_once(start):
    """It was transferred again for every heartbeat of a member that had it in force."""
    receiver, packed = start(0, routes=1, version=3), zlib.compress(b"no table")
    peer = Member("m1", "north", "", "", "", "")
    receiver.links["m1"] = lambda message: QueuesPart(7, len(packed), 0, packed)
    for _ in range(5):
        receiver.fetch.offer(peer, 7)
        gevent.sleep(0.05)
    assert len(receiver.requests) == 1
    receiver.fetch.offer(peer, 8)
    assert wait_until(lambda: len(receiver.requests) == 2, 1.0)


def test_restarted_process_takes_the_newest_configuration_of_its_members(start):
    """The first member that it met had been cut off, and had a queue that was withdrawn since."""
    receiver = start(0)
    stale, current = start(1, routes=3, version=3), start(2, routes=3, version=7)
    for sender in (stale, current):
        link(receiver, sender)
        receiver.fetch.offer(sender.member, sender.version())
        gevent.sleep(0.1)
    assert receiver.version() == 0
    assert wait_until(lambda: receiver.version() == 7, 2.0)
    assert [member_id for member_id, _, _ in receiver.requests] == ["m2"]
