"""Clients that keep to no limit end no process, fill no memory and keep nobody else out.

The tests check what does not depend on the speed of the machine, and run alone.
"""

import os
import time
from pathlib import Path

import msgspec
import pytest

from bench.hosted_fleet import HostedFleet
from bench.hostile_clients import BODY_BYTES, Crowd, HastyClient, job_head
from bench.standins.fleet_site import job_body
from bench.tests.raw_http import connect, read_reply

BASE = 52
RECEIVE_MAX_BYTES = 16_000_000
CONNECTIONS_MAX = 128
GROWTH_MAX_KB = (
    3 * RECEIVE_MAX_BYTES // 1000
)  # thrice: copies while a body is decoded, and the heap
DESCRIPTORS_MAX_GROWTH = CONNECTIONS_MAX + 32
ENDLESS_MAX_BYTES = 12_000_000  # what the buffers of both sides take, beside what is read
ATTEMPTS = 30
ATTEMPT_PAUSE_S = 0.5
HASTY_CLIENTS = 8
HASTY_ATTEMPTS = 3


@pytest.fixture
def start_entry(tmp_path):
    fleets = []

    def start():
        fleet = HostedFleet(
            ["north"],
            2,
            tmp_path,
            BASE,
            receive_max_bytes=str(RECEIVE_MAX_BYTES),
            connections_max=str(CONNECTIONS_MAX),
        )
        fleets.append(fleet)
        entry = fleet.add_entry("north", 1)
        fleet.wait_ready()
        return fleet, entry

    yield start
    for fleet in fleets:
        fleet.close()


class Usage:
    """Memory and descriptors of a process since the start of a test."""

    def __init__(self, entry):
        self._process = entry.process
        self._before_kb = self._status_kb("VmRSS")
        self._descriptors = self._count_descriptors()

    def _status_kb(self, field):
        text = Path(f"/proc/{self._process.pid}/status").read_text()
        return int(text.split(f"{field}:")[1].split()[0])

    def _count_descriptors(self):
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    def assert_bounded(self):
        """Assert that the process lives and its peak memory and descriptors are bounded."""
        assert self._process.poll() is None
        assert self._status_kb("VmHWM") - self._before_kb <= GROWTH_MAX_KB
        assert self._count_descriptors() - self._descriptors <= DESCRIPTORS_MAX_GROWTH


def assert_answers_ordinary_caller(fleet, entry, name):
    """Assert that one ordinary job is done, sent again as callers do that are refused."""
    answers = []
    for attempt in range(ATTEMPTS):
        answers.append(fleet.submit(entry, f"{name}{attempt:04}".rjust(16, "0")))
        if answers[-1][0] == 200:
            return
        time.sleep(ATTEMPT_PAUSE_S)
    pytest.fail(f"no attempt was answered with 200: {answers[-3:]}")


# Such clients ended processes, which ran out of memory, or kept ordinary callers out.
@pytest.mark.parametrize(
    "clients",
    [
        {"long_head": 20},
        {"endless_header": 40},
        {"empty_lines": 40},
        {"short_headers": 400},
        {"silent": 400},
        {"body": 120},
        {"body_in_pieces": 100},
        {"large_chunks": 100},
        {"small_chunks": 8},
        {"long_chunk_extensions": 8},
        {"unread_answers": 60},
        {"long_head": 10, "body": 40, "large_chunks": 40, "small_chunks": 4, "silent": 60},
    ],
    ids=lambda clients: "+".join(clients),
)
def test_crowd_is_bounded_and_an_ordinary_caller_is_answered(start_entry, clients):
    fleet, entry = start_entry()
    usage, crowd = Usage(entry), Crowd(entry.http_address, clients)
    try:
        crowd.send()
        usage.assert_bounded()
        assert_answers_ordinary_caller(fleet, entry, "during")
    finally:
        crowd.close()
    assert_answers_ordinary_caller(fleet, entry, "after")
    usage.assert_bounded()


@pytest.mark.parametrize("kind", ["long_head", "body", "small_chunks"])
def test_second_crowd_finds_the_memory_of_the_first_free(start_entry, kind):
    fleet, entry = start_entry()
    usage = Usage(entry)
    for number in range(2):
        crowd = Crowd(entry.http_address, {kind: 40 if kind == "body" else 8})
        try:
            crowd.send()
        finally:
            crowd.close()
        assert_answers_ordinary_caller(fleet, entry, f"after{number}")
        usage.assert_bounded()


@pytest.mark.parametrize(
    "kind", ["long_head", "endless_header", "empty_lines", "trailers", "long_chunk_extensions"]
)
def test_client_that_sends_without_end_is_cut(start_entry, kind):
    fleet, entry = start_entry()
    crowd = Crowd(entry.http_address, {kind: 1})
    try:
        assert crowd.send()[kind] <= ENDLESS_MAX_BYTES
    finally:
        crowd.close()
    assert_answers_ordinary_caller(fleet, entry, "after")


def test_ordinary_caller_is_answered_beside_callers_that_make_no_pause(start_entry):
    """Such callers were served without a break, so that the process did nothing else."""
    fleet, entry = start_entry()
    clients = [HastyClient(entry.http_address) for _ in range(HASTY_CLIENTS)]
    for client in clients:
        client.start()
    try:
        answers = [fleet.submit(entry, f"{number:016}") for number in range(HASTY_ATTEMPTS)]
    finally:
        for client in clients:
            client.close()
    assert 200 in [status for status, _ in answers], answers
    assert entry.process.poll() is None


def largest_job():
    """Return the body of an ordinary job, padded to the largest size."""
    return msgspec.json.encode(job_body(1)).ljust(BODY_BYTES)


# The largest request that is allowed is served in calm, however it is cut into chunks.
@pytest.mark.parametrize("chunk_bytes", [None, 65_536, 1], ids=["length", "large", "one byte"])
def test_largest_request_is_served_in_calm(start_entry, chunk_bytes):
    _, entry = start_entry()
    body = largest_job()
    if chunk_bytes is None:
        head, content = job_head("a" * 16, f"Content-Length: {len(body)}"), body
    else:
        head = job_head("a" * 16, "Transfer-Encoding: chunked")
        chunks = (body[at : at + chunk_bytes] for at in range(0, len(body), chunk_bytes))
        content = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
        content += b"0\r\n\r\n"
    with connect(entry.http_address) as connection:
        connection.sendall(head + b"\r\n" + content)
        reply = read_reply(connection)
    assert (reply.status, reply.json()) == (200, {"state": "done"})


def test_refused_client_is_told_when_to_come_back(start_entry):
    """A request that finds no memory was not accepted, never runs, and may come back."""
    fleet, entry = start_entry()
    crowd = Crowd(entry.http_address, {"body": 2 * RECEIVE_MAX_BYTES // BODY_BYTES})
    with connect(entry.http_address) as connection:
        connection.sendall(job_head("b" * 16, f"Content-Length: {BODY_BYTES}") + b"\r\n{")
        try:
            crowd.send()
            reply = read_reply(connection)
        finally:
            crowd.close()
    assert reply.status == 503
    assert reply.json()["may_have_run"] == "not run"
    assert reply.json()["retry_after_ms"] > 0
    assert fleet.site.started_tasks().count("b" * 16 + ".0.0.0") == 0
