"""Answers to operators: the confirmation of a plan and the history of a service."""

import msgspec

from camphorchute.services.record import HistoryEntry

__all__ = ["Confirmation", "ServiceHistory"]


class Confirmation(msgspec.Struct):
    """The answer to a confirmed plan.

    Attributes:
        plan_id: id of the plan.
        service: name of the service.
        revision: the store's modification revision of the change.
        operator: operator who confirmed the plan.
        confirmed_unix_ms: Unix time of the confirm in milliseconds.
        repeated: whether an earlier call had already confirmed the plan.
    """

    plan_id: str
    service: str
    revision: int
    operator: str
    confirmed_unix_ms: int
    repeated: bool = False


class ServiceHistory(msgspec.Struct):
    """The states of a service, newest first.

    Attributes:
        service: name of the service.
        entries: the state in force and the former ones.
        entries_dropped: number of former states dropped from the history.
        from_store: whether the store was read; otherwise the states are the last ones known
            to this process.
        age_ms: age of these states in milliseconds; 0 if read from the store, -1 if unknown.
    """

    service: str
    entries: list[HistoryEntry]
    entries_dropped: int
    from_store: bool
    age_ms: float
