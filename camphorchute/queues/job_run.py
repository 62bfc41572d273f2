"""Progress of a job at the process that owns it."""

import math
import time
from collections import Counter
from collections.abc import Callable
from enum import Enum

from gevent.event import Event

from camphorchute.contracts.batch_job import BatchJob, BatchStep
from camphorchute.contracts.run_messages import (
    RunPlace,
    ShardTerm,
    TaskBinding,
    TaskPlace,
    TaskResult,
)
from camphorchute.contracts.start_messages import KnownStart
from camphorchute.hosting import Queue
from camphorchute.policies.admission import useful_time_ms
from camphorchute.queues.lost_runs import LostRuns
from camphorchute.runs.run import task_name

__all__ = ["JobOutcome", "JobRun", "TaskProgress", "TaskState"]

FINISH_STARTED_FACTOR = 4 / 3  # estimates are off by as much, and the work done would be lost
HOME_LOST = "home_lost"
MS_PER_S = 1000.0


class TaskState(Enum):
    """What the owner of a job knows about one of its tasks.

    The names are written to logs. In the values, a home is the scheduler of a worker group, and a
    keeper is the owner of a shard of durable jobs.
    """

    UNKNOWN = "an earlier keeper may have handed it to a home"
    WAITING = "not handed to a home"
    HANDED = "handed to a home"
    MAY_RUN = "handed to a home that is lost"
    DONE = "done"


class JobOutcome(Enum):
    """Outcome of a job; the values are written to logs and answers."""

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not run"
    LOST = "some tasks may have run"
    CANCELLED = "cancelled"
    DEPOSED = "another process answers for it now"


