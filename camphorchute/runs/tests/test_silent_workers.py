"""Workers that are listed and answer nobody."""

import gevent
import pytest

from camphorchute.contracts.durable_job_messages import AskKeptTasks
from camphorchute.contracts.run_messages import ShardTerm, TaskResultKind
from camphorchute.runs import leased_worker, shard_of
from camphorchute.runs.tests.model_workers import SERVICE
from camphorchute.runs.tests.scheduler_site import GROUP, JOB_ID, OWNER, wait_until
from camphorchute.runs.worker_leases import LONGEST_LEASE_MS, SILENT_BEYOND_LEASES_MS

SHARD = shard_of(JOB_ID)
TERM = ShardTerm(SHARD, 9)
SILENCE_MS = 400.0


@pytest.fixture
def site(open_model, monkeypatch):
    monkeypatch.setattr(leased_worker, "SILENT_BEYOND_LEASES_MS", SILENCE_MS)
    opened = open_model(workers=2)
    opened.workers["w0"].is_silent = True
    return opened


def reported_workers(scheduler):
    return scheduler.durable_tasks.report_tasks(OWNER, AskKeptTasks(SHARD, 9)).workers


# One listed worker that answered nobody kept all jobs of all shards from starting, for good.
def test_worker_that_never_answered_is_reported_once_no_run_can_be_left(site):
    scheduler = site.add_scheduler(7)
    assert wait_until(lambda: "w1" in reported_workers(scheduler), SILENCE_MS / 2000)
    assert "w0" not in reported_workers(scheduler)
    assert wait_until(lambda: sorted(reported_workers(scheduler)) == ["w0", "w1"], 2.0)


# The time of silence began anew with a higher fencing token, or did not begin anew with an answer.
def test_silence_counts_from_the_last_answer(site):
    scheduler = site.add_scheduler(7)
    site.workers["w0"].is_silent = False
    assert wait_until(lambda: "w0" in reported_workers(scheduler))
    gevent.sleep(SILENCE_MS / 1000)
    site.workers["w0"].is_silent = True
    scheduler.acquire_group(GROUP, SERVICE, 8)
    scheduler.group(GROUP).workers["w0"].refresh_fence()
    assert wait_until(lambda: "w0" not in reported_workers(scheduler), 0.2)
    assert wait_until(lambda: "w0" in reported_workers(scheduler), 2.0)


# Its task waited at the scheduler for as long as the silent worker was listed.
@pytest.mark.parametrize("worker_id", ["w0", ""])
def test_task_whose_run_may_be_on_a_silent_worker_is_returned(site, worker_id):
    scheduler = site.add_scheduler(7)
    site.dispatch(scheduler, may_run=True, worker_id=worker_id, run=2, term=TERM)
    assert wait_until(lambda: site.results, 4.0)
    assert site.results[0].end is TaskResultKind.NOT_FOUND


def test_silence_outlasts_a_late_renewal():
    assert SILENT_BEYOND_LEASES_MS > 12_000 + LONGEST_LEASE_MS
