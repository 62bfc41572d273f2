"""A platform that the program runs on, and the registry of those that are known."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from camphorchute.contracts.batch_job import BatchJob
from camphorchute.hosting.queue_table import QueueTable
from camphorchute.hosting.run_port import RunPort
from camphorchute.hosting.store import Store
from camphorchute.hosting.worker_entry import WorkerEntry

__all__ = ["HostingPlatform", "NotOffered", "make_platform", "register_platform"]


class NotOffered(Exception):  # noqa: N818
    """A job is well formed and asks for something that the program does not offer."""


class HostingPlatform(ABC):
    """Translates between one platform and the program.

    Attributes:
        store: its key-value store.
        worker_prefix: start of the keys of its service discovery.
        operator_prefix: start of the keys that operators write.
        queues_key: key of the operators' configuration.
        deadline_header: header that says how long a caller waits, in milliseconds.
    """

    store: Store
    worker_prefix: str
    operator_prefix: str
    queues_key: str
    deadline_header: str

    @abstractmethod
    def decode_worker(self, key: str, value: bytes) -> WorkerEntry | None:
        """Return the worker that an entry of service discovery tells of, None if unusable."""

    @abstractmethod
    def decode_queues(self, value: bytes) -> QueueTable:
        """Return the queues of a configuration or raise `ValueError`."""

    @abstractmethod
    def open_worker(self, entry: WorkerEntry) -> RunPort:
        """Return a port to a worker; nothing is connected yet."""

    @abstractmethod
    def decode_job(self, job_id: str, body: bytes) -> BatchJob:
        """Return the job in a caller's request.

        Raises:
            ValueError: the body is not well formed.
            NotOffered: the job asks for something that the program does not offer.
        """

    @abstractmethod
    def encode_job_state(self, state: str) -> bytes:
        """Return the body that tells a caller the state of a job."""

    @abstractmethod
    def encode_waiting(self, waiting: int) -> bytes:
        """Return the body that tells how many jobs of a queue wait."""


_PLATFORMS: dict[str, type[HostingPlatform]] = {}


def register_platform(name: str) -> Callable[[type], type]:
    """Return a decorator that makes a platform class known under a name."""

    def register(platform_class: type[HostingPlatform]) -> type[HostingPlatform]:
        if name in _PLATFORMS:
            raise ValueError(f"platform {name!r} is already registered")
        _PLATFORMS[name] = platform_class
        return platform_class

    return register


def make_platform(name: str, store_address: str, count: Callable[..., None]) -> HostingPlatform:
    """Return a new platform of a registered class.

    Examples:
        >>> make_platform("moon", "127.0.0.1:1", print)
        Traceback (most recent call last):
        ...
        ValueError: unknown platform 'moon'
    """
    if name not in _PLATFORMS:
        raise ValueError(f"unknown platform {name!r}")
    return _PLATFORMS[name](store_address, count)
