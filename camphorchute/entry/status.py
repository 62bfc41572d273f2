"""The status of every entry process, as operators read it."""

from collections.abc import Callable

import gevent
import msgspec

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.member import Member
from camphorchute.contracts.messages import AskStatus, PoolUse, StatusIs
from camphorchute.jobs import upstream_pool
from camphorchute.links import LinkLost, Peers, handles
from camphorchute.services import Usage
from camphorchute.zones import RecordStore, ZoneView

__all__ = ["FleetStatus", "StatusBoard"]

ASK_TIMEOUT_MS = 1500.0


class FleetStatus(msgspec.Struct):
    """Status of all processes.

    Attributes:
        processes: those that answered.
        not_asked: those that did not, by link address.
    """

    processes: list[StatusIs]
    not_asked: list[str]


class StatusBoard:
    """Asks every known entry process for its status.

    Args:
        own: makes the status of this process.
        view: the ownership records.
        records: reads records of other zones.
        peers: links to the others.
        zones: the availability zones.
    """

    def __init__(
        self,
        own: Callable[[], StatusIs],
        view: ZoneView,
        records: RecordStore,
        peers: Peers,
        zones: list[str],
    ) -> None:
        self._own = own
        self._view = view
        self._records = records
        self._peers = peers
        self._zones = zones

    @handles(AskStatus, nonblocking=True)
    def tell(self, peer: Member, message: AskStatus) -> StatusIs:
        """Tell a peer the status of this process."""
        return self._own()

    def all(self) -> FleetStatus:
        """Ask every process."""
        for zone in self._zones:
            if zone != self._view.member.zone:
                self._records.refresh(zone)
        members = [m for zone in self._zones for m in self._view.record_of_zone(zone).members]
        greenlets = [gevent.spawn(self._ask, member) for member in members]
        gevent.joinall(greenlets)
        answers = [greenlet.value for greenlet in greenlets]
        missing = [m.link_address for m, a in zip(members, answers, strict=True) if a is None]
        return FleetStatus([answer for answer in answers if answer is not None], missing)

    def usage(self, service: str) -> Usage:
        """Return the present use of a service, from every process that answers."""
        fleet = self.all()
        usage = Usage(not_asked=fleet.not_asked)
        for process in fleet.processes:
            for use in process.pools:
                if use.pool == service:
                    _add_workers(usage, process.member.zone, use)
                elif use.pool == upstream_pool(service):
                    usage.running_by_upstream.update(use.running)
        return usage

    def check_is_here(self, name: str) -> None:
        """Refuse a name that does not mean this process.

        Raises:
            Refusal: ``MALFORMED_BODY``.
        """
        me = self._view.member
        if name not in (me.member_id, me.http_address, me.link_address):
            raise Refusal(
                ResultCode.MALFORMED_BODY,
                f"{name!r} is not this process; ask {me.http_address} for itself",
            )

    def _ask(self, member: Member) -> StatusIs | None:
        try:
            return self._peers.request(member, AskStatus(), ASK_TIMEOUT_MS)
        except (LinkLost, Refusal):
            return None


def _add_workers(usage: Usage, zone: str, use: PoolUse) -> None:
    usage.running_by_worker.update(use.running)
    waiting = usage.waiting_by_zone.get(zone, 0)
    usage.waiting_by_zone[zone] = max(waiting, use.waiting)
    teams = usage.team_tasks_by_zone.setdefault(zone, {})
    for team, tasks in use.team_tasks.items():
        teams[team] = teams.get(team, 0) + tasks
