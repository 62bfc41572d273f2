"""Seeded runs with a pause between jobs; by hand, one of 45 s or more shows old clock readings."""

import pytest

from bench.run_faults.idle_play import IdlePlay, late_tasks
from bench.standins.run_record import RunRecord

BASE = 74
PAUSE_S = 6.0
TASK = "c0ffee0000000000.0.0.0"


@pytest.mark.parametrize(
    ("started_s", "outcome", "is_late"),
    [(10.5, "done", False), (12.5, "done", True), (10.5, "lapsed", True), (10.5, "", True)],
)
def test_task_is_late_unless_a_run_started_in_time_is_done(started_s, outcome, is_late):
    run = RunRecord(TASK, 1, 0.0)
    run.started_s, run.outcome = started_s, outcome
    assert late_tasks([TASK], [run], sent_s=10.0) == [TASK] * is_late
    assert late_tasks([TASK], [], sent_s=10.0) == [TASK]


# Guards against workers that start nothing after a pause.
@pytest.mark.parametrize("seed", [1, 2])
def test_burst_after_a_pause_starts_at_once(seed, tmp_path):
    play = IdlePlay(seed, tmp_path, BASE)
    try:
        play.start()
        play.execute(PAUSE_S)
        assert not play.has_findings(), play.describe()
    finally:
        play.close()
