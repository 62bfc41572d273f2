"""Dispatch of tasks that lost a worker, whose start is recorded before."""

import math

import pytest

from camphorchute.contracts.batch_job import BatchJob, BatchStep, QueueLimits
from camphorchute.contracts.member import Member
from camphorchute.contracts.resources import Resources
from camphorchute.contracts.run_messages import RunPlace
from camphorchute.hosting import Queue
from camphorchute.queues import JobRun, ServiceZones, TaskState
from camphorchute.queues.crash_guard import CrashGuard
from camphorchute.queues.free_capacity_view import PlacementPlan
from camphorchute.queues.task_dispatcher import TaskDispatcher

GROUP = "north/flags/0"
SCHEDULER = Member("m1", "north", "", "", "", "")
QUEUE = Queue("checks", "", "", "flags", 0.0, QueueLimits(0, 3, 2.0, 60.0))


class CapacityView:
    """A free-capacity view of one group that is full or not."""

    service_zones = ServiceZones()

    def __init__(self, is_full):
        self.is_full = is_full

    def plan(self, service, step, tasks, limits):
        placed, pending = ({}, {GROUP: tasks}) if self.is_full else ({GROUP: tasks}, {})
        return PlacementPlan(placed, pending)

    def reserve(self, plan, step, limits):
        pass

    def scheduler_of(self, group):
        return SCHEDULER


class Peers:
    def __init__(self):
        self.sent = []

    def send_or_open(self, member, message):
        self.sent.append(message)
        return True


class RecordedRun(JobRun):
    """A job whose first task lost a worker; its start is stored if the test says so."""

    def __init__(self, is_stored):
        step = BatchStep(2, Resources(100), 5.0)
        super().__init__(BatchJob("5c0e7a21d94b36f8", "text", (step,), True), QUEUE, math.inf)
        self.steps[0][0].add_lost_run(RunPlace("w1", 100, "w1:1", 1, True, True))
        self.steps[0][0].lost_runs.mark_stored(1)
        self.is_stored, self.records, self.withdrawals = is_stored, 0, 0

    def must_record_start(self, step, index):
        return index == 0

    def record_start(self, step, index):
        self.records += 1
        return self.is_stored

    def withdraw_start(self, step, index):
        self.withdrawals += 1


# A task that waited in the backlog of a full group counted as started when its owner was lost, and
# so did one whose capacity was gone when its start had been recorded.
@pytest.mark.parametrize(
    ("is_full", "is_stored", "expected", "records"),
    [
        (True, True, TaskState.WAITING, 0),
        (False, False, TaskState.WAITING, 1),
        (False, True, TaskState.HANDED, 1),
    ],
)
def test_task_that_lost_a_worker_is_dispatched_to_free_capacity_once_that_is_recorded(
    is_full, is_stored, expected, records
):
    peers, run = Peers(), RecordedRun(is_stored)
    dispatcher = TaskDispatcher(
        CapacityView(is_full),
        lambda group: SCHEDULER,
        peers,
        lambda run, outcome: None,
        CrashGuard(lambda name: None),
        lambda name: None,
    )
    is_incomplete = dispatcher.dispatch_ready_tasks(run)
    first, second = run.steps[0]
    assert (first.state, second.state) == (expected, TaskState.HANDED)
    assert (is_incomplete, run.records) == (expected is TaskState.WAITING, records)
    assert run.withdrawals == is_full
    sent_alone = [m for m in peers.sent if [task.index for task in m.tasks] == [0]]
    assert [m.hand_back_full for m in sent_alone] == [True] * (expected is TaskState.HANDED)
