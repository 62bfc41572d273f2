"""The entry process with plain HTTP workers: creates, connects, starts and stops its components."""

import os
import random
import signal
import sys
import time
import uuid
from collections.abc import Callable

import gevent
from eliot import log_message
from gevent.event import Event

from camphorchute.contracts import InvariantBroken, Refusal, ResultCode
from camphorchute.contracts.job import DEADLINE_MAX_MS
from camphorchute.contracts.member import Member
from camphorchute.contracts.messages import Heartbeat, PoolUse, StatusIs
from camphorchute.entry.caller_endpoints import CallerEndpoints, HealthEndpoints
from camphorchute.entry.config_component import ConfigComponent
from camphorchute.entry.http_limits import HttpLimits
from camphorchute.entry.http_server import HttpServer
from camphorchute.entry.logs import start_logs
from camphorchute.entry.metrics import Metrics
from camphorchute.entry.operator_endpoints import OperatorEndpoints
from camphorchute.entry.scheduler_component import SchedulerComponent
from camphorchute.entry.status import StatusBoard
from camphorchute.entry.zone_list import ZonesDiffer, ensure_zone_list
from camphorchute.jobs import Admission, Dispatcher, JobOwner, Recovery, Router
from camphorchute.links import Handlers, Peers
from camphorchute.loops import wait_for_event
from camphorchute.platform import EtcdStore, VmList, VmState
from camphorchute.services import Catalogue, Distribution, Planner
from camphorchute.workers import SchedulerTiming, TaskScheduler
from camphorchute.zones import (
    DeathRegistry,
    Ledger,
    Membership,
    RecordStore,
    ShardRecovery,
    Witnessing,
    ZoneView,
)

__all__ = ["EntryProcess", "run"]

MS_PER_S = 1000.0
VM_LIST_MIN_INTERVAL_MS = 2000.0
VM_LIST_IDLE_INTERVAL_MS = 60_000.0
LAG_CHECK_INTERVAL_MS = 100.0
LAG_THRESHOLD_MS = 100.0
LEAVING_RETRY_AFTER_MS = 1000
LEAVE_DRAIN_FRACTION = 0.5
USAGE_EXIT_STATUS = 2
BROKEN_INVARIANT_EXIT_STATUS = 70


