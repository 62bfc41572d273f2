"""Transfer of the queue configuration between members, for those that the store does not reach."""

import random
import time
import zlib
from collections.abc import Callable

import gevent
from gevent.event import Event

from camphorchute.cluster.cluster_view import ClusterView
from camphorchute.contracts import Refusal
from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import FetchQueues, QueuesPart
from camphorchute.links import LinkLost, Peers, handles
from camphorchute.loops import spawn_loop, wait_for_event
from camphorchute.observation_clock import observation_clock

__all__ = ["ConfigurationFetch"]

PART_BYTES = 8192
PART_TIMEOUT_MS = 1000.0
STORE_PRECEDENCE_MS = 250.0
STORE_TRANSFER_MAX_MS = 3000.0
FIRST_OFFERS_MS = 400.0  # within which every linked member sends a heartbeat
STORE_CHECK_INTERVAL_MS = 25.0
CONFIGURATION_MAX_BYTES = 16 * 1024 * 1024
COMPRESSION_LEVEL = 1
REJECTED_RETRY_MS = 5000.0
MS_PER_S = 1000.0


class _Transfer:
    """The part of one compressed configuration that has been received.

    Attributes:
        version: version of the configuration.
        size_bytes: size of the compressed configuration.
        received: the bytes received so far.
    """

    __slots__ = ("version", "size_bytes", "received")

    def __init__(self, version: int, size_bytes: int) -> None:
        self.version = version
        self.size_bytes = size_bytes
        self.received = bytearray()

    @property
    def is_complete(self) -> bool:
        """Whether every byte has been received."""
        return len(self.received) >= self.size_bytes


