"""Workers without a guard whose capacity shrinks and grows while entry processes use them."""

import itertools
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import gevent
import pytest

from bench.durable_calls import call_entry, wait_until
from bench.hosted_fleet import HostedFleet
from bench.standins.fleet_site import job_body

BASE = 49
NORTH = "north"
RUN_MS, LONG_RUN_MS = 80.0, 250.0
IN_FORCE_S = 1.5  # entries are read at intervals of 600 ms
CALLERS = 12
BEFORE_PAUSE_S = 3.4  # the end of a poll of the store
PAUSE_S = 6.0


@pytest.fixture
def fleet(tmp_path):
    fleet = HostedFleet([NORTH], 2, tmp_path, BASE, RUN_MS)
    for worker in fleet.site.workers:
        worker.faults.has_no_guard = True
    for number in range(2):
        fleet.add_entry(NORTH, number + 1)
    fleet.wait_ready()
    yield fleet
    fleet.close()


def submit_until(fleet, number, until_s):
    """Submit jobs of two tasks one after the other until a time; return how many were done."""
    done = 0
    for count in itertools.count():
        if time.monotonic() > until_s:
            return done
        entry = fleet.entries[(number + count) % 2]
        status, _ = call_entry(entry, "POST", f"j{number}x{count}", job_body(2, RUN_MS))
        done += status == 200
        gevent.sleep(0.02)


def most_active(worker, duration_s):
    """Return the largest number of runs that were active on a worker at once."""
    until_s, most = time.monotonic() + duration_s, 0
    while time.monotonic() < until_s:
        most = max(most, worker.active_count())
        gevent.sleep(0.005)
    return most


# A worker whose capacity had shrunk was started on as before.
def test_workers_are_not_started_on_beyond_their_present_capacity(fleet):
    changing = fleet.site.workers[0]
    steps = [(1, 1), (0, 0), (3, 3), (2, 2)]
    until_s = time.monotonic() + len(steps) * (IN_FORCE_S + 1.0)
    with ThreadPoolExecutor(CALLERS) as callers:
        jobs = [callers.submit(submit_until, fleet, n, until_s) for n in range(CALLERS)]
        for slots, expected in steps:
            changing.set_slots(slots)
            gevent.sleep(IN_FORCE_S)
            assert most_active(changing, 1.0) == expected
        assert sum(job.result() for job in jobs) > 0


# A process that had been paused started tasks on workers whose capacity had gone meanwhile.
def test_process_that_was_paused_starts_nothing_on_workers_that_shrank(tmp_path):
    fleet = HostedFleet([NORTH], 4, tmp_path, BASE, LONG_RUN_MS)
    try:
        entry = fleet.add_entry(NORTH, 1)
        fleet.wait_ready()
        entry.process.kill()
        entry.process.wait()
        fleet.start_entry(entry)
        gevent.sleep(BEFORE_PAUSE_S)
        entry.process.send_signal(signal.SIGSTOP)
        gevent.sleep(0.5)
        for worker in fleet.site.workers:
            worker.faults.has_no_guard = True
            worker.set_slots(0)
        gevent.sleep(PAUSE_S)
        jobs = [fleet.submit_later(entry, f"j{number}", 3) for number in range(CALLERS)]
        before = sum(len(worker.runs) for worker in fleet.site.workers)
        gevent.sleep(0.01)
        entry.process.send_signal(signal.SIGCONT)
        statuses = {job.result()[0] for job in jobs}
        assert sum(len(worker.runs) for worker in fleet.site.workers) == before, statuses
        for worker in fleet.site.workers:
            worker.set_slots(2)
        assert wait_until(lambda: fleet.submit(entry, f"l{time.monotonic_ns()}")[0] == 200, 8.0)
    finally:
        fleet.close()
