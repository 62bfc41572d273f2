import random

import pytest

from camphorchute.policies.failures import FailureTracker, may_eject


def make_tracker(failed, ok, jobs=9, ejected=False):
    tracker = FailureTracker(random.Random(1))
    for number in range(ok):
        tracker.record_outcome(True, f"ok{number}")
    for number in range(failed):
        tracker.record_outcome(False, f"job{number % jobs}")
    tracker.ejected = ejected
    return tracker


HEALTHY = (0, 8)
EJECT = {
    "fails everything": (make_tracker(8, 0), [make_tracker(*HEALTHY)] * 3, True),
    "one of two": (make_tracker(8, 0), [make_tracker(*HEALTHY)], True),
    "fails now and then": (make_tracker(4, 8), [make_tracker(*HEALTHY)] * 3, False),
    "too few outcomes": (make_tracker(3, 0), [make_tracker(*HEALTHY)] * 3, False),
    "one failing job": (make_tracker(8, 0, jobs=1), [make_tracker(*HEALTHY)] * 3, False),
    "failures spread over all": (make_tracker(8, 0), [make_tracker(8, 0)] * 3, False),
    "no other worker": (make_tracker(8, 0), [], False),
    "others without outcomes": (make_tracker(8, 0), [make_tracker(0, 0)] * 3, False),
    "second of six": (
        make_tracker(8, 0),
        [make_tracker(8, 0, 9, True)] + [make_tracker(*HEALTHY)] * 4,
        True,
    ),
    "second of five": (
        make_tracker(8, 0),
        [make_tracker(8, 0, 9, True)] + [make_tracker(*HEALTHY)] * 3,
        False,
    ),
}


@pytest.mark.parametrize("failing, others, ejected", EJECT.values(), ids=EJECT)
def test_only_an_outlier_may_be_ejected(failing, others, ejected):
    assert may_eject(failing, others) is ejected


def test_the_ejection_backoff_doubles_with_jitter_up_to_a_minute():
    tracker = make_tracker(8, 0)
    waits_ms = []
    for _ in range(9):
        tracker.eject(now_ms=0.0)
        waits_ms.append(tracker.probe_at_ms)
    for level, wait_ms in enumerate(waits_ms):
        backoff_ms = min(60_000.0, 1000.0 * 2**level)
        assert 0.75 * backoff_ms <= wait_ms <= 1.25 * backoff_ms
