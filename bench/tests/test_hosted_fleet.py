"""Entry processes on the stand-in for a hosted platform, with and without failures."""

import signal
import time
from urllib.request import urlopen

import pytest

from bench.fleet import call
from bench.hosted_fleet import HostedFleet
from bench.standins.fleet_site import QUEUE_HOST, QUEUE_PATH_PREFIX

BASE = 41
NORTH, SOUTH = "north", "south"
EXIT_TIMEOUT_S = 10.0


@pytest.fixture
def start_fleet(tmp_path):
    fleets = []

    def start(zones=(NORTH,), entries=2, workers=3, run_ms=40.0):
        fleet = HostedFleet(list(zones), workers, tmp_path, BASE, run_ms)
        fleets.append(fleet)
        for zone in zones:
            for number in range(entries):
                fleet.add_entry(zone, number + 1)
        fleet.wait_ready()
        return fleet

    yield start
    for fleet in fleets:
        fleet.close()


def wait_until(condition, timeout_s):
    """Return whether the condition became true within the timeout."""
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            return False
        time.sleep(0.02)
    return True


def call_entry(entry, method, path, host=QUEUE_HOST):
    """Return status and body of a call without a body."""
    return call(entry.http_address, method, path, None, {"Host": host})


def test_jobs_through_every_process_complete_and_start_each_task_once(start_fleet):
    fleet = start_fleet(zones=(NORTH, SOUTH))
    answers = [
        fleet.submit(entry, f"job{number}{entry.host[-3::2]}", 4)
        for number in range(6)
        for entry in fleet.entries
    ]
    assert answers == [(200, {"state": "done"})] * 24
    started = [task for task in fleet.site.started_tasks() if task.startswith("job")]
    assert len(started) == 24 * 4
    assert len(set(started)) == 24 * 4


def test_requests_that_cannot_be_served_are_refused_with_the_reason(start_fleet):
    entry = start_fleet(entries=1).entries[0]
    assert call_entry(entry, "GET", QUEUE_PATH_PREFIX) == (200, {"pending": 0})
    assert call_entry(entry, "GET", "/elsewhere/")[0] == 404
    assert call_entry(entry, "GET", QUEUE_PATH_PREFIX, "other.example")[0] == 404
    assert call_entry(entry, "GET", QUEUE_PATH_PREFIX + "j1")[0] == 410
    assert call_entry(entry, "DELETE", QUEUE_PATH_PREFIX + "j1")[0] == 410
    gang = {"spec": "s", "steps": [{"count": 1, "cpu": 1000, "estimate-ms": 5, "gang": True}]}
    status, body = call(
        entry.http_address, "POST", QUEUE_PATH_PREFIX + "j1", gang, {"Host": QUEUE_HOST}
    )
    assert (status, body["may_have_run"]) == (503, "not run")
    status, body = call(
        entry.http_address, "POST", QUEUE_PATH_PREFIX + "j1", {"spec": 7}, {"Host": QUEUE_HOST}
    )
    assert (status, body["title"]) == (400, "malformed_body")


def test_newer_configuration_takes_effect_everywhere_and_an_older_one_nowhere(start_fleet):
    fleet = start_fleet()
    fleet.site.configure(9, ["/walks/"])
    for entry in fleet.entries:
        assert wait_until(lambda entry=entry: call_entry(entry, "GET", "/walks/")[0] == 200, 2.0)
        assert call_entry(entry, "GET", QUEUE_PATH_PREFIX)[0] == 404
    fleet.site.configure(8, [QUEUE_PATH_PREFIX])
    time.sleep(0.5)
    assert [call_entry(entry, "GET", QUEUE_PATH_PREFIX)[0] for entry in fleet.entries] == [404, 404]


