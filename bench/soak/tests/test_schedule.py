"""A fault schedule depends on its seed alone, and outage spans follow from its faults."""

import pytest

from bench.soak import soak_run  # noqa: F401 - registers all fault kinds
from bench.soak.config_outages import AppliedFault, config_outage_spans
from bench.soak.schedule import FAULT_KINDS, PlannedFault, make_schedule

REQUIRED_FAULTS = {
    "kill_and_restart",
    "kill_and_replace",
    "pause_long",
    "pause_short",
    "stop_and_replace",
    "zone_cut",
    "platform_cut",
    "one_way_cut",
    "silent_links",
    "store_outage",
    "store_slow",
    "store_loses_answers",
    "leases_lapse",
    "worker_straggles",
    "worker_refuses",
    "worker_lies",
    "worker_fails_all",
    "worker_crashes",
    "worker_silent",
    "worker_hangs",
    "worker_doubles_answers",
    "worker_answers_late",
    "upstream_loses_answers",
    "cancel_wave",
    "burst",
    "upstream_leaves",
    "worker_leaves",
    "operators_race",
}


@pytest.mark.parametrize("seed", [1, 2, 77])
def test_same_seed_gives_same_schedule(seed: int) -> None:
    assert make_schedule(seed, 30.0) == make_schedule(seed, 30.0)


def test_different_seeds_give_different_schedules() -> None:
    assert make_schedule(1, 30.0) != make_schedule(2, 30.0)


def test_every_fault_kind_is_drawn() -> None:
    drawn_kinds = {planned.kind for planned in make_schedule(1, 2000.0)}
    assert drawn_kinds == set(FAULT_KINDS)
    assert drawn_kinds >= REQUIRED_FAULTS


@pytest.mark.parametrize("seed", range(1, 6))
def test_faults_overlap_and_respect_time_and_duration_limits(seed: int) -> None:
    planned = make_schedule(seed, 60.0)
    overlaps = 0
    for first, second in zip(planned, planned[1:], strict=False):
        assert first.at_s <= second.at_s < 60.0
        overlaps += second.at_s < first.at_s + first.duration_s
    assert overlaps >= 2
    for fault in planned:
        kind = FAULT_KINDS[fault.kind]
        assert kind.min_duration_s <= fault.duration_s <= kind.max_duration_s


def make_applied_fault(kind: str, zone: str, began_ms: float, ended_ms: float) -> AppliedFault:
    fault = AppliedFault(PlannedFault(0.0, kind, 1.0, 0), zone, began_ms)
    fault.ended_unix_ms = ended_ms
    return fault


@pytest.mark.parametrize(
    ("faults", "zones", "spans"),
    [
        ([make_applied_fault("zone_isolated", "north", 1, 5)], 3, [(1, 5)]),
        ([make_applied_fault("zone_isolated", "south", 1, 5)], 3, []),
        ([make_applied_fault("zone_cut", "north", 1, 5)], 3, []),
        ([make_applied_fault("store_outage", "south", 1, 5)], 3, []),
        (
            [
                make_applied_fault("zone_cut", "north", 1, 5),
                make_applied_fault("platform_cut", "north", 3, 9),
            ],
            3,
            [(3, 5)],
        ),
        (
            [
                make_applied_fault("zone_cut", "north", 1, 5),
                make_applied_fault("platform_cut", "south", 3, 9),
            ],
            3,
            [],
        ),
        (
            [
                make_applied_fault("zone_cut", "south", 1, 5),
                make_applied_fault("store_hangs", "west", 0, 3),
            ],
            2,
            [(1, 3)],
        ),
        (
            [
                make_applied_fault("zone_cut", "south", 1, 5),
                make_applied_fault("store_hangs", "west", 0, 3),
            ],
            3,
            [],
        ),
    ],
)
def test_config_outage_spans(faults: list, zones: int, spans: list) -> None:
    assert config_outage_spans(faults, "north", zones) == spans
