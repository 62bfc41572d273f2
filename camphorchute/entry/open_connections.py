"""Bounds the open connections of a server by closing those that wait for their caller longest."""

from collections.abc import Callable
from typing import Protocol

__all__ = ["ClosableConnection", "OpenConnections"]


class ClosableConnection(Protocol):
    """A connection that can be closed for others."""

    def give_up(self) -> None:
        """Close the connection, after a refusal if a request has begun."""


class OpenConnections:
    """The open connections of a server, in the order in which they began to wait for their caller.

    A connection waits for its caller between two requests and until a request is complete. Ordinary
    callers send a request in a short time, so that a crowd of connections that wait does not keep
    them out: each new connection closes the one that has waited longest.

    Args:
        max_connections: how many may be open; more only while all of them serve a request.
        count: adds to a named counter.

    Examples:
        >>> class Connection:
        ...     def give_up(self):
        ...         print("closed")
        >>> connections = OpenConnections(1, lambda name: None)
        >>> connections.add(Connection())
        >>> connections.add(Connection())
        closed
    """

    __slots__ = ("_max_connections", "_count", "_open", "_waiting")

    def __init__(self, max_connections: int, count: Callable[..., None]) -> None:
        self._max_connections = max_connections
        self._count = count
        self._open: set[ClosableConnection] = set()
        self._waiting: dict[ClosableConnection, None] = {}

    def __len__(self) -> int:
        return len(self._open)

    def add(self, connection: ClosableConnection) -> None:
        """Add a new connection, which waits for its first request; close others if need be."""
        while len(self._open) >= self._max_connections and self._waiting:
            oldest = next(iter(self._waiting))
            self.remove(oldest)
            self._count("http.connection_given_up")
            oldest.give_up()
        self._open.add(connection)
        self._waiting[connection] = None

    def begin_request(self, connection: ClosableConnection) -> None:
        """Record that a connection has received a complete request."""
        self._waiting.pop(connection, None)

    def end_request(self, connection: ClosableConnection) -> None:
        """Record that a connection has sent its response and waits for the next request."""
        if connection in self._open:
            self._waiting.pop(connection, None)
            self._waiting[connection] = None

    def remove(self, connection: ClosableConnection) -> None:
        """Remove a connection that is closed or is about to close."""
        self._open.discard(connection)
        self._waiting.pop(connection, None)
