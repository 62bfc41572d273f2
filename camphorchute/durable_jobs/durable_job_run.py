"""Progress of an open durable job at the owner of its shard."""

import time
from collections.abc import Callable

from gevent.event import Event

from camphorchute.contracts.batch_job import BatchStep
from camphorchute.contracts.durable_job_messages import ReportedTask
from camphorchute.contracts.run_messages import (
    RunPlace,
    ShardTerm,
    TaskPlace,
    TaskResult,
    TaskResultKind,
)
from camphorchute.durable_jobs.durable_job_record import DurableJobRecord, DurableJobState
from camphorchute.queues import JobOutcome, JobRun, TaskProgress, TaskState
from camphorchute.queues.lost_runs import LostRuns
from camphorchute.runs.run import task_name

__all__ = ["DurableJobRun", "UnsavedCompletion"]

NO_DEADLINE_S = float("inf")
SCHEDULER_WAIT_MAX_MS = 2000.0
UNKNOWN_WORKER_ID = "?"

_OUTCOMES = {
    DurableJobState.DONE: JobOutcome.DONE,
    DurableJobState.FAILED: JobOutcome.FAILED,
    DurableJobState.CANCELLED: JobOutcome.CANCELLED,
}


class UnsavedCompletion:
    """The completion of a run that is not stored yet.

    Attributes:
        scheduler_id: id of the scheduler that reported it and acknowledges it once it is stored.
        task: name of the task.
        run: number of the run.
    """

    __slots__ = ("scheduler_id", "task", "run")

    def __init__(self, scheduler_id: str, task: str, run: int) -> None:
        self.scheduler_id = scheduler_id
        self.task = task
        self.run = run


