import gevent
import pytest

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.batch_job import BatchJob, BatchStep, QueueLimits
from camphorchute.contracts.codes import Fate, code_info
from camphorchute.contracts.member import Member
from camphorchute.contracts.resources import Resources
from camphorchute.durable_jobs import JobWriter, ShardClaims, ShardOwner, job_key
from camphorchute.durable_jobs import shard_owner as owner_module
from camphorchute.durable_jobs.shard_context import ShardContext
from camphorchute.durable_jobs.shard_markers import NEVER_OWNED, OWNED, SHARD_MARKER_KEY_PREFIX
from camphorchute.durable_jobs.tests.fakes import FakeLease, FakePeers, FakeQueueOwner, FakeStore
from camphorchute.hosting import Queue, StoredValue, StoreUnavailable, SwapUnknown
from camphorchute.queues import ServiceZones
from camphorchute.queues.free_capacity_view import PlacementPlan
from camphorchute.runs import shard_of
from camphorchute.runs.zone_availability import ZoneAvailability

JOB_ID = "5c0e7a21d94b36f8"
MARKER_KEY = f"{SHARD_MARKER_KEY_PREFIX}{shard_of(JOB_ID):02}"
QUEUE = Queue("checks", "", "", "flags", 0.0, QueueLimits(0, 2, 2.0, 60.0))
JOB = BatchJob(JOB_ID, "text", (BatchStep(1, Resources(100), 5.0),), True)


class FreeView:
    """A free-capacity view in which every task has capacity at once."""

    service_zones = ServiceZones()

    def can_ever_run(self, service, demand):
        return True

    def plan(self, service, step, tasks, limits):
        return PlacementPlan({"north/flags/0": tasks}, {})


class TableView:
    """A cluster view without members, whose tables a test fills."""

    def __init__(self):
        self.members, self.tables = {}, {}

    def track_prefix(self, prefix):
        return self.tables.setdefault(prefix, {})


class Site:
    """A shard owner that accepts jobs, and the store that it writes them to."""

    def __init__(self):
        self.store, self.view, self.counts = FakeStore(), TableView(), {}
        member = Member("m0", "north", "", "", "", "")
        self.writer = JobWriter(self.store, lambda: 0.001, self.count)
        self.writer.start()
        lease, peers = FakeLease(), FakePeers()
        claims = ShardClaims(self.store, self.view, lease, member, self.count)
        context = ShardContext(
            self.store, self.writer, self.view, lease, FakeQueueOwner(), peers, self.count
        )
        self.owner = ShardOwner(member, claims, FreeView(), context)

    def count(self, name, n=1):
        self.counts[name] = self.counts.get(name, 0) + n


@pytest.fixture
def site():
    opened = Site()
    yield opened
    opened.writer.close()


def test_shard_is_marked_before_the_record_of_its_first_job_is_written(site):
    site.owner.submit(JOB, QUEUE)
    assert site.store.batches == [[MARKER_KEY], [job_key(JOB_ID)]]
    assert site.store.items[MARKER_KEY].value == NEVER_OWNED


def test_shard_that_is_marked_costs_no_further_write(site):
    site.owner.submit(JOB, QUEUE)
    site.store.batches.clear()
    site.owner.submit(JOB, QUEUE)
    assert site.store.batches == [[job_key(JOB_ID)]]
    assert site.counts["keeping.accepted_again"] == 1


def test_marker_that_another_process_wrote_first_is_kept(site):
    site.store.put(MARKER_KEY, OWNED)
    site.owner.submit(JOB, QUEUE)
    assert site.store.items[MARKER_KEY].value == OWNED
    assert job_key(JOB_ID) in site.store.items


