"""Seeded runs with commands that are carried out seconds late; two plays of a seed may differ."""

import pytest

from bench.run_faults.play import play_together

DURATION_S = 5.0


@pytest.mark.parametrize(
    ("seeds", "faults"),
    [
        # A start command that had been given up was carried out by the next incarnation.
        pytest.param((1401, 1404, 1409), ("late_orders", "restart"), id="restart"),
        # The leases of a run that had to end were renewed for the sake of its neighbours.
        pytest.param((1805, 1807, 1810), ("late_stops",), id="stops"),
        pytest.param((806, 901, 1305), ("late_grants", "lost_path", "reborn", "claim"), id="paths"),
    ],
)
def test_no_task_has_two_runs_at_a_time_while_commands_are_late(seeds, faults):
    reports = play_together(seeds, DURATION_S, faults)
    assert all(report.started_runs for report in reports)
    failed = [report.describe() for report in reports if report.has_findings()]
    assert not failed, "\n".join(failed)
