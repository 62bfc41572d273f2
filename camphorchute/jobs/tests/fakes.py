"""A job owner with real collaborators; the test chooses its peers, workers and definitions."""

import random
import time
import uuid

import gevent

from camphorchute.contracts import JobKey, JobSpec, ResultCode, TaskOutcome, TaskSpec
from camphorchute.contracts.messages import (
    FindTasks,
    FoundTasks,
    HandOff,
    Heartbeat,
    KeyEntry,
    KeyOwner,
    Reach,
    SlotCount,
    SubmitJob,
    TasksEnded,
    TasksReturned,
)
from camphorchute.jobs.admission import Admission
from camphorchute.jobs.dispatcher import Dispatcher
from camphorchute.jobs.owner import JobOwner
from camphorchute.jobs.recovery import Recovery
from camphorchute.services.definition import ServiceDefinition, Worker
from camphorchute.zones import DeathRegistry, Ledger
from camphorchute.zones.record import ShardRecord, Term
from camphorchute.zones.tests.fakes import WINDOW_MS, Counts, FakePeers, member, record_of
from camphorchute.zones.view import ZoneView
from camphorchute.zones.witnessing import Witnessing

A, B, C = member("a"), member("b"), member("c")
CLOCK_SKEW_MS = 5000.0
DEPARTED_OWNER = KeyOwner("gone", "vm-gone", Reach.OTHER_HOSTS)
WORKER = Worker("w", "127.0.2.1:9000", "north")
DEFINITION = ServiceDefinition(name="flags", workers=[WORKER])


def make_key(age_ms=0.0):
    created_ms = round(time.time() * 1000 - age_ms)
    low_bits = random.getrandbits(62) | 1 << 63
    return str(uuid.UUID(int=created_ms << 80 | 7 << 76 | low_bits))


def make_spec(tasks=2, **fields):
    return JobSpec(
        service="flags",
        tasks=[TaskSpec(payload=str(i), run_time_ms=1.0) for i in range(tasks)],
        **fields,
    )


def run_greenlets():
    for _ in range(5):
        gevent.sleep(0.001)


class OwnerHarness:
    """Member ``a``, which owns every shard of a zone with three members."""

    def __init__(
        self, members=(A, B, C), definition=DEFINITION, lost_unix_ms=0, window_ms=WINDOW_MS
    ):
        record = record_of(list(members))
        witnesses = tuple(m.member_id for m in members if m != A)
        shard_record = ShardRecord(Term(1, "a", witnesses), [], lost_unix_ms)
        record.shards = [shard_record for _ in record.shards]
        self.members, self.peers, self.counts = members, FakePeers(), Counts()
        self.peers.replies[FindTasks] = lambda member, message: FoundTasks(message.key, [], [])
        self.view, self.ledger, self.deaths = ZoneView(A), Ledger(999), DeathRegistry()
        self.view.adopt(record)
        self.found_attempts = []
        self.dispatcher = Dispatcher(self.view, self.peers, lambda service: "home", self.counts)
        self.recovery = Recovery(
            self.view, self.peers, self.deaths, lambda *args: self.found_attempts, self.counts
        )
        self.owner = JobOwner(
            self.view,
            self.ledger,
            Witnessing(self.peers, self.view, self.ledger, self.counts),
            Admission(lambda service: definition, lambda service: 0, lambda *args: 0, "north"),
            self.dispatcher,
            self.recovery,
            ["north"],
            window_ms,
            CLOCK_SKEW_MS,
            60_000.0,
            self.counts,
        )
        self.owner.start()

    def submit(self, key, job_spec=None, remaining_ms=30_000.0):
        message = SubmitJob(key, job_spec or make_spec(), remaining_ms)
        greenlet = gevent.spawn(self.owner.submit, B, message)
        run_greenlets()
        return greenlet

    def report_free_slots(self, scheduler, free_slots=8):
        reported = free_slots * len(self.view.record.members)
        self.dispatcher.receive_heartbeat(
            scheduler, Heartbeat(1, 1, slots=[SlotCount("flags", reported, 0, 8)])
        )
        run_greenlets()

    def add_accepted_key(self, key, owners=(DEPARTED_OWNER,), job_spec=None, expires_unix_ms=2**60):
        """Add a key to the ledger that an earlier owner accepted."""
        job_key = JobKey(key, ["north"])
        digest = (job_spec or make_spec()).digest()
        entry = KeyEntry(key, job_key.shard, digest, expires_unix_ms, list(owners))
        self.ledger.hold(entry)

    def dispatch_messages(self):
        return [(to, message) for to, message in self.peers.sent_of(HandOff) if message.tasks]

    def dispatched_tasks(self):
        return [
            (to, task.index) for to, message in self.dispatch_messages() for task in message.tasks
        ]

    def complete_tasks(self, scheduler, key, *indices, code=ResultCode.COMPLETE):
        outcomes = [TaskOutcome(i, int(code), f"answer {i}") for i in indices]
        self.owner.receive_outcomes(scheduler, TasksEnded(key, outcomes))
        run_greenlets()

    def return_tasks(self, scheduler, key, code):
        attempts = [
            task.attempt
            for to, message in self.dispatch_messages()
            for task in message.tasks
            if to == scheduler.member_id
        ]
        self.owner.receive_returned_tasks(scheduler, TasksReturned(key, attempts, int(code)))
        run_greenlets()

    def move_shards_away(self):
        record = record_of([B, C], self.view.record)
        self.view.adopt(record)
        run_greenlets()


def wait_for_answer(greenlet):
    return greenlet.get(timeout=5).answer
