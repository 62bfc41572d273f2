"""Seeded runs of entry processes in four zones with late commands; times differ from run to run."""

import pytest

from bench.run_faults.late_zones_play import LateZonesPlay

BASE = 160
DURATION_S = 7.0


# A start command that only lost processes knew of was carried out by a restarted worker, while
# the task ran on another worker.
@pytest.mark.parametrize(("seed", "has_silent_links"), [(1, True), (2, False)])
def test_no_task_has_two_runs_at_the_same_time_as_commands_outlive_processes(
    seed, has_silent_links, tmp_path
):
    play = LateZonesPlay(seed, tmp_path, BASE, has_silent_links=has_silent_links)
    try:
        play.start()
        play.execute(DURATION_S)
    finally:
        play.close()
    assert play.statuses[200] > 0, play.statuses
    assert not play.has_findings(), play.describe()
