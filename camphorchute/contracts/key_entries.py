"""Accepted keys, as the ledgers of owners and witnesses hold them."""

from enum import IntEnum

import msgspec

__all__ = ["DispatchRecord", "KeyEntry", "KeyOwner", "Reach"]


class Reach(IntEnum):
    """The schedulers that an owner may dispatch tasks to.

    ``OTHER_HOSTS`` allows only processes on other entry VMs, ``OTHER_PROCESSES`` all but the owner
    itself.
    """

    OTHER_HOSTS = 0
    OTHER_PROCESSES = 1
    ANY = 2


class KeyOwner(msgspec.Struct, frozen=True):
    """An owner that may have dispatched tasks of a key.

    Attributes:
        member_id: member id of the owner.
        host: the entry VM that the owner runs on.
        reach: the schedulers that it may have dispatched tasks to.
        period: number that the owner gives to each period in which it runs the job, from 1; 0 from
            an owner of an earlier version.
    """

    member_id: str
    host: str
    reach: Reach
    period: int = 0


class DispatchRecord(msgspec.Struct, frozen=True):
    """What an owner knew of a job's tasks when it stopped to run the job.

    A task that is not listed was not started by a scheduler for any of the owners, nor will be.

    Attributes:
        owners: the owners whose dispatches the record comprises; each has stopped to run the job.
        dispatched: indices of the tasks that may have been started, by scheduler.
    """

    owners: list[KeyOwner]
    dispatched: dict[str, list[int]]


class KeyEntry(msgspec.Struct, omit_defaults=True):
    """An accepted key, as the ledgers of owners and witnesses hold it.

    Attributes:
        key: the idempotency key.
        shard: shard of the key.
        digest: digest of the submission; empty if two different submissions of the key are known.
        expires_unix_ms: time after which the entry may be dropped, in milliseconds since 1970.
        owners: every owner that may have dispatched tasks of the key.
        local: indices of the tasks that an owner may have dispatched to a scheduler beyond its
            reach, such as itself, and that were not returned.
        local_term: term in which ``local`` was changed last; 0 from an owner of an earlier version.
        local_change: number of changes of ``local``.
        uncertain: whether later acknowledgements of the key may have been lost.
        record: what is known of the tasks that some of the owners dispatched, None if nothing is.
    """

    key: str
    shard: int
    digest: bytes
    expires_unix_ms: int
    owners: list[KeyOwner] = []
    local: list[int] = []
    local_term: int = 0
    local_change: int = 0
    uncertain: bool = False
    record: DispatchRecord | None = None
