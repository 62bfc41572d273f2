import pytest

from camphorchute import loops
from camphorchute.loops import spawn_loop


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
