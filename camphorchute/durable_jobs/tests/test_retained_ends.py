"""The end of a durable task from its worker to the stored record, across shard owners."""

import gevent
import pytest

from camphorchute.contracts.durable_job_messages import AskKeptTasks, KeptTasksAre, ReportedTask
from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import ShardTerm, StopTasks, TaskResultKind
from camphorchute.durable_jobs import DurableJobState, end_confirmations, job_key
from camphorchute.durable_jobs import shard as shard_module
from camphorchute.durable_jobs.end_confirmations import EndConfirmations, is_end_stored
from camphorchute.durable_jobs.shard_claims import PreviousOwner
from camphorchute.durable_jobs.shard_context import ShardContext
from camphorchute.durable_jobs.tests.fakes import FakePeers, FakeView
from camphorchute.durable_jobs.tests.shard_site import JOB_ID, SHARD, TERM, Site, make_record
from camphorchute.hosting import StoredValue, StoreUnavailable
from camphorchute.queues import TaskState
from camphorchute.runs import leased_worker, retained_ends, shard_of
from camphorchute.runs.tests.scheduler_site import GROUP, OWNER, SchedulerSite, wait_until


class SchedulerPeers(FakePeers):
    """Links to one scheduler, which answers the requests itself."""

    def __init__(self, scheduler):
        super().__init__()
        self.scheduler = scheduler

    def request(self, member, message, timeout_ms):
        gevent.sleep(0)
        assert isinstance(message, AskKeptTasks)
        return self.scheduler.durable_tasks.report_tasks(OWNER, message)


class Chain:
    """A shard whose tasks run at a real scheduler with stand-in workers."""

    def __init__(self):
        self.workers = SchedulerSite()
        self.scheduler = self.workers.add_scheduler(7)
        self.site = Site()
        self.site.peers = SchedulerPeers(self.scheduler)
        self.site.view = FakeView()
        self.site.view.workers = self.workers.entries()

    def run_first_task(self):
        """Let the first task end as done without a word of it to an owner."""
        self.workers.dispatch_tasks(self.scheduler, tasks=1, term=ShardTerm(SHARD, TERM))
        assert wait_until(lambda: self.workers.results)

    def runs(self):
        return [run for worker in self.workers.fleet.workers for run in worker.runs]

    def close(self):
        self.site.close()
        self.workers.close()


@pytest.fixture
def chain(monkeypatch):
    monkeypatch.setattr(leased_worker, "IDLE_POLL_INTERVAL_S", 0.1)
    opened = Chain()
    yield opened
    opened.close()


# The owner's writes were behind; the worker forgot the end, and the next owner started run 1 again.
def test_end_that_no_owner_has_saved_is_reported_to_a_later_owner(chain, monkeypatch):
    monkeypatch.setattr(leased_worker, "COMPLETION_RETENTION_MS", 300.0, raising=False)
    chain.site.put(make_record())
    chain.run_first_task()
    gevent.sleep(0.8)
    assert not any(run.acknowledged for run in chain.runs())
    chain.site.start_shard(TERM + 1)
    assert wait_until(lambda: JOB_ID in chain.site.queue_owner.runs)
    assert wait_until(lambda: chain.site.job_run().is_recovered)
    states = [task.state for task in chain.site.job_run().steps[0]]
    assert states == [TaskState.DONE, TaskState.WAITING]
    assert wait_until(lambda: chain.site.stored_record().done == [[0]])
    assert len(chain.runs()) == 1


def reported_end(index=0, end=TaskResultKind.DONE, job_id=JOB_ID, run=1):
    return ReportedTask(f"{job_id}.0.0.{index}", GROUP, run, "w1", end)


@pytest.fixture
def site():
    opened = Site()
    opened.peers.reply = KeptTasksAre(["w1", "w2"], [])
    yield opened
    opened.close()


