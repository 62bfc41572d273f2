import gevent
import pytest
from gevent.event import Event

from camphorchute.cluster import WorkerFate
from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.batch_job import BatchJob, BatchStep, QueueLimits
from camphorchute.contracts.member import Member
from camphorchute.contracts.resources import Resources
from camphorchute.contracts.run_messages import (
    GroupFreeCapacity,
    RoomReport,
    RunPlace,
    StartTasks,
    StopTasks,
    TaskResult,
    TaskResultKind,
    TasksFinished,
    WorkerFreeCapacity,
)
from camphorchute.hosting import Queue
from camphorchute.queues import FreeCapacityView, JobOutcome, QueueOwner, TaskState
from camphorchute.runs.tests.scheduler_site import wait_until

LIMITS = QueueLimits(0, 3, 2.0, 500.0)
QUEUE = Queue("checks", "a.example", "/", "flags", 5000.0, LIMITS)
DEMAND = Resources(14_000, 64)
DEADLINE_MS = 3000.0


def make_member(name):
    return Member(name, "north", "vm", "", f"{name}:1", f"{name}:2")


class FakePeers:
    """Records the messages that are sent; sending to an unreachable member fails."""

    def __init__(self):
        self.sent = []
        self.unreachable = set()

    def send_or_open(self, peer, message):
        if peer.member_id in self.unreachable:
            return False
        self.sent.append((peer.member_id, message))
        return True

    def send_if_linked(self, member_id, message):
        self.sent.append((member_id, message))
        return True


class Site:
    """A queue owner, and schedulers that report workers of 32 cores each."""

    def __init__(self, start_limit_ms=None, **workers):
        self.capacity_view = FreeCapacityView()
        self.peers = FakePeers()
        self.counts = {}
        self.claim_holders = {}
        self.owner = QueueOwner(self.capacity_view, self.claim_holders.get, self.peers, self.count)
        if start_limit_ms is not None:
            self.owner.admission._start_limit_ms = lambda times: start_limit_ms
        self.outcome = None
        self.request = None
        self.caller_gone = Event()
        for scheduler, free_workers in workers.items():
            self.report(scheduler, free_workers)

    def count(self, name, n=1):
        self.counts[name] = self.counts.get(name, 0) + n

    def report(self, scheduler, free_workers):
        worker_reports = [WorkerFreeCapacity(Resources(32_000, 65_536), 1.0)] * free_workers or [
            WorkerFreeCapacity(Resources(0), 1.0)
        ]
        capacity = Resources(32_000 * len(worker_reports), 65_536)
        group_report = GroupFreeCapacity(
            f"north/flags/{scheduler}", "flags", capacity, {}, worker_reports
        )
        self.capacity_view.handle_report(make_member(scheduler), RoomReport([group_report]))

    def submit(self, *task_counts, after=()):
        steps = tuple(
            BatchStep(count, DEMAND, 100.0, tuple(after[:n])) for n, count in enumerate(task_counts)
        )
        job = BatchJob("job1", "text", steps)
        self.request = gevent.spawn(self._run, job)
        gevent.sleep(0)
        gevent.sleep(0)

    def _run(self, job):
        try:
            self.outcome = self.owner.run(job, QUEUE, DEADLINE_MS, self.caller_gone)
        except Refusal as refusal:
            self.outcome = refusal

    def take_start_commands(self):
        """Return scheduler, indices and hand_back_full of each start command, and clear them."""
        sent, self.peers.sent = self.peers.sent, []
        return [
            (scheduler, [task.index for task in message.tasks], message.hand_back_full)
            for scheduler, message in sent
            if isinstance(message, StartTasks)
        ]

    def report_end(self, scheduler, end, *indices, run=1, step=0, worker=""):
        results = [TaskResult(step, index, run, end, worker) for index in indices]
        self.owner.handle_tasks_finished(make_member(scheduler), TasksFinished("job1", results))
        gevent.sleep(0)


def no_capacity_result():
    return TasksFinished("job1", [TaskResult(0, 0, 0, TaskResultKind.NO_ROOM)])


