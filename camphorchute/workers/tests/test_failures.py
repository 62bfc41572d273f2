import random

import pytest

from camphorchute.workers.failures import FailureTracker, may_eject


def tracker(failed, ok, jobs=9, ejected=False):
    made = FailureTracker(random.Random(1))
    for number in range(ok):
        made.note(True, f"ok{number}")
    for number in range(failed):
        made.note(False, f"job{number % jobs}")
    made.ejected = ejected
    return made


HEALTHY = (0, 8)
EJECT = {
    "fails everything": (tracker(8, 0), [tracker(*HEALTHY)] * 3, True),
    "one of two": (tracker(8, 0), [tracker(*HEALTHY)], True),
    "fails now and then": (tracker(4, 8), [tracker(*HEALTHY)] * 3, False),
    "too few ends": (tracker(3, 0), [tracker(*HEALTHY)] * 3, False),
    "one failing job": (tracker(8, 0, jobs=1), [tracker(*HEALTHY)] * 3, False),
    "spread over all": (tracker(8, 0), [tracker(8, 0)] * 3, False),
    "no other worker": (tracker(8, 0), [], False),
    "others not known": (tracker(8, 0), [tracker(0, 0)] * 3, False),
    "second of six": (tracker(8, 0), [tracker(8, 0, 9, True)] + [tracker(*HEALTHY)] * 4, True),
    "second of five": (tracker(8, 0), [tracker(8, 0, 9, True)] + [tracker(*HEALTHY)] * 3, False),
}


@pytest.mark.parametrize("failing, others, ejected", EJECT.values(), ids=EJECT)
def test_which_workers_are_ejected(failing, others, ejected):
    assert may_eject(failing, others) is ejected


def test_the_backoff_doubles_with_jitter_up_to_a_minute():
    made = tracker(8, 0)
    waits = []
    for _ in range(9):
        made.eject(now_ms=0.0)
        waits.append(made.probe_at_ms)
    for level, wait_ms in enumerate(waits):
        plain_ms = min(60_000.0, 1000.0 * 2**level)
        assert 0.75 * plain_ms <= wait_ms <= 1.25 * plain_ms
