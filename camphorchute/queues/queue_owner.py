"""Owner of the jobs that were submitted to this process: dispatches tasks and reports outcomes."""

import time
from collections.abc import Callable

import gevent

from camphorchute.contracts.batch_job import BatchJob
from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import (
    StopTasks,
    TaskBinding,
    TaskResult,
    TaskResultKind,
    TasksFinished,
    TasksPlaced,
)
from camphorchute.contracts.start_messages import KnownStart
from camphorchute.decision_log import log_decision
from camphorchute.hosting import Queue
from camphorchute.links import Peers, handles
from camphorchute.loops import wait_for_event
from camphorchute.policies.admission import (
    AdmissionPolicy,
    start_while_useful,
)
from camphorchute.policies.concurrency_limit import ConcurrencyLimitPolicy, set_no_limit
from camphorchute.queues.bound_tasks import has_bound_task, has_unreachable_task
from camphorchute.queues.crash_guard import CrashGuard
from camphorchute.queues.done_jobs import DoneJobs
from camphorchute.queues.free_capacity_view import FreeCapacityView
from camphorchute.queues.job_admission import JobAdmission, finish_by_s
from camphorchute.queues.job_run import JobOutcome, JobRun, TaskProgress, TaskState
from camphorchute.queues.job_withdrawals import JobWithdrawals
from camphorchute.queues.repeated_dispatches import log_repeated_return
from camphorchute.queues.task_dispatcher import TaskDispatcher
from camphorchute.runs.late_commands import LATE_ARRIVAL_MAX_S

__all__ = ["QueueOwner"]

RETRY_INTERVAL_MS = 50.0
BOUND_CHECK_INTERVAL_MS = 250.0
POLL_INTERVAL_MAX_S = 60.0
MS_PER_S = 1000.0


