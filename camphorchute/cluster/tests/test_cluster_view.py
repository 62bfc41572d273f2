import base64
import json
import time

import msgspec
import pytest

from bench.standins.fleet_site import QUEUE_PATH_PREFIX, FleetSite
from camphorchute.cluster import ClusterView, cluster_view
from camphorchute.cluster.cluster_view import CLAIM_PREFIX, MEMBER_PREFIX
from camphorchute.contracts.member import Member
from camphorchute.hosting import StoredValue, make_platform
from camphorchute.observation_clock import ObservationClock
from camphorchute.platform import FleetPlatform

WORKER_ENTRY = {
    "service": "flags",
    "address": "10.0.0.1:80",
    "zone": "north",
    "state": "ready",
    "capacity": {"cpu": 16_000},
}
WORKER_KEY = FleetPlatform.worker_prefix + "w1"
TICK_S = 0.05
QUEUES_KEY = FleetPlatform.configuration_key


@pytest.fixture
def view():
    return ClusterView(make_platform("fleet", "127.0.0.1:1", lambda name: None), lambda name: None)


def encode_configuration(version, prefix=QUEUE_PATH_PREFIX):
    route = {"name": "r", "host": "h", "prefix": prefix, "service": "flags"}
    return json.dumps({"version": version, "routes": [route]}).encode()


def encode_member(member_id, address):
    member = Member(member_id, "north", "vm", "", address, "127.0.0.1:1")
    return msgspec.json.encode(member)


def apply_value(view, key, value, revision=1):
    view.apply_change(StoredValue(key, value, revision))


@pytest.mark.parametrize(
    ("versions", "applied_version"), [([3, 7], 7), ([7, 3], 7), ([7, 7], 7), ([5], 5), ([], None)]
)
def test_configuration_version_never_decreases(view, versions, applied_version):
    for version in versions:
        apply_value(view, QUEUES_KEY, encode_configuration(version))
    assert (view.queues.version if view.queues else None) == applied_version


def test_malformed_or_deleted_configuration_is_ignored(view):
    apply_value(view, QUEUES_KEY, encode_configuration(3))
    apply_value(view, QUEUES_KEY, b"\xff")
    apply_value(view, QUEUES_KEY, None)
    assert view.queues.version == 3
    assert view.queues.find_queue("h", QUEUE_PATH_PREFIX) is not None


def test_worker_without_an_entry_is_kept_until_its_expiry(view, monkeypatch):
    apply_value(view, WORKER_KEY, json.dumps(WORKER_ENTRY).encode())
    apply_value(view, WORKER_KEY, None)
    view.remove_expired_workers()
    assert "w1" in view.workers
    monkeypatch.setattr(cluster_view, "WORKER_EXPIRY_MS", 0.0)
    view.remove_expired_workers()
    assert "w1" not in view.workers


# Guards against a worker that is listed again being removed by a process that was paused meanwhile,
# before that process reads the change.
@pytest.mark.parametrize(
    ("pause_s", "observed_s", "is_kept"), [(3.0, 0.0, True), (0.0, 3.0, False), (3.0, 2.0, False)]
)
def test_worker_does_not_expire_while_this_process_is_paused(
    view, monkeypatch, pause_s, observed_s, is_kept
):
    offset_s, real_time = [0.0], time.monotonic
    monkeypatch.setattr(time, "monotonic", lambda: real_time() + offset_s[0])
    clock = ObservationClock()
    monkeypatch.setattr(cluster_view, "observation_clock", clock, raising=False)
    clock.tick()
    apply_value(view, WORKER_KEY, json.dumps(WORKER_ENTRY).encode())
    apply_value(view, WORKER_KEY, None)
    offset_s[0] += pause_s
    clock.tick()
    for _ in range(round(observed_s / TICK_S)):
        offset_s[0] += TICK_S
        clock.tick()
    view.remove_expired_workers()
    assert ("w1" in view.workers) is is_kept


