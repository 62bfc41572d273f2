"""A kept job under way at its keeper."""

from collections.abc import Callable

from gevent.event import Event

from camphorchute.contracts.batch_job import BatchStep
from camphorchute.contracts.run_messages import KeeperTerm, TaskResult
from camphorchute.keeping.kept_job import KeptJob, KeptState
from camphorchute.queues import JobOutcome, JobRun, TaskProgress, TaskState
from camphorchute.runs.run import task_name

__all__ = ["KeptRun", "UnsavedEnd"]

FOREVER_S = float("inf")
WAIT_AT_HOME_MS = 2000.0
NO_WORKER = "?"

_OUTCOMES = {
    KeptState.DONE: JobOutcome.DONE,
    KeptState.FAILED: JobOutcome.FAILED,
    KeptState.CANCELLED: JobOutcome.CANCELLED,
}


class UnsavedEnd:
    """The end of a run that the store does not have yet.

    Attributes:
        home_id: the home that has told of it and waits for it to be saved.
        task: name of the task.
        run: number of the run.
    """

    __slots__ = ("home_id", "task", "run")

    def __init__(self, home_id: str, task: str, run: int) -> None:
        self.home_id = home_id
        self.task = task
        self.run = run


class KeptRun(JobRun):
    """The progress of a kept job; it ends only once its end is stored.

    Args:
        record: the job as it is stored.
        revision: revision of the record.
        term: the keeper's term.
        may_act: whether this process is still the keeper beyond doubt.
        save: called when the record has changed and is to be stored.
        find: called when every home is to be asked for tasks that may run.

    Attributes:
        record: the job with its progress.
        revision: revision of the record as it was last read or written.
        unsaved: ends that are part of the record and not stored yet.
        settled: whether all that earlier keepers have started is known.
        is_saving: whether a write is under way or about to be.
        has_ended: set when the end of the job is to be stored.
    """

    __slots__ = (
        "record",
        "revision",
        "unsaved",
        "settled",
        "is_saving",
        "has_ended",
        "_term",
        "_may_act",
        "_save",
        "_find",
    )

    def __init__(
        self,
        record: KeptJob,
        revision: int,
        term: KeeperTerm,
        may_act: Callable[[], bool],
        save: Callable[["KeptRun"], None],
        find: Callable[[], None],
    ) -> None:
        super().__init__(record.job, record.as_queue(), FOREVER_S)
        self.record = record
        self.revision = revision
        self.unsaved: list[UnsavedEnd] = []
        self.settled = False
        self.is_saving = False
        self.has_ended = Event()
        self._term = term
        self._may_act = may_act
        self._save = save
        self._find = find
        for step, indices in zip(self.steps, record.done, strict=False):
            for index in indices:
                step[index].state = TaskState.DONE
        self.touched = any(record.done)

    @property
    def term(self) -> KeeperTerm:
        """The keeper's term."""
        return self._term

    def mark_unknown(self) -> None:
        """Hand nothing out of what may have been started, until :meth:`settle`."""
        for task in self._tasks_in(TaskState.WAITING):
            task.state = TaskState.UNKNOWN

    def unknown_tasks(self) -> list[TaskProgress]:
        """Return the tasks of which homes have to be asked."""
        return self._tasks_in(TaskState.UNKNOWN)

    def settle(self) -> None:
        """Take note that every task that may run is known by now."""
        self.settled = True
        self.changed.set()

    def is_stored(self) -> bool:
        """Whether the store has all that the record says."""
        return not self.unsaved and not self.is_saving

    def start_within_ms(self, step: BatchStep, now_s: float, in_time: bool) -> float:
        """Return how long a task may wait at a home that other homes may have room for."""
        return WAIT_AT_HOME_MS

    def may_hand_out(self) -> bool:
        """Whether this process is the keeper and the job goes on."""
        return self.settled and self.record.state is KeptState.OPEN and self._may_act()

    def verdict(self, now_s: float) -> JobOutcome | None:
        """Return how the job has ended in the store."""
        if self.record.state is KeptState.OPEN or not self.is_stored():
            return None
        return _OUTCOMES[self.record.state]

    def note_done(self, task: TaskProgress, result: TaskResult) -> None:
        """Have the end of a task stored, and that of the job if it is the last one."""
        task.state = TaskState.DONE
        self.touched = True
        self.record.done[result.step].append(result.index)
        if self.is_done():
            self.record.state = KeptState.DONE
        self._note_end(task, result)

    def note_failed(self, task: TaskProgress, result: TaskResult) -> None:
        """Have a failed run stored; the task is run again unless it has failed too often."""
        failed = self.record.failed_runs.setdefault(f"{result.step}.{result.index}", [])
        mark = f"{result.worker_id or NO_WORKER}:{result.run}"
        if mark not in failed:
            failed.append(mark)
        if task.state is not TaskState.UNKNOWN:
            task.state = TaskState.WAITING
        task.run = max(task.run, result.run + 1)
        if len(failed) >= self.queue.limits.max_attempts:
            self.record.state = KeptState.FAILED
        self._note_end(task, result)

    def note_not_found(self, task: TaskProgress) -> None:
        """Have every home asked for a task before it is run again."""
        task.state = TaskState.UNKNOWN
        self._find()

    def failures(self, step: int, index: int) -> int:
        """Return how many runs of a task have failed."""
        return len(self.record.failed_runs.get(f"{step}.{index}", ()))

    def take_progress(self, record: KeptJob) -> None:
        """Add what another write of the record says of its tasks."""
        for step, indices in enumerate(record.done):
            for index in set(indices) - set(self.record.done[step]):
                self.record.done[step].append(index)
                self.steps[step][index].state = TaskState.DONE
        for name, runs in record.failed_runs.items():
            known = self.record.failed_runs.setdefault(name, [])
            known += [run for run in runs if run not in known]

    def stored_form(self) -> KeptJob:
        """Return what is to be stored now."""
        state = self.record.state
        return self.record if state is KeptState.OPEN else self.record.ended(state)

    def _note_end(self, task: TaskProgress, result: TaskResult) -> None:
        name = task_name(self.job.job_id, result.step, result.index)
        if self.record.state is not KeptState.OPEN:
            self.has_ended.set()
        self.unsaved.append(UnsavedEnd(task.home_id, name, result.run))
        self._save(self)

    def _tasks_in(self, state: TaskState) -> list[TaskProgress]:
        return [task for step in self.steps for task in step if task.state is state]
