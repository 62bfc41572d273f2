"""The queues that callers submit jobs to, in one version of the operators' configuration."""

from collections.abc import Iterable

from camphorchute.contracts.batch_job import QueueLimits

__all__ = ["Queue", "QueueTable"]


class Queue:
    """A queue.

    Attributes:
        name: its name.
        host: host name that its callers address.
        prefix: start of its paths.
        service: the service whose workers run its jobs.
        timeout_ms: longest time that a caller is kept waiting.
        limits: what it promises of its jobs.
    """

    __slots__ = ("name", "host", "prefix", "service", "timeout_ms", "limits")

    def __init__(
        self,
        name: str,
        host: str,
        prefix: str,
        service: str,
        timeout_ms: float,
        limits: QueueLimits,
    ) -> None:
        self.name = name
        self.host = host
        self.prefix = prefix
        self.service = service
        self.timeout_ms = timeout_ms
        self.limits = limits

    def __repr__(self) -> str:
        return f"Queue({self.name!r}, {self.host!r}, {self.prefix!r})"


class QueueTable:
    """All queues of one version.

    Args:
        version: number of the version; a higher one replaces a lower one.
        queues: the queues.
        services: names of the services that exist.
        source: the version as the platform gave it, for other processes.

    Examples:
        >>> limits = QueueLimits(0, 4, 1.6, 60.0)
        >>> table = QueueTable(7, [
        ...     Queue("all", "a.example", "/", "s", 1500.0, limits),
        ...     Queue("flags", "a.example", "/flags/", "s", 1500.0, limits)])
        >>> table.find("a.example", "/flags/17")
        Queue('flags', 'a.example', '/flags/')
        >>> table.find("b.example", "/flags/17") is None
        True
    """

    __slots__ = ("version", "services", "source", "_by_host")

    def __init__(
        self,
        version: int,
        queues: Iterable[Queue],
        services: Iterable[str] = (),
        source: bytes = b"",
    ) -> None:
        self.version = version
        self.services = frozenset(services)
        self.source = source
        self._by_host: dict[str, list[Queue]] = {}
        for queue in queues:
            self._by_host.setdefault(queue.host, []).append(queue)
        for found in self._by_host.values():
            found.sort(key=lambda queue: len(queue.prefix), reverse=True)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of the path, None where there is none."""
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None
