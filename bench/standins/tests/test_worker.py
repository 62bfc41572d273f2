import gevent
import pytest

from bench.standins.tests.client import call, connect, send
from bench.standins.worker import Worker

WAIT = "&wait_ms=20000"


@pytest.fixture
def worker():
    standin = Worker("127.0.0.1:0", slots=2)
    standin.start()
    yield standin
    standin.close()


def attempts(*indices, payload="", run_time_ms=1.0):
    rows = [
        {"attempt": f"t{i}", "job": "j", "index": i, "service": "flags", "kind": "k"}
        | {"payload": payload, "run_time_ms": run_time_ms}
        for i in indices
    ]
    return {"home": "h", "attempts": rows}


def start(worker, *indices, **fields):
    refused = call(worker, "POST", "/v1/attempts", attempts(*indices, **fields))["refused"]
    return [row["attempt"] for row in refused]


def answers(worker, count, home="h"):
    """Return answers as (index, ok, answer) until there are at least so many."""
    seen = []
    while len(seen) < count:
        page = call(worker, "GET", f"/v1/answers?home={home}&after={len(seen)}{WAIT}")
        seen += [(row["index"], row["ok"], row["answer"]) for row in page["answers"]]
        assert page["last"] == len(seen)
    return sorted(seen)


@pytest.mark.parametrize(
    ("faults", "payload", "refused", "given"),
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
def test_attempts(worker, faults, payload, refused, given):
    call(worker, "POST", "/faults", faults)
    assert start(worker, 0, 1, 2, payload=payload) == refused
    assert answers(worker, len(given)) == given
    starts = call(worker, "GET", "/record")["starts"]
    assert [row["attempt"] for row in starts] == [f"t{i}" for i in range(3 - len(refused))]


def test_answers_are_forgotten_and_kept_apart(worker):
    start(worker, 0, 1)
    answers(worker, 2)
    assert call(worker, "GET", "/v1/answers?home=h&after=1")["last"] == 2
    assert len(call(worker, "GET", "/v1/answers?home=h&after=0")["answers"]) == 1
    assert call(worker, "GET", "/v1/answers?home=other&after=0") == {"last": 0, "answers": []}
    assert call(worker, "GET", f"/v1/answers?home=h&after=9{WAIT}")["last"] == 2
    assert send(connect(worker.address), "GET", "/v1/answers?home=*&after=0")[0] == 400


def test_find_and_stop(worker):
    start(worker, 0, run_time_ms=1e9)
    start(worker, 1)
    answers(worker, 1)
    found = call(worker, "POST", "/v1/attempts/find", {"job": "j", "home": "other"})["attempts"]
    assert [(row["index"], row["state"]) for row in found] == [(0, "running"), (1, "ended")]
    assert call(worker, "POST", "/v1/attempts/stop", {"job": "j"}) == {"stopped": ["t0"]}
    assert answers(worker, 2) == [(0, False, "stopped"), (1, True, "j/1")]
    assert call(worker, "GET", "/v1/status")["running"] == 0


def test_status(worker):
    call(worker, "POST", "/faults", {"lie_slots": 3})
    size = {"cpus": 32, "memory_mb": 65536, "accelerators": 0}
    assert call(worker, "GET", "/v1/status") == {"slots": 5, "running": 0} | size


def test_a_lost_answer_has_started_its_attempts(worker):
    call(worker, "POST", "/faults", {"lose_answers": 1})
    with pytest.raises(Exception, match="closed"):
        start(worker, 0)
    assert len(worker.starts) == 1
    assert start(worker, 1) == []


def test_open_connections_go_silent_and_new_ones_work(worker):
    old = connect(worker.address, timeout_ms=300.0)
    send(old, "GET", "/v1/status")
    assert call(worker, "POST", "/faults", {"silent": True})["silent"] is False
    with pytest.raises(TimeoutError):
        send(old, "GET", "/v1/status")
    assert call(worker, "GET", "/v1/status")["slots"] == 2


def test_a_request_under_way_goes_silent_with_its_connection(worker):
    poll = gevent.spawn(send, connect(worker.address, 600.0), "GET", "/v1/answers?home=h" + WAIT)
    while not worker.calls["/v1/answers"]:
        gevent.sleep(0.01)
    call(worker, "POST", "/faults", {"silent": True})
    start(worker, 0)
    poll.join()
    assert isinstance(poll.exception, TimeoutError)


def test_hang_leaves_the_control_pages(worker):
    call(worker, "POST", "/faults", {"hang": True})
    with pytest.raises(TimeoutError):
        send(connect(worker.address, timeout_ms=300.0), "GET", "/v1/status")
    assert call(worker, "GET", "/faults")["hang"] is True
    assert call(worker, "GET", "/record")["starts"] == []
