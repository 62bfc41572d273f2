"""Messages between the entry process that answers for a job and the homes of worker groups."""

from enum import IntEnum

import msgspec

from camphorchute.contracts.batch_job import QueueLimits
from camphorchute.contracts.resources import Resources

__all__ = [
    "FetchQueues",
    "GroupRoom",
    "KeeperTerm",
    "MemberBeat",
    "QueuesAre",
    "RoomReport",
    "RunMessage",
    "StartTasks",
    "StopTasks",
    "TaskEnd",
    "TaskOrder",
    "TaskResult",
    "TasksFinished",
    "WorkerRoom",
]


class TaskEnd(IntEnum):
    """How a task ended at the home that it was handed to."""

    DONE = 0
    FAILED = 1
    NOT_STARTED = 2
    MAY_RUN = 3
    NO_ROOM = 4
    NOT_FOUND = 5


class TaskOrder(msgspec.Struct, array_like=True):
    """One task that is to be started.

    Attributes:
        index: its number within the step.
        run: number that its next run has at least.
        failures: runs of it that ended by a fault so far.
        may_run: whether an earlier run may still be under way in the group.
        worker_id: the worker of that run, empty where it is not known.
    """

    index: int
    run: int
    failures: int = 0
    may_run: bool = False
    worker_id: str = ""


class KeeperTerm(msgspec.Struct, array_like=True):
    """The term of the keeper of a shard of kept jobs.

    Attributes:
        shard: the shard.
        number: revision of the keeper's claim; a later keeper has a higher one.
    """

    shard: int
    number: int


class StartTasks(msgspec.Struct, tag="start_tasks"):
    """An owner hands tasks of one step to the home of a worker group, one way.

    Attributes:
        group: the group.
        job_id: the job.
        step: number of the step.
        payload: what each task is started with.
        demand: what each task needs.
        estimate_ms: expected run time on a worker of normal speed.
        kind: tasks of one kind have comparable run times.
        limits: what the queue promises.
        start_within_ms: time after which a task that waits is handed back.
        finish_within_ms: time after which nobody waits for the job any more.
        tasks: the tasks.
        hand_back_full: whether a task that there is no room for now is handed back at once.
        term: the keeper's term for a job that is kept, None for one that is not.
    """

    group: str
    job_id: str
    step: int
    payload: str
    demand: Resources
    estimate_ms: float
    kind: str
    limits: QueueLimits
    start_within_ms: float
    finish_within_ms: float
    tasks: list[TaskOrder]
    hand_back_full: bool = False
    term: KeeperTerm | None = None


class StopTasks(msgspec.Struct, tag="stop_tasks"):
    """The owner has no more use for any task of a job, one way.

    Attributes:
        job_id: the job.
        term: the keeper's term for a job that is kept.
    """

    job_id: str
    term: KeeperTerm | None = None


class TaskResult(msgspec.Struct, array_like=True):
    """The end of one task.

    Attributes:
        step: number of the step.
        index: number of the task.
        run: number of its last run; one below that of its first run if there was none.
        end: how it ended.
        worker_id: the worker that it may still run on, empty where there is none.
        group: the group that this worker belongs to now, empty where it has not changed.
    """

    step: int
    index: int
    run: int
    end: TaskEnd
    worker_id: str = ""
    group: str = ""


class TasksFinished(msgspec.Struct, tag="tasks_finished"):
    """Tasks of one job have ended at a home, one way to its owner."""

    job_id: str
    results: list[TaskResult]


class WorkerRoom(msgspec.Struct, array_like=True):
    """Free resources of a worker.

    Attributes:
        free: what is free.
        speed: its speed, where 1.0 is that of the declared run times.
    """

    free: Resources
    speed: float


class GroupRoom(msgspec.Struct, array_like=True):
    """What a home has to give in one worker group.

    Attributes:
        group: the group.
        service: the service that its workers belong to.
        capacity: resources of all workers together, free or not.
        waiting_core_ms: work that waits, in core-milliseconds, by the priority of its queue.
        workers: the free room of each worker.
    """

    group: str
    service: str
    capacity: Resources
    waiting_core_ms: dict[int, float]
    workers: list[WorkerRoom]


class RoomReport(msgspec.Struct, tag="room_report"):
    """A home tells its free room to those who follow its groups, one way."""

    groups: list[GroupRoom]


class MemberBeat(msgspec.Struct, tag="member_beat"):
    """Sent at intervals on every link, one way.

    Attributes:
        queues_version: version of the queues that the sender has in force.
    """

    queues_version: int


class FetchQueues(msgspec.Struct, tag="fetch_queues"):
    """Ask for the queues in force; the reply is :class:`QueuesAre`."""


class QueuesAre(msgspec.Struct, tag="queues_are"):
    """The queues in force, as the platform gave them; empty where none are known."""

    source: bytes = b""


RunMessage = (
    StartTasks | StopTasks | TasksFinished | RoomReport | MemberBeat | FetchQueues | QueuesAre
)