def list_worker(view, **fields):
    entry = WORKER_ENTRY | fields
    worker_id = entry.pop("id", "w1")
    apply_value(view, WORKER_KEY.replace("w1", worker_id), json.dumps(entry).encode())


# The runs of a worker that was cut off were taken for ended as soon as it was not listed.
@pytest.mark.parametrize(
    ("last_fields", "listed_later", "is_hidden"),
    [
        ({}, [], True),
        ({"state": "draining"}, [], False),
        ({}, [{}], False),
        ({}, [{"id": "w2"}], False),
        ({}, [{"id": "w2", "address": "10.0.0.9:80"}], True),
    ],
)
def test_unlisted_worker_may_be_hidden_until_it_is_explained(
    view, monkeypatch, last_fields, listed_later, is_hidden
):
    list_worker(view)
    list_worker(view, **last_fields)
    service = view.workers["w1"].service
    assert view.hidden_workers_since_s(service) is None
    apply_value(view, WORKER_KEY, None)
    monkeypatch.setattr(cluster_view, "WORKER_EXPIRY_MS", 0.0)
    view.remove_expired_workers()
    for fields in listed_later:
        list_worker(view, **fields)
    assert (view.hidden_workers_since_s(service) is not None) is is_hidden
    assert view.hidden_workers_since_s("other") is None


# A process that started during a cut could not remember the workers that were cut off.
@pytest.mark.parametrize(
    ("zones", "young_s", "is_hidden"),
    [(["north"], 60.0, False), (["north", "south"], 60.0, True), (["north", "south"], 0.0, False)],
)
def test_zone_without_members_may_hide_workers_from_a_new_process(
    view, monkeypatch, zones, young_s, is_hidden
):
    monkeypatch.setattr(cluster_view, "YOUNG_PROCESS_S", young_s)
    view.members = {"m1": Member("m1", "north", "", "", "", "")}
    view.expected_zones = zones
    assert (view.hidden_workers_since_s("flags") is not None) is is_hidden
    view.members["m2"] = Member("m2", "south", "", "", "", "")
    assert view.hidden_workers_since_s("flags") is None


def test_worker_whose_entry_comes_back_is_not_removed(view, monkeypatch):
    apply_value(view, WORKER_KEY, json.dumps(WORKER_ENTRY).encode())
    apply_value(view, WORKER_KEY, None)
    apply_value(view, WORKER_KEY, json.dumps(WORKER_ENTRY).encode())
    monkeypatch.setattr(cluster_view, "WORKER_EXPIRY_MS", 0.0)
    view.remove_expired_workers()
    assert "w1" in view.workers


def test_worker_whose_entry_becomes_malformed_is_removed(view, monkeypatch):
    apply_value(view, WORKER_KEY, json.dumps(WORKER_ENTRY).encode())
    apply_value(view, WORKER_KEY, b"{}")
    monkeypatch.setattr(cluster_view, "WORKER_EXPIRY_MS", 0.0)
    view.remove_expired_workers()
    assert view.workers == {}


def test_complete_listing_removes_only_keys_under_its_prefix(view):
    apply_value(view, MEMBER_PREFIX + "m1", encode_member("m1", "10.0.0.1:1"))
    apply_value(view, CLAIM_PREFIX + "north/flags/0", b"m1", 5)
    apply_value(view, WORKER_KEY, json.dumps(WORKER_ENTRY).encode())
    view.apply_listing("camphorchute/", [StoredValue(CLAIM_PREFIX + "north/flags/0", b"m2", 9)])
    assert view.members == {}
    assert view.claims["north/flags/0"].member_id == "m2"
    assert "w1" in view.workers


def test_claim_with_a_lower_revision_is_ignored(view):
    apply_value(view, CLAIM_PREFIX + "g", b"m2", 9)
    apply_value(view, CLAIM_PREFIX + "g", b"m1", 5)
    assert view.claims["g"].member_id == "m2"


