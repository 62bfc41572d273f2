"""Messages about the runs of batch jobs and about queues, between entry processes.

The owner of a job sends commands to the schedulers of worker groups, which report the results and
their free capacity. The frequent messages are encoded as arrays, without the names of their fields:
a new field goes to the end and has a default.
"""

from enum import IntEnum

import msgspec

from camphorchute.contracts.batch_job import QueueLimits
from camphorchute.contracts.resources import Resources

__all__ = [
    "FetchQueues",
    "GroupChange",
    "GroupFreeCapacity",
    "MemberBeat",
    "QueuesPart",
    "RoomReport",
    "RunMessage",
    "RunPlace",
    "ShardTerm",
    "StartTasks",
    "StopTasks",
    "TaskBinding",
    "TaskPlace",
    "TaskResult",
    "TaskResultKind",
    "TaskToStart",
    "TasksBound",
    "TasksFinished",
    "TasksPlaced",
    "WithdrawTasks",
    "WorkerFreeCapacity",
    "ZoneEvacuation",
]


class TaskResultKind(IntEnum):
    """Outcome of a task at the scheduler that it was dispatched to.

    ``MAY_RUN`` says that a run may still be active, ``NO_ROOM`` that the group has no free
    capacity, and ``NOT_FOUND`` that no completion of an earlier run of a durable task was found.
    ``WORKER_LOST`` says that a run has ended with its worker, which may have crashed under it.
    """

    DONE = 0
    FAILED = 1
    NOT_STARTED = 2
    MAY_RUN = 3
    NO_ROOM = 4
    NOT_FOUND = 5
    WORKER_LOST = 6


class RunPlace(msgspec.Struct, array_like=True, frozen=True):
    """Where a run was.

    Attributes:
        worker_id: id of the worker, empty if it is not known.
        incarnation: incarnation of the worker.
        address: ``IP:port`` of the worker.
        run: number of the run.
        was_alone: whether no other run was active on the worker at the same time.
        was_acknowledged: whether that incarnation of the worker has said that it has the run; it
            may have crashed before the start command arrived otherwise.
        is_cleared: whether that incarnation is known not to have crashed under the run, which was
            lost for another reason.
    """

    worker_id: str
    incarnation: int
    address: str
    run: int
    was_alone: bool = False
    was_acknowledged: bool = False
    is_cleared: bool = False


class TaskToStart(msgspec.Struct, array_like=True):
    """One task of a start command.

    Attributes:
        index: number of the task within its step.
        run: lowest number that the next run of the task may have.
        failures: number of runs of the task that have failed so far.
        may_run: whether an earlier run may still be active in the group.
        worker_id: the worker of that run, empty if it is not known.
        dispatch: number of the dispatch at the owner, which the result repeats; 0 if it has none.
        lost_runs: number of runs of the task that were lost with their workers.
        last_place: where that run is, or the last lost one was; None if it is not known.
        bound_ms: for how long, in milliseconds from the sending of the message, a start command
            without an answer may still reach ``worker_id``; the task may not be started on another
            worker meanwhile.
    """

    index: int
    run: int
    failures: int = 0
    may_run: bool = False
    worker_id: str = ""
    dispatch: int = 0
    lost_runs: int = 0
    last_place: RunPlace | None = None
    bound_ms: float = 0.0


class ShardTerm(msgspec.Struct, array_like=True):
    """The term of the owner of a shard of durable jobs.

    Attributes:
        shard: number of the shard.
        number: store revision of the owner's claim; a later owner has a higher one.
    """

    shard: int
    number: int


