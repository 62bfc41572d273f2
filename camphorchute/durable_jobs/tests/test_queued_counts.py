"""Numbers of queued jobs while shards change their owners."""

from collections.abc import Mapping

import gevent
import msgspec
import pytest

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.batch_job import BatchJob, BatchStep, QueueLimits
from camphorchute.contracts.member import Member
from camphorchute.contracts.resources import Resources
from camphorchute.durable_jobs import JobWriter, ShardClaims, ShardOwner
from camphorchute.durable_jobs.shard_context import ShardContext
from camphorchute.durable_jobs.tests.fakes import (
    FakeLease,
    FakePeers,
    FakeQueueOwner,
    FakeStore,
    FakeView,
)
from camphorchute.durable_jobs.tests.test_shard_owner import FreeView
from camphorchute.hosting import Queue
from camphorchute.runs import shard_of
from camphorchute.runs.tests.virtual_time import VirtualTime

QUEUE = Queue("checks", "", "", "flags", 0.0, QueueLimits(0, 2, 2.0, 60.0))
JOB_IDS = [f"c{number:015x}" for number in range(2000)]
SAME_SHARD = [job_id for job_id in JOB_IDS if shard_of(job_id) == shard_of(JOB_IDS[0])][:6]
OWN_SHARDS = list({shard_of(job_id): job_id for job_id in JOB_IDS}.values())
LEASE_TTL_S = 3.0
DOWN_S = 0.5


class StoreTable(Mapping):
    """The values under a prefix, as a cluster view shows them."""

    def __init__(self, store, prefix):
        self._store, self._prefix, self._written = store, prefix, {}

    def __getitem__(self, key):
        if not key.startswith(self._prefix):
            raise KeyError(key)
        return self._store.items[key]

    def __iter__(self):
        return (key for key in list(self._store.items) if key.startswith(self._prefix))

    def __len__(self):
        return sum(1 for _ in self)

    def __setitem__(self, key, value):
        """Do nothing, as the store has the value."""

    def setdefault(self, key, value):
        return self.get(key, value)

    def pop(self, key, default=None):
        return default


class StoreView(FakeView):
    """A cluster view whose tables are those of the store."""

    def __init__(self, store, members):
        super().__init__()
        self.members, self._store = members, store

    def track_prefix(self, prefix):
        return StoreTable(self._store, prefix)


class Process:
    """A process that accepts and owns durable jobs, none of which can be started.

    Its lease ends some time after the process was lost.
    """

    def __init__(self, site, name):
        self.site, self.name = site, name
        self.lease = FakeLease()
        site.last_lease_id += 1
        self.lease.lease_id = site.last_lease_id
        view, member = StoreView(site.store, site.members), Member(name, "north", "", "", "", "")
        self.writer = JobWriter(site.store, lambda: 0.001, site.count)
        self.claims = ShardClaims(site.store, view, self.lease, member, site.count)
        context = ShardContext(
            site.store,
            self.writer,
            view,
            self.lease,
            FakeQueueOwner(),
            FakePeers(),
            site.count,
        )
        self.owner = ShardOwner(member, self.claims, FreeView(), context)
        site.members[name] = member
        site.processes[name] = self
        for part in (self.writer, self.claims, self.owner):
            part.start()

    def pending(self):
        """Return the number of queued jobs, None if it is refused."""
        try:
            return self.owner.count_unstarted_jobs(QUEUE.name)
        except Refusal as refusal:
            assert refusal.code is ResultCode.COUNT_UNKNOWN
            assert refusal.retry_after_ms
            return None

    def kill(self):
        """End the process at once; its lease goes on for a while."""
        del self.site.processes[self.name]
        self.lease.valid = False
        for greenlet in (self.claims._greenlet, self.writer._greenlet):
            greenlet.kill(block=False)
        self.owner.close()
        gevent.spawn_later(LEASE_TTL_S, self._end_lease)

    def stop(self):
        """Stop the process as planned work does; it releases its shards."""
        del self.site.processes[self.name]
        del self.site.members[self.name]
        self.owner.close()
        self.claims.close()
        self.writer.close()

    def pause(self, duration_s):
        """Let the process lose its lease while it does not run."""
        self.lease.valid = False
        self._end_lease()
        gevent.spawn_later(duration_s, self._resume)

    def _resume(self):
        self.site.last_lease_id += 1
        self.lease.lease_id, self.lease.valid = self.site.last_lease_id, True
        self.site.members[self.name] = Member(self.name, "north", "", "", "", "")

    def _end_lease(self):
        self.site.store.end_lease(self.lease.lease_id)
        self.site.members.pop(self.name, None)


class Site:
    """Processes that share a store."""

    def __init__(self):
        self.store, self.members, self.processes = FakeStore(), {}, {}
        self.store.watch_interval_s, self.store.max_changes = 0.2, 16
        self.last_lease_id, self.counts = 10, {}

    def count(self, name, n=1):
        self.counts[name] = self.counts.get(name, 0) + n

    def submit(self, job_ids):
        """Submit jobs to any process."""
        for job_id in job_ids:
            job = BatchJob(job_id, "text", (BatchStep(1, Resources(100), 5.0),), True)
            next(iter(self.processes.values())).owner.submit(job, QUEUE)

    def owner_of(self, job_id):
        """Return the process that owns the shard of a job."""
        any_process = next(iter(self.processes.values()))
        return self.processes[any_process.claims.owner_of(shard_of(job_id)).member_id]

    def pending(self):
        """Return the numbers that the processes give, None for one that is refused."""
        return {process.pending() for process in self.processes.values()}

    def close(self):
        for process in list(self.processes.values()):
            process.stop()


