"""Tasks that crash the workers that start them, on real entry processes."""

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

BASE = 47
NORTH = "north"
DEADLY = "deadly"
CRASHES_MAX = 5  # three, and two more before the task must have been given up
FAILED_TIMEOUT_S = 30.0
DONE_TIMEOUT_S = 20.0


@pytest.fixture
def start_fleet(tmp_path):
    fleets = []

    def start(entries=2, workers=6, run_ms=200.0, **faults):
        fleet = HostedFleet([NORTH], workers, tmp_path, BASE, run_ms)
        fleets.append(fleet)
        for worker in fleet.site.workers:
            worker.faults.crash_payload = DEADLY
            for name, value in faults.items():
                setattr(worker.faults, name, value)
        for number in range(entries):
            fleet.add_entry(NORTH, number + 1)
        fleet.wait_ready()
        return fleet

    yield start
    for fleet in fleets:
        fleet.close()


def crashes_under(fleet, job):
    """Return how many workers have crashed under the tasks of a job."""
    return sum(run.outcome == "crashed" for run in runs_of_job(fleet, job))


def fails_in_time(fleet, job):
    """Wait until a process shows a job as failed; stop early if it crashes too many workers."""
    entry = fleet.entries[-1]
    return wait_until(
        lambda: job_state(entry, job) == "failed" or crashes_under(fleet, job) > CRASHES_MAX,
        FAILED_TIMEOUT_S,
    )


# A durable task that crashed every worker that started it was started again without end.
@pytest.mark.parametrize("faults", [{}, {"crash_renames": True}, {"crash_after_ms": 0.0}])
def test_durable_task_that_crashes_its_workers_is_given_up(start_fleet, faults):
    fleet = start_fleet(**faults)
    assert submit(fleet.entries[0], "bad", 1, payload=DEADLY) == 200
    assert fails_in_time(fleet, "bad")
    crashes = crashes_under(fleet, "bad")
    assert 2 <= crashes <= CRASHES_MAX
    time.sleep(3.0)
    assert crashes_under(fleet, "bad") == crashes
    assert [job_state(entry, "bad") for entry in fleet.entries] == ["failed"] * 2


# What a killed process knew of the workers that a task had crashed was lost with it.
def test_crashes_are_counted_across_killed_processes(start_fleet):
    fleet = start_fleet(entries=3)
    assert submit(fleet.entries[2], "bad", 1, payload=DEADLY) == 200
    for killed in fleet.entries[:2]:
        seen = crashes_under(fleet, "bad")
        assert wait_until(lambda seen=seen: crashes_under(fleet, "bad") > seen, 15.0)
        killed.process.kill()
        killed.process.wait()
        fleet.start_entry(killed)
    assert fails_in_time(fleet, "bad")
    assert 2 <= crashes_under(fleet, "bad") <= CRASHES_MAX


# A job beside a crashing task must not be given up, however often it loses its worker with it.
def test_jobs_beside_a_crashing_task_are_done(start_fleet):
    fleet = start_fleet(workers=3, run_ms=600.0, crash_after_ms=100.0)
    innocent = [f"good{number}" for number in range(3)]
    deadly = [f"bad{number}" for number in range(2)]
    assert [submit(fleet.entries[0], job, 1) for job in innocent] == [200] * 3
    assert [submit(fleet.entries[1], job, 1, payload=DEADLY) for job in deadly] == [200] * 2
    assert wait_until(lambda: all_done(fleet, innocent), 2 * DONE_TIMEOUT_S)
    assert wait_until(
        lambda: all(job_state(fleet.entries[0], job) == "failed" for job in deadly),
        FAILED_TIMEOUT_S,
    )
    assert fleet.site.overlapping_tasks() == []


# A worker that crashes again and again for its own reason condemns no task.
def test_jobs_on_a_worker_that_crashes_by_itself_are_done(start_fleet):
    fleet = start_fleet(workers=2, run_ms=500.0)
    jobs = [f"job{number}" for number in range(6)]
    unsteady = fleet.site.workers[0]
    for number, job in enumerate(jobs):
        assert submit(fleet.entries[number % 2], job, 1) == 200
        if any(not run.ended_s for run in unsteady.runs):
            unsteady.restart(300.0)
        time.sleep(0.5)
    assert wait_until(lambda: all_done(fleet, jobs), 2 * DONE_TIMEOUT_S)
    assert call_entry(fleet.entries[0], "GET", "")[1] == {"pending": 0}
