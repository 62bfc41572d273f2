"""Bad input over HTTP: a clear refusal, nothing started, nothing leaked, the process alive."""

import socket

import pytest

from bench.fleet import call
from bench.tests.bad_requests import BODY_MAX_BYTES, CASES
from bench.tests.raw_http import connect, exchange, request_bytes
from bench.tests.small_fleet import job_body, open_files, settles_at, small_fleet, submit
from camphorchute.contracts import ResultCode, code_info
from camphorchute.entry.problem import PROBLEM_TYPE

BASE = 11


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    folder = tmp_path_factory.mktemp("bad_input")
    with small_fleet(folder, BASE, body_max_bytes=str(BODY_MAX_BYTES)) as running:
        yield running


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_refused_with_its_code(fleet, case):
    entry = fleet.entries[0]
    starts, files = len(fleet.starts()), open_files(entry)
    reply = exchange(entry.http_address, case.data(), case.half_close)
    assert reply.content_type == PROBLEM_TYPE, reply.body[:200]
    problem = reply.json()
    assert (problem["code"], reply.status) == (case.code, code_info(case.code).http_status), problem
    assert problem["may_have_run"] == code_info(case.code).fate.value
    assert len(fleet.starts()) == starts
    assert call(entry.http_address, "GET", "/readyz")[0] == 200
    assert settles_at(entry, files)


def test_second_body_under_a_key_conflicts_and_is_not_run(fleet):
    first, second = fleet.entries
    key = "north:two-bodies"
    assert submit(first, key, job_body(2))[0] == 200
    starts = len(fleet.starts())
    status, problem = submit(second, key, job_body(3))
    assert (status, problem["code"]) == (409, ResultCode.KEY_CONFLICT)
    assert len(fleet.starts()) == starts
    assert submit(second, key, job_body(2))[0] == 200
    assert len(fleet.starts()) == starts


SILENT_BYTES = {
    "nothing": b"",
    "half a request line": b"POST /v1/jo",
    "half a header": b"POST /v1/jobs HTTP/1.1\r\nIdempotency-K",
    "half a body": request_bytes("POST", "/v1/jobs", {"Content-Length": "900"}, b'{"service"'),
}


@pytest.mark.parametrize("data", SILENT_BYTES.values(), ids=SILENT_BYTES.keys())
def test_connections_closed_by_the_caller_leave_nothing(fleet, data):
    entry = fleet.entries[0]
    starts, files = len(fleet.starts()), open_files(entry)
    connections = [connect(entry.http_address) for _ in range(30)]
    for connection in connections:
        connection.sendall(data)
    assert call(entry.http_address, "GET", "/readyz")[0] == 200
    for connection in connections[::2]:
        connection.shutdown(socket.SHUT_RDWR)
    for connection in connections:
        connection.close()
    assert settles_at(entry, files)
    assert len(fleet.starts()) == starts
    assert entry.process.poll() is None


GARBAGE = {
    "no HTTP": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" * 20 + b"\r\n\r\n",
    "unknown HTTP version": b"GET / HTTP/9.9\r\n\r\n",
    "line too long": b"GET /" + b"a" * 9_000 + b" HTTP/1.1\r\n\r\n",
    "many headers": b"GET /readyz HTTP/1.1\r\n" + b"X-A: b\r\n" * 200 + b"\r\n",
}


@pytest.mark.parametrize("data", GARBAGE.values(), ids=GARBAGE.keys())
def test_garbage_is_refused(fleet, data):
    entry = fleet.entries[0]
    files = open_files(entry)
    reply = exchange(entry.http_address, data, half_close=True)
    assert 400 <= reply.status < 500
    assert reply.content_type == PROBLEM_TYPE
    assert reply.json()["code"] == ResultCode.MALFORMED_BODY
    assert call(entry.http_address, "GET", "/readyz")[0] == 200
    assert settles_at(entry, files)