def recovered_shard(site, **fields):
    site.put(make_record(**fields))
    shard = site.start_shard()
    assert wait_until(lambda: JOB_ID in site.queue_owner.runs and site.job_run().is_recovered)
    return shard


@pytest.mark.parametrize(
    ("fields", "end", "expected"),
    [
        ({"done": [[0]]}, TaskResultKind.DONE, True),
        ({"done": [[0]]}, TaskResultKind.FAILED, True),
        ({"done": [[1]]}, TaskResultKind.DONE, False),
        ({"failed_runs": {"0.0": ["w1:1"]}}, TaskResultKind.FAILED, True),
        ({"failed_runs": {"0.0": ["w1:1"]}}, TaskResultKind.DONE, False),
        ({"failed_runs": {"0.0": ["w2:1"]}}, TaskResultKind.FAILED, False),
        ({}, TaskResultKind.FAILED, False),
    ],
)
def test_end_is_confirmed_if_the_stored_record_has_it(site, fields, end, expected):
    shard = recovered_shard(site, **fields)
    assert shard.confirm_end(FakeView.scheduler, reported_end(end=end)) is expected
    record = make_record(**fields)
    assert is_end_stored(record, reported_end(end=end)) is expected
    assert is_end_stored(record.ended_record(DurableJobState.DONE), reported_end(end=end))


# The message about the result was lost with its link, and the task counted as running for good.
@pytest.mark.parametrize(
    ("state", "end", "expected", "is_stored"),
    [
        (TaskState.WAITING, TaskResultKind.DONE, TaskState.DONE, True),
        (TaskState.HANDED, TaskResultKind.DONE, TaskState.DONE, True),
        (TaskState.MAY_RUN, TaskResultKind.DONE, TaskState.DONE, True),
        (TaskState.WAITING, TaskResultKind.FAILED, TaskState.WAITING, True),
        (TaskState.HANDED, TaskResultKind.FAILED, TaskState.HANDED, False),
    ],
)
def test_end_that_the_owner_has_not_heard_of_is_recorded(site, state, end, expected, is_stored):
    shard = recovered_shard(site)
    task = site.job_run().steps[0][0]
    task.state = state
    assert shard.confirm_end(FakeView.scheduler, reported_end(end=end)) is False
    assert task.state is expected
    confirmed = wait_until(lambda: shard.confirm_end(FakeView.scheduler, reported_end(end=end)), 1)
    assert confirmed is is_stored
    assert is_end_stored(site.stored_record(), reported_end(end=end)) is is_stored


def test_end_is_not_confirmed_before_it_is_stored(site):
    shard = recovered_shard(site)
    site.store.errors_to_raise = [StoreUnavailable("down")] * 3
    site.complete(0, TaskResultKind.DONE)
    gevent.sleep(0.3)
    assert shard.confirm_end(FakeView.scheduler, reported_end()) is False
    assert wait_until(lambda: shard.confirm_end(FakeView.scheduler, reported_end()))
    assert site.stored_record().done == [[0]]


@pytest.mark.parametrize("cause", ["not loaded", "lease", "closed"])
def test_shard_that_is_not_loaded_or_not_owned_confirms_nothing(site, cause, monkeypatch):
    monkeypatch.setattr(shard_module, "PREVIOUS_OWNER_EXPIRY_MS", 5000.0)
    site.put(make_record(done=[[0]]))
    is_loaded = cause != "not loaded"
    shard = site.start_shard(
        previous_owner=PreviousOwner.RELEASED if is_loaded else PreviousOwner.LOST
    )
    if cause != "not loaded":
        assert wait_until(lambda: shard.confirm_end(FakeView.scheduler, reported_end()))
    if cause == "lease":
        site.lease.valid = False
    elif cause == "closed":
        shard.close()
    assert shard.confirm_end(FakeView.scheduler, reported_end()) is False


class OwnerTable:
    """Claims of which a test sets the owner."""

    owner = None

    def owner_of(self, shard):
        return self.owner


