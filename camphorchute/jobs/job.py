"""State of a job, its tasks and its answer at the owner of the job's key."""

import time
from enum import Enum

from gevent.event import Event

from camphorchute.contracts import JobAnswer, JobKey, JobSpec, ResultCode
from camphorchute.contracts.errors import InvariantBroken
from camphorchute.contracts.messages import KeyEntry, KeyOwner, Reach
from camphorchute.jobs.pools import pool_for_job

__all__ = ["Job", "Task", "TaskState"]


class TaskState(Enum):
    """State of a task, as its owner knows it."""

    WAITING = "not handed to a home"
    HANDED = "handed to a home"
    ENDED = "ended"


class Task:
    """One task of a job.

    Attributes:
        state: whether the task is pending, dispatched to a scheduler or ended.
        attempt: id of the current attempt; empty while the task is pending, or where an earlier
            owner dispatched it and its scheduler has not named it.
        scheduler_id: member id of the scheduler that the task was dispatched to, or empty.
        answer: the worker's answer, empty until the task has ended.
        dispatched_s: monotonic time of the dispatch in seconds, 0 before the first one.
    """

    __slots__ = ("state", "attempt", "scheduler_id", "answer", "dispatched_s")

    def __init__(self) -> None:
        self.state = TaskState.WAITING
        self.attempt = ""
        self.scheduler_id = ""
        self.answer = ""
        self.dispatched_s = 0.0


