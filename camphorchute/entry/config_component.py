"""Exchange of service records between entry processes."""

from camphorchute.contracts import Refusal
from camphorchute.contracts.member import Member
from camphorchute.contracts.messages import ConfigRecords, FetchConfig
from camphorchute.links import LinkLost, Peers, handles
from camphorchute.services import Catalogue, ServiceRecord
from camphorchute.services.record import decode_from_peer, encode_for_peer
from camphorchute.zones import ZoneView

__all__ = ["ConfigComponent"]

FETCH_TIMEOUT_MS = 2000.0
WATCHERS_PER_ZONE = 2


class ConfigComponent:
    """Fetches service records from peers and sends them to peers.

    Args:
        catalogue: the services in force at this process.
        peers: the links to the other processes.
        view: the ownership records of the zones.
    """

    def __init__(self, catalogue: Catalogue, peers: Peers, view: ZoneView) -> None:
        self._catalogue = catalogue
        self._peers = peers
        self._view = view

    @handles(FetchConfig, nonblocking=True)
    def send_records(self, peer: Member, message: FetchConfig) -> ConfigRecords:
        """Return the records after a revision to a peer."""
        records = self._catalogue.records_after(message.after_revision)
        revision = self._catalogue.revision if self._catalogue.ready else -1
        return ConfigRecords([encode_for_peer(record) for record in records], revision)

    def fetch_records_after(self, revision: int) -> list[ServiceRecord] | None:
        """Return the records after a revision from a peer that has a newer one.

        Peers in this zone are asked first. Returns None if no peer has a newer revision.
        """
        links = self._peers.links()
        links.sort(key=lambda link: link.peer.zone != self._view.member.zone)
        for link in links:
            try:
                reply = link.request(FetchConfig(revision), FETCH_TIMEOUT_MS)
            except (LinkLost, Refusal):
                continue
            learns_first_state = reply.revision >= 0 and not self._catalogue.ready
            if reply.revision > revision or learns_first_state:
                return [decode_from_peer(record) for record in reply.records]
        return None

    def is_watcher(self) -> bool:
        """Return whether this process is among those that watch the store for its zone.

        These are the first ``WATCHERS_PER_ZONE`` members of the zone by member id.
        """
        members = sorted(m.member_id for m in self._view.record.members)
        return self._view.member.member_id in members[:WATCHERS_PER_ZONE]
