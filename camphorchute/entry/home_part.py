"""The home of workers at this process: assigned by the ownership record."""

from collections.abc import Callable

import gevent
import msgspec
import xxhash
from eliot import log_message
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
from camphorchute.services import Catalogue, ServiceDefinition, Upstream, Worker
from camphorchute.workers import HttpWorker, TaskScheduler
from camphorchute.workers.back_end import BackEndError, FoundAttempt
from camphorchute.zones import ZoneView

__all__ = ["HomePart", "home_of"]

FIND_TIMEOUT_S = 2.0


def home_of(address: str, members: list[Member]) -> Member:
    """Return the member that starts tasks on a back end, by rendezvous hashing.

    Examples:
        >>> a = Member("a", "north", "vm1", "", "127.0.0.1:1", "127.0.0.1:2")
        >>> home_of("127.0.2.1:9000", [a]).member_id
        'a'
    """
    return max(members, key=lambda m: xxhash.xxh64_intdigest(f"{m.member_id}/{address}".encode()))


class HomePart:
    """Connects the home with the ownership record, the catalogue and the links.

    Args:
        home: starts tasks on back ends.
        view: the ownership records.
        catalogue: services in force.
        peers: links to owners.
        count: adds to a named counter.
    """

    def __init__(
        self,
        home: TaskScheduler,
        view: ZoneView,
        catalogue: Catalogue,
        peers: Peers,
        count: Callable[..., None],
    ) -> None:
        self._home = home
        self._view = view
        self._catalogue = catalogue
        self._peers = peers
        self._count = count
        self._changed = Event()
        self._finders: dict[str, HttpWorker] = {}
        self._greenlet = None

    def start(self) -> None:
        """Begin to follow the record and the catalogue."""
        self._home.start()
        self._view.change_listeners.append(self._changed.set)
        self._catalogue.add_listener(lambda record: self._changed.set())
        self._greenlet = gevent.spawn(self._run)

    def close(self, timeout_ms: float) -> None:
        """Start nothing more, wait for running tasks, then stop."""
        if self._greenlet is not None:
            self._greenlet.kill()
        self._home.close(timeout_ms)
        for finder in self._finders.values():
            finder.close()

    @handles(HandOff, nonblocking=True)
    def hand_off(self, peer: Member, message: HandOff) -> Done:
        """Start tasks, unless the sender's term is over."""
        if message.tasks:
            try:
                self._view.check_term(self._view.member.zone, message.shard, message.term)
            except Refusal as refusal:
                self._count("home.returned.stale_term", len(message.tasks))
                self._return_all(peer, message, refusal)
                return Done()
            log_message(
                message_type="workers",
                text="workers: tasks came in",
                job=message.key,
                tasks=len(message.tasks),
            )
        self._home.dispatch_tasks(message)
        return Done()

    @handles(Demand, nonblocking=True)
    def demand(self, peer: Member, message: Demand) -> Done:
        """Note how many tasks wait at an owner."""
        self._home.set_demand(peer.member_id, message)
        return Done()

    @handles(CancelTasks, nonblocking=True)
    def cancel_tasks(self, peer: Member, message: CancelTasks) -> Done:
        """Start no more tasks of a job and stop those that run."""
        self._home.cancel_tasks(message)
        return Done()

    @handles(FindTasks, nonblocking=True)
    def find_tasks(self, peer: Member, message: FindTasks) -> FoundTasks:
        """Tell what became of a job's tasks."""
        self._view.check_term(self._view.member.zone, message.shard, message.term)
        return self._home.find_tasks(message)

    def find_attempts(self, service: str, job: str) -> list[FoundAttempt]:
        """Ask every worker of a service in this zone for the attempts of a job."""
        definition = self._catalogue.get_definition(service)
        workers = self._in_zone(definition.workers) if definition else []
        greenlets = [gevent.spawn(self._find_at, worker, job) for worker in workers]
        gevent.joinall(greenlets, timeout=FIND_TIMEOUT_S)
        return [item for g in greenlets for item in (g.value or [])]

    def _find_at(self, worker: Worker, job: str) -> list[FoundAttempt]:
        finder = self._finders.get(worker.address)
        if finder is None:
            finder = HttpWorker(self._view.member.member_id, worker.address)
            self._finders[worker.address] = finder
        try:
            return finder.find_attempts(job)
        except BackEndError:
            self._count("home.retry.find")
            return []

    def _return_all(self, peer: Member, message: HandOff, refusal: Refusal) -> None:
        attempts = [task.attempt for task in message.tasks]
        returned = TasksReturned(message.key, attempts, int(refusal.code), refusal.detail)
        self._peers.send_if_linked(peer.member_id, returned)

    def _run(self) -> None:
        while True:
            self._changed.wait()
            self._changed.clear()
            self._assign()

    def _assign(self) -> None:
        for record in self._catalogue.list_records():
            definition = record.definition or ServiceDefinition(record.name)
            self._home.set_workers(definition, self._mine(definition.workers))
            requests = msgspec.structs.replace(definition, name=upstream_pool(record.name))
            self._home.set_workers(requests, self._mine(definition.upstreams))

    def _in_zone(self, back_ends: list) -> list:
        return [b for b in back_ends if b.zone == self._view.member.zone]

    def _mine(self, back_ends: list[Worker | Upstream]) -> list[Worker | Upstream]:
        members = self._view.record.members
        if not members:
            return []
        me = self._view.member.member_id
        near = self._in_zone(back_ends)
        return [b for b in near if home_of(b.address, members).member_id == me]
