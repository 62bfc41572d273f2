"""In-memory keys with the revisions, history and leases of etcd."""

import time
from collections.abc import Iterator
from itertools import count

import gevent
from gevent.event import Event

__all__ = ["MAX_HISTORY_EVENTS", "Keyspace", "KeyState", "KeyspaceError", "WriteEvent"]

MAX_HISTORY_EVENTS = 50_000
MAX_VALUE_BYTES = 1_048_576
EXPIRY_CHECK_INTERVAL_MS = 50.0


class KeyspaceError(ValueError):
    """An operation is invalid; nothing was written."""


class KeyState:
    """State of a key at one revision; the fields are those of etcd.

    Args:
        key: the key.
        value: its value, empty after a deletion.
        create_revision: revision at which the key was created, 0 after a deletion.
        mod_revision: revision of this write.
        version: number of writes since the key was created, 0 after a deletion.
        lease_id: id of the lease that the key is attached to, 0 if there is none.
    """

    __slots__ = ("key", "value", "create_revision", "mod_revision", "version", "lease_id")

    def __init__(
        self,
        key: bytes,
        value: bytes,
        create_revision: int,
        mod_revision: int,
        version: int,
        lease_id: int,
    ) -> None:
        self.key = key
        self.value = value
        self.create_revision = create_revision
        self.mod_revision = mod_revision
        self.version = version
        self.lease_id = lease_id


class WriteEvent:
    """One write to a key.

    Args:
        state: state of the key after the write.
        deleted: whether the write is a deletion.
    """

    __slots__ = ("state", "deleted")

    def __init__(self, state: KeyState, deleted: bool) -> None:
        self.state = state
        self.deleted = deleted


class Lease:
    """A lease.

    Args:
        ttl_s: time to live in seconds.

    Attributes:
        ttl_s: time to live in seconds.
        expires_s: monotonic time at which it expires, in seconds.
    """

    __slots__ = ("ttl_s", "expires_s")

    def __init__(self, ttl_s: int) -> None:
        self.ttl_s = ttl_s
        self.renew()

    def renew(self) -> None:
        """Restart the time to live."""
        self.expires_s = time.monotonic() + self.ttl_s


