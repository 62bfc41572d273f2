"""Seeded runs of real entry processes; times differ from run to run."""

import pytest

from bench.run_faults.hosted_play import HostedPlay

BASE = 45
DURATION_S = 10.0


# A task had two runs at the same time on workers of the hosted platform.
@pytest.mark.parametrize("seed", [1, 2])
def test_no_task_has_two_runs_at_the_same_time_under_process_faults(seed, tmp_path):
    play = HostedPlay(seed, tmp_path, BASE)
    try:
        play.start()
        play.execute(DURATION_S)
    finally:
        play.close()
    assert play.statuses[200] > 0, play.statuses
    assert not play.overlaps, play.describe()
