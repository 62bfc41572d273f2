"""A job under way at the process that answers for it."""

import time
from collections import Counter
from enum import Enum

from gevent.event import Event

from camphorchute.contracts.batch_job import BatchJob, BatchStep
from camphorchute.contracts.run_messages import KeeperTerm, TaskResult
from camphorchute.hosting import Queue

__all__ = ["JobOutcome", "JobRun", "TaskProgress", "TaskState"]

MS_PER_S = 1000.0


class TaskState(Enum):
    """What is known of a task."""

    UNKNOWN = "an earlier keeper may have handed it to a home"
    WAITING = "not handed to a home"
    HANDED = "handed to a home"
    MAY_RUN = "handed to a home that is lost"
    DONE = "done"


class JobOutcome(Enum):
    """How a job ended."""

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not run"
    LOST = "some tasks may have run"
    CANCELLED = "cancelled"
    DEPOSED = "another process answers for it now"


class TaskProgress:
    """A task of a job.

    Attributes:
        state: what is known of it.
        group: the worker group that it was handed to.
        home_id: the home that it was handed to.
        run: number that its next run has at least.
        worker_id: the worker that it may still run on, empty where it is not known.
    """

    __slots__ = ("state", "group", "home_id", "run", "worker_id")

    def __init__(self) -> None:
        self.state = TaskState.WAITING
        self.group = ""
        self.home_id = ""
        self.run = 1
        self.worker_id = ""


class JobRun:
    """A job with the progress of its tasks.

    This class is for a job that ends when its caller has gone; subclasses change what ends a job
    and what becomes of the ends of its tasks.

    Attributes:
        job: the job.
        queue: the queue that it came in by.
        step_limits: what the queue promises, shared out over the steps.
        started_s: when it came in.
        finish_by_s: when nobody waits for it any more.
        steps: progress of the tasks of each step.
        outcome: how it ended, None while it is under way.
        touched: whether a task of it was handed to a home that has room, so it may have started.
        refused: whether a home has handed back a task that it could not start in time.
        handed_back: how often homes have handed tasks back at once for want of room.
        changed: set when there is something to do.
        waiters: requests that wait for its end.
    """

    __slots__ = (
        "job",
        "queue",
        "step_limits",
        "started_s",
        "finish_by_s",
        "steps",
        "outcome",
        "touched",
        "refused",
        "handed_back",
        "changed",
        "ended",
        "waiters",
    )

    def __init__(self, job: BatchJob, queue: Queue, finish_by_s: float) -> None:
        self.job = job
        self.queue = queue
        self.step_limits = queue.limits.for_step_of(job)
        self.started_s = time.monotonic()
        self.finish_by_s = finish_by_s
        self.steps = [[TaskProgress() for _ in range(step.tasks)] for step in job.steps]
        self.outcome: JobOutcome | None = None
        self.touched = False
        self.refused = False
        self.handed_back = 0
        self.changed = Event()
        self.ended = Event()
        self.waiters = 0

    @property
    def term(self) -> KeeperTerm | None:
        """The term under which the job is kept, None for one that is not."""
        return None

    def start_within_ms(self, step: BatchStep, now_s: float, in_time: bool) -> float:
        """Return how long a task may wait at a home before it is handed back.

        Args:
            step: the step of the task.
            now_s: when it is handed to the home.
            in_time: whether it is of no use unless it starts within the job's aim.
        """
        finish_ms = (self.finish_by_s - now_s) * MS_PER_S
        if not in_time:
            return finish_ms
        waited_ms = (now_s - self.started_s) * MS_PER_S
        slack_ms = self.queue.limits.slack_ms(step.estimate_ms) - waited_ms
        return min(max(0.0, slack_ms), finish_ms)

    def may_hand_out(self) -> bool:
        """Whether tasks may be handed to homes now."""
        return True

    def verdict(self, now_s: float) -> JobOutcome | None:
        """Return how the job has ended, None while it goes on."""
        if self.is_done():
            return JobOutcome.DONE
        if self.refused and not self.any_started():
            return JobOutcome.NOT_RUN
        return JobOutcome.LOST if now_s >= self.finish_by_s else None

    def note_done(self, task: "TaskProgress", result: TaskResult) -> None:
        """Take note that a task is done."""
        task.state = TaskState.DONE

    def note_failed(self, task: "TaskProgress", result: TaskResult) -> JobOutcome | None:
        """Take note that a task has failed for good; return the outcome if the job has ended."""
        return JobOutcome.FAILED

    def note_not_found(self, task: "TaskProgress") -> None:
        """Take note that a task that may run is not known at its home."""
        task.state = TaskState.WAITING

    def failures(self, step: int, index: int) -> int:
        """Return how many runs of a task have failed before the present home had it."""
        return 0

    def any_started(self) -> bool:
        """Whether a task was started or may still be; waiting ones do not count."""
        if any(task.run > 1 for step in self.steps for task in step):
            return True
        states = {task.state for step in self.steps for task in step}
        return bool(states & {TaskState.DONE, TaskState.MAY_RUN, TaskState.HANDED})

    def find_task(self, step: int, index: int) -> TaskProgress | None:
        """Return a task, None where the job has no such task."""
        if not 0 <= step < len(self.steps) or not 0 <= index < len(self.steps[step]):
            return None
        return self.steps[step][index]

    def is_step_done(self, number: int) -> bool:
        """Whether every task of a step is done."""
        return all(task.state is TaskState.DONE for task in self.steps[number])

    def is_step_ready(self, number: int) -> bool:
        """Whether the steps that a step waits for are done."""
        return all(self.is_step_done(earlier) for earlier in self.job.steps[number].after)

    def is_done(self) -> bool:
        """Whether every task is done."""
        return all(self.is_step_done(number) for number in range(len(self.steps)))

    def states(self) -> dict[str, int]:
        """Return the number of tasks in each state."""
        return dict(Counter(task.state.name.lower() for step in self.steps for task in step))

    def open_homes(self) -> set[str]:
        """Return the homes that hold tasks of it."""
        return {
            task.home_id
            for step in self.steps
            for task in step
            if task.state in (TaskState.HANDED, TaskState.MAY_RUN)
        }
