"""Task dispatcher: sends the tasks of jobs to the schedulers of worker groups."""

import time
from collections.abc import Callable

from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import StartTasks, TaskToStart
from camphorchute.links import Peers
from camphorchute.policies.admission import is_admitted
from camphorchute.policies.crash_limit import CrashDecision
from camphorchute.queues.crash_guard import CrashGuard
from camphorchute.queues.free_capacity_view import FreeCapacityView, PlacementPlan
from camphorchute.queues.job_run import JobOutcome, JobRun, TaskState
from camphorchute.queues.repeated_dispatches import log_repeated_dispatch
from camphorchute.runs.run import task_name

__all__ = ["TaskDispatcher"]

CAPACITY_RETURNS_MAX = 3
MS_PER_S = 1000.0


class TaskDispatcher:
    """Plans the placement of tasks and sends them to schedulers.

    Args:
        capacity_view: the free capacity of the groups that this process follows.
        claim_holder: returns the member that holds the claim on a group, None if there is none.
        peers: the links to the schedulers.
        end_job: ends a job with an outcome.
        crash_guard: decides whether tasks that were lost with their workers start again.
        count: adds to a named counter.
    """

    __slots__ = (
        "_capacity_view",
        "_claim_holder",
        "_peers",
        "_end_job",
        "_crash_guard",
        "_count",
        "_last_dispatch",
    )

    def __init__(
        self,
        capacity_view: FreeCapacityView,
        claim_holder: Callable[[str], Member | None],
        peers: Peers,
        end_job: Callable[[JobRun, JobOutcome], None],
        crash_guard: CrashGuard,
        count: Callable[..., None],
    ) -> None:
        self._capacity_view = capacity_view
        self._claim_holder = claim_holder
        self._peers = peers
        self._end_job = end_job
        self._crash_guard = crash_guard
        self._count = count
        self._last_dispatch = 0

    def dispatch_ready_tasks(self, run: JobRun) -> bool:
        """Dispatch every task that is ready; return whether some could not be dispatched."""
        is_incomplete = False
        for step_number in range(len(run.steps)):
            if run.outcome is not None:  # an earlier step has ended the job
                return False
            if not run.may_dispatch():
                return True
            if run.is_step_ready(step_number):
                is_incomplete |= self._dispatch_step(run, step_number)
                is_incomplete |= self._redispatch_lost_tasks(run, step_number)
        return is_incomplete

    def _dispatch_step(self, run: JobRun, step_number: int) -> bool:
        """Dispatch the pending tasks of a step; return whether some could not be dispatched."""
        step = run.job.steps[step_number]
        waiting = [
            index
            for index, task in enumerate(run.steps[step_number])
            if task.state is TaskState.WAITING
        ]
        indices = [index for index in waiting if self._may_start(run, step_number, index)]
        is_held = len(indices) < len(waiting)
        for index in [index for index in indices if run.must_record_start(step_number, index)]:
            indices.remove(index)
            is_held |= not self._dispatch_recorded(run, step_number, index)
        if not indices or run.outcome is not None:
            return is_held
        if not run.may_dispatch():
            return True
        limits = run.step_limits
        plan = self._capacity_view.plan(run.queue.service, step, len(indices), limits)
        if self._is_hopeless(run, plan):
            self._end_job(run, JobOutcome.NOT_RUN)
            return False
        self._capacity_view.reserve(plan, step, limits)
        run.had_to_wait |= bool(plan.pending)
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
        return is_held or bool(indices)

    def _dispatch_recorded(self, run: JobRun, step_number: int, index: int) -> bool:
        """Dispatch a task once its start is recorded; return whether it was dispatched.

        It is dispatched to free capacity only, and returned if that is gone, so that a record means
        that the task has probably been started.
        """
        step, limits = run.job.steps[step_number], run.step_limits
        plan = self._capacity_view.plan(run.queue.service, step, 1, limits)
        if not plan.placed:
            run.withdraw_start(step_number, index)
            return False
        if not run.record_start(step_number, index):
            return False
        (group,) = plan.placed
        scheduler = self._capacity_view.scheduler_of(group)
        if scheduler is None or not run.may_dispatch():
            return False
        self._capacity_view.reserve(plan, step, limits)
        options = _DispatchOptions(return_if_full=True)
        return self._send_start_command(run, step_number, group, scheduler, [index], options)

    def _may_start(self, run: JobRun, step_number: int, index: int) -> bool:
        """Return whether a waiting task may start now; give it up if it crashes its workers."""
        lost_runs = run.steps[step_number][index].lost_runs
        if lost_runs is None:
            return True
        decision = self._crash_guard.decide(
            task_name(run.job.job_id, step_number, index), lost_runs
        )
        if decision is CrashDecision.GIVE_UP:
            outcome = run.give_up_task(step_number, index)
            if outcome is not None:
                self._end_job(run, outcome)
        return decision is CrashDecision.START

    def _is_hopeless(self, run: JobRun, plan: PlacementPlan) -> bool:
        """Return whether a job without a started task is expected to wait for too long.

        That holds for any job that a caller waits for while every zone of its service is evacuated.
        Jobs whose tasks a full group returned wait among those that were accepted since.
        """
        if run.any_may_have_started():
            return False
        if self._capacity_view.service_zones.is_evacuated(run.queue.service):
            return run.term is None
        if not plan.pending:
            return False
        waited_ms = (time.monotonic() - run.started_s) * MS_PER_S
        return not is_admitted(waited_ms + plan.wait_ms, run.start_limit_ms)

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
        self._last_dispatch += 1
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
            [self._make_task_to_start(run, step_number, index, now_s) for index in indices],
            options.return_if_full,
            run.term,
            run.in_time_within_ms(step, now_s),
            not options.must_start_in_time,
        )
        states_before = [
            (task.state, task.group, task.scheduler_id, task.dispatch) for task in tasks
        ]
        for task in tasks:
            task.state, task.group, task.scheduler_id = TaskState.HANDED, group, scheduler.member_id
            task.dispatch, task.dispatched_s = self._last_dispatch, now_s
        if self._peers.send_or_open(scheduler, message):
            run.was_dispatched_with_capacity = (
                run.was_dispatched_with_capacity or options.has_capacity
            )
            for index, task, before in zip(indices, tasks, states_before, strict=True):
                _, _, earlier_scheduler_id, earlier_dispatch = before
                if earlier_dispatch:
                    task.is_repeated = True
                    log_repeated_dispatch(
                        run, step_number, index, earlier_scheduler_id, earlier_dispatch
                    )
                    task.came_back = ""
            return True
        for task, state_before in zip(tasks, states_before, strict=True):
            task.state, task.group, task.scheduler_id, task.dispatch = state_before
        self._count("queues.retry.hand_out")
        return False

    def _make_task_to_start(
        self, run: JobRun, step_number: int, index: int, now_s: float
    ) -> TaskToStart:
        task = run.steps[step_number][index]
        may_run = task.state is TaskState.MAY_RUN
        return TaskToStart(
            index,
            task.run,
            run.failed_run_count(step_number, index),
            may_run,
            task.worker_id,
            self._last_dispatch,
            0 if task.lost_runs is None else len(task.lost_runs),
            task.last_place(),
            task.bound_ms(now_s),
        )


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
