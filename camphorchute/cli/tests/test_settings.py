from pathlib import Path

import pytest

from camphorchute.cli import Settings, load_settings
from camphorchute.cli.settings_table import SETTINGS, settings_markdown

VALID_SETTINGS = {
    "zone": "north",
    "zones": "north,south",
    "http_address": "127.0.1.1:8001",
    "link_address": "127.0.1.1:7001",
    "store_url": "http://127.0.0.1:2379",
    "vm_list_url": "http://127.0.0.1:2380/",
    "operator_token": "0123456789abcdef",
}
REQUIRED_SETTINGS = sorted(VALID_SETTINGS)


def invalid_setting_names(flags, environment=None):
    with pytest.raises(ExceptionGroup) as caught:
        load_settings(flags, environment or {})
    return sorted(error.name for error in caught.value.exceptions)


def test_defaults_and_values_derived_from_other_settings():
    settings = load_settings(VALID_SETTINGS, {})
    assert settings.zones == ["north", "south"]
    assert (settings.heartbeat_ms, settings.suspect_ms, settings.window_s) == (500, 2500, 600)
    assert settings.advertise_http_address == "127.0.1.1:8001"
    assert settings.host == "127.0.1.1"
    assert settings.vm_list_url == "http://127.0.0.1:2380"
    assert settings.statsd_address == ""
    assert settings.store_addresses == ["127.0.0.1:2379"]
    two_gateways = {**VALID_SETTINGS, "store_url": "http://127.0.0.1:2379, http://[::1]:2379/"}
    assert load_settings(two_gateways, {}).store_addresses == ["127.0.0.1:2379", "[::1]:2379"]


def test_slots_and_table_have_the_same_settings():
    assert {info.name for info in SETTINGS} | {"sources"} == set(Settings.__slots__)


def test_flag_overrides_environment_and_environment_overrides_default():
    environment = {"CAMPHORCHUTE_WINDOW_S": "300", "CAMPHORCHUTE_RACK": "r1"}
    settings = load_settings({**VALID_SETTINGS, "rack": "r2"}, environment)
    assert (settings.window_s, settings.rack, settings.drain_ms) == (300, "r2", 30_000)
    assert [settings.sources[name] for name in ("window_s", "rack", "drain_ms")] == [
        "environment",
        "flag",
        "default",
    ]


def test_operator_token_is_hidden_in_repr_and_rows():
    settings = load_settings(VALID_SETTINGS, {})
    assert VALID_SETTINGS["operator_token"] not in repr(settings) + str(settings.rows())


INVALID_CASES = [
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
    ({"overdue_policy": "sometimes"}, ["overdue_policy"]),
    ({"admission_policy": "", "readiness_policy": "Can-Place"}, None),
    ({"heartbeat_ms": "1250"}, ["heartbeat_ms"]),
    ({"heartbeat_ms": "-5", "window_s": "1.5", "drain_ms": "x"}, None),
    ({"answer_retention_s": "601"}, ["answer_retention_s"]),
    ({"clock_skew_ms": "300000"}, ["clock_skew_ms"]),
    ({"suspect_ms": "5000", "window_s": "5", "answer_retention_s": "5"}, None),
    ({"statsd_address": "x"}, ["statsd_address"]),
]


@pytest.mark.parametrize(("changes", "names"), INVALID_CASES)
def test_invalid_values_are_reported_for_their_setting(changes, names):
    expected = names or sorted(changes)
    if "suspect_ms" in changes:
        expected = ["clock_skew_ms", "suspect_ms"]
    assert invalid_setting_names({**VALID_SETTINGS, **changes}) == expected


def test_all_errors_are_raised_together():
    assert invalid_setting_names({}) == REQUIRED_SETTINGS
    assert invalid_setting_names({"heartbeat_ms": "x"}) == sorted(
        [*REQUIRED_SETTINGS, "heartbeat_ms"]
    )


def test_settings_page_matches_the_table():
    page = Path(__file__).parents[3] / "docs" / "settings.md"
    assert page.read_text() == settings_markdown()


def test_unknown_policy_is_an_error_that_lists_the_known_ones():
    with pytest.raises(ExceptionGroup) as raised:
        load_settings({**VALID_SETTINGS, "task_order_policy": "random"}, {})
    (error,) = raised.value.exceptions
    assert "'random' is not known as task order policy; known are" in str(error)
    assert "started-first" in str(error)
