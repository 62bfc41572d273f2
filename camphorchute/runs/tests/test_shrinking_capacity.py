"""Workers that run anything they are told to, and whose capacity shrinks and grows again."""

import gevent
import pytest

from camphorchute.contracts.resources import Resources
from camphorchute.contracts.run_messages import StopTasks
from camphorchute.runs.tests.model_workers import Held
from camphorchute.runs.tests.scheduler_site import (
    GROUP,
    JOB_ID,
    OWNER,
    block_event_loop,
    start_message,
    wait_until,
)

SLOT = Resources(14_000, 64)


def set_slots(site, scheduler, slots, worker_id="w0"):
    """Let a worker say of itself that it has capacity for a number of tasks."""
    entries = site.entries()
    entries[worker_id].capacity = SLOT.times(slots)
    scheduler.set_workers(GROUP, entries, site.groups())


def dispatch_job(scheduler, job, tasks):
    message = start_message(tasks=tasks, start_within_ms=9000.0, finish_within_ms=9000.0)
    message.job_id = job
    scheduler.start_tasks(OWNER, message)


def most_active(worker, duration_s):
    """Return the largest number of runs that were active on a worker at once."""
    most = 0
    for _ in range(round(duration_s / 0.01)):
        most = max(most, len(worker.active()))
        gevent.sleep(0.01)
    return most


@pytest.fixture
def site(open_model):
    return open_model(workers=1, run_s=0.2)


# A worker whose capacity had shrunk was started on as before, and had more runs than it can hold.
@pytest.mark.parametrize(("slots", "expected"), [(0, 0), (1, 1), (2, 2), (3, 3)])
def test_no_more_tasks_start_than_the_present_capacity_holds(site, slots, expected):
    scheduler = site.add_scheduler(7)
    set_slots(site, scheduler, slots)
    dispatch_job(scheduler, "job", 5)
    assert most_active(site.workers["w0"], 0.8) == expected


def test_no_task_starts_on_a_worker_that_shrank_under_its_runs(site):
    scheduler = site.add_scheduler(7)
    dispatch_job(scheduler, "first", 2)
    assert wait_until(lambda: len(site.workers["w0"].active()) == 2)
    set_slots(site, scheduler, 1)
    dispatch_job(scheduler, "second", 2)
    assert wait_until(lambda: len(site.results) == 2)
    assert most_active(site.workers["w0"], 0.6) == 1
    assert wait_until(lambda: len(site.results) == 4)


def test_capacity_that_grows_again_is_used(site):
    scheduler = site.add_scheduler(7)
    set_slots(site, scheduler, 1)
    dispatch_job(scheduler, "job", 6)
    assert most_active(site.workers["w0"], 0.3) == 1
    set_slots(site, scheduler, 2)
    assert most_active(site.workers["w0"], 0.3) == 2
    assert wait_until(lambda: len(site.results) == 6)
    assert site.counts.get("runs.start_refused.no_room", 0) == 0


def test_shrunk_capacity_is_reported_to_owners(site):
    scheduler, changes = site.add_scheduler(7), []
    scheduler.on_capacity_changed = lambda: changes.extend(scheduler.free_capacity_report())
    set_slots(site, scheduler, 1)
    assert changes[-1].workers[0].free == changes[-1].capacity == changes[-1].largest == SLOT
    dispatch_job(scheduler, "job", 1)
    set_slots(site, scheduler, 0)
    assert changes[-1].workers[0].free.cpu_millicores == 0


# A run that is being stopped did not count once its worker had been silent for a while.
def test_run_that_was_taken_as_ended_counts_until_its_worker_lists_its_runs(open_model):
    site = open_model(workers=1, run_s=5.0)
    scheduler, worker, held = site.add_scheduler(7), site.workers["w0"], Held()
    worker.held["start"] += [None, held]
    site.dispatch(scheduler, tasks=2)
    assert held.sent.wait(1.0)
    held.executes.set()
    worker.is_silent = True
    assert wait_until(lambda: site.counts.get("runs.lease_over_unheard"), 4.0)
    worker.is_silent = False
    poll = Held()
    worker.held["list"].append(poll)
    scheduler.stop_tasks(OWNER, StopTasks(JOB_ID))
    dispatch_job(scheduler, "other", 2)
    held.answers.set()
    gevent.sleep(0.1)
    poll.release()
    assert most_active(worker, 0.5) <= 2


@pytest.mark.parametrize(("incarnation_later", "expected"), [(0, 1), (1, 2)])
def test_entry_applies_at_once_to_its_incarnation_only(site, incarnation_later, expected):
    scheduler = site.add_scheduler(7)
    entry = site.entries()["w0"]
    entry.capacity = SLOT
    entry.incarnation += incarnation_later
    scheduler.update_worker_entry(entry)
    dispatch_job(scheduler, "job", 3)
    assert most_active(site.workers["w0"], 0.3) == expected


# A process that had been paused started tasks by the capacity from before its pause.
def test_nothing_starts_after_a_pause_until_the_workers_are_known_again(site):
    scheduler, paused_ms, is_known = site.add_scheduler(7), [], []
    scheduler.on_paused = paused_ms.append
    scheduler.are_workers_current = lambda: bool(is_known)
    block_event_loop(0.8)
    dispatch_job(scheduler, "job", 2)
    assert most_active(site.workers["w0"], 0.3) == 0
    assert len(paused_ms) == 1
    assert paused_ms[0] >= 800.0
    is_known.append(True)
    assert wait_until(lambda: len(site.results) == 2)
