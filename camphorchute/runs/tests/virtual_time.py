"""Virtual time: the event loop of a test goes from timer to timer without waiting."""

import heapq
import itertools
import random
import time
from types import SimpleNamespace
from unittest import mock

import gevent
from gevent.hub import get_hub

from camphorchute import loops, pause_watch
from camphorchute.decision_log import DecisionLog, log_decision
from camphorchute.runs import leased_worker, start_announcements

__all__ = ["VirtualTime"]

START_S = 1000.0
IDLE_S = 0.001
STEP_MIN_S = 1e-6  # less may not change the time, as it is rounded


class VirtualTimer:
    """A timer of the virtual event loop, with the interface of one of gevent."""

    def __init__(self, clock, after_s):
        self._clock, self._after_s = clock, after_s
        self._fired, self.is_set = None, False
        self.callback, self.args = None, ()

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self.close()

    @property
    def active(self):
        """Whether it is set."""
        return self.is_set

    @property
    def pending(self):
        """Whether its callback is about to be called."""
        return self._fired is not None and self._fired.pending

    def start(self, callback, *args, **options):
        """Call a callback once the time has passed."""
        self.callback, self.args, self.is_set = callback, args, True
        self._clock.add(self, self._after_s)

    def fire(self, loop):
        """Call the callback from the event loop."""
        self.is_set = False
        self._fired = loop.run_callback(self.callback, *self.args)

    def stop(self):
        """Call nothing any more."""
        self.is_set = False
        if self.pending:
            self._fired.stop()

    close = stop


class VirtualLoop:
    """The event loop of a thread with other timers."""

    def __init__(self, loop, clock):
        self._loop, self._clock = loop, clock

    def __getattr__(self, name):
        return getattr(self._loop, name)

    def timer(self, after_s, repeat_s=0.0, ref=True, priority=None):
        """Return a timer."""
        return VirtualTimer(self._clock, after_s)


class VirtualTime:
    """Context in which time passes only while every greenlet waits.

    The monotonic clock of the process shows that time, and schedulers draw the same random numbers
    each time, so that a test which uses no sockets takes the same course each time. The rate limit
    of the log has a state of its own meanwhile.

    Examples:
        >>> with VirtualTime() as clock:
        ...     gevent.sleep(3600.0)
        ...     clock.now_s - START_S
        3600.0
    """

    def __init__(self):
        self.now_s = START_S
        self._timers, self._numbers = [], itertools.count()
        self._patches, self._driver = [], None
        self._log, self._log_state = log_decision.__self__, {}

    def __enter__(self):
        self._hub = get_hub()
        self._loop = self._hub.loop
        same_random = SimpleNamespace(Random=lambda: random.Random(1))
        self._patches = [
            mock.patch.object(time, "monotonic", lambda: self.now_s),
            mock.patch.object(pause_watch, "_uptime_s", lambda: self.now_s),
            mock.patch.object(loops, "_PHASE_S", 0.0),
            mock.patch.object(leased_worker, "random", same_random),
            mock.patch.object(start_announcements, "random", random.Random(1)),
        ]
        self._log_state = _state_of(self._log)
        for patch in self._patches:
            patch.start()
        _set_state(self._log, _state_of(DecisionLog()))
        self._hub.loop = VirtualLoop(self._loop, self)
        self._driver = gevent.spawn(self._drive)
        return self

    def __exit__(self, *error):
        self._driver.kill()
        self._hub.loop = self._loop
        for patch in self._patches:
            patch.stop()
        _set_state(self._log, self._log_state)

    def add(self, timer, after_s):
        """Let a timer fire after a time."""
        due_s = self.now_s + max(STEP_MIN_S, after_s)
        heapq.heappush(self._timers, (due_s, next(self._numbers), timer))

    def _drive(self):
        while True:
            gevent.sleep(0)
            if len(self._loop._callbacks):
                continue
            while self._timers and not self._timers[0][2].is_set:
                heapq.heappop(self._timers)
            if self._timers:
                self.now_s, _, timer = heapq.heappop(self._timers)
                timer.fire(self._loop)
            else:
                self._hub.wait(self._loop.timer(IDLE_S))


def _state_of(log):
    """Return the attributes of a log."""
    return {name: getattr(log, name) for name in type(log).__slots__}


def _set_state(log, state):
    for name, value in state.items():
        setattr(log, name, value)