class Confirming:
    """End confirmations of a process, with the shard of the test job or without."""

    def __init__(self, site, shard=None):
        self.site, self.claims, self.me = site, OwnerTable(), Member("me", "", "", "", "", "")
        context = ShardContext(
            site.store, site.writer, site.view, site.lease, None, site.peers, site.count
        )
        shards = {} if shard is None else {SHARD: shard}
        self.confirmations = EndConfirmations(self.me, self.claims, shards.get, context)
        self.confirmations.start()


@pytest.fixture
def open_confirming(site):
    opened = []

    def open_one(shard=None):
        opened.append(Confirming(site, shard))
        return opened[-1]

    yield open_one
    for confirming in opened:
        confirming.confirmations.close()


def test_end_is_reported_to_the_owner_of_its_shard_in_one_message(site, open_confirming):
    confirming = open_confirming()
    confirming.claims.owner = FakeView.scheduler
    ends = [reported_end(0), reported_end(1)]
    confirming.confirmations.report(ends)
    assert site.peers.sent == [KeptTasksAre([], ends)]
    assert "keeping.end_lookup" not in site.counts


def test_owner_answers_with_the_saved_ends_only(site, open_confirming):
    shard = recovered_shard(site, done=[[0]])
    site.peers.sent.clear()
    confirming = open_confirming(shard)
    site.store.errors_to_raise = [StoreUnavailable("down")] * 5
    message = KeptTasksAre([], [reported_end(0), reported_end(1)])
    confirming.confirmations.confirm_ends(FakeView.scheduler, message)
    assert site.saved_tasks() == [f"{JOB_ID}.0.0.0"]


def test_process_that_does_not_own_the_shard_answers_nothing(site, open_confirming):
    site.put(make_record(done=[[0]]))
    confirming = open_confirming()
    confirming.confirmations.confirm_ends(FakeView.scheduler, KeptTasksAre([], [reported_end()]))
    gevent.sleep(0.2)
    assert site.saved_tasks() == []


@pytest.mark.parametrize(
    ("fields", "is_confirmed"),
    [(None, True), ({"state": DurableJobState.FAILED}, True), ({"done": [[0]]}, True), ({}, False)],
)
def test_end_of_a_shard_without_an_owner_is_looked_up_in_the_store(
    site, open_confirming, fields, is_confirmed
):
    if fields is not None:
        site.put(make_record(**fields))
    open_confirming().confirmations.report([reported_end()])
    assert wait_until(lambda: site.counts.get("keeping.end_lookup"))
    assert site.saved_tasks() == [f"{JOB_ID}.0.0.0"] * is_confirmed


# An owner that has not read a job yet must not take it as one that is gone.
@pytest.mark.parametrize(("is_stored", "is_confirmed"), [(True, False), (False, True)])
def test_job_that_its_owner_does_not_know_is_looked_up_in_the_store(
    site, open_confirming, is_stored, is_confirmed
):
    other_job_id = next(f"{n:016x}" for n in range(1, 999) if shard_of(f"{n:016x}") == SHARD)
    shard = recovered_shard(site)
    confirming = open_confirming(shard)
    site.peers.sent.clear()
    if is_stored:
        site.store.items[job_key(other_job_id)] = StoredValue(
            job_key(other_job_id), make_record().encode(), site.store.revision
        )
    message = KeptTasksAre([], [reported_end(job_id=other_job_id)])
    confirming.confirmations.confirm_ends(FakeView.scheduler, message)
    assert wait_until(lambda: site.counts.get("keeping.end_lookup"))
    assert site.saved_tasks() == [f"{other_job_id}.0.0.0"] * is_confirmed


