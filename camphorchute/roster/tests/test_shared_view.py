import base64
import json

import msgspec
import pytest

from bench.standins.fleet_site import PREFIX, FleetSite
from camphorchute.contracts.member import Member
from camphorchute.hosting import StoredValue, make_platform
from camphorchute.platform import FleetPlatform
from camphorchute.roster import SharedView, shared_view
from camphorchute.roster.shared_view import CLAIM_PREFIX, MEMBER_PREFIX

ENTRY = {
    "service": "flags",
    "address": "10.0.0.1:80",
    "zone": "north",
    "state": "ready",
    "capacity": {"cpu": 16_000},
}
KEY = FleetPlatform.worker_prefix + "w1"
QUEUES_KEY = FleetPlatform.queues_key


@pytest.fixture
def view():
    return SharedView(make_platform("fleet", "127.0.0.1:1", lambda name: None), lambda name: None)


def configuration(version, prefix=PREFIX):
    route = {"name": "r", "host": "h", "prefix": prefix, "service": "flags"}
    return json.dumps({"version": version, "routes": [route]}).encode()


def member_value(member_id, address):
    member = Member(member_id, "north", "vm", "", address, "127.0.0.1:1")
    return msgspec.json.encode(member)


def put(view, key, value, revision=1):
    view.apply(StoredValue(key, value, revision))


@pytest.mark.parametrize(
    ("versions", "in_force"), [([3, 7], 7), ([7, 3], 7), ([7, 7], 7), ([5], 5), ([], None)]
)
def test_configuration_never_goes_back(view, versions, in_force):
    for version in versions:
        put(view, QUEUES_KEY, configuration(version))
    assert (view.queues.version if view.queues else None) == in_force


def test_configuration_that_cannot_be_read_changes_nothing(view):
    put(view, QUEUES_KEY, configuration(3))
    put(view, QUEUES_KEY, b"\xff")
    put(view, QUEUES_KEY, None)
    assert view.queues.version == 3
    assert view.queues.find("h", PREFIX) is not None


def test_worker_whose_entry_is_removed_is_kept_for_a_while(view, monkeypatch):
    put(view, KEY, json.dumps(ENTRY).encode())
    put(view, KEY, None)
    view.drop_gone()
    assert "w1" in view.workers
    monkeypatch.setattr(shared_view, "GONE_AFTER_MS", 0.0)
    view.drop_gone()
    assert "w1" not in view.workers


def test_worker_whose_entry_is_back_stays(view, monkeypatch):
    put(view, KEY, json.dumps(ENTRY).encode())
    put(view, KEY, None)
    put(view, KEY, json.dumps(ENTRY).encode())
    monkeypatch.setattr(shared_view, "GONE_AFTER_MS", 0.0)
    view.drop_gone()
    assert "w1" in view.workers


def test_entry_that_becomes_unreadable_names_no_worker(view, monkeypatch):
    put(view, KEY, json.dumps(ENTRY).encode())
    put(view, KEY, b"{}")
    monkeypatch.setattr(shared_view, "GONE_AFTER_MS", 0.0)
    view.drop_gone()
    assert view.workers == {}


def test_full_listing_removes_only_what_lies_under_its_prefix(view):
    put(view, MEMBER_PREFIX + "m1", member_value("m1", "10.0.0.1:1"))
    put(view, CLAIM_PREFIX + "north/flags/0", b"m1", 5)
    put(view, KEY, json.dumps(ENTRY).encode())
    view.replace("camphorchute/", [StoredValue(CLAIM_PREFIX + "north/flags/0", b"m2", 9)])
    assert view.members == {}
    assert view.claims["north/flags/0"].member_id == "m2"
    assert "w1" in view.workers


def test_claim_of_a_lower_revision_is_passed_over(view):
    put(view, CLAIM_PREFIX + "g", b"m2", 9)
    put(view, CLAIM_PREFIX + "g", b"m1", 5)
    assert view.claims["g"].member_id == "m2"


@pytest.mark.parametrize(("first", "second", "left"), [(5, 9, "m2"), (9, 5, "m1")])
def test_later_registration_at_an_address_replaces_the_earlier(view, first, second, left):
    put(view, MEMBER_PREFIX + "m1", member_value("m1", "10.0.0.1:1"), first)
    put(view, MEMBER_PREFIX + "m2", member_value("m2", "10.0.0.1:1"), second)
    assert list(view.members) == [left]


def test_groups_follow_zone_and_service(view):
    for number in range(30):
        entry = ENTRY | {"zone": "north" if number % 2 else "south"}
        put(view, f"{FleetPlatform.worker_prefix}w{number}", json.dumps(entry).encode())
    groups = view.groups()
    assert sum(len(workers) for workers in groups.values()) == 30
    assert {name.split("/")[0] for name in groups} == {"north", "south"}
    assert {name.split("/")[2] for name in groups} == {"0", "1"}


def test_site_configuration_is_read_by_the_view(view):
    site = FleetSite(["north"], 1)
    try:
        site.start()
        for item in site.store.items.values():
            put(view, item["key"], shared_bytes(item), item["revision"])
        assert view.queues.find("flags.example", "/checks/1") is not None
        assert list(view.workers) == ["north-w0"]
    finally:
        site.close()


def shared_bytes(item):
    return base64.b64decode(item["value"])
