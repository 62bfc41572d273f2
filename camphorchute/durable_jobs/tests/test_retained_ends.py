"""The end of a durable task from its worker to the stored record, across shard owners."""

import gevent
import pytest

from camphorchute.contracts.durable_job_messages import AskKeptTasks
from camphorchute.contracts.run_messages import ShardTerm
from camphorchute.durable_jobs.tests.fakes import FakePeers, FakeView
from camphorchute.durable_jobs.tests.test_shard import JOB_ID, SHARD, TERM, Site, make_record
from camphorchute.queues import TaskState
from camphorchute.runs import leased_worker
from camphorchute.runs.tests.scheduler_site import OWNER, SchedulerSite, wait_until


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
