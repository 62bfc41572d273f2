"""Batched, rate-limited writes of durable job records."""

import time
from collections import deque
from collections.abc import Callable

import gevent
from gevent.event import AsyncResult, Event

from camphorchute.hosting import (
    ConditionalWrite,
    Store,
    StoreUnavailable,
    SwapAllConflict,
    SwapConflict,
    SwapUnknown,
)
from camphorchute.loops import spawn_loop, wait_for_event

__all__ = ["JobWriter"]

BATCH_BYTES_MAX = 512 * 1024
BURST_CALLS_MAX = 4.0
MS_PER_S = 1000.0


class _PendingWrite:
    """A pending change and the future of its result."""

    __slots__ = ("change", "result")

    def __init__(self, change: ConditionalWrite) -> None:
        self.change = change
        self.result = AsyncResult()


class JobWriter:
    """Writes records to the store, several in one call.

    Changes are collected while a call is in progress or the rate limit does not allow one yet.

    Args:
        store: the platform's store.
        pause_ms: returns the mean time between two calls, in milliseconds, that keeps all
            processes together within the store's rate limit; a few calls may follow each
            other sooner.
        count: adds to a named counter.
    """

    __slots__ = ("_store", "_pause_ms", "_count", "_pending", "_has_pending", "_greenlet")

    def __init__(
        self, store: Store, pause_ms: Callable[[], float], count: Callable[..., None]
    ) -> None:
        self._store = store
        self._pause_ms = pause_ms
        self._count = count
        self._pending: deque[_PendingWrite] = deque()
        self._has_pending = Event()
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start writing pending changes."""
        self._greenlet = spawn_loop("keeping", self._write_pending, self._count)

    def close(self) -> None:
        """Stop writing; pending writes fail with `StoreUnavailable`."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        while self._pending:
            error = StoreUnavailable("write cancelled: this process is stopping")
            self._pending.popleft().result.set_exception(error)

    def write(self, key: str, value: bytes | None, expected_revision: int) -> int:
        """Write a key if its revision is the expected one, and wait for the result.

        Args:
            key: the key.
            value: the new value, None to remove the key.
            expected_revision: mod revision of the last write, 0 if the key must not exist.

        Returns:
            The new mod revision.

        Raises:
            StoreUnavailable: nothing was written.
            SwapConflict: another write came first.
            SwapUnknown: the write may have taken effect or may still do so.
        """
        write = _PendingWrite(ConditionalWrite(key, value, expected_revision))
        self._pending.append(write)
        self._has_pending.set()
        return write.result.get()

    def _write_pending(self) -> None:
        allowed_calls, refilled_s = BURST_CALLS_MAX, time.monotonic()
        while True:
            wait_for_event(self._has_pending)
            if not self._pending:
                self._has_pending.clear()
                continue
            pause_s = self._pause_ms() / MS_PER_S
            now_s = time.monotonic()
            allowed_calls = min(BURST_CALLS_MAX, allowed_calls + (now_s - refilled_s) / pause_s)
            refilled_s = now_s
            if allowed_calls < 1:
                gevent.sleep((1 - allowed_calls) * pause_s)
                continue
            allowed_calls -= 1
            self._write_batch(self._next_batch())

    def _next_batch(self) -> list[_PendingWrite]:
        """Remove and return pending writes of distinct keys, up to the limits of a call."""
        batch: list[_PendingWrite] = []
        keys: set[str] = set()
        size_bytes = 0
        while self._pending and len(batch) < self._store.max_changes:
            change = self._pending[0].change
            size_bytes += len(change.value or b"")
            if change.key in keys or (batch and size_bytes > BATCH_BYTES_MAX):
                break
            keys.add(change.key)
            batch.append(self._pending.popleft())
        return batch

    def _write_batch(self, batch: list[_PendingWrite]) -> None:
        self._count("keeping.writes", len(batch))
        try:
            revision = self._store.swap_all([write.change for write in batch])
        except SwapAllConflict as conflict:
            self._handle_conflicts(batch, conflict)
        except SwapUnknown as unknown:
            self._count("keeping.retry.write_unknown")
            for write in batch:
                gevent.spawn(self._resolve_unknown_write, write, unknown)
        except StoreUnavailable as error:
            self._count("keeping.retry.write_failed")
            for write in batch:
                write.result.set_exception(error)
        else:
            for write in batch:
                write.result.set(revision)

    def _handle_conflicts(self, batch: list[_PendingWrite], conflict: SwapAllConflict) -> None:
        """Fail the writes whose revision was outdated and retry the others."""
        retried = []
        for write in batch:
            key = write.change.key
            if key in conflict.current_values:
                write.result.set_exception(SwapConflict(key, conflict.current_values[key]))
            else:
                retried.append(write)
        if len(retried) == len(batch):
            for write in retried:
                write.result.set_exception(
                    StoreUnavailable("store rejected the batch without naming a conflicting key")
                )
            return
        self._pending.extendleft(reversed(retried))

    def _resolve_unknown_write(self, write: _PendingWrite, unknown: SwapUnknown) -> None:
        """Read a key to determine whether its write took effect although the reply was lost."""
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
