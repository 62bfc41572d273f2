"""TCP proxy in front of links and of the platform that injects network faults.

``python -m bench.tcp_proxy --address IP:PORT`` starts it. It is controlled over HTTP:

* ``POST /routes`` opens a route: listen on an address and forward its connections to another;
* ``DELETE /routes?listen=`` closes a listener, so that new connections to it are refused;
* ``POST /cuts`` replaces the cuts: pairs of lists of hosts, where no bytes arrive from the first
  list at the second;
* ``POST /silence`` permanently stops the bytes of the connections that are open between hosts.

A cut imitates packet loss: bytes are held back until the cut ends, no connection is reset, and a
connection opened during the cut gets no answer until then. Peers take a refused connection as
proof that a process has ended, so a route may be closed only after its process has ended.
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

__all__ = ["Cut", "Route", "TcpProxy", "main"]

READ_MAX_BYTES = 65_536
CONNECT_TIMEOUT_S = 5.0
TCP_STATE_CLOSE_WAIT = 8


class Route(msgspec.Struct):
    """Forwarding of the connections to one address.

    Attributes:
        listen: ``IP:port`` to listen on.
        to: ``IP:port`` of the destination.
        destination: name of the destination in cuts.
        source: name of the source in cuts; the IP address of the connecting side if empty.
    """

    listen: str
    to: str
    destination: str
    source: str = ""


class Cut(msgspec.Struct):
    """Loss of all bytes in one direction between hosts.

    Attributes:
        sources: names of the hosts that send.
        destinations: names of the hosts that receive nothing from them.
    """

    sources: list[str]
    destinations: list[str]

    def covers(self, source: str, destination: str) -> bool:
        """Whether the cut covers bytes from one host to another."""
        return source in self.sources and destination in self.destinations


class ForwardedConnection:
    """State of one forwarded connection.

    Attributes:
        source: name of the host that opened it.
        destination: name of the host that it is forwarded to.
        is_stalled: whether its bytes are held back permanently.
        lost_hosts: names of the hosts whose bytes are held back permanently.
    """

    __slots__ = ("source", "destination", "is_stalled", "lost_hosts")

    def __init__(self, source: str, destination: str) -> None:
        self.source = source
        self.destination = destination
        self.is_stalled = False
        self.lost_hosts: set[str] = set()


class TcpProxy(Standin):
    """TCP proxy with routes, cuts and stalled connections.

    Args:
        address: ``IP:port`` of the control interface.

    Attributes:
        cuts: the cuts in force.
        open: the forwarded connections that are open.
    """

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.cuts: list[Cut] = []
        self.open: set[ForwardedConnection] = set()
        self._listeners: dict[str, StreamServer] = {}
        self._cuts_changed = Event()
        self.routes |= {
            ("POST", "/routes"): self._open_route,
            ("DELETE", "/routes"): self._close_route,
            ("POST", "/cuts"): self._set_cuts,
            ("POST", "/silence"): self._silence,
        }

    def is_cut(self, source: str, destination: str) -> bool:
        """Whether a cut in force covers bytes from one host to another."""
        return any(cut.covers(source, destination) for cut in self.cuts)

    def open_route(self, route: Route) -> None:
        """Start to listen for a route; do nothing if its address is open already."""
        if route.listen in self._listeners:
            return
        host, _, port = route.listen.rpartition(":")
        listener = StreamServer(
            (host, int(port)), lambda sock, address: self._forward(route, sock, address)
        )
        listener.start()
        self._listeners[route.listen] = listener

    def close_route(self, listen: str) -> None:
        """Refuse new connections to an address; open connections are kept."""
        listener = self._listeners.pop(listen, None)
        if listener is not None:
            listener.close()

    def set_cuts(self, cuts: list[Cut]) -> None:
        """Replace the cuts and release the bytes that are no longer cut."""
        self.cuts = cuts
        self._notify_cuts_changed()

    def silence(self, cut: Cut) -> int:
        """Stop all bytes of the open connections between hosts and return their number.

        Both directions are stopped permanently; new connections are not affected.

        Args:
            cut: the hosts; connections are chosen whichever side opened them.
        """
        stalled = [
            connection
            for connection in self.open
            if cut.covers(connection.source, connection.destination)
            or cut.covers(connection.destination, connection.source)
        ]
        for connection in stalled:
            connection.is_stalled = True
        return len(stalled)

    def lose_host(self, host: str) -> None:
        """Permanently stop the bytes of a host where a cut covers them, as when it loses power.

        A host that still runs would send them again after the cut. New connections are not
        affected.

        Args:
            host: name of the host.
        """
        for connection in self.open:
            for receiver in (connection.source, connection.destination):
                if self.is_cut(host, receiver):
                    connection.lost_hosts.add(host)

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

    def _notify_cuts_changed(self) -> None:
        changed, self._cuts_changed = self._cuts_changed, Event()
        changed.set()

    def _forward(self, route: Route, near_sock: socket.socket, address: tuple) -> None:
        connection = ForwardedConnection(route.source or address[0], route.destination)
        self.open.add(connection)
        try:
            if self._wait_for_both_directions(connection, near_sock):
                self._connect_and_forward(route, connection, near_sock)
        finally:
            self.open.discard(connection)
            near_sock.close()

    def _wait_for_both_directions(
        self, connection: ForwardedConnection, near_sock: socket.socket
    ) -> bool:
        """Wait until no cut covers either direction; return whether the peer still waits."""
        has_waited = False
        while self.is_cut(connection.source, connection.destination) or self.is_cut(
            connection.destination, connection.source
        ):
            has_waited = True
            self._cuts_changed.wait()
        return not (has_waited and _is_closed_by_peer(near_sock))

    def _connect_and_forward(
        self, route: Route, connection: ForwardedConnection, near_sock: socket.socket
    ) -> None:
        host, _, port = route.to.rpartition(":")
        try:
            far_sock = socket.create_connection((host, int(port)), timeout=CONNECT_TIMEOUT_S)
        except OSError:
            return
        far_sock.settimeout(None)
        for sock in (near_sock, far_sock):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            forwards = gevent.spawn(self._forward_bytes, connection, near_sock, far_sock, True)
            backwards = gevent.spawn(self._forward_bytes, connection, far_sock, near_sock, False)
            gevent.joinall([forwards, backwards])
        finally:
            far_sock.close()

    def _forward_bytes(
        self,
        connection: ForwardedConnection,
        source: socket.socket,
        target: socket.socket,
        forward: bool,
    ) -> None:
        """Forward bytes in one direction until the source closes it, then close the target."""
        data = _read(source)
        while data:
            self._wait_for_direction(connection, forward)
            if not _write(target, data):
                _shut_down(source, socket.SHUT_RDWR)
                return
            data = _read(source)
        self._wait_for_direction(connection, forward)
        _shut_down(target, socket.SHUT_WR)

    def _wait_for_direction(self, connection: ForwardedConnection, forward: bool) -> None:
        """Wait until no cut covers a direction; forever if it is stalled or its host is lost."""
        hosts = (connection.source, connection.destination)
        sender, receiver = hosts if forward else reversed(hosts)
        while self.is_cut(sender, receiver):
            self._cuts_changed.wait()
        if connection.is_stalled or sender in connection.lost_hosts:
            wait_forever()


def _is_closed_by_peer(sock: socket.socket) -> bool:
    """Whether the other side has closed its end of a connection."""
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
    """Run the proxy until the process is terminated."""
    TcpProxy(address).start()
    click.echo(f"listening {address}")
    wait_forever()


if __name__ == "__main__":
    main(prog_name="python -m bench.tcp_proxy")
