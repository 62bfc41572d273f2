"""Randomised runs of schedulers in real time, so that two plays of a seed may differ."""

import pytest

from bench.run_faults.play import play_together

DURATION_S = 2.7


@pytest.mark.parametrize(
    ("seeds", "faults"),
    [
        # A start was accepted by the next incarnation of a worker, and its task repeated elsewhere.
        pytest.param((3, 7, 12), ("restart_idle",), id="restart"),
        # A task whose worker had restarted was requeued by the poll and by the start command.
        pytest.param((212, 213, 214), ("replace", "busy"), id="replace"),
        # A task that was stopped while its worker was not listed was started again.
        pytest.param((702, 704, 709), ("unlist",), id="unlist"),
        pytest.param((41, 42, 43), ("claim", "move", "pause", "cut", "late", "mute"), id="claim"),
    ],
)
def test_no_task_has_two_runs_at_the_same_time(seeds, faults):
    reports = play_together(seeds, DURATION_S, faults)
    assert all(report.started_runs for report in reports)
    failed = [report.describe() for report in reports if report.has_findings()]
    assert not failed, "\n".join(failed)
