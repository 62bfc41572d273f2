"""Messages about durable jobs, which are stored in the platform's store and have a shard owner."""

import msgspec

from camphorchute.contracts.run_messages import RunPlace, ShardTerm, TaskResultKind

__all__ = [
    "AskKeptJob",
    "AskKeptTasks",
    "DurableJobMessage",
    "EndsSaved",
    "KeptJobIs",
    "KeptJobWritten",
    "KeptTasksAre",
    "ReportedTask",
    "SavedCompletion",
]


class AskKeptTasks(msgspec.Struct, tag="ask_kept_tasks"):
    """Request of a new shard owner for the tasks of the shard at a scheduler.

    The reply is :class:`KeptTasksAre`. From then on the scheduler refuses the commands of earlier
    owners of the shard.

    Attributes:
        shard: number of the shard of durable jobs.
        term: store revision of the owner's claim; a later owner has a higher one.
    """

    shard: int
    term: int


class ReportedTask(msgspec.Struct, array_like=True):
    """A task that may run, or whose completion is not acknowledged to its worker.

    Attributes:
        task: name of the task at the workers.
        group: name of the worker group.
        run: number of the run; for a pending task, of its next run.
        worker_id: the worker, empty while the task is pending at the scheduler.
        end: outcome of the run, None while it may still be active.
        place: where an active or lost run is or was, otherwise None.
    """

    task: str
    group: str
    run: int
    worker_id: str
    end: TaskResultKind | None = None
    place: RunPlace | None = None


class KeptTasksAre(msgspec.Struct, tag="kept_tasks_are"):
    """The reply to :class:`AskKeptTasks`.

    A scheduler also sends it unasked, with the completions that it has retained for a while and
    without workers; the shard owner answers with :class:`EndsSaved` as far as they are saved. A
    process of an earlier version ignores such a message.

    Attributes:
        workers: ids of the workers all of whose runs are known to the scheduler.
        tasks: the tasks of the shard at the scheduler and its workers.
    """

    workers: list[str]
    tasks: list[ReportedTask]


class SavedCompletion(msgspec.Struct, array_like=True):
    """A completion that is saved in the store.

    Attributes:
        task: name of the task at the workers.
        run: number of the run.
    """

    task: str
    run: int


class EndsSaved(msgspec.Struct, tag="ends_saved"):
    """Completions that the shard owner has saved, so schedulers may acknowledge them; one way.

    Attributes:
        ends: the completions.
        released: term of a shard that the sender owns no more, so that the tasks that it dispatched
            under this term or an earlier one have no owner; None if there is none. A field here and
            no message of its own, which earlier versions would close the link for.
    """

    ends: list[SavedCompletion]
    released: ShardTerm | None = None


class AskKeptJob(msgspec.Struct, tag="ask_kept_job"):
    """Request the state of a durable job from its shard owner; the reply is :class:`KeptJobIs`."""

    job_id: str


class KeptJobIs(msgspec.Struct, tag="kept_job_is"):
    """The state of a durable job, empty if the receiver of the request does not know the job."""

    state: str = ""


class KeptJobWritten(msgspec.Struct, tag="kept_job_written"):
    """Notifies the shard owner of a write to a job record, ahead of its watch; one way.

    Attributes:
        job_id: the job.
        revision: store revision of the write.
        value: the job record that was written.
    """

    job_id: str
    revision: int
    value: bytes


DurableJobMessage = (
    AskKeptTasks | KeptTasksAre | EndsSaved | AskKeptJob | KeptJobIs | KeptJobWritten
)
