"""Keeps the shared view up to date from one part of the platform's store."""

import random
from collections.abc import Callable

import gevent
from eliot import log_message

from camphorchute.hosting import SILENT_MS, Store, StoreRefused, StoreUnavailable
from camphorchute.loops import spawn_loop
from camphorchute.roster.shared_view import SharedView

__all__ = ["StoreFollower"]

RETRY_MIN_MS = 100.0
RETRY_MAX_MS = 800.0
WATCH_LIFETIME_S = 3600.0
MS_PER_S = 1000.0


class StoreFollower:
    """Reads all keys under a prefix once, then follows the changes.

    Args:
        store: the platform's store.
        prefix: start of the keys that are followed.
        view: takes in what is read.
        count: adds to a named counter.
        gather_ms: for how long changes may be gathered before they are delivered together.
        silent_ms: how long a watch may be without an answer.
    """

    __slots__ = (
        "_store",
        "_prefix",
        "_view",
        "_count",
        "_gather_ms",
        "_silent_ms",
        "_revision",
        "_greenlet",
        "_reachable",
        "_pause_ms",
    )

    def __init__(
        self,
        store: Store,
        prefix: str,
        view: SharedView,
        count: Callable[..., None],
        gather_ms: float = 0.0,
        silent_ms: float = SILENT_MS,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._view = view
        self._count = count
        self._gather_ms = gather_ms
        self._silent_ms = silent_ms
        self._revision = 0
        self._greenlet: gevent.Greenlet | None = None
        self._reachable = True
        self._pause_ms = RETRY_MIN_MS

    def start(self) -> None:
        """Follow the store."""
        self._greenlet = spawn_loop("roster", self._follow, self._count)

    def close(self) -> None:
        """Stop following."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def _follow(self) -> None:
        while True:
            try:
                if not self._revision:
                    self._read_all()
                self._watch()
            except StoreRefused:
                self._count("roster.retry.history_dropped")
                self._revision = 0
            except StoreUnavailable as error:
                self._unreachable(error)

    def _read_all(self) -> None:
        listing = self._store.list(self._prefix)
        self._view.replace(self._prefix, list(listing.values))
        self._revision = listing.revision
        self._is_reachable()

    def _watch(self) -> None:
        changes = self._store.watch(
            self._prefix,
            self._revision + 1,
            WATCH_LIFETIME_S,
            self._gather_ms,
            self._silent_ms,
        )
        for change in changes:
            self._revision = max(self._revision, change.mod_revision)
            self._view.apply(change)
            self._is_reachable()

    def _is_reachable(self) -> None:
        self._pause_ms = RETRY_MIN_MS
        if not self._reachable:
            self._reachable = True
            log_message(message_type="roster", text=f"roster: store answers again: {self._prefix}")

    def _unreachable(self, error: Exception) -> None:
        self._count("roster.retry.store_unavailable")
        if self._reachable:
            self._reachable = False
            log_message(message_type="roster", text=f"roster: store does not answer: {error}")
        gevent.sleep(random.uniform(0.5, 1.0) * self._pause_ms / MS_PER_S)
        self._pause_ms = min(RETRY_MAX_MS, self._pause_ms * 2)
