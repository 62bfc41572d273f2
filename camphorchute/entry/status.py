"""Status of all entry processes, collected for operators."""

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

STATUS_TIMEOUT_MS = 1500.0


class FleetStatus(msgspec.Struct):
    """Status of all processes.

    Attributes:
        processes: the status of each process that answered.
        not_asked: link addresses of the processes that did not answer.
    """

    processes: list[StatusIs]
    not_asked: list[str]


class StatusBoard:
    """Collects the status of every known entry process.

    Args:
        make_own_status: returns the status of this process.
        view: the ownership records of the zones.
        records: refreshes the records of other zones.
        peers: the links to the other processes.
        zones: names of the availability zones.
    """

    def __init__(
        self,
        make_own_status: Callable[[], StatusIs],
        view: ZoneView,
        records: RecordStore,
        peers: Peers,
        zones: list[str],
    ) -> None:
        self._make_own_status = make_own_status
        self._view = view
        self._records = records
        self._peers = peers
        self._zones = zones

    @handles(AskStatus, nonblocking=True)
    def report_status(self, peer: Member, message: AskStatus) -> StatusIs:
        """Return the status of this process to a peer."""
        return self._make_own_status()

    def query_all(self) -> FleetStatus:
        """Request the status of every process in all zones."""
        for zone in self._zones:
            if zone != self._view.member.zone:
                self._records.refresh(zone)
        members = [m for zone in self._zones for m in self._view.record_of_zone(zone).members]
        greenlets = [gevent.spawn(self._request_status, member) for member in members]
        gevent.joinall(greenlets)
        answers = [greenlet.value for greenlet in greenlets]
        missing = [m.link_address for m, a in zip(members, answers, strict=True) if a is None]
        return FleetStatus([answer for answer in answers if answer is not None], missing)

    def usage(self, service: str) -> Usage:
        """Return the current usage of a service, combined from all processes that answer."""
        fleet = self.query_all()
        usage = Usage(not_asked=fleet.not_asked)
        for process in fleet.processes:
            for use in process.pools:
                if use.pool == service:
                    _add_workers(usage, process.member.zone, use)
                elif use.pool == upstream_pool(service):
                    usage.running_by_upstream.update(use.running)
        return usage

    def check_names_this_process(self, name: str) -> None:
        """Check that a name identifies this process.

        Args:
            name: a member id, HTTP address or link address.

        Raises:
            Refusal: ``MALFORMED_BODY`` if it is none of those of this process.
        """
        own = self._view.member
        if name not in (own.member_id, own.http_address, own.link_address):
            raise Refusal(
                ResultCode.MALFORMED_BODY,
                f"{name!r} is not this process, expected {own.member_id!r} or {own.http_address!r}",
            )

    def _request_status(self, member: Member) -> StatusIs | None:
        try:
            return self._peers.request(member, AskStatus(), STATUS_TIMEOUT_MS)
        except (LinkLost, Refusal):
            return None


def _add_workers(usage: Usage, zone: str, use: PoolUse) -> None:
    usage.running_by_worker.update(use.running)
    waiting = usage.waiting_by_zone.get(zone, 0)
    usage.waiting_by_zone[zone] = max(waiting, use.waiting)
    teams = usage.team_tasks_by_zone.setdefault(zone, {})
    for team, tasks in use.team_tasks.items():
        teams[team] = teams.get(team, 0) + tasks
