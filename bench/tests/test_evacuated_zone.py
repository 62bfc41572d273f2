"""A zone is evacuated under load while the store rejects one process and another one restarts."""

import itertools
import signal
import time
from threading import Event, Thread
from urllib.request import urlopen

import pytest

from bench.hosted_fleet import HostedFleet
from bench.standins.fleet_store import FleetStoreGate

BASE = 46
NORTH, SOUTH = "north", "south"
EFFECTIVE_WITHIN_S = 5.0
STAYS_EVACUATED_S = 4.0
LOAD_INTERVAL_S = 0.08
RETURN_TIMEOUT_S = 15.0


@pytest.fixture
def fleet(tmp_path):
    fleet = HostedFleet([NORTH, SOUTH], 4, tmp_path, BASE)
    yield fleet
    fleet.close()


class Load:
    """Submits jobs to one entry process after the other until it is stopped.

    Attributes:
        answers: submission time, entry process and status of each job.
    """

    def __init__(self, fleet, entries):
        self.answers = []
        self._fleet, self._entries = fleet, entries
        self._stopping = Event()
        self._threads = [Thread(target=self._submit, args=(entry,)) for entry in entries]
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def statuses(self, entry, after_s, until_s):
        return [s for at_s, e, s in self.answers if e is entry and after_s < at_s < until_s]

    def _submit(self, entry):
        for number in itertools.count():
            if self._stopping.wait(LOAD_INTERVAL_S):
                return
            at_s = time.monotonic()
            status, _ = self._fleet.submit(entry, f"l{number}x{entry.host[-3::2]}", 2)
            self.answers.append((at_s, entry, status))


def test_no_task_starts_in_an_evacuated_zone_and_its_callers_are_served(fleet):
    """A process that missed the evacuation would start tasks in the zone.

    The rejected process is the scheduler of the zone; it learns of the changes from its peers only.
    """
    site = fleet.site
    gate = FleetStoreGate(f"127.{fleet.base}.0.1:0", site.store)
    gate.start()
    rejected = fleet.add_entry(NORTH, 1, gate.address)
    fleet.wait_ready()
    assert fleet.scheduler_of(NORTH) is rejected
    served, restarted = fleet.add_entry(NORTH, 2), fleet.add_entry(NORTH, 3)
    others = [fleet.add_entry(SOUTH, 1), fleet.add_entry(SOUTH, 2)]
    fleet.wait_ready()
    load = Load(fleet, [rejected, served, *others])
    try:
        begun_s = time.monotonic()
        assert wait_until(lambda: site.started_in(NORTH, begun_s))
        gate.is_rejecting = True
        time.sleep(0.5)
        site.evacuate(NORTH)
        acknowledged_s = time.monotonic()
        restarted.process.send_signal(signal.SIGKILL)
        restarted.process.wait()
        fleet.start_entry(restarted)
        effective_s = acknowledged_s + EFFECTIVE_WITHIN_S
        time.sleep(EFFECTIVE_WITHIN_S + STAYS_EVACUATED_S)
        assert has_counted(rejected, "roster.evacuation_begun")
        site.take_back(NORTH)
        taken_back_s = time.monotonic()
        assert site.started_in(NORTH, effective_s, taken_back_s) == []
        assert site.started_in(SOUTH, effective_s, taken_back_s)
        for entry in (rejected, served, *others):
            statuses = load.statuses(entry, effective_s, taken_back_s - 1.0)
            assert statuses
            assert set(statuses) == {200}
        assert wait_until(lambda: has_counted(rejected, "roster.evacuation_ended"))
        gate.is_rejecting = False
        assert wait_until(lambda: site.started_in(NORTH, taken_back_s))
    finally:
        load.stop()
        gate.close()
    assert site.overlapping_tasks() == []


def test_jobs_are_refused_at_once_while_every_zone_is_evacuated(fleet):
    """Such jobs were held, or refused as if there was no worker."""
    entries = [fleet.add_entry(NORTH, 1), fleet.add_entry(SOUTH, 1)]
    fleet.wait_ready()
    for zone in (NORTH, SOUTH):
        fleet.site.evacuate(zone)
    time.sleep(EFFECTIVE_WITHIN_S)
    evacuated_s = time.monotonic()
    for entry in entries:
        status, body = fleet.submit(entry, f"all{entry.host[-3::2]}", 2)
        assert (status, body["title"], body["may_have_run"]) == (503, "evacuated", "not run")
        assert body["retry_after_ms"] > 0
    assert fleet.site.started_in(NORTH, evacuated_s) == fleet.site.started_in(SOUTH, evacuated_s)
    fleet.site.take_back(NORTH)
    assert wait_until(lambda: fleet.submit(entries[1], f"back{time.monotonic_ns()}")[0] == 200)


def has_counted(entry, name):
    """Return whether a counter of an entry process is above zero."""
    with urlopen(f"http://{entry.ready_address}/metrics", timeout=5) as reply:
        counters = dict(line.split() for line in reply.read().decode().splitlines())
    return int(counters.get(name, 0)) > 0


def wait_until(condition):
    """Return whether the condition became true within RETURN_TIMEOUT_S."""
    deadline_s = time.monotonic() + RETURN_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline_s:
            return False
        time.sleep(0.02)
    return True
