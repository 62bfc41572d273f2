import pytest

from bench.run_faults.run_checker import DuplicateWatch, find_overlaps
from bench.standins.run_record import RunRecord
from camphorchute.runs.tests.scheduler_site import GROUP, wait_until


def make_run(task, number, started_s, ended_s):
    run = RunRecord(task, number, 0.0, "w0", 1)
    run.started_s, run.ended_s = started_s, ended_s
    return run


@pytest.mark.parametrize(
    ("runs", "expected"),
    [
        ([], []),
        ([("a", 1, 1.0, 2.0), ("a", 2, 2.0, 3.0)], []),
        ([("a", 1, 1.0, 2.0), ("b", 1, 1.5, 3.0)], []),
        ([("a", 1, 1.0, 2.0), ("a", 2, 1.9, 3.0)], [(1, 2)]),
        ([("a", 2, 1.9, 3.0), ("a", 1, 1.0, 2.0)], [(1, 2)]),
        ([("a", 1, 1.0, 0.0), ("a", 2, 9.0, 9.5)], [(1, 2)]),
        ([("a", 1, 1.0, 9.0), ("a", 2, 2.0, 3.0), ("a", 3, 4.0, 5.0)], [(1, 2), (1, 3)]),
        ([("a", 1, 1.0, 2.0), ("a", 1, 1.0, 2.0)], [(1, 1)]),
    ],
)
def test_every_two_runs_of_a_task_at_the_same_time_are_found(runs, expected):
    overlaps = find_overlaps([make_run(*row) for row in runs])
    assert [(overlap.earlier.run, overlap.later.run) for overlap in overlaps] == expected


def test_task_in_two_places_of_a_scheduler_is_found(open_site):
    site = open_site(workers=1, run_ms=2000.0)
    scheduler = site.add_scheduler(7)
    watch = DuplicateWatch("p0", scheduler)
    site.dispatch_tasks(scheduler)
    assert wait_until(lambda: site.active_runs())
    watch.check()
    assert watch.found == {}
    group = scheduler.group(GROUP)
    run = next(run for worker in group.workers.values() for run in worker.runs.values())
    group.backlog.add(run.task)
    watch.check()
    assert list(watch.found) == [run.task.name]
