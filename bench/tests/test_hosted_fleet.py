"""Real entry processes on the stand-in of a hosted platform, under failure."""

import signal
import time
from urllib.request import urlopen

import pytest

from bench.fleet import call
from bench.hosted_fleet import HostedFleet
from bench.standins.fleet_site import HOST, PREFIX

BASE = 41
NORTH, SOUTH = "north", "south"
EXIT_TIMEOUT_S = 10.0


@pytest.fixture
def fleets(tmp_path):
    opened = []

    def start(zones=(NORTH,), entries=2, workers=3, run_ms=40.0):
        fleet = HostedFleet(list(zones), workers, tmp_path, BASE, run_ms)
        opened.append(fleet)
        for zone in zones:
            for number in range(entries):
                fleet.add_entry(zone, number + 1)
        fleet.wait_ready()
        return fleet

    yield start
    for fleet in opened:
        fleet.close()


def until(holds, timeout_s):
    end_s = time.monotonic() + timeout_s
    while not holds():
        if time.monotonic() > end_s:
            return False
        time.sleep(0.02)
    return True


def ask(entry, method, path, host=HOST):
    return call(entry.http_address, method, path, None, {"Host": host})


def test_jobs_through_every_process_are_done_once(fleets):
    fleet = fleets(zones=(NORTH, SOUTH))
    answers = [
        fleet.submit(entry, f"job{number}{entry.host[-3::2]}", 4)
        for number in range(6)
        for entry in fleet.entries
    ]
    assert answers == [(200, {"state": "done"})] * 24
    started = [task for task in fleet.site.starts() if task.startswith("job")]
    assert len(started) == 24 * 4
    assert len(set(started)) == 24 * 4


def test_requests_that_are_not_served_say_why(fleets):
    entry = fleets(entries=1).entries[0]
    assert ask(entry, "GET", PREFIX) == (200, {"pending": 0})
    assert ask(entry, "GET", "/elsewhere/")[0] == 404
    assert ask(entry, "GET", PREFIX, "other.example")[0] == 404
    assert ask(entry, "GET", PREFIX + "j1")[0] == 410
    assert ask(entry, "DELETE", PREFIX + "j1")[0] == 410
    gang = {"spec": "s", "steps": [{"count": 1, "cpu": 1000, "estimate-ms": 5, "gang": True}]}
    status, body = call(entry.http_address, "POST", PREFIX + "j1", gang, {"Host": HOST})
    assert (status, body["may_have_run"]) == (503, "not run")
    status, body = call(entry.http_address, "POST", PREFIX + "j1", {"spec": 7}, {"Host": HOST})
    assert (status, body["title"]) == (400, "malformed_body")


def test_new_configuration_is_in_force_everywhere(fleets):
    fleet = fleets()
    fleet.site.configure(9, ["/walks/"])
    for entry in fleet.entries:
        assert until(lambda entry=entry: ask(entry, "GET", "/walks/")[0] == 200, 2.0)
        assert ask(entry, "GET", PREFIX)[0] == 404
    fleet.site.configure(8, [PREFIX])
    time.sleep(0.5)
    assert [ask(entry, "GET", PREFIX)[0] for entry in fleet.entries] == [404, 404]


def test_process_without_a_configuration_is_not_ready(tmp_path):
    fleet = HostedFleet([NORTH], 1, tmp_path, BASE)
    try:
        fleet.site.store.remove("op/config")
        entry = fleet.add_entry(NORTH, 1)
        assert until(lambda: fleet.submit(entry, "job1")[0] == 503, 8.0)
        assert not fleet.is_ready(entry)
        fleet.site.configure(1, [PREFIX])
        assert until(lambda: fleet.is_ready(entry), 2.0)
    finally:
        fleet.close()


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGSTOP])
def test_lost_scheduler_is_followed_and_no_task_runs_twice_at_once(fleets, signal_number):
    fleet = fleets(entries=3, run_ms=150.0)
    scheduler = fleet.scheduler_of(NORTH)
    other = next(entry for entry in fleet.entries if entry is not scheduler)
    sent = [fleet.submit_later(other, f"early{number}", 2) for number in range(3)]
    time.sleep(0.1)
    scheduler.process.send_signal(signal_number)
    assert {future.result()[0] for future in sent} <= {200, 502, 503, 504}
    assert until(lambda: fleet.submit(other, f"late{time.monotonic_ns()}", 4)[0] == 200, 8.0)
    scheduler.process.send_signal(signal.SIGCONT)
    again = [fleet.submit_later(other, f"again{number}", 2) for number in range(3)]
    assert {future.result()[0] for future in again} == {200}
    assert fleet.site.overlaps() == []


