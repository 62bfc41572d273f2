"""Owner of the jobs that were submitted to this process: dispatches tasks and reports outcomes."""

import time
from collections.abc import Callable

import gevent

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.batch_job import BatchJob
from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import (
    StartTasks,
    StopTasks,
    TaskResult,
    TaskResultKind,
    TasksFinished,
    TaskToStart,
)
from camphorchute.decision_log import log_decision
from camphorchute.hosting import Queue
from camphorchute.links import Peers, handles
from camphorchute.policies.admission import (
    AdmissionPolicy,
    JobTimes,
    is_admitted,
    start_while_useful,
)
from camphorchute.queues.free_capacity_view import FreeCapacityView
from camphorchute.queues.job_run import JobOutcome, JobRun, TaskProgress, TaskState

__all__ = ["QueueOwner"]

ANSWER_MARGIN_MS = 60.0
RETRY_INTERVAL_MS = 50.0
REFUSAL_RETRY_AFTER_MS = 1000.0
GROUP_HANDOVER_MS = 60.0
NO_SCHEDULER_WAIT_MAX_MS = 1000.0
CAPACITY_RETURNS_MAX = 3
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

    Attributes:
        has_workers: returns whether service discovery lists workers of a service.
    """

    __slots__ = (
        "has_workers",
        "_capacity_view",
        "_claim_holder",
        "_peers",
        "_count",
        "_start_limit_ms",
        "_jobs",
    )

    def __init__(
        self,
        capacity_view: FreeCapacityView,
        claim_holder: Callable[[str], Member | None],
        peers: Peers,
        count: Callable[..., None],
        start_limit_ms: AdmissionPolicy = start_while_useful,
    ) -> None:
        self.has_workers: Callable[[str], bool] = lambda service: False
        self._start_limit_ms = start_limit_ms
        self._capacity_view = capacity_view
        self._claim_holder = claim_holder
        self._peers = peers
        self._count = count
        self._jobs: dict[str, JobRun] = {}

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

    def run(
        self, job: BatchJob, queue: Queue, deadline_ms: float, caller_gone: gevent.event.Event
    ) -> JobOutcome:
        """Run a job and return its outcome, or wait for the same job if it is under way here.

        Args:
            job: the job.
            queue: the queue that the job was submitted to.
            deadline_ms: how long the caller waits, in milliseconds.
            caller_gone: event that is set when the caller has closed its connection.

        Raises:
            Refusal: no task of the job was started.
        """
        run = self._jobs.get(job.job_id)
        if run is None:
            run = self._admit_job(job, queue, deadline_ms)
            gevent.spawn(self._dispatch_until_ended, run)
        else:
            self._count("queues.joined")
            run.finish_by_s = max(run.finish_by_s, _finish_by_s(deadline_ms))
        run.waiting_requests += 1
        try:
            gevent.wait([run.ended, caller_gone], count=1)
        finally:
            run.waiting_requests -= 1
        if run.outcome is None and not run.waiting_requests:
            self._count("queues.caller_left")
            self.end_job(run, JobOutcome.LOST)
        if run.outcome is JobOutcome.NOT_RUN:
            raise self._make_overload_refusal("no room in time", REFUSAL_RETRY_AFTER_MS)
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
        for run in list(self._jobs.values()):
            for step in run.steps:
                for task in step:
                    if task.state is TaskState.HANDED and task.scheduler_id == member_id:
                        self._count("queues.home_lost")
                        log_decision(
                            "queues",
                            "task held by a lost home",
                            job=run.job.job_id,
                            group=task.group,
                            home=member_id,
                        )
                        task.state = TaskState.MAY_RUN
                        task.worker_id = ""
                        run.changed.set()

    @handles(TasksFinished, nonblocking=True)
    def handle_tasks_finished(self, peer: Member, message: TasksFinished) -> None:
        """Apply the task results that a scheduler reports."""
        run = self._jobs.get(message.job_id)
        if run is None:
            return
        did_change = [self._apply_result(run, peer, result) for result in message.results]
        run.capacity_returns += any(
            result.end is TaskResultKind.NO_ROOM for result in message.results
        )
        if any(did_change):
            run.changed.set()
        else:
            gevent.spawn_later(RETRY_INTERVAL_MS / MS_PER_S, run.changed.set)

    def _apply_result(self, run: JobRun, peer: Member, result: TaskResult) -> bool:
        """Apply a task result; return whether it changes what is known about the task."""
        task = run.find_task(result.step, result.index)
        if task is None:
            self._count("queues.unknown_task")
            return False
        if task.state is TaskState.DONE or task.scheduler_id != peer.member_id:
            return False
        task.run = max(task.run, result.run + 1)
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
            run.record_not_found(task)
        else:
            self._apply_not_started(run, task, result)
        return True

    def _apply_not_started(self, run: JobRun, task: TaskProgress, result: TaskResult) -> None:
        """Return a task to the backlog that its scheduler did not start."""
        task.state = TaskState.WAITING
        task.worker_id = ""
        if result.end is TaskResultKind.NO_ROOM:
            self._count("queues.retry.no_room")
            self._capacity_view.mark_group_full(task.group, run.job.steps[result.step].demand)

    def _admit_job(self, job: BatchJob, queue: Queue, deadline_ms: float) -> JobRun:
        """Accept a job and dispatch its first tasks.

        Raises:
            Refusal: no worker group can ever run the job, or its first tasks would wait too long.
        """
        work_ms = job.longest_chain_ms()
        limits = queue.limits
        start_limit_ms = self._start_limit_ms(
            JobTimes(work_ms, limits.target_time_ms(work_ms), deadline_ms)
        )
        run = JobRun(job, queue, _finish_by_s(deadline_ms), start_limit_ms)
        self._wait_for_group(job, queue.service, start_limit_ms)
        if not self._can_ever_run(job, queue.service):
            self._count("queues.refused.no_worker")
            log_decision("queues", "refused, no worker", job=job.job_id, service=queue.service)
            raise Refusal(ResultCode.NO_WORKER, f"service {queue.service}", REFUSAL_RETRY_AFTER_MS)
        first = job.steps[0]
        plan = self._capacity_view.plan(queue.service, first, first.tasks, run.step_limits)
        if not is_admitted(plan.wait_ms, start_limit_ms):
            log_decision(
                "queues",
                "refused, too long a wait",
                job=job.job_id,
                queue=queue.name,
                wait_ms=round(plan.wait_ms),
                limit_ms=round(start_limit_ms),
                tasks=first.tasks,
                without_room=plan.pending_count,
                room_age_ms=self._capacity_view.report_age_ms(queue.service),
            )
            raise self._make_overload_refusal(f"{plan.wait_ms:.0f} ms to wait", plan.wait_ms)
        self._jobs[job.job_id] = run
        self._dispatch_ready_tasks(run, is_first_dispatch=True)
        return run

    def _wait_for_group(self, job: BatchJob, service: str, start_limit_ms: float) -> None:
        """Wait until a group can run a job, while one may be between two schedulers.

        Where workers are listed and no scheduler is known, as after the start of all processes,
        a scheduler will report soon, and the job waits as long as it may.

        Args:
            job: the job.
            service: service of its queue.
            start_limit_ms: time within which the job must start.
        """
        is_start = not self._capacity_view.has_scheduler(service) and self.has_workers(service)
        wait_ms = min(NO_SCHEDULER_WAIT_MAX_MS, start_limit_ms) if is_start else GROUP_HANDOVER_MS
        wait_until_s = time.monotonic() + wait_ms / MS_PER_S
        while not self._can_ever_run(job, service):
            remaining_s = wait_until_s - time.monotonic()
            if remaining_s <= 0:
                return
            self._capacity_view.report_received.clear()
            self._capacity_view.report_received.wait(remaining_s)

    def _can_ever_run(self, job: BatchJob, service: str) -> bool:
        """Return whether each step has a group with enough total capacity for one of its tasks."""
        return all(self._capacity_view.can_ever_run(service, step.demand) for step in job.steps)

    def _dispatch_until_ended(self, run: JobRun) -> None:
        """Dispatch the tasks of a job as they become ready, until the job has ended."""
        while run.outcome is None:
            now_s = time.monotonic()
            outcome = run.current_outcome(now_s)
            if outcome is not None:
                self.end_job(run, outcome)
                continue
            is_incomplete = not run.may_dispatch() or self._dispatch_ready_tasks(run)
            remaining_s = min(POLL_INTERVAL_MAX_S, max(0.0, run.finish_by_s - now_s))
            run.changed.wait(
                min(remaining_s, RETRY_INTERVAL_MS / MS_PER_S) if is_incomplete else remaining_s
            )
            run.changed.clear()

    def _dispatch_ready_tasks(self, run: JobRun, is_first_dispatch: bool = False) -> bool:
        """Dispatch every task that is ready; return whether some could not be dispatched."""
        is_incomplete = False
        for step_number in range(len(run.steps)):
            if run.is_step_ready(step_number):
                is_incomplete |= self._dispatch_step(run, step_number, is_first_dispatch)
                is_incomplete |= self._redispatch_lost_tasks(run, step_number)
        return is_incomplete

    def _dispatch_step(self, run: JobRun, step_number: int, is_first_dispatch: bool) -> bool:
        """Dispatch the pending tasks of a step; return whether some could not be dispatched."""
        step = run.job.steps[step_number]
        indices = [
            index
            for index, task in enumerate(run.steps[step_number])
            if task.state is TaskState.WAITING
        ]
        if not indices:
            return False
        limits = run.step_limits
        plan = self._capacity_view.plan(run.queue.service, step, len(indices), limits)
        self._capacity_view.reserve(plan, step, limits)
        has_started = bool(plan.placed) or run.has_started_tasks()
        may_return = run.capacity_returns < CAPACITY_RETURNS_MAX
        for is_pending, tasks_by_group in ((False, plan.placed), (True, plan.pending)):
            for group, tasks in tasks_by_group.items():
                chosen, indices = indices[:tasks], indices[tasks:]
                options = _DispatchOptions(
                    not has_started, may_return and not is_pending, not is_pending
                )
                scheduler = self._capacity_view.scheduler_of(group)
                if scheduler is None or not self._send_start_command(
                    run, step_number, group, scheduler, chosen, options
                ):
                    indices += chosen
        return bool(indices)

    def _redispatch_lost_tasks(self, run: JobRun, step_number: int) -> bool:
        """Dispatch tasks of unreachable schedulers to the next scheduler of their group.

        That scheduler knows the runs of the group's workers. Returns whether some tasks could not
        be dispatched.
        """
        is_incomplete = False
        lost_tasks: dict[str, list[int]] = {}
        for index, task in enumerate(run.steps[step_number]):
            if task.state is TaskState.MAY_RUN:
                lost_tasks.setdefault(task.group, []).append(index)
        for group, indices in lost_tasks.items():
            scheduler = self._capacity_view.scheduler_of(group) or self._claim_holder(group)
            if scheduler is None or not self._send_start_command(
                run, step_number, group, scheduler, indices, _DispatchOptions()
            ):
                is_incomplete = True
        return is_incomplete

    def _send_start_command(
        self,
        run: JobRun,
        step_number: int,
        group: str,
        scheduler: Member,
        indices: list[int],
        options: "_DispatchOptions",
    ) -> bool:
        """Send a start command for some tasks of a step; return whether it was sent.

        Args:
            run: the job.
            step_number: number of the step.
            group: name of the worker group.
            scheduler: the scheduler of the group.
            indices: indices of the tasks within the step.
            options: how the tasks are dispatched.
        """
        step = run.job.steps[step_number]
        tasks = [run.steps[step_number][index] for index in indices]
        now_s = time.monotonic()
        message = StartTasks(
            group,
            run.job.job_id,
            step_number,
            run.job.payload,
            step.demand,
            step.estimate_ms,
            run.queue.name,
            run.step_limits,
            run.start_within_ms(step, now_s, options.must_start_in_time),
            (run.finish_by_s - now_s) * MS_PER_S,
            [self._make_task_to_start(run, step_number, index) for index in indices],
            options.return_if_full,
            run.term,
            run.in_time_within_ms(step, now_s),
            not options.must_start_in_time,
        )
        states_before = [(task.state, task.group, task.scheduler_id) for task in tasks]
        for task in tasks:
            task.state, task.group, task.scheduler_id = TaskState.HANDED, group, scheduler.member_id
        if self._peers.send_or_open(scheduler, message):
            run.was_dispatched_with_capacity = (
                run.was_dispatched_with_capacity or options.has_capacity
            )
            return True
        for task, state_before in zip(tasks, states_before, strict=True):
            task.state, task.group, task.scheduler_id = state_before
        self._count("queues.retry.hand_out")
        return False

    def _make_task_to_start(self, run: JobRun, step_number: int, index: int) -> TaskToStart:
        task = run.steps[step_number][index]
        may_run = task.state is TaskState.MAY_RUN
        return TaskToStart(
            index, task.run, run.failed_run_count(step_number, index), may_run, task.worker_id
        )

    def end_job(self, run: JobRun, outcome: JobOutcome) -> None:
        """Set the outcome of a job and stop its remaining tasks unless it is done.

        Args:
            run: the job. Nothing happens if it has an outcome already.
            outcome: the outcome.
        """
        if run.outcome is not None:
            return
        run.outcome = outcome
        self._count(f"queues.ended.{outcome.name.lower()}")
        took_ms = (time.monotonic() - run.started_s) * MS_PER_S
        self._count(f"queues.job_ms.under_{1 << max(0, int(took_ms)).bit_length()}")
        if outcome is not JobOutcome.DONE:
            log_decision(
                "queues",
                "job not done",
                job=run.job.job_id,
                queue=run.queue.name,
                outcome=outcome.value,
                took_ms=round(took_ms),
                tasks=run.task_counts(),
                waiters=run.waiting_requests,
            )
        if self._jobs.get(run.job.job_id) is run:
            del self._jobs[run.job.job_id]
        if outcome is not JobOutcome.DONE:
            for scheduler_id in run.open_scheduler_ids():
                self._peers.send_if_linked(scheduler_id, StopTasks(run.job.job_id, run.term))
        run.ended.set()
        run.changed.set()

    def _make_overload_refusal(self, detail: str, retry_after_ms: float) -> Refusal:
        self._count("queues.refused.overloaded")
        return Refusal(ResultCode.OVERLOADED, detail, max(REFUSAL_RETRY_AFTER_MS, retry_after_ms))


class _DispatchOptions:
    """How tasks are dispatched to a scheduler.

    Attributes:
        must_start_in_time: whether no task of the job has started, so that the scheduler returns
            those that it cannot start within the limit of the job.
        return_if_full: whether the scheduler immediately returns tasks that it has no free
            capacity for.
        has_capacity: whether the group had free capacity for the tasks when they were planned.
    """

    __slots__ = ("must_start_in_time", "return_if_full", "has_capacity")

    def __init__(
        self,
        must_start_in_time: bool = False,
        return_if_full: bool = False,
        has_capacity: bool = True,
    ) -> None:
        self.must_start_in_time = must_start_in_time
        self.return_if_full = return_if_full
        self.has_capacity = has_capacity


def _apply_may_run(task: TaskProgress, result: TaskResult) -> bool:
    """Record where a task may run; return whether the result names a worker or a group."""
    task.state = TaskState.MAY_RUN
    task.worker_id = result.worker_id or task.worker_id
    task.group = result.group or task.group
    return bool(result.worker_id or result.group)


def _finish_by_s(deadline_ms: float) -> float:
    """Return the monotonic time by which a job must end for its caller to be answered in time."""
    return time.monotonic() + max(0.0, deadline_ms - ANSWER_MARGIN_MS) / MS_PER_S
