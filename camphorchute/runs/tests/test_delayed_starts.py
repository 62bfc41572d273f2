"""Start commands whose sender was delayed or paused after it had decided to send them."""

import time
from unittest import mock

import gevent
import pytest

from camphorchute.contracts.run_messages import TaskBinding, TaskResultKind, TasksBound
from camphorchute.runs import start_bindings
from camphorchute.runs.late_commands import LATE_ARRIVAL_MAX_S
from camphorchute.runs.tests.model_workers import Held, Late
from camphorchute.runs.tests.scheduler_site import GROUP, block_event_loop, wait_until
from camphorchute.runs.tests.test_concurrent_runs import TASK

PAUSE_S = 1.0


def bind_elsewhere(scheduler, worker_id="w1"):
    """Let another process tell a scheduler of a start command without an answer."""
    row = TaskBinding(TASK, worker_id, 1, 1000.0 * LATE_ARRIVAL_MAX_S)
    scheduler.binding_exchange.bind_tasks(None, TasksBound([row]))


# A task was bound to another worker between its placement and its start command, which was sent.
def test_start_is_not_sent_once_its_task_is_bound_to_another_worker(open_model):
    site = open_model(workers=2, run_s=0.5)
    scheduler = site.add_scheduler(7, worker_ids=["w0"])
    site.dispatch(scheduler)
    assert scheduler.group(GROUP).workers["w0"].runs
    bind_elsewhere(scheduler)
    gevent.sleep(0.1)
    assert site.all_runs() == []
    scheduler.set_workers(GROUP, site.entries(), site.groups())
    assert wait_until(lambda: site.workers["w1"].active(), 1.0)
    assert site.workers["w0"].runs == []


# A process that was paused before it sent a start command sent it on what it had known before.
@pytest.mark.parametrize("learns", ["a_binding", "nothing"])
def test_start_is_not_sent_after_a_pause_before_the_process_has_settled(open_model, learns):
    site = open_model(workers=2, run_s=0.5)
    scheduler = site.add_scheduler(7, worker_ids=["w0"])
    site.dispatch(scheduler)
    if learns == "a_binding":
        gevent.spawn_later(0.01, bind_elsewhere, scheduler)
    block_event_loop(PAUSE_S)
    gevent.sleep(0.005)
    assert site.all_runs() == []
    gevent.sleep(0.5)
    started = {run.worker_id for run in site.all_runs()}
    assert started == (set() if learns == "a_binding" else {"w0"})


# A start command without an answer was repeated once other processes could start its task.
def test_start_is_not_repeated_once_its_task_is_bound_no_more(open_model):
    site = open_model(workers=2, run_s=0.5)
    bound_s = 0.3
    with mock.patch.object(start_bindings, "LATE_ARRIVAL_MAX_S", bound_s):
        scheduler = site.add_scheduler(7, worker_ids=["w0"])
        worker, late = site.workers["w0"], Late()
        worker.held["start"].append(late)
        site.dispatch(scheduler)
        assert late.sent.wait(1.0)
        assert wait_until(lambda: scheduler.binding_exchange._bindings.of_task(TASK).under_way == 0)
        worker.held["start"].append(repeated := Late())
        block_event_loop(bound_s + PAUSE_S)
        until_s = time.monotonic() + 0.005
        gevent.sleep(0.01)
    assert time.monotonic() >= until_s
    assert not repeated.sent.is_set()


# An unexpected error ended the greenlet that sends a start command; the run was neither sent again
# nor ended, and its task stayed bound to the worker.
@pytest.mark.parametrize("error", [RuntimeError("broken"), ValueError("broken"), OSError("broken")])
def test_start_with_an_unexpected_error_is_one_without_an_answer(open_model, error):
    site = open_model(workers=1, run_s=0.2)
    scheduler = site.add_scheduler(7)
    failing = Held(error)
    failing.release()
    site.workers["w0"].held["start"].append(failing)
    site.dispatch(scheduler)
    assert failing.sent.wait(1.0)
    assert wait_until(lambda: site.results, 2.0)
    assert [result.end for result in site.results] == [TaskResultKind.DONE]
    assert scheduler.binding_exchange._bindings.of_task(TASK).under_way == 0
