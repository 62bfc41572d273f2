"""Bindings of tasks whose group, worker or owner changes while a start command may arrive."""

import gevent
import pytest

from camphorchute.runs.tests.search_site import SearchSite
from camphorchute.runs.tests.virtual_time import VirtualTime

LATE_START = [("delay_next", 0, "start"), ("submit", 0)]

# What happens between a start command without an answer and its late execution by the next
# incarnation of its worker.
EVENTS = {
    "nothing": [],
    "two_hand_overs": [("hand_over", 0, 2), ("wait", 0.1), ("hand_over", 0, 3), ("wait", 0.1)],
    "two_hand_overs_a_while_apart": [
        ("hand_over", 0, 2),
        ("wait", 5.0),
        ("hand_over", 0, 3),
        ("wait", 4.0),
    ],
    "a_hand_over_there_and_back": [
        ("hand_over", 0, 1),
        ("wait", 0.1),
        ("hand_over", 0, 0),
        ("wait", 0.1),
    ],
    "a_hand_over_and_a_kill": [
        ("hand_over", 0, 2),
        ("wait", 0.3),
        ("kill", 2),
        ("claim", 0, 3),
        ("wait", 0.3),
    ],
    "a_kill_and_a_hand_over": [
        ("kill", 0),
        ("claim", 0, 2),
        ("wait", 0.3),
        ("hand_over", 0, 3),
        ("wait", 0.3),
    ],
    "two_kills": [
        ("kill", 0),
        ("claim", 0, 2),
        ("wait", 0.3),
        ("kill", 2),
        ("claim", 0, 3),
        ("wait", 0.3),
    ],
    "a_move_and_a_kill": [
        ("move", 0, 0.0),
        ("wait", 0.6),
        ("kill", 1),
        ("claim", 1, 2),
        ("wait", 0.3),
    ],
    "three_restarts": [
        ("restart", 0, 0.0),
        ("wait", 0.3),
        ("restart", 0, 0.0),
        ("wait", 0.3),
        ("restart", 0, 0.0),
        ("wait", 0.3),
    ],
    "an_end_and_a_repetition": [("wait", 0.5), ("stop_job", 0), ("resend_job", 1), ("wait", 0.2)],
    "an_end_and_a_repetition_and_a_kill": [
        ("wait", 0.5),
        ("stop_job", 0),
        ("wait", 0.3),
        ("kill", 0),
        ("claim", 0, 2),
        ("resend_job", 1),
        ("wait", 0.2),
    ],
    "a_repetition_that_ends_and_another_one": [
        ("wait", 0.5),
        ("stop_job", 0),
        ("resend_job", 1),
        ("wait", 0.5),
        ("stop_job", 0),
        ("resend_job", 1),
        ("wait", 0.2),
    ],
}


@pytest.mark.parametrize("restarts_last", [True, False])
@pytest.mark.parametrize("name", EVENTS)
def test_late_start_is_carried_out_beside_no_other_run(name, restarts_last):
    restart = [("restart", 0, 0.3)]
    steps = [*LATE_START, *EVENTS[name]]
    if restarts_last:
        steps += restart
    else:
        steps[2:2] = restart
    with VirtualTime():
        site = SearchSite(workers=3, first_group=0)
        for step, *args in steps:
            getattr(site, step)(*args)
        (late,) = site.late
        site.finish()
        assert late.executes.is_set()
        overlaps = site.overlaps()
        site.close()
        gevent.sleep(2.0)
    assert overlaps == []
