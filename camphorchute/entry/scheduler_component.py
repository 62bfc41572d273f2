"""The scheduler of this process: assigns back ends to it and handles the messages of owners."""

from collections.abc import Callable

import gevent
import msgspec
from eliot import log_message, write_traceback
from gevent.event import Event

from camphorchute.contracts import Refusal
from camphorchute.contracts.member import Member
from camphorchute.contracts.messages import (
    CancelTasks,
    Demand,
    Done,
    FindTasks,
    FoundTasks,
    HandOff,
    TasksReturned,
)
from camphorchute.jobs.pools import upstream_pool
from camphorchute.links import Peers, handles
from camphorchute.loops import wait_for_event
from camphorchute.rendezvous import rendezvous_score
from camphorchute.services import Catalogue, ServiceDefinition, Upstream, Worker
from camphorchute.workers import HttpWorker, TaskScheduler
from camphorchute.workers.back_end import BackEndError, FoundAttempt
from camphorchute.zones import ZoneView

__all__ = ["SchedulerComponent", "choose_scheduler"]

FIND_TIMEOUT_S = 2.0


def choose_scheduler(address: str, members: list[Member]) -> Member:
    """Return the member that schedules a back end's tasks, by rendezvous hashing.

    Args:
        address: ``IP:port`` of the back end.
        members: the members of the back end's zone, at least one.

    Examples:
        >>> a = Member("a", "north", "vm1", "", "127.0.0.1:1", "127.0.0.1:2")
        >>> choose_scheduler("127.0.2.1:9000", [a]).member_id
        'a'
    """
    return max(members, key=lambda member: rendezvous_score(member.member_id, address))


class SchedulerComponent:
    """Connects the scheduler with the ownership records, the catalogue and the links.

    Args:
        scheduler: the scheduler, which starts tasks on back ends.
        view: the ownership records of the zones.
        catalogue: the services in force.
        peers: the links to owners.
        count: adds to a named counter.
    """

    def __init__(
        self,
        scheduler: TaskScheduler,
        view: ZoneView,
        catalogue: Catalogue,
        peers: Peers,
        count: Callable[..., None],
    ) -> None:
        self._scheduler = scheduler
        self._view = view
        self._catalogue = catalogue
        self._peers = peers
        self._count = count
        self._inputs_changed = Event()
        self._search_clients: dict[str, HttpWorker] = {}
        self._greenlet = None

    def start(self) -> None:
        """Start the scheduler and reassign back ends when the record or the catalogue changes."""
        self._scheduler.start()
        self._view.change_listeners.append(self._inputs_changed.set)
        self._catalogue.add_listener(lambda record: self._inputs_changed.set())
        self._greenlet = gevent.spawn(self._follow_changes)

    def close(self, timeout_ms: float) -> None:
        """Stop starting tasks and wait for the running ones, ``timeout_ms`` at most."""
        if self._greenlet is not None:
            self._greenlet.kill()
        self._scheduler.close(timeout_ms)
        for client in self._search_clients.values():
            client.close()

    @handles(HandOff, nonblocking=True)
    def start_tasks(self, peer: Member, message: HandOff) -> Done:
        """Schedule an owner's tasks, or return them if its term is stale."""
        if message.tasks:
            try:
                self._view.check_term(self._view.member.zone, message.shard, message.term)
            except Refusal as refusal:
                self._count("home.returned.stale_term", len(message.tasks))
                self._return_tasks(peer, message, refusal)
                return Done()
            log_message(
                message_type="workers",
                text="workers: tasks received",
                job=message.key,
                tasks=len(message.tasks),
            )
        self._scheduler.dispatch_tasks(message)
        return Done()

    @handles(Demand, nonblocking=True)
    def receive_demand(self, peer: Member, message: Demand) -> Done:
        """Record the number of tasks that are pending at an owner."""
        self._scheduler.set_demand(peer.member_id, message)
        return Done()

    @handles(CancelTasks, nonblocking=True)
    def cancel_tasks(self, peer: Member, message: CancelTasks) -> Done:
        """Cancel a job's tasks: start no more of them and stop the running ones."""
        self._scheduler.cancel_tasks(message)
        return Done()

    @handles(FindTasks, nonblocking=True)
    def find_tasks(self, peer: Member, message: FindTasks) -> FoundTasks:
        """Return what this scheduler knows of a job's tasks.

        Raises:
            Refusal: the sender's term is stale.
        """
        self._view.check_term(self._view.member.zone, message.shard, message.term)
        return self._scheduler.find_tasks(message)

    def find_attempts(self, service: str, job: str) -> list[FoundAttempt]:
        """Return the attempts of a job that the service's workers in this zone report.

        Workers that do not answer within ``FIND_TIMEOUT_S`` are left out.
        """
        definition = self._catalogue.get_definition(service)
        workers = self._filter_own_zone(definition.workers) if definition else []
        greenlets = [gevent.spawn(self._find_attempts_on_worker, worker, job) for worker in workers]
        gevent.joinall(greenlets, timeout=FIND_TIMEOUT_S)
        return [item for g in greenlets for item in (g.value or [])]

    def _find_attempts_on_worker(self, worker: Worker, job: str) -> list[FoundAttempt]:
        client = self._search_clients.get(worker.address)
        if client is None:
            client = HttpWorker(self._view.member.member_id, worker.address)
            self._search_clients[worker.address] = client
        try:
            return client.find_attempts(job)
        except BackEndError:
            self._count("home.retry.find")
            return []

    def _return_tasks(self, peer: Member, message: HandOff, refusal: Refusal) -> None:
        attempts = [task.attempt for task in message.tasks]
        returned = TasksReturned(message.key, attempts, int(refusal.code), refusal.detail)
        self._peers.send_if_linked(peer.member_id, returned)

    def _follow_changes(self) -> None:
        while True:
            wait_for_event(self._inputs_changed)
            self._inputs_changed.clear()
            self._assign_back_ends()

    def _assign_back_ends(self) -> None:
        for record in self._catalogue.list_records():
            definition = record.definition or ServiceDefinition(record.name)
            try:
                self._assign_back_ends_of(definition)
            except Exception:  # noqa: BLE001 - the other services must get their back ends
                self._count("home.assign_failed")
                write_traceback()

    def _assign_back_ends_of(self, definition: ServiceDefinition) -> None:
        self._scheduler.set_workers(definition, self._filter_assigned(definition.workers))
        requests = msgspec.structs.replace(definition, name=upstream_pool(definition.name))
        self._scheduler.set_workers(requests, self._filter_assigned(definition.upstreams))

    def _filter_own_zone(self, back_ends: list) -> list:
        return [b for b in back_ends if b.zone == self._view.member.zone]

    def _filter_assigned(self, back_ends: list[Worker | Upstream]) -> list[Worker | Upstream]:
        members = self._view.record.members
        if not members:
            return []
        own_id = self._view.member.member_id
        in_zone = self._filter_own_zone(back_ends)
        return [b for b in in_zone if choose_scheduler(b.address, members).member_id == own_id]
