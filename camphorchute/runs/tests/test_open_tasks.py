import time

import pytest

from camphorchute.runs.open_tasks import OpenTasks
from camphorchute.runs.run import PendingTask
from camphorchute.runs.tests.scheduler_site import start_message


def make_tasks(count):
    message = start_message(tasks=count)
    return [PendingTask("owner", message, c, time.monotonic(), 1) for c in message.tasks]


@pytest.mark.parametrize("count", [1, 3])
def test_open_tasks_are_empty_again_after_the_last_one(count):
    """An idle scheduler checked its tasks fifty times a second."""
    open_tasks, tasks = OpenTasks(), make_tasks(count)
    assert not open_tasks
    for task in tasks:
        open_tasks.add(task)
    assert open_tasks and open_tasks.all() == tasks
    for task in tasks:
        assert open_tasks
        open_tasks.discard(task)
        open_tasks.discard(task)
    assert not open_tasks
    assert open_tasks.of_job(tasks[0].message.job_id) == []
    assert not open_tasks
