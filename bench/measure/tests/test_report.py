import msgspec
import pytest

from bench.measure.report import choose_default_policy, failed_bounds, markdown_table
from bench.measure.row import Row

ROW_WITHIN_BOUNDS = Row(
    workload="association",
    load=0.8,
    fault="none",
    policy="home",
    p50_ratio=1.05,
    p99_ratio=1.2,
    wasted_per_task=0.0,
    goodput_ratio=1.0,
    starts_per_core_s=1000.0,
    jobs=10,
    double_starts=0,
    unanswered=0,
    partial=0,
    p50_ms=1.0,
    p99_ms=1.0,
    codes={},
    waste={},
)


@pytest.mark.parametrize(
    "changes, violated",
    [
        ({}, []),
        ({"p50_ratio": 1.10, "p99_ratio": 1.5, "wasted_per_task": 0.01}, []),
        ({"p50_ratio": 1.11}, ["p50_ratio"]),
        ({"p99_ratio": 1.51}, ["p99_ratio"]),
        ({"wasted_per_task": 0.011}, ["wasted_per_task"]),
        ({"p50_ratio": float("nan")}, ["p50_ratio"]),
        ({"fault": "straggler", "p99_ratio": 2.0, "p50_ratio": 3.0}, []),
        ({"fault": "straggler", "p99_ratio": 2.01}, ["p99_ratio_with_fault"]),
        ({"load": 2.0, "goodput_ratio": 0.9, "p99_ratio": 9.0}, []),
        ({"load": 2.0, "goodput_ratio": 0.89}, ["goodput_ratio"]),
        ({"load": 0.95, "p99_ratio": 9.0}, []),
        ({"policy": "random", "p99_ratio": 9.0}, []),
    ],
)
def test_failed_bounds_names_each_violated_bound(changes, violated):
    row = msgspec.structs.replace(ROW_WITHIN_BOUNDS, **changes)
    assert [entry["bound"] for entry in failed_bounds([row], "home")] == violated


def test_default_policy_depends_on_the_waste_weight_of_the_workload():
    slow = msgspec.structs.replace(ROW_WITHIN_BOUNDS, policy="slow", p99_ratio=1.5)
    wasteful = msgspec.structs.replace(ROW_WITHIN_BOUNDS, policy="wasteful", wasted_per_task=1.0)
    assert choose_default_policy([slow, wasteful]) == "wasteful"
    huberhof = [msgspec.structs.replace(row, workload="huberhof") for row in (slow, wasteful)]
    assert choose_default_policy(huberhof) == "slow"
    assert choose_default_policy([]) == ""


def test_markdown_table_has_a_line_for_each_row():
    assert len(markdown_table([ROW_WITHIN_BOUNDS, ROW_WITHIN_BOUNDS]).splitlines()) == 4
