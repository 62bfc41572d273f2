"""Markers in the store of the shards that need an owner, since a durable job was submitted."""

from collections.abc import Callable

import gevent

from camphorchute.cluster import OWN_PREFIX, ClusterView
from camphorchute.durable_jobs.durable_job_record import JOB_KEY_PREFIX
from camphorchute.durable_jobs.job_writer import JobWriter
from camphorchute.hosting import Store, StoredValue, StoreUnavailable, SwapConflict, SwapUnknown
from camphorchute.loops import spawn_loop

__all__ = ["NEVER_OWNED", "OWNED", "SHARD_MARKER_KEY_PREFIX", "ShardMarkers"]

SHARD_MARKER_KEY_PREFIX = OWN_PREFIX + "kept-shards/"
NEVER_OWNED = b"new"
OWNED = b"owned"
LISTING_RETRY_MS = 500.0
MS_PER_S = 1000.0


class ShardMarkers:
    """Knows which shards need an owner: those of which a durable job was ever submitted.

    A process that accepts a job marks the job's shard before it writes the record. A marker is
    never removed. An owner writes into the marker that the shard has been owned before it opens the
    shard, so the first owner knows that it has no predecessor. Records without a marker are those
    of an earlier version; they are found by one listing at the start.

    Args:
        store: the platform's store.
        view: the cluster view.
        count: adds to a named counter.

    Attributes:
        is_loaded: whether the records that were stored before the start of this process are known.
    """

    __slots__ = ("is_loaded", "_store", "_count", "_markers", "_known_shards", "_greenlet")

    def __init__(self, store: Store, view: ClusterView, count: Callable[..., None]) -> None:
        self.is_loaded = False
        self._store = store
        self._count = count
        self._markers = view.track_prefix(SHARD_MARKER_KEY_PREFIX)
        self._known_shards: set[int] = set()
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start reading the records in the store."""
        self._greenlet = spawn_loop("keeping", self._find_records, self._count)

    def close(self) -> None:
        """Stop reading the records."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def needs_owner(self, shard: int) -> bool:
        """Return whether a shard may have durable jobs.

        Args:
            shard: the shard.
        """
        return shard in self._known_shards or _marker_key(shard) in self._markers

    def add_claimed(self, shard: int) -> None:
        """Record that a process has claimed a shard; one of an earlier version marks none.

        Args:
            shard: the shard.
        """
        self._known_shards.add(shard)

    def mark(self, shard: int, writer: JobWriter) -> None:
        """Mark a shard before the first record of one of its jobs is written.

        Args:
            shard: the shard.
            writer: writes the marker.

        Raises:
            StoreUnavailable: it is not known whether the store has a marker.
        """
        key = _marker_key(shard)
        if key in self._markers:
            return
        try:
            revision = writer.write(key, NEVER_OWNED, 0)
        except SwapConflict as conflict:
            self._apply_conflict(conflict)
        except SwapUnknown as error:
            raise StoreUnavailable(f"marker of shard {shard}: {error}") from error
        else:
            self._count("keeping.shard_marked")
            self._markers.setdefault(key, StoredValue(key, NEVER_OWNED, revision))

    def confirm_owned(self, shard: int) -> bool:
        """Write into the marker that a shard has an owner; return whether it had none before.

        Args:
            shard: the shard, which this process has claimed.

        Raises:
            StoreUnavailable: the store did not confirm the marker.
        """
        key = _marker_key(shard)
        current = self._markers.get(key)
        if current is not None and current.value == OWNED:
            return False
        try:
            revision = self._store.swap(key, OWNED, current.mod_revision if current else 0)
        except SwapConflict as conflict:
            self._apply_conflict(conflict)
            if conflict.current.value == OWNED:
                return False
            raise StoreUnavailable(f"marker of shard {shard} has changed") from conflict
        except SwapUnknown as error:
            raise StoreUnavailable(f"marker of shard {shard}: {error}") from error
        self._markers[key] = StoredValue(key, OWNED, revision)
        return current is not None and shard not in self._known_shards

    def _apply_conflict(self, conflict: SwapConflict) -> None:
        """Keep the marker that another process wrote.

        Raises:
            StoreUnavailable: the store rejected the write without one.
        """
        if conflict.current is None:
            raise StoreUnavailable(f"no marker where one was expected: {conflict}") from conflict
        self._markers[conflict.current.key] = conflict.current

    def _find_records(self) -> None:
        """List the records once, until the store answers."""
        while not self.is_loaded:
            try:
                listing = self._store.list(JOB_KEY_PREFIX)
            except StoreUnavailable:
                self._count("keeping.retry.list_records")
                gevent.sleep(LISTING_RETRY_MS / MS_PER_S)
                continue
            for value in listing.values:
                shard_text = value.key.removeprefix(JOB_KEY_PREFIX).partition("/")[0]
                if shard_text.isascii() and shard_text.isdecimal():
                    self._known_shards.add(int(shard_text))
            self.is_loaded = True


def _marker_key(shard: int) -> str:
    return f"{SHARD_MARKER_KEY_PREFIX}{shard:02}"
