"""Workers that had nothing to do for a while, and readings of their clocks that are wrong."""

import gevent
import pytest

from camphorchute.contracts.durable_job_messages import EndsSaved, SavedCompletion
from camphorchute.contracts.run_messages import ShardTerm, TaskResultKind
from camphorchute.hosting import CommandRefused, RefusalReason
from camphorchute.runs.tests.model_workers import Held
from camphorchute.runs.tests.scheduler_site import JOB_ID, OWNER
from camphorchute.runs.tests.virtual_time import VirtualTime

WORKER_ID = "w0"


def open_site(open_model, run_s=0.1):
    """Open a site of one worker that refuses late starts."""
    site = open_model(workers=1, run_s=run_s)
    site.workers[WORKER_ID].refuses_late_starts = True
    return site


def run_one_job(site, scheduler, **fields):
    """Dispatch a job of one task; return how it ended, or None if it has not within a second."""
    site.results.clear()
    site.dispatch(scheduler, estimate_ms=100.0, **fields)
    gevent.sleep(1.0)
    saved = [SavedCompletion(f"{JOB_ID}.0.0.0", result.run) for result in site.results]
    scheduler.durable_tasks.acknowledge_saved(OWNER, EndsSaved(saved))
    return site.results[0].end if site.results else None


def record_commands(scheduler):
    """Return a list that each command of a scheduler to its worker is added to as it is sent."""
    commands = []
    worker = next(iter(scheduler.group(scheduler.groups()[0]).workers.values()))
    client = worker._client

    def recorded(name):
        method = getattr(client, name)

        def call(*arguments):
            commands.append(name)
            return method(*arguments)

        return call

    for name in ("start_run", "renew_and_list"):
        setattr(client, name, recorded(name))
    return commands


# Guards against tasks that never start on workers that were idle for longer than 42.5 s: the lease
# of a start was computed from an old reading of the worker's clock and had expired.
@pytest.mark.parametrize("idle_s", [1.0, 20.0, 38.0, 41.0, 44.0, 50.0, 75.0, 600.0])
@pytest.mark.parametrize("clock_rate", [1.0, 0.98])
@pytest.mark.parametrize("term", [None, ShardTerm(3, 7)], ids=["best-effort", "durable"])
def test_first_task_after_a_pause_starts_at_once(open_model, idle_s, clock_rate, term):
    with VirtualTime():
        site = open_site(open_model)
        site.workers[WORKER_ID].clock_rate = clock_rate
        scheduler = site.add_scheduler(7)
        assert run_one_job(site, scheduler, term=term) is TaskResultKind.DONE
        gevent.sleep(idle_s)
        commands = record_commands(scheduler)
        assert run_one_job(site, scheduler, run=2, term=term) is TaskResultKind.DONE
        assert commands.count("start_run") == 1
        assert not any("start_refused" in name for name in site.counts)


# Guards against runs that lapse as their first lease is short: the doubt about the worker's clock
# is taken from it.
@pytest.mark.parametrize("idle_s", [0.0, 3.0, 4.2, 5.0, 41.0, 300.0])
def test_first_lease_after_a_pause_has_nearly_the_usual_length(open_model, idle_s):
    with VirtualTime():
        site = open_site(open_model, run_s=0.5)
        scheduler = site.add_scheduler(7)
        leases_s, start = [], site.workers[WORKER_ID].start
        site.workers[WORKER_ID].start = lambda task, number, lease_s: (
            leases_s.append(lease_s),
            start(task, number, lease_s),
        )
        gevent.sleep(idle_s)
        site.dispatch(scheduler)
        gevent.sleep(0.005)
        assert leases_s and leases_s[0] >= 0.75


# Guards against a fresh reading of the clock that costs a worker a poll while it is idle.
def test_idle_worker_is_not_polled(open_model):
    with VirtualTime():
        site = open_site(open_model)
        scheduler = site.add_scheduler(7)
        assert run_one_job(site, scheduler) is TaskResultKind.DONE
        commands = record_commands(scheduler)
        gevent.sleep(300.0)
        assert commands == []


# Guards against starts that are refused without end: nothing asked a worker without runs for its
# clock or its incarnation after it had refused one.
@pytest.mark.parametrize(
    "reason",
    [RefusalReason.TOO_LATE, RefusalReason.OLD_RUN, RefusalReason.OTHER_INCARNATION],
)
def test_worker_is_polled_after_a_refusal_that_shows_a_wrong_view_of_it(open_model, reason):
    with VirtualTime():
        site = open_site(open_model)
        scheduler = site.add_scheduler(7)
        assert run_one_job(site, scheduler) is TaskResultKind.DONE
        refused = Held(CommandRefused(reason))
        refused.release()
        site.workers[WORKER_ID].held["start"].append(refused)
        commands = record_commands(scheduler)
        run_one_job(site, scheduler, run=2)
        assert commands[:2] == ["start_run", "renew_and_list"]


# Guards against tasks that never start on a worker whose clock is ahead of what is known of it.
@pytest.mark.parametrize("ahead_ms", [900.0, 10_000.0])
def test_task_starts_once_the_clock_that_was_wrong_has_been_read(open_model, ahead_ms):
    with VirtualTime():
        site = open_site(open_model)
        scheduler = site.add_scheduler(7)
        gevent.sleep(1.0)
        site.workers[WORKER_ID].clock_offset_ms += ahead_ms
        assert run_one_job(site, scheduler) is TaskResultKind.DONE
        assert site.counts["runs.start_refused.too_late"] == 1
