import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from camphorchute import observation_clock as module
from camphorchute.observation_clock import ObservationClock

ROUNDING_S = 1e-9


class SteadyClock:
    """Stands for the monotonic clock."""

    def __init__(self):
        self.now_s = 100.0

    def monotonic(self):
        return self.now_s


@pytest.fixture
def steady(monkeypatch):
    clock = SteadyClock()
    monkeypatch.setattr(module, "time", clock)
    return clock


def run(clock, steady, steps_ms):
    """Tick after each step; return the time that the clock has counted, in milliseconds."""
    clock.tick()
    start_s = clock.now_s()
    for step_ms in steps_ms:
        steady.now_s += step_ms / 1000
        clock.tick()
    return round((clock.now_s() - start_s) * 1000)


@pytest.mark.parametrize(
    ("steps_ms", "counted_ms"),
    [
        ([50] * 20, 1000),
        ([75] * 20, 1500),
        ([50, 500, 50], 175),
        ([2075], 75),
        ([5000], 3000),
        ([300] * 10, 750),
    ],
    ids=[
        "in time",
        "slightly late",
        "one pause",
        "longest pause",
        "suspended",
        "too little processor time",
    ],
)
def test_time_in_which_the_event_loop_was_late_is_not_counted(steady, steps_ms, counted_ms):
    assert run(ObservationClock(), steady, steps_ms) == counted_ms


def test_time_of_a_large_transfer_is_not_counted(steady):
    clock = ObservationClock()
    clock.tick()
    start_s = clock.now_s()
    for _ in range(10):
        clock.record_transfer()
        assert clock.is_transfer_under_way()
        steady.now_s += 0.1
    assert clock.now_s() == pytest.approx(start_s)
    steady.now_s += 0.1
    clock.tick()
    assert clock.now_s() - start_s == pytest.approx(0.05)
    assert not clock.is_transfer_under_way()


def test_transfer_without_an_end_stops_the_clock_for_a_while_only(steady):
    clock = ObservationClock()
    clock.tick()
    start_s = clock.now_s()
    for _ in range(100):
        clock.record_transfer()
        steady.now_s += 0.05
        clock.tick()
    assert clock.now_s() - start_s == pytest.approx(2.0, abs=0.1)


def test_clock_never_goes_back(steady):
    clock, last_s = ObservationClock(), 0.0
    for number in range(200):
        steady.now_s += 0.013 * (number % 11)
        if number % 3 == 0:
            clock.tick()
        if number % 7 == 0:
            clock.record_transfer()
        if number % 50 == 0:
            clock.stop()
        assert clock.now_s() >= last_s - ROUNDING_S
        last_s = clock.now_s()


def test_clock_without_ticks_is_the_monotonic_clock():
    clock = ObservationClock()
    before_s = time.monotonic()
    assert before_s <= clock.now_s() <= time.monotonic()


def test_clock_goes_on_without_further_ticks(steady):
    """A clock whose ticks had ended stood still, and time-outs never came."""
    clock = ObservationClock()
    clock.tick()
    before_s = clock.now_s()
    steady.now_s += 2.0
    assert clock.now_s() - before_s < 0.1
    steady.now_s += 2.0
    assert clock.now_s() - before_s > 1.9


def test_transfer_does_not_start_a_clock_without_ticks(steady):
    """A process that ticks no clock waited for ever after its first large answer."""
    clock = ObservationClock()
    clock.record_transfer()
    before_s = clock.now_s()
    steady.now_s += 0.5
    assert clock.now_s() - before_s == pytest.approx(0.5)


@given(
    st.lists(
        st.tuples(st.sampled_from(["tick", "transfer", "stop", "wait"]), st.integers(0, 4000)),
        max_size=20,
    )
)
def test_short_way_to_the_time_changes_nothing(events):
    """Guards against a clock that goes on while a transfer or a delay should stop it."""
    steady = SteadyClock()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(module, "time", steady)
        clock = ObservationClock()
        for event, step_ms in events:
            steady.now_s += step_ms / 1000
            if event == "tick":
                clock.tick()
            elif event == "transfer":
                clock.record_transfer()
            elif event == "stop":
                clock.stop()
            times_s = clock.now_s(), clock.unobserved_s()
            in_step_until_s, clock._in_step_until_s = clock._in_step_until_s, 0.0
            assert (clock.now_s(), clock.unobserved_s()) == pytest.approx(times_s, abs=ROUNDING_S)
            clock._in_step_until_s = in_step_until_s
