"""Randomised runs of schedulers in real time, so that two plays of a seed may differ."""

import pytest

from bench.run_faults.play import play

DURATION_S = 3.0


@pytest.mark.parametrize(
    ("seed", "faults"),
    [
        # A start was accepted by the next incarnation of a worker, and repeated elsewhere.
        (7, ("restart",)),
        # A task whose worker had restarted was requeued by the poll and by the start command.
        (24, ("replace", "busy", "slow")),
        # A task that was stopped while its worker was not listed was started again.
        (70, ("unlist", "stall", "hang", "slow")),
        (41, ("claim", "pause", "cut", "late", "mute")),
    ],
)
def test_no_task_has_two_runs_at_the_same_time(seed, faults):
    report = play(seed, DURATION_S, faults)
    assert report.started_runs > 0
    assert not report.overlaps and not report.duplicates, report.describe()
