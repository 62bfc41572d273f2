import gevent
import pytest
from gevent.event import Event

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.batch_job import BatchJob, BatchStep, QueueLimits
from camphorchute.contracts.member import Member
from camphorchute.contracts.resources import Resources
from camphorchute.contracts.run_messages import (
    GroupRoom,
    RoomReport,
    StartTasks,
    StopTasks,
    TaskEnd,
    TaskResult,
    TasksFinished,
    WorkerRoom,
)
from camphorchute.hosting import Queue
from camphorchute.queues import JobOutcome, QueueOwner, RoomView
from camphorchute.runs.tests.home_site import until

LIMITS = QueueLimits(0, 3, 2.0, 500.0)
QUEUE = Queue("checks", "a.example", "/", "flags", 5000.0, LIMITS)
DEMAND = Resources(14_000, 64)
DEADLINE_MS = 3000.0


def member(name):
    return Member(name, "north", "vm", "", f"{name}:1", f"{name}:2")


class FakePeers:
    """Notes what is sent; answers only where a test does."""

    def __init__(self):
        self.sent = []
        self.unreachable = set()

    def send_now(self, to, message):
        if to.member_id in self.unreachable:
            return False
        self.sent.append((to.member_id, message))
        return True

    def send_linked(self, member_id, message):
        self.sent.append((member_id, message))
        return True


class Site:
    """An owner, and homes that report workers of 32 cores each."""

    def __init__(self, **workers):
        self.rooms = RoomView()
        self.peers = FakePeers()
        self.counts = {}
        self.claimed = {}
        self.owner = QueueOwner(self.rooms, self.claimed.get, self.peers, self.count)
        self.outcome = None
        self.left = Event()
        for home, free in workers.items():
            self.report(home, free)

    def count(self, name, n=1):
        self.counts[name] = self.counts.get(name, 0) + n

    def report(self, home, free):
        rooms = [WorkerRoom(Resources(32_000, 65_536), 1.0)] * free or [
            WorkerRoom(Resources(0), 1.0)
        ]
        capacity = Resources(32_000 * len(rooms), 65_536)
        room = GroupRoom(f"north/flags/{home}", "flags", capacity, {}, rooms)
        self.rooms.hear(member(home), RoomReport([room]))

    def submit(self, *tasks, after=()):
        steps = tuple(
            BatchStep(count, DEMAND, 100.0, tuple(after[:n])) for n, count in enumerate(tasks)
        )
        job = BatchJob("job1", "text", steps)
        gevent.spawn(self._run, job)
        gevent.sleep(0)
        gevent.sleep(0)

    def _run(self, job):
        try:
            self.outcome = self.owner.run(job, QUEUE, DEADLINE_MS, self.left)
        except Refusal as refusal:
            self.outcome = refusal

    def starts(self):
        """Return the hand-overs since the last call: home, indices, whether to hand back."""
        sent, self.peers.sent = self.peers.sent, []
        return [
            (home, [order.index for order in message.tasks], message.hand_back_full)
            for home, message in sent
            if isinstance(message, StartTasks)
        ]

    def end(self, home, end, *indices, run=1, step=0, worker=""):
        results = [TaskResult(step, index, run, end, worker) for index in indices]
        self.owner.tasks_finished(member(home), TasksFinished("job1", results))
        gevent.sleep(0)


def no_room():
    return TasksFinished("job1", [TaskResult(0, 0, 0, TaskEnd.NO_ROOM)])


def test_job_is_done_when_every_task_is():
    site = Site(h0=2)
    site.submit(3)
    assert site.starts() == [("h0", [0, 1, 2], True)]
    site.end("h0", TaskEnd.DONE, 0, 1)
    assert site.outcome is None
    site.end("h0", TaskEnd.DONE, 2)
    assert until(lambda: site.outcome is JobOutcome.DONE)


def test_step_waits_for_the_steps_before_it():
    site = Site(h0=2)
    site.submit(1, 2, after=(0,))
    assert site.starts() == [("h0", [0], True)]
    site.end("h0", TaskEnd.DONE, 0)
    assert until(lambda: len(site.peers.sent) == 1)
    assert site.starts() == [("h0", [0, 1], True)]


