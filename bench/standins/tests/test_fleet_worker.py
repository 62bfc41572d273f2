import json
import time

import gevent
import pytest
from geventhttpclient import HTTPClient

from bench.standins.fleet_store import FleetStore
from bench.standins.fleet_worker import FleetWorker
from bench.standins.tests.client import connect, send

WORKER_ID = "north-w0"
TASK = "5c0e7a21d94b36f8.0.0.0"
FAR_DEADLINE_MS = 1_000_000
CLIENT_TIMEOUT_MS = 100.0
LATE_MS = 600.0  # counted while the client waits for its answer and sends newer commands
LATE_FAULTS = {"late_share": 1.0, "late_min_ms": LATE_MS, "late_max_ms": LATE_MS}
LATE_WAIT_S = 0.7


@pytest.fixture
def worker():
    store = FleetStore("127.0.0.1:0")
    store.start()
    standin = FleetWorker("127.0.0.1:0", store, WORKER_ID, "north", "flags", run_ms=5000.0)
    standin.start()
    yield standin
    standin.close()
    store.close()


def set_faults(worker, **faults):
    client = connect(worker.address)
    assert send(client, "POST", "/faults", faults)[0] == 200
    client.close()


def command(worker, path, run=1, fence=1, expected="", deadline_ms=FAR_DEADLINE_MS):
    """Send a command; return its status and reason, or None if there was no answer."""
    host, _, port = worker.address.rpartition(":")
    client = HTTPClient(host, int(port), network_timeout=CLIENT_TIMEOUT_MS / 1000)
    headers = {"Camphorchute-Expect-Instance": expected} if expected else {}
    body = {"task": TASK, "run": run, "fence": fence, "deadline-ms": deadline_ms, "spec": ""}
    if path == "/hold":
        body = {"fence": fence, "seen-upto": 0, "wait-ms": 0, "deadline-ms": deadline_ms}
    try:
        status, answer = _exchange(client, path, body, headers)
    except OSError:
        return None
    finally:
        client.close()
    return status, answer.get("reason", "")


def _exchange(client, path, body, headers):
    response = client.request("POST", path, json.dumps(body).encode(), headers=headers)
    return response.status_code, json.loads(response.read())


def run_states(worker):
    return [(run.run, run.outcome) for run in worker.runs]


@pytest.mark.parametrize(
    ("new_id", "expected", "start", "states"),
    [
        ("", WORKER_ID, (200, ""), [(1, "crashed"), (1, "")]),
        ("north-w9", WORKER_ID, (421, ""), [(1, "crashed")]),
        ("north-w9", "north-w9", (200, ""), [(1, "crashed"), (1, "")]),
        ("north-w9", "", (200, ""), [(1, "crashed"), (1, "")]),
    ],
)
def test_restarted_worker_knows_nothing_of_its_earlier_incarnation(
    worker, new_id, expected, start, states
):
    assert command(worker, "/run-start", fence=7) == (200, "")
    earlier, clock_ms = worker.born, worker._worker_clock_ms()
    gevent.sleep(0.02)
    worker.restart(worker_id=new_id)
    assert worker.born > earlier
    assert worker.fence == 0
    assert worker._worker_clock_ms() <= clock_ms + 10
    assert command(worker, "/run-start", fence=1, expected=expected) == start
    assert run_states(worker) == states


@pytest.mark.parametrize(
    ("between", "states"),
    [
        ([], [(1, "")]),
        ([("/run-stop", {})], []),
        ([("/hold", {"fence": 2})], []),
        ([("/run-start", {"run": 2}), ("/run-stop", {"run": 2})], [(2, "stopped")]),
    ],
)
def test_late_start_is_carried_out_after_newer_commands_if_still_allowed(worker, between, states):
    set_faults(worker, **LATE_FAULTS)
    assert command(worker, "/run-start") is None
    set_faults(worker, late_share=0.0)
    for path, fields in between:
        assert command(worker, path, **fields) == (200, "")
    gevent.sleep(LATE_WAIT_S)
    assert run_states(worker) == states


def test_late_start_is_not_carried_out_past_its_deadline(worker):
    set_faults(worker, **LATE_FAULTS)
    deadline_ms = worker._worker_clock_ms() + 100
    assert command(worker, "/run-start", deadline_ms=deadline_ms) is None
    gevent.sleep(LATE_WAIT_S)
    assert worker.runs == []


