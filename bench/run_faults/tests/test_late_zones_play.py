"""Seeded runs of entry processes in four zones with late commands; times differ from run to run."""

import pytest

from bench.run_faults.late_zones_play import LateZonesPlay

BASE = 160
DURATION_S = 10.0


# A start command that only lost processes knew of was carried out by a restarted worker, while
# the task ran on another worker.
@pytest.mark.parametrize(
    ("seed", "options"), [(1, {}), (2, {"attempts_max": 1, "has_silent_links": True})]
)
def test_no_task_has_two_runs_at_the_same_time_as_commands_outlive_processes(
    seed, options, tmp_path
):
    play = LateZonesPlay(seed, tmp_path, BASE, **options)
    try:
        play.start()
        play.execute(DURATION_S)
    finally:
        play.close()
    assert play.statuses[200] > 0, play.statuses
    assert not play.has_findings(), play.describe()
