"""Bad HTTP input is refused with its code, starts no task, leaks no file and ends no process."""

import socket

import pytest

from bench.fleet import call
from bench.tests.bad_requests import BODY_MAX_BYTES, CASES
from bench.tests.raw_http import connect, exchange, request_bytes
from bench.tests.small_fleet import (
    count_open_files,
    job_body,
    open_files_fall_to,
    small_fleet,
    submit,
)
from camphorchute.contracts import ResultCode, code_info
from camphorchute.entry.problem import PROBLEM_TYPE

BASE = 11


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    folder = tmp_path_factory.mktemp("bad_input")
    with small_fleet(folder, BASE, body_max_bytes=str(BODY_MAX_BYTES)) as running:
        yield running


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_bad_request_is_refused_with_its_code_and_leaks_nothing(fleet, case):
    entry = fleet.entries[0]
    start_count, file_count = len(fleet.starts()), count_open_files(entry)
    reply = exchange(entry.http_address, case.encode(), case.half_close)
    assert reply.content_type == PROBLEM_TYPE, reply.body[:200]
    problem = reply.json()
    assert (problem["code"], reply.status) == (case.code, code_info(case.code).http_status), problem
    assert problem["may_have_run"] == code_info(case.code).fate.value
    assert len(fleet.starts()) == start_count
    assert call(entry.http_address, "GET", "/readyz")[0] == 200
    assert open_files_fall_to(entry, file_count)


def test_second_body_under_a_key_conflicts_and_is_not_run(fleet):
    first, second = fleet.entries
    key = "north:two-bodies"
    assert submit(first, key, job_body(2))[0] == 200
    start_count = len(fleet.starts())
    status, problem = submit(second, key, job_body(3))
    assert (status, problem["code"]) == (409, ResultCode.KEY_CONFLICT)
    assert len(fleet.starts()) == start_count
    assert submit(second, key, job_body(2))[0] == 200
    assert len(fleet.starts()) == start_count


INCOMPLETE_REQUESTS = {
    "nothing": b"",
    "half a request line": b"POST /v1/jo",
    "half a header": b"POST /v1/jobs HTTP/1.1\r\nIdempotency-K",
    "half a body": request_bytes("POST", "/v1/jobs", {"Content-Length": "900"}, b'{"service"'),
}


@pytest.mark.parametrize("data", INCOMPLETE_REQUESTS.values(), ids=INCOMPLETE_REQUESTS.keys())
def test_incomplete_requests_closed_by_the_caller_leak_nothing(fleet, data):
    entry = fleet.entries[0]
    start_count, file_count = len(fleet.starts()), count_open_files(entry)
    connections = [connect(entry.http_address) for _ in range(30)]
    for connection in connections:
        connection.sendall(data)
    assert call(entry.http_address, "GET", "/readyz")[0] == 200
    for connection in connections[::2]:
        connection.shutdown(socket.SHUT_RDWR)
    for connection in connections:
        connection.close()
    assert open_files_fall_to(entry, file_count)
    assert len(fleet.starts()) == start_count
    assert entry.process.poll() is None


MALFORMED_HTTP = {
    "no HTTP": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" * 20 + b"\r\n\r\n",
    "unknown HTTP version": b"GET / HTTP/9.9\r\n\r\n",
    "line too long": b"GET /" + b"a" * 9_000 + b" HTTP/1.1\r\n\r\n",
    "many headers": b"GET /readyz HTTP/1.1\r\n" + b"X-A: b\r\n" * 200 + b"\r\n",
}


@pytest.mark.parametrize("data", MALFORMED_HTTP.values(), ids=MALFORMED_HTTP.keys())
def test_malformed_http_is_refused_and_leaks_nothing(fleet, data):
    entry = fleet.entries[0]
    file_count = count_open_files(entry)
    reply = exchange(entry.http_address, data, half_close=True)
    assert 400 <= reply.status < 500
    assert reply.content_type == PROBLEM_TYPE
    assert reply.json()["code"] == ResultCode.MALFORMED_BODY
    assert call(entry.http_address, "GET", "/readyz")[0] == 200
    assert open_files_fall_to(entry, file_count)
