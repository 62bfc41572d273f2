import gevent
import pytest
from eliot.testing import MemoryLogger, swap_logger

from camphorchute.cluster.worker_fates import WorkerFate
from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import (
    RunPlace,
    StartTasks,
    TaskResult,
    TaskResultKind,
    TasksFinished,
)
from camphorchute.queues.tests.test_queue_owner import Site
from camphorchute.runs.tests.scheduler_site import wait_until

AGAIN = "queues: task dispatched again"
CAME_BACK = "queues: task dispatched again came back"
NO_ROOM, NOT_STARTED = TaskResultKind.NO_ROOM, TaskResultKind.NOT_STARTED
MAY_RUN, WORKER_LOST = TaskResultKind.MAY_RUN, TaskResultKind.WORKER_LOST


@pytest.fixture
def log():
    logger = MemoryLogger()
    previous_logger = swap_logger(logger)
    yield logger.messages
    swap_logger(previous_logger)


def lines(log, text):
    return [message for message in log if message.get("text") == text]


def dispatched_tasks(site):
    """Return scheduler, index and dispatch of each task that was sent, and clear them."""
    sent, site.peers.sent = site.peers.sent, []
    return [
        (scheduler, task.index, task.dispatch)
        for scheduler, message in sent
        if isinstance(message, StartTasks)
        for task in message.tasks
    ]


def return_task(site, scheduler, index, dispatch, end, run):
    place = RunPlace("w0", 100, "10.0.0.1:80", run) if end is WORKER_LOST else None
    result = TaskResult(0, index, run, end, dispatch=dispatch, place=place)
    member = Member(scheduler, "north", "vm", "", "h:1", "h:2")
    site.owner.handle_tasks_finished(member, TasksFinished("job1", [result]))
    gevent.sleep(0)


# Guards against a second dispatch of which the log does not say what it follows.
@pytest.mark.parametrize(
    ("end", "run", "came_back"),
    [
        (NO_ROOM, 0, "no_room"),
        (NOT_STARTED, 1, "not_started"),
        (MAY_RUN, 1, "may_run"),
        (WORKER_LOST, 1, "worker_lost"),
        (None, 0, "home_lost"),
    ],
)
def test_second_dispatch_of_a_task_is_logged_with_how_it_came_back(log, end, run, came_back):
    site = Site(h0=2)
    site.owner.crash_guard.fate_of = lambda place, since_s: WorkerFate.ALIVE
    site.submit(2)
    first, _ = dispatched_tasks(site)
    assert lines(log, AGAIN) == []
    site.report("h1", 2)
    site.claim_holders["north/flags/h0"] = Member("h1", "north", "vm", "", "h1:1", "h1:2")
    if end is None:
        site.owner.mark_scheduler_lost("h0")
    else:
        return_task(site, "h0", 0, first[2], end, run)
    assert wait_until(lambda: any(line["task"] == "job1.0.0.0" for line in lines(log, AGAIN)))
    (again,) = [sent for sent in dispatched_tasks(site) if sent[1] == 0]
    (line,) = [line for line in lines(log, AGAIN) if line["task"] == "job1.0.0.0"]
    expected = {
        "job": "job1",
        "home": again[0],
        "dispatch": again[2],
        "run": run + 1,
        "came_back": came_back,
        "earlier_home": "h0",
        "earlier_dispatch": first[2],
    }
    assert {name: line[name] for name in expected} == expected
    assert lines(log, CAME_BACK) == []


def test_return_of_a_task_that_was_dispatched_twice_is_logged(log):
    site = Site(h0=1)
    site.submit(1)
    (first,) = dispatched_tasks(site)
    return_task(site, "h0", 0, first[2], NO_ROOM, 0)
    assert lines(log, CAME_BACK) == []
    site.report("h1", 1)
    assert wait_until(lambda: site.peers.sent)
    (second,) = dispatched_tasks(site)
    return_task(site, second[0], 0, first[2], NO_ROOM, 0)
    assert lines(log, CAME_BACK) == []
    return_task(site, second[0], 0, second[2], NOT_STARTED, 1)
    (line,) = lines(log, CAME_BACK)
    expected = {
        "task": "job1.0.0.0",
        "group": f"north/flags/{second[0]}",
        "home": second[0],
        "dispatch": second[2],
        "result_run": 1,
        "came_back": "not_started",
    }
    assert {name: line[name] for name in expected} == expected
