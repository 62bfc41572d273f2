"""Keys, revisions and leases in the manner of etcd."""

import time
from collections.abc import Iterator
from itertools import count

import gevent
from gevent.event import Event

__all__ = ["HISTORY_EVENTS", "Keyspace", "KeyState", "KeyspaceError", "WriteEvent"]

HISTORY_EVENTS = 50_000
VALUE_MAX_BYTES = 1_048_576
EXPIRY_CHECK_MS = 50.0


class KeyspaceError(ValueError):
    """An operation is not valid; nothing was written."""


class KeyState:
    """A key at one revision."""

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
    """A put, or a deletion where ``deleted`` is set."""

    __slots__ = ("state", "deleted")

    def __init__(self, state: KeyState, deleted: bool) -> None:
        self.state = state
        self.deleted = deleted


class Lease:
    """A lease and when it expires."""

    __slots__ = ("ttl_s", "expires_s")

    def __init__(self, ttl_s: int) -> None:
        self.ttl_s = ttl_s
        self.renew()

    def renew(self) -> None:
        """Start the time to live anew."""
        self.expires_s = time.monotonic() + self.ttl_s


class Keyspace:
    """All keys, the latest writes and the leases.

    Examples:
        >>> keys = Keyspace()
        >>> keys.put(b"/a", b"1", 0, keys.revision + 1)
        >>> [state.mod_revision for state in keys.range(b"/a", b"")]
        [2]
    """

    def __init__(self) -> None:
        self.revision = 1
        self.compacted_revision = 0
        self.changed = Event()
        self._states: dict[bytes, KeyState] = {}
        self._history: list[WriteEvent] = []
        self._leases: dict[int, Lease] = {}
        self._lease_ids = count(7_000_001)
        self._expiry: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to expire leases."""
        self._expiry = gevent.spawn(self._expire_leases)

    def close(self) -> None:
        """Stop expiring leases."""
        if self._expiry is not None:
            self._expiry.kill()

    def range(self, key: bytes, range_end: bytes) -> list[KeyState]:
        """Return the keys of a range in order; one key where ``range_end`` is empty."""
        if not range_end:
            return [self._states[key]] if key in self._states else []
        matches = [name for name in self._states if in_range(name, key, range_end)]
        return [self._states[name] for name in sorted(matches)]

    def check_put(self, value: bytes, lease_id: int) -> None:
        """Raise an error if a put would not be valid."""
        if len(value) > VALUE_MAX_BYTES:
            raise KeyspaceError("etcdserver: request is too large")
        if lease_id and lease_id not in self._leases:
            raise KeyspaceError("etcdserver: requested lease not found")

    def put(self, key: bytes, value: bytes, lease_id: int, revision: int) -> None:
        """Write a key at a revision that is the current one or the next."""
        old = self._states.get(key)
        created, version = (old.create_revision, old.version) if old else (revision, 0)
        state = KeyState(key, value, created, revision, version + 1, lease_id)
        self._states[key] = state
        self._append(WriteEvent(state, deleted=False), revision)

    def delete(self, key: bytes, range_end: bytes, revision: int) -> int:
        """Delete a range and return how many keys were in it."""
        states = self.range(key, range_end)
        for state in states:
            del self._states[state.key]
            tombstone = KeyState(state.key, b"", 0, revision, 0, 0)
            self._append(WriteEvent(tombstone, deleted=True), revision)
        return len(states)

    def events(self, key: bytes, range_end: bytes, from_revision: int) -> Iterator[WriteEvent]:
        """Yield the writes of a range from a revision on."""
        for event in self._history:
            state = event.state
            if state.mod_revision >= from_revision and in_range(state.key, key, range_end):
                yield event

    def grant(self, ttl_s: int) -> int:
        """Return the id of a new lease."""
        if ttl_s <= 0:
            raise KeyspaceError("etcdserver: too small lease TTL")
        lease_id = next(self._lease_ids)
        self._leases[lease_id] = Lease(ttl_s)
        return lease_id

    def keep_alive(self, lease_id: int) -> int:
        """Renew a lease and return its time to live in seconds, 0 where there is none."""
        lease = self._leases.get(lease_id)
        if lease is None:
            return 0
        lease.renew()
        return lease.ttl_s

    def revoke(self, lease_id: int) -> None:
        """End a lease and delete its keys at one revision."""
        if self._leases.pop(lease_id, None) is None:
            raise KeyspaceError("etcdserver: requested lease not found")
        revision = self.revision + 1
        bound = [state.key for state in self._states.values() if state.lease_id == lease_id]
        for key in bound:
            self.delete(key, b"", revision)

    def lapse_leases(self) -> None:
        """End every lease now."""
        for lease_id in list(self._leases):
            self.revoke(lease_id)

    def _append(self, event: WriteEvent, revision: int) -> None:
        self.revision = revision
        self._history.append(event)
        if len(self._history) > HISTORY_EVENTS:
            dropped = self._history[: HISTORY_EVENTS // 2]
            self.compacted_revision = dropped[-1].state.mod_revision
            self._history = self._history[HISTORY_EVENTS // 2 :]
        changed, self.changed = self.changed, Event()
        changed.set()

    def _expire_leases(self) -> None:
        while True:
            gevent.sleep(EXPIRY_CHECK_MS / 1000.0)
            now_s = time.monotonic()
            for lease_id, lease in list(self._leases.items()):
                if lease.expires_s <= now_s:
                    self.revoke(lease_id)


def in_range(name: bytes, key: bytes, range_end: bytes) -> bool:
    r"""Say whether a key is in a range.

    Examples:
        >>> in_range(b"/a/1", b"/a/", b"/a0"), in_range(b"/b", b"/a/", b"/a0")
        (True, False)
        >>> in_range(b"/b", b"/a", b"\x00")
        True
    """
    if not range_end:
        return name == key
    return name >= key and (range_end == b"\x00" or name < range_end)