def test_job_is_done_when_every_task_is_done():
    site = Site(h0=2)
    site.submit(3)
    assert site.take_start_commands() == [("h0", [0, 1, 2], True)]
    site.report_end("h0", TaskResultKind.DONE, 0, 1)
    assert site.outcome is None
    site.report_end("h0", TaskResultKind.DONE, 2)
    assert wait_until(lambda: site.outcome is JobOutcome.DONE)


def test_step_waits_for_the_steps_that_it_depends_on():
    site = Site(h0=2)
    site.submit(1, 2, after=(0,))
    assert site.take_start_commands() == [("h0", [0], True)]
    site.report_end("h0", TaskResultKind.DONE, 0)
    assert wait_until(lambda: len(site.peers.sent) == 1)
    assert site.take_start_commands() == [("h0", [0, 1], True)]


def test_tasks_returned_by_a_full_scheduler_are_dispatched_to_another():
    site = Site(h0=2)
    site.submit(2)
    assert site.take_start_commands() == [("h0", [0, 1], True)]
    site.report("h1", 2)
    site.report_end("h0", TaskResultKind.NO_ROOM, 1, run=0)
    assert wait_until(lambda: site.peers.sent)
    assert site.take_start_commands() == [("h1", [1], True)]
    assert site.counts["queues.retry.no_room"] == 1


def test_tasks_wait_at_a_scheduler_after_three_returns_for_lack_of_capacity():
    site = Site(h0=1)
    site.submit(1)
    for _ in range(3):
        assert site.take_start_commands() == [("h0", [0], True)]
        site.owner.handle_tasks_finished(make_member("h0"), no_capacity_result())
        site.report("h0", 1)
        assert wait_until(lambda: site.peers.sent)
    assert site.take_start_commands() == [("h0", [0], False)]


def test_tasks_planned_to_wait_are_not_returned_immediately():
    site = Site(h0=1)
    site.submit(4)
    assert site.take_start_commands() == [("h0", [0, 1], True), ("h0", [2, 3], False)]


def test_job_is_refused_when_no_task_started_in_time():
    site = Site(start_limit_ms=60.0, h0=1)
    site.submit(1)
    gevent.sleep(0.07)
    site.report_end("h0", TaskResultKind.NOT_STARTED, 0, run=0)
    assert wait_until(lambda: site.outcome is not None, 0.1)
    assert site.outcome.code is ResultCode.OVERLOADED
    assert site.outcome.retry_after_ms > 0


def test_no_step_is_dispatched_after_another_has_ended_the_job_as_not_run():
    """The caller was told "not run", and a task of the second step started after that."""
    site = Site(start_limit_ms=150.0, h0=3)
    site.submit(4, 1)
    gevent.sleep(0.06)
    site.take_start_commands()
    site.report("h0", 1)
    results = [TaskResult(0, index, 0, TaskResultKind.NOT_STARTED) for index in range(4)]
    results.append(TaskResult(1, 0, 0, TaskResultKind.NOT_STARTED))
    site.owner.handle_tasks_finished(make_member("h0"), TasksFinished("job1", results))
    assert wait_until(lambda: site.outcome is not None, 0.1)
    assert site.outcome.code is ResultCode.OVERLOADED
    assert site.take_start_commands() == []


def test_task_returned_before_its_time_is_dispatched_again():
    """A job was refused although its scheduler had only handed its group over."""
    site = Site(h0=1, h1=1)
    site.submit(1)
    (first,) = site.take_start_commands()
    site.report_end(first[0], TaskResultKind.NOT_STARTED, 0, run=0)
    assert wait_until(lambda: site.take_start_commands() != [])
    assert site.outcome is None


@pytest.mark.parametrize("is_listed", [True, False])
def test_job_waits_for_the_first_scheduler_after_a_start_of_all_processes(is_listed):
    """Jobs were refused as without a worker, a few milliseconds before a scheduler reported."""
    site = Site()
    site.owner.admission.has_workers = lambda service: is_listed
    site.submit(1)
    gevent.sleep(0.2)
    site.report("h0", 1)
    gevent.sleep(0.02)
    assert [command[0] for command in site.take_start_commands()] == ["h0"] * is_listed
    assert (site.outcome is None) == is_listed