def kill_owner(site, job_id):
    name = site.owner_of(job_id).name
    site.processes[name].kill()
    gevent.spawn_later(DOWN_S, Process, site, f"{name}-again")


def kill_two(site, job_id):
    names = {site.owner_of(job_id).name, "p1"}
    for name in names if len(names) > 1 else ("p0", "p1"):
        site.processes[name].kill()
        gevent.spawn_later(DOWN_S, Process, site, f"{name}-again")


def kill_all(site, job_id):
    for name in list(site.processes):
        site.processes[name].kill()
        gevent.spawn_later(DOWN_S, Process, site, f"{name}-again")


def stop_owner(site, job_id):
    name = site.owner_of(job_id).name
    site.processes[name].stop()
    gevent.spawn_later(DOWN_S, Process, site, f"{name}-again")


def pause_owner(site, job_id):
    site.owner_of(job_id).pause(7.0)


def join_fourth(site, job_id):
    Process(site, "p3")


DISRUPTIONS = [kill_owner, kill_two, kill_all, stop_owner, pause_owner, join_fourth]


# Guards against a number of pending jobs that leaves out the jobs of shards which are between two
# owners: the count ended with the lease of the earlier one, or the next had not read the shard.
@pytest.mark.parametrize("disrupt", DISRUPTIONS, ids=lambda disrupt: disrupt.__name__)
@pytest.mark.parametrize("job_ids", [SAME_SHARD, SAME_SHARD[:1], OWN_SHARDS], ids=len)
def test_jobs_of_shards_between_two_owners_are_counted(disrupt, job_ids):
    with VirtualTime():
        site = Site()
        for name in ("p0", "p1", "p2"):
            Process(site, name)
        gevent.sleep(2.0)
        site.submit(job_ids)
        gevent.sleep(6.0)
        assert site.pending() == {len(job_ids)}
        disrupt(site, job_ids[0])
        answers = set()
        for _ in range(200):
            gevent.sleep(0.1)
            answers |= site.pending()
        assert answers <= {len(job_ids), None}
        assert site.pending() == {len(job_ids)}
        site.close()


# Guards against a number that lacks the jobs which were accepted while their shard had no owner.
@pytest.mark.parametrize("submitted_after_s", [0.1, 1.0, 2.9, 4.0, 5.5])
def test_job_accepted_between_two_owners_is_counted_once_it_is_old(submitted_after_s):
    with VirtualTime():
        site = Site()
        for name in ("p0", "p1", "p2"):
            Process(site, name)
        gevent.sleep(2.0)
        site.submit(SAME_SHARD[:1])
        gevent.sleep(6.0)
        site.owner_of(SAME_SHARD[0]).kill()
        gevent.sleep(submitted_after_s)
        site.submit(SAME_SHARD[1:4])
        gevent.sleep(5.0)
        answers = set()
        for _ in range(50):
            answers |= site.pending()
            gevent.sleep(0.1)
        assert answers <= {4, None}
        site.close()


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"x",
        b"\xff\xfe",
        b"{}",
        b"[" * 5000 + b"]" * 5000,
        b'{"term":-1,"jobs":{}}',
        b'{"term":1,"jobs":{"checks":-5}}',
    ],
    ids=["empty", "text", "no UTF-8", "no fields", "deep", "negative term", "negative number"],
)
def test_malformed_count_of_another_writer_is_replaced(value):
    with VirtualTime():
        site = Site()
        process = Process(site, "p2")
        gevent.sleep(2.0)
        site.submit(SAME_SHARD)
        gevent.sleep(4.0)
        key = f"camphorchute/queued/{shard_of(SAME_SHARD[0]):02}"
        assert msgspec.json.decode(site.store.items[key].value)["jobs"] == {QUEUE.name: 6}
        site.store.put(key, value)
        gevent.sleep(1.5)
        assert msgspec.json.decode(site.store.items[key].value)["jobs"] == {QUEUE.name: 6}
        assert process.pending() == 6
        site.close()


# Guards against calls with more entries than the store accepts, and against one write for each job.
def test_counts_of_many_shards_take_few_calls():
    with VirtualTime():
        site = Site()
        Process(site, "p2")
        gevent.sleep(2.0)
        site.submit(OWN_SHARDS)
        gevent.sleep(5.0)
        site.store.batches.clear()
        gevent.sleep(10.0)
        assert site.store.batches == []
        site.submit([job_id for job_id in JOB_IDS if job_id not in OWN_SHARDS][:64])
        gevent.sleep(3.0)
        batches = [keys for keys in site.store.batches if keys[0].startswith("camphorchute/queued")]
        assert max(map(len, batches)) <= site.store.max_changes
        assert len(batches) <= 6
        site.close()