class StartTasks(msgspec.Struct, tag="start_tasks", array_like=True):
    """Start command of a job's owner for tasks of one step, to the scheduler of a group; one way.

    Attributes:
        group: name of the worker group.
        job_id: the job.
        step: number of the step.
        payload: text that each task is started with.
        demand: resources that each task needs.
        estimate_ms: expected run time of a task on a worker of speed 1.0, in milliseconds.
        kind: kind of work; tasks of one kind have comparable run times.
        limits: priority, attempts and target times of the queue.
        start_within_ms: time after which a task that is still pending is returned.
        finish_within_ms: time after which nobody waits for the job any more.
        tasks: the tasks to start.
        hand_back_full: whether tasks that do not fit into the free capacity are returned
            immediately instead of waiting.
        term: term of the shard owner if the job is durable, otherwise None.
        in_time_within_ms: time within which the tasks must start for their job to meet its target
            time; negative if it cannot any more.
        has_job_started: whether other tasks of the job were started or are dispatched to free
            capacity.
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
    tasks: list[TaskToStart]
    hand_back_full: bool = False
    term: ShardTerm | None = None
    in_time_within_ms: float = 0.0
    has_job_started: bool = False


class StopTasks(msgspec.Struct, tag="stop_tasks", array_like=True):
    """Stop command of a job's owner for all tasks of the job; one way.

    Attributes:
        job_id: the job.
        term: term of the shard owner if the job is durable, otherwise None.
    """

    job_id: str
    term: ShardTerm | None = None


class WithdrawTasks(msgspec.Struct, tag="withdraw_tasks"):
    """Request of a job's owner to return the tasks that no start command was sent for; one way.

    The scheduler returns them as ``NOT_STARTED`` and answers with the number of those that it has
    started, in :class:`TasksFinished`.

    Attributes:
        job_id: the job.
        dispatch: number of the owner's last dispatch of the job to the scheduler; this one and
            earlier ones are not started any more, also if they arrive later.
    """

    job_id: str
    dispatch: int


class TaskResult(msgspec.Struct, array_like=True):
    """The result of one task.

    Attributes:
        step: number of the step.
        index: number of the task within its step.
        run: number of the last run of the task; if there was none, one less than its first run
            would have had.
        end: outcome of the task.
        worker_id: the worker that the task may still run on, empty if there is none.
        group: the group that this worker belongs to now, empty if it has not changed.
        dispatch: number of the dispatch that the result is for, 0 if it had none.
        waited_ms: time from the arrival of the task at the scheduler to the start command of its
            last run, or to its return without one; None if it is not known.
        run_ms: time from that start command to the end as observed at the scheduler, without the
            time for which the scheduler itself was late, 0 without a run; None if it is not known.
        failures: number of runs of the task that have failed so far.
        place: where the run of a ``MAY_RUN`` or ``WORKER_LOST`` task is or was; None if it is not
            known.
        bound_ms: for how long, in milliseconds from the sending of the message, a start command
            without an answer may still reach ``worker_id``; the task may not be started on another
            worker meanwhile.
    """

    step: int
    index: int
    run: int
    end: TaskResultKind
    worker_id: str = ""
    group: str = ""
    dispatch: int = 0
    waited_ms: float | None = None
    run_ms: float | None = None
    failures: int = 0
    place: RunPlace | None = None
    bound_ms: float = 0.0


class TasksFinished(msgspec.Struct, tag="tasks_finished", array_like=True):
    """Results of tasks of one job, from a scheduler to the owner of the job; one way.

    Attributes:
        job_id: the job.
        results: the results.
        started_tasks: in the answer to :class:`WithdrawTasks`, the number of open tasks of the job
            that the scheduler has started; otherwise None.
    """

    job_id: str
    results: list[TaskResult]
    started_tasks: int | None = None


class TaskPlace(msgspec.Struct, array_like=True):
    """Where the scheduler of a task is about to start it.

    Attributes:
        step: number of the step.
        index: number of the task within its step.
        dispatch: number of the dispatch that the task is started for.
        place: where the run will be.
    """

    step: int
    index: int
    dispatch: int
    place: RunPlace


class TasksPlaced(msgspec.Struct, tag="tasks_placed", array_like=True):
    """Where tasks of one job are about to start, from a scheduler to the owner of the job; one way.

    It is sent before the start commands, so that the owner knows where a run may be active if the
    scheduler is lost.

    Attributes:
        job_id: the job.
        tasks: the tasks.
    """

    job_id: str
    tasks: list[TaskPlace]


class TaskBinding(msgspec.Struct, array_like=True):
    """A task that may start on one worker only, as commands without an answer may reach it.

    They are start commands, or such that extend the lease of a stopped run.

    Attributes:
        task: name of the task.
        worker_id: the worker.
        run: number of the run.
        bound_ms: for how long the run may start or go on there, in milliseconds from the sending
            of the message.
    """

    task: str
    worker_id: str
    run: int
    bound_ms: float


class TasksBound(msgspec.Struct, tag="tasks_bound", array_like=True):
    """Tasks of ended jobs that may be sent again, from a scheduler to all members; one way.

    A scheduler starts them on the named workers only.

    Attributes:
        tasks: the tasks.
    """

    tasks: list[TaskBinding]


class WorkerFreeCapacity(msgspec.Struct, array_like=True):
    """Free capacity of a worker.

    Attributes:
        free: the free resources.
        speed: speed of the worker; at 1.0 tasks take as long as declared.
    """

    free: Resources
    speed: float


class GroupFreeCapacity(msgspec.Struct, array_like=True):
    """Free capacity and backlog of one worker group at its scheduler.

    Attributes:
        group: name of the worker group.
        service: the service that the workers belong to.
        capacity: total resources of all workers, free or not.
        waiting_core_ms: work of the pending tasks that can still be in time in core-milliseconds,
            by priority of their queue.
        workers: the free capacity of each worker.
        oldest_wait_ms: for how long the oldest of the pending tasks that can still be in time has
            waited, by priority of their queue.
        late_wait_ms: expected time until a task starts that is late already, in milliseconds.
        largest: the most of each resource that a single worker has, free or not; None if the
            sender does not say.
        fence: fencing token of the scheduler's claim; 0 if the sender does not say.
    """

    group: str
    service: str
    capacity: Resources
    waiting_core_ms: dict[int, float]
    workers: list[WorkerFreeCapacity]
    oldest_wait_ms: dict[int, float] = {}
    late_wait_ms: float = 0.0
    largest: Resources | None = None
    fence: int = 0

    def can_ever_hold(self, demand: Resources) -> bool:
        """Whether a task with a demand fits on a worker that has no other."""
        return (self.largest or self.capacity).can_hold(demand)


class GroupChange(msgspec.Struct, array_like=True):
    """What has changed in one worker group since the last report of its scheduler.

    Attributes:
        group: name of the worker group.
        waiting_core_ms: as in a complete report.
        oldest_wait_ms: as in a complete report.
        late_wait_ms: as in a complete report.
        workers: the free capacity of the workers that have changed, by their index in the last
            complete report.
    """

    group: str
    waiting_core_ms: dict[int, float]
    oldest_wait_ms: dict[int, float]
    late_wait_ms: float
    workers: dict[int, WorkerFreeCapacity] = {}


class RoomReport(msgspec.Struct, tag="room_report", array_like=True):
    """Free-capacity report of a scheduler to the members that follow its groups; one way.

    Attributes:
        groups: all groups of the scheduler in a complete report, none in one of changes.
        number: number of the report at its sender; it rises by one with each.
        changes: one change for each group, which applies to the report with the number before;
            empty in a complete report.
    """

    groups: list[GroupFreeCapacity]
    number: int = 0
    changes: list[GroupChange] = []


class ZoneEvacuation(msgspec.Struct, array_like=True, frozen=True):
    """Last known state of one availability zone.

    Attributes:
        zone: name of the zone.
        revision: store revision of the change that led to this state.
        is_evacuated: whether operators have evacuated the zone.
    """

    zone: str
    revision: int
    is_evacuated: bool


class MemberBeat(msgspec.Struct, tag="member_beat", array_like=True):
    """Heartbeat of a member, sent at intervals on every link; one way.

    Attributes:
        queues_version: version of the queue configuration in force at the sender, 0 if none is.
        evacuations: what the sender knows of evacuated zones, at most one entry for each zone.
        evacuations_revision: store revision up to which the sender knows all evacuations, so that
            a zone without an entry is not evacuated; 0 if it has not read the operators' keys.
        wants_answer: whether the receiver answers at once with a heartbeat, which proves that it is
            running.
        reports_ms: for how long the sender wants the receiver's free-capacity reports though it
            does not follow its groups, in milliseconds; a field here and no message of its own,
            which earlier versions would close the link for.
    """

    queues_version: int
    evacuations: list[ZoneEvacuation] = []
    evacuations_revision: int = 0
    wants_answer: bool = False
    reports_ms: float = 0.0


class FetchQueues(msgspec.Struct, tag="fetch_queues"):
    """Request a part of the queue configuration in force; the reply is :class:`QueuesPart`.

    Attributes:
        version: version of the configuration that the earlier parts are of, 0 before the first.
        offset: number of bytes that were received of it.
    """

    version: int = 0
    offset: int = 0


class QueuesPart(msgspec.Struct, tag="queues_part"):
    """A part of the queue configuration in force, compressed with zlib.

    Attributes:
        version: version of the configuration, 0 if none is known.
        size_bytes: size of the whole compressed configuration.
        offset: number of bytes before this part; 0 if the requested version is not in force.
        data: the bytes of this part.
    """

    version: int
    size_bytes: int
    offset: int = 0
    data: bytes = b""


RunMessage = (
    StartTasks
    | StopTasks
    | WithdrawTasks
    | TasksFinished
    | TasksPlaced
    | TasksBound
    | RoomReport
    | MemberBeat
    | FetchQueues
    | QueuesPart
)
