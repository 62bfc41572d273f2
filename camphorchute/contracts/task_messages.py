"""Messages between the owner of a job and the schedulers of workers that cannot be fenced."""

import msgspec

from camphorchute.contracts.job import TaskOutcome, TaskSpec

__all__ = [
    "CancelTasks",
    "Demand",
    "DispatchedTask",
    "FindTasks",
    "FoundTasks",
    "Grant",
    "HandOff",
    "TasksEnded",
    "TasksReturned",
]


class DispatchedTask(msgspec.Struct, omit_defaults=True):
    """A task that is dispatched to a scheduler.

    Attributes:
        index: index of the task in its job.
        attempt: id of the attempt.
        spec: the task.
    """

    index: int
    attempt: str
    spec: TaskSpec


class HandOff(msgspec.Struct, tag="hand_off"):
    """Start command of an owner for tasks of a job, to a scheduler; one way.

    The scheduler reports each task later in :class:`TasksEnded` or :class:`TasksReturned`.

    Attributes:
        key: idempotency key of the job.
        shard: shard of the key.
        term: term of the shard under which the sender owns it.
        owner_id: member id of the sender.
        service: the service of the job.
        team: the team of the job.
        remaining_ms: time left until the deadline of the job, in milliseconds.
        granted: number of slots of an earlier grant that this message uses.
        tasks: the tasks.
    """

    key: str
    shard: int
    term: int
    owner_id: str
    service: str
    team: str
    remaining_ms: float
    granted: int
    tasks: list[DispatchedTask]


class TasksReturned(msgspec.Struct, tag="tasks_returned"):
    """Return of tasks that the scheduler has not started and will not start; one way.

    Attributes:
        key: idempotency key of the job.
        attempts: ids of the attempts.
        code: number of the result code that says why.
        detail: what went wrong, for people.
    """

    key: str
    attempts: list[str]
    code: int
    detail: str = ""


class TasksEnded(msgspec.Struct, tag="tasks_ended"):
    """Outcomes of tasks that have ended, from a scheduler to the owner; one way."""

    key: str
    outcomes: list[TaskOutcome]


class Demand(msgspec.Struct, tag="demand"):
    """Number of tasks of a service and team that are pending at an owner; one way.

    Attributes:
        service: name of the service.
        team: name of the team.
        waiting: number of pending tasks at the sender.
    """

    service: str
    team: str
    waiting: int


class Grant(msgspec.Struct, tag="grant"):
    """Reservation of slots for pending tasks of the receiving owner; one way.

    Attributes:
        service: name of the service.
        team: name of the team whose tasks the slots are for.
        slots: number of reserved slots.
    """

    service: str
    team: str
    slots: int


class CancelTasks(msgspec.Struct, tag="cancel_tasks"):
    """Stop command for a job: start no more of its tasks and stop the running ones; one way.

    Attributes:
        key: idempotency key of the job.
        term: term of the shard under which the sender owns it; 0 from an owner of an earlier
            version.
    """

    key: str
    term: int = 0


class FindTasks(msgspec.Struct, tag="find_tasks"):
    """Request the state of a job's tasks from a scheduler; the reply is :class:`FoundTasks`.

    From then on the scheduler reports the outcomes of tasks that still run to the sender.

    Attributes:
        key: idempotency key of the job.
        shard: shard of the key.
        term: term of the shard under which the sender owns it.
        owner_id: member id of the sender.
        service: the service of the job.
        attempts: ids of attempts that the sender dispatched and has received no report of; the
            scheduler never starts those that it does not know yet.
    """

    key: str
    shard: int
    term: int
    owner_id: str
    service: str
    attempts: list[str] = []


class FoundTasks(msgspec.Struct, tag="found_tasks"):
    """Tasks of a job that were dispatched to the sender.

    Attributes:
        key: idempotency key of the job.
        ended: outcomes of the tasks that have ended.
        running: indices of the tasks that may have been sent to a worker and have not ended.
        attempts: ids of the attempts of the running tasks, in their order; empty from a scheduler
            of an earlier version.
    """

    key: str
    ended: list[TaskOutcome]
    running: list[int]
    attempts: list[str] = []
