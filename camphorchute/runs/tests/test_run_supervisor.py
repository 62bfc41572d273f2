import gevent

from camphorchute.contracts.run_messages import TaskResultKind
from camphorchute.runs.tests.scheduler_site import (
    GROUP,
    OWNER,
    start_message,
    wait_until,
)


def start_stalled_worker(site):
    """Return a scheduler with a budget for restarts, and a worker that makes no progress."""
    scheduler = site.add_scheduler(7)
    assert wait_until(lambda: all(worker.fence == 7 for worker in site.fleet.workers))
    site.dispatch_tasks(scheduler, tasks=30, finish_within_ms=10_000.0, start_within_ms=9000.0)
    assert wait_until(lambda: len(site.results) == 30)
    site.results.clear()
    stalled = site.fleet.workers[0]
    stalled.faults.stall = True
    message = start_message(tasks=4)
    message.job_id = "other"
    scheduler.start_tasks(OWNER, message)
    return scheduler, stalled


def test_task_of_a_stalled_worker_starts_elsewhere_after_its_run_was_stopped(open_site):
    """Jobs were held until their deadline by one task on a worker that made no progress."""
    site = open_site(workers=2, run_ms=40.0)
    _, stalled = start_stalled_worker(site)
    assert wait_until(lambda: len(site.results) == 4, 1.5)
    assert set(site.outcomes().values()) == {TaskResultKind.DONE}
    assert "stopped" in {run.outcome for run in stalled.runs}
    assert site.fleet.overlapping_tasks() == []
    assert site.counts["runs.worker_ejected"] == 1


def test_ejected_worker_returns_after_a_probe(open_site):
    site = open_site(workers=2, run_ms=40.0)
    scheduler, stalled = start_stalled_worker(site)
    assert wait_until(lambda: site.counts.get("runs.worker_ejected"), 1.5)
    stalled.faults.stall = False
    (leased,) = [
        worker
        for worker in scheduler.group(GROUP).workers.values()
        if worker.entry.worker_id == stalled._worker_id
    ]
    assert leased.failures.ejected
    for number in range(40):
        message = start_message(tasks=4)
        message.job_id = f"job{number}"
        scheduler.start_tasks(OWNER, message)
        gevent.sleep(0.15)
        if not leased.failures.ejected:
            break
    assert not leased.failures.ejected
