import itertools

import pytest

import camphorchute.platform  # noqa: F401 - fills the registry of platforms
from camphorchute.cluster import ClusterView, ZoneEvacuations
from camphorchute.cluster import zone_evacuations as module
from camphorchute.contracts.run_messages import MemberBeat, ZoneEvacuation
from camphorchute.hosting import StoredValue, make_platform
from camphorchute.links.codec import Frame, FrameKind, decode_frame, encode_frame

KEY = "op/evacuate/north"


class Process:
    """The evacuations of one process, with a clock that the test sets."""

    def __init__(self, monkeypatch=None, return_ms=3000.0):
        self.counts = {}
        self.now_s = 100.0
        if monkeypatch is not None:
            monkeypatch.setattr(module.time, "monotonic", lambda: self.now_s)
        platform = make_platform("fleet", "127.0.0.1:1", self.count)
        self.zones = ZoneEvacuations(
            platform.decode_evacuated_zone, self.count, ["north", "south"], return_ms
        )
        self.view = ClusterView(platform, self.count, self.zones)

    def count(self, name, n=1):
        self.counts[name] = self.counts.get(name, 0) + n

    def put(self, revision, key=KEY):
        self.view.apply_change(StoredValue(key, b"{}", revision))

    def remove(self, revision, key=KEY):
        self.view.apply_change(StoredValue(key, None, revision))

    def list(self, revision, **revisions_by_zone):
        values = [
            StoredValue(f"op/evacuate/{zone}", b"{}", number)
            for zone, number in revisions_by_zone.items()
        ]
        self.view.apply_listing("op/", values, revision)

    def hear(self, other):
        """Receive a heartbeat of another process."""
        sent = MemberBeat(0, other.zones.states(), other.zones.complete_revision)
        beat = decode_frame(encode_frame(Frame(FrameKind.ONE_WAY, 0, sent))).message
        self.zones.apply_heartbeat(beat.evacuations, beat.evacuations_revision)

    def share(self, zone="north"):
        return self.zones.offered_share(zone, self.now_s)


@pytest.mark.parametrize("order", list(itertools.permutations([(5, True), (7, False), (9, True)])))
def test_higher_revision_wins_whatever_the_order_of_arrival(order):
    process = Process()
    process.list(1)
    for revision, is_put in order:
        (process.put if is_put else process.remove)(revision)
    assert process.zones.is_evacuated("north")
    assert process.zones.states() == [ZoneEvacuation("north", 9, True)]


@pytest.mark.parametrize(
    ("listing_revision", "listed", "is_evacuated"),
    [(20, {}, False), (20, {"north": 12}, True), (8, {}, True), (20, {"south": 15}, False)],
    ids=["gone", "still there", "listing is older than the key", "another zone"],
)
def test_listing_removes_zones_whose_key_is_gone(listing_revision, listed, is_evacuated):
    """The removal is not in the watch if the store dropped the changes since the last one seen."""
    process = Process()
    process.list(1)
    process.put(12)
    process.list(listing_revision, **listed)
    assert process.zones.is_evacuated("north") is is_evacuated


def test_removal_before_a_listing_does_not_return_by_a_late_message():
    process, late = Process(), Process()
    late.list(1)
    late.put(12)
    process.list(20)
    process.hear(late)
    assert not process.zones.is_evacuated("north")


def test_peer_that_missed_the_removal_learns_of_it_from_a_process_started_since():
    """A restarted process never heard of the zone, and so could not say that it was taken back."""
    missed, restarted = Process(), Process()
    missed.list(1)
    missed.put(12)
    restarted.list(20)
    missed.hear(restarted)
    assert not missed.zones.is_evacuated("north")
    restarted.put(31)
    missed.hear(restarted)
    assert missed.zones.is_evacuated("north")


def test_changes_reach_a_process_that_the_store_rejects_over_others():
    first, second, third = Process(), Process(), Process()
    for process in (first, second, third):
        process.list(1)
    for change, is_evacuated in ((first.put, True), (first.remove, False), (first.put, True)):
        change(first.zones.version + 10)
        second.hear(first)
        third.hear(second)
        assert third.zones.is_evacuated("north") is is_evacuated


def test_started_process_offers_nothing_before_it_knows_the_operators_keys():
    """A peer that does not know them either must not be taken for one without evacuations."""
    started, ignorant, informed = Process(), Process(), Process()
    started.hear(ignorant)
    started.put(9, "op/other")
    assert (started.zones.is_known(), started.share()) == (False, 0.0)
    informed.list(20, north=12)
    started.hear(informed)
    assert started.zones.is_known()
    assert (started.share("north"), started.share("south")) == (0.0, 1.0)


def test_zone_returns_linearly_and_an_evacuation_on_the_way_stops_that(monkeypatch):
    process = Process(monkeypatch)
    process.list(1)
    process.put(5)
    process.remove(6)
    shares = []
    for process.now_s in (100.0, 100.75, 101.5, 103.0):
        shares.append(process.share())
    assert shares == [0.0, 0.25, 0.5, 1.0]
    process.put(8)
    assert process.share() == 0.0
    process.remove(9)
    process.now_s += 0.75
    assert process.share() == 0.25
    process.put(11)
    process.now_s += 9.0
    assert process.share() == 0.0


@pytest.mark.parametrize(
    ("key", "counter"),
    [
        ("op/evacuate/", "platform.evacuation_malformed"),
        ("op/evacuate/a/b", "platform.evacuation_malformed"),
        ("op/evacuate/North", "platform.evacuation_malformed"),
        ("op/evacuate/" + "n" * 33, "platform.evacuation_malformed"),
        ("op/evacuate/nowhere", "roster.evacuation_of_unknown_zone"),
        ("op/evacuated", None),
    ],
)
def test_malformed_and_unknown_zones_are_counted_and_change_no_other(key, counter):
    process = Process()
    process.list(1)
    process.put(5, key)
    process.remove(6, key)
    assert process.counts == ({counter: 1 + (counter.startswith("platform"))} if counter else {})
    assert (process.share("north"), process.share("south")) == (1.0, 1.0)


def test_begin_and_end_are_counted_once_each():
    process, peer = Process(), Process()
    process.list(1)
    peer.list(1)
    for process_or_peer in (process, peer):
        process_or_peer.put(5)
    process.hear(peer)
    process.list(7, north=5)
    process.remove(8)
    process.list(9)
    assert process.counts == {"roster.evacuation_begun": 1, "roster.evacuation_ended": 1}
