import pytest
from eliot.testing import MemoryLogger, swap_logger

from camphorchute import outage_log as module
from camphorchute.outage_log import OutageLog


@pytest.fixture
def clock(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(module.time, "monotonic", lambda: now[0])
    return now


@pytest.fixture
def lines():
    logger = MemoryLogger()
    previous = swap_logger(logger)
    yield logger.messages
    swap_logger(previous)


def fail(outage, clock, duration_s, user="watch", calls=2):
    for _ in range(calls):
        outage.record_failure(user, "timeout")
        clock[0] += duration_s / calls
    outage.record_answer(user)


def figures(line):
    return line["text"], line["away_ms"], line["failed_calls"], line.get("short_outages", 0)


def test_outage_ends_once_every_failing_part_has_an_answer(clock, lines):
    outage = OutageLog("roster", "store")
    outage.record_failure("lease", "timeout")
    clock[0] += 1.0
    outage.record_failure("watch", "timeout")
    outage.record_answer("lease")
    clock[0] += 1.0
    assert outage.is_lost
    outage.record_answer("claims")
    outage.record_answer("watch")
    assert not outage.is_lost
    assert [figures(line) for line in lines] == [
        ("roster: store does not answer", 0, 1, 0),
        ("roster: store answers again", 2000, 2, 0),
    ]
    assert (lines[0]["user"], lines[0]["error"]) == ("lease", "timeout")


def test_part_that_is_closed_during_an_outage_does_not_report_that_it_is_over(clock, lines):
    outage = OutageLog("roster", "store")
    outage.record_failure("claims", "timeout")
    outage.forget_user("claims")
    assert not outage.is_lost
    assert [line["text"] for line in lines] == ["roster: store does not answer"]


def test_dependency_that_is_lost_again_and_again_writes_a_bounded_number_of_lines(clock, lines):
    outage = OutageLog("roster", "store")
    for _ in range(100):
        fail(outage, clock, 0.1)
        clock[0] += 0.1
    assert len(lines) <= 2 * (20.0 * 1000 / module.LINES_INTERVAL_MS + 1)
    clock[0] += 60.0
    fail(outage, clock, 0.1)
    reported = sum(line["text"].endswith("does not answer") for line in lines)
    assert reported + sum(line.get("short_outages", 0) for line in lines) == 101


def test_outage_soon_after_the_previous_one_is_reported_once_it_lasts(clock, lines):
    outage = OutageLog("roster", "store")
    fail(outage, clock, 0.1)
    fail(outage, clock, 2 * module.LINES_INTERVAL_MS / 1000, calls=40)
    assert [line["text"][8:] for line in lines] == [
        "store does not answer",
        "store answers again",
    ] * 2
    assert lines[2]["failed_calls"] > 1
    assert lines[3]["failed_calls"] == 40