@pytest.mark.parametrize("run", [1, 2])
def test_job_is_not_refused_after_one_of_its_tasks_ran(run):
    site = Site(h0=1)
    site.submit(2)
    site.report_end("h0", TaskResultKind.DONE, 0, run=run)
    site.report_end("h0", TaskResultKind.NOT_STARTED, 1, run=0)
    gevent.sleep(0.05)
    assert site.outcome is None


def test_tasks_of_a_lost_scheduler_go_to_the_claim_holder_of_its_group():
    site = Site(h0=1)
    site.submit(1)
    site.take_start_commands()
    site.claim_holders["north/flags/h0"] = make_member("h9")
    site.owner.mark_scheduler_lost("h0")
    assert wait_until(lambda: site.peers.sent)
    scheduler, message = site.peers.sent[-1]
    assert scheduler == "h9"
    assert message.tasks[0].may_run
    assert not message.hand_back_full


def test_failed_task_fails_the_job_and_stops_its_other_tasks():
    site = Site(h0=2)
    site.submit(2)
    site.take_start_commands()
    site.report_end("h0", TaskResultKind.FAILED, 0, run=3)
    assert wait_until(lambda: site.outcome is JobOutcome.FAILED)
    assert [type(message) for _, message in site.peers.sent] == [StopTasks]


def test_tasks_are_stopped_when_the_caller_disconnects():
    site = Site(h0=2)
    site.submit(2)
    site.take_start_commands()
    site.caller_gone.set()
    assert wait_until(lambda: site.outcome is JobOutcome.LOST)
    assert [type(message) for _, message in site.peers.sent] == [StopTasks]
    assert site.owner.open_job_count() == 0


# The tasks went on after the answer, beside those of the job that the caller sent again.
def test_tasks_are_stopped_when_a_request_is_cut_off_by_the_end_of_the_process():
    site = Site(h0=2)
    site.submit(2)
    site.take_start_commands()
    site.request.kill()
    assert [type(message) for _, message in site.peers.sent] == [StopTasks]
    assert site.owner.open_job_count() == 0


# Guards against a job that starts although its caller had gone and has sent it again.
def test_job_whose_caller_has_gone_before_it_is_submitted_is_not_dispatched():
    site = Site(h0=2)
    site.caller_gone.set()
    site.submit(2)
    assert wait_until(lambda: site.outcome is not None)
    assert site.outcome.code is ResultCode.OVERLOADED
    assert (site.peers.sent, site.owner.open_job_count()) == ([], 0)


# Guards against a dispatch in the pass of the event loop in which the end of the connection
# is noticed: after a pause many callers may have gone, and have sent their jobs again.
@pytest.mark.parametrize("is_joined", [False, True])
def test_returned_task_is_not_dispatched_again_for_a_caller_that_has_gone(is_joined):
    site = Site(h0=1)
    site.submit(1)
    site.take_start_commands()
    second_caller_gone = Event()
    if is_joined:
        (run,) = site.owner._jobs.values()
        gevent.spawn(site.owner.run, run.job, QUEUE, DEADLINE_MS, second_caller_gone)
        gevent.sleep(0)
    site.report("h0", 1)
    site.owner.handle_tasks_finished(make_member("h0"), no_capacity_result())
    site.caller_gone.set()
    gevent.sleep(0.02)
    started = [message for _, message in site.peers.sent if isinstance(message, StartTasks)]
    assert len(started) == is_joined
    second_caller_gone.set()


def test_service_without_workers_is_refused():
    site = Site()
    site.submit(1)
    assert wait_until(lambda: site.outcome is not None)
    assert site.outcome.code is ResultCode.NO_WORKER


