"""Fair queue of the owners whose tasks wait for free slots of a service."""

from collections import OrderedDict, deque

__all__ = ["DemandQueue"]

WEIGHT_DEFAULT = 1.0


class _Team:
    __slots__ = ("name", "deficit", "owners")

    def __init__(self, name: str) -> None:
        self.name = name
        self.deficit = 0.0
        self.owners: OrderedDict[str, int] = OrderedDict()


class DemandQueue:
    """Pending tasks of one service by team and owner.

    Teams take turns by deficit round robin with their weights. The owners of a team are served
    first come, first served.

    Attributes:
        weights: weight of each team, 1 for a team without an entry.
        pending_tasks: number of pending tasks of all owners.

    Examples:
        >>> demand = DemandQueue({"stewards": 2.0})
        >>> demand.set_pending("owner1", "stewards", 4)
        >>> demand.set_pending("owner2", "makers", 4)
        >>> [demand.take_next()[1] for _ in range(6)]
        ['stewards', 'stewards', 'makers', 'stewards', 'stewards', 'makers']
        >>> demand.pending_tasks
        2
    """

    __slots__ = ("weights", "pending_tasks", "_teams", "_rotation")

    def __init__(self, weights: dict[str, float] | None = None) -> None:
        self.weights = weights or {}
        self.pending_tasks = 0
        self._teams: dict[str, _Team] = {}
        self._rotation: deque[_Team] = deque()

    def set_pending(self, owner_id: str, team: str, pending: int) -> None:
        """Set the number of pending tasks of a team at an owner."""
        entry = self._teams.get(team)
        if entry is None:
            if pending <= 0:
                return
            entry = self._teams[team] = _Team(team)
            self._rotation.append(entry)
        self.pending_tasks -= entry.owners.get(owner_id, 0)
        if pending > 0:
            entry.owners[owner_id] = pending
            self.pending_tasks += pending
        else:
            entry.owners.pop(owner_id, None)
            self._drop_if_empty(entry)

    def add_pending(self, owner_id: str, team: str, pending: int) -> None:
        """Add to the number of pending tasks of a team at an owner."""
        entry = self._teams.get(team)
        known = entry.owners.get(owner_id, 0) if entry else 0
        self.set_pending(owner_id, team, known + pending)

    def drop_owner(self, owner_id: str) -> None:
        """Remove the pending tasks of an owner."""
        for team in list(self._teams):
            self.set_pending(owner_id, team, 0)

    def take_next(self) -> tuple[str, str] | None:
        """Remove the task whose turn it is and return its owner and team, None without a task."""
        if not self._rotation:
            return None
        weight_max = max(self._weight(team) for team in self._rotation)
        while True:
            entry = self._rotation[0]
            self._rotation.rotate(-1)
            entry.deficit += self._weight(entry) / weight_max
            if entry.deficit >= 1:
                entry.deficit -= 1
                return self._take_task(entry), entry.name

    def _weight(self, entry: _Team) -> float:
        return self.weights.get(entry.name, WEIGHT_DEFAULT)

    def _take_task(self, entry: _Team) -> str:
        owner_id, pending = next(iter(entry.owners.items()))
        self.pending_tasks -= 1
        if pending > 1:
            entry.owners[owner_id] = pending - 1
        else:
            del entry.owners[owner_id]
            self._drop_if_empty(entry)
        return owner_id

    def _drop_if_empty(self, entry: _Team) -> None:
        if not entry.owners:
            del self._teams[entry.name]
            self._rotation.remove(entry)
