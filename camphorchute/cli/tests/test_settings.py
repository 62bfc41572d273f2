from pathlib import Path

import pytest

from camphorchute.cli import Settings, load_settings
from camphorchute.cli.settings_table import SETTINGS, settings_markdown

SOUND = {
    "zone": "north",
    "zones": "north,south",
    "http_address": "127.0.1.1:8001",
    "link_address": "127.0.1.1:7001",
    "store_url": "http://127.0.0.1:2379",
    "vm_list_url": "http://127.0.0.1:2380/",
    "operator_token": "0123456789abcdef",
}
REQUIRED = sorted(SOUND)


def fault_names(flags, environment=None):
    with pytest.raises(ExceptionGroup) as caught:
        load_settings(flags, environment or {})
    return sorted(fault.name for fault in caught.value.exceptions)


def test_defaults_and_values_that_follow_others():
    settings = load_settings(SOUND, {})
    assert settings.zones == ["north", "south"]
    assert (settings.heartbeat_ms, settings.suspect_ms, settings.window_s) == (500, 2500, 600)
    assert settings.advertise_http_address == "127.0.1.1:8001"
    assert settings.host == "127.0.1.1"
    assert settings.vm_list_url == "http://127.0.0.1:2380"
    assert settings.statsd_address == ""
    assert settings.store_addresses == ["127.0.0.1:2379"]
    two = {**SOUND, "store_url": "http://127.0.0.1:2379, http://[::1]:2379/"}
    assert load_settings(two, {}).store_addresses == ["127.0.0.1:2379", "[::1]:2379"]


def test_slots_and_table_name_the_same_settings():
    assert {info.name for info in SETTINGS} | {"sources"} == set(Settings.__slots__)


def test_a_flag_goes_before_the_environment_before_the_default():
    environment = {"CAMPHORCHUTE_WINDOW_S": "300", "CAMPHORCHUTE_RACK": "r1"}
    settings = load_settings({**SOUND, "rack": "r2"}, environment)
    assert (settings.window_s, settings.rack, settings.drain_ms) == (300, "r2", 30_000)
    assert [settings.sources[name] for name in ("window_s", "rack", "drain_ms")] == [
        "environment",
        "flag",
        "default",
    ]


def test_the_token_is_never_shown():
    settings = load_settings(SOUND, {})
    assert SOUND["operator_token"] not in repr(settings) + str(settings.rows())


FAULTY = [
    ({"zone": "west"}, ["zone"]),
    ({"zones": "north,north"}, ["zones"]),
    ({"zones": "north,South"}, ["zones"]),
    ({"http_address": "localhost:1"}, ["http_address"]),
    ({"http_address": "127.0.0.1:70000"}, ["http_address"]),
    ({"http_address": "127.0.0.1"}, ["http_address"]),
    ({"http_address": "0.0.0.0:8001"}, ["advertise_http_address"]),
    ({"link_address": "127.0.1.1:8001"}, ["link_address"]),
    ({"store_url": "https://127.0.0.1:1"}, ["store_url"]),
    ({"store_url": "http://127.0.0.1:1,http://x:2"}, ["store_url"]),
    ({"operator_token": "short"}, ["operator_token"]),
    ({"operator_token": ""}, ["operator_token"]),
    ({"heartbeat_ms": "1250"}, ["heartbeat_ms"]),
    ({"heartbeat_ms": "-5", "window_s": "1.5", "drain_ms": "x"}, None),
    ({"answer_retention_s": "601"}, ["answer_retention_s"]),
    ({"clock_skew_ms": "300000"}, ["clock_skew_ms"]),
    ({"suspect_ms": "5000", "window_s": "5", "answer_retention_s": "5"}, None),
    ({"statsd_address": "x"}, ["statsd_address"]),
]


@pytest.mark.parametrize(("changes", "names"), FAULTY)
def test_faults(changes, names):
    expected = names or sorted(changes)
    if "suspect_ms" in changes:
        expected = ["clock_skew_ms", "suspect_ms"]
    assert fault_names({**SOUND, **changes}) == expected


def test_every_fault_is_listed_at_once():
    assert fault_names({}) == REQUIRED
    assert fault_names({"heartbeat_ms": "x"}) == sorted([*REQUIRED, "heartbeat_ms"])


def test_the_page_is_written_from_the_table():
    page = Path(__file__).parents[3] / "docs" / "settings.md"
    assert page.read_text() == settings_markdown()
