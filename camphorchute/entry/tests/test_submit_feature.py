"""Steps of ``submit.feature``, run against real processes."""

from concurrent.futures import ThreadPoolExecutor
from itertools import cycle

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bench.tests.small_fleet import ZONE, job_body, small_fleet, submit
from camphorchute.contracts import new_key

ADDRESS_BASE = 16
RUN_TIME_MS = 200.0

scenarios("submit.feature")


class Caller:
    """A caller with one key and the answers that it has received."""

    def __init__(self):
        self.key = new_key(ZONE)
        self.body = {}
        self.answers = []

    def submit(self, entry, tasks):
        task = {"kind": "check", "run_time_ms": RUN_TIME_MS}
        self.body = self.body or job_body() | {"tasks": [task] * tasks}
        self.answers.append(submit(entry, self.key, self.body))

    def expected_answers(self):
        return [f"{self.key}/{index}" for index in range(len(self.body["tasks"]))]


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    with small_fleet(tmp_path_factory.mktemp("feature"), ADDRESS_BASE) as fleet:
        yield fleet


@pytest.fixture
def caller():
    return Caller()


@given("a zone with two entry processes and a service", target_fixture="fleet")
def zone_with_two_entry_processes(running):
    return running


@when(parsers.parse("a caller submits a job of {tasks:d} tasks through the first entry process"))
def submit_through_the_first(fleet, caller, tasks):
    caller.submit(fleet.entries[0], tasks)


@when("the caller submits the same job again through the second entry process")
def submit_again_through_the_second(fleet, caller):
    caller.submit(fleet.entries[1], 0)


@when(
    parsers.parse(
        "a caller submits a job of {tasks:d} tasks {times:d} times concurrently "
        "through both entry processes"
    )
)
def submit_many_times(fleet, caller, tasks, times):
    with ThreadPoolExecutor(times) as pool:
        for _, entry in zip(range(times), cycle(fleet.entries), strict=False):
            pool.submit(caller.submit, entry, tasks)
    assert len(caller.answers) == times


@when(
    parsers.parse(
        "the caller submits a job of {tasks:d} tasks under the same key "
        "through the second entry process"
    )
)
def submit_another_body(fleet, caller, tasks):
    caller.answers.append(submit(fleet.entries[1], caller.key, job_body(tasks)))


@then("both answers are complete and equal")
@then("all answers are complete and equal")
def answers_are_complete(caller):
    for status, answer in caller.answers:
        assert (status, answer.get("answers")) == (200, caller.expected_answers())


@then(parsers.parse('the second answer is the refusal "{title}" that says "{fate}"'))
def second_answer_is_a_refusal(caller, title, fate):
    problem = caller.answers[1][1]
    assert (problem["title"], problem["may_have_run"]) == (title, fate)


@then("every task has started once")
def every_task_has_started_once(fleet, caller):
    indices = sorted(s["index"] for s in fleet.starts() if s["job"] == caller.key)
    assert indices == list(range(len(caller.body["tasks"])))
