"""Withdrawal of a job at the scheduler: "not run" must be true, whatever is under way."""

import gevent
import pytest

from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import TaskResultKind, TaskToStart, WithdrawTasks
from camphorchute.runs.tests.model_workers import Held
from camphorchute.runs.tests.scheduler_site import JOB_ID, OWNER, start_message, wait_until

OTHER_OWNER = Member("other", "north", "vm2", "", "127.0.0.1:3", "127.0.0.1:4")


def make_message(*indices, dispatch=1, may_run=False):
    message = start_message()
    message.tasks[:] = [TaskToStart(index, 1, 0, may_run, "", dispatch) for index in indices]
    return message


class Answers:
    """A scheduler of one worker with two slots, and the messages that it sends to owners."""

    def __init__(self, open_model):
        self.site = open_model(workers=1, run_s=0.4)
        self.scheduler = self.site.add_scheduler(7)
        self.started_tasks, self.results = [], []
        self.scheduler._notify = self.scheduler._results._notify = self._notify

    def _notify(self, owner_id, message):
        self.results += [(result.index, result.end, result.run) for result in message.results]
        if message.started_tasks is not None:
            self.started_tasks.append((owner_id, message.started_tasks, len(self.results)))
        return True

    def withdraw(self, dispatch=1, owner=OWNER):
        self.scheduler.withdraw_tasks(owner, WithdrawTasks(JOB_ID, dispatch))

    def started(self):
        return sorted(run.task for run in self.site.workers["w0"].runs)


@pytest.fixture
def answers(open_model):
    return Answers(open_model)


def test_pending_tasks_come_back_before_the_answer_and_runs_continue(answers):
    answers.scheduler.start_tasks(OWNER, make_message(0, 1, 2, 3))
    answers.withdraw()
    not_run = [(index, TaskResultKind.NOT_STARTED, 0) for index in (2, 3)]
    assert answers.results == not_run
    assert answers.started_tasks == [("owner", 2, 2)]
    assert wait_until(lambda: len(answers.results) == 4, 2.0)
    assert [end for _, end, _ in answers.results[2:]] == [TaskResultKind.DONE] * 2
    assert len(answers.started()) == 2


def test_task_whose_start_command_is_under_way_is_not_returned(answers):
    """The command may be executed after the answer, and the job would have been "not run"."""
    held = Held()
    answers.site.workers["w0"].held["start"].append(held)
    answers.scheduler.start_tasks(OWNER, make_message(0))
    assert held.sent.wait(1.0)
    answers.withdraw()
    assert answers.started_tasks == [("owner", 1, 0)]
    held.release()
    assert wait_until(lambda: answers.results, 2.0)
    assert answers.results == [(0, TaskResultKind.DONE, 1)]


def test_task_with_a_possible_earlier_run_is_not_returned(answers):
    answers.scheduler.start_tasks(OWNER, make_message(0, may_run=True))
    answers.withdraw()
    assert answers.started_tasks == [("owner", 1, 0)]


@pytest.mark.parametrize(
    ("dispatch", "owner", "is_started"),
    [(1, OWNER, False), (2, OWNER, True), (0, OWNER, True), (1, OTHER_OWNER, True)],
    ids=["barred", "later dispatch", "no number", "resend to another process"],
)
def test_dispatch_that_arrives_after_its_withdrawal_is_not_started(
    answers, dispatch, owner, is_started
):
    """A dispatch on a link that was replaced can arrive after the withdrawal on the new one."""
    answers.withdraw()
    answers.scheduler.start_tasks(owner, make_message(0, dispatch=dispatch))
    gevent.sleep(0.05)
    assert bool(answers.started()) == is_started
    answers.scheduler._results.send()
    returned = [] if is_started else [(0, TaskResultKind.NOT_STARTED, 0)]
    assert answers.results == returned


def test_tasks_that_another_owner_has_taken_over_stay(answers):
    answers.scheduler.start_tasks(OWNER, make_message(0, 1, 2))
    answers.scheduler.start_tasks(OTHER_OWNER, make_message(2))
    answers.withdraw()
    assert answers.started_tasks == [("owner", 2, 0)]
    assert wait_until(lambda: len(answers.results) == 3, 2.0)
    assert len(answers.started()) == 3
