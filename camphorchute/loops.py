"""Background loops of components: started again when they fail, woken by ticks and events."""

import random
import time
from collections.abc import Callable

import gevent
from eliot import write_traceback
from gevent.event import Event

__all__ = ["spawn_loop", "until_next_tick_s", "wait_for_event"]

RESTART_DELAY_MS = 100.0
MS_PER_S = 1000.0
_PHASE_S = random.random()  # processes that share a clock do not all wake at the same time


def spawn_loop(name: str, loop: Callable[[], None], count: Callable[..., None]) -> gevent.Greenlet:
    """Run a loop in a greenlet; if it raises, count and log the error and start it again.

    Args:
        name: name of the component, for the counter ``<name>.loop_failed``.
        loop: the function to run; the greenlet ends when it returns.
        count: increments the counter with the given name.

    Examples:
        >>> rounds = []
        >>> spawn_loop("doc", lambda: rounds.append(1), print).join()
        >>> rounds
        [1]
    """

    def run_until_return() -> None:
        while True:
            try:
                loop()
            except Exception:  # noqa: BLE001 - a component must not stop silently
                count(f"{name}.loop_failed")
                write_traceback()
                gevent.sleep(RESTART_DELAY_MS / 1000)
            else:
                return

    return gevent.spawn(run_until_return)


def until_next_tick_s(interval_ms: float) -> float:
    """Return the time until the next tick of an interval, in seconds.

    The ticks of an interval and of its multiples fall together, so that loops which wait for them
    wake the process once.

    Args:
        interval_ms: interval between two ticks, in milliseconds.

    Examples:
        >>> 0 < until_next_tick_s(50.0) <= 0.05
        True
    """
    interval_s = interval_ms / MS_PER_S
    return interval_s - (time.monotonic() + _PHASE_S) % interval_s


def wait_for_event(event: Event, timeout_s: float | None = None) -> bool:
    """Wait until an event is set, and return whether it is.

    ``Event.wait`` of gevent does not time out if the event is set already and its other waiters are
    about to be notified. If all of these time out in the same pass of the event loop, their
    notification is cancelled, and the wait never ends.

    Args:
        event: the event.
        timeout_s: longest time to wait, without a limit if None.

    Examples:
        >>> event = Event()
        >>> wait_for_event(event, 0.001)
        False
        >>> event.set()
        >>> wait_for_event(event)
        True
    """
    return event.is_set() or event.wait(timeout_s)