def test_task_that_may_run_is_dispatched_to_the_new_group_of_its_worker():
    site = Site(h0=1)
    site.submit(1)
    site.take_start_commands()
    site.claim_holders["north/flags/h1"] = make_member("h1")
    results = [TaskResult(0, 0, 1, TaskResultKind.MAY_RUN, "w1", "north/flags/h1")]
    site.owner.handle_tasks_finished(make_member("h0"), TasksFinished("job1", results))
    assert wait_until(lambda: site.peers.sent)
    scheduler, message = site.peers.sent[-1]
    assert (scheduler, message.group, message.tasks[0].worker_id) == ("h1", "north/flags/h1", "w1")


def test_scheduler_that_does_not_know_a_task_is_asked_again_only_after_a_pause():
    """With a stale claim, an owner had sent 134,000 messages in half a minute."""
    site = Site(h0=1)
    site.submit(1)
    site.claim_holders["north/flags/h0"] = make_member("h0")
    for _ in range(5):
        site.report_end("h0", TaskResultKind.MAY_RUN, 0)
    site.take_start_commands()
    site.report_end("h0", TaskResultKind.MAY_RUN, 0)
    gevent.sleep(0.02)
    assert site.peers.sent == []
    assert wait_until(lambda: site.peers.sent, 0.5)


def test_second_submission_during_the_wait_for_a_scheduler_joins_the_first():
    """Both submissions of a job would have been accepted, and its tasks dispatched twice."""
    site = Site()
    site.owner.admission.has_workers = lambda service: True
    site.submit(2)
    site.submit(2)
    site.report("h0", 1)
    gevent.sleep(0.05)
    assert [command[:2] for command in site.take_start_commands()] == [("h0", [0, 1])]
    assert site.owner.open_job_count() == 1


def test_job_whose_caller_leaves_during_the_wait_for_a_scheduler_is_not_dispatched():
    site = Site()
    site.owner.admission.has_workers = lambda service: True
    site.submit(1)
    site.caller_gone.set()
    site.report("h0", 1)
    gevent.sleep(0.05)
    assert site.take_start_commands() == []
    assert isinstance(site.outcome, Refusal)


def test_job_whose_lost_tasks_cannot_be_done_in_time_ends_before_its_deadline():
    """Callers waited for their whole deadline after a zone was partitioned."""
    site = Site(h0=1)
    site.submit(1)
    (run,) = site.owner._jobs.values()
    run.worth_finishing_by_s = run.started_s + 0.1
    site.owner.mark_scheduler_lost("h0")
    assert wait_until(lambda: site.outcome is JobOutcome.LOST, 0.5)


def test_result_of_an_earlier_dispatch_does_not_return_a_task():
    """After a link was replaced, a late result let a task be dispatched to two schedulers."""
    site = Site(h0=1, h1=1)
    site.submit(1)
    scheduler, first = next(
        (member, message) for member, message in site.peers.sent if isinstance(message, StartTasks)
    )
    site.take_start_commands()
    site.claim_holders["north/flags/" + scheduler] = make_member(scheduler)
    site.owner.mark_scheduler_lost(scheduler)
    site.report(scheduler, 1)
    assert wait_until(lambda: site.peers.sent)
    assert site.take_start_commands() == [(scheduler, [0], False)]
    late = TaskResult(0, 0, 1, TaskResultKind.NOT_STARTED, dispatch=first.tasks[0].dispatch)
    site.owner.handle_tasks_finished(make_member(scheduler), TasksFinished("job1", [late]))
    gevent.sleep(0.2)
    assert site.take_start_commands() == []


def test_task_is_not_dispatched_before_a_paused_process_has_settled():
    """A process that resumed dispatched a task again whose caller had gone and repeated the job."""
    site = Site(h0=1)
    settled = []
    site.owner.is_settled = lambda: bool(settled)
    site.submit(1)
    gevent.sleep(0.1)
    assert site.take_start_commands() == []
    settled.append(True)
    assert wait_until(lambda: site.peers.sent)
    assert site.take_start_commands() == [("h0", [0], True)]


