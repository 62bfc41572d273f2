"""After a pause a process waits until its event loop has read what its connections show."""

import pytest

from camphorchute import pause_watch
from camphorchute.pause_watch import PauseWatch


@pytest.fixture
def clock(monkeypatch):
    """The uptime in seconds, as the only item of a list."""
    uptime_s = [100.0]
    monkeypatch.setattr(pause_watch, "_uptime_s", lambda: uptime_s[0])
    return uptime_s


# A process that had been paused started a task again, before it saw that the caller had left and
# sent the job to another process: one pass of its event loop took longer than the time to settle.
@pytest.mark.parametrize(
    ("steps_s", "is_settled"),
    [
        ([], False),
        ([0.03], False),
        ([0.03, 0.03], False),
        ([0.001, 0.001, 0.001], False),
        ([0.01, 0.01, 0.01], True),
        ([0.03, 0.03, 0.03], True),
        ([0.03, 0.03, 0.03, 1.0], False),
    ],
)
def test_process_is_settled_after_some_time_and_some_passes_of_its_loop(clock, steps_s, is_settled):
    watch = PauseWatch()
    clock[0] += 2.0
    assert watch.tick()
    assert watch.last_pause_ms == 2000.0
    for step_s in steps_s:
        clock[0] += step_s
        watch.tick()
    assert watch.is_settled() is is_settled