@pytest.mark.parametrize("error", [StoreUnavailable("busy"), SwapUnknown("lost")])
def test_job_is_refused_and_not_stored_if_its_shard_could_not_be_marked(site, error):
    """A stored job whose shard nobody knows to need an owner would never run."""
    site.store.errors_to_raise = [error]
    with pytest.raises(Refusal) as refused:
        site.owner.submit(JOB, QUEUE)
    assert refused.value.code is ResultCode.NOT_STORED
    assert job_key(JOB_ID) not in site.store.items
    site.owner.submit(JOB, QUEUE)
    assert job_key(JOB_ID) in site.store.items


def mark_shard(site):
    site.view.tables[SHARD_MARKER_KEY_PREFIX][MARKER_KEY] = StoredValue(MARKER_KEY, OWNED, 1)


LOST, BUSY = SwapUnknown("lost"), StoreUnavailable("busy")


# A job whose write had an unknown fate was answered 503, which says that it never runs, and ran.
@pytest.mark.parametrize("errors", [[LOST] * 99, [LOST, BUSY] * 50, [LOST] + [BUSY] * 99])
def test_job_that_may_be_stored_is_not_refused_as_one_that_never_runs(site, errors, monkeypatch):
    monkeypatch.setattr(owner_module, "SUBMIT_TIMEOUT_MS", 300.0)
    mark_shard(site)
    site.store.errors_to_raise = list(errors)
    with pytest.raises(Refusal) as refused:
        site.owner.submit(JOB, QUEUE)
    assert refused.value.code is ResultCode.WRITE_UNCONFIRMED
    info = code_info(refused.value.code)
    assert (info.http_status, info.fate) == (504, Fate.UNKNOWN)


# A caller waited for a second attempt though the store would have taken the record at once.
@pytest.mark.parametrize("is_written", [False, True])
def test_job_is_accepted_once_it_is_known_to_be_stored(site, is_written):
    mark_shard(site)
    site.store.errors_to_raise = [] if is_written else [LOST, BUSY]
    site.store.lose_reply = is_written
    site.owner.submit(JOB, QUEUE)
    assert job_key(JOB_ID) in site.store.items


@pytest.mark.parametrize("status", [429, 503])
def test_job_that_is_surely_not_stored_is_refused_as_such(site, status):
    mark_shard(site)
    site.store.errors_to_raise = [StoreUnavailable(f"status {status}")]
    with pytest.raises(Refusal) as refused:
        site.owner.submit(JOB, QUEUE)
    assert refused.value.code is ResultCode.NOT_STORED
    assert job_key(JOB_ID) not in site.store.items


def test_unknown_job_of_a_shard_without_an_owner_has_no_state(site):
    assert site.owner.job_state(JOB_ID) == ""
    assert not site.owner.cancel(JOB_ID)
    site.store.reads_fail = True
    with pytest.raises(Refusal) as refused:
        site.owner.job_state(JOB_ID)
    assert refused.value.code is ResultCode.STORE_UNAVAILABLE


def test_stored_job_of_a_shard_without_an_owner_is_queued_and_can_be_cancelled(site):
    site.owner.submit(JOB, QUEUE)
    assert site.owner.job_state(JOB_ID) == "queued"
    assert site.owner.cancel(JOB_ID)
    gevent.sleep(0)
    assert site.owner.job_state(JOB_ID) == "cancelled"


class EvacuatedZones(ZoneAvailability):
    """Zones that are all evacuated."""

    def is_evacuated(self, zone):
        return True


def test_durable_job_is_refused_while_every_zone_is_evacuated(site, monkeypatch):
    """A stored job counts as accepted, and would wait for as long as the evacuation lasts."""
    zones = ServiceZones(lambda service: ["north"], EvacuatedZones())
    monkeypatch.setattr(FreeView, "service_zones", zones)
    with pytest.raises(Refusal) as refused:
        site.owner.submit(JOB, QUEUE)
    assert refused.value.code is ResultCode.EVACUATED
    assert site.counts["keeping.refused.evacuated"] == 1
    assert job_key(JOB_ID) not in site.store.items
