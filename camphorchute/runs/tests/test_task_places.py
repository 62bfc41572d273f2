from types import SimpleNamespace

import pytest

from camphorchute.runs.task_places import TaskPlaces

TASK = SimpleNamespace(name="5c0e7a21d94b36f8.0.0.0", next_run=3)
OTHER = SimpleNamespace(name="5c0e7a21d94b36f8.0.0.1", next_run=3)


def make_group(backlog, runs_by_worker):
    workers = {
        worker_id: SimpleNamespace(runs=dict.fromkeys(task.name for task in tasks))
        for worker_id, tasks in runs_by_worker.items()
    }
    return SimpleNamespace(backlog=backlog, workers=workers)


@pytest.mark.parametrize(
    ("backlog", "runs_by_worker", "places", "violations"),
    [
        ([TASK], {"w0": [OTHER]}, ["backlog"], 0),
        ([OTHER], {"w0": [TASK], "w1": []}, ["w0"], 0),
        ([TASK, TASK], {}, ["backlog", "backlog"], 1),
        ([TASK], {"w0": [TASK]}, ["backlog", "w0"], 1),
        ([], {"w0": [TASK], "w1": [TASK]}, ["w0", "w1"], 1),
    ],
)
def test_task_in_two_places_is_counted(backlog, runs_by_worker, places, violations):
    counted = []
    group = make_group(backlog, runs_by_worker)
    task_places = TaskPlaces(lambda: [group], counted.append)
    task_places.check(TASK)
    assert task_places.places_of(TASK) == places
    assert counted == ["runs.invariant.task_in_two_places"] * violations