@pytest.mark.parametrize(("outlives", "states"), [(False, []), (True, [(1, "")])])
def test_late_start_reaches_a_later_incarnation_only_where_told(worker, outlives, states):
    set_faults(worker, late_outlives_restart=outlives, **LATE_FAULTS)
    assert command(worker, "/run-start") is None
    worker.restart()
    gevent.sleep(LATE_WAIT_S)
    assert run_states(worker) == states


@pytest.mark.parametrize(
    ("share", "answered"),
    [
        ("late_order_share", ["/hold"]),
        ("late_stop_share", ["/run-start", "/hold"]),
        ("late_grant_share", ["/run-start", "/run-stop"]),
    ],
)
def test_only_the_commands_of_the_chosen_kind_are_late(worker, share, answered):
    set_faults(worker, **{share: 1.0})
    paths = ("/run-start", "/run-stop", "/hold")
    assert [path for path in paths if command(worker, path) is not None] == answered


@pytest.mark.parametrize(("moves", "states"), [(False, []), (True, [(1, "")])])
def test_late_start_has_its_whole_lease_where_told(worker, moves, states):
    set_faults(worker, late_moves_deadline=moves, **LATE_FAULTS)
    assert command(worker, "/run-start", deadline_ms=worker._worker_clock_ms() + 300) is None
    gevent.sleep(LATE_WAIT_S)
    assert run_states(worker) == states
    assert [record.delayed_ms for record in worker.commands] == [LATE_MS]


@pytest.mark.parametrize("moves", [False, True])
def test_late_poll_extends_leases_where_told(worker, moves):
    deadline_ms = worker._worker_clock_ms() + 900
    assert command(worker, "/run-start", deadline_ms=deadline_ms) == (200, "")
    run = worker.runs[0]
    expires_s = run.lease_expires_s
    set_faults(worker, late_moves_deadline=moves, **LATE_FAULTS)
    assert command(worker, "/hold", fence=2, deadline_ms=deadline_ms - 50) is None
    gevent.sleep(LATE_WAIT_S)
    assert (run.lease_expires_s > expires_s + 0.2) is moves
    assert (run.fence, run.renewals) == (1, int(moves))
    assert (run.renewed_fence, run.renewed_late_ms) == ((2, LATE_MS) if moves else (0, 0.0))


@pytest.mark.parametrize(
    ("fault", "path"),
    [
        ("start_answer_ms", "/run-start"),
        ("stop_answer_ms", "/run-stop"),
        ("poll_answer_ms", "/hold"),
    ],
)
def test_answer_is_delayed_and_the_command_is_not(worker, fault, path):
    set_faults(worker, **{fault: 60.0})
    sent_s = time.monotonic()
    assert command(worker, path) == (200, "")
    assert time.monotonic() - sent_s >= 0.06
    assert all(run.started_s - sent_s < 0.06 for run in worker.runs)


def test_muted_worker_carries_out_commands_without_answers(worker):
    set_faults(worker, mute=True)
    assert command(worker, "/run-start") is None
    assert run_states(worker) == [(1, "")]
    set_faults(worker, mute=False)
    assert command(worker, "/run-start") == (200, "")
    assert run_states(worker) == [(1, "")]


def test_stopped_run_ends_after_the_stop_time(worker):
    set_faults(worker, stop_ms=80.0)
    command(worker, "/run-start")
    assert command(worker, "/run-stop") == (200, "")
    assert run_states(worker) == [(1, "")]
    assert command(worker, "/run-start", run=2) == (409, "old")
    gevent.sleep(0.15)
    assert run_states(worker) == [(1, "stopped")]


def test_start_extends_the_leases_of_the_other_runs(worker):
    clock_ms = worker._worker_clock_ms()
    command(worker, "/run-start", deadline_ms=clock_ms + 100)
    lease_expires_s = worker.runs[0].lease_expires_s
    body = {"task": TASK[:-1] + "1", "run": 1, "fence": 1, "spec": ""}
    client = connect(worker.address)
    send(client, "POST", "/run-start", body | {"deadline-ms": clock_ms + 500})
    client.close()
    assert worker.runs[0].lease_expires_s > lease_expires_s + 0.3