class TaskProgress:
    """Progress of one task of a job.

    Attributes:
        state: what is known about the task.
        group: name of the worker group that it was dispatched to, empty before.
        scheduler_id: member id of the scheduler that it was dispatched to, empty before.
        run: lower bound of the number of its next run.
        worker_id: id of the worker on which it may still run, empty if unknown.
        dispatch: number of its last dispatch, 0 before the first.
        dispatched_s: monotonic time of its last dispatch, 0 before the first.
        failures: number of failed runs that schedulers have reported.
        place: where a run that may be active is, None if that is not known.
        placed_dispatch: number of the dispatch for which its scheduler has said where it starts, 0
            if there is none.
        bound_until_s: monotonic time until which a start command without an answer may reach the
            worker, so that it may start nowhere else; 0 if there is none.
        lost_runs: runs that were lost with their workers, None if there are none.
        is_repeated: whether it was dispatched more than once.
        came_back: how its last dispatch came back, as logs name it; empty if it has not.
        returned_as: scheduler, worker and group of its last result ``MAY_RUN``, None before.
        unaccounted_since_s: monotonic time since when a scheduler that this owner does not reach
            may have a run of it; None if there is none.
    """

    __slots__ = (
        "state",
        "group",
        "scheduler_id",
        "run",
        "worker_id",
        "dispatch",
        "dispatched_s",
        "failures",
        "place",
        "placed_dispatch",
        "bound_until_s",
        "lost_runs",
        "is_repeated",
        "came_back",
        "returned_as",
        "unaccounted_since_s",
    )

    def __init__(self) -> None:
        self.state = TaskState.WAITING
        self.group = ""
        self.scheduler_id = ""
        self.run = 1
        self.worker_id = ""
        self.dispatch = 0
        self.dispatched_s = 0.0
        self.failures = 0
        self.place: RunPlace | None = None
        self.placed_dispatch = 0
        self.bound_until_s = 0.0
        self.lost_runs: LostRuns | None = None
        self.is_repeated = False
        self.came_back = ""
        self.returned_as: tuple[str, str, str] | None = None
        self.unaccounted_since_s: float | None = None

    def add_lost_run(self, place: RunPlace) -> bool:
        """Add a run that was lost with its worker; return whether that says anything new.

        Args:
            place: where the run was.
        """
        if self.lost_runs is None:
            self.lost_runs = LostRuns()
        return self.lost_runs.add(place)

    def record_placement(self, scheduler_id: str, placed: TaskPlace) -> bool:
        """Record where the task is about to start; return whether that is news of its dispatch.

        Args:
            scheduler_id: member id of the scheduler that says so.
            placed: the task with its place.
        """
        is_current = (scheduler_id, placed.dispatch) == (self.scheduler_id, self.dispatch)
        if self.state is not TaskState.HANDED or not is_current:
            return False
        self.place, self.worker_id = placed.place, placed.place.worker_id
        self.placed_dispatch = placed.dispatch
        self.run = max(self.run, placed.place.run + 1)
        return True

    def mark_scheduler_lost(self, now_s: float, late_arrival_max_s: float) -> None:
        """Record that the scheduler of the task was lost and that a run may be active.

        A place from before the dispatch holds while the task could start nowhere else.

        Args:
            now_s: the current monotonic time.
            late_arrival_max_s: time within which a start command without an answer arrives.
        """
        self.state, self.came_back = TaskState.MAY_RUN, HOME_LOST
        self.unaccounted_since_s = now_s
        if self.placed_dispatch == self.dispatch or now_s < self.bound_until_s:
            self.bound_until_s = now_s + late_arrival_max_s
        else:
            self.forget_place()

    def record_found(self, known: KnownStart) -> None:
        """Record that the task may run where another owner's scheduler has started it.

        Args:
            known: that start.
        """
        self.state, self.group, self.worker_id = TaskState.MAY_RUN, known.group, known.worker_id
        self.run = max(self.run, known.run + 1)
        self.bound_until_s = time.monotonic() + known.remaining_ms / MS_PER_S

    def forget_place(self) -> None:
        """Record that no run is known that may be active."""
        self.worker_id, self.place = "", None
        self.placed_dispatch, self.bound_until_s = 0, 0.0

    def record_bound(self, result: TaskResult) -> None:
        """Record that a returned task may start on one worker only, as a start may arrive there.

        Args:
            result: the result of its scheduler.
        """
        if result.bound_ms > 0 and result.worker_id and self.state is not TaskState.DONE:
            self.worker_id = result.worker_id
            bound_until_s = time.monotonic() + result.bound_ms / MS_PER_S
            self.bound_until_s = max(self.bound_until_s, bound_until_s)

    def mark_waiting(self) -> None:
        """Return the task to the backlog; a later dispatch has a place of its own."""
        self.state = TaskState.WAITING
        self.forget_place()

    def bound_ms(self, now_s: float) -> float:
        """Return for how long the task may start on no other worker, in milliseconds.

        Args:
            now_s: the current monotonic time.

        Examples:
            >>> task = TaskProgress()
            >>> task.bound_until_s = 12.5
            >>> task.bound_ms(12.0), task.bound_ms(13.0)
            (500.0, 0.0)
        """
        return max(0.0, (self.bound_until_s - now_s) * MS_PER_S)

    def last_place(self) -> RunPlace | None:
        """Return where the run that may be active is, or the last lost one was, None if unknown."""
        if self.state is TaskState.MAY_RUN:
            return self.place
        return None if self.lost_runs is None else self.lost_runs.last_place()


