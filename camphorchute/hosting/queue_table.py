"""Queues that callers submit jobs to, as one version of the operators' configuration has them."""

from collections.abc import Iterable

from camphorchute.contracts.batch_job import QueueLimits

__all__ = ["Queue", "QueueTable"]


class Queue:
    """A queue that callers submit jobs to over HTTP.

    Attributes:
        name: name of the queue.
        host: host name of the requests that belong to the queue.
        prefix: prefix of the paths of these requests.
        service: the service whose workers run the jobs.
        timeout_ms: longest time that a caller's request waits, in milliseconds.
        limits: priority, attempts and target times of the jobs.
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
    """All queues of one version of the configuration.

    Args:
        version: number of the version; a higher version replaces a lower one.
        queues: the queues.
        services: names of all services in the configuration.
        encoded: the configuration as the platform encodes it, for sending it to other processes.

    Examples:
        >>> limits = QueueLimits(0, 4, 1.6, 60.0)
        >>> table = QueueTable(7, [
        ...     Queue("all", "a.example", "/", "s", 1500.0, limits),
        ...     Queue("flags", "a.example", "/flags/", "s", 1500.0, limits)])
        >>> table.find_queue("a.example", "/flags/17")
        Queue('flags', 'a.example', '/flags/')
        >>> table.find_queue("b.example", "/flags/17") is None
        True
    """

    __slots__ = ("version", "services", "encoded", "_by_host")

    def __init__(
        self,
        version: int,
        queues: Iterable[Queue],
        services: Iterable[str] = (),
        encoded: bytes = b"",
    ) -> None:
        self.version = version
        self.services = frozenset(services)
        self.encoded = encoded
        self._by_host: dict[str, list[Queue]] = {}
        for queue in queues:
            self._by_host.setdefault(queue.host, []).append(queue)
        for queues_of_host in self._by_host.values():
            queues_of_host.sort(key=lambda queue: len(queue.prefix), reverse=True)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of a request, None if no queue matches.

        If several queues match, the one with the longest prefix is returned.

        Args:
            host: host name of the request.
            path: path of the request.
        """
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None