class ConfigurationFetch:
    """Fetches a newer queue configuration from one member that has it, and sends it to others.

    The members that the store answers receive a configuration from there. Where it has not arrived
    a moment after another member had it in force, it is fetched from that member: by one transfer
    at a time, compressed, in parts that are requested one after the other, so that heartbeats and
    commands on the same link wait for one part at most. A transfer that was interrupted is
    continued from another member.

    A process that has no configuration yet hears several members first: the one that is linked
    first may have been cut off for long, and its configuration may name what was withdrawn since.

    Args:
        peers: the links to other members.
        view: holds the configuration in force.
        is_store_lost: returns whether calls to the store fail at present.
        count: adds to a named counter.
    """

    __slots__ = (
        "_peers",
        "_view",
        "_is_store_lost",
        "_count",
        "_offers",
        "_offered",
        "_transfer",
        "_rejected",
        "_packed",
        "_greenlet",
    )

    def __init__(
        self,
        peers: Peers,
        view: ClusterView,
        is_store_lost: Callable[[], bool],
        count: Callable[..., None],
    ) -> None:
        self._peers = peers
        self._view = view
        self._is_store_lost = is_store_lost
        self._count = count
        self._offers: dict[str, tuple[Member, int]] = {}
        self._offered = Event()
        self._transfer: _Transfer | None = None
        self._rejected: dict[str, tuple[int, float]] = {}
        self._packed: tuple[int, bytes] = (0, b"")
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to fetch the configurations that are offered."""
        self._greenlet = spawn_loop("roster", self._fetch_offered, self._count)

    def close(self) -> None:
        """Stop fetching."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def offer(self, peer: Member, version: int) -> None:
        """Record that a member has a version of the configuration in force.

        Args:
            peer: the member.
            version: the version.
        """
        if version > self._version_in_force() and not self._is_rejected(peer, version):
            self._offers[peer.member_id] = (peer, version)
            self._offered.set()

    @handles(FetchQueues, nonblocking=True)
    def send_part(self, peer: Member, message: FetchQueues) -> QueuesPart:
        """Return a part of the configuration in force, the first one if the version differs."""
        if self._view.queues is None:
            return QueuesPart(0, 0)
        version = self._version_in_force()
        if self._packed[0] != version:
            packed = zlib.compress(self._view.queues.encoded, COMPRESSION_LEVEL)
            self._packed = (version, packed)
        packed = self._packed[1]
        first = message.offset if message.version == version and message.offset >= 0 else 0
        return QueuesPart(version, len(packed), first, packed[first : first + PART_BYTES])

    def _is_rejected(self, peer: Member, version: int) -> bool:
        """Whether a member sent a version a short time ago that could not be used."""
        rejected_version, rejected_s = self._rejected.get(peer.member_id, (0, 0.0))
        since_ms = (time.monotonic() - rejected_s) * MS_PER_S
        return version == rejected_version and since_ms < REJECTED_RETRY_MS

    def _version_in_force(self) -> int:
        return self._view.queues.version if self._view.queues else 0

    def _fetch_offered(self) -> None:
        while True:
            wait_for_event(self._offered)
            if self._view.queues is None:
                gevent.sleep(FIRST_OFFERS_MS / MS_PER_S)
            self._wait_for_store()
            while (peer := self._choose_peer()) is not None:
                if not self._fetch_from(peer):
                    self._offers.pop(peer.member_id, None)
            self._offered.clear()

    def _wait_for_store(self) -> None:
        """Wait until the configuration can be expected from the store no longer."""
        offered_version = max((version for _, version in self._offers.values()), default=0)
        began_s = time.monotonic()
        precedence_ms = random.uniform(0.6, 1.4) * STORE_PRECEDENCE_MS
        while self._version_in_force() < offered_version and not self._is_store_lost():
            waited_ms = (time.monotonic() - began_s) * MS_PER_S
            is_arriving = observation_clock.is_transfer_under_way()
            if waited_ms > (STORE_TRANSFER_MAX_MS if is_arriving else precedence_ms):
                return
            gevent.sleep(STORE_CHECK_INTERVAL_MS / MS_PER_S)

    def _choose_peer(self) -> Member | None:
        """Return a linked member with a newer configuration, of this zone if there is one."""
        in_force = self._version_in_force()
        self._offers = {
            member_id: (peer, version)
            for member_id, (peer, version) in self._offers.items()
            if version > in_force and self._peers.is_linked(member_id)
        }
        newest = max((version for _, version in self._offers.values()), default=0)
        candidates = [peer for peer, version in self._offers.values() if version == newest]
        own_zone = self._peers.member.zone
        nearest = [peer for peer in candidates if peer.zone == own_zone] or candidates
        return random.choice(nearest) if nearest else None

    def _fetch_from(self, peer: Member) -> bool:
        """Fetch the parts that are missing and apply the configuration; return False on failure."""
        while True:
            transfer = self._transfer
            version, offset = (transfer.version, len(transfer.received)) if transfer else (0, 0)
            try:
                request = FetchQueues(version, offset)
                part = self._peers.request(peer, request, PART_TIMEOUT_MS)
            except (LinkLost, Refusal):
                self._count("roster.retry.fetch_queues")
                return False
            if not self._add_part(part):
                self._count("roster.retry.fetch_queues_malformed")
                self._transfer = None
                return False
            if part.version <= self._version_in_force():
                self._transfer = None
                return False
            if self._transfer.is_complete:
                return self._apply_transfer(peer)

    def _add_part(self, part: QueuesPart) -> bool:
        """Add a part to the transfer, a new one if its version differs; return if it fits."""
        if not part.data or not 0 < part.size_bytes <= CONFIGURATION_MAX_BYTES:
            return False
        transfer = self._transfer
        if transfer is None or (transfer.version, transfer.size_bytes) != (
            part.version,
            part.size_bytes,
        ):
            transfer = self._transfer = _Transfer(part.version, part.size_bytes)
        if part.offset != len(transfer.received):
            return False
        transfer.received += part.data
        return True

    def _apply_transfer(self, peer: Member) -> bool:
        """Apply the configuration that was received; return whether it is in force now."""
        transfer, self._transfer = self._transfer, None
        try:
            unpacker = zlib.decompressobj()
            source = unpacker.decompress(bytes(transfer.received), CONFIGURATION_MAX_BYTES)
        except zlib.error:
            source = b""
        if not source or not unpacker.eof:
            self._count("roster.retry.fetch_queues_malformed")
            return False
        self._count("roster.configuration_from_peer")
        self._view.apply_newer_queues(source)
        is_applied = self._version_in_force() >= transfer.version
        if not is_applied:
            self._reject(peer, transfer.version)
        return is_applied

    def _reject(self, peer: Member, version: int) -> None:
        """Record a configuration that could not be used; forget those of long ago."""
        now_s = time.monotonic()
        self._rejected = {
            member_id: (rejected, rejected_s)
            for member_id, (rejected, rejected_s) in self._rejected.items()
            if (now_s - rejected_s) * MS_PER_S < REJECTED_RETRY_MS
        }
        self._rejected[peer.member_id] = (version, now_s)