def test_tasks_of_a_full_home_are_handed_to_another():
    site = Site(h0=2)
    site.submit(2)
    assert site.starts() == [("h0", [0, 1], True)]
    site.report("h1", 2)
    site.end("h0", TaskEnd.NO_ROOM, 1, run=0)
    assert until(lambda: site.peers.sent)
    assert site.starts() == [("h1", [1], True)]
    assert site.counts["queues.retry.no_room"] == 1


def test_tasks_wait_at_a_home_after_three_were_full():
    site = Site(h0=1)
    site.submit(1)
    for _ in range(3):
        assert site.starts() == [("h0", [0], True)]
        site.owner.tasks_finished(member("h0"), no_room())
        site.report("h0", 1)
        assert until(lambda: site.peers.sent)
    assert site.starts() == [("h0", [0], False)]


def test_tasks_that_have_to_wait_are_not_handed_back():
    site = Site(h0=1)
    site.submit(4)
    assert site.starts() == [("h0", [0, 1], True), ("h0", [2, 3], False)]


def test_job_is_refused_as_not_run_when_nothing_started_in_time():
    site = Site(h0=1)
    site.submit(1)
    site.end("h0", TaskEnd.NOT_STARTED, 0, run=0)
    assert until(lambda: site.outcome is not None)
    assert site.outcome.code is ResultCode.OVERLOADED
    assert site.outcome.retry_after_ms > 0


@pytest.mark.parametrize("run", [1, 2])
def test_job_of_which_a_task_ran_is_never_refused_as_not_run(run):
    site = Site(h0=1)
    site.submit(2)
    site.end("h0", TaskEnd.DONE, 0, run=run)
    site.end("h0", TaskEnd.NOT_STARTED, 1, run=0)
    gevent.sleep(0.05)
    assert site.outcome is None


def test_tasks_of_a_lost_home_go_to_the_one_that_has_claimed_its_group():
    site = Site(h0=1)
    site.submit(1)
    site.starts()
    site.claimed["north/flags/h0"] = member("h9")
    site.owner.home_lost("h0")
    assert until(lambda: site.peers.sent)
    home, message = site.peers.sent[-1]
    assert home == "h9"
    assert message.tasks[0].may_run
    assert not message.hand_back_full


def test_failed_task_fails_the_job_and_stops_the_others():
    site = Site(h0=2)
    site.submit(2)
    site.starts()
    site.end("h0", TaskEnd.FAILED, 0, run=3)
    assert until(lambda: site.outcome is JobOutcome.FAILED)
    assert [type(message) for _, message in site.peers.sent] == [StopTasks]


def test_tasks_are_stopped_when_the_caller_leaves():
    site = Site(h0=2)
    site.submit(2)
    site.starts()
    site.left.set()
    assert until(lambda: site.outcome is JobOutcome.LOST)
    assert [type(message) for _, message in site.peers.sent] == [StopTasks]
    assert site.owner.open_jobs() == 0


def test_service_without_workers_is_refused():
    site = Site()
    site.submit(1)
    assert until(lambda: site.outcome is not None)
    assert site.outcome.code is ResultCode.NO_WORKER


def test_task_that_may_run_follows_its_worker_to_another_group():
    site = Site(h0=1)
    site.submit(1)
    site.starts()
    site.claimed["north/flags/h1"] = member("h1")
    results = [TaskResult(0, 0, 1, TaskEnd.MAY_RUN, "w1", "north/flags/h1")]
    site.owner.tasks_finished(member("h0"), TasksFinished("job1", results))
    assert until(lambda: site.peers.sent)
    home, message = site.peers.sent[-1]
    assert (home, message.group, message.tasks[0].worker_id) == ("h1", "north/flags/h1", "w1")


def test_home_that_knows_nothing_of_a_task_is_not_asked_without_a_pause():
    """A stale claim had made an owner send 134,000 messages in half a minute."""
    site = Site(h0=1)
    site.submit(1)
    site.claimed["north/flags/h0"] = member("h0")
    for _ in range(5):
        site.end("h0", TaskEnd.MAY_RUN, 0)
    site.starts()
    site.end("h0", TaskEnd.MAY_RUN, 0)
    gevent.sleep(0.02)
    assert site.peers.sent == []
    assert until(lambda: site.peers.sent, 0.5)
