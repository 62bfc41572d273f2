"""Typed messages between entry processes.

Each message is a tagged msgspec struct; :mod:`camphorchute.links.codec` encodes it as CBOR and
validates it on receipt. The answer to a request is the reply named in its docstring or
:class:`Refused`. A message that is marked as one way has no answer.
"""

import msgspec

from camphorchute.contracts.durable_job_messages import DurableJobMessage
from camphorchute.contracts.job import JobAnswer, JobSpec
from camphorchute.contracts.key_entries import DispatchRecord, KeyEntry, KeyOwner, Reach
from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import RunMessage
from camphorchute.contracts.start_messages import StartMessage
from camphorchute.contracts.task_messages import (
    CancelTasks,
    Demand,
    DispatchedTask,
    FindTasks,
    FoundTasks,
    Grant,
    HandOff,
    TasksEnded,
    TasksReturned,
)

__all__ = [
    "AskRecord",
    "AskStatus",
    "CancelJob",
    "CancelTasks",
    "ConfigRecords",
    "Demand",
    "DispatchRecord",
    "DispatchedTask",
    "Done",
    "Entries",
    "Fence",
    "FetchConfig",
    "FetchJob",
    "FindTasks",
    "FoundTasks",
    "Grant",
    "HandOff",
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
    "SubmitJob",
    "TasksEnded",
    "TasksReturned",
    "Welcome",
    "Witness",
]


class Hello(msgspec.Struct, tag="hello"):
    """First message of the process that opened a link; the reply is :class:`Welcome`.

    Attributes:
        member: the sender.
        zones: the availability zones that the sender is configured with.
    """

    member: Member
    zones: list[str]


class Welcome(msgspec.Struct, tag="welcome"):
    """Reply of the process that accepted a link.

    Attributes:
        member: the sender.
        sent_ms: time of sending by the sender's monotonic clock, which the first frame on the link
            echoes; 0 from a process of an older version.
    """

    member: Member
    sent_ms: int = 0


class SlotCount(msgspec.Struct):
    """Free slots and pending tasks of one service at one scheduler.

    Attributes:
        service: name of the service.
        free: number of free slots.
        waiting: number of tasks that owners have pending for the service.
        slots: number of all slots of the workers that answer, free or not.
    """

    service: str
    free: int
    waiting: int
    slots: int


class Heartbeat(msgspec.Struct, tag="heartbeat"):
    """Heartbeat of a process, sent at intervals on every link; one way.

    Attributes:
        record_version: version of the zone's ownership record that the sender knows.
        config_revision: highest configuration revision in force at the sender.
        config_age_ms: time since the sender last knew that this revision was the newest, in
            milliseconds; -1 if it never did.
        leaving: whether the sender accepts no new work.
        slots: slot counts of the sender's workers, by service; None if they have not changed
            since the last report on the link, and for a peer in another zone.
    """

    record_version: int
    config_revision: int
    config_age_ms: float = -1.0
    leaving: bool = False
    slots: list[SlotCount] | None = None


class SubmitJob(msgspec.Struct, tag="submit"):
    """Submit a job to the owner of its key; the reply is :class:`JobEnded`.

    Attributes:
        key: the idempotency key.
        spec: the job.
        remaining_ms: time left until the deadline of the job, in milliseconds.
    """

    key: str
    spec: JobSpec
    remaining_ms: float


class FetchJob(msgspec.Struct, tag="fetch"):
    """Wait for the answer to a job; the reply is :class:`JobEnded`, code 1 while the job runs.

    Attributes:
        key: the idempotency key.
        wait_ms: longest time to wait, in milliseconds.
    """

    key: str
    wait_ms: float


class CancelJob(msgspec.Struct, tag="cancel"):
    """Cancel a job; the reply is :class:`JobEnded`."""

    key: str


class JobEnded(msgspec.Struct, tag="job_ended"):
    """The answer to the job of a key."""

    answer: JobAnswer


class Witness(msgspec.Struct, tag="witness"):
    """Request of an owner to a witness to store accepted keys; the reply is :class:`Done`.

    Attributes:
        zone: availability zone of the shard.
        shard: shard of the keys.
        term: term of the shard under which the sender owns it.
        owner_id: member id of the sender.
        entries: the keys.
        gathered: whether the keys were accepted in earlier terms and recovered, so that none of
            them may be refused.
    """

    zone: str
    shard: int
    term: int
    owner_id: str
    entries: list[KeyEntry]
    gathered: bool = False


class Fence(msgspec.Struct, tag="fence"):
    """Request to refuse older terms of shards and to return their keys.

    The reply is :class:`Entries`.

    Attributes:
        zone: availability zone of the shards.
        record: the encoded ownership record with the new terms.
        shards: numbers of the shards.
    """

    zone: str
    record: bytes
    shards: list[int]


class Entries(msgspec.Struct, tag="entries"):
    """Unexpired keys that the sender holds for the shards of a :class:`Fence` request.

    Attributes:
        entries: all keys of the requested shards except those in ``left``.
        left: shards that did not fit into this reply; they are fenced too, and have to be requested
            again.
    """

    entries: list[KeyEntry]
    left: list[int] = []


class AskRecord(msgspec.Struct, tag="ask_record"):
    """Request the ownership record of a zone; the reply is :class:`RecordIs`."""

    zone: str


class RecordIs(msgspec.Struct, tag="record_is"):
    """The encoded ownership record of a zone; empty if the sender knows none."""

    record: bytes


class FetchConfig(msgspec.Struct, tag="fetch_config"):
    """Request the service records newer than a revision; the reply is :class:`ConfigRecords`."""

    after_revision: int


class ConfigRecords(msgspec.Struct, tag="config_records"):
    """Service records, each encoded as JSON.

    Attributes:
        records: the records.
        revision: highest configuration revision in force at the sender; -1 if it has none yet.
    """

    records: list[bytes]
    revision: int


class AskStatus(msgspec.Struct, tag="ask_status"):
    """Request the status of a process; the reply is :class:`StatusIs`."""


class PoolUse(msgspec.Struct):
    """Current use of one pool of back ends at one process.

    Attributes:
        pool: name of the service, or of the pool of its upstreams.
        running: number of running tasks by name of the back end, for the back ends that the
            process schedules.
        waiting: number of pending tasks at all owners, as far as the process knows.
        team_tasks: number of tasks that have not ended by team, for the jobs that the process owns.
    """

    pool: str
    running: dict[str, int] = {}
    waiting: int = 0
    team_tasks: dict[str, int] = {}


class StatusIs(msgspec.Struct, tag="status_is"):
    """Status of a process, as operators read it.

    Attributes:
        member: the process.
        ready: whether the process knows the configuration and the record of its zone.
        leaving: whether the process accepts no new work.
        config_revision: highest configuration revision in force at the process.
        config_age_ms: time since the process last knew that this revision was the newest, in
            milliseconds; -1 if it never did.
        record_version: version of the zone's ownership record that the process knows.
        owned_shards: number of shards that the process owns.
        members: ids of the members in the zone's ownership record.
        pools: use of the pools of back ends.
    """

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
    """Reply to a request that took effect."""


class Refused(msgspec.Struct, tag="refused"):
    """Reply to a request that was refused.

    Attributes:
        code: number of the result code.
        detail: what went wrong, for people.
        retry_after_ms: time after which the sender of the request should retry, 0 if a retry makes
            no sense.
        record: the encoded ownership record of the refusing process if the code is ``STALE_TERM``.
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
    | StartMessage
    | DurableJobMessage
)
