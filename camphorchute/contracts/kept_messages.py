"""Messages about jobs that are kept in the platform's store."""

import msgspec

from camphorchute.contracts.run_messages import TaskEnd

__all__ = [
    "AskKeptJob",
    "EndsSaved",
    "AskKeptTasks",
    "FoundTask",
    "KeptJobIs",
    "KeptJobWritten",
    "KeptMessage",
    "SavedEnd",
    "KeptTasksAre",
]


class AskKeptTasks(msgspec.Struct, tag="ask_kept_tasks"):
    """A new keeper of a shard asks a home for what it knows of the shard's jobs.

    The home refuses orders of earlier keepers of the shard from then on.

    Attributes:
        shard: the shard of kept jobs.
        term: revision of the keeper's claim; a later keeper has a higher one.
    """

    shard: int
    term: int


class FoundTask(msgspec.Struct, array_like=True):
    """A task that may run or has an end that is not acknowledged to its worker.

    Attributes:
        task: name that workers know the task by.
        group: the worker group.
        run: number of the run.
        worker_id: the worker, empty while the task waits at the home.
        end: how the run ended, None while it may go on.
    """

    task: str
    group: str
    run: int
    worker_id: str
    end: TaskEnd | None = None


class KeptTasksAre(msgspec.Struct, tag="kept_tasks_are"):
    """The reply to :class:`AskKeptTasks`.

    Attributes:
        workers: workers of which every run is known.
        tasks: the tasks of the shard there.
    """

    workers: list[str]
    tasks: list[FoundTask]


class SavedEnd(msgspec.Struct, array_like=True):
    """An end that the store has."""

    task: str
    run: int


class EndsSaved(msgspec.Struct, tag="ends_saved"):
    """The keeper has saved ends; the home may acknowledge them to its workers, one way."""

    ends: list[SavedEnd]


class AskKeptJob(msgspec.Struct, tag="ask_kept_job"):
    """Ask the keeper for the state of a job; the reply is :class:`KeptJobIs`."""

    job_id: str


class KeptJobIs(msgspec.Struct, tag="kept_job_is"):
    """The state of a kept job, empty where the process asked does not know it."""

    state: str = ""


class KeptJobWritten(msgspec.Struct, tag="kept_job_written"):
    """Tells the keeper of a write before the store does, one way.

    Attributes:
        job_id: the job.
        revision: revision of the write.
        value: what was written.
    """

    job_id: str
    revision: int
    value: bytes


KeptMessage = AskKeptTasks | KeptTasksAre | EndsSaved | AskKeptJob | KeptJobIs | KeptJobWritten