def report_lost_worker(site, scheduler, run, worker, dispatch=0):
    """Report to the owner that the run of task 0 was lost with its worker."""
    place = RunPlace(worker, run, f"{worker}:1", run, True, True)
    result = TaskResult(
        0, 0, run, TaskResultKind.WORKER_LOST, dispatch=dispatch, failures=1, place=place
    )
    site.owner.handle_tasks_finished(make_member(scheduler), TasksFinished("job1", [result]))
    gevent.sleep(0)


def start_commands(site):
    return [message for _, message in site.peers.sent if isinstance(message, StartTasks)]


def test_task_that_lost_its_worker_is_dispatched_again_with_what_is_known_of_it():
    site = Site(h0=2)
    site.submit(1)
    report_lost_worker(site, "h0", 1, "w1")
    assert wait_until(lambda: len(start_commands(site)) == 2)
    (task,) = start_commands(site)[-1].tasks
    assert (task.run, task.failures, task.lost_runs) == (2, 1, 1)
    assert (task.may_run, task.last_place.worker_id) == (False, "w1")


# A best-effort task that crashed its workers was started again until its caller gave up.
def test_job_of_a_task_that_crashed_two_workers_has_failed():
    site = Site(h0=2)
    site.owner.crash_guard.fate_of = lambda place, since_s: WorkerFate.CRASHED
    site.submit(1)
    report_lost_worker(site, "h0", 1, "w1")
    assert wait_until(lambda: len(start_commands(site)) == 2)
    report_lost_worker(site, "h0", 2, "w2")
    assert wait_until(lambda: site.outcome is JobOutcome.FAILED)
    assert len(start_commands(site)) == 2


def test_task_waits_until_the_fate_of_its_workers_is_known():
    site, fates = Site(h0=2), {1: WorkerFate.UNKNOWN, 2: WorkerFate.UNKNOWN}
    site.owner.crash_guard.fate_of = lambda place, since_s: fates[place.run]
    site.submit(1)
    report_lost_worker(site, "h0", 1, "w1")
    assert wait_until(lambda: len(start_commands(site)) == 2)
    report_lost_worker(site, "h0", 2, "w2")
    gevent.sleep(0.2)
    assert len(start_commands(site)) == 2
    fates[1] = WorkerFate.ALIVE
    assert wait_until(lambda: len(start_commands(site)) == 3)


# The loss was dropped with the late result, as the task had been dispatched again.
@pytest.mark.parametrize("next_scheduler", ["h0", "h1"])
def test_lost_worker_counts_also_in_a_late_result(next_scheduler):
    site = Site(h0=2)
    site.submit(1)
    (first,) = start_commands(site)
    site.claim_holders["north/flags/h0"] = make_member(next_scheduler)
    site.owner.mark_scheduler_lost("h0")
    assert wait_until(lambda: len(start_commands(site)) == 2)
    report_lost_worker(site, "h0", 1, "w1", first.tasks[0].dispatch)
    (run,) = site.owner._jobs.values()
    assert (run.steps[0][0].state, len(run.steps[0][0].lost_runs)) == (TaskState.HANDED, 1)


def test_failures_of_a_returned_task_go_with_its_next_dispatch():
    """Attempts were counted from zero again by each scheduler of a best-effort task."""
    site = Site(h0=2)
    site.submit(1)
    result = TaskResult(0, 0, 2, TaskResultKind.NOT_STARTED, failures=2)
    site.owner.handle_tasks_finished(make_member("h0"), TasksFinished("job1", [result]))
    assert wait_until(lambda: len(start_commands(site)) == 2)
    assert start_commands(site)[-1].tasks[0].failures == 2


# A job whose owner could not be sure of its shard for a moment was not looked at for a minute.
def test_job_that_may_not_be_dispatched_for_a_moment_is_tried_again():
    site = Site(h0=2)
    site.submit(1)
    (run,) = site.owner._jobs.values()
    run.steps[0][0].state = TaskState.WAITING
    run.withdrawing_from = {"h0"}
    assert site.owner._dispatcher.dispatch_ready_tasks(run)
    run.withdrawing_from = set()
    assert not site.owner._dispatcher.dispatch_ready_tasks(run)
