"""A worker that always looks free takes most tasks, and fails their jobs."""

import pytest

from bench.patterns.tests.comparison import play_both, unserved_share

PATTERN = "worker that fails at once"
UNSERVED_RATIO_MAX = 0.5
IN_TIME_LOSS_MAX = 0.03


@pytest.mark.parametrize(("seed", "changed"), [(1, ()), (2, ("ejection",)), (3, ("ejection",))])
def test_fewer_jobs_are_unserved_than_with_the_earlier_policies(seed, changed):
    now, before = play_both(PATTERN, seed, *changed)
    assert unserved_share(now) <= UNSERVED_RATIO_MAX * unserved_share(before)
    assert now.in_time_share() >= before.in_time_share() - IN_TIME_LOSS_MAX
