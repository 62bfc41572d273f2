"""A job under way at the owner of its key."""

import time
from enum import Enum

from gevent.event import Event

from camphorchute.contracts import JobAnswer, JobKey, JobSpec, ResultCode
from camphorchute.contracts.errors import InvariantBroken
from camphorchute.contracts.messages import KeyEntry, Reach
from camphorchute.jobs.pools import pool_of

__all__ = ["Job", "Task", "TaskState"]


class TaskState(Enum):
    """How far a task has come."""

    WAITING = "not handed to a home"
    HANDED = "handed to a home"
    ENDED = "ended"


class Task:
    """One task of a job.

    Attributes:
        state: how far it has come.
        attempt: id of the attempt that was handed on, empty before.
        home_id: home that it was handed to, empty before.
        answer: the worker's answer, once ended.
        handed_s: monotonic time at which it was handed on.
    """

    __slots__ = ("state", "attempt", "home_id", "answer", "handed_s")

    def __init__(self) -> None:
        self.state = TaskState.WAITING
        self.attempt = ""
        self.home_id = ""
        self.answer = ""
        self.handed_s = 0.0


class Job:
    """A job, its tasks and its final answer.

    Args:
        key: the idempotency key.
        spec: what was submitted.
        digest: tells the body from another.
        remaining_ms: time to the deadline.

    Attributes:
        pool: the pool of back ends that runs its tasks.
        kept: whether its answer is counted among those that are kept.
        entry: the ledger's entry of the key, once it is accepted.
        reach: to which homes tasks may be handed.
        resumed: whether an earlier owner or attempt may have handed on tasks of the key.
        ending: whether it is about to get its final answer, and no task is handed on.
        queued: how many of its tasks stand in the queue of waiting tasks.
        unfit_homes: homes whose workers are all too small for a task of the job.
        answer: the final answer, None while there is none.
        moved: whether another process decides on the key now.
        finished: set once there is an answer or the job has moved.

    Examples:
        >>> from camphorchute.contracts import TaskSpec
        >>> key = JobKey("k", ["north"])
        >>> job = Job(key, JobSpec(service="flags", tasks=[TaskSpec()]), b"", 1000.0)
        >>> job.hand(0, "a-1", "home")
        >>> job.end(0, "a-1", "done")
        True
        >>> job.answer.answers
        ['done']
    """

    __slots__ = (
        "key",
        "spec",
        "pool",
        "kept",
        "digest",
        "deadline_s",
        "tasks",
        "entry",
        "reach",
        "resumed",
        "ending",
        "queued",
        "unfit_homes",
        "answer",
        "moved",
        "finished",
        "_open_tasks",
    )

    def __init__(self, key: JobKey, spec: JobSpec, digest: bytes, remaining_ms: float) -> None:
        self.key = key
        self.spec = spec
        self.pool = pool_of(spec)
        self.kept = False
        self.digest = digest
        self.deadline_s = time.monotonic() + remaining_ms / 1000
        self.tasks = [Task() for _ in spec.tasks]
        self.entry: KeyEntry | None = None
        self.reach = Reach.OTHER_HOSTS
        self.resumed = False
        self.ending = False
        self.queued = 0
        self.unfit_homes: set[str] = set()
        self.answer: JobAnswer | None = None
        self.moved = False
        self.finished = Event()
        self._open_tasks = len(self.tasks)

    @property
    def remaining_ms(self) -> float:
        """Time to the deadline, negative after it."""
        return (self.deadline_s - time.monotonic()) * 1000

    @property
    def is_open(self) -> bool:
        """Whether the job has neither an answer nor moved."""
        return not self.finished.is_set()

    def hand(self, index: int, attempt: str, home_id: str) -> None:
        """Note that a task is handed to a home."""
        task = self.tasks[index]
        if task.state is not TaskState.WAITING:
            raise InvariantBroken(
                f"one_start_per_task: {self.key.text}/{index} is {task.state.value}"
            )
        task.state = TaskState.HANDED
        task.attempt = attempt
        task.home_id = home_id
        task.handed_s = time.monotonic()

    def take_back(self, index: int, attempt: str) -> bool:
        """Note that an attempt was proved not started; return whether it was the current one."""
        task = self.tasks[index]
        if task.state is not TaskState.HANDED or task.attempt != attempt:
            return False
        task.state = TaskState.WAITING
        task.attempt = ""
        task.home_id = ""
        return True

    def adopt(self, index: int, home_id: str) -> None:
        """Note that a home runs a task that an earlier owner handed to it."""
        task = self.tasks[index]
        if task.state is TaskState.WAITING:
            task.state = TaskState.HANDED
            task.home_id = home_id

    def end(self, index: int, attempt: str, answer: str) -> bool:
        """Take in a task's answer; return whether it was the first one for the attempt.

        Args:
            index: the task.
            attempt: id of the attempt; empty where an earlier owner handed it on.
            answer: the worker's answer.
        """
        task = self.tasks[index]
        if task.state is TaskState.ENDED or (attempt and attempt != task.attempt):
            return False
        task.state = TaskState.ENDED
        task.answer = answer
        self._open_tasks -= 1
        if self._open_tasks == 0:
            self.finish(JobAnswer(self.key.text, answers=[t.answer for t in self.tasks]))
        return True

    def fail(self, code: ResultCode, detail: str, retry_after_ms: int = 0) -> None:
        """End the job with a failure that lists the tasks which may have run."""
        maybe = [i for i, t in enumerate(self.tasks) if t.state is not TaskState.WAITING]
        self.finish(
            JobAnswer(
                self.key.text,
                int(code),
                detail=detail,
                retry_after_ms=retry_after_ms,
                tasks_maybe_run=maybe,
            )
        )

    def finish(self, answer: JobAnswer) -> None:
        """Give the job its final answer, unless it has one."""
        if self.answer is not None:
            return
        if answer.code == ResultCode.COMPLETE and len(answer.answers) != len(self.tasks):
            raise InvariantBroken(f"whole_answer: {self.key.text} has {len(answer.answers)}")
        self.answer = answer
        self.finished.set()

    def move(self) -> None:
        """Note that another process decides on the key now."""
        self.moved = True
        self.finished.set()

    def handed_to(self, home_id: str) -> list[int]:
        """Return the tasks that are handed to a home and have not ended."""
        return [
            index
            for index, task in enumerate(self.tasks)
            if task.state is TaskState.HANDED and task.home_id == home_id
        ]

    def waiting(self) -> list[int]:
        """Return the tasks that are not handed to a home."""
        return [i for i, task in enumerate(self.tasks) if task.state is TaskState.WAITING]

    def any_handed(self) -> bool:
        """Whether a task may have run."""
        return any(task.state is not TaskState.WAITING for task in self.tasks)

    def homes(self) -> set[str]:
        """Return the homes that hold tasks which have not ended."""
        return {t.home_id for t in self.tasks if t.state is TaskState.HANDED}
