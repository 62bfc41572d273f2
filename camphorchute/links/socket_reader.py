"""Reading of websockets that ends safely when their socket is closed.

A connection of ``websockets.sync`` waits for its socket in a selector and closes the socket while
it is registered there. gevent's selector keeps a watcher on the file descriptor, and its event loop
ends the process when that descriptor is used again. A read that blocks in gevent's own socket is
ended by a close of the socket.
"""

import selectors
from types import SimpleNamespace

from websockets.sync import connection

__all__ = ["BlockingSelector", "use_blocking_reads"]


class BlockingSelector:
    """Stands in for the selector of a connection; the read that follows does the waiting.

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
        """Take the socket that is read; others are passed over.

        Raises:
            ValueError: the socket is closed.
        """
        if fileobj.fileno() < 0:
            raise ValueError("Invalid file descriptor: -1")
        if data is not None:
            self._key = selectors.SelectorKey(fileobj, fileobj.fileno(), events, data)

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the socket at once."""
        return [(self._key, selectors.EVENT_READ)]

    def close(self) -> None:
        """Keep nothing."""
        self._key = None


def use_blocking_reads() -> None:
    """Make the connections of ``websockets.sync`` read without gevent's selector."""
    connection.selectors = SimpleNamespace(
        DefaultSelector=BlockingSelector, EVENT_READ=selectors.EVENT_READ
    )
