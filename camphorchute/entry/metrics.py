"""Counters of an entry process, kept in memory and sent to statsd."""

from collections import Counter

from statsd import StatsClient

__all__ = ["Metrics"]

PREFIX = "camphorchute"


class Metrics:
    """The counters of one process.

    Args:
        statsd_address: ``IP:port`` of a statsd server, empty for none.

    Attributes:
        counters: value of each counter by name.

    Examples:
        >>> metrics = Metrics("")
        >>> metrics.count("jobs.accepted", 2)
        >>> metrics.counters["jobs.accepted"]
        2
    """

    __slots__ = ("counters", "_client")

    def __init__(self, statsd_address: str) -> None:
        self.counters: Counter[str] = Counter()
        self._client = None
        if statsd_address:
            host, _, port = statsd_address.rpartition(":")
            self._client = StatsClient(host, int(port), prefix=PREFIX)

    def count(self, name: str, n: int = 1) -> None:
        """Add ``n`` to a counter."""
        if not n:
            return
        self.counters[name] += n
        if self._client is not None:
            self._client.incr(name, n)

    def close(self) -> None:
        """Close the socket to the statsd server."""
        if self._client is not None:
            self._client.close()
