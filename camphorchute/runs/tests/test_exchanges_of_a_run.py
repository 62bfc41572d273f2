"""Number of commands, polls and decisions that a run takes."""

import gevent
import pytest

from camphorchute.runs import worker_group
from camphorchute.runs.tests.model_workers import Held
from camphorchute.runs.tests.scheduler_site import wait_until


def record_commands(scheduler):
    """Return a list that every command to the workers of a scheduler is added to."""
    commands = []
    for worker in scheduler.group(scheduler.groups()[0]).workers.values():
        for name in ("start_run", "stop_run", "renew_and_list"):
            send = getattr(worker._client, name)

            def record(*args, name=name, send=send):
                commands.append(name)
                return send(*args)

            setattr(worker._client, name, record)
    return commands


def is_synced(scheduler):
    group = scheduler.group(scheduler.groups()[0])
    return all(worker.synced for worker in group.workers.values())


@pytest.mark.parametrize("estimate_ms", [60.0, 100.0], ids=["as long as declared", "shorter"])
def test_run_takes_one_start_command_and_one_poll(open_model, estimate_ms):
    """Guards against polls that only repeat what an earlier one has said."""
    site = open_model(workers=1, run_s=0.06)
    scheduler = site.add_scheduler(7)
    assert wait_until(lambda: is_synced(scheduler))
    commands = record_commands(scheduler)
    for runs in range(1, 5):
        site.dispatch(scheduler, run=runs, estimate_ms=estimate_ms)
        assert wait_until(lambda runs=runs: len(site.results) == runs)
    gevent.sleep(0.1)
    assert sorted(commands) == ["renew_and_list"] * 4 + ["start_run"] * 4


def test_worker_is_not_polled_for_a_run_that_has_ended(open_model):
    """An answer to a start command that came after the end of the run led to an empty poll."""
    site = open_model(workers=1, run_s=0.06)
    scheduler = site.add_scheduler(7)
    assert wait_until(lambda: is_synced(scheduler))
    commands = record_commands(scheduler)
    held = Held()
    held.executes.set()
    site.workers["w0"].held["start"].append(held)
    site.dispatch(scheduler)
    gevent.sleep(0.1)
    worker = next(iter(scheduler.group(scheduler.groups()[0]).workers.values()))
    worker.request_poll()
    assert wait_until(lambda: site.results)
    held.answers.set()
    gevent.sleep(0.1)
    assert commands == ["start_run", "renew_and_list"]


@pytest.mark.parametrize(("workers", "ranks"), [(1, 0), (3, 3)], ids=["only one", "several"])
def test_only_workers_that_could_be_chosen_are_ranked(open_model, monkeypatch, workers, ranks):
    """Guards against ranks that cannot change the choice."""
    site = open_model(workers=workers)
    scheduler = site.add_scheduler(7)
    assert wait_until(lambda: is_synced(scheduler))
    ranked = []
    candidate = worker_group.WorkerCandidate
    monkeypatch.setattr(
        worker_group, "WorkerCandidate", lambda speed: ranked.append(speed) or candidate(speed)
    )
    site.dispatch(scheduler)
    assert len(ranked) == ranks
