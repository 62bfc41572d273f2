import gevent
import pytest

from bench.standins.tests.client import call, connect, send
from bench.standins.worker import Worker

WAIT_QUERY = "&wait_ms=20000"


@pytest.fixture
def worker():
    standin = Worker("127.0.0.1:0", slots=2)
    standin.start()
    yield standin
    standin.close()


def start_request(*indices, payload="", run_time_ms=1.0):
    attempts = [
        {"attempt": f"t{i}", "job": "j", "index": i, "service": "flags", "kind": "k"}
        | {"payload": payload, "run_time_ms": run_time_ms}
        for i in indices
    ]
    return {"home": "h", "attempts": attempts}


def start_attempts(worker, *indices, **fields):
    refused = call(worker, "POST", "/v1/attempts", start_request(*indices, **fields))["refused"]
    return [row["attempt"] for row in refused]


def poll_answers(worker, min_count, home="h"):
    """Poll until there are at least so many answers; return them as sorted (index, ok, answer)."""
    answers = []
    while len(answers) < min_count:
        response = call(worker, "GET", f"/v1/answers?home={home}&after={len(answers)}{WAIT_QUERY}")
        answers += [(row["index"], row["ok"], row["answer"]) for row in response["answers"]]
        assert response["last"] == len(answers)
    return sorted(answers)


@pytest.mark.parametrize(
    ("faults", "payload", "refused", "delivered"),
    [
        ({}, "", ["t2"], [(0, True, "j/0"), (1, True, "j/1")]),
        ({}, "fail=1", ["t2"], [(0, False, "failed"), (1, False, "failed")]),
        ({"fail_all": True}, "run_ms=1e9", ["t2"], [(0, False, "failed"), (1, False, "failed")]),
        ({"double_answers": True}, "", ["t2"], [(0, True, "j/0")] * 2 + [(1, True, "j/1")] * 2),
        ({"late_ms": 5.0}, "", ["t2"], [(0, True, "j/0"), (1, True, "j/1")]),
        ({"slow_factor": 0.0}, "run_ms=1e9", ["t2"], [(0, True, "j/0"), (1, True, "j/1")]),
        ({"refuse": True}, "", ["t0", "t1", "t2"], []),
    ],
)
def test_attempts_are_started_and_answered_or_refused(worker, faults, payload, refused, delivered):
    call(worker, "POST", "/faults", faults)
    assert start_attempts(worker, 0, 1, 2, payload=payload) == refused
    assert poll_answers(worker, len(delivered)) == delivered
    starts = call(worker, "GET", "/record")["starts"]
    assert [row["attempt"] for row in starts] == [f"t{i}" for i in range(3 - len(refused))]


def test_acknowledged_answers_are_discarded_and_schedulers_have_separate_queues(worker):
    start_attempts(worker, 0, 1)
    poll_answers(worker, 2)
    assert call(worker, "GET", "/v1/answers?home=h&after=1")["last"] == 2
    assert len(call(worker, "GET", "/v1/answers?home=h&after=0")["answers"]) == 1
    assert call(worker, "GET", "/v1/answers?home=other&after=0") == {"last": 0, "answers": []}
    assert call(worker, "GET", f"/v1/answers?home=h&after=9{WAIT_QUERY}")["last"] == 2
    assert send(connect(worker.address), "GET", "/v1/answers?home=*&after=0")[0] == 400


def test_attempts_of_a_job_are_found_and_stopped(worker):
    start_attempts(worker, 0, run_time_ms=1e9)
    start_attempts(worker, 1)
    poll_answers(worker, 1)
    found = call(worker, "POST", "/v1/attempts/find", {"job": "j", "home": "other"})["attempts"]
    assert [(row["index"], row["state"]) for row in found] == [(0, "running"), (1, "ended")]
    assert call(worker, "POST", "/v1/attempts/stop", {"job": "j"}) == {"stopped": ["t0"]}
    assert poll_answers(worker, 2) == [(0, False, "stopped"), (1, True, "j/1")]
    assert call(worker, "GET", "/v1/status")["running"] == 0


def test_status_reports_size_and_false_slots(worker):
    call(worker, "POST", "/faults", {"lie_slots": 3})
    size = {"cpus": 32, "memory_mb": 65536, "accelerators": 0}
    assert call(worker, "GET", "/v1/status") == {"slots": 5, "running": 0} | size


def test_start_request_with_a_lost_answer_takes_effect(worker):
    call(worker, "POST", "/faults", {"lose_answers": 1})
    with pytest.raises(Exception, match="closed"):
        start_attempts(worker, 0)
    assert len(worker.starts) == 1
    assert start_attempts(worker, 1) == []


def test_silent_fault_makes_open_connections_unresponsive_and_not_new_ones(worker):
    existing_client = connect(worker.address, timeout_ms=300.0)
    send(existing_client, "GET", "/v1/status")
    assert call(worker, "POST", "/faults", {"silent": True})["silent"] is False
    with pytest.raises(TimeoutError):
        send(existing_client, "GET", "/v1/status")
    assert call(worker, "GET", "/v1/status")["slots"] == 2


def test_silent_fault_leaves_a_pending_request_without_an_answer(worker):
    poll_greenlet = gevent.spawn(
        send, connect(worker.address, 600.0), "GET", "/v1/answers?home=h" + WAIT_QUERY
    )
    while not worker.calls["/v1/answers"]:
        gevent.sleep(0.01)
    call(worker, "POST", "/faults", {"silent": True})
    start_attempts(worker, 0)
    poll_greenlet.join()
    assert isinstance(poll_greenlet.exception, TimeoutError)


def test_hang_fault_leaves_the_control_endpoints_responsive(worker):
    call(worker, "POST", "/faults", {"hang": True})
    with pytest.raises(TimeoutError):
        send(connect(worker.address, timeout_ms=300.0), "GET", "/v1/status")
    assert call(worker, "GET", "/faults")["hang"] is True
    assert call(worker, "GET", "/record")["starts"] == []
