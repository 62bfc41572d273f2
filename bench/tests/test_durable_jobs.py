"""Durable jobs on real entry processes, with and without failures."""

import signal
import time

import pytest

from bench.durable_calls import (
    all_done,
    call_entry,
    job_state,
    runs_of_job,
    submit,
    wait_until,
)
from bench.hosted_fleet import HostedFleet
from bench.standins.fleet_site import durable_job_body
from camphorchute.durable_jobs import JOB_KEY_PREFIX
from camphorchute.durable_jobs.shard_claims import SHARD_OWNER_KEY_PREFIX
from camphorchute.runs import shard_of

BASE = 43
NORTH = "north"
DONE_TIMEOUT_S = 20.0


@pytest.fixture
def start_fleet(tmp_path):
    fleets = []

    def start(entries=3, workers=4, run_ms=60.0):
        fleet = HostedFleet([NORTH], workers, tmp_path, BASE, run_ms)
        fleets.append(fleet)
        for number in range(entries):
            fleet.add_entry(NORTH, number + 1)
        fleet.wait_ready()
        return fleet

    yield start
    for fleet in fleets:
        fleet.close()


def stored_keys(fleet, prefix):
    """Return the keys in the store that begin with a prefix."""
    return [key for key in fleet.site.store.items if key.startswith(prefix)]


def shards_with_owners(fleet):
    """Return the shards that have an owner in the store."""
    keys = stored_keys(fleet, SHARD_OWNER_KEY_PREFIX)
    return {int(key.removeprefix(SHARD_OWNER_KEY_PREFIX)) for key in keys}


def assert_run_once(fleet, jobs, tasks):
    """Assert that each task is done, has no overlapping runs and was not started again."""
    assert fleet.site.overlapping_tasks() == []
    prefixes = tuple(f"{job}." for job in jobs)
    assert [task for task in fleet.site.restarted_tasks() if task.startswith(prefixes)] == []
    for job in jobs:
        assert len({run.task for run in runs_of_job(fleet, job) if run.outcome == "done"}) == tasks


def test_durable_jobs_run_once_and_every_process_knows_their_state(start_fleet):
    fleet = start_fleet()
    jobs = [f"job{number}" for number in range(12)]
    accepted = [submit(fleet.entries[n % 3], job, 3, 2) for n, job in enumerate(jobs)]
    assert accepted == [200] * 12
    assert job_state(fleet.entries[0], jobs[-1]) in ("queued", "active", "done")
    assert wait_until(lambda: all_done(fleet, jobs), DONE_TIMEOUT_S)
    assert_run_once(fleet, jobs, 5)
    assert [submit(entry, jobs[0], 3, 2) for entry in fleet.entries] == [200] * 3
    assert call_entry(fleet.entries[0], "GET", "never") == (
        410,
        call_entry(fleet.entries[0], "GET", "never")[1],
    )
    time.sleep(0.5)
    assert_run_once(fleet, jobs, 5)
    assert wait_until(lambda: call_entry(fleet.entries[1], "GET", "")[1] == {"pending": 0}, 5.0)


def test_only_shards_with_a_durable_job_get_an_owner(start_fleet):
    """Every shard had an owner, and each change of members cost claims of shards without jobs."""
    fleet = start_fleet()
    jobs = [f"job{number}" for number in range(3)]
    assert shards_with_owners(fleet) == set()
    assert [submit(fleet.entries[n], job, 1) for n, job in enumerate(jobs)] == [200] * 3
    assert wait_until(lambda: all_done(fleet, jobs), DONE_TIMEOUT_S)
    assert shards_with_owners(fleet) == {shard_of(job) for job in jobs}


def test_later_step_starts_after_the_earlier_one_has_ended(start_fleet):
    fleet = start_fleet(entries=1)
    submit(fleet.entries[0], "steps", 3, 2, 1)
    assert wait_until(lambda: all_done(fleet, ["steps"]), DONE_TIMEOUT_S)
    spans = {}
    for run in runs_of_job(fleet, "steps"):
        step = int(run.task.split(".")[2])
        first, last = spans.get(step, (run.started_s, run.ended_s))
        spans[step] = (min(first, run.started_s), max(last, run.ended_s))
    assert spans[0][1] <= spans[1][0]
    assert spans[1][1] <= spans[2][0]


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP])
def test_jobs_of_a_lost_process_are_completed_by_the_others(start_fleet, signal_number):
    fleet = start_fleet(run_ms=300.0)
    jobs = [f"job{number}" for number in range(8)]
    assert [submit(fleet.entries[n % 3], job, 2, 1) for n, job in enumerate(jobs)] == [200] * 8
    time.sleep(0.2)
    fleet.entries[0].process.send_signal(signal_number)
    others = fleet.entries[1:]
    assert wait_until(lambda: all_done(fleet, jobs, others), 2 * DONE_TIMEOUT_S)
    fleet.entries[0].process.send_signal(signal.SIGCONT)
    time.sleep(1.5)
    assert_run_once(fleet, jobs, 3)