class EntryProcess:
    """One entry process, which serves callers and starts tasks on the workers of its zone.

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
        zones = sorted(settings.zones)
        window_ms = settings.window_s * MS_PER_S
        self._handlers = Handlers(count)
        self._peers = Peers(self._member, zones, self._handlers, settings.link_address)
        self._store = EtcdStore([_address_of_url(url) for url in settings.store_url])
        self._vm_list = (
            VmList(_address_of_url(settings.vm_list_url)) if settings.vm_list_url else None
        )
        self._vm_list_requested = Event()
        self._view = ZoneView(self._member)
        self._records = RecordStore(self._store, self._view, count)
        self._deaths = DeathRegistry(self._is_vm_gone, count, self._peers.is_linked)
        self._ledger = Ledger(settings.ledger_max_keys)
        self._witnessing = Witnessing(self._peers, self._view, self._ledger, count)
        self._shard_recovery = ShardRecovery(
            self._view,
            self._peers,
            self._ledger,
            self._witnessing,
            self._records,
            self._deaths,
            count,
        )
        self._membership = Membership(
            self._view,
            self._peers,
            self._records,
            self._deaths,
            self._make_heartbeat,
            settings.heartbeat_ms,
            settings.suspect_ms,
            max(window_ms, DEADLINE_MAX_MS) + 2 * settings.clock_skew_ms,
            count,
        )
        self._catalogue = Catalogue()
        self._config_component = ConfigComponent(self._catalogue, self._peers, self._view)
        self._distribution = Distribution(
            self._store, self._catalogue, self._config_component, self._config_component.is_watcher
        )
        self._scheduler = TaskScheduler(
            self._member.member_id,
            self._peers.send_if_linked,
            metrics=count,
            timing=SchedulerTiming(remember_s=self._start_retention_s()),
        )
        self._scheduler_component = SchedulerComponent(
            self._scheduler, self._view, self._catalogue, self._peers, count
        )
        self._dispatcher = Dispatcher(self._view, self._peers, self._find_policy, count)
        self._recovery = Recovery(
            self._view, self._peers, self._deaths, self._scheduler_component.find_attempts, count
        )
        self._admission = Admission(
            self._catalogue.get_definition,
            self._dispatcher.pending_task_count,
            lambda service, team: self._owner.count_open_tasks_of_team(service, team),
            settings.zone,
            lambda: self._catalogue.ready,
        )
        self._owner = JobOwner(
            self._view,
            self._ledger,
            self._witnessing,
            self._admission,
            self._dispatcher,
            self._recovery,
            zones,
            window_ms,
            settings.clock_skew_ms,
            settings.answer_retention_s * MS_PER_S,
            count,
        )
        self._router = Router(
            self._view, self._peers, self._records, self._membership, zones, count
        )
        self._status_board = StatusBoard(
            self._make_status, self._view, self._records, self._peers, zones
        )
        self._http = HttpServer(
            settings.http_address,
            HttpLimits(
                settings.body_max_bytes, settings.receive_max_bytes, settings.connections_max
            ),
            count,
        )
        self._http.late_refusal = Refusal(ResultCode.LEAVING, "", LEAVING_RETRY_AFTER_MS)
        self._greenlets: list[gevent.Greenlet] = []
        self._connect_components(zones)
        self._handlers.on_invariant_broken = self._exit_on_broken_invariant
        _install_invariant_hook(self._exit_on_broken_invariant)

    def start(self) -> None:
        """Start every component and wait until this process is a member of its zone.

        Raises:
            ZonesDiffer: the list of availability zones in the store differs from the settings.
        """
        self._store.start()
        self._peers.start()
        self._http.start()
        ensure_zone_list(self._store, self._settings.zones, self._metrics.count)
        self._owner.start()
        self._shard_recovery.start()
        self._membership.start()
        self._distribution.start()
        self._scheduler_component.start()
        self._greenlets = [
            gevent.spawn(self._monitor_loop_lag),
            gevent.spawn(self._refresh_vm_list),
        ]
        wait_for_event(self._membership.joined)
        log_message(
            message_type="entry",
            text=f"entry: {self._member.member_id} serves {self._member.zone}",
        )

    def close(self) -> None:
        """Shut down gracefully.

        Requests in flight may complete until the drain time (setting ``drain_ms``) has passed.
        Those that arrive on open connections after the hand-over are refused.
        """
        drain_ms = self._settings.drain_ms
        deadline_s = time.monotonic() + drain_ms / MS_PER_S
        self.stopping.set()
        log_message(message_type="entry", text="entry: leaving the zone")
        handed_over = self._membership.leave(drain_ms * LEAVE_DRAIN_FRACTION)
        all_requests_ended = self._http.close(_remaining_ms(deadline_s))
        self._scheduler_component.close(_remaining_ms(deadline_s))
        self._wait_for_open_submissions(deadline_s)
        for component in (self._distribution, self._membership, self._shard_recovery, self._owner):
            component.close()
        gevent.killall(self._greenlets)
        self._peers.close()
        self._store.close()
        log_message(
            message_type="entry",
            text="entry: stopped",
            handed_over=handed_over,
            requests_ended=all_requests_ended,
        )
        self._metrics.close()

    def _start_retention_s(self) -> float:
        """Return how long a scheduler remembers started tasks, in seconds.

        This is longer than any owner remembers a key.
        """
        margin_ms = DEADLINE_MAX_MS + 2 * self._settings.clock_skew_ms
        return self._settings.window_s + margin_ms / MS_PER_S

    def _connect_components(self, zones: list[str]) -> None:
        for component in (
            self._membership,
            self._witnessing,
            self._owner,
            self._scheduler_component,
            self._config_component,
            self._status_board,
        ):
            self._handlers.register(component)
        self._peers.on_member_dead = self._deaths.record_death
        self._peers.on_link_closed = self._handle_lost_peer
        self._view.change_listeners.append(self._vm_list_requested.set)
        self._membership.heartbeat_listeners.append(self._receive_heartbeat)
        planner = Planner(self._store, self._catalogue, zones, self._status_board.usage)
        endpoints = (
            CallerEndpoints(self._router, self._refuse_unready, self._metrics.count),
            HealthEndpoints(self._refuse_not_serving),
            OperatorEndpoints(
                self._settings.operator_token,
                planner,
                self._catalogue,
                self._status_board,
                self.stopping.set,
                lambda: dict(self._metrics.counters),
            ),
        )
        for endpoint in endpoints:
            self._http.add(endpoint)

    def _exit_on_broken_invariant(self, error: InvariantBroken) -> None:
        """Exit immediately, since a process with a broken invariant must make no more decisions."""
        self._metrics.count(f"invariant.{error.name}")
        log_message(message_type="entry", text=f"entry: invariant broken: {error}")
        sys.stderr.flush()
        os._exit(BROKEN_INVARIANT_EXIT_STATUS)

    def _receive_heartbeat(self, peer: Member, heartbeat: Heartbeat) -> None:
        self._distribution.receive_peer_revision(heartbeat.config_revision, heartbeat.config_age_ms)
        if peer.zone == self._member.zone:
            self._dispatcher.receive_heartbeat(peer, heartbeat)

    def _handle_lost_peer(self, peer: Member) -> None:
        if peer.zone == self._member.zone:
            self._scheduler.drop_owner(peer.member_id)
            self._owner.recover_from_lost_scheduler(peer)

    def _make_heartbeat(self) -> Heartbeat:
        message = Heartbeat(
            self._view.record.version,
            self._catalogue.revision,
            _encode_age_ms(self._catalogue.age_ms),
            self.stopping.is_set(),
            [] if self.stopping.is_set() else self._scheduler.slot_counts(),
        )
        self._dispatcher.receive_heartbeat(self._member, message)
        return message

    def _make_status(self) -> StatusIs:
        record = self._view.record
        return StatusIs(
            self._member,
            self._is_ready(),
            self.stopping.is_set(),
            self._catalogue.revision,
            _encode_age_ms(self._catalogue.age_ms),
            record.version,
            len(record.shards_of(self._member.member_id)),
            [member.member_id for member in record.members],
            self._collect_pool_uses(),
        )

    def _collect_pool_uses(self) -> list[PoolUse]:
        uses = {
            name: PoolUse(name, running) for name, running in self._scheduler.busy_slots().items()
        }
        for pool, teams in self._owner.count_open_tasks().items():
            uses.setdefault(pool, PoolUse(pool)).team_tasks = teams
        for pool, use in uses.items():
            use.waiting = self._dispatcher.pending_task_count(pool)
        return list(uses.values())

    def _is_ready(self) -> bool:
        return self._catalogue.ready and self._view.record.version > 0

    def _refuse_unready(self) -> None:
        if not self._is_ready():
            raise Refusal(ResultCode.NOT_READY, "configuration or zone not known yet", 500)

    def _refuse_not_serving(self) -> None:
        self._refuse_unready()
        if self.stopping.is_set():
            raise Refusal(ResultCode.LEAVING, "", LEAVING_RETRY_AFTER_MS)

    def _find_policy(self, pool: str) -> str:
        definition = self._catalogue.get_definition(pool.partition("/")[0])
        return definition.policy if definition else "home"

    def _is_vm_gone(self, host: str) -> bool:
        """Return whether the VM list shows a host as gone, and request a refresh of the list."""
        if self._vm_list is None:
            return False
        self._vm_list_requested.set()
        return self._vm_list.state(host) is VmState.GONE

    def _refresh_vm_list(self) -> None:
        """Refresh the VM list on request, and at idle intervals to discover new VMs."""
        while self._vm_list is not None:
            self._vm_list_requested.clear()
            self._vm_list.refresh()
            gevent.sleep(VM_LIST_MIN_INTERVAL_MS / MS_PER_S)
            pause_s = random.uniform(0.5, 1.0) * VM_LIST_IDLE_INTERVAL_MS / MS_PER_S
            wait_for_event(self._vm_list_requested, pause_s)

    def _monitor_loop_lag(self) -> None:
        """Count how often the event loop was delayed by more than ``LAG_THRESHOLD_MS``."""
        while True:
            before_s = time.monotonic()
            gevent.sleep(LAG_CHECK_INTERVAL_MS / MS_PER_S)
            lag_ms = (time.monotonic() - before_s) * MS_PER_S - LAG_CHECK_INTERVAL_MS
            if lag_ms > LAG_THRESHOLD_MS:
                self._metrics.count("entry.loop_lagged")

    def _wait_for_open_submissions(self, deadline_s: float) -> None:
        while self._router.count_open_submissions() and _remaining_ms(deadline_s) > 0:
            gevent.sleep(0.02)


def run(settings: object) -> None:
    """Run an entry process until SIGTERM or SIGINT.

    Exits with status 2 if the list of availability zones differs from the one in the store.
    """
    start_logs(settings.log_file)
    process = EntryProcess(settings)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, process.stopping.set)
    try:
        process.start()
    except ZonesDiffer as error:
        print(f"invalid settings: {error}", file=sys.stderr)
        sys.exit(USAGE_EXIT_STATUS)
    process.stopping.wait()
    process.close()


def _install_invariant_hook(on_broken_invariant: Callable[[InvariantBroken], None]) -> None:
    """Call a function for every InvariantBroken that a greenlet raises, after it is printed."""
    hub = gevent.get_hub()
    print_error = hub.handle_error

    def handle_error(context: object, kind: type, value: object, trace: object) -> None:
        print_error(context, kind, value, trace)
        if isinstance(value, InvariantBroken):
            on_broken_invariant(value)

    hub.handle_error = handle_error


def _address_of_url(url: str) -> str:
    return url.removeprefix("http://").rstrip("/")


def _encode_age_ms(age_ms: float | None) -> float:
    return -1.0 if age_ms is None else age_ms


def _remaining_ms(deadline_s: float) -> float:
    return max(0.0, (deadline_s - time.monotonic()) * MS_PER_S)
