import gevent
import pytest

from camphorchute.contracts.run_messages import TaskResultKind
from camphorchute.runs.tests.scheduler_site import (
    GROUP,
    JOB_ID,
    wait_until,
)


def test_unlisted_worker_blocks_tasks_that_may_run_on_it(open_site):
    """A partitioned worker left service discovery while an earlier scheduler renewed its runs."""
    site = open_site(run_ms=900.0)
    first = site.add_scheduler(7)
    site.dispatch_tasks(first, tasks=1)
    assert wait_until(lambda: len(site.active_runs()) == 1)
    busy = next(worker for worker in site.fleet.workers if worker.runs)
    busy_id = busy._worker_id
    second = site.add_scheduler(9)
    entries = site.entries()
    busy.faults.hang = True
    second.acquire_group(GROUP, "flags", 11)
    second.set_workers(GROUP, {key: entry for key, entry in entries.items() if key != busy_id})
    site.dispatch_tasks(second, tasks=1, run=2, may_run=True)
    gevent.sleep(0.6)
    assert site.fleet.overlapping_tasks() == []
    assert len(site.fleet.started_tasks()) == 1


@pytest.mark.parametrize("is_worker_named", [True, False])
def test_worker_unknown_to_the_next_scheduler_blocks_its_tasks(open_site, is_worker_named):
    """A partitioned worker left service discovery before the next scheduler claimed its group."""
    site = open_site(run_ms=900.0)
    first = site.add_scheduler(7)
    site.dispatch_tasks(first, tasks=1)
    assert wait_until(lambda: len(site.active_runs()) == 1)
    busy_id = next(worker for worker in site.fleet.workers if worker.runs)._worker_id
    first.release_group(GROUP)
    assert wait_until(lambda: site.results)
    assert site.results[0].worker_id == busy_id
    second = site.add_scheduler(9)
    second.release_group(GROUP)
    second.acquire_group(GROUP, "flags", 9)
    second.set_workers(
        GROUP, {key: entry for key, entry in site.entries().items() if key != busy_id}
    )
    site.results.clear()
    worker_id = busy_id if is_worker_named else ""
    site.dispatch_tasks(second, tasks=1, run=2, may_run=True, worker_id=worker_id)
    assert wait_until(lambda: site.outcomes() == {0: TaskResultKind.DONE})
    assert site.fleet.overlapping_tasks() == []


def test_runs_of_a_worker_that_moves_to_another_group_are_adopted_there(open_site):
    """Its runs were assumed to have ended with their leases, and a second run overlapped each."""
    site = open_site(workers=1, run_ms=700.0)
    first = site.add_scheduler(7)
    site.dispatch_tasks(first, tasks=2)
    assert wait_until(lambda: len(site.active_runs()) == 2)
    entries = site.entries()
    first.set_workers(GROUP, {}, dict.fromkeys(entries, "north/flags/1"))
    assert wait_until(lambda: len(site.results) == 2)
    assert {(result.end, result.worker_id, result.group) for result in site.results} == {
        (TaskResultKind.MAY_RUN, "north-w0", "north/flags/1")
    }
    second = site.add_scheduler(9)
    site.redispatch_returned(second)
    assert wait_until(lambda: len(site.results) == 2)
    assert set(site.outcomes().values()) == {TaskResultKind.DONE}
    assert len(site.fleet.started_tasks()) == 2


def test_run_of_a_worker_that_is_listed_again_is_adopted_and_not_started_again(open_site):
    """After a zone partition ended, a task was started again while its run still had a lease."""
    site = open_site(workers=2, run_ms=1900.0)
    scheduler = site.add_scheduler(7)
    assert wait_until(lambda: all(worker.fence == 7 for worker in site.fleet.workers))
    site.dispatch_tasks(scheduler, tasks=1)
    assert wait_until(lambda: len(site.active_runs()) == 1)
    entries = site.entries()
    scheduler.set_workers(GROUP, {})
    gevent.sleep(0.7)
    scheduler.set_workers(GROUP, entries)
    assert wait_until(lambda: site.results)
    assert site.outcomes() == {0: TaskResultKind.DONE}
    assert site.fleet.overlapping_tasks() == []


def test_run_started_after_the_next_scheduler_listed_the_worker_is_adopted(open_site):
    """A worker changed groups; its next scheduler trusted a list from before the run's start."""
    site = open_site(workers=2, run_ms=900.0)
    second = site.add_scheduler(8)
    assert wait_until(lambda: all(worker.fence == 8 for worker in site.fleet.workers))
    moved = site.fleet.workers[0]
    first = site.add_scheduler(9, [moved._worker_id])
    site.dispatch_tasks(first, tasks=1)
    assert wait_until(lambda: len(site.active_runs()) == 1)
    first.set_workers(GROUP, {}, {moved._worker_id: "north/flags/1"})
    assert wait_until(lambda: site.results)
    site.redispatch_returned(second)
    assert wait_until(lambda: second.superseded_groups == {GROUP})
    second.acquire_group(GROUP, "flags", 10)
    assert wait_until(lambda: site.outcomes() == {0: TaskResultKind.DONE})
    assert site.fleet.overlapping_tasks() == []
    assert len(site.fleet.started_tasks()) == 1


def test_start_that_arrives_after_its_worker_changed_groups_is_rejected(open_site):
    """The next scheduler saw no run on the worker and started the task on another one."""
    site = open_site(workers=2, run_ms=900.0)
    second = site.add_scheduler(9)
    assert wait_until(lambda: all(worker.fence == 9 for worker in site.fleet.workers))
    moved = site.fleet.workers[0]
    site.dispatch_tasks(second, tasks=1, run=2, may_run=True, worker_id=moved._worker_id)
    assert wait_until(lambda: len(site.active_runs()) == 1)
    assert moved._highest_run_numbers.get(f"{JOB_ID}.0.0.0", 0) >= 1


def test_run_of_a_removed_worker_that_is_listed_in_another_group_may_be_active(open_site):
    """After a zone partition ended, its lease was renewed by the scheduler of the other group."""
    site = open_site(workers=2, run_ms=2500.0)
    first = site.add_scheduler(7)
    site.dispatch_tasks(first, tasks=1)
    assert wait_until(lambda: len(site.active_runs()) == 1)
    moved_id = next(worker for worker in site.fleet.workers if worker.runs)._worker_id
    others = {key: entry for key, entry in site.entries().items() if key != moved_id}
    first.set_workers(GROUP, others)
    first.set_workers(GROUP, others, {moved_id: "north/flags/1"})
    second = site.add_scheduler(9, [moved_id])
    assert wait_until(lambda: site.results, 3.0)
    assert [(result.end, result.group) for result in site.results] == [
        (TaskResultKind.MAY_RUN, "north/flags/1")
    ]
    assert len(site.fleet.started_tasks()) == 1
    assert second.groups() == [GROUP]
