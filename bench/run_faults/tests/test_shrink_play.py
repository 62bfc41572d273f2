"""Seeded runs in which workers change their capacity; times differ from run to run."""

import pytest

from bench.run_faults.shrink_play import ShrinkPlay, starts_over_capacity
from bench.standins.run_record import RunRecord

BASE = 50
DURATION_S = 20.0


def make_run(started_s, ended_s, incarnation=1):
    run = RunRecord("job.0.0.0", 1, 0.0, incarnation=incarnation)
    run.started_s, run.ended_s = started_s, ended_s
    return run


@pytest.mark.parametrize(
    ("slots", "spans", "expected"),
    [
        ([(0, 2)], [(1, 4), (2, 4)], 0),
        ([(0, 2)], [(1, 4), (2, 4), (3, 4)], 1),
        ([(0, 2)], [(1, 4), (2, 4), (4, 0)], 0),
        ([(0, 2)], [(1, 0), (2, 0), (3, 0)], 1),
        ([(0, 2)], [(1, 4), (2, 4), (3, 4, 2)], 0),
        ([(0, 2), (5, 0)], [(9, 10)], 0),
        ([(0, 2), (5, 0)], [(10, 11)], 1),
        ([(0, 2), (5, 0), (9, 1)], [(10, 11)], 0),
        ([(0, 2), (5, 0), (9, 1)], [(10, 12), (11, 12)], 1),
    ],
)
def test_start_beyond_every_capacity_that_counts_is_found(slots, spans, expected):
    runs = [make_run(*span) for span in spans]
    assert len(starts_over_capacity(runs, slots, 20.0)) == expected


# Workers that had shrunk were started on as before; process faults must not bring that back.
@pytest.mark.parametrize("seed", [1, 2])
def test_no_worker_is_started_on_beyond_its_capacity_under_process_faults(seed, tmp_path):
    play = ShrinkPlay(seed, tmp_path, BASE)
    try:
        play.start()
        play.execute(DURATION_S)
    finally:
        play.close()
    assert play.statuses[200] > 0, play.statuses
    assert not play.has_findings(), play.describe()
