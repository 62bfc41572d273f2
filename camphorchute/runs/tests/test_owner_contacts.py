import time

import gevent
import pytest

from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import ShardTerm
from camphorchute.runs import owner_contacts
from camphorchute.runs.tests.model_workers import SERVICE, ModelSite
from camphorchute.runs.tests.scheduler_site import GROUP, OWNER, start_message, wait_until

OTHER_OWNER = Member("other", "north", "vm2", "", "127.0.0.1:3", "127.0.0.1:4")
RESEND_S = 1.3


@pytest.fixture
def site():
    site = ModelSite(workers=1, run_s=3.0)
    yield site
    site.close()


def start_scheduler(site, silent_since_s):
    """Start a scheduler that has heard of each owner up to a time, of others up to now."""
    scheduler = site.add_scheduler(1)
    scheduler.owner_contacts.running_at_s = lambda owner_id: min(
        time.monotonic(), silent_since_s.get(owner_id, float("inf"))
    )
    return scheduler


def dispatch_job(scheduler, job_id, owner=OWNER, **fields):
    message = start_message(finish_within_ms=6000.0, **fields)
    message.group, message.job_id = GROUP, job_id
    scheduler.start_tasks(owner, message)


# Guards against a run that outlives its owner: its scheduler renewed the lease until it was lost.
@pytest.mark.parametrize("lost_after_s", [0.2, 0.5, 0.8, 1.1, None])
def test_run_ends_before_the_job_of_a_silent_owner_is_sent_again(site, lost_after_s):
    silent_since_s = {}
    scheduler = start_scheduler(site, silent_since_s)
    dispatch_job(scheduler, "job1")
    assert wait_until(site.all_runs)
    gevent.sleep(0.3)
    silent_s = silent_since_s[OWNER.member_id] = time.monotonic()
    if lost_after_s is not None:
        gevent.sleep(lost_after_s)
        site.kill(scheduler)
    gevent.sleep(max(0.0, silent_s + RESEND_S - time.monotonic()))
    (run,) = site.all_runs()
    assert run.end_s() < silent_s + RESEND_S


# A durable run went on without a limit while its scheduler was cut off with the worker, and another
# run of the task began elsewhere.
@pytest.mark.parametrize("is_cut_off", [True, False])
@pytest.mark.parametrize("is_orphaned", [True, False])
def test_durable_run_ends_while_its_scheduler_is_cut_off(
    site, monkeypatch, is_cut_off, is_orphaned
):
    monkeypatch.setattr(owner_contacts, "ISOLATED_RUN_MAX_MS", 900.0)
    scheduler = site.add_scheduler(1)
    dispatch_job(scheduler, "job1", term=ShardTerm(0, 7))
    assert wait_until(site.all_runs)
    cut_off_s = time.monotonic()
    if is_orphaned:
        scheduler.drop_owner(OWNER.member_id)
    if is_cut_off:
        scheduler.owner_contacts.connected_at_s = lambda: cut_off_s
    gevent.sleep(1.2)
    (run,) = site.all_runs()
    assert (run.end_s() < cut_off_s + 1.0) is is_cut_off
    if is_cut_off:
        dispatch_job(scheduler, "job2", term=ShardTerm(0, 7))
        gevent.sleep(0.2)
        assert len(site.all_runs()) == 1
        scheduler.owner_contacts.connected_at_s = time.monotonic
        assert wait_until(lambda: len(site.all_runs()) > 1)


# Guards against a neighbour's renewals, which extend the leases of all runs of the worker.
def test_neighbour_of_a_run_does_not_keep_it_alive(site):
    silent_since_s = {}
    scheduler = start_scheduler(site, silent_since_s)
    dispatch_job(scheduler, "job1")
    dispatch_job(scheduler, "job2", OTHER_OWNER)
    assert wait_until(lambda: len(site.all_runs()) == 2)
    silent_s = silent_since_s[OWNER.member_id] = time.monotonic()
    gevent.sleep(RESEND_S)
    runs = [run for run in site.all_runs() if run.task.startswith("job1")]
    assert [run.end_s() < silent_s + RESEND_S for run in runs] == [True]


# Guards against a dispatch that waited in a socket while its owner was lost.
@pytest.mark.parametrize(
    ("age_s", "starts"), [(0.0, True), (0.1, True), (0.9, False), (5.0, False)]
)
def test_task_of_an_owner_without_recent_news_is_not_started(site, age_s, starts):
    scheduler = start_scheduler(site, {OWNER.member_id: time.monotonic() - age_s})
    gevent.sleep(0.05)
    dispatch_job(scheduler, "job1")
    gevent.sleep(0.1)
    assert bool(site.all_runs()) is starts


def test_task_starts_as_soon_as_its_owner_has_answered(site):
    silent_since_s = {OWNER.member_id: time.monotonic() - 2.0}
    scheduler = start_scheduler(site, silent_since_s)
    asked = []
    scheduler.owner_contacts.request_proof = asked.append
    dispatch_job(scheduler, "job1")
    gevent.sleep(0.05)
    assert (asked, site.all_runs()) == ([OWNER.member_id], [])
    silent_since_s.clear()
    assert wait_until(site.all_runs, 0.5)


# Guards against a task that waits for news of its owner and holds up those of other owners.
def test_task_without_news_of_its_owner_does_not_hold_up_others(site):
    scheduler = start_scheduler(site, {OWNER.member_id: time.monotonic() - 2.0})
    dispatch_job(scheduler, "job1")
    dispatch_job(scheduler, "job2", OTHER_OWNER)
    assert wait_until(site.all_runs, 0.5)
    assert {run.task.partition(".")[0] for run in site.all_runs()} == {"job2"}


# Guards against a lease that an idle worker still has for a run of another owner.
def test_run_waits_while_a_lease_outlasts_what_its_owner_allows_for(site):
    silent_since_s = {OWNER.member_id: time.monotonic()}
    scheduler = start_scheduler(site, silent_since_s)
    dispatch_job(scheduler, "job2", OTHER_OWNER)
    assert wait_until(site.all_runs)
    gevent.sleep(0.4)
    dispatch_job(scheduler, "job1")
    gevent.sleep(0.1)
    assert len(site.all_runs()) == 1


# Guards against a run beside leases that another scheduler has granted before or in between.
@pytest.mark.parametrize("acquired_again", [False, True])
def test_run_waits_while_leases_of_another_scheduler_may_be_in_force(site, acquired_again):
    scheduler = start_scheduler(site, {})
    scheduler.owner_contacts.running_at_s = lambda owner_id: time.monotonic() - 0.4
    if acquired_again:
        gevent.sleep(1.1)
        scheduler.acquire_group(GROUP, SERVICE, 2)
        gevent.sleep(0.05)
    dispatch_job(scheduler, "job1")
    gevent.sleep(0.1)
    assert site.all_runs() == []
    assert wait_until(site.all_runs, 1.5)


def test_run_of_a_durable_task_goes_on_without_its_owner(site):
    silent_since_s = {}
    scheduler = start_scheduler(site, silent_since_s)
    dispatch_job(scheduler, "job1", term=ShardTerm(0, 1))
    assert wait_until(site.all_runs)
    silent_since_s[OWNER.member_id] = time.monotonic()
    gevent.sleep(1.5)
    (run,) = site.all_runs()
    assert run.is_active()