class DurableJobRun(JobRun):
    """The progress of a durable job, which has an outcome only once that is stored.

    :meth:`end` alone decides that the job is over for its owner: nothing is saved after that, and
    no write that is still under way changes the outcome.

    Args:
        record: the job as it is stored.
        revision: revision of the record.
        term: the shard owner's term.
        is_owner: returns whether this process certainly still owns the shard.
        schedule_save: called when the record has changed and must be stored.
        schedule_task_query: called with a task that has become unknown, for which all schedulers
            must be queried.

    Attributes:
        record: the job with its progress.
        revision: revision of the record as it was last read or written.
        unsaved_completions: completions in the record that are not stored yet.
        has_unsaved_changes: whether the record has other changes that are not stored yet.
        is_recovered: whether tasks may be dispatched; those in state ``UNKNOWN`` are not.
        is_saving: whether a write is in progress or scheduled.
        has_begun: whether a task has been started, as far as schedulers have said; a dispatch to a
            scheduler, which may hold or return the task, is no start.
        outcome_known: set when the job has an outcome that must be stored.
    """

    __slots__ = (
        "record",
        "revision",
        "unsaved_completions",
        "has_unsaved_changes",
        "is_recovered",
        "is_saving",
        "has_begun",
        "outcome_known",
        "_term",
        "_is_owner",
        "_schedule_save",
        "_schedule_task_query",
        "_stored_outcome",
    )

    def __init__(
        self,
        record: DurableJobRecord,
        revision: int,
        term: ShardTerm,
        is_owner: Callable[[], bool],
        schedule_save: Callable[["DurableJobRun"], None],
        schedule_task_query: Callable[[TaskProgress], None],
    ) -> None:
        super().__init__(record.job, record.as_queue(), NO_DEADLINE_S)
        self.record = record
        self.revision = revision
        self.unsaved_completions: list[UnsavedCompletion] = []
        self.has_unsaved_changes = False
        self.is_recovered = False
        self.is_saving = False
        self.outcome_known = Event()
        self._term = term
        self._is_owner = is_owner
        self._schedule_save = schedule_save
        self._schedule_task_query = schedule_task_query
        self._stored_outcome: JobOutcome | None = None
        for step, indices in zip(self.steps, record.done, strict=False):
            for index in indices:
                step[index].state = TaskState.DONE
        for name, places in record.lost_runs.items():
            self._add_stored_lost_runs(name, places)
        self.was_dispatched_with_capacity = any(record.done)
        self.has_begun = any(record.done) or bool(record.failed_runs or record.lost_runs)

    @property
    def term(self) -> ShardTerm:
        """The shard owner's term."""
        return self._term

    def mark_waiting_tasks_unknown(self) -> None:
        """Mark the pending tasks as unknown, since an earlier owner may have started them."""
        now_s = time.monotonic()
        for task in self._tasks_in(TaskState.WAITING):
            task.state, task.unaccounted_since_s = TaskState.UNKNOWN, now_s

    def unknown_tasks(self) -> list[TaskProgress]:
        """Return the tasks for which the schedulers must be queried."""
        return self._tasks_in(TaskState.UNKNOWN)

    def has_known_tasks(self) -> bool:
        """Whether it is known of any task whether it may be running."""
        return any(task.state is not TaskState.UNKNOWN for step in self.steps for task in step)

    def mark_unreported(self, task: TaskProgress) -> None:
        """Make an unknown task pending again, since no worker has a run of it.

        If it lost a worker before, and was dispatched again since, that run is lost: with its
        worker, with its scheduler, or with the scheduler that could tell that it was not started.
        The place that the scheduler has named, if any, shows whether its worker crashed.

        Args:
            task: the task.
        """
        task.state, task.unaccounted_since_s = TaskState.WAITING, None
        if task.lost_runs is None:
            return
        step, index = self._position_of(task)
        place = self._suspect_place(f"{step}.{index}")
        if place.run > task.lost_runs.last_number():
            self._add_lost_run(task, step, index, place)
        task.run = max(task.run, place.run + 1)

    def _suspect_place(self, name: str) -> RunPlace:
        """Return where the last recorded start of a task was, without a worker if unknown."""
        number = self.record.suspect_runs.get(name, 0)
        place = self.record.suspect_places.get(name)
        return place if place is not None and place.run >= number else RunPlace("", 0, "", number)

    def mark_recovered(self) -> None:
        """Record that the known tasks may be dispatched."""
        self.is_recovered = True
        self.changed.set()

    def must_be_saved(self) -> bool:
        """Whether the job is not over and its record has changes that no write has taken up."""
        if self._stored_outcome is not None:
            return False
        return bool(self.unsaved_completions) or self.has_unsaved_changes

    def is_record_stored(self) -> bool:
        """Whether the store has everything in the record."""
        return self._stored_outcome is not None or not (self.must_be_saved() or self.is_saving)

    def end(self, state: DurableJobState) -> None:
        """Record that the store has an outcome of the job, or no record of it any more.

        Args:
            state: the state in the store.
        """
        self.record.state = state
        self._stored_outcome = _OUTCOMES[state]
        self.changed.set()

    def has_recorded_end(self, task: TaskProgress, reported: ReportedTask) -> bool:
        """Return whether the record has what became of a run, stored or not.

        Args:
            task: the task.
            reported: a scheduler's report of the end of the run.
        """
        if task.state is TaskState.DONE:
            return True
        _, _, step, index = reported.task.split(".")
        failed_runs = self.record.failed_runs.get(f"{step}.{index}", ())
        is_failed = reported.end is TaskResultKind.FAILED
        return is_failed and f"{reported.worker_id}:{reported.run}" in failed_runs

    def start_within_ms(self, step: BatchStep, now_s: float, must_start_in_time: bool) -> float:
        """Return how long a task may wait at a scheduler, in milliseconds.

        The time is short since other schedulers may have free capacity for the task.
        """
        return SCHEDULER_WAIT_MAX_MS

    def may_dispatch(self) -> bool:
        """Whether this process owns the recovered shard and the job is open."""
        return self.is_recovered and self.record.state is DurableJobState.OPEN and self._is_owner()

    def current_outcome(self, now_s: float) -> JobOutcome | None:
        """Return the stored outcome of the job, None while it is open or not stored."""
        return self._stored_outcome

    def record_done(self, task: TaskProgress, result: TaskResult) -> None:
        """Record a completed task, and the job as done after its last one, and have it stored."""
        task.state = TaskState.DONE
        self.was_dispatched_with_capacity = self.has_begun = True
        self.record.done[result.step].append(result.index)
        if self.is_done():
            self.record.state = DurableJobState.DONE
        self._record_completion(task, result)

    def record_failed(self, task: TaskProgress, result: TaskResult) -> None:
        """Record a failed run and have it stored.

        The task runs again unless it has failed as often as its queue allows attempts; the job
        has then failed.
        """
        self.has_begun = True
        failed_runs = self.record.failed_runs.setdefault(f"{result.step}.{result.index}", [])
        failed_run = f"{result.worker_id or UNKNOWN_WORKER_ID}:{result.run}"
        if failed_run not in failed_runs:
            failed_runs.append(failed_run)
        task.forget_place()
        if task.state is not TaskState.UNKNOWN:
            task.state = TaskState.WAITING
        task.run = max(task.run, result.run + 1)
        if len(failed_runs) >= self.queue.limits.max_attempts:
            self.record.state = DurableJobState.FAILED
        self._record_completion(task, result)

    def record_not_found(self, task: TaskProgress, result: TaskResult) -> None:
        """Mark a task as unknown, so that all schedulers are queried before it runs again."""
        self._query_task(task)

    def must_record_start(self, step: int, index: int) -> bool:
        """Return whether a task lost a worker before, so that its next start is recorded first."""
        return self.steps[step][index].lost_runs is not None

    def record_start(self, step: int, index: int) -> bool:
        """Record that a task which lost a worker is started again; return whether that is stored.

        The next owner could not tell otherwise whether the task has been started since, if its
        scheduler and its worker are lost as well. What became known of the earlier workers is
        stored with it, as the next owner may not be able to find out any more.

        Args:
            step: number of the step.
            index: index of the task within the step.
        """
        task, name = self.steps[step][index], f"{step}.{index}"
        task.run = max(task.run, task.lost_runs.last_number() + 1)
        if self.record.suspect_runs.get(name) != task.run:
            self.record.suspect_runs[name] = task.run
            self.record.suspect_places.pop(name, None)
            self.record.lost_runs[name] = task.lost_runs.places()
            self._mark_changed()
        return self.is_record_stored()

    def record_placement(self, task: TaskProgress, scheduler_id: str, placed: TaskPlace) -> bool:
        """Record where a task is about to start, and have it stored if the task lost a worker."""
        is_news = super().record_placement(task, scheduler_id, placed)
        self.has_begun |= is_news
        if is_news and task.lost_runs is not None:
            self.record.suspect_places[f"{placed.step}.{placed.index}"] = placed.place
            self._mark_changed()
        return is_news

    def record_not_started(self, task: TaskProgress, result: TaskResult) -> None:
        """Return a task to the backlog, and forget the record of its start."""
        super().record_not_started(task, result)
        self.withdraw_start(result.step, result.index)
        self.has_begun = bool(self.record.failed_runs) or self._is_any_task_started()

    def _is_any_task_started(self) -> bool:
        """Whether a task has or may have been started, except for runs that have failed."""
        return any(
            task.state in (TaskState.DONE, TaskState.MAY_RUN)
            or task.lost_runs is not None
            or (task.state is TaskState.HANDED and task.placed_dispatch == task.dispatch > 0)
            for step in self.steps
            for task in step
        )

    def withdraw_start(self, step: int, index: int) -> None:
        """Withdraw the record of a start, as the task waits and was not started.

        Args:
            step: number of the step.
            index: index of the task within the step.
        """
        name = f"{step}.{index}"
        self.record.suspect_places.pop(name, None)
        if self.record.suspect_runs.pop(name, None) is not None:
            self._mark_changed()

    def record_lost_run(self, task: TaskProgress, result: TaskResult) -> None:
        """Record a lost run and have it stored; the task does not start again before."""
        self._add_lost_run(task, result.step, result.index, result.place)

    def record_worker_lost(self, task: TaskProgress, result: TaskResult) -> None:
        """Mark a task as unknown as after :meth:`record_not_found`."""
        self._query_task(task)

    def give_up_task(self, step: int, index: int) -> None:
        """Record the job as failed and have that stored."""
        self.record.state = DurableJobState.FAILED
        self.outcome_known.set()
        self._mark_changed()

    def failed_run_count(self, step: int, index: int) -> int:
        """Return how many runs of a task have failed."""
        return len(self.record.failed_runs.get(f"{step}.{index}", ()))

    def merge_progress(self, record: DurableJobRecord) -> None:
        """Add the done tasks and the failed runs of another write of the record."""
        for step, indices in enumerate(record.done):
            for index in set(indices) - set(self.record.done[step]):
                self.record.done[step].append(index)
                self.steps[step][index].state = TaskState.DONE
        for name, runs in record.failed_runs.items():
            known_runs = self.record.failed_runs.setdefault(name, [])
            known_runs += [run for run in runs if run not in known_runs]
        for name, places in record.lost_runs.items():
            new_places = self._add_stored_lost_runs(name, places)
            self.record.lost_runs[name] = self.record.lost_runs.get(name, []) + new_places
        for name, number in record.suspect_runs.items():
            known_number = self.record.suspect_runs.get(name, 0)
            self.record.suspect_runs[name] = max(known_number, number)
        for name, place in record.suspect_places.items():
            known_place = self.record.suspect_places.get(name, place)
            self.record.suspect_places[name] = max(place, known_place, key=lambda known: known.run)

    def _position_of(self, task: TaskProgress) -> tuple[int, int]:
        """Return the number of a task's step and its index in that."""
        return next(
            (step, tasks.index(task)) for step, tasks in enumerate(self.steps) if task in tasks
        )

    def lost_run_counts(self) -> list[tuple[LostRuns, int]]:
        """Return the lost runs of each task with their present number."""
        tasks = [task for step in self.steps for task in step if task.lost_runs is not None]
        return [(task.lost_runs, len(task.lost_runs)) for task in tasks]

    def record_to_store(self) -> DurableJobRecord:
        """Return the record to write: the complete one while the job is open."""
        state = self.record.state
        return self.record if state is DurableJobState.OPEN else self.record.ended_record(state)

    def _record_completion(self, task: TaskProgress, result: TaskResult) -> None:
        name = task_name(self.job.job_id, result.step, result.index)
        if self.record.state is not DurableJobState.OPEN:
            self.outcome_known.set()
        self.unsaved_completions.append(UnsavedCompletion(task.scheduler_id, name, result.run))
        self._schedule_save(self)

    def _add_lost_run(self, task: TaskProgress, step: int, index: int, place: RunPlace) -> None:
        if not task.add_lost_run(place):
            return
        task.lost_runs.mark_stored(0)
        self.record.lost_runs.setdefault(f"{step}.{index}", []).append(place)
        self._mark_changed()

    def _mark_changed(self) -> None:
        self.has_unsaved_changes = True
        self._schedule_save(self)

    def _query_task(self, task: TaskProgress) -> None:
        task.forget_place()
        task.state = TaskState.UNKNOWN
        self._schedule_task_query(task)

    def _add_stored_lost_runs(self, name: str, places: list[RunPlace]) -> list[RunPlace]:
        """Add the lost runs of a task that a stored record has, and return the new ones."""
        step, _, index = name.partition(".")
        is_name = step.isdecimal() and index.isdecimal()
        task = self.find_task(int(step), int(index)) if is_name else None
        if task is None:
            return []
        new_places = [place for place in places if task.add_lost_run(place)]
        if new_places:
            task.lost_runs.mark_stored((task.lost_runs.stored or 0) + len(new_places))
        return new_places

    def _tasks_in(self, state: TaskState) -> list[TaskProgress]:
        return [task for step in self.steps for task in step if task.state is state]
