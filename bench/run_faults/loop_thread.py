"""A native thread with an event loop of its own, which can be blocked without the others."""

from collections import deque
from collections.abc import Callable

import gevent
from gevent import monkey
from gevent.threadpool import ThreadPool

__all__ = ["LoopThread"]

CHECK_INTERVAL_S = 0.001
MS_PER_S = 1000.0

_block = monkey.get_original("time", "sleep")


class LoopThread:
    """Runs functions in greenlets of a native thread with its own event loop.

    Examples:
        >>> thread = LoopThread()
        >>> thread.start()
        >>> thread.ask(lambda: 2 + 3)
        5
        >>> thread.close()
    """

    __slots__ = ("_pool", "_inbox", "_is_stopped", "_main")

    def __init__(self) -> None:
        self._pool = ThreadPool(1)
        self._inbox: deque[tuple] = deque()
        self._is_stopped = False
        self._main = None

    def start(self) -> None:
        """Start the thread."""
        self._main = self._pool.spawn(self._run)

    def close(self) -> None:
        """Stop the event loop with all its greenlets, and wait until the thread has ended."""
        self._is_stopped = True
        self._main.get()
        self._pool.kill()

    def call(self, function: Callable, *arguments: object) -> None:
        """Run a function in the thread, without waiting for it; calls start in their order.

        After :meth:`close` nothing happens.
        """
        if not self._is_stopped:
            self._inbox.append((function, *arguments))

    def ask(self, function: Callable, *arguments: object) -> object:
        """Run a function in the thread and return its result.

        Raises:
            Exception: whatever the function raised.
        """
        results: list[tuple[object, Exception | None]] = []
        self.call(self._record_result, results, function, arguments)
        while not results:
            gevent.sleep(CHECK_INTERVAL_S)
        value, error = results[0]
        if error is not None:
            raise error
        return value

    def block(self, duration_ms: float) -> None:
        """Block the event loop, as if the process was paused, for a time in milliseconds."""
        self.call(_block, duration_ms / MS_PER_S)

    def _run(self) -> None:
        while not self._is_stopped:
            while self._inbox:
                gevent.spawn(*self._inbox.popleft())
            gevent.sleep(CHECK_INTERVAL_S)

    @staticmethod
    def _record_result(results: list, function: Callable, arguments: tuple) -> None:
        try:
            results.append((function(*arguments), None))
        except Exception as error:  # noqa: BLE001 - raised again by the caller
            results.append((None, error))