class QueueOwner:
    """Dispatches the tasks of jobs to schedulers and collects their results.

    Jobs that callers submit here do not outlive this process. Durable jobs are added by the owner
    of their shard with :meth:`adopt_job`.

    Args:
        capacity_view: the free capacity of the groups that this process follows.
        claim_holder: returns the member that holds the claim on a group, None if there is none.
        peers: the links to the schedulers.
        count: adds to a named counter.
        start_limit_ms: returns the time within which a job must start.
        concurrency_limit: returns how many tasks the jobs of callers may have open.

    Attributes:
        admission: accepts or refuses the jobs that callers submit.
        is_settled: returns whether this process was not paused just now; nothing is dispatched
            after a pause until its connections show what has happened.
        report_bound: called with the tasks of a job that was not done and whose starts by a lost
            scheduler may still arrive.
        crash_guard: decides whether tasks that were lost with their workers start again.
        find_start: returns the start of a task that a scheduler has announced to this process, None
            if it knows of none.
        is_worker_listed: returns whether the worker with an id is listed.
    """

    __slots__ = (
        "admission",
        "is_settled",
        "find_start",
        "is_worker_listed",
        "crash_guard",
        "report_bound",
        "_capacity_view",
        "_peers",
        "_count",
        "_dispatcher",
        "_withdrawals",
        "_jobs",
        "_done_jobs",
    )

    def __init__(
        self,
        capacity_view: FreeCapacityView,
        claim_holder: Callable[[str], Member | None],
        peers: Peers,
        count: Callable[..., None],
        start_limit_ms: AdmissionPolicy = start_while_useful,
        concurrency_limit: ConcurrencyLimitPolicy = set_no_limit,
    ) -> None:
        self.admission = JobAdmission(capacity_view, start_limit_ms, count, concurrency_limit)
        self.is_settled: Callable[[], bool] = lambda: True
        self.find_start: Callable[[str], KnownStart | None] = lambda task: None
        self.is_worker_listed: Callable[[str], bool] = lambda worker_id: True
        self.report_bound: Callable[[list[TaskBinding]], None] = lambda tasks: None
        self._capacity_view = capacity_view
        self._peers = peers
        self._count = count
        self.crash_guard = CrashGuard(count)
        self._dispatcher = TaskDispatcher(
            capacity_view, claim_holder, peers, self.end_job, self.crash_guard, count
        )
        self._withdrawals = JobWithdrawals(peers, count)
        self._jobs: dict[str, JobRun] = {}
        self._done_jobs = DoneJobs()

    def open_job_count(self) -> int:
        """Return the number of jobs under way, durable ones included."""
        return len(self._jobs)

    def count_unstarted_jobs(self, queue: str) -> int:
        """Return the number of a queue's jobs here of which no task may have started.

        Durable jobs are not counted.

        Args:
            queue: name of the queue.
        """
        return sum(
            1
            for run in self._jobs.values()
            if run.queue.name == queue and run.term is None and not run.was_dispatched_with_capacity
        )

    def refuse_over_limit(self, queue: Queue, job_id: str) -> None:
        """Refuse a job before its body is decoded if this process has too many open tasks.

        A job that is open here or was done a short time ago is never refused.

        Args:
            queue: the queue that it is submitted to.
            job_id: id of the job.

        Raises:
            Refusal: there are too many open tasks.
        """
        if job_id not in self._jobs and not self._done_jobs.includes_id(queue.name, job_id):
            self.admission.refuse_over_limit(queue, job_id)

    def run(
        self, job: BatchJob, queue: Queue, deadline_ms: float, caller_gone: gevent.event.Event
    ) -> JobOutcome:
        """Run a job and return its outcome, or that of the same job if it ran here before.

        Args:
            job: the job.
            queue: the queue that the job was submitted to.
            deadline_ms: how long the caller waits, in milliseconds.
            caller_gone: event that is set when the caller has closed its connection.

        Raises:
            Refusal: no task of the job was started.
        """
        if self._done_jobs.includes(queue.name, job):
            self._count("queues.answered_again")
            return JobOutcome.DONE
        run = self._jobs.get(job.job_id)
        if run is None:
            accepted = self.admission.admit(job, queue, deadline_ms, caller_gone)
            run = self._jobs.setdefault(job.job_id, accepted)
            if run is accepted:
                self.admission.record_opened(run)
                found = run.record_found_tasks(self.find_start)
                if found:
                    self._count("queues.task_found_elsewhere", found)
                self._dispatch_ready_tasks(run)
                gevent.spawn(self._dispatch_until_ended, run)
        if run.callers:
            self._count("queues.joined")
            run.finish_by_s = max(run.finish_by_s, finish_by_s(deadline_ms))
        run.callers.append(caller_gone)
        try:
            gevent.wait([run.ended, caller_gone], count=1)
        finally:
            run.callers.remove(caller_gone)
            if run.outcome is None and not run.callers:
                self._count("queues.caller_left")
                self.end_job(run, JobOutcome.LOST)
        if run.outcome is JobOutcome.NOT_RUN:
            raise self.admission.make_late_start_refusal(run)
        return run.outcome or JobOutcome.LOST

    def adopt_job(self, run: JobRun) -> None:
        """Dispatch the tasks of a job that no caller waits for here, until it has ended."""
        self._jobs[run.job.job_id] = run
        gevent.spawn(self._dispatch_until_ended, run)

    def stop_dispatching(self, run: JobRun) -> None:
        """Stop dispatching a job that another process owns now; its tasks continue."""
        run.outcome = JobOutcome.DEPOSED
        if self._jobs.get(run.job.job_id) is run:
            del self._jobs[run.job.job_id]
        run.ended.set()
        run.changed.set()

    def mark_scheduler_lost(self, member_id: str) -> None:
        """Mark the tasks of an unreachable scheduler as possibly running.

        Args:
            member_id: member id of the scheduler.
        """
        self._capacity_view.forget_member(member_id)
        self.admission.process_delay.forget_scheduler(member_id)
        now_s = time.monotonic()
        for run in list(self._jobs.values()):
            for step in run.steps:
                for task in step:
                    if task.state is TaskState.HANDED and task.scheduler_id == member_id:
                        self._count("queues.home_lost")
                        task.mark_scheduler_lost(now_s, LATE_ARRIVAL_MAX_S)
                        log_decision(
                            "queues",
                            "task held by a lost home",
                            job=run.job.job_id,
                            group=task.group,
                            home=member_id,
                            worker=task.worker_id,
                        )
                        run.changed.set()
            self._withdrawals.check(run)

    @handles(TasksPlaced, nonblocking=True)
    def handle_tasks_placed(self, peer: Member, message: TasksPlaced) -> None:
        """Record where a scheduler is about to start tasks."""
        run = self._jobs.get(message.job_id)
        if run is None:
            return
        for placed in message.tasks:
            task = run.find_task(placed.step, placed.index)
            if task is None or not run.record_placement(task, peer.member_id, placed):
                self._count("queues.late_placement")
        self._withdrawals.check(run)

    @handles(TasksFinished, nonblocking=True)
    def handle_tasks_finished(self, peer: Member, message: TasksFinished) -> None:
        """Apply the task results that a scheduler reports."""
        run = self._jobs.get(message.job_id)
        if run is None:
            return
        self.admission.wait_errors.record_results(message.job_id, message.results)
        self.admission.process_delay.record_results(run, peer.member_id, message.results)
        did_change = [self._apply_result(run, peer, result) for result in message.results]
        run.capacity_returns += any(
            result.end is TaskResultKind.NO_ROOM for result in message.results
        )
        self._withdrawals.check(run)
        if message.started_tasks is not None:
            self._withdrawals.record_answer(run, peer.member_id, message.started_tasks)
        elif any(did_change):
            run.changed.set()
        else:
            gevent.spawn_later(RETRY_INTERVAL_MS / MS_PER_S, run.changed.set)

    def _apply_result(self, run: JobRun, peer: Member, result: TaskResult) -> bool:
        """Apply a task result; return whether it changes what is known about the task."""
        task = run.find_task(result.step, result.index)
        if task is None:
            self._count("queues.unknown_task")
            return False
        if task.state is TaskState.DONE:
            return False
        if result.end is TaskResultKind.WORKER_LOST:
            run.record_lost_run(task, result)
        if task.scheduler_id != peer.member_id:
            return False
        task.run = max(task.run, result.run + 1)
        task.failures = max(task.failures, result.failures)
        if _is_outdated(task, result):
            self._count("queues.late_result")
            return False
        is_change = self._apply_end(run, task, result)
        task.record_bound(result)
        if task.state in (TaskState.WAITING, TaskState.MAY_RUN):
            task.came_back = result.end.name.lower()
            if task.is_repeated:
                log_repeated_return(run, task, result)
        return is_change

    def _apply_end(self, run: JobRun, task: TaskProgress, result: TaskResult) -> bool:
        """Apply how a dispatch of a task ended; return whether that says anything new."""
        if result.end is TaskResultKind.MAY_RUN:
            return _apply_may_run(task, result)
        if result.end is TaskResultKind.DONE:
            run.record_done(task, result)
        elif result.end is TaskResultKind.FAILED:
            outcome = run.record_failed(task, result)
            if outcome is not None:
                self.end_job(run, outcome)
        elif result.end is TaskResultKind.NOT_FOUND:
            self._count("queues.retry.not_found")
            run.record_not_found(task, result)
        elif result.end is TaskResultKind.WORKER_LOST:
            self._count("queues.retry.worker_lost")
            run.record_worker_lost(task, result)
        else:
            self._apply_not_started(run, task, result)
        return True

    def _apply_not_started(self, run: JobRun, task: TaskProgress, result: TaskResult) -> None:
        """Return a task to the backlog that its scheduler did not start."""
        run.record_not_started(task, result)
        if result.end is TaskResultKind.NO_ROOM:
            self._count("queues.retry.no_room")
            self._capacity_view.mark_group_full(task.group, run.job.steps[result.step].demand)

    def _dispatch_until_ended(self, run: JobRun) -> None:
        """Dispatch the tasks of a job as they become ready, until the job has ended."""
        while run.outcome is None:
            now_s = time.monotonic()
            outcome = run.current_outcome(now_s) or self._early_outcome(run)
            if outcome is not None:
                self.end_job(run, outcome)
                continue
            if run.needs_withdrawal(now_s):
                self._withdrawals.begin(run)
            is_incomplete = not run.may_dispatch() or self._dispatch_ready_tasks(run)
            remaining_s = min(POLL_INTERVAL_MAX_S, max(0.0, run.next_check_s(now_s) - now_s))
            if is_incomplete:
                remaining_s = min(remaining_s, RETRY_INTERVAL_MS / MS_PER_S)
            elif run.term is None and has_bound_task(run, now_s):
                remaining_s = min(remaining_s, BOUND_CHECK_INTERVAL_MS / MS_PER_S)
            wait_for_event(run.changed, remaining_s)
            run.changed.clear()

    def _early_outcome(self, run: JobRun) -> JobOutcome | None:
        """Return the outcome of a job that cannot be done in time any more, None if it can be."""
        if run.term is not None or not has_unreachable_task(run, self.is_worker_listed):
            return None
        self._count("queues.bound_worker_gone")
        return JobOutcome.LOST

    def _dispatch_ready_tasks(self, run: JobRun) -> bool:
        """Dispatch every task that is ready; return whether some could not be dispatched.

        A caller that has gone may send its job again to another process. The job ends in the next
        pass of the event loop.
        """
        if run.is_caller_gone() or not self.is_settled():
            return True
        return self._dispatcher.dispatch_ready_tasks(run)

    def end_job(self, run: JobRun, outcome: JobOutcome) -> None:
        """Set the outcome of a job and stop its remaining tasks unless it is done.

        Args:
            run: the job. Nothing happens if it has an outcome already.
            outcome: the outcome.
        """
        if run.outcome is not None:
            return
        run.outcome = outcome
        self.admission.wait_errors.record_end(
            run.job.job_id, run.queue.name, outcome is JobOutcome.DONE
        )
        if outcome in (JobOutcome.LOST, JobOutcome.NOT_RUN):
            self.admission.process_delay.record_given_up(run)
        if outcome is JobOutcome.DONE and run.term is None:
            self._done_jobs.add(run.queue.name, run.job)
        if outcome is JobOutcome.NOT_RUN:
            self._withdrawals.record_not_run(run)
        self._count(f"queues.ended.{outcome.name.lower()}")
        took_ms = (time.monotonic() - run.started_s) * MS_PER_S
        self._count(f"queues.job_ms.under_{1 << max(0, int(took_ms)).bit_length()}")
        target_ms = run.queue.limits.target_time_ms(run.job.longest_chain_ms())
        if run.term is None:
            is_in_time = outcome is JobOutcome.DONE and took_ms <= target_ms
            self.admission.record_ended(run, took_ms, is_in_time)
        if outcome is JobOutcome.DONE and took_ms > target_ms and run.term is None:
            self._count("queues.done_late")
            log_decision(
                "queues",
                "job done late",
                job=run.job.job_id,
                queue=run.queue.name,
                took_ms=round(took_ms),
                target_ms=round(target_ms),
                had_to_wait=run.had_to_wait,
                restarted=run.has_restarted_tasks(),
            )
        if outcome is not JobOutcome.DONE:
            log_decision(
                "queues",
                "job not done",
                job=run.job.job_id,
                queue=run.queue.name,
                outcome=outcome.value,
                took_ms=round(took_ms),
                tasks=run.task_counts(),
                waiters=len(run.callers),
            )
        if self._jobs.get(run.job.job_id) is run:
            del self._jobs[run.job.job_id]
        if outcome is not JobOutcome.DONE:
            self.report_bound(run.bound_tasks(time.monotonic()))
            for scheduler_id in run.scheduler_ids():
                self._peers.send_if_linked(scheduler_id, StopTasks(run.job.job_id, run.term))
        run.ended.set()
        run.changed.set()


def _is_outdated(task: TaskProgress, result: TaskResult) -> bool:
    """Return whether a result gives back a task that was dispatched again since.

    A run that was done or has failed for good counts, whichever dispatch it was for.
    """
    is_final = result.end in (TaskResultKind.DONE, TaskResultKind.FAILED)
    return not is_final and result.dispatch not in (0, task.dispatch)


def _apply_may_run(task: TaskProgress, result: TaskResult) -> bool:
    """Record where a task may run; return whether the result says anything new.

    Its scheduler may say again and again what it was told, if it is not the one of the group.
    """
    returned_as = (task.scheduler_id, result.worker_id, result.group)
    is_news = bool(result.worker_id or result.group) and returned_as != task.returned_as
    task.state, task.returned_as = TaskState.MAY_RUN, returned_as
    if result.worker_id not in ("", task.worker_id):
        task.forget_place()
    task.worker_id = result.worker_id or task.worker_id
    task.place = result.place or task.place
    task.group = result.group or task.group
    return is_news
