import time

import pytest

from camphorchute.cluster import WorkerFate, WorkerFates
from camphorchute.contracts.resources import Resources
from camphorchute.contracts.run_messages import RunPlace
from camphorchute.hosting import WorkerEntry

PLACE = RunPlace("w1", 100, "10.0.0.1:80", 1)


def make_entry(worker_id="w1", incarnation=100, address="10.0.0.1:80", is_draining=False):
    return WorkerEntry(
        worker_id, incarnation, address, "flags", "north", Resources(1), is_draining=is_draining
    )


@pytest.mark.parametrize(
    ("entries", "expected"),
    [
        ([], WorkerFate.UNKNOWN),
        ([make_entry()], WorkerFate.ALIVE),
        ([make_entry(incarnation=105)], WorkerFate.CRASHED),
        ([make_entry("w2", 105)], WorkerFate.CRASHED),
        ([make_entry("w2", 105), make_entry()], WorkerFate.CRASHED),
        ([make_entry("w0", 95)], WorkerFate.UNKNOWN),
        ([make_entry("w2", 105, "10.0.0.2:80")], WorkerFate.UNKNOWN),
    ],
)
def test_fate_follows_from_the_entries_written_since(entries, expected):
    fates, since_s = WorkerFates(), time.monotonic()
    for revision, entry in enumerate(entries, 7):
        fates.record(entry, revision)
    assert fates.fate_of(PLACE, since_s) is expected


# Guards against a worker that is up being counted as crashed by its earlier incarnation's entry.
@pytest.mark.parametrize(
    ("entries", "expected"),
    [
        ([make_entry(incarnation=95)], WorkerFate.UNKNOWN),
        ([make_entry(incarnation=95), make_entry()], WorkerFate.ALIVE),
        ([make_entry(incarnation=95), make_entry(incarnation=105)], WorkerFate.CRASHED),
    ],
)
def test_entry_of_an_earlier_incarnation_that_arrives_late_is_no_sign_of_a_crash(entries, expected):
    fates, since_s = WorkerFates(), time.monotonic()
    for revision, entry in enumerate(entries, 7):
        fates.record(entry, revision)
    assert fates.fate_of(PLACE, since_s) is expected


def test_entry_that_was_not_written_since_is_no_sign_of_life():
    fates = WorkerFates()
    fates.record(make_entry(), 7)
    since_s = time.monotonic()
    fates.record(make_entry(), 7)
    assert fates.fate_of(PLACE, since_s) is WorkerFate.UNKNOWN
    fates.record(make_entry(), 8)
    assert fates.fate_of(PLACE, since_s) is WorkerFate.ALIVE


# A worker that left as planned and was replaced counted as crashed under its runs.
@pytest.mark.parametrize("is_forgotten", [True, False])
@pytest.mark.parametrize("successor", [make_entry(incarnation=105), make_entry("w2", 105)])
def test_worker_that_drained_before_it_was_replaced_has_not_crashed(successor, is_forgotten):
    fates = WorkerFates()
    draining = make_entry(is_draining=True)
    fates.record(draining, 7)
    since_s = time.monotonic()
    if is_forgotten:
        fates.forget(draining)
    fates.record(successor, 8)
    assert fates.fate_of(PLACE, since_s) is WorkerFate.LEFT
    later = RunPlace(successor.worker_id, 105, successor.address, 2)
    fates.record(make_entry("w3", 110), 9)
    assert fates.fate_of(later, since_s) is WorkerFate.CRASHED


def test_removed_entry_says_nothing_of_a_crash():
    fates, since_s = WorkerFates(), time.monotonic()
    fates.record(make_entry("w2", 105), 7)
    fates.forget(make_entry("w2", 105))
    assert fates.fate_of(PLACE, since_s) is WorkerFate.UNKNOWN
