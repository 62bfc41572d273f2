"""Typed messages between entry processes.

Each message is a tagged msgspec struct; :mod:`camphorchute.links.codec` carries them as CBOR and
checks them on receipt. A request is answered by the reply named in its docstring or by
:class:`Refused`.
"""

from enum import IntEnum

import msgspec

from camphorchute.contracts.job import JobAnswer, JobSpec, TaskOutcome, TaskSpec
from camphorchute.contracts.kept_messages import KeptMessage
from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import RunMessage

__all__ = [
    "AskRecord",
    "CancelJob",
    "CancelTasks",
    "ConfigRecords",
    "Demand",
    "Done",
    "Entries",
    "Fence",
    "FetchJob",
    "FetchConfig",
    "FindTasks",
    "FoundTasks",
    "Grant",
    "HandOff",
    "HandedTask",
    "Heartbeat",
    "Hello",
    "JobEnded",
    "KeyEntry",
    "KeyOwner",
    "Message",
    "PoolUse",
    "Reach",
    "RecordIs",
    "Refused",
    "SlotCount",
    "StatusIs",
    "AskStatus",
    "SubmitJob",
    "TasksEnded",
    "TasksReturned",
    "Welcome",
    "Witness",
]


class Hello(msgspec.Struct, tag="hello"):
    """First message of the process that opened a link; the reply is :class:`Welcome`."""

    member: Member
    zones: list[str]


class Welcome(msgspec.Struct, tag="welcome"):
    """The receiver of a link says who it is."""

    member: Member


class SlotCount(msgspec.Struct):
    """Free slots and waiting tasks of one service at one home."""

    service: str
    free: int
    waiting: int
    slots: int


class Heartbeat(msgspec.Struct, tag="heartbeat"):
    """Sent on every link at the heartbeat interval, one way.

    Attributes:
        record_version: version of the zone's ownership record that the sender knows.
        config_revision: highest configuration revision in force at the sender.
        config_age_ms: how long ago the sender last knew that to be the newest; -1 if never.
        leaving: whether the sender takes no new work.
        slots: free slots at the sender's workers; None where they are as last told on the link.
    """

    record_version: int
    config_revision: int
    config_age_ms: float = -1.0
    leaving: bool = False
    slots: list[SlotCount] | None = None


class Reach(IntEnum):
    """To which home entry processes an owner may hand tasks."""

    OTHER_HOSTS = 0
    OTHER_PROCESSES = 1
    ANY = 2


class KeyOwner(msgspec.Struct, frozen=True):
    """An owner that may have handed on tasks of a key.

    Attributes:
        member_id: the owner.
        host: the VM that it runs on.
        reach: to which homes it may have handed tasks.
    """

    member_id: str
    host: str
    reach: Reach


class KeyEntry(msgspec.Struct, omit_defaults=True):
    """An accepted key as ledgers and witnesses hold it.

    Attributes:
        key: the idempotency key.
        shard: its shard.
        digest: tells its body from another; empty where two bodies are known.
        expires_unix_ms: when it may be forgotten.
        owners: every owner that may have handed on tasks of the key.
        local: tasks that an owner may have handed to a home beyond its reach, such as itself.
        uncertain: whether later acknowledgements of the key may have been lost.
    """

    key: str
    shard: int
    digest: bytes
    expires_unix_ms: int
    owners: list[KeyOwner] = []
    local: list[int] = []
    uncertain: bool = False


class SubmitJob(msgspec.Struct, tag="submit"):
    """Submit a job to the owner of its key; the reply is :class:`JobEnded`."""

    key: str
    spec: JobSpec
    remaining_ms: float


class FetchJob(msgspec.Struct, tag="fetch"):
    """Wait for the answer to a key; the reply is :class:`JobEnded`, code 1 while it runs."""

    key: str
    wait_ms: float


class CancelJob(msgspec.Struct, tag="cancel"):
    """Cancel a job; the reply is :class:`JobEnded`."""

    key: str


class JobEnded(msgspec.Struct, tag="job_ended"):
    """The answer to a key."""

    answer: JobAnswer


class Witness(msgspec.Struct, tag="witness"):
    """Hold these accepted keys; the reply is :class:`Done`.

    Attributes:
        gathered: whether the keys were accepted in earlier terms, and none may be refused.
    """

    zone: str
    shard: int
    term: int
    owner_id: str
    entries: list[KeyEntry]
    gathered: bool = False


class Fence(msgspec.Struct, tag="fence"):
    """Refuse older terms of these shards and tell what is held; the reply is :class:`Entries`.

    Attributes:
        record: the ownership record, encoded, that gives the new terms.
    """

    zone: str
    record: bytes
    shards: list[int]


class Entries(msgspec.Struct, tag="entries"):
    """Unexpired keys that the sender holds for the shards it was asked for.

    Attributes:
        entries: all keys of the shards that are told.
        left: shards that are fenced too, to be asked for again.
    """

    entries: list[KeyEntry]
    left: list[int] = []