class Job:
    """A job, its tasks and its final answer.

    Args:
        key: the idempotency key.
        spec: the submitted body.
        digest: digest of the body; it distinguishes two bodies submitted under one key.
        remaining_ms: time to the deadline in milliseconds.

    Attributes:
        pool: name of the pool of back ends that runs the tasks.
        completion_recorded: whether the completion was counted and logged, and the answer
            passed on for retention.
        deadline_s: monotonic time of the deadline in seconds.
        tasks: the tasks, in the order of the body.
        entry: the ledger's entry of the key, None until the key is accepted.
        known_owners: this owner and the earlier ones whose dispatches the job takes account of.
        reach: which schedulers tasks may be dispatched to without a further acknowledgement.
        resumed: whether an earlier owner or submission of the key may have dispatched tasks.
        is_recovered: whether it is known what earlier owners dispatched.
        may_dispatch: whether this owner may dispatch tasks; a resumed job is dispatched only once
            witnesses have recorded its new owner.
        open_query_count: number of queries to schedulers whose replies have not been applied.
        returned_attempts: ids of attempts that were returned while such a query was open.
        is_ending: whether the final answer is being decided; no task is dispatched meanwhile.
        queued_task_count: number of tasks of the job in the dispatch backlog.
        unfit_scheduler_ids: schedulers whose workers are all too small for a task of the job.
        answer: the final answer, None while there is none.
        moved: whether another process owns the key now.
        finished: event that is set once there is an answer or the job has moved.

    Examples:
        >>> from camphorchute.contracts import TaskSpec
        >>> key = JobKey("k", ["north"])
        >>> job = Job(key, JobSpec(service="flags", tasks=[TaskSpec()]), b"", 1000.0)
        >>> job.dispatch_task(0, "a-1", "scheduler")
        >>> job.complete_task(0, "a-1", "done")
        True
        >>> job.answer.answers
        ['done']
    """

    __slots__ = (
        "key",
        "spec",
        "pool",
        "completion_recorded",
        "digest",
        "deadline_s",
        "tasks",
        "entry",
        "known_owners",
        "reach",
        "resumed",
        "is_recovered",
        "may_dispatch",
        "open_query_count",
        "returned_attempts",
        "is_ending",
        "queued_task_count",
        "unfit_scheduler_ids",
        "answer",
        "moved",
        "finished",
        "_open_task_count",
    )

    def __init__(self, key: JobKey, spec: JobSpec, digest: bytes, remaining_ms: float) -> None:
        self.key = key
        self.spec = spec
        self.pool = pool_for_job(spec)
        self.completion_recorded = False
        self.digest = digest
        self.deadline_s = time.monotonic() + remaining_ms / 1000
        self.tasks = [Task() for _ in spec.tasks]
        self.entry: KeyEntry | None = None
        self.known_owners: list[KeyOwner] = []
        self.reach = Reach.OTHER_HOSTS
        self.resumed = False
        self.is_recovered = True
        self.may_dispatch = True
        self.open_query_count = 0
        self.returned_attempts: set[str] = set()
        self.is_ending = False
        self.queued_task_count = 0
        self.unfit_scheduler_ids: set[str] = set()
        self.answer: JobAnswer | None = None
        self.moved = False
        self.finished = Event()
        self._open_task_count = len(self.tasks)

    @property
    def remaining_ms(self) -> float:
        """Time to the deadline in milliseconds, negative after it."""
        return (self.deadline_s - time.monotonic()) * 1000

    @property
    def is_open(self) -> bool:
        """Whether the job has no answer and has not moved to another owner."""
        return not self.finished.is_set()

    def mark_resumed(self) -> None:
        """Mark the job as one of which an earlier owner may have dispatched tasks."""
        self.resumed = True
        self.is_recovered = False
        self.may_dispatch = False

    def begin_query(self) -> None:
        """Note a query to a scheduler; attempts that are returned meanwhile are remembered."""
        self.open_query_count += 1

    def end_query(self) -> None:
        """Note that the reply to a query was applied, or that none will be."""
        self.open_query_count -= 1
        if not self.open_query_count:
            self.returned_attempts.clear()

    def dispatch_task(self, index: int, attempt: str, scheduler_id: str) -> None:
        """Mark a pending task as dispatched to a scheduler.

        Args:
            index: index of the task.
            attempt: id of the new attempt.
            scheduler_id: member id of the scheduler.

        Raises:
            InvariantBroken: the task is not pending.
        """
        task = self.tasks[index]
        if task.state is not TaskState.WAITING:
            raise InvariantBroken(
                f"one_start_per_task: task {index} of job {self.key.text!r} is "
                f"{task.state.value!r}, expected {TaskState.WAITING.value!r}"
            )
        task.state = TaskState.HANDED
        task.attempt = attempt
        task.scheduler_id = scheduler_id
        task.dispatched_s = time.monotonic()

    def return_task(self, index: int, attempt: str) -> bool:
        """Mark a task as pending again after its attempt was proved not started.

        Args:
            index: index of the task.
            attempt: id of the attempt that was not started.

        Returns:
            Whether the attempt was the current one; if not, nothing changes.
        """
        task = self.tasks[index]
        if task.state is not TaskState.HANDED or task.attempt != attempt:
            return False
        task.state = TaskState.WAITING
        task.attempt = ""
        task.scheduler_id = ""
        return True

    def adopt_task(self, index: int, scheduler_id: str, attempt: str = "") -> None:
        """Mark a pending task as one that an earlier owner dispatched to a scheduler.

        A task that is not pending, or whose attempt was returned already, stays as it is.

        Args:
            index: index of the task.
            scheduler_id: member id of the scheduler.
            attempt: id of the attempt, empty if it is not known.
        """
        task = self.tasks[index]
        if task.state is TaskState.WAITING and attempt not in self.returned_attempts:
            task.state = TaskState.HANDED
            task.attempt = attempt
            task.scheduler_id = scheduler_id

    def complete_task(self, index: int, attempt: str, answer: str) -> bool:
        """Record a task's answer; the last one completes the job.

        Args:
            index: index of the task.
            attempt: id of the attempt; empty where an earlier owner dispatched it.
            answer: the worker's answer.

        Returns:
            Whether the answer was recorded: it was the first one for the current attempt.
        """
        task = self.tasks[index]
        if task.state is TaskState.ENDED or (attempt and attempt != task.attempt):
            return False
        task.state = TaskState.ENDED
        task.answer = answer
        self._open_task_count -= 1
        if self._open_task_count == 0:
            self.set_answer(JobAnswer(self.key.text, answers=[t.answer for t in self.tasks]))
        return True

    def fail(self, code: ResultCode, detail: str, retry_after_ms: int = 0) -> None:
        """End the job with a failure that lists the tasks which may have run.

        Args:
            code: result code of the failure.
            detail: what failed.
            retry_after_ms: when the caller should retry, in milliseconds; 0 for no hint.
        """
        maybe_run = [i for i, t in enumerate(self.tasks) if t.state is not TaskState.WAITING]
        self.set_answer(
            JobAnswer(
                self.key.text,
                int(code),
                detail=detail,
                retry_after_ms=retry_after_ms,
                tasks_maybe_run=maybe_run,
            )
        )

    def set_answer(self, answer: JobAnswer) -> None:
        """Set the final answer, unless the job has one.

        Raises:
            InvariantBroken: a complete answer lacks the answers of some tasks.
        """
        if self.answer is not None:
            return
        if answer.code == ResultCode.COMPLETE and len(answer.answers) != len(self.tasks):
            raise InvariantBroken(
                f"whole_answer: job {self.key.text!r} has {len(answer.answers)} task answers, "
                f"expected {len(self.tasks)}"
            )
        self.answer = answer
        self.finished.set()

    def mark_moved(self) -> None:
        """Mark the job as moved: another process owns the key now."""
        self.moved = True
        self.finished.set()

    def tasks_dispatched_to(self, scheduler_id: str) -> list[int]:
        """Return the indices of the tasks that are dispatched to a scheduler and have not ended."""
        return [
            index
            for index, task in enumerate(self.tasks)
            if task.state is TaskState.HANDED and task.scheduler_id == scheduler_id
        ]

    def pending_tasks(self) -> list[int]:
        """Return the indices of the tasks that are not dispatched to a scheduler."""
        return [i for i, task in enumerate(self.tasks) if task.state is TaskState.WAITING]

    def any_dispatched(self) -> bool:
        """Return whether a task was dispatched, so that it may have run."""
        return any(task.state is not TaskState.WAITING for task in self.tasks)

    def dispatched_tasks(self) -> dict[str, list[int]]:
        """Return the indices of the tasks that may have been started, by scheduler."""
        dispatched: dict[str, list[int]] = {}
        for index, task in enumerate(self.tasks):
            if task.state is not TaskState.WAITING:
                dispatched.setdefault(task.scheduler_id, []).append(index)
        return dispatched

    def active_schedulers(self) -> set[str]:
        """Return the ids of the schedulers that hold dispatched tasks which have not ended."""
        return {t.scheduler_id for t in self.tasks if t.state is TaskState.HANDED}
