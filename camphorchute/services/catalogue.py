"""The service records in force at this process."""

import time
from collections.abc import Callable, Iterable

from eliot import log_message

from camphorchute.contracts import InvariantBroken
from camphorchute.services.definition import ServiceDefinition
from camphorchute.services.record import ServiceRecord

__all__ = ["Catalogue"]

Listener = Callable[[ServiceRecord], None]


class Catalogue:
    """The service records in force at this process, each at the highest revision received.

    Records must come from a complete source (a listing, a watch or a ready peer) and be applied
    in ascending order of revision, as `apply_records` does. Then every change up to `revision` is
    known here, and peers need to send each other only the records after it.

    Args:
        clock: returns monotonic time in seconds.

    Examples:
        >>> catalogue = Catalogue()
        >>> catalogue.apply_record(ServiceRecord("flags", revision=5))
        True
        >>> catalogue.apply_record(ServiceRecord("flags", revision=4))
        False
        >>> catalogue.revision
        5
        >>> catalogue.ready
        False
    """

    __slots__ = ("_clock", "_current_at_s", "_listeners", "_records", "_revision", "_ready")

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._current_at_s: float | None = None
        self._listeners: list[Listener] = []
        self._records: dict[str, ServiceRecord] = {}
        self._revision = 0
        self._ready = False

    @property
    def revision(self) -> int:
        """The highest revision applied; 0 before the first."""
        return self._revision

    @property
    def ready(self) -> bool:
        """Whether a complete state was received; it may be empty."""
        return self._ready

    @property
    def age_ms(self) -> float | None:
        """Milliseconds since this state was last known to match the store; None if it never was."""
        if self._current_at_s is None:
            return None
        return (self._clock() - self._current_at_s) * 1000.0

    def get_record(self, name: str) -> ServiceRecord | None:
        """Return the record of a service, or None; its definition is None if it was removed."""
        return self._records.get(name)

    def get_definition(self, name: str) -> ServiceDefinition | None:
        """Return the definition in force of a service, or None if there is none."""
        record = self._records.get(name)
        return record.definition if record else None

    def list_records(self) -> list[ServiceRecord]:
        """Return all records in ascending order of revision, removed services included."""
        return self.records_after(0)

    def list_names(self) -> list[str]:
        """Return the sorted names of the services that are not removed."""
        return sorted(name for name, record in self._records.items() if record.definition)

    def records_after(self, revision: int) -> list[ServiceRecord]:
        """Return the records after a revision in ascending order, removed services included."""
        later = (record for record in self._records.values() if record.revision > revision)
        return sorted(later, key=lambda record: record.revision)

    def add_listener(self, listener: Listener) -> None:
        """Register a function to call with each applied record; it must not block."""
        self._listeners.append(listener)

    def apply_record(self, record: ServiceRecord) -> bool:
        """Put a record in force unless the record in force has the same or a higher revision.

        Returns:
            Whether the record was put in force.
        """
        return self.apply_records([record]) == 1

    def apply_records(self, records: Iterable[ServiceRecord]) -> int:
        """Put records in force in ascending order of revision, then call the listeners.

        Returns:
            The number of records put in force; the others were known or outdated.
        """
        applied = []
        for record in sorted(records, key=lambda record: record.revision):
            current = self._records.get(record.name)
            if current is None or record.revision > current.revision:
                self._replace_record(current, record)
                applied.append(record)
        for record in applied:
            self._notify_listeners(record)
        return len(applied)

    def mark_ready(self) -> None:
        """Record that a complete state was received, which makes this process ready."""
        self._ready = True

    def mark_current(self, age_ms: float = 0.0) -> None:
        """Record that the complete state matched the store some time ago, and mark it as ready.

        Args:
            age_ms: how long ago it matched the store, in milliseconds.
        """
        self.mark_ready()
        current_at_s = self._clock() - age_ms / 1000.0
        if self._current_at_s is None or current_at_s > self._current_at_s:
            self._current_at_s = current_at_s

    def _replace_record(self, current: ServiceRecord | None, record: ServiceRecord) -> None:
        _assert_revision_rises(current, record)
        self._records[record.name] = record
        self._revision = max(self._revision, record.revision)

    def _notify_listeners(self, record: ServiceRecord) -> None:
        for listener in self._listeners:
            try:
                listener(record)
            except Exception as error:
                log_message(
                    message_type="services:listener",
                    text=f"services: a listener failed on the record of service {record.name}",
                    error=repr(error),
                )


def _assert_revision_rises(current: ServiceRecord | None, record: ServiceRecord) -> None:
    """Check the invariant ``services.revision_rises``: a service's revision in force only rises."""
    in_force = current.revision if current else 0
    if record.revision <= in_force:
        raise InvariantBroken(
            f"services.revision_rises: {record.name} from {in_force} to {record.revision}"
        )
