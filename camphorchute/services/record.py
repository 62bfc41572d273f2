"""The stored record of a service: its definition, who confirmed it, and its history."""

import msgspec

from camphorchute.contracts import Refusal, ResultCode
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
    "read_record",
    "service_key",
]

SERVICES_PREFIX = "/camphorchute/services/"
HISTORY_MAX_ENTRIES = 100
HISTORY_DEFINITIONS_MAX_BYTES = 32 * 1024
HISTORY_RESERVED_BYTES = 48 * 1024
DEFINITION_MAX_BYTES = VALUE_MAX_BYTES - HISTORY_RESERVED_BYTES


class HistoryEntry(msgspec.Struct, omit_defaults=True, frozen=True):
    """A former state of a service.

    Attributes:
        revision: the store's revision of that state.
        plan_id: the plan that was confirmed.
        operator: who confirmed it.
        confirmed_unix_ms: when it was confirmed.
        definition: the definition; None where the service was removed or the entry is folded.
        folded: whether the definition was left out to bound the size of the value.
    """

    revision: int
    plan_id: str = ""
    operator: str = ""
    confirmed_unix_ms: int = 0
    definition: ServiceDefinition | None = None
    folded: bool = False


class ServiceRecord(msgspec.Struct, omit_defaults=True):
    """The state of a service at one revision.

    Attributes:
        name: name of the service.
        revision: the store's modification revision; 0 inside a stored value.
        definition: the definition; None where the service is removed.
        plan_id: the plan that was confirmed.
        operator: who confirmed it.
        confirmed_unix_ms: when it was confirmed.
        history: former states, the newest first.
        entries_dropped: number of former states that the history no longer holds.
    """

    name: str
    revision: int = 0
    definition: ServiceDefinition | None = None
    plan_id: str = ""
    operator: str = ""
    confirmed_unix_ms: int = 0
    history: list[HistoryEntry] = []
    entries_dropped: int = 0

    def entry(self) -> HistoryEntry:
        """Return this state as an entry of the history."""
        return HistoryEntry(
            self.revision, self.plan_id, self.operator, self.confirmed_unix_ms, self.definition
        )

    def entries(self) -> list[HistoryEntry]:
        """Return this state and the former ones, the newest first.

        Examples:
            >>> [entry.revision for entry in ServiceRecord("flags", revision=7).entries()]
            [7]
        """
        return [self.entry(), *self.history]

    def find_plan(self, plan_id: str) -> HistoryEntry | None:
        """Return the state that a plan brought about, if the record still tells."""
        return next((entry for entry in self.entries() if entry.plan_id == plan_id), None)

    def find_revision(self, revision: int) -> HistoryEntry | None:
        """Return the state of a revision, if the record still tells."""
        return next((entry for entry in self.entries() if entry.revision == revision), None)


def service_key(name: str) -> str:
    """Return the store's key of a service.

    Examples:
        >>> service_key("flags")
        '/camphorchute/services/flags'
    """
    return SERVICES_PREFIX + name


def encode_record(record: ServiceRecord) -> bytes:
    """Return the value to store; the revision is left out because the store assigns it."""
    return msgspec.json.encode(msgspec.structs.replace(record, revision=0))


def read_record(key: str, value: bytes | None, mod_revision: int) -> ServiceRecord:
    """Return the record of a stored value; a value of None reads as a removed service.

    Raises:
        Refusal: ``INTERNAL`` where the value is not a record of this key.
    """
    name = key.removeprefix(SERVICES_PREFIX)
    if value is None:
        return ServiceRecord(name, mod_revision)
    try:
        record = msgspec.json.decode(value, type=ServiceRecord)
    except msgspec.DecodeError as error:
        raise Refusal(ResultCode.INTERNAL, f"record at {key}: {error}") from error
    if record.name != name:
        raise Refusal(ResultCode.INTERNAL, f"record at {key}: its name is {record.name!r}")
    return msgspec.structs.replace(record, revision=mod_revision)


def encode_for_peer(record: ServiceRecord) -> bytes:
    """Return the record with its revision, as entry processes send it to each other."""
    return msgspec.json.encode(record)


def decode_from_peer(body: bytes) -> ServiceRecord:
    """Return the record that a peer sent.

    Raises:
        Refusal: ``MALFORMED_MESSAGE`` where it is not a record.

    Examples:
        >>> decode_from_peer(encode_for_peer(ServiceRecord("flags", revision=7))).revision
        7
    """
    try:
        return msgspec.json.decode(body, type=ServiceRecord)
    except msgspec.DecodeError as error:
        raise Refusal(ResultCode.MALFORMED_MESSAGE, f"service record: {error}") from error


def next_record(
    base: ServiceRecord,
    definition: ServiceDefinition | None,
    plan_id: str,
    operator: str,
    confirmed_unix_ms: int,
) -> ServiceRecord:
    """Return the record that follows a base when a plan is confirmed.

    Args:
        base: the record in force; of revision 0 where the service was never stored.
        definition: the new definition; None removes the service.
        plan_id: the confirmed plan.
        operator: who confirms it.
        confirmed_unix_ms: when it is confirmed.
    """
    former = base.entries() if base.revision else []
    record = ServiceRecord(
        name=base.name,
        definition=definition,
        plan_id=plan_id,
        operator=operator,
        confirmed_unix_ms=confirmed_unix_ms,
        entries_dropped=base.entries_dropped + max(0, len(former) - HISTORY_MAX_ENTRIES),
    )
    free_bytes = VALUE_MAX_BYTES - HISTORY_RESERVED_BYTES - len(msgspec.json.encode(record))
    room_bytes = min(HISTORY_DEFINITIONS_MAX_BYTES, free_bytes)
    record.history = _fold(former[:HISTORY_MAX_ENTRIES], room_bytes)
    return record


def _fold(entries: list[HistoryEntry], room_bytes: int) -> list[HistoryEntry]:
    """Return the entries, without definitions from where these would fill the room."""
    kept = []
    for entry in entries:
        room_bytes -= len(msgspec.json.encode(entry.definition))
        if room_bytes < 0 and entry.definition is not None:
            entry = msgspec.structs.replace(entry, definition=None, folded=True)
        kept.append(entry)
    return kept
