import re
import time
from pathlib import Path

import gevent
import pytest
from gevent.event import Event

from camphorchute import loops
from camphorchute.loops import spawn_loop, until_next_tick_s, wait_for_event

PACKAGE = Path(loops.__file__).parent
WAITS_OF_NO_EVENT = {
    "entry/caller_endpoints.py": 2,  # the answer to a submission
    "entry/daemon.py": 1,  # the signal to stop; the only waiter has no time-out
    "entry/hosted_process.py": 1,  # the same
    "loops.py": 1,
    "queues/queue_owner.py": 1,  # gevent.wait
}


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


def test_wait_ends_if_the_notification_of_the_other_waiters_is_cancelled():
    """Two loops with coinciding time-outs waited for one event, and one of them stopped for good.

    The event is set and both time-outs expire in one late pass of the event loop. The first waiter
    waits again at once; the second one times out, which cancels the notification of both.
    """
    event = Event()

    def wait_twice():
        wait_for_event(event, 0.05)
        wait_for_event(event, 0.05)

    repeated = gevent.spawn(wait_twice)
    single = gevent.spawn(wait_for_event, event, 0.0502)
    gevent.sleep(0)
    timer = gevent.get_hub().loop.timer(0.048)
    timer.start(event.set)
    late_until_s = time.monotonic() + 0.1
    while time.monotonic() < late_until_s:
        pass
    gevent.joinall([repeated, single], timeout=1.0)
    assert repeated.ready() and single.ready()


def test_every_wait_for_an_event_is_one_that_ends():
    """A loop that calls ``Event.wait`` itself can stop for good."""
    waits = {
        str(path.relative_to(PACKAGE)): len(re.findall(r"\.wait\(", path.read_text()))
        for path in PACKAGE.rglob("*.py")
        if "tests" not in path.parts
    }
    assert {path: count for path, count in waits.items() if count} == WAITS_OF_NO_EVENT
