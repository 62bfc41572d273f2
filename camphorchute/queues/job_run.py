"""A job under way at the process that answers for it."""

import time
from collections import Counter
from enum import Enum

from gevent.event import Event

from camphorchute.contracts.batch_job import BatchJob
from camphorchute.hosting import Queue

__all__ = ["JobOutcome", "JobRun", "TaskProgress", "TaskState"]


class TaskState(Enum):
    """What is known of a task."""

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

    Attributes:
        job: the job.
        queue: the queue that it came in by.
        started_s: when it came in.
        finish_by_s: when nobody waits for it any more.
        steps: progress of the tasks of each step.
        outcome: how it ended, None while it is under way.
        touched: whether a task of it may have been started.
        refused: whether a home has handed back a task that it could not start in time.
        handed_back: how often homes have handed tasks back at once for want of room.
        changed: set when there is something to do.
        waiters: requests that wait for its end.
    """

    __slots__ = (
        "job",
        "queue",
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
