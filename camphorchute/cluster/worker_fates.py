"""What became of workers that stopped answering, by their entries in service discovery."""

import time
from enum import Enum

from camphorchute.contracts.run_messages import RunPlace
from camphorchute.hosting import WorkerEntry

__all__ = ["WorkerFate", "WorkerFates"]

DRAINED_KEPT = 10_000


class WorkerFate(Enum):
    """What is known of a worker that had stopped answering; the values are written to logs."""

    UNKNOWN = "not heard of since"
    ALIVE = "the same incarnation was heard again"
    CRASHED = "another incarnation has taken its address"
    LEFT = "it was draining before another incarnation took its address"


class WorkerFates:
    """Tells workers that crashed from workers that were only cut off for a while.

    Examples:
        >>> from camphorchute.contracts.resources import Resources
        >>> fates = WorkerFates()
        >>> place = RunPlace("w1", 100, "10.0.0.1:80", 1)
        >>> since_s = time.monotonic()
        >>> fates.fate_of(place, since_s)
        <WorkerFate.UNKNOWN: 'not heard of since'>
        >>> later = WorkerEntry("w2", 105, "10.0.0.1:80", "flags", "north", Resources(1))
        >>> fates.record(later, 7)
        >>> fates.fate_of(place, since_s)
        <WorkerFate.CRASHED: 'another incarnation has taken its address'>
    """

    __slots__ = ("_latest_by_address", "_heartbeats", "_drained")

    def __init__(self) -> None:
        self._drained: dict[tuple[int, str], None] = {}
        self._latest_by_address: dict[str, tuple[int, str]] = {}
        self._heartbeats: dict[str, _Heartbeat] = {}

    def record(self, entry: WorkerEntry, revision: int) -> None:
        """Record the entry of a worker as it was listed or written.

        Args:
            entry: the entry.
            revision: store revision of its last write.
        """
        if entry.is_draining:
            self._record_draining(entry)
        latest = self._latest_by_address.get(entry.address)
        if latest is None or entry.incarnation >= latest[0]:
            self._latest_by_address[entry.address] = (entry.incarnation, entry.worker_id)
        known = self._heartbeats.get(entry.worker_id)
        if known is None or known.revision < revision:
            self._heartbeats[entry.worker_id] = _Heartbeat(entry.incarnation, revision)

    def forget(self, entry: WorkerEntry) -> None:
        """Forget a worker that service discovery no longer lists.

        Args:
            entry: its last entry.
        """
        self._heartbeats.pop(entry.worker_id, None)
        if self._latest_by_address.get(entry.address) == (entry.incarnation, entry.worker_id):
            del self._latest_by_address[entry.address]

    def fate_of(self, place: RunPlace, since_s: float) -> WorkerFate:
        """Return what became of the worker of a run.

        Args:
            place: where the run was.
            since_s: monotonic time in seconds by which the worker had stopped answering.
        """
        fate = self._fate_by_entries(place, since_s)
        is_drained = (place.incarnation, place.worker_id) in self._drained
        return WorkerFate.LEFT if fate is WorkerFate.CRASHED and is_drained else fate

    def _fate_by_entries(self, place: RunPlace, since_s: float) -> WorkerFate:
        """Return the fate of a worker as if none had ever left as planned."""
        latest = self._latest_by_address.get(place.address)
        is_replaced = latest is not None and latest != (place.incarnation, place.worker_id)
        if is_replaced and latest[0] >= place.incarnation:
            return WorkerFate.CRASHED
        heartbeat = self._heartbeats.get(place.worker_id)
        if heartbeat is None or heartbeat.heard_s <= since_s:
            return WorkerFate.UNKNOWN
        if heartbeat.incarnation < place.incarnation:  # this view is behind that of the scheduler
            return WorkerFate.UNKNOWN
        is_same = heartbeat.incarnation == place.incarnation
        return WorkerFate.ALIVE if is_same else WorkerFate.CRASHED

    def _record_draining(self, entry: WorkerEntry) -> None:
        """Remember that a worker leaves as planned; the oldest of many are forgotten."""
        self._drained[entry.incarnation, entry.worker_id] = None
        if len(self._drained) > DRAINED_KEPT:
            del self._drained[next(iter(self._drained))]


class _Heartbeat:
    """The last write of a worker to its entry."""

    __slots__ = ("incarnation", "revision", "heard_s")

    def __init__(self, incarnation: int, revision: int) -> None:
        self.incarnation = incarnation
        self.revision = revision
        self.heard_s = time.monotonic()
