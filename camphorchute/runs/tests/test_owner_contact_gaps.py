import time

import gevent
import pytest

from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import ShardTerm, TaskResultKind
from camphorchute.runs.tests.model_workers import (
    CLOCK_OFFSET_MS,
    LEASE_S,
    SERVICE,
    ModelClient,
    ModelSite,
)
from camphorchute.runs.tests.scheduler_site import GROUP, OWNER, start_message, wait_until
from camphorchute.runs.worker_group import WorkerGroup

OTHER_OWNER = Member("other", "north", "vm2", "", "127.0.0.1:3", "127.0.0.1:4")
RESEND_S = 1.3


def extend_worker_lease(client, lease_until_ms):
    """Extend the lease of the worker, which applies to all that runs there and never shortens."""
    worker = client._worker
    end_s = (lease_until_ms - CLOCK_OFFSET_MS) / 1000 + client._late_by_s
    end_s = min(time.monotonic() + LEASE_S, end_s)
    worker.lease_end_s = max(getattr(worker, "lease_end_s", 0.0), end_s)
    for run in worker.active():
        run.lease_s = max(run.lease_s, worker.lease_end_s)
    return worker.lease_end_s


@pytest.fixture
def site(monkeypatch):
    monkeypatch.setattr(ModelClient, "_extend_leases", extend_worker_lease)
    site = ModelSite(workers=1, run_s=3.0)
    yield site
    site.close()


def limit_news(scheduler, silent_since_s, age_s=None):
    """Let a scheduler have heard of owners up to a time, or always with a certain age."""
    age_s = age_s or {}
    scheduler.owner_contacts.running_at_s = lambda owner_id: min(
        time.monotonic() - age_s.get(owner_id, 0.0), silent_since_s.get(owner_id, float("inf"))
    )


def dispatch_job(scheduler, job_id, owner=OWNER, hand_back_full=False, **fields):
    message = start_message(finish_within_ms=6000.0, **fields)
    message.group, message.job_id, message.hand_back_full = GROUP, job_id, hand_back_full
    scheduler.start_tasks(owner, message)


def runs_of(site, job_id):
    return [run for run in site.all_runs() if run.task.startswith(job_id)]


# Guards against a lease in force that an earlier scheduler has renewed since the worker was opened.
@pytest.mark.parametrize("unheard_s", [0.0, 0.5, 0.7])
def test_run_at_a_new_scheduler_ends_before_the_job_is_sent_again(site, unheard_s):
    earlier = site.add_scheduler(1)
    site.workers["w0"].run_s = unheard_s + 0.15
    dispatch_job(earlier, "job2", OTHER_OWNER)
    assert wait_until(site.all_runs)
    gevent.sleep(0.15)
    site.workers["w0"].run_s = 3.0
    if unheard_s:
        site.silence("w0", 1)
    silent_s = time.monotonic()
    later = site.add_scheduler(2)
    limit_news(later, {OWNER.member_id: silent_s})
    gevent.sleep(max(0.0, silent_s + unheard_s - time.monotonic()))
    site.unsilence("w0", 1)
    dispatch_job(later, "job1")
    gevent.sleep(silent_s + RESEND_S - time.monotonic())
    assert [round(r.end_s() - silent_s, 2) for r in runs_of(site, "job1") if r.is_active()] == []


# Guards against a lease of another scheduler that had the group between two claims of this one.
def test_run_at_a_scheduler_with_a_renewed_claim_ends_before_the_job_is_sent_again(site):
    first = site.add_scheduler(1)
    gevent.sleep(1.1)
    second = site.add_scheduler(2)
    site.workers["w0"].run_s = 0.5
    dispatch_job(second, "job2", OTHER_OWNER)
    assert wait_until(site.all_runs)
    silent_s = time.monotonic()
    limit_news(first, {OWNER.member_id: silent_s})
    site.workers["w0"].run_s = 3.0
    gevent.sleep(0.52)
    first.acquire_group(GROUP, SERVICE, 3)
    dispatch_job(first, "job1")
    gevent.sleep(silent_s + RESEND_S - time.monotonic())
    assert [round(r.end_s() - silent_s, 2) for r in runs_of(site, "job1") if r.is_active()] == []


# Guards against a run that is handed to a silent owner under a lease that its owner before allows.
def test_run_is_not_handed_to_an_owner_that_is_silent(site):
    scheduler = site.add_scheduler(1)
    silent_since_s = {}
    limit_news(scheduler, silent_since_s)
    dispatch_job(scheduler, "job1", OTHER_OWNER)
    assert wait_until(site.all_runs)
    silent_since_s[OWNER.member_id] = time.monotonic()
    gevent.sleep(0.7)
    dispatch_job(scheduler, "job1", OWNER, run=2, may_run=True)
    assert wait_until(lambda: site.results, 0.5)
    assert [result.end for result in site.results] == [TaskResultKind.MAY_RUN]
    assert scheduler.owners() == {OTHER_OWNER.member_id}


