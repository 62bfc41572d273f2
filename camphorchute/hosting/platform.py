"""The interface of a platform that the dispatcher runs on, and the registry of platforms."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from camphorchute.contracts.batch_job import BatchJob
from camphorchute.hosting.queue_table import QueueTable
from camphorchute.hosting.store import Store
from camphorchute.hosting.worker_client import WorkerClient
from camphorchute.hosting.worker_entry import WorkerEntry

__all__ = ["HostingPlatform", "UnsupportedFeature", "make_platform", "register_platform"]


class UnsupportedFeature(Exception):  # noqa: N818
    """A job is well formed but uses a feature that the dispatcher does not support."""


class HostingPlatform(ABC):
    """Translates between the formats of one platform and the types of the dispatcher.

    Attributes:
        store: the key-value store of the platform.
        worker_prefix: prefix of the store keys under which service discovery lists workers.
        operator_prefix: prefix of the store keys that operators write.
        configuration_key: store key of the operators' configuration, which defines the queues.
        deadline_header: HTTP header with the time that a caller waits, in milliseconds.
    """

    store: Store
    worker_prefix: str
    operator_prefix: str
    configuration_key: str
    deadline_header: str

    @abstractmethod
    def decode_worker_entry(self, key: str, value: bytes) -> WorkerEntry | None:
        """Return the worker of a service discovery entry, None if the entry is not usable.

        Args:
            key: store key of the entry.
            value: value of the entry.
        """

    @abstractmethod
    def decode_queues(self, value: bytes) -> QueueTable:
        """Return the queues that a configuration defines.

        Raises:
            ValueError: the configuration is malformed.
        """

    @abstractmethod
    def decode_evacuated_zone(self, key: str) -> str | None:
        """Return the zone that a store key evacuates, None for any other or a malformed key.

        Args:
            key: a store key that operators write.
        """

    @abstractmethod
    def open_worker_client(self, entry: WorkerEntry) -> WorkerClient:
        """Return a client for a worker, without connecting to the worker yet."""

    @abstractmethod
    def decode_job(self, job_id: str, body: bytes) -> BatchJob:
        """Return the job in the body of a caller's request.

        Args:
            job_id: name that the caller gave the job.
            body: body of the request.

        Raises:
            ValueError: the body is malformed.
            UnsupportedFeature: the job uses a feature that the dispatcher does not support.
        """

    @abstractmethod
    def encode_job_state(self, state: str) -> bytes:
        """Return the response body with the state of a job."""

    @abstractmethod
    def encode_pending_count(self, pending: int) -> bytes:
        """Return the response body with the number of pending jobs of a queue."""


_PLATFORMS: dict[str, type[HostingPlatform]] = {}


def register_platform(name: str) -> Callable[[type], type]:
    """Return a class decorator that registers a platform under a name.

    The decorator raises `ValueError` if the name is registered already.
    """

    def register(platform_class: type[HostingPlatform]) -> type[HostingPlatform]:
        if name in _PLATFORMS:
            raise ValueError(f"platform {name!r} is already registered")
        _PLATFORMS[name] = platform_class
        return platform_class

    return register


def make_platform(name: str, store_address: str, count: Callable[..., None]) -> HostingPlatform:
    """Return a new platform of a registered class.

    Args:
        name: name that the class is registered under.
        store_address: ``IP:port`` of the platform's store.
        count: adds to a named counter.

    Raises:
        ValueError: no platform is registered under the name.

    Examples:
        >>> make_platform("moon", "127.0.0.1:1", print)
        Traceback (most recent call last):
        ...
        ValueError: unknown platform 'moon', known: ...
    """
    if name not in _PLATFORMS:
        raise ValueError(f"unknown platform {name!r}, known: {', '.join(sorted(_PLATFORMS))}")
    return _PLATFORMS[name](store_address, count)
