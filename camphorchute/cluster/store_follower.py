"""Follows the keys under one prefix of the platform's store and passes changes to a view."""

import random
import time
from collections.abc import Callable

import gevent

from camphorchute.cluster.cluster_view import ClusterView
from camphorchute.hosting import WATCH_RESPONSE_TIMEOUT_MS, Store, StoreRefused, StoreUnavailable
from camphorchute.loops import spawn_loop

__all__ = ["StoreFollower"]

RETRY_MIN_MS = 100.0
RETRY_MAX_MS = 800.0
WATCH_LIFETIME_S = 3600.0
WATCH_AFTER_FAILURE_S = 1.0
LISTING_WAIT_MAX_MS = 1000.0
MS_PER_S = 1000.0


class StoreFollower:
    """Reads all keys under a prefix, then watches the prefix for changes.

    The keys are read again if the store no longer holds the changes since the last one seen.

    Args:
        store: the platform's store.
        prefix: start of the keys to follow.
        view: receives listings (``apply_listing``) and changes (``apply_change``).
        count: adds to a named counter.
        batching_ms: how long the store may collect changes to deliver them together.
        response_timeout_ms: how long a watch waits for an answer before its connection is
            abandoned.
    """

    __slots__ = (
        "_store",
        "_prefix",
        "_view",
        "_count",
        "_batching_ms",
        "_response_timeout_ms",
        "_revision",
        "_listing_due_s",
        "_greenlet",
        "_has_failed",
        "_retry_pause_ms",
    )

    def __init__(
        self,
        store: Store,
        prefix: str,
        view: ClusterView,
        count: Callable[..., None],
        batching_ms: float = 0.0,
        response_timeout_ms: float = WATCH_RESPONSE_TIMEOUT_MS,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._view = view
        self._count = count
        self._batching_ms = batching_ms
        self._response_timeout_ms = response_timeout_ms
        self._revision = 0
        self._listing_due_s: float | None = None
        self._greenlet: gevent.Greenlet | None = None
        self._has_failed = False
        self._retry_pause_ms = RETRY_MIN_MS

    def start(self) -> None:
        """Start to follow the prefix."""
        self._greenlet = spawn_loop("roster", self._follow_changes, self._count)

    def close(self) -> None:
        """Stop following the prefix."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        self._store.outage.forget_user(self._prefix)

    def read_again(self) -> None:
        """Read all keys again now, as a watch delivers the changes of a long pause in parts."""
        self._listing_due_s = time.monotonic()
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        self.start()

    def is_current(self) -> bool:
        """Return whether no listing is due, or the store does not answer it in time."""
        due_s = self._listing_due_s
        return due_s is None or (time.monotonic() - due_s) * MS_PER_S > LISTING_WAIT_MAX_MS

    def _follow_changes(self) -> None:
        while True:
            try:
                if not self._revision or self._listing_due_s is not None:
                    self._read_all_keys()
                self._watch_changes()
            except StoreRefused:
                self._count("roster.retry.history_dropped")
                self._revision = 0
            except StoreUnavailable as error:
                self._wait_before_retry(error)

    def _read_all_keys(self) -> None:
        listing = self._store.list(self._prefix)
        self._view.apply_listing(self._prefix, list(listing.values), listing.revision)
        self._revision = listing.revision
        self._listing_due_s = None
        self._record_answer()

    def _watch_changes(self) -> None:
        """Watch the prefix; a watch that ends without an error has been answered.

        The first watch after a failure is short, so that the store counts as lost no longer than
        it is if no key changes.
        """
        lifetime_s, response_timeout_ms = WATCH_LIFETIME_S, self._response_timeout_ms
        if self._has_failed:
            lifetime_s = WATCH_AFTER_FAILURE_S
            response_timeout_ms = min(response_timeout_ms, lifetime_s * MS_PER_S)
        changes = self._store.watch(
            self._prefix, self._revision + 1, lifetime_s, self._batching_ms, response_timeout_ms
        )
        for change in changes:
            self._revision = max(self._revision, change.mod_revision)
            self._view.apply_change(change)
            self._record_answer()
        self._record_answer()

    def _record_answer(self) -> None:
        """Record that the store answered, and reset the retry pause."""
        self._has_failed = False
        self._retry_pause_ms = RETRY_MIN_MS
        self._store.outage.record_answer(self._prefix)

    def _wait_before_retry(self, error: Exception) -> None:
        """Record a failed call, then sleep for an exponentially growing pause."""
        self._count("roster.retry.store_unavailable")
        self._has_failed = True
        self._store.outage.record_failure(self._prefix, str(error))
        gevent.sleep(random.uniform(0.5, 1.0) * self._retry_pause_ms / MS_PER_S)
        self._retry_pause_ms = min(RETRY_MAX_MS, self._retry_pause_ms * 2)
