"""What operators are told of confirmed plans and of a service's history."""

import msgspec

from camphorchute.services.record import HistoryEntry

__all__ = ["Confirmation", "ServiceHistory"]


class Confirmation(msgspec.Struct):
    """A plan is confirmed.

    Attributes:
        plan_id: the plan.
        service: name of the service.
        revision: the store's revision of the change.
        operator: who confirmed it.
        confirmed_unix_ms: when it was confirmed.
        repeated: whether an earlier call had confirmed it.
    """

    plan_id: str
    service: str
    revision: int
    operator: str
    confirmed_unix_ms: int
    repeated: bool = False


class ServiceHistory(msgspec.Struct):
    """The states of a service, the newest first.

    Attributes:
        service: name of the service.
        entries: the state in force and the former ones.
        entries_dropped: former states that are no longer held.
        from_store: whether the store was read; otherwise this is what the process last knew.
        age_ms: how old that knowledge is, milliseconds; 0 from the store, -1 if not known.
    """

    service: str
    entries: list[HistoryEntry]
    entries_dropped: int
    from_store: bool
    age_ms: float
