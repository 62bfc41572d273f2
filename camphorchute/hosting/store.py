"""The interface of the platform's key-value store, and the registry of its implementations."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator, Sequence

from camphorchute.outage_log import OutageLog

__all__ = [
    "ConditionalWrite",
    "Store",
    "StoreRefused",
    "StoreUnavailable",
    "StoredListing",
    "StoredValue",
    "SwapAllConflict",
    "SwapConflict",
    "SwapUnknown",
    "make_store",
    "register_store",
]

WATCH_RESPONSE_TIMEOUT_MS = 3000.0


class StoredValue:
    """A key with its value at one revision.

    Args:
        key: the key.
        value: the value; ``None`` if the key was deleted.
        mod_revision: revision of the store at which the key was last written.
        lease_id: id of the lease that the key is bound to, 0 for none.

    Examples:
        >>> StoredValue("/a", b"1", 7)
        StoredValue('/a', b'1', mod_revision=7)
    """

    __slots__ = ("key", "value", "mod_revision", "lease_id")

    def __init__(self, key: str, value: bytes | None, mod_revision: int, lease_id: int = 0) -> None:
        self.key = key
        self.value = value
        self.mod_revision = mod_revision
        self.lease_id = lease_id

    def __repr__(self) -> str:
        return f"StoredValue({self.key!r}, {self.value!r}, mod_revision={self.mod_revision})"


class StoredListing:
    """All keys under a prefix at one revision.

    Args:
        values: the keys with their values, sorted by key.
        revision: revision of the store at which the listing was read.
    """

    __slots__ = ("values", "revision")

    def __init__(self, values: Sequence[StoredValue], revision: int) -> None:
        self.values = values
        self.revision = revision


class StoreUnavailable(Exception):  # noqa: N818
    """The store did not execute the call; nothing was written."""


class StoreRefused(StoreUnavailable):
    """The store rejected the call, for example for an expired lease; a retry does not help."""


class SwapConflict(Exception):  # noqa: N818
    """The key was not at the expected revision, so it was not written.

    Args:
        key: the key that was to be written.
        current: the current value, ``None`` if the key does not exist.
    """

    def __init__(self, key: str, current: StoredValue | None) -> None:
        self.key = key
        self.current = current
        super().__init__(f"{key}: another write came first, the current value is {current!r}")


class ConditionalWrite:
    """A conditional write, as one of several that take effect together.

    Args:
        key: the key.
        value: the new value; ``None`` deletes the key.
        expected_revision: mod revision that the key must have; 0 if the key must not exist.
    """

    __slots__ = ("key", "value", "expected_revision")

    def __init__(self, key: str, value: bytes | None, expected_revision: int) -> None:
        self.key = key
        self.value = value
        self.expected_revision = expected_revision


class SwapAllConflict(Exception):  # noqa: N818
    """At least one key was not at its expected revision; nothing was written.

    Args:
        current_values: the current value of each key that was not at its expected revision,
            ``None`` if the key does not exist.
    """

    def __init__(self, current_values: dict[str, StoredValue | None]) -> None:
        self.current_values = current_values
        super().__init__(f"another write came first to: {', '.join(sorted(current_values))}")


class SwapUnknown(Exception):  # noqa: N818
    """The answer to a conditional write was lost; it may have taken effect or may still do so."""


class Store(ABC):
    """A key-value store with compare-and-swap, leases and watches.

    Attributes:
        calls: number of calls sent, by name of the call.
        failures: number of calls that failed, by name of the call and reason.
        outage: reports when the store is lost and answers again; its users record their calls.
        max_changes: largest number of changes in one call of :meth:`swap_all`.
    """

    max_changes = 32

    def __init__(self) -> None:
        self.calls: dict[str, int] = {}
        self.failures: dict[str, int] = {}
        self.outage = OutageLog("roster", "store")

    @abstractmethod
    def start(self) -> None:
        """Prepare the store client for calls."""

    @abstractmethod
    def close(self) -> None:
        """Close all connections to the store."""

    @abstractmethod
    def get(self, key: str) -> StoredValue | None:
        """Return the current value of a key, ``None`` if the key does not exist."""

    @abstractmethod
    def list(self, prefix: str) -> StoredListing:
        """Return all keys that start with a prefix, with their values."""

    @abstractmethod
    def swap(self, key: str, value: bytes | None, expected_revision: int, lease_id: int = 0) -> int:
        """Write a key if it was last written at the expected revision.

        Args:
            key: the key.
            value: the new value; ``None`` deletes the key.
            expected_revision: mod revision that the key must have; 0 if the key must not exist.
            lease_id: id of the lease that the key is bound to, 0 for none.

        Returns:
            The new mod revision.

        Raises:
            StoreUnavailable: nothing was written.
            SwapConflict: the key was not at the expected revision; nothing was written.
            SwapUnknown: the answer was lost, and reading the key again did not show that the
                write took effect.
        """

    @abstractmethod
    def swap_all(self, changes: Sequence[ConditionalWrite]) -> int:
        """Write several keys if each was last written at its expected revision.

        Args:
            changes: the writes, at most :attr:`max_changes`.

        Returns:
            The new mod revision of all keys.

        Raises:
            StoreUnavailable: nothing was written.
            SwapAllConflict: a key was not at its expected revision; nothing was written.
            SwapUnknown: the answer was lost; the caller has to read the keys again.
        """

    @abstractmethod
    def grant_lease(self, ttl_s: int) -> int:
        """Return the id of a new lease, which expires ``ttl_s`` seconds after its last renewal."""

    @abstractmethod
    def renew_lease(self, lease_id: int) -> int:
        """Renew a lease and return its time to live in seconds, 0 if it has expired."""

    @abstractmethod
    def revoke_lease(self, lease_id: int) -> None:
        """End a lease; the keys bound to it are deleted.

        Raises:
            StoreUnavailable: the lease may have ended, or may remain until it expires.
        """

    @abstractmethod
    def watch(
        self,
        prefix: str,
        from_revision: int,
        timeout_s: float,
        batching_ms: float = 0.0,
        response_timeout_ms: float = WATCH_RESPONSE_TIMEOUT_MS,
    ) -> Iterator[StoredValue]:
        """Yield every write under a prefix, in order; a deleted key has the value ``None``.

        A store that delivers writes by long polling uses the last two arguments; other stores may
        ignore them.

        Args:
            prefix: prefix of the keys.
            from_revision: revision of the first write to yield.
            timeout_s: the iteration ends after this time.
            batching_ms: pause between two polls, so that the writes in it are delivered together.
            response_timeout_ms: a connection without an answer for this time is abandoned.

        Raises:
            StoreUnavailable: the watch was not accepted or its connection broke.
            StoreRefused: the store no longer has the writes since ``from_revision``.
        """


_STORES: dict[str, type[Store]] = {}


def register_store(name: str) -> Callable[[type[Store]], type[Store]]:
    """Return a class decorator that registers a store under a name.

    The decorator raises `ValueError` if the name is registered already.
    """

    def register(store_class: type[Store]) -> type[Store]:
        if name in _STORES:
            raise ValueError(f"store {name!r} is already registered")
        _STORES[name] = store_class
        return store_class

    return register


def make_store(name: str, *args, **options) -> Store:
    """Return a new store of a registered class.

    Args:
        name: name that the class is registered under.
        *args: positional arguments of the class.
        **options: keyword arguments of the class.

    Raises:
        ValueError: no store is registered under the name.

    Examples:
        >>> make_store("paper")
        Traceback (most recent call last):
        ...
        ValueError: unknown store 'paper', known: ...
    """
    if name not in _STORES:
        raise ValueError(f"unknown store {name!r}, known: {', '.join(sorted(_STORES))}")
    return _STORES[name](*args, **options)
