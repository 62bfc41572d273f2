"""The entry process on a hosting platform with fenced workers: assembles its components."""

import signal
import time
import uuid

import gevent
from eliot import log_message
from gevent.event import Event

import camphorchute.platform  # noqa: F401 - fills the registry of platforms
from camphorchute.cluster import (
    OWN_PREFIX,
    ClusterView,
    ConfigurationFetch,
    Connectivity,
    GroupClaims,
    Heartbeats,
    MembershipLease,
    StoreFollower,
    ZoneEvacuations,
)
from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.member import Member
from camphorchute.durable_jobs import JobWriter, ShardClaims, ShardOwner
from camphorchute.durable_jobs.shard import ShardContext
from camphorchute.entry.http_limits import HttpLimits
from camphorchute.entry.http_server import HttpServer
from camphorchute.entry.logs import start_logs
from camphorchute.entry.loop_lag import LoopLag
from camphorchute.entry.metrics import Metrics
from camphorchute.entry.queue_endpoints import QueueEndpoints, ReadinessEndpoints
from camphorchute.hosting import make_platform
from camphorchute.links import Handlers, Peers
from camphorchute.loops import spawn_loop
from camphorchute.policies import POLICY_REGISTRIES, DecisionPolicies
from camphorchute.policies.readiness import ServingState
from camphorchute.queues import (
    FreeCapacityReports,
    FreeCapacityView,
    QueueOwner,
    ReportSubscriptions,
    ServiceZones,
)
from camphorchute.retry_after import spread_retry_after_ms
from camphorchute.runs import GroupScheduler, WitnessChoice

__all__ = ["HostedProcess", "run"]

MS_PER_S = 1000.0
WORKER_CHANGES_BATCH_MS = 600.0
CLUSTER_CHANGES_BATCH_MS = 80.0
ACCEPT_DRAIN_FRACTION = 0.45
READY_LIMITS = HttpLimits(body_max_bytes=1024, receive_max_bytes=65_536, connections_max=64)
COUNTERS_LOG_INTERVAL_S = 60.0
JOB_WRITES_FRACTION = 0.5
LONG_PAUSE_MS = 2000.0


