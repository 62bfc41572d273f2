"""The stored record of a service: its definition, who confirmed it, and its former states."""

import msgspec

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.stored_values import decode_json
from camphorchute.services.definition import VALUE_MAX_BYTES, ServiceDefinition

__all__ = [
    "SERVICES_PREFIX",
    "HISTORY_MAX_ENTRIES",
    "HISTORY_DEFINITIONS_MAX_BYTES",
    "DEFINITION_MAX_BYTES",
    "HistoryEntry",
    "ServiceRecord",
    "decode_from_peer",
    "encode_for_peer",
    "encode_record",
    "next_record",
    "decode_record",
    "service_key",
]

SERVICES_PREFIX = "/camphorchute/services/"
HISTORY_MAX_ENTRIES = 100
HISTORY_DEFINITIONS_MAX_BYTES = 32 * 1024
HISTORY_RESERVED_BYTES = 48 * 1024
DEFINITION_MAX_BYTES = VALUE_MAX_BYTES - HISTORY_RESERVED_BYTES


class HistoryEntry(msgspec.Struct, omit_defaults=True, frozen=True):
    """A state of a service in its history.

    Attributes:
        revision: the store's modification revision of that state.
        plan_id: id of the confirmed plan; empty if the state was written without a plan.
        operator: operator who confirmed the plan.
        confirmed_unix_ms: Unix time of the confirm in milliseconds.
        definition: the definition; None if the service was removed or the entry is folded.
        folded: whether the definition was omitted to limit the size of the stored value.
    """

    revision: int
    plan_id: str = ""
    operator: str = ""
    confirmed_unix_ms: int = 0
    definition: ServiceDefinition | None = None
    folded: bool = False


class ServiceRecord(msgspec.Struct, omit_defaults=True):
    """The state of a service at one revision, with its former states.

    Attributes:
        name: name of the service.
        revision: the store's modification revision; 0 in a stored value.
        definition: the definition; None if the service is removed.
        plan_id: id of the confirmed plan; empty if the state was written without a plan.
        operator: operator who confirmed the plan.
        confirmed_unix_ms: Unix time of the confirm in milliseconds.
        history: former states, newest first.
        entries_dropped: number of former states dropped from the history.
    """

    name: str
    revision: int = 0
    definition: ServiceDefinition | None = None
    plan_id: str = ""
    operator: str = ""
    confirmed_unix_ms: int = 0
    history: list[HistoryEntry] = []
    entries_dropped: int = 0

    def to_history_entry(self) -> HistoryEntry:
        """Return the current state as a history entry."""
        return HistoryEntry(
            self.revision, self.plan_id, self.operator, self.confirmed_unix_ms, self.definition
        )

    def all_entries(self) -> list[HistoryEntry]:
        """Return the current state and the former ones, newest first.

        Examples:
            >>> [entry.revision for entry in ServiceRecord("flags", revision=7).all_entries()]
            [7]
        """
        return [self.to_history_entry(), *self.history]

    def find_entry_by_plan(self, plan_id: str) -> HistoryEntry | None:
        """Return the state that a plan was confirmed as, or None if no entry has that plan id."""
        return next((entry for entry in self.all_entries() if entry.plan_id == plan_id), None)

    def find_entry_by_revision(self, revision: int) -> HistoryEntry | None:
        """Return the state of a revision, or None if no entry has that revision."""
        return next((entry for entry in self.all_entries() if entry.revision == revision), None)


def service_key(name: str) -> str:
    """Return the key of a service's record in the store.

    Examples:
        >>> service_key("flags")
        '/camphorchute/services/flags'
    """
    return SERVICES_PREFIX + name


def encode_record(record: ServiceRecord) -> bytes:
    """Encode a record for the store, without the revision because the store assigns it."""
    return msgspec.json.encode(msgspec.structs.replace(record, revision=0))


def decode_record(key: str, value: bytes | None, mod_revision: int) -> ServiceRecord:
    """Decode a stored value to a service record.

    Args:
        key: key of the value in the store.
        value: the stored value; None for a deleted key, which means a removed service.
        mod_revision: the store's modification revision of the key.

    Raises:
        Refusal: ``INTERNAL`` if the value is not a record of this key's service.
    """
    name = key.removeprefix(SERVICES_PREFIX)
    if value is None:
        return ServiceRecord(name, mod_revision)
    try:
        record = decode_json(value, ServiceRecord)
    except ValueError as error:
        raise Refusal(
            ResultCode.INTERNAL, f"cannot decode the service record at {key}: {error}"
        ) from error
    if record.name != name:
        raise Refusal(ResultCode.INTERNAL, f"service record at {key} has the name {record.name!r}")
    return msgspec.structs.replace(record, revision=mod_revision)


def encode_for_peer(record: ServiceRecord) -> bytes:
    """Encode a record with its revision, to send it to another entry process."""
    return msgspec.json.encode(record)


def decode_from_peer(body: bytes) -> ServiceRecord:
    """Decode a record that another entry process sent.

    Raises:
        Refusal: ``MALFORMED_MESSAGE`` if the body is not a service record.

    Examples:
        >>> decode_from_peer(encode_for_peer(ServiceRecord("flags", revision=7))).revision
        7
    """
    try:
        return decode_json(body, ServiceRecord)
    except ValueError as error:
        raise Refusal(
            ResultCode.MALFORMED_MESSAGE, f"cannot decode the service record of a peer: {error}"
        ) from error


def next_record(
    base: ServiceRecord,
    definition: ServiceDefinition | None,
    plan_id: str,
    operator: str,
    confirmed_unix_ms: int,
) -> ServiceRecord:
    """Return the record that replaces a base record when a plan is confirmed.

    The oldest entries are dropped beyond ``HISTORY_MAX_ENTRIES``, and older definitions are
    omitted to keep the encoded record within ``VALUE_MAX_BYTES``.

    Args:
        base: the record in force; its revision is 0 if the service was never stored.
        definition: the new definition; None removes the service.
        plan_id: id of the confirmed plan.
        operator: operator who confirms the plan.
        confirmed_unix_ms: Unix time of the confirm in milliseconds.
    """
    former_entries = base.all_entries() if base.revision else []
    record = ServiceRecord(
        name=base.name,
        definition=definition,
        plan_id=plan_id,
        operator=operator,
        confirmed_unix_ms=confirmed_unix_ms,
        entries_dropped=base.entries_dropped + max(0, len(former_entries) - HISTORY_MAX_ENTRIES),
    )
    free_bytes = VALUE_MAX_BYTES - HISTORY_RESERVED_BYTES - len(msgspec.json.encode(record))
    remaining_bytes = min(HISTORY_DEFINITIONS_MAX_BYTES, free_bytes)
    record.history = _fold_entries(former_entries[:HISTORY_MAX_ENTRIES], remaining_bytes)
    return record


def _fold_entries(entries: list[HistoryEntry], remaining_bytes: int) -> list[HistoryEntry]:
    """Omit every definition from the first one on that exceeds the remaining bytes."""
    folded_entries = []
    for entry in entries:
        remaining_bytes -= len(msgspec.json.encode(entry.definition))
        if remaining_bytes < 0 and entry.definition is not None:
            entry = msgspec.structs.replace(entry, definition=None, folded=True)
        folded_entries.append(entry)
    return folded_entries