@pytest.mark.parametrize(("first", "second", "remaining"), [(5, 9, "m2"), (9, 5, "m1")])
def test_later_registration_at_an_address_replaces_the_earlier(view, first, second, remaining):
    apply_value(view, MEMBER_PREFIX + "m1", encode_member("m1", "10.0.0.1:1"), first)
    apply_value(view, MEMBER_PREFIX + "m2", encode_member("m2", "10.0.0.1:1"), second)
    assert list(view.members) == [remaining]


def test_groups_are_formed_by_zone_and_service(view):
    for number in range(30):
        entry = WORKER_ENTRY | {"zone": "north" if number % 2 else "south"}
        apply_value(view, f"{FleetPlatform.worker_prefix}w{number}", json.dumps(entry).encode())
    groups = view.groups()
    assert sum(len(workers) for workers in groups.values()) == 30
    assert {name.split("/")[0] for name in groups} == {"north", "south"}
    assert {name.split("/")[2] for name in groups} == {"0", "1"}


def test_view_reads_the_store_of_a_site(view):
    site = FleetSite(["north"], 1)
    try:
        site.start()
        for item in site.store.items.values():
            apply_value(view, item["key"], decode_value(item), item["revision"])
        assert view.queues.find_queue("flags.example", "/checks/1") is not None
        assert list(view.workers) == ["north-w0"]
    finally:
        site.close()


def decode_value(item):
    return base64.b64decode(item["value"])


@pytest.mark.parametrize(
    ("key", "value", "is_computed_again"),
    [
        (MEMBER_PREFIX + "m2", encode_member("m2", "127.0.0.1:2"), True),
        (MEMBER_PREFIX + "m1", encode_member("m1", "127.0.0.1:1"), False),
        (MEMBER_PREFIX + "m1", None, True),
        (MEMBER_PREFIX + "m9", None, False),
        (CLAIM_PREFIX + "north/flags/0", b"m1", False),
        (CLAIM_PREFIX + "north/flags/7", b"m1", True),
        (CLAIM_PREFIX + "north/flags/0", None, True),
        (WORKER_KEY, json.dumps({**WORKER_ENTRY, "seq": 2}).encode(), False),
        (FleetPlatform.worker_prefix + "w2", json.dumps(WORKER_ENTRY).encode(), False),
        (
            FleetPlatform.worker_prefix + "w2",
            json.dumps({**WORKER_ENTRY, "zone": "south"}).encode(),
            True,
        ),
    ],
)
def test_followers_are_computed_again_only_if_members_or_groups_change(
    view, key, value, is_computed_again
):
    apply_value(view, MEMBER_PREFIX + "m1", encode_member("m1", "127.0.0.1:1"))
    apply_value(view, CLAIM_PREFIX + "north/flags/0", b"m1")
    apply_value(view, WORKER_KEY, json.dumps(WORKER_ENTRY).encode())
    before = view.followers()
    assert view.followers() is before
    apply_value(view, key, value, revision=2)
    assert (view.followers() is not before) == is_computed_again
    names = {m.member_id for group in view.group_names() for m in before.followers_of(group)}
    if not is_computed_again:
        assert names == set(view.members)


@pytest.mark.parametrize(
    ("fields", "is_news"),
    [({"seq": 2}, False), ({"state": "draining"}, True), ({"capacity": {"cpu": 8000}}, True)],
)
def test_entry_that_differs_in_its_sequence_number_only_changes_nothing(view, fields, is_news):
    """Each heartbeat of a worker made every process copy a group and check all of its claims."""
    apply_value(view, WORKER_KEY, json.dumps({**WORKER_ENTRY, "seq": 1}).encode())
    groups_before, entry_before = view.groups(), view.workers["w1"]
    view.changed.clear()
    apply_value(view, WORKER_KEY, json.dumps({**WORKER_ENTRY, **fields}).encode())
    assert view.changed.is_set() is is_news
    assert (view.workers["w1"] is entry_before) is not is_news
    assert (view.groups()["north/flags/0"] is groups_before["north/flags/0"]) is not is_news
