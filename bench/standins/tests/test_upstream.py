import json

import pytest

from bench.standins.tests.client import call, connect
from bench.standins.upstream import Upstream


@pytest.fixture
def upstream():
    standin = Upstream("127.0.0.1:0", slots=1)
    standin.start()
    yield standin
    standin.close()


@pytest.mark.parametrize(
    ("faults", "slots", "status", "not_run", "run_count"),
    [
        ({}, 1, 200, None, 1),
        ({"fail_all": True}, 1, 500, None, 1),
        ({"refuse": True}, 1, 503, "1", 0),
        ({}, 0, 503, "1", 0),
        ({"late_ms": 5.0, "slow_factor": 2.0}, 1, 200, None, 1),
        ({"lose_answers": 1}, 1, None, None, 1),
    ],
)
def test_request_is_recorded_if_and_only_if_it_ran(
    upstream, faults, slots, status, not_run, run_count
):
    call(upstream, "POST", "/faults", faults)
    upstream.slots = slots
    headers = {"Idempotency-Key": "k1", "X-Attempt-Id": "a1"}
    client = connect(upstream.address)
    if status is None:
        with pytest.raises(Exception, match="closed"):
            client.request("POST", "/stamp?run_ms=1", b"{}", headers)
    else:
        response = client.request("POST", "/stamp?run_ms=1", b"{}", headers)
        answer = json.loads(response.read())
        assert (response.status_code, response.get("X-Not-Run")) == (status, not_run)
        if status == 200:
            assert answer == {"path": "/stamp", "key": "k1", "attempt": "a1"}
    records = call(upstream, "GET", "/record")["requests"]
    fields = ("method", "path", "key", "attempt")
    assert [[record[name] for name in fields] for record in records] == [
        ["POST", "/stamp", "k1", "a1"]
    ] * run_count
