import gevent
import pytest

from camphorchute.contracts.run_messages import TaskResult, TaskResultKind
from camphorchute.queues import wait_errors as module
from camphorchute.queues.tests.test_queue_owner import Site
from camphorchute.queues.wait_errors import WaitErrors

DONE, FAILED, NO_ROOM = TaskResultKind.DONE, TaskResultKind.FAILED, TaskResultKind.NO_ROOM
LONGER, SHORTER = "queues.wait_error_ms.queued.longer_", "queues.wait_error_ms.queued.shorter_"


@pytest.fixture
def clock(monkeypatch):
    now = [50.0]
    monkeypatch.setattr(module.time, "monotonic", lambda: now[0])
    return now


@pytest.mark.parametrize(
    "expected_ms, ended_after_ms, end, counter",
    [
        (200.0, 305.0, DONE, LONGER + "under_16"),
        (200.0, 350.0, DONE, LONGER + "under_64"),
        (200.0, 350.0, FAILED, LONGER + "under_64"),
        (200.0, 150.0, DONE, SHORTER + "under_256"),
        (200.0, 20.0, DONE, SHORTER + "under_256"),
        (200.0, 60_000.0, DONE, LONGER + "over_8192"),
        (0.0, 140.0, DONE, "queues.wait_error_ms.free.longer_under_64"),
        (0.0, 70.0, DONE, "queues.wait_error_ms.free.longer_under_16"),
        (200.0, 500.0, NO_ROOM, "queues.wait_returned_ms.queued.under_512"),
        (0.0, 3.0, TaskResultKind.NOT_STARTED, "queues.wait_returned_ms.free.under_16"),
    ],
)
def test_error_of_the_expected_wait_is_counted(clock, expected_ms, ended_after_ms, end, counter):
    counters = []
    errors = WaitErrors(counters.append)
    errors.record_admitted("job", expected_ms, 100.0, 40)
    clock[0] += ended_after_ms / 1000
    errors.record_results("job", [TaskResult(0, 0, 1, end)])
    errors.record_results("job", [TaskResult(0, 1, 1, DONE)])
    assert counters == ["queues.report_age_ms.under_64", counter]


@pytest.mark.parametrize(
    "job_id, results",
    [
        ("other", [TaskResult(0, 0, 1, DONE)]),
        ("job", []),
        ("job", [TaskResult(1, 0, 1, DONE)]),
        ("job", [TaskResult(0, 0, 1, TaskResultKind.MAY_RUN)]),
    ],
)
def test_results_that_say_nothing_of_the_wait_are_not_counted(job_id, results):
    counters = []
    errors = WaitErrors(counters.append)
    errors.record_admitted("job", 0.0, 100.0, -1)
    errors.record_results(job_id, results)
    assert counters == ["queues.report_age_ms.none"]


def test_number_of_counters_is_bounded(clock):
    counters = set()
    errors = WaitErrors(counters.add)
    for exponent in range(-3, 20):
        for expected_ms in (0.0, 2.0**exponent):
            for end in (DONE, NO_ROOM):
                errors.record_admitted("job", expected_ms, 1.0, 2**exponent)
                clock[0] += 2.0 ** (exponent - 1) / 1000
                errors.record_results("job", [TaskResult(0, 0, 1, end)])
    assert len(counters) <= 2 * 2 * 11 + 2 * 11 + 12


def wait_counters(site):
    return {name: n for name, n in site.counts.items() if name.startswith("queues.wait_")}


def test_queue_owner_counts_the_wait_of_an_admitted_job_once(clock):
    """Nothing showed by how much the waits that jobs were admitted with were wrong."""
    site = Site(h0=2)
    site.submit(3)
    assert wait_counters(site) == {}
    site.report_end("h0", DONE, 0, 1)
    site.report_end("h0", DONE, 2)
    assert wait_counters(site) == {"queues.wait_error_ms.free.longer_under_16": 1}
    assert site.counts["queues.report_age_ms.under_16"] == 1


def test_queue_owner_forgets_the_wait_of_a_job_that_ends_without_results():
    site = Site(h0=2)
    site.submit(1)
    site.caller_gone.set()
    gevent.sleep(0.01)
    assert site.owner.admission.wait_errors._admitted == {}
