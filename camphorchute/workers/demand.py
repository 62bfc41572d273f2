"""Owners that wait for slots, and whose turn it is."""

from collections import OrderedDict, deque

__all__ = ["WaitingDemand"]

WEIGHT_DEFAULT = 1.0


class _Team:
    __slots__ = ("name", "deficit", "owners")

    def __init__(self, name: str) -> None:
        self.name = name
        self.deficit = 0.0
        self.owners: OrderedDict[str, int] = OrderedDict()


class WaitingDemand:
    """Waiting tasks of one service: deficit round robin between teams, then first come.

    Examples:
        >>> demand = WaitingDemand({"stewards": 2.0})
        >>> demand.set("owner1", "stewards", 4)
        >>> demand.set("owner2", "makers", 4)
        >>> [demand.next()[1] for _ in range(6)]
        ['stewards', 'stewards', 'makers', 'stewards', 'stewards', 'makers']
        >>> demand.waiting
        2
    """

    __slots__ = ("weights", "waiting", "_teams", "_turns")

    def __init__(self, weights: dict[str, float] | None = None) -> None:
        self.weights = weights or {}
        self.waiting = 0
        self._teams: dict[str, _Team] = {}
        self._turns: deque[_Team] = deque()

    def set(self, owner_id: str, team: str, waiting: int) -> None:
        """Note that so many tasks of a team wait at an owner."""
        entry = self._teams.get(team)
        if entry is None:
            if waiting <= 0:
                return
            entry = self._teams[team] = _Team(team)
            self._turns.append(entry)
        self.waiting -= entry.owners.get(owner_id, 0)
        if waiting > 0:
            entry.owners[owner_id] = waiting
            self.waiting += waiting
        else:
            entry.owners.pop(owner_id, None)
            self._drop_if_empty(entry)

    def add(self, owner_id: str, team: str, waiting: int) -> None:
        """Note that so many more tasks of a team wait at an owner."""
        entry = self._teams.get(team)
        known = entry.owners.get(owner_id, 0) if entry else 0
        self.set(owner_id, team, known + waiting)

    def drop_owner(self, owner_id: str) -> None:
        """Forget what waits at an owner."""
        for team in list(self._teams):
            self.set(owner_id, team, 0)

    def next(self) -> tuple[str, str] | None:
        """Return the owner and team whose turn it is, and take one task off their demand."""
        if not self._turns:
            return None
        weight_max = max(self._weight(team) for team in self._turns)
        while True:
            entry = self._turns[0]
            self._turns.rotate(-1)
            entry.deficit += self._weight(entry) / weight_max
            if entry.deficit >= 1:
                entry.deficit -= 1
                return self._take(entry), entry.name

    def _weight(self, entry: _Team) -> float:
        return self.weights.get(entry.name, WEIGHT_DEFAULT)

    def _take(self, entry: _Team) -> str:
        owner_id, waiting = next(iter(entry.owners.items()))
        self.waiting -= 1
        if waiting > 1:
            entry.owners[owner_id] = waiting - 1
        else:
            del entry.owners[owner_id]
            self._drop_if_empty(entry)
        return owner_id

    def _drop_if_empty(self, entry: _Team) -> None:
        if not entry.owners:
            del self._teams[entry.name]
            self._turns.remove(entry)
