import time

import gevent
import pytest

from camphorchute.entry import loop_lag as module
from camphorchute.entry.loop_lag import LoopLag


@pytest.mark.parametrize(
    ("samples", "behind"),
    [
        ([0.0] * 50, False),
        ([60.0] * 50, False),
        ([200.0] * 50, True),
        ([9000.0], False),
        ([9000.0, 0.0, 0.0], False),
        ([700.0] * 4, True),
    ],
)
def test_loop_is_behind_after_sustained_lag_only(samples, behind):
    lag = LoopLag(lambda name: None)
    for sample_ms in samples:
        lag.add_sample(sample_ms)
    assert lag.is_behind is behind


def test_loop_stays_behind_for_the_minimum_duration(monkeypatch):
    lag = LoopLag(lambda name: None)
    for _ in range(10):
        lag.add_sample(500.0)
    for _ in range(50):
        lag.add_sample(0.0)
    assert lag.is_behind
    monkeypatch.setattr(module, "BEHIND_MIN_DURATION_MS", 0.0)
    lag.add_sample(0.0)
    assert not lag.is_behind


def keep_busy(seconds):
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        pass


def test_lag_of_a_busy_loop_is_measured():
    lag = LoopLag(lambda name: None)
    lag.start()
    gevent.sleep(0.01)
    for _ in range(8):
        keep_busy(0.25)
        gevent.sleep(0.001)
    lag.close()
    assert lag.average_ms > 50.0


@pytest.mark.parametrize(("lag_ms", "delay_ms"), [(0.0, 0.0), (20.0, 60.0), (100.0, 300.0)])
def test_delay_of_a_job_follows_from_the_lag(lag_ms, delay_ms):
    lag = LoopLag(lambda name: None)
    for _ in range(200):
        lag.add_sample(lag_ms)
    assert lag.job_delay_ms() == pytest.approx(delay_ms, rel=0.01)


def test_rare_long_lags_count_with_the_time_that_they_take():
    """Jobs met a late event loop most of the time, but hardly any of its timers was late."""
    lag = LoopLag(lambda name: None)
    for _ in range(20):
        for sample_ms in (500.0, *[0.0] * 9):
            lag.add_sample(sample_ms)
    assert lag.average_ms < 60.0
    assert lag.job_delay_ms() > 3 * 100.0


def test_what_is_read_right_after_a_delay_has_waited_for_it():
    lag = LoopLag(lambda name: None)
    lag.start()
    gevent.sleep(0.01)
    keep_busy(0.3)
    assert lag.arrival_delay_ms() > 150.0
    lag.close()
