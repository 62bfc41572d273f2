"""A TCP relay in front of links and of the platform, which can lose what it carries.

``python -m bench.relay --address IP:PORT`` starts it; it is controlled by HTTP:

* ``POST /routes`` opens a route: listen at an address and carry connections to another;
* ``DELETE /routes?listen=`` closes a listener, so that new connections are refused;
* ``POST /cuts`` replaces the cuts: pairs of lists of hosts, where bytes from the first to the
  second are lost;
* ``POST /silence`` makes the connections now open between hosts silent for good.

A cut looks like packet loss. Bytes wait until the cut ends, nothing is reset, and a connection
made during the cut stays without an answer. A refused connection proves that a process ended,
so a route is closed only by whoever knows that.
"""

import socket as plain_socket

if __name__ == "__main__":
    from gevent import monkey

    monkey.patch_all()

import click
import gevent
import msgspec
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from bench.standins.server import Reply, Request, Standin, wait_forever

__all__ = ["Cut", "Relay", "Route", "main"]

READ_MAX_BYTES = 65_536
CONNECT_TIMEOUT_S = 5.0
TCP_STATE_CLOSE_WAIT = 8


class Route(msgspec.Struct):
    """Where connections to one address are carried.

    Attributes:
        listen: ``IP:port`` to listen on.
        to: ``IP:port`` of the destination.
        destination: name of the destination in cuts.
        source: name of the source in cuts; the IP of the connecting side if empty.
    """

    listen: str
    to: str
    destination: str
    source: str = ""


class Cut(msgspec.Struct):
    """Loss of all bytes in one direction.

    Attributes:
        sources: names of the hosts that send.
        destinations: names of the hosts that no longer receive from them.
    """

    sources: list[str]
    destinations: list[str]

    def covers(self, source: str, destination: str) -> bool:
        """Whether bytes from one host to another are lost."""
        return source in self.sources and destination in self.destinations


class Carried:
    """One connection that is carried.

    Attributes:
        source: name of the host that opened it.
        destination: name of the host that it goes to.
        silent: whether its bytes are lost for good.
    """

    __slots__ = ("source", "destination", "silent")

    def __init__(self, source: str, destination: str) -> None:
        self.source = source
        self.destination = destination
        self.silent = False


class Relay(Standin):
    """The relay: its routes, cuts and connections.

    Args:
        address: ``IP:port`` of the control interface.
    """

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.cuts: list[Cut] = []
        self.open: set[Carried] = set()
        self._listeners: dict[str, StreamServer] = {}
        self._changed = Event()
        self.routes |= {
            ("POST", "/routes"): self._open_route,
            ("DELETE", "/routes"): self._close_route,
            ("POST", "/cuts"): self._set_cuts,
            ("POST", "/silence"): self._silence,
        }

    def is_cut(self, source: str, destination: str) -> bool:
        """Whether bytes from one host to another are lost."""
        return any(cut.covers(source, destination) for cut in self.cuts)

    def open_route(self, route: Route) -> None:
        """Listen for a route; one that is open stays."""
        if route.listen in self._listeners:
            return
        host, _, port = route.listen.rpartition(":")
        listener = StreamServer(
            (host, int(port)), lambda sock, address: self._carry(route, sock, address)
        )
        listener.start()
        self._listeners[route.listen] = listener

    def close_route(self, listen: str) -> None:
        """Refuse new connections to an address; those that are open stay."""
        listener = self._listeners.pop(listen, None)
        if listener is not None:
            listener.close()

    def set_cuts(self, cuts: list[Cut]) -> None:
        """Replace the cuts."""
        self.cuts = cuts
        self._wake()

    def silence(self, cut: Cut) -> int:
        """Make the open connections between hosts silent for good; return how many."""
        chosen = [
            carried
            for carried in self.open
            if cut.covers(carried.source, carried.destination)
            or cut.covers(carried.destination, carried.source)
        ]
        for carried in chosen:
            carried.silent = True
        return len(chosen)

    def _open_route(self, request: Request) -> Reply:
        self.open_route(msgspec.convert(request.json(), Route))
        return Reply({"open": sorted(self._listeners)})

    def _close_route(self, request: Request) -> Reply:
        self.close_route(request.query["listen"])
        return Reply({"open": sorted(self._listeners)})

    def _set_cuts(self, request: Request) -> Reply:
        self.set_cuts(msgspec.convert(request.json()["cuts"], list[Cut]))
        return Reply({"cuts": msgspec.to_builtins(self.cuts)})

    def _silence(self, request: Request) -> Reply:
        return Reply({"silent": self.silence(msgspec.convert(request.json(), Cut))})

    def _wake(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.set()

    def _carry(self, route: Route, near: socket.socket, address: tuple) -> None:
        carried = Carried(route.source or address[0], route.destination)
        self.open.add(carried)
        try:
            if self._await_both_ways(carried, near):
                self._connect_and_pump(route, carried, near)
        finally:
            self.open.discard(carried)
            near.close()

    def _await_both_ways(self, carried: Carried, near: socket.socket) -> bool:
        """Wait for the end of cuts; return whether the connecting side still waits then."""
        waited = False
        while self.is_cut(carried.source, carried.destination) or self.is_cut(
            carried.destination, carried.source
        ):
            waited = True
            self._changed.wait()
        return not (waited and _is_given_up(near))

    def _connect_and_pump(self, route: Route, carried: Carried, near: socket.socket) -> None:
        host, _, port = route.to.rpartition(":")
        try:
            far = socket.create_connection((host, int(port)), timeout=CONNECT_TIMEOUT_S)
        except OSError:
            return
        far.settimeout(None)
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            there = gevent.spawn(self._pump, carried, near, far, True)
            back = gevent.spawn(self._pump, carried, far, near, False)
            gevent.joinall([there, back])
        finally:
            far.close()

    def _pump(
        self, carried: Carried, source: socket.socket, target: socket.socket, forward: bool
    ) -> None:
        """Carry bytes in one direction until it ends, then tell the target so."""
        data = _read(source)
        while data:
            self._await_way(carried, forward)
            if not _write(target, data):
                _shut_down(source, socket.SHUT_RDWR)
                return
            data = _read(source)
        self._await_way(carried, forward)
        _shut_down(target, socket.SHUT_WR)

    def _await_way(self, carried: Carried, forward: bool) -> None:
        ends = (carried.source, carried.destination)
        while self.is_cut(*(ends if forward else reversed(ends))):
            self._changed.wait()
        if carried.silent:
            wait_forever()


def _is_given_up(sock: socket.socket) -> bool:
    """Whether the other side closed a connection."""
    info = sock.getsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_INFO, 1)
    return info[0] == TCP_STATE_CLOSE_WAIT


def _read(sock: socket.socket) -> bytes:
    try:
        return sock.recv(READ_MAX_BYTES)
    except OSError:
        return b""


def _write(sock: socket.socket, data: bytes) -> bool:
    try:
        sock.sendall(data)
    except OSError:
        return False
    return True


def _shut_down(sock: socket.socket, how: int) -> None:
    try:
        sock.shutdown(how)
    except OSError:
        return


@click.command()
@click.option("--address", required=True, help="IP:PORT of the control interface.")
def main(address: str) -> None:
    """Run the relay until the process is ended."""
    Relay(address).start()
    click.echo(f"listening {address}")
    wait_forever()


if __name__ == "__main__":
    main(prog_name="python -m bench.relay")
