"""Detection of callers that close their connection before they have their response."""

import select
import socket

import gevent
from gevent import monkey
from gevent.event import Event

__all__ = ["CallerWatch"]

READABLE = 1  # event mask of the event loop
CLOSED_BY_PEER = select.POLLRDHUP | select.POLLHUP | select.POLLERR

_poll = monkey.get_original("select", "poll")  # that of gevent runs the event loop


class CallerWatch:
    """Detects that a caller closes its connection before it has received its response.

    Args:
        sock: the socket of the connection.

    Attributes:
        disconnected: event that is set when the connection is closed or reset.
    """

    __slots__ = ("disconnected", "_socket", "_watcher", "_greenlet")

    def __init__(self, sock: socket.socket) -> None:
        self.disconnected = Event()
        self._socket = sock
        self._watcher: object | None = None
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start watching the connection; a greenlet runs only once there is something to read.

        A caller that has gone already is known at once, before anything is done for its request.
        """
        if self._socket.fileno() < 0 or _is_closed_by_peer(self._socket.fileno()):
            self.disconnected.set()
            return
        self._watcher = gevent.get_hub().loop.io(self._socket.fileno(), READABLE)
        self._watcher.start(self._handle_readable)

    def close(self) -> None:
        """Stop watching the connection.

        A check that has not begun is cancelled. It would otherwise compete for the socket with the
        reader of the next request.
        """
        self._close_watcher()
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def _close_watcher(self) -> None:
        if self._watcher is not None:
            self._watcher.stop()
            self._watcher.close()
            self._watcher = None

    def _handle_readable(self) -> None:
        self._close_watcher()
        self._greenlet = gevent.spawn(self._check)

    def _check(self) -> None:
        try:
            if not self._socket.recv(1, socket.MSG_PEEK):
                self.disconnected.set()
        except OSError:
            self.disconnected.set()


def _is_closed_by_peer(descriptor: int) -> bool:
    """Return whether the peer of a socket has closed or reset the connection, without waiting."""
    poll = _poll()
    poll.register(descriptor, CLOSED_BY_PEER)
    return bool(poll.poll(0))
