"""Runs of a task that were lost with their workers."""

import time
from collections.abc import Callable

import msgspec

from camphorchute.cluster.worker_fates import WorkerFate
from camphorchute.contracts.run_messages import RunPlace
from camphorchute.policies.crash_limit import CrashDecision, CrashEvidence

__all__ = ["FateOf", "LostRuns"]

FATE_KNOWN_WITHIN_MS = 6000.0
MS_PER_S = 1000.0

_CLEARING_FATES = (WorkerFate.ALIVE, WorkerFate.LEFT)

FateOf = Callable[[RunPlace, float], WorkerFate]


class _LostRun:
    """A lost run, and what became of its worker as far as that is known."""

    __slots__ = ("place", "since_s", "fate")

    def __init__(self, place: RunPlace) -> None:
        self.place = place
        self.since_s = time.monotonic()
        self.fate = WorkerFate.ALIVE if place.is_cleared else WorkerFate.UNKNOWN

    def update_fate(self, fate_of: FateOf) -> None:
        """Ask for the fate of the worker unless it is known; a known one is kept."""
        if self.fate is WorkerFate.UNKNOWN:
            self.fate = fate_of(self.place, self.since_s)
            if self.is_cleared():
                self.place = msgspec.structs.replace(self.place, is_cleared=True)

    def is_cleared(self) -> bool:
        """Whether the worker is known not to have crashed under the run."""
        return self.fate in _CLEARING_FATES

    def is_crash(self) -> bool:
        """Whether the worker crashed under the run."""
        return self.fate is WorkerFate.CRASHED and self.place.was_acknowledged

    def is_undecided(self) -> bool:
        """Whether the fate of the worker may still become known."""
        is_recent = (time.monotonic() - self.since_s) * MS_PER_S < FATE_KNOWN_WITHIN_MS
        return is_recent and self.fate is WorkerFate.UNKNOWN and bool(self.place.worker_id)


class LostRuns:
    """The lost runs of one task.

    Attributes:
        stored: number of lost runs that the record of a durable job has in the store; None if the
            job is not durable.
        last_decision: number of lost runs at the last decision, and that decision; None before.

    Examples:
        >>> runs = LostRuns()
        >>> runs.add(RunPlace("w1", 100, "10.0.0.1:80", 1))
        True
        >>> runs.add(RunPlace("w1", 100, "10.0.0.1:80", 1)), len(runs)
        (False, 1)
    """

    __slots__ = ("stored", "last_decision", "_runs")

    def __init__(self) -> None:
        self.stored: int | None = None
        self.last_decision: tuple[int, CrashDecision] | None = None
        self._runs: dict[int, _LostRun] = {}

    def __len__(self) -> int:
        return len(self._runs)

    def add(self, place: RunPlace) -> bool:
        """Add a lost run; return whether it, or where it was, was not known before.

        Args:
            place: where the run was.
        """
        known = self._runs.get(place.run)
        if known is not None and (known.place.worker_id or not place.worker_id):
            return False
        self._runs[place.run] = _LostRun(place)
        return True

    def places(self) -> list[RunPlace]:
        """Return where the runs were, and which of their workers are cleared."""
        return [lost.place for lost in self._runs.values()]

    def last_place(self) -> RunPlace | None:
        """Return where the last lost run was, None if there is none."""
        return self._runs[max(self._runs)].place if self._runs else None

    def last_number(self) -> int:
        """Return the number of the last lost run, 0 if there is none."""
        return max(self._runs, default=0)

    def is_stored(self) -> bool:
        """Whether the next process to own the job would know all of the runs."""
        return self.stored is None or self.stored >= len(self._runs)

    def mark_stored(self, number: int) -> None:
        """Record that the store has a number of the lost runs."""
        self.stored = max(self.stored or 0, number)

    def evidence(self, fate_of: FateOf) -> CrashEvidence:
        """Return the evidence against the task; a worker that was only silent or left is none.

        Args:
            fate_of: returns what became of the worker of a run.
        """
        for lost in self._runs.values():
            lost.update_fate(fate_of)
        against = [lost for lost in self._runs.values() if not lost.is_cleared()]
        crashes = [lost.place for lost in against if lost.is_crash()]
        return CrashEvidence(
            len({place.address for place in crashes}),
            len({place.address for place in crashes if place.was_alone}),
            sum(lost.fate is WorkerFate.CRASHED for lost in against),
            len(against),
            sum(lost.is_undecided() for lost in against),
        )
