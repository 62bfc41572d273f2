import math
import time
from types import SimpleNamespace

import pytest
from eliot.testing import MemoryLogger, swap_logger

from camphorchute.runs.owner_contacts import OwnerContacts
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


# Guards against a second run of which the log does not say whose dispatch it is for.
@pytest.mark.parametrize(("age_s", "is_linked"), [(0.2, True), (0.0, False)])
def test_restart_is_logged_with_its_dispatch_and_the_last_news_of_its_owner(age_s, is_linked):
    task = SimpleNamespace(**vars(TASK), dispatch=17, owner_id="c3aed5b6f097", may_run=False)
    task.avoided_worker_id, task.worker_id = "w0", ""
    contacts = OwnerContacts()
    contacts.running_at_s = lambda owner_id: time.monotonic() - age_s if is_linked else -math.inf
    logger = MemoryLogger()
    previous_logger = swap_logger(logger)
    try:
        TaskPlaces(lambda: [make_group([], {"w1": [task]})], list).log_restart(task, contacts)
    finally:
        swap_logger(previous_logger)
    (line,) = logger.messages
    assert (line["text"], line["run"], line["worker"]) == ("runs: task starts again", 2, "w1")
    assert (line["dispatch"], line["owner"]) == (17, "c3aed5b6f097")
    assert 200 <= line["owner_seen_ms"] < 5000 if is_linked else line["owner_seen_ms"] is None
