"""A selector for ``websockets.sync`` that lets a connection be closed during a read.

A connection of ``websockets.sync`` waits for its socket in a selector and closes the socket while
it is still registered there. gevent's selector keeps watching the file descriptor, and gevent's
event loop aborts the process when that descriptor is reused. A blocking read on gevent's own
socket does not have this problem: closing the socket ends the read.
"""

import selectors
from types import SimpleNamespace

from websockets.sync import connection

__all__ = ["BlockingSelector", "use_blocking_reads"]


class BlockingSelector:
    """Selector that reports its socket as ready immediately, so that the next read blocks.

    Examples:
        >>> import socket
        >>> reader, _ = socket.socketpair()
        >>> selector = BlockingSelector()
        >>> selector.register(reader, selectors.EVENT_READ, data="socket")
        >>> [key.data for key, _ in selector.select()]
        ['socket']
    """

    __slots__ = ("_key",)

    def __init__(self) -> None:
        self._key: selectors.SelectorKey | None = None

    def register(self, fileobj: object, events: int, data: object = None) -> None:
        """Register the socket to read; a registration without ``data`` is ignored.

        Raises:
            ValueError: the socket is closed.
        """
        if fileobj.fileno() < 0:
            raise ValueError("Invalid file descriptor: -1")
        if data is not None:
            self._key = selectors.SelectorKey(fileobj, fileobj.fileno(), events, data)

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the registered socket as readable without waiting."""
        return [(self._key, selectors.EVENT_READ)]

    def close(self) -> None:
        """Forget the registered socket."""
        self._key = None


def use_blocking_reads() -> None:
    """Make all connections of ``websockets.sync`` use :class:`BlockingSelector`."""
    connection.selectors = SimpleNamespace(
        DefaultSelector=BlockingSelector, EVENT_READ=selectors.EVENT_READ
    )
