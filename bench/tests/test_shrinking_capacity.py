"""Workers without a guard whose capacity shrinks and grows while entry processes use them."""

import itertools
import time
from concurrent.futures import ThreadPoolExecutor

import gevent
import pytest

from bench.durable_calls import call_entry
from bench.hosted_fleet import HostedFleet
from bench.standins.fleet_site import job_body

BASE = 49
NORTH = "north"
RUN_MS = 80.0
IN_FORCE_S = 1.5  # entries are read at intervals of 600 ms
CALLERS = 12


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
