"""Greenlets that run the background loop of a component and restart it when it fails."""

from collections.abc import Callable

import gevent
from eliot import write_traceback

__all__ = ["spawn_loop"]

RESTART_DELAY_MS = 100.0


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
