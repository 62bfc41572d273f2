"""Seeded runs in which durable tasks crash their workers; times differ from run to run."""

import pytest

from bench.run_faults.crash_play import CrashPlay, starts_over_budget
from bench.standins.run_record import CRASHED, RunRecord

BASE = 48
DURATION_S = 8.0


def make_run(started_s, ended_s, outcome=CRASHED):
    run = RunRecord("job.0.0.0", 1, 0.0)
    run.started_s, run.ended_s, run.outcome = started_s, ended_s, outcome
    return run


@pytest.mark.parametrize(
    ("spans", "expected"),
    [
        ([(1, 2), (3, 4)], 0),
        ([(1, 2), (3, 4), (5, 6), (7, 8), (9, 10)], 0),
        ([(1, 2), (3, 4), (5, 6), (7, 8), (9, 10), (11, 12)], 1),
    ],
)
def test_third_start_after_the_third_crash_is_over_budget(spans, expected):
    assert len(starts_over_budget([make_run(*span) for span in spans])) == expected


# A task was started again without limit when the processes that had seen it crash were killed.
@pytest.mark.parametrize("seed", [1, 2])
def test_crashing_tasks_are_given_up_and_others_are_done(seed, tmp_path):
    play = CrashPlay(seed, tmp_path, BASE)
    try:
        play.start()
        play.execute(DURATION_S)
        assert play.states, play.describe()
        assert not play.has_findings(), play.describe()
    finally:
        play.close()
