"""The listed workers by worker group, kept up to date with each change of one worker."""

from collections.abc import Callable, Collection

from camphorchute.hosting import WorkerEntry
from camphorchute.runs import group_count, group_name, group_of

__all__ = ["WorkerGroups"]


class WorkerGroups:
    """The workers of each group.

    A change of one worker copies its group only. If the number of groups of its service and zone
    changes, the workers of that service and zone are distributed again.

    Args:
        on_names_changed: called when a group has got its first or lost its last worker.

    Attributes:
        by_name: the workers by group name and worker id. The inner mappings are replaced and never
            changed, so that they can be read while others change.
        group_by_worker: name of the group of each worker, by worker id.
        generation: number of changes so far.

    Examples:
        >>> from camphorchute.contracts.resources import Resources
        >>> groups = WorkerGroups()
        >>> groups.set_worker(WorkerEntry("w1", 1, "", "flags", "north", Resources(0)))
        >>> groups.group_by_worker
        {'w1': 'north/flags/0'}
        >>> groups.remove_worker("w1")
        >>> groups.by_name
        {}
    """

    __slots__ = (
        "by_name",
        "group_by_worker",
        "generation",
        "_on_names_changed",
        "_entries_by_pool",
        "_zones",
    )

    def __init__(self, on_names_changed: Callable[[], None] = lambda: None) -> None:
        self.by_name: dict[str, dict[str, WorkerEntry]] = {}
        self.group_by_worker: dict[str, str] = {}
        self.generation = 0
        self._on_names_changed = on_names_changed
        self._entries_by_pool: dict[tuple[str, str], dict[str, WorkerEntry]] = {}
        self._zones: dict[str, set[str]] = {}

    def zones_of(self, service: str) -> Collection[str]:
        """Return the zones in which a worker of a service is listed.

        Args:
            service: name of the service.
        """
        return self._zones.get(service, ())

    def ids_of(self, service: str) -> list[str]:
        """Return the ids of the listed workers of a service.

        Args:
            service: name of the service.
        """
        zones = self._zones.get(service, ())
        return [name for zone in zones for name in self._entries_by_pool[zone, service]]

    def names_of(self, service: str) -> list[str]:
        """Return the names of the groups of a service, those without a worker included.

        Args:
            service: name of the service.
        """
        return [
            group_name(zone, service, number)
            for zone in self._zones.get(service, ())
            for number in range(group_count(len(self._entries_by_pool[zone, service])))
        ]

    def set_worker(self, entry: WorkerEntry) -> None:
        """Add a worker or replace its entry."""
        pool = (entry.zone, entry.service)
        entries = self._entries_by_pool.get(pool, {})
        if entry.worker_id in entries:
            entries[entry.worker_id] = entry
            self._set_in_group(self.group_by_worker[entry.worker_id], entry)
            return
        self.remove_worker(entry.worker_id)
        entries = self._entries_by_pool.setdefault(pool, {})
        self._zones.setdefault(entry.service, set()).add(entry.zone)
        earlier_count = group_count(len(entries))
        entries[entry.worker_id] = entry
        count = group_count(len(entries))
        if count == earlier_count:
            self._set_in_group(group_of(*pool, entry.worker_id, count), entry)
        else:
            self._distribute(pool)

    def remove_worker(self, worker_id: str) -> None:
        """Remove a worker if it is listed."""
        group = self.group_by_worker.get(worker_id)
        if group is None:
            return
        entry = self.by_name[group][worker_id]
        pool = (entry.zone, entry.service)
        entries = self._entries_by_pool[pool]
        earlier_count = group_count(len(entries))
        del entries[worker_id]
        if not entries:
            del self._entries_by_pool[pool]
            self._zones[entry.service].discard(entry.zone)
        self._remove_from_group(worker_id)
        if entries and group_count(len(entries)) != earlier_count:
            self._distribute(pool)

    def _distribute(self, pool: tuple[str, str]) -> None:
        """Put the workers of a zone and service into as many groups as they need now."""
        entries = self._entries_by_pool[pool]
        count = group_count(len(entries))
        for entry in entries.values():
            group = group_of(*pool, entry.worker_id, count)
            if self.group_by_worker.get(entry.worker_id) != group:
                self._remove_from_group(entry.worker_id)
                self._set_in_group(group, entry)

    def _set_in_group(self, group: str, entry: WorkerEntry) -> None:
        self.generation += 1
        is_new = group not in self.by_name
        self.by_name[group] = {**self.by_name.get(group, {}), entry.worker_id: entry}
        self.group_by_worker[entry.worker_id] = group
        if is_new:
            self._on_names_changed()

    def _remove_from_group(self, worker_id: str) -> None:
        group = self.group_by_worker.pop(worker_id, None)
        if group is None:
            return
        self.generation += 1
        remaining = {k: v for k, v in self.by_name[group].items() if k != worker_id}
        if remaining:
            self.by_name[group] = remaining
        else:
            del self.by_name[group]
            self._on_names_changed()
