"""Seeded runs of entry processes in four zones; times differ from run to run."""

import pytest

from bench.run_faults.zones_play import ZonesPlay

BASE = 69
DURATION_S = 10.0


# Runs went on after their owner and then their scheduler was lost, while the job that was sent
# again ran in another zone.
@pytest.mark.parametrize("seed", [1])
def test_no_task_has_two_runs_at_the_same_time_as_owners_and_schedulers_are_lost(seed, tmp_path):
    play = ZonesPlay(seed, tmp_path, BASE)
    try:
        play.start()
        play.execute(DURATION_S)
    finally:
        play.close()
    assert play.statuses[200] > 0, play.statuses
    assert not play.overlaps, play.describe()
