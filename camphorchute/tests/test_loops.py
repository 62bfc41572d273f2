import pytest

from camphorchute import loops
from camphorchute.loops import spawn_loop, until_next_tick_s


@pytest.mark.parametrize("failures", [0, 1, 3])
def test_loop_that_fails_is_started_again(monkeypatch, failures):
    monkeypatch.setattr(loops, "RESTART_DELAY_MS", 1.0)
    rounds, counted = [], []

    def loop():
        rounds.append(1)
        if len(rounds) <= failures:
            raise KeyError("group")

    spawn_loop("roster", loop, counted.append).join(2.0)
    assert len(rounds) == failures + 1
    assert counted == ["roster.loop_failed"] * failures


@pytest.mark.parametrize("now_s", [0.0, 0.049, 17.123, 99.951])
@pytest.mark.parametrize("interval_ms", [50.0, 100.0, 200.0])
def test_ticks_of_intervals_fall_together(monkeypatch, now_s, interval_ms):
    monkeypatch.setattr(loops.time, "monotonic", lambda: now_s)
    wait_s = until_next_tick_s(interval_ms)
    assert 0 < wait_s <= interval_ms / 1000
    monkeypatch.setattr(loops.time, "monotonic", lambda: now_s + wait_s + 1e-6)
    shortest_ms = min(50.0, interval_ms)
    assert until_next_tick_s(shortest_ms) == pytest.approx(shortest_ms / 1000, abs=1e-5)
