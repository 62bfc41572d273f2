"""Jobs that wait are served late instead of being refused, started ones first."""

import pytest

from bench.patterns.tests.comparison import play_both, unserved_share

PATTERN = "burst of wide jobs"
UNSERVED_RATIO_MAX = 0.9
IN_TIME_LOSS_MAX = 0.03


@pytest.mark.parametrize(("seed", "changed"), [(seed, ()) for seed in range(1, 11)])
def test_fewer_jobs_are_unserved_than_with_the_earlier_policies(seed, changed):
    now, before = play_both(PATTERN, seed, *changed)
    assert unserved_share(now) <= UNSERVED_RATIO_MAX * unserved_share(before)
    assert now.in_time_share() >= before.in_time_share() - IN_TIME_LOSS_MAX
