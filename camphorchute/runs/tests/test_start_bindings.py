"""Start bindings, under each order of sent commands, answers and news of other processes."""

import time

import gevent
import pytest

from camphorchute.runs.late_commands import LATE_ARRIVAL_MAX_S
from camphorchute.runs.start_bindings import StartBindings
from camphorchute.runs.tests.virtual_time import VirtualTime

TASK = "5c0e7a21d94b36f8.0.0.1"
WORKERS = ("w1", "w2", "w3")
LATE_MS = 1000.0 * LATE_ARRIVAL_MAX_S
ANY, NONE = set(WORKERS), set()


def sent(bindings, worker_id, number=1, incarnation=100):
    bindings.record_sent(TASK, worker_id, number, incarnation)


def answered(bindings, worker_id):
    bindings.record_answer(TASK, worker_id)


def unanswered(bindings, worker_id):
    bindings.record_no_answer(TASK, worker_id)


def told(bindings, worker_id, number=1, duration_ms=LATE_MS):
    bindings.add(TASK, worker_id, number, duration_ms)


def unended(bindings, worker_id, after_s, number=1):
    bindings.record_unended(TASK, worker_id, number, time.monotonic() + after_s)


def ended(bindings, worker_id, number=1):
    bindings.record_end(TASK, worker_id, number)


def over(bindings, is_over=True):
    bindings.mark_over(TASK, is_over)


def passed(bindings, duration_s):
    gevent.sleep(duration_s)


# Steps, and the workers that the task may start on after them.
SEQUENCES = {
    "an_answer": ([(sent, "w1"), (answered, "w1")], ANY),
    "no_answer": ([(sent, "w1"), (unanswered, "w1")], {"w1"}),
    "no_answer_before_the_end_of_its_time": (
        [(sent, "w1"), (unanswered, "w1"), (passed, LATE_ARRIVAL_MAX_S - 0.1)],
        {"w1"},
    ),
    "no_answer_after_its_time": (
        [(sent, "w1"), (unanswered, "w1"), (passed, LATE_ARRIVAL_MAX_S + 0.1)],
        ANY,
    ),
    "a_command_under_way_for_longer_than_a_late_one": (
        [(sent, "w1"), (passed, 2 * LATE_ARRIVAL_MAX_S)],
        {"w1"},
    ),
    "no_answer_noticed_after_a_pause": (
        [(sent, "w1"), (passed, 60.0), (unanswered, "w1"), (passed, LATE_ARRIVAL_MAX_S - 0.1)],
        {"w1"},
    ),
    "an_answer_to_the_first_of_two": ([(sent, "w1"), (sent, "w1"), (answered, "w1")], {"w1"}),
    "an_answer_to_each_of_two": (
        [(sent, "w1"), (sent, "w1"), (answered, "w1"), (answered, "w1")],
        ANY,
    ),
    "an_answer_to_one_of_two_and_none_to_the_other": (
        [(sent, "w1"), (sent, "w1"), (unanswered, "w1"), (answered, "w1")],
        {"w1"},
    ),
    "an_answer_of_a_later_incarnation": (
        [(sent, "w1"), (unanswered, "w1"), (sent, "w1", 1, 200), (answered, "w1")],
        {"w1"},
    ),
    "a_listed_end_with_a_command_under_way": (
        [(sent, "w1"), (unanswered, "w1"), (unended, "w1", 2.0), (ended, "w1")],
        {"w1"},
    ),
    "a_listed_end_after_the_answer": (
        [(sent, "w1"), (answered, "w1"), (unended, "w1", 2.0), (ended, "w1")],
        ANY,
    ),
    "a_listed_end_of_an_earlier_run": (
        [(unended, "w1", 2.0, 2), (ended, "w1", 1)],
        {"w1"},
    ),
    "a_task_that_is_over": ([(sent, "w1"), (unanswered, "w1"), (over,)], {"w1"}),
    "a_task_that_was_over": (
        [(sent, "w1"), (unanswered, "w1"), (over,), (over, False)],
        {"w1"},
    ),
    "news_that_is_shorter_than_what_is_known": (
        [(sent, "w1"), (unanswered, "w1"), (told, "w1", 1, 100.0), (passed, 1.0)],
        {"w1"},
    ),
    # A group that is handed over twice: each scheduler is told for how long a start may arrive.
    "news_for_the_rest_of_the_time": (
        [(told, "w1", 1, LATE_MS - 5000.0), (passed, LATE_ARRIVAL_MAX_S - 5.1)],
        {"w1"},
    ),
    # A binding was ignored, or dropped, while the task was bound to another worker.
    "news_of_another_worker_while_a_command_is_under_way": (
        [(sent, "w2"), (told, "w1"), (answered, "w2")],
        {"w1"},
    ),
    "news_of_another_worker_and_no_answer": (
        [(sent, "w2"), (unanswered, "w2"), (told, "w1")],
        NONE,
    ),
    "news_of_another_worker_that_binds_for_longer": (
        [(told, "w2", 1, 2000.0), (told, "w1"), (passed, 2.1)],
        {"w1"},
    ),
    "news_of_another_worker_that_binds_for_less": (
        [(told, "w2", 1, 2000.0), (told, "w1", 1, 1000.0), (passed, 1.1)],
        {"w2"},
    ),
    "a_command_to_another_worker_than_the_bound_one": (
        [(told, "w1"), (sent, "w2"), (answered, "w2")],
        {"w1"},
    ),
    "a_command_to_another_worker_without_an_answer": (
        [(told, "w1", 1, 2000.0), (sent, "w2"), (unanswered, "w2"), (passed, 2.1)],
        {"w2"},
    ),
    "an_unended_run_on_another_worker": (
        [(sent, "w2"), (unended, "w1", 5.0), (answered, "w2")],
        {"w1"},
    ),
    "an_end_on_another_worker": (
        [(sent, "w2"), (unanswered, "w2"), (unended, "w1", 5.0), (ended, "w1")],
        {"w2"},
    ),
}