def test_acknowledged_jobs_survive_the_restart_of_every_process(start_fleet):
    fleet = start_fleet(run_ms=150.0)
    jobs = [f"job{number}" for number in range(6)]
    assert [submit(fleet.entries[n % 3], job, 2, 1) for n, job in enumerate(jobs)] == [200] * 6
    for entry in fleet.entries:
        entry.process.kill()
        entry.process.wait()
    for entry in fleet.entries:
        fleet.start_entry(entry)
    fleet.wait_ready()
    assert wait_until(lambda: all_done(fleet, jobs), 2 * DONE_TIMEOUT_S)
    assert_run_once(fleet, jobs, 3)


def test_cancelled_job_is_stopped_and_stays_cancelled(start_fleet):
    fleet = start_fleet(run_ms=3000.0)
    assert submit(fleet.entries[0], "long", 2, 1) == 200
    assert wait_until(lambda: len(runs_of_job(fleet, "long")) == 2, 5.0)
    assert call_entry(fleet.entries[1], "DELETE", "long")[0] == 200
    assert wait_until(lambda: all(run.ended_s for run in runs_of_job(fleet, "long")), 2.0)
    assert [job_state(entry, "long") for entry in fleet.entries] == ["cancelled"] * 3
    assert call_entry(fleet.entries[2], "DELETE", "long")[0] == 200
    assert call_entry(fleet.entries[2], "DELETE", "other")[0] == 410
    time.sleep(0.5)
    assert len(runs_of_job(fleet, "long")) == 2


def test_job_fails_after_three_failed_runs_of_a_task(start_fleet):
    fleet = start_fleet(entries=1)
    for worker in fleet.site.workers:
        worker.faults.fail = True
    assert submit(fleet.entries[0], "bad", 1) == 200
    assert wait_until(lambda: job_state(fleet.entries[0], "bad") == "failed", DONE_TIMEOUT_S)
    assert len(runs_of_job(fleet, "bad")) == 3
    assert wait_until(lambda: all(run.acknowledged for run in runs_of_job(fleet, "bad")), 2.0)


def test_job_that_was_not_stored_is_refused_and_never_runs(start_fleet):
    fleet = start_fleet(entries=2)
    fleet.site.store.faults.busy = True
    status, body = call_entry(fleet.entries[0], "POST", "refused", durable_job_body(1))
    assert (status, body["may_have_run"]) == (503, "not run")
    fleet.site.store.faults.busy = False
    time.sleep(1.0)
    assert runs_of_job(fleet, "refused") == []
    assert job_state(fleet.entries[1], "refused") == 410
    assert submit(fleet.entries[1], "refused", 1) == 200
    assert wait_until(lambda: all_done(fleet, ["refused"]), DONE_TIMEOUT_S)


def test_completions_stay_unacknowledged_while_the_store_is_unavailable(start_fleet):
    fleet = start_fleet(entries=2, run_ms=400.0)
    assert submit(fleet.entries[0], "away", 2) == 200
    assert wait_until(lambda: len(runs_of_job(fleet, "away")) == 2, 5.0)
    fleet.site.store.faults.busy = True
    assert wait_until(lambda: all(run.ended_s for run in runs_of_job(fleet, "away")), 5.0)
    time.sleep(0.5)
    assert not any(run.acknowledged for run in runs_of_job(fleet, "away"))
    assert job_state(fleet.entries[0], "away") != "done"
    fleet.site.store.faults.busy = False
    assert wait_until(lambda: all_done(fleet, ["away"]), DONE_TIMEOUT_S)
    assert wait_until(lambda: all(run.acknowledged for run in runs_of_job(fleet, "away")), 3.0)
    assert_run_once(fleet, ["away"], 2)
    assert len(stored_keys(fleet, JOB_KEY_PREFIX)) == 1
