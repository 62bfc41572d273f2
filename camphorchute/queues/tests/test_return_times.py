from collections import Counter

import pytest

from camphorchute.queues.return_times import QUEUE_MAX_MS, ReturnTimes

JOBS_PER_S = 20


def make_returns(jobs_per_s=JOBS_PER_S):
    """Return the times of a process that has worked off jobs of four tasks for ten seconds."""
    returns = ReturnTimes()
    for number in range(10 * jobs_per_s):
        returns.record_ended(4, number / jobs_per_s)
    return returns


def test_callers_refused_at_once_return_at_the_rate_at_which_jobs_are_worked_off():
    """All of them returned within two seconds, and most were refused again."""
    returns = make_returns()
    times_ms = [returns.next_ms(0.0, 10.0) for _ in range(80)]
    per_s = Counter(time_ms // 1000 for time_ms in times_ms)
    assert max(per_s.values()) <= JOBS_PER_S
    assert sum(times_ms[40:]) > sum(times_ms[:40])


def test_queue_of_returning_callers_is_bounded_and_served():
    returns = make_returns()
    times_ms = [returns.next_ms(0.0, 10.0) for _ in range(1000)]
    assert max(times_ms) <= QUEUE_MAX_MS + 2500
    assert max(Counter(time_ms // 1000 for time_ms in times_ms).values()) < 200
    assert returns.next_ms(0.0, 25.0) <= 2500


@pytest.mark.parametrize("wait_ms", [0.0, 300.0, 7000.0])
def test_caller_returns_after_the_expected_wait(wait_ms):
    """A queue that is shorter than the wait does not add to it."""
    time_ms = make_returns().next_ms(wait_ms, 10.0)
    assert wait_ms <= time_ms <= 2 * wait_ms + 2100


@pytest.mark.parametrize(("open_tasks", "least_ms", "most_ms"), [(0, 0, 0), (40, 350, 700)])
def test_time_to_work_off_the_open_tasks_follows_from_their_rate(open_tasks, least_ms, most_ms):
    assert least_ms <= make_returns().drain_ms(open_tasks, 10.0) <= most_ms
