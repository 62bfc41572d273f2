"""In-memory store and fake collaborators of a shard of durable jobs."""

import gevent

from camphorchute.contracts.durable_job_messages import KeptTasksAre
from camphorchute.contracts.member import Member
from camphorchute.hosting import (
    ConditionalWrite,
    StoredListing,
    StoredValue,
    StoreUnavailable,
    SwapAllConflict,
    SwapConflict,
    SwapUnknown,
)
from camphorchute.outage_log import OutageLog
from camphorchute.queues import JobOutcome

__all__ = ["FakeLease", "FakePeers", "FakeQueueOwner", "FakeStore", "FakeView"]


class FakeStore:
    """An in-memory store of keys with revisions whose calls can be made to fail."""

    max_changes = 32
    watch_interval_s = 0.01

    def __init__(self):
        self.items = {}
        self.batches = []
        self.errors_to_raise = []
        self.lose_reply = False
        self.reads_fail = False
        self.outage = OutageLog("roster", "store")
        self.revision = 0
        self.events = []

    def swap_all(self, changes):
        gevent.sleep(0.01)
        self.batches.append([change.key for change in changes])
        if self.errors_to_raise:
            raise self.errors_to_raise.pop(0)
        conflicts = {
            change.key: self.items.get(change.key)
            for change in changes
            if getattr(self.items.get(change.key), "mod_revision", 0) != change.expected_revision
        }
        if conflicts:
            raise SwapAllConflict(conflicts)
        for change in changes:
            self.put(change.key, change.value)
        if self.lose_reply:
            raise SwapUnknown("lost")
        return self.revision

    def swap(self, key, value, expected_revision, lease_id=0):
        try:
            revision = self.swap_all([ConditionalWrite(key, value, expected_revision)])
        except SwapAllConflict as conflict:
            raise SwapConflict(key, conflict.current_values[key]) from conflict
        stored = self.items[key]
        self.items[key] = StoredValue(key, value, stored.mod_revision, lease_id)
        return revision

    def end_lease(self, lease_id):
        """Remove the keys that are bound to a lease."""
        for key, stored in list(self.items.items()):
            if stored.lease_id == lease_id:
                self.put(key, None)

    def put(self, key, value):
        self.revision += 1
        stored = StoredValue(key, value, self.revision)
        self.events.append(stored)
        if value is None:
            del self.items[key]
        else:
            self.items[key] = stored
        return self.revision

    def get(self, key):
        if self.reads_fail:
            raise StoreUnavailable("down")
        return self.items.get(key)

    def list(self, prefix):
        values = [value for key, value in sorted(self.items.items()) if key.startswith(prefix)]
        return StoredListing(values, self.revision)

    def watch(self, prefix, from_revision, timeout_s, batching_ms=0.0, response_timeout_ms=0.0):
        last_revision = from_revision - 1
        while True:
            for event in list(self.events):
                if event.mod_revision > last_revision and event.key.startswith(prefix):
                    last_revision = event.mod_revision
                    yield event
            gevent.sleep(self.watch_interval_s)


class FakeLease:
    """A lease whose validity a test sets."""

    def __init__(self):
        self.lease_id = 5
        self.valid = True

    def is_valid(self, lease_id):
        return self.valid and lease_id == self.lease_id


class FakeQueueOwner:
    """Records the jobs that it adopts and those that it stops dispatching."""

    def __init__(self):
        self.runs = {}
        self.stopped_job_ids = []

    def adopt_job(self, run):
        self.runs[run.job.job_id] = run

    def stop_dispatching(self, run):
        run.outcome = JobOutcome.DEPOSED
        self.stopped_job_ids.append(run.job.job_id)


class FakePeers:
    """Links that record messages and give a set reply to each request."""

    def __init__(self):
        self.reply = KeptTasksAre([], [])
        self.requests = []
        self.sent = []

    def request(self, member, message, timeout_ms):
        gevent.sleep(0)
        self.requests.append(message)
        return self.reply

    def send(self, member, message):
        self.sent.append(message)
        return True

    def send_or_open(self, member, message):
        return self.send(member, message)

    def send_if_linked(self, member_id, message):
        self.sent.append(message)
        return True


class FakeView:
    """A cluster view of one worker group with one scheduler and two workers.

    Attributes:
        workers: the workers by id; the value is the name of a service if the worker has only that.
        has_claim_only: whether the view knows the claim on the group, but no worker in it.
        hidden_since_s: since when a worker may be hidden, None if there is none.
    """

    scheduler = Member("scheduler", "north", "", "", "", "")
    has_claim_only = False
    hidden_since_s = None

    def __init__(self):
        self.workers = {"w1": None, "w2": None}

    def groups(self):
        return {} if self.has_claim_only else {"north/flags/0": self.workers}

    def group_names(self):
        return ["north/flags/0"]

    def worker_ids_of(self, service):
        return [name for name, other in self.workers.items() if other in (None, service)]

    def hidden_workers_since_s(self, service):
        return self.hidden_since_s

    def scheduler_of(self, group):
        return self.scheduler
