"""Jobs that are kept, on real entry processes under failure."""

import signal
import time
from http.client import HTTPException

import pytest

from bench.fleet import call
from bench.hosted_fleet import HostedFleet
from bench.standins.fleet_site import HOST, PREFIX, kept_body
from camphorchute.durable_jobs import JOB_KEY_PREFIX
from camphorchute.durable_jobs.shard_claims import SHARD_OWNER_KEY_PREFIX

BASE = 43
NORTH = "north"
SHARD_COUNT = 32
SETTLE_TIMEOUT_S = 20.0
DONE_TIMEOUT_S = 20.0


@pytest.fixture
def fleets(tmp_path):
    opened = []

    def start(entries=3, workers=4, run_ms=60.0):
        fleet = HostedFleet([NORTH], workers, tmp_path, BASE, run_ms)
        opened.append(fleet)
        for number in range(entries):
            fleet.add_entry(NORTH, number + 1)
        fleet.wait_ready()
        assert until(lambda: is_settled(fleet), SETTLE_TIMEOUT_S)
        return fleet

    yield start
    for fleet in opened:
        fleet.close()


def until(holds, timeout_s):
    end_s = time.monotonic() + timeout_s
    while not holds():
        if time.monotonic() > end_s:
            return False
        time.sleep(0.05)
    return True


def keys(fleet, prefix):
    return [key for key in fleet.site.store.items if key.startswith(prefix)]


def is_settled(fleet):
    """Whether every shard has an owner."""
    return len(keys(fleet, SHARD_OWNER_KEY_PREFIX)) == SHARD_COUNT


def ask(entry, method, job_id, body=None):
    """Return status and body of a call, status 0 where no answer came."""
    try:
        return call(entry.http_address, method, PREFIX + job_id, body, {"Host": HOST})
    except (OSError, HTTPException) as error:
        return 0, repr(error)


def submit(entry, job_id, *tasks):
    return ask(entry, "POST", job_id, kept_body(*tasks))[0]


def state(entry, job_id):
    status, body = ask(entry, "GET", job_id)
    return body["state"] if status == 200 else status


def all_done(fleet, jobs, entries=None):
    asked = entries or fleet.entries
    return all(state(entry, job) == "done" for entry in asked for job in jobs)


def runs_of(fleet, job):
    return [r for w in fleet.site.workers for r in w.record if r.task.startswith(f"{job}.")]


def check_once(fleet, jobs, tasks):
    """Check that every task ended as done, and none twice beside or after itself."""
    assert fleet.site.overlaps() == []
    names = tuple(f"{job}." for job in jobs)
    assert [task for task in fleet.site.started_again() if task.startswith(names)] == []
    for job in jobs:
        assert len({run.task for run in runs_of(fleet, job) if run.how == "done"}) == tasks


def test_kept_jobs_run_once_and_are_known_everywhere(fleets):
    fleet = fleets()
    jobs = [f"job{number}" for number in range(12)]
    accepted = [submit(fleet.entries[n % 3], job, 3, 2) for n, job in enumerate(jobs)]
    assert accepted == [200] * 12
    assert state(fleet.entries[0], jobs[-1]) in ("queued", "active", "done")
    assert until(lambda: all_done(fleet, jobs), DONE_TIMEOUT_S)
    check_once(fleet, jobs, 5)
    assert [submit(entry, jobs[0], 3, 2) for entry in fleet.entries] == [200] * 3
    assert ask(fleet.entries[0], "GET", "never") == (410, ask(fleet.entries[0], "GET", "never")[1])
    time.sleep(0.5)
    check_once(fleet, jobs, 5)
    assert until(lambda: ask(fleet.entries[1], "GET", "")[1] == {"pending": 0}, 5.0)


def test_later_step_starts_after_the_earlier_one_has_ended(fleets):
    fleet = fleets(entries=1)
    submit(fleet.entries[0], "steps", 3, 2, 1)
    assert until(lambda: all_done(fleet, ["steps"]), DONE_TIMEOUT_S)
    spans = {}
    for run in runs_of(fleet, "steps"):
        step = int(run.task.split(".")[2])
        first, last = spans.get(step, (run.started_s, run.ended_s))
        spans[step] = (min(first, run.started_s), max(last, run.ended_s))
    assert spans[0][1] <= spans[1][0]
    assert spans[1][1] <= spans[2][0]


