"""The services in force at this process."""

import time
from collections.abc import Callable, Iterable

from eliot import log_message

from camphorchute.contracts import InvariantBroken
from camphorchute.services.definition import ServiceDefinition
from camphorchute.services.record import ServiceRecord

__all__ = ["Catalogue"]

Listener = Callable[[ServiceRecord], None]


class Catalogue:
    """The services in force at this process, each at the highest revision learnt.

    Records must come from a complete source (a listing, a watch or a peer that learnt a state)
    and in rising order of revision, which `apply_all` sees to. Then `revision` tells that
    every change up to it is known here, and peers can send each other only what came later.

    Args:
        clock: seconds on a clock that does not jump.

    Examples:
        >>> catalogue = Catalogue()
        >>> catalogue.apply(ServiceRecord("flags", revision=5))
        True
        >>> catalogue.apply(ServiceRecord("flags", revision=4))
        False
        >>> catalogue.revision
        5
        >>> catalogue.ready
        False
    """

    __slots__ = ("_clock", "_heard_at_s", "_listeners", "_records", "_revision", "_ready")

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._heard_at_s: float | None = None
        self._listeners: list[Listener] = []
        self._records: dict[str, ServiceRecord] = {}
        self._revision = 0
        self._ready = False

    @property
    def revision(self) -> int:
        """The highest revision applied."""
        return self._revision

    @property
    def ready(self) -> bool:
        """Whether one whole state was learnt, an empty one included."""
        return self._ready

    @property
    def age_ms(self) -> float | None:
        """Time since this state was last known to be the store's; None before the first."""
        if self._heard_at_s is None:
            return None
        return (self._clock() - self._heard_at_s) * 1000.0

    def get(self, name: str) -> ServiceRecord | None:
        """Return the record of a service; its definition is None where it is removed."""
        return self._records.get(name)

    def definition(self, name: str) -> ServiceDefinition | None:
        """Return the definition in force of a service, None where there is none."""
        record = self._records.get(name)
        return record.definition if record else None

    def records(self) -> list[ServiceRecord]:
        """Return every record, removed services included, lowest revision first."""
        return self.records_after(0)

    def names(self) -> list[str]:
        """Return the names of the services in force, sorted."""
        return sorted(name for name, record in self._records.items() if record.definition)

    def records_after(self, revision: int) -> list[ServiceRecord]:
        """Return the records of a higher revision, removed services included, lowest first."""
        later = (record for record in self._records.values() if record.revision > revision)
        return sorted(later, key=lambda record: record.revision)

    def add_listener(self, listener: Listener) -> None:
        """Call a function with each record applied from now on; it must not block."""
        self._listeners.append(listener)

    def apply(self, record: ServiceRecord) -> bool:
        """Put a record in force, unless one of the same or a higher revision is.

        Returns:
            Whether the record was put in force.
        """
        return self.apply_all([record]) == 1

    def apply_all(self, records: Iterable[ServiceRecord]) -> int:
        """Put records in force, lowest revision first, and then call the listeners.

        Returns:
            How many were put in force; the others were known or outdated.
        """
        applied = []
        for record in sorted(records, key=lambda record: record.revision):
            current = self._records.get(record.name)
            if current is None or record.revision > current.revision:
                self._replace(current, record)
                applied.append(record)
        for record in applied:
            self._notify(record)
        return len(applied)

    def learnt(self) -> None:
        """Note that a whole state was learnt: this process is ready."""
        self._ready = True

    def heard(self, age_ms: float = 0.0) -> None:
        """Note that this whole state was the store's some time ago; makes it ready."""
        self.learnt()
        heard_at_s = self._clock() - age_ms / 1000.0
        if self._heard_at_s is None or heard_at_s > self._heard_at_s:
            self._heard_at_s = heard_at_s

    def _replace(self, current: ServiceRecord | None, record: ServiceRecord) -> None:
        _assert_revision_rises(current, record)
        self._records[record.name] = record
        self._revision = max(self._revision, record.revision)

    def _notify(self, record: ServiceRecord) -> None:
        for listener in self._listeners:
            try:
                listener(record)
            except Exception as error:
                log_message(
                    message_type="services:listener",
                    text=f"services: a listener failed on {record.name}",
                    error=repr(error),
                )


def _assert_revision_rises(current: ServiceRecord | None, record: ServiceRecord) -> None:
    """Invariant ``services.revision_rises``: the revision in force of a service only rises."""
    in_force = current.revision if current else 0
    if record.revision <= in_force:
        raise InvariantBroken(
            f"services.revision_rises: {record.name} from {in_force} to {record.revision}"
        )
