"""A store in memory, and the parts around a shard of kept jobs."""

import gevent

from camphorchute.contracts.kept_messages import KeptTasksAre
from camphorchute.contracts.member import Member
from camphorchute.hosting import (
    StoredListing,
    StoredValue,
    StoreUnavailable,
    SwapAllLost,
    SwapUnknown,
)
from camphorchute.queues import JobOutcome

__all__ = ["FakeLease", "FakeOwner", "FakePeers", "FakeStore", "FakeView"]


class FakeStore:
    """Keys with revisions; a call takes a moment, and fails as a test says."""

    changes_max = 32

    def __init__(self):
        self.items = {}
        self.batches = []
        self.fail_with = []
        self.lose_answer = False
        self.reads_fail = False
        self.revision = 0
        self.events = []

    def swap_all(self, changes):
        gevent.sleep(0.01)
        self.batches.append([change.key for change in changes])
        if self.fail_with:
            raise self.fail_with.pop(0)
        lost = {
            change.key: self.items.get(change.key)
            for change in changes
            if getattr(self.items.get(change.key), "mod_revision", 0) != change.expected_revision
        }
        if lost:
            raise SwapAllLost(lost)
        for change in changes:
            self.put(change.key, change.value)
        if self.lose_answer:
            raise SwapUnknown("lost")
        return self.revision

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
        found = [value for key, value in sorted(self.items.items()) if key.startswith(prefix)]
        return StoredListing(found, self.revision)

    def watch(self, prefix, from_revision, timeout_s, gather_ms=0.0, silent_ms=0.0):
        seen = from_revision - 1
        while True:
            for event in list(self.events):
                if event.mod_revision > seen and event.key.startswith(prefix):
                    seen = event.mod_revision
                    yield event
            gevent.sleep(0.01)


class FakeLease:
    """A lease that is valid as long as a test says so."""

    def __init__(self):
        self.lease_id = 5
        self.valid = True

    def is_valid(self, lease_id):
        return self.valid and lease_id == self.lease_id


class FakeOwner:
    """Notes the jobs that it is to answer for, and ends those that have a verdict."""

    def __init__(self):
        self.runs = {}
        self.dropped = []

    def adopt(self, run):
        self.runs[run.job.job_id] = run

    def drop(self, run):
        run.outcome = JobOutcome.DEPOSED
        self.dropped.append(run.job.job_id)


class FakePeers:
    """Answers for one home, as a test says."""

    def __init__(self):
        self.answer = KeptTasksAre([], [])
        self.asked = []
        self.told = []

    def request(self, member, message, timeout_ms):
        gevent.sleep(0)
        self.asked.append(message)
        return self.answer

    def send(self, member, message):
        self.told.append(message)
        return True

    def send_linked(self, member_id, message):
        self.told.append(message)
        return True


class FakeView:
    """One group with one home and two workers."""

    home = Member("home", "north", "", "", "", "")

    def __init__(self):
        self.workers = {"w1": None, "w2": None}

    def groups(self):
        return {"north/flags/0": self.workers}

    def home_of(self, group):
        return self.home