@pytest.mark.parametrize("name", SEQUENCES)
def test_task_is_bound_to_each_worker_that_it_may_start_on(name):
    steps, allowed = SEQUENCES[name]
    with VirtualTime():
        bindings = StartBindings()
        for step, *args in steps:
            step(bindings, *args)
        assert {worker_id for worker_id in WORKERS if bindings.allows(TASK, worker_id)} == allowed
        assert (bindings.of_task(TASK) is None) == (allowed == ANY)


# The bar of an ended task's late start was sent to a worker that the task was bound to before.
def test_worker_has_only_the_tasks_that_are_bound_to_it():
    with VirtualTime():
        bindings = StartBindings()
        told(bindings, "w1", duration_ms=1000.0)
        gevent.sleep(1.1)
        told(bindings, "w2")
        assert bindings.of_worker("w1") == []
        assert [task for task, _ in bindings.of_worker("w2")] == [TASK]


def test_ended_task_is_over_on_each_worker_that_it_is_bound_to():
    with VirtualTime():
        bindings = StartBindings()
        told(bindings, "w1")
        told(bindings, "w2")
        bindings.mark_over(TASK, True)
        rows = bindings.of_worker("w1") + bindings.of_worker("w2")
        assert [binding.is_over for _, binding in rows] == [True, True]
        assert {binding.worker_id for _, binding in bindings.of_job(TASK.split(".")[0])} == {
            "w1",
            "w2",
        }


# Expired bindings are forgotten, whichever order they were made in.
def test_expired_bindings_are_forgotten():
    with VirtualTime():
        bindings = StartBindings()
        for number in range(100):
            bindings.add(f"job.0.0.{number}", "w1", 1, 1000.0 + number)
        gevent.sleep(2.0)
        told(bindings, "w1")
        told(bindings, "w2")
        assert len(bindings._by_task) == 1


# A malformed time of another process bound a task for good, and kept later ones from expiring.
@pytest.mark.parametrize("duration_ms", [float("inf"), float("nan"), 1e300, -1.0])
def test_malformed_time_binds_no_task_for_good(duration_ms):
    with VirtualTime():
        bindings = StartBindings()
        told(bindings, "w1", duration_ms=duration_ms)
        gevent.sleep(600.0)
        assert bindings.allows(TASK, "w2")