class HostedProcess:
    """One entry process, which serves the queues of a hosting platform.

    Args:
        settings: the validated settings.

    Attributes:
        stopping: event that is set when a graceful shutdown is requested.
    """

    def __init__(self, settings: object) -> None:
        self.stopping = Event()
        self._settings = settings
        self._metrics = Metrics(settings.statsd_address)
        count = self._metrics.count
        self._member = Member(
            uuid.uuid4().hex[:12],
            settings.zone,
            settings.host,
            settings.rack,
            settings.advertise_link_address,
            settings.advertise_http_address,
        )
        self._platform = make_platform(settings.platform, settings.store_addresses[0], count)
        store = self._platform.store
        self._handlers = Handlers(count)
        self._peers = Peers(
            self._member, sorted(settings.zones), self._handlers, settings.link_address
        )
        platform = self._platform
        zone_evacuations = ZoneEvacuations(
            platform.decode_evacuated_zone, count, settings.zones, settings.evacuation_return_ms
        )
        self._view = ClusterView(platform, count, zone_evacuations)
        self._view.expected_zones = settings.zones
        self._worker_follower = StoreFollower(
            store, platform.worker_prefix, self._view, count, WORKER_CHANGES_BATCH_MS
        )
        self._followers = [
            StoreFollower(store, OWN_PREFIX, self._view, count, CLUSTER_CHANGES_BATCH_MS),
            StoreFollower(store, platform.operator_prefix, self._view, count),
            self._worker_follower,
        ]
        self._lease = MembershipLease(store, self._member, count)
        self._policies = DecisionPolicies(
            **{name: getattr(settings, f"{name}_policy") for name in POLICY_REGISTRIES}
        )
        self._scheduler = GroupScheduler(
            self._platform.open_worker_client, self._peers.send_if_linked, count, self._policies
        )
        self._scheduler.placement_notices.notify = self._peers.send_if_linked
        self._scheduler.placement_notices.own_id = self._member.member_id
        self._scheduler.binding_exchange.send_to_all = lambda message: self._peers.send_to_all(
            self._other_members(), message
        )
        announcements = self._scheduler.start_announcements
        announcements.own_id = self._member.member_id
        announcements.choice = WitnessChoice(self._member.member_id, self._view.member_ring)
        announcements.send = self._peers.send_or_open
        self._scheduler.start_witness.send = self._peers.send_if_linked
        self._scheduler.start_witness.is_leaving = self.stopping.is_set
        self._scheduler.zone_availability = zone_evacuations
        self._scheduler.on_paused = self._handle_pause
        self._scheduler.are_workers_current = self._worker_follower.is_current
        self._view.on_worker_changed = self._scheduler.update_worker_entry
        self._capacity_view = FreeCapacityView(settings.zone, self._policies.worker_choice, count)
        self._capacity_view.service_zones = ServiceZones(self._view.zones_of, zone_evacuations)
        self._capacity_view.capacities = self._view.capacities
        self._capacity_view.request_reports = ReportSubscriptions(
            self._member,
            self._view,
            self._capacity_view.service_zones.is_zone_evacuated,
            lambda member, for_ms: self._heartbeats.request_reports(member, for_ms),
            count,
        ).request
        self._claims = GroupClaims(
            store,
            self._view,
            self._lease,
            self._member,
            self._scheduler,
            lambda group: self._capacity_view.scheduler_of(group) is not None,
            count,
        )
        self._configuration_fetch = ConfigurationFetch(
            self._peers, self._view, lambda: store.outage.is_lost, count
        )
        self._heartbeats = Heartbeats(self._peers, self._view, self._configuration_fetch, count)
        self._heartbeats.awaited_members = self._scheduler.owners
        self._scheduler.owner_contacts.resend_ms = settings.resend_ms
        self._scheduler.owner_contacts.running_at_s = self._peers.running_at_s
        self._scheduler.owner_contacts.request_proof = self._heartbeats.request_answer
        connectivity = Connectivity(self._peers, self._view, self._lease, self._heartbeats)
        self._scheduler.owner_contacts.connected_at_s = connectivity.connected_at_s
        self._owner = QueueOwner(
            self._capacity_view,
            self._view.scheduler_of,
            self._peers,
            count,
            self._policies.admission,
            self._policies.concurrency_limit,
        )
        self._owner.crash_guard.policy = self._policies.crash_limit
        self._owner.crash_guard.fate_of = self._view.worker_fates.fate_of
        self._owner.admission.has_workers = self._view.has_workers
        self._owner.find_start = self._scheduler.start_witness.find
        self._owner.is_worker_listed = lambda worker_id: worker_id in self._view.workers
        self._owner.admission.own_delay_ms = lambda: self._loop_lag.job_delay_ms()
        self._owner.report_bound = self._scheduler.binding_exchange.add_tasks
        self._owner.is_settled = self._scheduler.pause_watch.is_settled
        self._created_s = time.monotonic()
        self._capacity_reports = FreeCapacityReports(
            self._scheduler, self._peers, self._view, count
        )
        self._loop_lag = LoopLag(count)
        self._writer = JobWriter(store, self._job_write_pause_ms, count)
        self._shard_claims = ShardClaims(store, self._view, self._lease, self._member, count)
        shard_context = ShardContext(
            store, self._writer, self._view, self._lease, self._owner, self._peers, count
        )
        self._shard_owner = ShardOwner(
            self._member, self._shard_claims, self._capacity_view, shard_context
        )
        limits = HttpLimits(
            settings.body_max_bytes, settings.receive_max_bytes, settings.connections_max
        )
        self._http = HttpServer(settings.http_address, limits, count)
        self._ready_http = HttpServer(settings.ready_address, READY_LIMITS, count)
        self._greenlets: list[gevent.Greenlet] = []
        self._connect_components(count)

    def start(self) -> None:
        """Start every component and listen for HTTP requests."""
        count = self._metrics.count
        self._peers.start()
        cluster_components = (
            *self._followers,
            self._lease,
            self._scheduler,
            self._claims,
            self._configuration_fetch,
            self._heartbeats,
        )
        job_components = (
            self._loop_lag,
            self._capacity_reports,
            self._writer,
            self._shard_claims,
            self._shard_owner,
        )
        for component in (*cluster_components, *job_components):
            component.start()
        self._greenlets.append(spawn_loop("entry", self._log_counters, count))
        self._ready_http.start()
        self._http.start()
        log_message(
            message_type="entry",
            text="entry: started",
            member=self._member.member_id,
            zone=self._member.zone,
        )

    def close(self) -> None:
        """Release the claims, then shut down gracefully.

        New jobs are accepted for the first ``ACCEPT_DRAIN_FRACTION`` of the drain time, until the
        load balancer has noticed that this process is not ready. Requests in flight may complete
        until the drain time (setting ``drain_ms``) has passed.
        """
        log_message(message_type="entry", text="entry: stopping", jobs=self._owner.open_job_count())
        started_s = time.monotonic()
        deadline_s = started_s + self._settings.drain_ms / MS_PER_S
        self._claims.close()
        self._shard_claims.close()
        accept_until_s = started_s + ACCEPT_DRAIN_FRACTION * self._settings.drain_ms / MS_PER_S
        gevent.sleep(max(0.0, accept_until_s - time.monotonic()))
        all_requests_ended = self._http.close(max(0.0, deadline_s - time.monotonic()) * MS_PER_S)
        if not all_requests_ended:
            self._metrics.count("entry.requests_cut")
        self._shard_owner.close()
        self._writer.close()
        self._scheduler.close()
        self._lease.close()
        self._capacity_reports.close()
        self._loop_lag.close()
        self._heartbeats.close()
        self._configuration_fetch.close()
        for follower in self._followers:
            follower.close()
        gevent.killall(self._greenlets, block=False)
        self._peers.close()
        self._ready_http.close(0)
        self._platform.store.close()
        self._metrics.close()
        log_message(message_type="entry", text="entry: stopped", counters=self.counters())

    def counters(self) -> dict[str, int]:
        """Return all counters by name, including the store calls and failures by kind."""
        store = self._platform.store
        calls = {f"store.calls.{name}": n for name, n in store.calls.items()}
        failures = {f"store.failed.{name}": n for name, n in store.failures.items()}
        return dict(sorted({**self._metrics.counters, **calls, **failures}.items()))

    def _log_counters(self) -> None:
        """Log the counters periodically, so that the logs alone show the state of a process."""
        while True:
            gevent.sleep(COUNTERS_LOG_INTERVAL_S)
            log_message(message_type="entry", text="entry: counters", counters=self.counters())

    def _connect_components(self, count: object) -> None:
        for component in (
            self._scheduler,
            self._scheduler.durable_tasks,
            self._scheduler.binding_exchange,
            self._scheduler.start_witness,
            self._scheduler.start_announcements,
            self._configuration_fetch,
            self._heartbeats,
            self._capacity_view,
            self._owner,
            self._shard_owner,
            self._shard_owner.end_confirmations,
        ):
            self._handlers.register(component)
        self._claims.can_act_in_time = self._shard_claims.can_act_in_time = (
            lambda: not self._loop_lag.is_behind
        )
        self._scheduler.arrival_checks.loop_delay_ms = self._loop_lag.arrival_delay_ms
        self._scheduler.retained_ends.report = self._shard_owner.end_confirmations.report
        self._scheduler.is_durable_job = self._shard_owner.is_durable
        self._claims.is_isolated = self._heartbeats.is_isolated
        self._heartbeats.on_reports_requested = self._capacity_reports.subscribe
        self._peers.on_link_closed = self._handle_lost_peer
        endpoints = QueueEndpoints(
            self._platform,
            self._view,
            self._owner,
            self._shard_owner,
            self._refuse_not_serving,
            count,
        )
        self._http.add(endpoints)
        self._ready_http.add(ReadinessEndpoints(self._is_ready, self.counters))

    def _handle_pause(self, paused_ms: float) -> None:
        """Read the workers again after a pause in which their capacity may have changed."""
        if paused_ms >= LONG_PAUSE_MS:
            self._worker_follower.read_again()

    def _other_members(self) -> list[Member]:
        members = self._view.members.values()
        return [member for member in members if member.member_id != self._member.member_id]

    def _handle_lost_peer(self, peer: Member) -> None:
        self._scheduler.drop_owner(peer.member_id)
        self._owner.mark_scheduler_lost(peer.member_id)

    def _job_write_pause_ms(self) -> float:
        """Return the pause between job writes, in milliseconds.

        It keeps the writes of all processes together within their share of the store's rate limit.
        """
        writes_per_s = JOB_WRITES_FRACTION * self._settings.store_writes_per_s
        return MS_PER_S * max(1, len(self._view.members)) / writes_per_s

    def _is_ready(self) -> bool:
        state = ServingState(
            self._view.queues is not None,
            self._capacity_view.has_reports(),
            (time.monotonic() - self._created_s) * MS_PER_S,
        )
        is_able = not self.stopping.is_set() and not self._loop_lag.is_behind
        return is_able and self._policies.readiness(state)

    def _refuse_not_serving(self) -> None:
        if self._view.queues is None:
            raise Refusal(
                ResultCode.NOT_READY, "no configuration is known yet", spread_retry_after_ms()
            )


def run(settings: object) -> None:
    """Run an entry process until SIGTERM or SIGINT."""
    start_logs(settings.log_file)
    process = HostedProcess(settings)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, process.stopping.set)
    gevent.signal_handler(signal.SIGHUP, _log_unsupported_reload)
    process.start()
    process.stopping.wait()
    process.close()


def _log_unsupported_reload() -> None:
    """Log that SIGHUP has no effect: settings are flags and environment variables."""
    log_message(
        message_type="entry", text="entry: SIGHUP ignored; settings are read at the start only"
    )