class Keyspace:
    """The keys, the history of recent writes and the leases.

    Attributes:
        revision: revision of the latest write.
        compacted_revision: highest revision whose events were dropped from the history.
        key_written: event that the next write sets; each write replaces it.

    Examples:
        >>> keys = Keyspace()
        >>> keys.put(b"/a", b"1", 0, keys.revision + 1)
        >>> [state.mod_revision for state in keys.range(b"/a", b"")]
        [2]
    """

    def __init__(self) -> None:
        self.revision = 1
        self.compacted_revision = 0
        self.key_written = Event()
        self._states_by_key: dict[bytes, KeyState] = {}
        self._history: list[WriteEvent] = []
        self._leases: dict[int, Lease] = {}
        self._lease_ids = count(7_000_001)
        self._expiry_greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start expiring leases."""
        self._expiry_greenlet = gevent.spawn(self._expire_leases)

    def close(self) -> None:
        """Stop expiring leases."""
        if self._expiry_greenlet is not None:
            self._expiry_greenlet.kill()

    def range(self, key: bytes, range_end: bytes) -> list[KeyState]:
        """Return the states of the keys in a range, in the order of the keys.

        Args:
            key: first key of the range.
            range_end: key after the last one; empty for ``key`` alone, a zero byte for no end.
        """
        if not range_end:
            return [self._states_by_key[key]] if key in self._states_by_key else []
        matches = [
            candidate for candidate in self._states_by_key if in_range(candidate, key, range_end)
        ]
        return [self._states_by_key[candidate] for candidate in sorted(matches)]

    def check_put(self, value: bytes, lease_id: int) -> None:
        """Check that a put is valid.

        Args:
            value: the value to write.
            lease_id: id of the lease to attach the key to, 0 for none.

        Raises:
            KeyspaceError: the value is too long or the lease does not exist.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise KeyspaceError("etcdserver: request is too large")
        if lease_id and lease_id not in self._leases:
            raise KeyspaceError("etcdserver: requested lease not found")

    def put(self, key: bytes, value: bytes, lease_id: int, revision: int) -> None:
        """Write a key.

        Args:
            key: the key.
            value: its new value.
            lease_id: id of the lease to attach the key to, 0 for none.
            revision: revision of the write: the current one, to extend the latest write, or the
                next one.
        """
        previous = self._states_by_key.get(key)
        create_revision, version = (
            (previous.create_revision, previous.version) if previous else (revision, 0)
        )
        state = KeyState(key, value, create_revision, revision, version + 1, lease_id)
        self._states_by_key[key] = state
        self._append_event(WriteEvent(state, deleted=False), revision)

    def delete(self, key: bytes, range_end: bytes, revision: int) -> int:
        """Delete the keys of a range at a revision and return how many there were."""
        states = self.range(key, range_end)
        for state in states:
            del self._states_by_key[state.key]
            tombstone = KeyState(state.key, b"", 0, revision, 0, 0)
            self._append_event(WriteEvent(tombstone, deleted=True), revision)
        return len(states)

    def events(self, key: bytes, range_end: bytes, from_revision: int) -> Iterator[WriteEvent]:
        """Yield the writes to the keys of a range from a revision on, oldest first."""
        for event in self._history:
            state = event.state
            if state.mod_revision >= from_revision and in_range(state.key, key, range_end):
                yield event

    def grant_lease(self, ttl_s: int) -> int:
        """Grant a lease and return its id.

        Args:
            ttl_s: time to live in seconds.

        Raises:
            KeyspaceError: the time to live is not positive.
        """
        if ttl_s <= 0:
            raise KeyspaceError("etcdserver: too small lease TTL")
        lease_id = next(self._lease_ids)
        self._leases[lease_id] = Lease(ttl_s)
        return lease_id

    def renew_lease(self, lease_id: int) -> int:
        """Renew a lease and return its time to live in seconds, 0 if it does not exist."""
        lease = self._leases.get(lease_id)
        if lease is None:
            return 0
        lease.renew()
        return lease.ttl_s

    def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys at one revision.

        Raises:
            KeyspaceError: the lease does not exist.
        """
        if self._leases.pop(lease_id, None) is None:
            raise KeyspaceError("etcdserver: requested lease not found")
        revision = self.revision + 1
        leased_keys = [
            state.key for state in self._states_by_key.values() if state.lease_id == lease_id
        ]
        for key in leased_keys:
            self.delete(key, b"", revision)

    def revoke_all_leases(self) -> None:
        """Revoke every lease."""
        for lease_id in list(self._leases):
            self.revoke_lease(lease_id)

    def _append_event(self, event: WriteEvent, revision: int) -> None:
        self.revision = revision
        self._history.append(event)
        if len(self._history) > MAX_HISTORY_EVENTS:
            compacted_events = self._history[: MAX_HISTORY_EVENTS // 2]
            self.compacted_revision = compacted_events[-1].state.mod_revision
            self._history = self._history[MAX_HISTORY_EVENTS // 2 :]
        key_written, self.key_written = self.key_written, Event()
        key_written.set()

    def _expire_leases(self) -> None:
        while True:
            gevent.sleep(EXPIRY_CHECK_INTERVAL_MS / 1000.0)
            now_s = time.monotonic()
            for lease_id, lease in list(self._leases.items()):
                if lease.expires_s <= now_s:
                    self.revoke_lease(lease_id)


def in_range(name: bytes, key: bytes, range_end: bytes) -> bool:
    r"""Return whether a key is in the range from ``key`` to ``range_end``.

    The end is excluded; it is empty for ``key`` alone and a zero byte for no end.

    Examples:
        >>> in_range(b"/a/1", b"/a/", b"/a0"), in_range(b"/b", b"/a/", b"/a0")
        (True, False)
        >>> in_range(b"/b", b"/a", b"\x00")
        True
    """
    if not range_end:
        return name == key
    return name >= key and (range_end == b"\x00" or name < range_end)