@pytest.mark.parametrize("victim", ["scheduler", "other"])
def test_planned_stop_cuts_no_job(fleets, victim):
    fleet = fleets(entries=2, run_ms=600.0)
    scheduler = fleet.scheduler_of(NORTH)
    other = next(entry for entry in fleet.entries if entry is not scheduler)
    stopped = scheduler if victim == "scheduler" else other
    sent = [
        fleet.submit_later(entry, f"{number}{entry.host[-1]}", 2)
        for number, entry in enumerate((scheduler, other, scheduler))
    ]
    time.sleep(0.2)
    stopped.process.send_signal(signal.SIGTERM)
    assert until(lambda: not fleet.is_ready(stopped), 1.0)
    assert [future.result() for future in sent] == [(200, {"state": "done"})] * 3
    assert stopped.process.wait(EXIT_TIMEOUT_S) == 0
    assert fleet.site.overlaps() == []


def test_store_that_is_down_stops_no_job(fleets):
    fleet = fleets()
    fleet.site.store.faults.busy = True
    time.sleep(4.0)
    assert [fleet.submit(entry, f"down{entry.host[-1]}", 3)[0] for entry in fleet.entries] == [
        200,
        200,
    ]
    fleet.site.store.faults.busy = False
    fleet.site.store.end_leases()
    time.sleep(1.0)
    assert fleet.submit(fleet.entries[0], "after", 3)[0] == 200


def test_caller_that_leaves_has_its_job_stopped(fleets):
    fleet = fleets(entries=1, run_ms=4000.0, workers=2)
    until_s = 0.3
    with pytest.raises(OSError):
        call(
            fleet.entries[0].http_address,
            "POST",
            PREFIX + "left",
            {
                "spec": "s",
                "best-effort": True,
                "steps": [{"count": 2, "cpu": 14_000, "estimate-ms": 4000}],
            },
            {"Host": HOST},
            timeout_s=until_s,
        )
    runs = [run for worker in fleet.site.workers for run in worker.record if "left" in run.task]
    assert len(runs) == 2
    assert until(lambda: all(run.ended_s for run in runs), 1.0)


def test_hangup_signal_does_not_end_the_process(fleets):
    fleet = fleets(entries=1)
    fleet.entries[0].process.send_signal(signal.SIGHUP)
    time.sleep(0.3)
    assert fleet.submit(fleet.entries[0], "hup")[0] == 200


def test_job_that_is_refused_can_be_traced_in_log_and_counters(fleets, tmp_path):
    fleet = fleets(entries=1, workers=1, run_ms=300.0)
    entry = fleet.entries[0]
    sent = [fleet.submit_later(entry, f"burst{number}", 4) for number in range(6)]
    assert 503 in {future.result()[0] for future in sent}
    host, _, port = entry.ready_address.partition(":")
    with urlopen(f"http://{host}:{port}/metrics", timeout=5) as reply:
        counters = dict(line.split() for line in reply.read().decode().splitlines())
    assert int(counters["queues.refused.overloaded"]) >= 1
    assert any(name.startswith("queues.job_ms.under_") for name in counters)
    log = (tmp_path / f"entry-{entry.host}.log").read_text()
    refused = [line for line in log.splitlines() if "burst" in line and "wait" in line]
    assert refused
    assert all("wait_ms" in line or "waited_ms" in line for line in refused)
