"""Checks on the runs of tasks: no two at the same time, and no task in two places."""

import time
from collections import defaultdict
from collections.abc import Iterable

from bench.standins.fleet_worker import FleetWorker
from bench.standins.run_record import RunRecord
from camphorchute.runs import GroupScheduler

__all__ = ["DuplicateWatch", "Overlap", "find_overlaps", "runs_of"]


class Overlap:
    """Two runs of one task that were active at the same time.

    Attributes:
        task: name of the task.
        earlier: the run that started first.
        later: the other run.

    Examples:
        >>> earlier, later = RunRecord("j.0.0.0", 1, 0.0), RunRecord("j.0.0.0", 2, 0.0)
        >>> earlier.started_s, earlier.ended_s, later.started_s = 10.0, 12.0, 11.5
        >>> Overlap(earlier, later).duration_s(20.0)
        0.5
    """

    __slots__ = ("task", "earlier", "later")

    def __init__(self, earlier: RunRecord, later: RunRecord) -> None:
        self.task = earlier.task
        self.earlier = earlier
        self.later = later

    def __repr__(self) -> str:
        return f"two runs at the same time: {self.earlier!r}; {self.later!r}"

    def duration_s(self, now_s: float) -> float:
        """Return for how long both were active, in seconds.

        Args:
            now_s: the current monotonic time, the end of runs that are active.
        """
        ends_s = [run.ended_s or now_s for run in (self.earlier, self.later)]
        return min(ends_s) - self.later.started_s


def find_overlaps(runs: Iterable[RunRecord]) -> list[Overlap]:
    """Return every two runs of one task that were active at the same time.

    Args:
        runs: runs on all workers and their incarnations.

    Examples:
        >>> first, second = RunRecord("j.0.0.0", 1, 0.0), RunRecord("j.0.0.0", 2, 0.0)
        >>> first.started_s, first.ended_s, second.started_s = 10.0, 11.0, 11.0
        >>> find_overlaps([second, first])
        []
        >>> first.ended_s = 11.2
        >>> [(overlap.earlier.run, overlap.later.run) for overlap in find_overlaps([second, first])]
        [(1, 2)]
    """
    by_task: dict[str, list[RunRecord]] = defaultdict(list)
    for run in sorted(runs, key=lambda run: run.started_s):
        by_task[run.task].append(run)
    return [
        Overlap(earlier, later)
        for task_runs in by_task.values()
        for number, later in enumerate(task_runs)
        for earlier in task_runs[:number]
        if (earlier.ended_s or float("inf")) > later.started_s
    ]


def runs_of(workers: Iterable[FleetWorker]) -> list[RunRecord]:
    """Return the runs on some workers, over all their incarnations."""
    return [run for worker in workers for run in worker.runs]


class DuplicateWatch:
    """Finds tasks that are in two places of one scheduler: its backlogs and tables of runs.

    Attributes:
        found: time and places of each when it was first seen, by task.
    """

    __slots__ = ("found", "_name", "_scheduler")

    def __init__(self, name: str, scheduler: GroupScheduler) -> None:
        self.found: dict[str, str] = {}
        self._name = name
        self._scheduler = scheduler

    def check(self) -> None:
        """Record the tasks that are in two places now."""
        places: dict[str, list[str]] = defaultdict(list)
        for group in map(self._scheduler.group, self._scheduler.groups()):
            for task in group.backlog:
                places[task.name].append(f"backlog of {group.name}")
            for worker_id, worker in group.workers.items():
                for name, run in worker.runs.items():
                    places[name].append(f"run {run.number} ({run.state.name}) on {worker_id}")
        for task, rows in places.items():
            if len(rows) > 1 and task not in self.found:
                self.found[task] = (
                    f"task in two places of {self._name} at {time.monotonic():.3f} s: {task}: "
                    + "; ".join(rows)
                )