def test_process_without_a_configuration_is_not_ready(tmp_path):
    fleet = HostedFleet([NORTH], 1, tmp_path, BASE)
    try:
        fleet.site.store.remove("op/config")
        entry = fleet.add_entry(NORTH, 1)
        assert wait_until(lambda: fleet.submit(entry, "job1")[0] == 503, 8.0)
        assert not fleet.is_ready(entry)
        fleet.site.configure(1, [QUEUE_PATH_PREFIX])
        assert wait_until(lambda: fleet.is_ready(entry), 2.0)
    finally:
        fleet.close()


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGSTOP])
def test_lost_scheduler_is_replaced_and_no_task_has_overlapping_runs(start_fleet, signal_number):
    fleet = start_fleet(entries=3, run_ms=150.0)
    scheduler = fleet.scheduler_of(NORTH)
    other = next(entry for entry in fleet.entries if entry is not scheduler)
    sent = [fleet.submit_later(other, f"early{number}", 2) for number in range(3)]
    time.sleep(0.1)
    scheduler.process.send_signal(signal_number)
    assert {future.result()[0] for future in sent} <= {200, 502, 503, 504}
    assert wait_until(lambda: fleet.submit(other, f"late{time.monotonic_ns()}", 4)[0] == 200, 8.0)
    scheduler.process.send_signal(signal.SIGCONT)
    again = [fleet.submit_later(other, f"again{number}", 2) for number in range(3)]
    assert {future.result()[0] for future in again} == {200}
    assert fleet.site.overlapping_tasks() == []


@pytest.mark.parametrize("stopped_role", ["scheduler", "other"])
def test_planned_stop_interrupts_no_job(start_fleet, stopped_role):
    fleet = start_fleet(entries=2, run_ms=600.0)
    scheduler = fleet.scheduler_of(NORTH)
    other = next(entry for entry in fleet.entries if entry is not scheduler)
    stopped = scheduler if stopped_role == "scheduler" else other
    sent = [
        fleet.submit_later(entry, f"{number}{entry.host[-1]}", 2)
        for number, entry in enumerate((scheduler, other, scheduler))
    ]
    time.sleep(0.2)
    stopped.process.send_signal(signal.SIGTERM)
    assert wait_until(lambda: not fleet.is_ready(stopped), 1.0)
    assert [future.result() for future in sent] == [(200, {"state": "done"})] * 3
    assert stopped.process.wait(EXIT_TIMEOUT_S) == 0
    assert fleet.site.overlapping_tasks() == []


def test_jobs_complete_while_the_store_is_unavailable(start_fleet):
    fleet = start_fleet()
    fleet.site.store.faults.busy = True
    time.sleep(4.0)
    assert [fleet.submit(entry, f"down{entry.host[-1]}", 3)[0] for entry in fleet.entries] == [
        200,
        200,
    ]
    fleet.site.store.faults.busy = False
    fleet.site.store.expire_all_leases()
    time.sleep(1.0)
    assert fleet.submit(fleet.entries[0], "after", 3)[0] == 200


def test_job_is_stopped_when_its_caller_disconnects(start_fleet):
    fleet = start_fleet(entries=1, run_ms=4000.0, workers=2)
    timeout_s = 0.3
    with pytest.raises(OSError):
        call(
            fleet.entries[0].http_address,
            "POST",
            QUEUE_PATH_PREFIX + "left",
            {
                "spec": "s",
                "best-effort": True,
                "steps": [{"count": 2, "cpu": 14_000, "estimate-ms": 4000}],
            },
            {"Host": QUEUE_HOST},
            timeout_s=timeout_s,
        )
    runs = [run for worker in fleet.site.workers for run in worker.runs if "left" in run.task]
    assert len(runs) == 2
    assert wait_until(lambda: all(run.ended_s for run in runs), 1.0)


def test_hangup_signal_does_not_end_the_process(start_fleet):
    fleet = start_fleet(entries=1)
    fleet.entries[0].process.send_signal(signal.SIGHUP)
    time.sleep(0.3)
    assert fleet.submit(fleet.entries[0], "hup")[0] == 200


def test_refused_job_appears_in_log_and_counters(start_fleet, tmp_path):
    fleet = start_fleet(entries=1, workers=1, run_ms=300.0)
    entry = fleet.entries[0]
    sent = [fleet.submit_later(entry, f"burst{number}", 4) for number in range(6)]
    assert 503 in {future.result()[0] for future in sent}
    host, _, port = entry.ready_address.partition(":")
    with urlopen(f"http://{host}:{port}/metrics", timeout=5) as reply:
        counters = dict(line.split() for line in reply.read().decode().splitlines())
    assert int(counters["queues.refused.overloaded"]) >= 1
    assert any(name.startswith("queues.job_ms.under_") for name in counters)
    log = (tmp_path / f"entry-{entry.host}.log").read_text()
    refusals = ("queues: refused, too long a wait", "runs: task waited too long")
    refusal_lines = [
        line
        for line in log.splitlines()
        if "burst" in line and any(text in line for text in refusals)
    ]
    assert refusal_lines
    assert all("wait_ms" in line or "waited_ms" in line for line in refusal_lines)
