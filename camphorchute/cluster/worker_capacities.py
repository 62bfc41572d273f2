"""Capacities of all listed workers, which tell where a task can run at all."""

from camphorchute.cluster.worker_groups import WorkerGroups
from camphorchute.contracts.resources import Resources
from camphorchute.hosting import WorkerEntry

__all__ = ["WorkerCapacities"]

DEMANDS_MAX = 512


class WorkerCapacities:
    """Which worker groups have a worker that is large enough for a demand.

    The answers cover every listed worker that is not draining. They change with the entries of the
    workers only, unlike free-capacity reports, which a process receives from some groups.

    Args:
        groups: the listed workers by worker group.

    Examples:
        >>> groups = WorkerGroups()
        >>> groups.set_worker(WorkerEntry("w1", 1, "", "flags", "north", Resources(8000, 512)))
        >>> groups.set_worker(WorkerEntry("w2", 1, "", "flags", "north", Resources(2000, 512, 1)))
        >>> capacities = WorkerCapacities(groups)
        >>> capacities.groups_for("flags", Resources(2000, 64, 1))
        ['north/flags/0']
        >>> capacities.groups_for("flags", Resources(8000, 64, 1))
        []
    """

    __slots__ = ("_groups", "_largest_by_group", "_groups_by_demand", "_generation")

    def __init__(self, groups: WorkerGroups) -> None:
        self._groups = groups
        self._largest_by_group: dict[str, tuple[dict[str, WorkerEntry], list[Resources]]] = {}
        self._groups_by_demand: dict[tuple[str, Resources], list[str]] = {}
        self._generation = 0

    def can_hold(self, group: str, demand: Resources) -> bool:
        """Return whether a demand fits on some worker of a group that has no other task.

        Args:
            group: name of the worker group.
            demand: resources of one task.
        """
        return any(capacity.can_hold(demand) for capacity in self._largest_of(group))

    def groups_for(self, service: str, demand: Resources) -> list[str]:
        """Return the names of a service's groups that can hold a demand; not to be changed.

        Args:
            service: name of the service.
            demand: resources of one task.
        """
        if self._generation != self._groups.generation or len(self._groups_by_demand) > DEMANDS_MAX:
            self._groups_by_demand.clear()
            self._generation = self._groups.generation
        key = (service, demand)
        found = self._groups_by_demand.get(key)
        if found is None:
            names = self._groups.names_of(service)
            found = [group for group in names if self.can_hold(group, demand)]
            self._groups_by_demand[key] = found
        return found

    def _largest_of(self, group: str) -> list[Resources]:
        """Return the capacities in a group that no other one there exceeds in every resource."""
        workers = self._groups.by_name.get(group)
        if workers is None:
            self._largest_by_group.pop(group, None)
            return []
        known = self._largest_by_group.get(group)
        if known is not None and known[0] is workers:
            return known[1]
        capacities = {entry.capacity for entry in workers.values() if not entry.is_draining}
        largest = [
            capacity
            for capacity in capacities
            if not any(other != capacity and other.can_hold(capacity) for other in capacities)
        ]
        self._largest_by_group[group] = (workers, largest)
        return largest
