"""Service discovery and claims as they were at each time, for processes whose view is old."""

import json
import time

from camphorchute.contracts.resources import Resources
from camphorchute.hosting import WorkerEntry

__all__ = ["ClusterState", "Directory"]

MS_PER_S = 1000.0


class ClusterState:
    """Workers, groups and claims at one time.

    Attributes:
        workers: entries of the listed workers, by worker id.
        groups: name of the group of each worker, by worker id.
        claims: member id of the holder and revision of each claim, by group.
    """

    __slots__ = ("workers", "groups", "claims")

    def __init__(self) -> None:
        self.workers: dict[str, WorkerEntry | None] = {}
        self.groups: dict[str, str] = {}
        self.claims: dict[str, tuple[str, int]] = {}

    def workers_of(self, group: str) -> dict[str, WorkerEntry]:
        """Return the entries of the listed workers of a group, by worker id."""
        return {
            worker_id: entry
            for worker_id, entry in self.workers.items()
            if entry is not None and self.groups.get(worker_id) == group
        }

    def group_by_worker(self) -> dict[str, str]:
        """Return the group of each listed worker, by worker id."""
        return {
            worker_id: self.groups[worker_id]
            for worker_id, entry in self.workers.items()
            if entry is not None and worker_id in self.groups
        }


class Directory:
    """The changes of workers, groups and claims, each with the time from which it is seen.

    It takes the place of the store for stand-in workers, which register themselves with
    :meth:`put`.

    Attributes:
        listing_delay_ms: time until the registration of a worker is seen, in milliseconds.
    """

    __slots__ = ("listing_delay_ms", "_changes", "_last_revision")

    def __init__(self) -> None:
        self.listing_delay_ms = 0.0
        self._changes: list[tuple[float, str, str, object]] = []
        self._last_revision = 0

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Register a worker, as a stand-in worker does in the store."""
        entry = json.loads(value)
        capacity = Resources(entry["capacity"]["cpu"], entry["capacity"]["mem-mb"])
        worker_id = key.rpartition("/")[2]
        fields = (entry["born"], entry["address"], entry["service"], entry["zone"], capacity)
        self.list_worker(WorkerEntry(worker_id, *fields), self.listing_delay_ms)

    def list_worker(self, entry: WorkerEntry, delay_ms: float = 0.0) -> None:
        """List a worker, seen after a delay in milliseconds."""
        self._record("workers", entry.worker_id, entry, delay_ms)

    def unlist_worker(self, worker_id: str, delay_ms: float = 0.0) -> None:
        """List a worker no more, seen after a delay in milliseconds."""
        self._record("workers", worker_id, None, delay_ms)

    def assign_group(self, worker_id: str, group: str) -> None:
        """Move a worker to a group."""
        self._record("groups", worker_id, group)

    def claim_group(self, group: str, member_id: str) -> None:
        """Give the claim on a group to a member, with a higher revision than any before."""
        self._last_revision += 1
        self._record("claims", group, (member_id, self._last_revision))

    def state(self, lag_ms: float = 0.0) -> ClusterState:
        """Return the state as it was seen some time ago.

        An entry of an incarnation that a later one has replaced is not seen any more.

        Args:
            lag_ms: for how long a change is not seen yet, in milliseconds.
        """
        until_s = time.monotonic() - lag_ms / MS_PER_S
        state = ClusterState()
        latest: dict[str, int] = {}
        for seen_s, table, key, value in sorted(self._changes, key=lambda change: change[0]):
            if seen_s > until_s:
                break
            if isinstance(value, WorkerEntry):
                if value.incarnation < latest.get(key, 0):
                    continue
                latest[key] = value.incarnation
            getattr(state, table)[key] = value
        return state

    def _record(self, table: str, key: str, value: object, delay_ms: float = 0.0) -> None:
        self._changes.append((time.monotonic() + delay_ms / MS_PER_S, table, key, value))