class JobRun:
    """A job with the progress of its tasks.

    This class is for a job that ends when its caller has disconnected. Subclasses change what
    ends a job and how the outcomes of its tasks are handled.

    Args:
        job: the job.
        queue: the queue that the job was submitted to.
        finish_by_s: monotonic time at which the job expires.
        start_limit_ms: time from now within which the first tasks must start.

    Attributes:
        job: the job.
        queue: the queue that the job was submitted to.
        step_limits: the limits of the queue for one step, with its share of the added time.
        started_s: monotonic time at which the job was submitted.
        finish_by_s: monotonic time after which nobody waits for the job any more.
        worth_finishing_by_s: monotonic time after which no further task of a started job is
            started.
        start_limit_ms: time from then within which the first tasks must start; infinite for a job
            that no caller waits for.
        expected_wait_ms: the wait for workers that it was admitted with, in milliseconds.
        steps: progress of the tasks, by step.
        outcome: outcome of the job, None while it is under way.
        was_dispatched_with_capacity: whether a task was dispatched to a scheduler with free
            capacity for it, and so may have started.
        had_to_wait: whether a task was dispatched to a group without free capacity for it.
        withdrawing_from: schedulers whose answer to the withdrawal of the job is missing, None
            before it is withdrawn.
        capacity_returns: how often schedulers immediately returned tasks for lack of capacity.
        changed: event that is set when the job may have to be acted on.
        ended: event that is set when the outcome is known.
        callers: for each request that waits for the outcome, the event that is set when its caller
            has gone.
    """

    __slots__ = (
        "job",
        "queue",
        "step_limits",
        "started_s",
        "finish_by_s",
        "worth_finishing_by_s",
        "start_limit_ms",
        "expected_wait_ms",
        "steps",
        "outcome",
        "was_dispatched_with_capacity",
        "had_to_wait",
        "withdrawing_from",
        "capacity_returns",
        "changed",
        "ended",
        "callers",
    )

    def __init__(
        self,
        job: BatchJob,
        queue: Queue,
        finish_by_s: float,
        start_limit_ms: float = math.inf,
    ) -> None:
        self.job = job
        self.queue = queue
        self.step_limits = queue.limits.limits_for_step(job)
        self.started_s = time.monotonic()
        self.finish_by_s = finish_by_s
        self.start_limit_ms = start_limit_ms
        self.expected_wait_ms = 0.0
        useful_ms = useful_time_ms(
            queue.limits.target_time_ms(job.longest_chain_ms()),
            (finish_by_s - self.started_s) * MS_PER_S,
        )
        self.worth_finishing_by_s = min(
            finish_by_s, self.started_s + FINISH_STARTED_FACTOR * useful_ms / MS_PER_S
        )
        self.steps = [[TaskProgress() for _ in range(step.tasks)] for step in job.steps]
        self.outcome: JobOutcome | None = None
        self.was_dispatched_with_capacity = False
        self.had_to_wait = False
        self.withdrawing_from: set[str] | None = None
        self.capacity_returns = 0
        self.changed = Event()
        self.ended = Event()
        self.callers: list[Event] = []

    @property
    def term(self) -> ShardTerm | None:
        """Ownership term of a durable job, None for a job that is not durable."""
        return None

    def start_within_ms(self, step: BatchStep, now_s: float, must_start_in_time: bool) -> float:
        """Return how long a task may wait at a scheduler before it is returned, in milliseconds.

        Args:
            step: the step of the task.
            now_s: monotonic time at which the task is dispatched.
            must_start_in_time: whether the limit for a job that has not started applies.
        """
        latest_s = self.worth_finishing_by_s
        if must_start_in_time:
            latest_s = self.started_s + self.start_limit_ms / MS_PER_S
        return max(0.0, (latest_s - now_s) * MS_PER_S)

    def in_time_within_ms(self, step: BatchStep, now_s: float) -> float:
        """Return how much later a task may start for the job to meet its target time.

        The result is in milliseconds, and negative if the job cannot meet it any more.

        Args:
            step: the step of the task.
            now_s: monotonic time at which the task is dispatched.
        """
        waited_ms = (now_s - self.started_s) * MS_PER_S
        return self.queue.limits.slack_ms(self.job.longest_chain_ms()) - waited_ms

    def is_caller_gone(self) -> bool:
        """Return whether every caller that waited for the outcome has gone."""
        return bool(self.callers) and all(gone.is_set() for gone in self.callers)

    def may_dispatch(self) -> bool:
        """Return whether tasks may be dispatched to schedulers now."""
        return not self.withdrawing_from

    def needs_withdrawal(self, now_s: float) -> bool:
        """Return whether no task is known to have started and the start limit has passed.

        Args:
            now_s: the current monotonic time.
        """
        is_past_limit = now_s >= self._start_limit_s() and self.withdrawing_from is None
        return is_past_limit and not self.is_known_to_have_started()

    def next_check_s(self, now_s: float) -> float:
        """Return the monotonic time at which the job has to be checked next without a change.

        Args:
            now_s: the current monotonic time.
        """
        start_limit_s = self._start_limit_s()
        is_to_withdraw = self.withdrawing_from is None and now_s < start_limit_s
        return min(self.finish_by_s, start_limit_s) if is_to_withdraw else self.finish_by_s

    def current_outcome(self, now_s: float) -> JobOutcome | None:
        """Return the outcome of the job, None while it continues.

        Args:
            now_s: the current monotonic time.
        """
        if self.is_done():
            return JobOutcome.DONE
        is_over = now_s >= self.finish_by_s
        if is_over or (now_s >= self._latest_start_s() and self._has_tasks_to_start()):
            return JobOutcome.LOST if self.any_may_have_started() else JobOutcome.NOT_RUN
        return None

    def _latest_start_s(self) -> float:
        """Return the monotonic time after which no task can start in time for the caller."""
        if self.any_may_have_started():
            return self.worth_finishing_by_s
        return self._start_limit_s()

    def _start_limit_s(self) -> float:
        """Return the monotonic time until which the first task must start."""
        return self.started_s + self.start_limit_ms / MS_PER_S

    def _has_tasks_to_start(self) -> bool:
        """Return whether a task is not at a scheduler that will start it or report its end."""
        states = {task.state for step in self.steps for task in step}
        return bool(states & {TaskState.WAITING, TaskState.MAY_RUN})

    def record_done(self, task: "TaskProgress", result: TaskResult) -> None:
        """Record that a task is done."""
        task.state = TaskState.DONE

    def record_failed(self, task: "TaskProgress", result: TaskResult) -> JobOutcome | None:
        """Record that a task has failed permanently; return the outcome if the job has ended."""
        return JobOutcome.FAILED

    def record_not_started(self, task: "TaskProgress", result: TaskResult) -> None:
        """Record that a scheduler has returned a task without having started it."""
        task.mark_waiting()

    def must_record_start(self, step: int, index: int) -> bool:
        """Return whether the start of a task must be recorded before it is dispatched."""
        return False

    def record_start(self, step: int, index: int) -> bool:
        """Record the start of a task, and return whether it may be dispatched."""
        return True

    def withdraw_start(self, step: int, index: int) -> None:
        """Withdraw the record of a start that was not dispatched, if there is one."""

    def record_not_found(self, task: "TaskProgress", result: TaskResult) -> None:
        """Record that the scheduler of a task that may run does not know the task."""
        task.mark_waiting()

    def record_placement(self, task: "TaskProgress", scheduler_id: str, placed: TaskPlace) -> bool:
        """Record where a task is about to start; return whether that is news of its dispatch.

        Args:
            task: the task.
            scheduler_id: member id of the scheduler that says so.
            placed: the task with its place.
        """
        return task.record_placement(scheduler_id, placed)

    def record_lost_run(self, task: "TaskProgress", result: TaskResult) -> None:
        """Record that a run was lost with its worker; known ones are recorded once."""
        task.add_lost_run(result.place)

    def record_worker_lost(self, task: "TaskProgress", result: TaskResult) -> None:
        """Record that a task has no run any more, since its worker was lost."""
        task.mark_waiting()

    def give_up_task(self, step: int, index: int) -> JobOutcome | None:
        """Record that a task is not started any more; return the outcome if the job has ended."""
        return JobOutcome.FAILED

    def failed_run_count(self, step: int, index: int) -> int:
        """Return how many runs of a task failed before its present scheduler received it."""
        return self.steps[step][index].failures

    def has_restarted_tasks(self) -> bool:
        """Return whether a task needed more than one run."""
        return any(task.run > 2 for step in self.steps for task in step)

    def has_started_tasks(self) -> bool:
        """Return whether a task has probably started, so that work would be lost with the job.

        That is also so after a withdrawal that has not ended the job, and if a scheduler that may
        have started a task is lost.
        """
        if self.withdrawing_from is not None:
            return True
        states = {task.state for step in self.steps for task in step}
        has_run = any(task.run > 1 for step in self.steps for task in step)
        is_placed = self.was_dispatched_with_capacity and TaskState.HANDED in states
        return has_run or is_placed or bool(states & {TaskState.DONE, TaskState.MAY_RUN})

    def any_may_have_started(self) -> bool:
        """Return whether any task has started or may still start; pending tasks do not count."""
        if self.is_known_to_have_started():
            return True
        return any(task.state is TaskState.HANDED for step in self.steps for task in step)

    def is_known_to_have_started(self) -> bool:
        """Return whether a task has or may have started that was not merely dispatched."""
        if any(task.run > 1 for step in self.steps for task in step):
            return True
        states = {task.state for step in self.steps for task in step}
        return bool(states & {TaskState.DONE, TaskState.MAY_RUN})

    def last_dispatch_to(self, scheduler_id: str) -> int:
        """Return the number of the last dispatch of a task to a scheduler, 0 if there was none.

        Args:
            scheduler_id: member id of the scheduler.
        """
        return max(
            (
                task.dispatch
                for step in self.steps
                for task in step
                if task.scheduler_id == scheduler_id
            ),
            default=0,
        )

    def find_task(self, step: int, index: int) -> TaskProgress | None:
        """Return the progress of a task, None if the job has no such task."""
        if not 0 <= step < len(self.steps) or not 0 <= index < len(self.steps[step]):
            return None
        return self.steps[step][index]

    def record_found_tasks(self, find: Callable[[str], KnownStart | None]) -> int:
        """Record which tasks may run for another owner of the job; return their number.

        Args:
            find: returns the start of a task that another owner's scheduler has announced.
        """
        found = 0
        for step_number, step in enumerate(self.steps):
            for index, task in enumerate(step):
                known = find(task_name(self.job.job_id, step_number, index))
                if known is not None:
                    task.record_found(known)
                    found += 1
        return found

    def is_step_done(self, step_number: int) -> bool:
        """Return whether every task of a step is done."""
        return all(task.state is TaskState.DONE for task in self.steps[step_number])

    def is_step_ready(self, step_number: int) -> bool:
        """Return whether all steps that a step depends on are done."""
        return all(
            self.is_step_done(dependency) for dependency in self.job.steps[step_number].after
        )

    def is_done(self) -> bool:
        """Return whether every task of the job is done."""
        return all(self.is_step_done(step_number) for step_number in range(len(self.steps)))

    def task_counts(self) -> dict[str, int]:
        """Return the number of tasks in each state, by the state's name in lower case."""
        return dict(Counter(task.state.name.lower() for step in self.steps for task in step))

    def bound_tasks(self, now_s: float) -> list[TaskBinding]:
        """Return the tasks for which a start command without an answer may still arrive.

        Args:
            now_s: the current monotonic time.
        """
        return [
            TaskBinding(
                task_name(self.job.job_id, step_number, index),
                task.worker_id,
                task.run - 1,
                task.bound_ms(now_s),
            )
            for step_number, step in enumerate(self.steps)
            for index, task in enumerate(step)
            if task.worker_id and task.bound_ms(now_s)
        ]

    def scheduler_ids(self) -> set[str]:
        """Return the member ids of the schedulers that have or had tasks of the job."""
        return {task.scheduler_id for step in self.steps for task in step if task.scheduler_id}

    def open_scheduler_ids(self) -> set[str]:
        """Return the member ids of the schedulers that have tasks of the job."""
        return {
            task.scheduler_id
            for step in self.steps
            for task in step
            if task.state in (TaskState.HANDED, TaskState.MAY_RUN)
        }