@pytest.mark.parametrize("how", [signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP])
def test_lost_process_leaves_its_jobs_to_others(fleets, how):
    fleet = fleets(run_ms=300.0)
    jobs = [f"job{number}" for number in range(8)]
    assert [submit(fleet.entries[n % 3], job, 2, 1) for n, job in enumerate(jobs)] == [200] * 8
    time.sleep(0.2)
    fleet.entries[0].process.send_signal(how)
    others = fleet.entries[1:]
    assert until(lambda: all_done(fleet, jobs, others), 2 * DONE_TIMEOUT_S)
    fleet.entries[0].process.send_signal(signal.SIGCONT)
    time.sleep(1.5)
    check_once(fleet, jobs, 3)


def test_acknowledged_jobs_outlive_every_process(fleets):
    fleet = fleets(run_ms=150.0)
    jobs = [f"job{number}" for number in range(6)]
    assert [submit(fleet.entries[n % 3], job, 2, 1) for n, job in enumerate(jobs)] == [200] * 6
    for entry in fleet.entries:
        entry.process.kill()
        entry.process.wait()
    for entry in fleet.entries:
        fleet.start_entry(entry)
    fleet.wait_ready()
    assert until(lambda: all_done(fleet, jobs), 2 * DONE_TIMEOUT_S)
    check_once(fleet, jobs, 3)


def test_cancelled_job_is_stopped_and_stays_cancelled(fleets):
    fleet = fleets(run_ms=3000.0)
    assert submit(fleet.entries[0], "long", 2, 1) == 200
    assert until(lambda: len(runs_of(fleet, "long")) == 2, 5.0)
    assert ask(fleet.entries[1], "DELETE", "long")[0] == 200
    assert until(lambda: all(run.ended_s for run in runs_of(fleet, "long")), 2.0)
    assert [state(entry, "long") for entry in fleet.entries] == ["cancelled"] * 3
    assert ask(fleet.entries[2], "DELETE", "long")[0] == 200
    assert ask(fleet.entries[2], "DELETE", "other")[0] == 410
    time.sleep(0.5)
    assert len(runs_of(fleet, "long")) == 2


def test_job_whose_task_fails_too_often_has_failed(fleets):
    fleet = fleets(entries=1)
    for worker in fleet.site.workers:
        worker.faults.fail = True
    assert submit(fleet.entries[0], "bad", 1) == 200
    assert until(lambda: state(fleet.entries[0], "bad") == "failed", DONE_TIMEOUT_S)
    assert len(runs_of(fleet, "bad")) == 3
    assert until(lambda: all(run.acknowledged for run in runs_of(fleet, "bad")), 2.0)


def test_job_that_was_not_stored_is_refused_and_never_runs(fleets):
    fleet = fleets(entries=2)
    fleet.site.store.faults.busy = True
    status, body = ask(fleet.entries[0], "POST", "refused", kept_body(1))
    assert (status, body["may_have_run"]) == (503, "not run")
    fleet.site.store.faults.busy = False
    time.sleep(1.0)
    assert runs_of(fleet, "refused") == []
    assert state(fleet.entries[1], "refused") == 410
    assert submit(fleet.entries[1], "refused", 1) == 200
    assert until(lambda: all_done(fleet, ["refused"]), DONE_TIMEOUT_S)


def test_ends_are_kept_at_their_workers_while_the_store_is_away(fleets):
    fleet = fleets(entries=2, run_ms=400.0)
    assert submit(fleet.entries[0], "away", 2) == 200
    assert until(lambda: len(runs_of(fleet, "away")) == 2, 5.0)
    fleet.site.store.faults.busy = True
    assert until(lambda: all(run.ended_s for run in runs_of(fleet, "away")), 5.0)
    time.sleep(0.5)
    assert not any(run.acknowledged for run in runs_of(fleet, "away"))
    assert state(fleet.entries[0], "away") != "done"
    fleet.site.store.faults.busy = False
    assert until(lambda: all_done(fleet, ["away"]), DONE_TIMEOUT_S)
    assert until(lambda: all(run.acknowledged for run in runs_of(fleet, "away")), 3.0)
    check_once(fleet, ["away"], 2)
    assert len(keys(fleet, JOB_KEY_PREFIX)) == 1