# Guards against tasks returned for want of capacity although only the news of the owner is old.
@pytest.mark.parametrize("age_s", [0.0, 0.2, 0.3, 0.35])
def test_task_of_a_quiet_owner_is_not_returned_as_without_room(site, age_s):
    scheduler = site.add_scheduler(1)
    limit_news(scheduler, {}, {OWNER.member_id: age_s})
    gevent.sleep(1.1)
    dispatch_job(scheduler, "job2", OTHER_OWNER)
    gevent.sleep(0.1)
    dispatch_job(scheduler, "job1", hand_back_full=True)
    gevent.sleep(0.1)
    ends = [result.end for result in site.results]
    assert TaskResultKind.NO_ROOM not in ends


# Guards against starvation beside other owners of an owner behind a link with a delay.
@pytest.mark.parametrize("age_s", [0.1, 0.2, 0.3, 0.35])
def test_task_of_an_owner_behind_a_slow_link_starts_beside_runs_of_others(site, age_s):
    scheduler = site.add_scheduler(1)
    limit_news(scheduler, {}, {OWNER.member_id: age_s})
    gevent.sleep(1.1)
    dispatch_job(scheduler, "job2", OTHER_OWNER)
    assert wait_until(site.all_runs)
    dispatch_job(scheduler, "job1")
    assert wait_until(lambda: runs_of(site, "job1"), 2.0)


# Guards against starvation beside durable runs if callers send jobs again after the shortest time.
@pytest.mark.parametrize("resend_ms", [1200.0, 3_600_000.0])
@pytest.mark.parametrize("age_s", [0.0, 0.1, 0.2])
def test_task_starts_beside_a_durable_run_with_any_resend_time(site, resend_ms, age_s):
    scheduler = site.add_scheduler(1)
    scheduler.owner_contacts.resend_ms = resend_ms
    limit_news(scheduler, {}, {OWNER.member_id: age_s})
    gevent.sleep(1.1)
    dispatch_job(scheduler, "job2", OTHER_OWNER, term=ShardTerm(0, 1))
    assert wait_until(site.all_runs)
    dispatch_job(scheduler, "job1")
    assert wait_until(lambda: runs_of(site, "job1"), 2.0)


# Guards against the loss of an owner ending the runs of other owners on the same worker. The link
# is given up after 750 ms, or up to 1,100 if this process was late; news is up to 300 ms older.
@pytest.mark.parametrize("age_s", [0.0, 0.1, 0.2, 0.3])
@pytest.mark.parametrize("given_up_after_s", [0.75, 0.85, 1.05])
def test_runs_of_other_owners_survive_the_loss_of_an_owner(site, age_s, given_up_after_s):
    scheduler = site.add_scheduler(1)
    silent_since_s = {}
    limit_news(scheduler, silent_since_s)
    gevent.sleep(1.1)
    dispatch_job(scheduler, "job1")
    dispatch_job(scheduler, "job2", OTHER_OWNER)
    assert wait_until(lambda: len(site.all_runs()) == 2)
    gevent.sleep(0.3)
    silent_since_s[OWNER.member_id] = time.monotonic() - age_s
    gevent.sleep(given_up_after_s)
    scheduler.drop_owner(OWNER.member_id)
    gevent.sleep(0.6)
    (run,) = runs_of(site, "job2")[:1]
    assert run.is_active()


# Guards against a look at all workers for each waiting task of an owner whose news is old.
@pytest.mark.parametrize("age_s", [0.0, 0.3])
def test_waiting_tasks_beside_full_workers_cost_little(site, age_s, monkeypatch):
    scheduler = site.add_scheduler(1)
    limit_news(scheduler, {}, {OWNER.member_id: age_s})
    gevent.sleep(1.1)
    dispatch_job(scheduler, "job2", OTHER_OWNER, tasks=2)
    assert wait_until(lambda: len(site.all_runs()) == 2)
    dispatch_job(scheduler, "job1", tasks=300)
    calls, choose = [], WorkerGroup.choose_worker
    monkeypatch.setattr(
        WorkerGroup,
        "choose_worker",
        lambda self, task, now_s: calls.append(task.name) or choose(self, task, now_s),
    )
    scheduler.group(GROUP).place_pending(time.monotonic())
    assert len(calls) < 10
