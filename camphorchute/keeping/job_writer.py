"""Writes records of kept jobs, several in one call of the store."""

import time
from collections import deque
from collections.abc import Callable

import gevent
from gevent.event import AsyncResult, Event

from camphorchute.hosting import (
    Change,
    Store,
    StoreUnavailable,
    SwapAllLost,
    SwapLost,
    SwapUnknown,
)
from camphorchute.loops import spawn_loop

__all__ = ["JobWriter"]

BATCH_BYTES_MAX = 512 * 1024
BURST_CALLS = 4.0
MS_PER_S = 1000.0


class _Write:
    """A change that waits for its turn."""

    __slots__ = ("change", "result")

    def __init__(self, change: Change) -> None:
        self.change = change
        self.result = AsyncResult()


class JobWriter:
    """Gathers changes while a call is under way or the pace does not allow one yet.

    Args:
        store: the platform's store.
        pause_ms: returns the mean time between two calls that keeps all processes together
            within the store's rate; a few calls may follow each other sooner.
        count: adds to a named counter.
    """

    __slots__ = ("_store", "_pause_ms", "_count", "_pending", "_wanted", "_greenlet")

    def __init__(
        self, store: Store, pause_ms: Callable[[], float], count: Callable[..., None]
    ) -> None:
        self._store = store
        self._pause_ms = pause_ms
        self._count = count
        self._pending: deque[_Write] = deque()
        self._wanted = Event()
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Write what is asked for."""
        self._greenlet = spawn_loop("keeping", self._flush_all, self._count)

    def close(self) -> None:
        """Write no more; what waits ends as not written."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        while self._pending:
            error = StoreUnavailable("this process is stopping")
            self._pending.popleft().result.set_exception(error)

    def write(self, key: str, value: bytes | None, expected_revision: int) -> int:
        """Write a key if it was last written at the expected revision.

        Returns:
            The new mod revision.

        Raises:
            StoreUnavailable: nothing was written.
            SwapLost: another write came first.
            SwapUnknown: the write may have taken effect or may still do so.
        """
        write = _Write(Change(key, value, expected_revision))
        self._pending.append(write)
        self._wanted.set()
        return write.result.get()

    def _flush_all(self) -> None:
        calls, counted_s = BURST_CALLS, time.monotonic()
        while True:
            self._wanted.wait()
            if not self._pending:
                self._wanted.clear()
                continue
            pause_s = self._pause_ms() / MS_PER_S
            now_s = time.monotonic()
            calls = min(BURST_CALLS, calls + (now_s - counted_s) / pause_s)
            counted_s = now_s
            if calls < 1:
                gevent.sleep((1 - calls) * pause_s)
                continue
            calls -= 1
            self._flush(self._next_batch())

    def _next_batch(self) -> list[_Write]:
        """Take waiting writes of different keys off, up to the limits of a call."""
        batch: list[_Write] = []
        keys: set[str] = set()
        size_bytes = 0
        while self._pending and len(batch) < self._store.changes_max:
            change = self._pending[0].change
            size_bytes += len(change.value or b"")
            if change.key in keys or (batch and size_bytes > BATCH_BYTES_MAX):
                break
            keys.add(change.key)
            batch.append(self._pending.popleft())
        return batch

    def _flush(self, batch: list[_Write]) -> None:
        self._count("keeping.writes", len(batch))
        try:
            revision = self._store.swap_all([write.change for write in batch])
        except SwapAllLost as lost:
            self._take_lost(batch, lost)
        except SwapUnknown as unknown:
            self._count("keeping.retry.write_unknown")
            for write in batch:
                self._check(write, unknown)
        except StoreUnavailable as error:
            self._count("keeping.retry.write_failed")
            for write in batch:
                write.result.set_exception(error)
        else:
            for write in batch:
                write.result.set(revision)

    def _take_lost(self, batch: list[_Write], lost: SwapAllLost) -> None:
        """Fail the writes that came too late and try the others again."""
        others = []
        for write in batch:
            key = write.change.key
            if key in lost.currents:
                write.result.set_exception(SwapLost(key, lost.currents[key]))
            else:
                others.append(write)
        if len(others) == len(batch):
            for write in others:
                write.result.set_exception(StoreUnavailable("refused without a reason"))
            return
        self._pending.extendleft(reversed(others))

    def _check(self, write: _Write, unknown: SwapUnknown) -> None:
        """Tell by a read whether a write whose answer was lost has taken effect."""
        change = write.change
        try:
            current = self._store.get(change.key)
        except StoreUnavailable:
            write.result.set_exception(unknown)
            return
        if current is not None and current.value == change.value:
            write.result.set(current.mod_revision)
        else:
            write.result.set_exception(unknown)
