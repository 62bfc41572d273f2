"""Tasks that wait at a home, and their runs on workers."""

from enum import Enum

import xxhash

from camphorchute.contracts.run_messages import StartTasks, TaskOrder

__all__ = ["SHARDS", "Run", "RunState", "WaitingTask", "job_of", "shard_of", "task_name"]

SHARDS = 32


class RunState(Enum):
    """What is known of a run."""

    ORDERED = "the order is under way"
    RUNNING = "the worker has acknowledged it"
    UNKNOWN = "the answer to the order was lost"


def task_name(job_id: str, step: int, index: int) -> str:
    """Return the name that workers know a task by.

    Examples:
        >>> task_name("5c0e7a21d94b36f8", 1, 17)
        '5c0e7a21d94b36f8.0.1.17'
    """
    return f"{job_id}.0.{step}.{index}"


def job_of(task: str) -> str:
    """Return the job of a task by the task's name.

    Examples:
        >>> job_of("5c0e7a21d94b36f8.0.1.17")
        '5c0e7a21d94b36f8'
    """
    return task.partition(".")[0]


def shard_of(job_id: str) -> int:
    """Return the shard of kept jobs that a job belongs to.

    Examples:
        >>> 0 <= shard_of("5c0e7a21d94b36f8") < SHARDS
        True
    """
    return xxhash.xxh32_intdigest(job_id.encode()) % SHARDS


class WaitingTask:
    """A task at the home that it was handed to.

    Attributes:
        owner_id: the process that answers for its job.
        message: the message that brought it.
        index: its number within the step.
        next_run: number of its next run.
        failures: runs that ended by a fault.
        may_run: whether an earlier run may be under way on a worker not heard of yet.
        worker_id: the worker of that run, empty where it is not known.
        arrived_s: when it was handed over.
        start_by_s: when it is handed back if it has not started.
        finish_by_s: when nobody waits for it any more.
        stopped: whether its owner has no more use for it.
        started: whether any run of it was ordered here.
        arrival: order of arrival.
        avoid: worker that it failed on last.
        orphaned: whether the link to its owner was lost.
    """

    __slots__ = (
        "owner_id",
        "message",
        "index",
        "name",
        "next_run",
        "failures",
        "may_run",
        "worker_id",
        "arrived_s",
        "start_by_s",
        "finish_by_s",
        "stopped",
        "started",
        "arrival",
        "avoid",
        "orphaned",
    )

    def __init__(
        self, owner_id: str, message: StartTasks, order: TaskOrder, now_s: float, arrival: int
    ) -> None:
        self.owner_id = owner_id
        self.message = message
        self.index = order.index
        self.name = task_name(message.job_id, message.step, order.index)
        self.next_run = order.run
        self.failures = order.failures
        self.may_run = order.may_run
        self.worker_id = order.worker_id
        self.arrived_s = now_s
        self.start_by_s = now_s + message.start_within_ms / 1000
        self.finish_by_s = now_s + message.finish_within_ms / 1000
        self.stopped = False
        self.started = False
        self.arrival = arrival
        self.avoid = ""
        self.orphaned = False

    @property
    def is_kept(self) -> bool:
        """Whether its ends must be saved before the worker may forget them."""
        return self.message.term is not None

    @property
    def order(self) -> tuple[int, int]:
        """Sort key: priority of the queue, then arrival."""
        return (self.message.limits.priority, self.arrival)


class Run:
    """A run of a task on a worker.

    Attributes:
        task: the task.
        number: number of the run.
        state: what is known of it.
        ordered_s: when the order was sent.
        acknowledged_s: when the worker's answer to it came.
        stopping: whether a stop was ordered.
    """

    __slots__ = ("task", "number", "state", "ordered_s", "acknowledged_s", "stopping")

    def __init__(self, task: WaitingTask, number: int, ordered_s: float) -> None:
        self.task = task
        self.number = number
        self.state = RunState.ORDERED
        self.ordered_s = ordered_s
        self.acknowledged_s = 0.0
        self.stopping = False