class AskRecord(msgspec.Struct, tag="ask_record"):
    """Ask for a zone's ownership record; the reply is :class:`RecordIs`."""

    zone: str


class RecordIs(msgspec.Struct, tag="record_is"):
    """A zone's ownership record, encoded; empty where the sender knows none."""

    record: bytes


class HandedTask(msgspec.Struct, omit_defaults=True):
    """A task handed to a home entry process to be started."""

    index: int
    attempt: str
    spec: TaskSpec


class HandOff(msgspec.Struct, tag="hand_off"):
    """Start these tasks; one way, ended by :class:`TasksEnded` and :class:`TasksReturned`.

    Attributes:
        key: the job.
        shard: the key's shard.
        term: term of the shard under which the sender owns it.
        owner_id: the sender.
        granted: slots of an earlier grant that this message uses up.
        remaining_ms: time to the job's deadline.
    """

    key: str
    shard: int
    term: int
    owner_id: str
    service: str
    team: str
    remaining_ms: float
    granted: int
    tasks: list[HandedTask]


class TasksReturned(msgspec.Struct, tag="tasks_returned"):
    """These tasks were not started and will not be; one way."""

    key: str
    attempts: list[str]
    code: int
    detail: str = ""


class TasksEnded(msgspec.Struct, tag="tasks_ended"):
    """These tasks have ended; one way."""

    key: str
    outcomes: list[TaskOutcome]


class Demand(msgspec.Struct, tag="demand"):
    """So many tasks of a service and team wait at the sender; one way."""

    service: str
    team: str
    waiting: int


class Grant(msgspec.Struct, tag="grant"):
    """So many slots are kept for the receiver's waiting tasks; one way."""

    service: str
    team: str
    slots: int


class CancelTasks(msgspec.Struct, tag="cancel_tasks"):
    """Start no more tasks of a job and stop those that run; one way."""

    key: str


class FindTasks(msgspec.Struct, tag="find_tasks"):
    """Ask a home what became of a job's tasks; the reply is :class:`FoundTasks`.

    Answers of tasks that still run go to the sender from then on.

    Attributes:
        attempts: attempts that the sender handed on and has heard nothing of; those that the
            home does not know yet will never start.
    """

    key: str
    shard: int
    term: int
    owner_id: str
    service: str
    attempts: list[str] = []


class FoundTasks(msgspec.Struct, tag="found_tasks"):
    """Tasks of a job that the sender was handed.

    Attributes:
        ended: outcomes of the tasks that have ended.
        running: indices of tasks that may have been sent to a worker and have not ended.
    """

    key: str
    ended: list[TaskOutcome]
    running: list[int]


class FetchConfig(msgspec.Struct, tag="fetch_config"):
    """Ask for service records over a revision; the reply is :class:`ConfigRecords`."""

    after_revision: int


class ConfigRecords(msgspec.Struct, tag="config_records"):
    """Service records, each encoded as JSON."""

    records: list[bytes]
    revision: int


class AskStatus(msgspec.Struct, tag="ask_status"):
    """Ask a process for its status; the reply is :class:`StatusIs`."""


class PoolUse(msgspec.Struct):
    """Present use of one pool of back ends at one process.

    Attributes:
        pool: name of the service, or of its upstreams.
        running: tasks that run, for each back end's name of which the process is home.
        waiting: tasks that wait at all owners, as the process knows it.
        team_tasks: tasks that have not ended, for each team, of the jobs that the process owns.
    """

    pool: str
    running: dict[str, int] = {}
    waiting: int = 0
    team_tasks: dict[str, int] = {}


class StatusIs(msgspec.Struct, tag="status_is"):
    """Status of a process, as operators read it."""

    member: Member
    ready: bool
    leaving: bool
    config_revision: int
    config_age_ms: float
    record_version: int
    owned_shards: int
    members: list[str]
    pools: list[PoolUse] = []


class Done(msgspec.Struct, tag="done"):
    """The request took effect."""


class Refused(msgspec.Struct, tag="refused"):
    """The request was refused.

    Attributes:
        code: number of the result code.
        record: the sender's ownership record, encoded, where the code is ``STALE_TERM``.
    """

    code: int
    detail: str = ""
    retry_after_ms: int = 0
    record: bytes = b""


Message = (
    Hello
    | Welcome
    | Heartbeat
    | SubmitJob
    | FetchJob
    | CancelJob
    | JobEnded
    | Witness
    | Fence
    | Entries
    | AskRecord
    | RecordIs
    | HandOff
    | TasksReturned
    | TasksEnded
    | Demand
    | Grant
    | CancelTasks
    | FindTasks
    | FoundTasks
    | FetchConfig
    | ConfigRecords
    | AskStatus
    | StatusIs
    | Done
    | Refused
    | RunMessage
    | KeptMessage
)
