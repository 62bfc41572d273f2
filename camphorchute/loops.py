"""Greenlets that run a part's loop for as long as the process lives."""

from collections.abc import Callable

import gevent
from eliot import write_traceback

__all__ = ["spawn_loop"]

RESTART_MS = 100.0


def spawn_loop(name: str, loop: Callable[[], None], count: Callable[..., None]) -> gevent.Greenlet:
    """Run a loop in a greenlet; one that fails is counted, logged and started again.

    Args:
        name: name of the part, for the counter ``<name>.loop_failed``.
        loop: the loop; where it returns, the greenlet ends.
        count: adds to a named counter.

    Examples:
        >>> rounds = []
        >>> spawn_loop("doc", lambda: rounds.append(1), print).join()
        >>> rounds
        [1]
    """

    def run() -> None:
        while True:
            try:
                loop()
            except Exception:  # noqa: BLE001 - a part must not stop silently
                count(f"{name}.loop_failed")
                write_traceback()
                gevent.sleep(RESTART_MS / 1000)
            else:
                return

    return gevent.spawn(run)