def test_end_is_not_confirmed_while_the_store_is_unavailable(site, open_confirming):
    site.store.reads_fail = True
    confirming = open_confirming()
    confirming.confirmations.report([reported_end()])
    assert wait_until(lambda: site.counts.get("keeping.retry.end_lookup"))
    assert site.saved_tasks() == []
    site.store.reads_fail = False
    confirming.confirmations.report([reported_end()])
    assert wait_until(lambda: site.saved_tasks() == [f"{JOB_ID}.0.0.0"])


# All calls of the store are priced; a takeover may leave hundreds of ends without an owner.
def test_lookups_in_the_store_are_bounded(site, open_confirming, monkeypatch):
    monkeypatch.setattr(end_confirmations, "LOOKUPS_PENDING_MAX", 20)
    ends = [reported_end(n % 2, job_id=f"{n // 2:016x}") for n in range(100)]
    open_confirming().confirmations.report(ends)
    gevent.sleep(0.45)
    assert 3 <= site.counts["keeping.end_lookup"] <= 6
    assert site.counts["keeping.end_lookup_dropped"] == 60


def reported_run(index=0, job_id=JOB_ID):
    return reported_end(index, None, job_id)


def stopped_jobs(site):
    return [message.job_id for message in site.peers.sent if isinstance(message, StopTasks)]


# A job was cancelled while its shard had no owner; the next one never heard of its runs.
@pytest.mark.parametrize(
    ("fields", "has_shard", "is_stopped"),
    [
        ({}, True, False),
        ({"state": DurableJobState.CANCELLED}, True, True),
        ({"state": DurableJobState.FAILED}, True, True),
        ({}, False, False),
        ({"state": DurableJobState.CANCELLED}, False, True),
        (None, False, True),
    ],
)
def test_run_without_an_owner_is_stopped_if_its_job_has_ended(
    site, open_confirming, fields, has_shard, is_stopped
):
    if fields is not None:
        site.put(make_record(**fields))
    shard = site.start_shard() if has_shard else None
    assert shard is None or wait_until(lambda: shard.job_state(JOB_ID))
    confirming = open_confirming(shard)
    site.peers.sent.clear()
    if has_shard:
        message = KeptTasksAre([], [reported_run()])
        confirming.confirmations.confirm_ends(FakeView.scheduler, message)
    else:
        confirming.confirmations.report([reported_run()])
        assert wait_until(lambda: site.counts.get("keeping.end_lookup"))
    assert stopped_jobs(site) == [JOB_ID] * is_stopped


def test_run_without_an_owner_is_not_stopped_while_the_store_is_unavailable(site, open_confirming):
    site.store.reads_fail = True
    confirming = open_confirming()
    confirming.confirmations.report([reported_run()])
    assert wait_until(lambda: site.counts.get("keeping.retry.end_lookup"))
    assert stopped_jobs(site) == []


# The scheduler let such a run go on and told nobody.
def test_scheduler_reports_a_run_whose_owner_was_lost_until_it_is_stopped(chain, monkeypatch):
    monkeypatch.setattr(retained_ends, "ORPHAN_REPORT_INTERVAL_MS", 100.0)
    monkeypatch.setattr(retained_ends, "CHECK_INTERVAL_MS", 50.0)
    scheduler, reports = chain.scheduler, []
    scheduler.retained_ends.report = reports.extend
    for worker in chain.workers.fleet.workers:
        worker.run_ms_by_payload["check"] = 5000.0
    chain.workers.dispatch_tasks(scheduler, tasks=1, term=ShardTerm(SHARD, TERM))
    assert wait_until(chain.workers.active_runs)
    gevent.sleep(0.3)
    assert reports == []
    scheduler.drop_owner(OWNER.member_id)
    assert wait_until(lambda: len(reports) >= 2, 2.0)
    assert {(row.task, row.end) for row in reports} == {(f"{JOB_ID}.0.0.0", None)}
    scheduler.stop_tasks(FakeView.scheduler, StopTasks(JOB_ID))
    assert wait_until(lambda: not chain.workers.active_runs(), 2.0)
