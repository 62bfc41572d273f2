"""Jobs whose owner falls silent and that their callers send again to another process."""

import signal
import time

import pytest

from bench.hosted_fleet import HostedFleet
from bench.run_faults.run_checker import find_overlaps, runs_of

BASE = 68
NORTH, SOUTH = "north", "south"
RUN_MS = 2500.0
STOP_MS = 50.0
RESEND_S = 1.3
START_TIMEOUT_S = 3.0


@pytest.fixture
def fleet(tmp_path):
    fleet = HostedFleet([NORTH, SOUTH], 3, tmp_path, BASE, RUN_MS)
    for zone, number in [(NORTH, 1), (NORTH, 2), (NORTH, 3), (SOUTH, 1)]:
        fleet.add_entry(zone, number)
    fleet.wait_ready()
    for worker in fleet.site.workers:
        worker.faults.stop_ms = STOP_MS
    yield fleet
    fleet.close()


def wait_for_scheduler(fleet, zone):
    """Wait until an entry process schedules the workers of a zone, and return it."""
    until_s = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            return fleet.scheduler_of(zone)
        except StopIteration:
            assert time.monotonic() < until_s, "no process schedules the workers"
            time.sleep(0.01)


def wait_for_run(fleet, job_id):
    """Wait until a task of a job runs."""
    until_s = time.monotonic() + START_TIMEOUT_S
    while not any(run.task.startswith(job_id) for run in runs_of(fleet.site.workers)):
        assert time.monotonic() < until_s, "no task of the job has started"
        time.sleep(0.01)


# Guards against two runs of a task at the same time: the run of a silent owner went on under a
# lease that its scheduler, which was lost next, had renewed after the last news of the owner.
@pytest.mark.parametrize("lost_after_s", [0.3, 0.5, 0.7, 0.9])
@pytest.mark.parametrize("lost_by", [signal.SIGKILL, signal.SIGSTOP])
def test_run_of_a_silent_owner_ends_before_its_job_is_sent_again(fleet, lost_after_s, lost_by):
    scheduler = wait_for_scheduler(fleet, NORTH)
    owner = next(e for e in fleet.entries if e.zone == NORTH and e is not scheduler)
    elsewhere = next(entry for entry in fleet.entries if entry.zone == SOUTH)
    job_id = "5c0e7a21d94b36f8"
    fleet.submit_later(owner, job_id)
    wait_for_run(fleet, job_id)
    time.sleep(0.3)

    owner.process.send_signal(signal.SIGSTOP)
    silent_s = time.monotonic()
    time.sleep(lost_after_s)
    scheduler.process.send_signal(lost_by)
    time.sleep(max(0.0, silent_s + RESEND_S - time.monotonic()))
    fleet.submit(elsewhere, job_id)

    runs = [run for run in runs_of(fleet.site.workers) if run.task.startswith(job_id)]
    assert len(runs) > 1, "the job did not run again"
    assert find_overlaps(runs) == []
