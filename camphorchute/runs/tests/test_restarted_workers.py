"""Sequences of events after which a task had two runs at the same time."""

import gevent

from camphorchute.runs.tests.scheduler_site import GROUP, wait_until


def test_start_accepted_by_a_restarted_worker_is_not_repeated_elsewhere(open_site):
    """An idle worker restarted under its id; the run it then accepted counted as gone."""
    site = open_site(workers=2, run_ms=400.0)
    scheduler = site.add_scheduler(7)
    assert wait_until(lambda: all(worker.fence == 7 for worker in site.fleet.workers))
    gevent.sleep(0.1)
    for worker in site.fleet.workers:
        worker.restart()
    site.dispatch_tasks(scheduler)
    gevent.sleep(0.2)
    scheduler.set_workers(GROUP, site.entries())
    assert wait_until(lambda: site.fleet.started_tasks() and not site.active_runs())
    assert site.fleet.overlapping_tasks() == []


def test_task_stopped_while_its_worker_is_not_listed_does_not_start_again(open_site):
    """The stop found no run, and the task was requeued when the worker was listed again."""
    site = open_site(workers=2, run_ms=300.0)
    scheduler = site.add_scheduler(7)
    scheduler.is_durable_job = lambda job_id: False
    assert wait_until(lambda: all(worker.fence == 7 for worker in site.fleet.workers))
    entries = site.entries()
    site.dispatch_tasks(scheduler)
    assert wait_until(site.active_runs)
    scheduler.set_workers(GROUP, {})
    site.stop_job(scheduler)
    scheduler.set_workers(GROUP, entries)
    gevent.sleep(2.5)
    assert len(site.fleet.started_tasks()) == 1
