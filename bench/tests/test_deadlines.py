"""A job that times out: the caller receives the final answer at the deadline."""

import time

import pytest

from bench.tests.small_fleet import job_body, small_fleet, submit
from camphorchute.contracts import ResultCode

BASE = 18
DEADLINE_MS = 500.0
MAX_DELAY_S = 2.0


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with small_fleet(tmp_path_factory.mktemp("deadlines"), BASE) as running:
        yield running


def late_job(run_ms):
    """Return a job whose tasks run longer than its deadline."""
    task = {"kind": "late", "run_time_ms": 10.0, "payload": f"run_ms={run_ms}"}
    return job_body(deadline_ms=DEADLINE_MS) | {"tasks": [task] * 3}


@pytest.mark.parametrize("entry_index", [0, 1])
@pytest.mark.parametrize("run_ms", [700, 30_000])
def test_late_job_fails_at_its_deadline(fleet, entry_index, run_ms):
    key = f"north:late-{entry_index}-{run_ms}"
    began_s = time.monotonic()
    status, problem = submit(fleet.entries[entry_index], key, late_job(run_ms))
    response_s = time.monotonic() - began_s
    assert (status, problem["code"]) == (504, ResultCode.DEADLINE_PASSED)
    assert problem["may_have_run"] == "may have run"
    assert problem["tasks_maybe_run"] == [0, 1, 2]
    assert DEADLINE_MS / 1000 <= response_s < DEADLINE_MS / 1000 + MAX_DELAY_S


def test_resubmission_after_the_deadline_gets_the_same_failure(fleet):
    key = "north:late-again"
    first = submit(fleet.entries[0], key, late_job(700))
    time.sleep(0.5)
    second = submit(fleet.entries[1], key, late_job(700))
    assert first[0] == second[0] == 504
    assert first[1]["tasks_maybe_run"] == second[1]["tasks_maybe_run"] == [0, 1, 2]
