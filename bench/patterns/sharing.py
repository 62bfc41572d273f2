"""Runs of the model that share workers: how they slow each other down, and what is learned."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from camphorchute.policies import DecisionPolicies
from camphorchute.policies.anti_affinity import keep_apart
from camphorchute.policies.interference import InterferenceChange
from camphorchute.policies.overdue import expected_run_ms
from camphorchute.runs.neighbours import NeighbourHistory
from camphorchute.runs.run import PendingTask

if TYPE_CHECKING:
    from bench.patterns.job import ModelJob
    from bench.patterns.model import ModelWorker

__all__ = ["WorkerSharing"]

MS_PER_S = 1000.0
ROUNDING_MS = 1e-6


class _Progress:
    """Work left of a run, in ms at speed 1.0, how fast it is done, and what to do at its end."""

    __slots__ = ("left_ms", "speed", "updated_s", "end")

    def __init__(self, left_ms: float, updated_s: float, end: Callable[[], None]) -> None:
        self.left_ms = left_ms
        self.speed = 0.0
        self.updated_s = updated_s
        self.end = end


class WorkerSharing:
    """Runs that share workers, and the interference policy.

    Args:
        policies: the policies to decide by.
        at: does something at a time of the model's clock.
        now_s: returns the time of the model's clock.

    Attributes:
        slowdowns: by kind and kind of a neighbour, the factor by which the neighbour slows it
            down.
        changes: the pairs that were found and forgotten.
        kept_apart: number of tasks that started on another worker to be kept apart.
    """

    __slots__ = (
        "slowdowns",
        "changes",
        "kept_apart",
        "_interference",
        "_history",
        "_at",
        "_now_s",
        "_runs",
    )

    def __init__(
        self,
        policies: DecisionPolicies,
        at: Callable[[float, Callable[[], None]], None],
        now_s: Callable[[], float],
    ) -> None:
        self.slowdowns: dict[tuple[str, str], float] = {}
        self.changes: list[InterferenceChange] = []
        self.kept_apart = 0
        self._interference = policies.interference()
        self._history = NeighbourHistory()
        self._at = at
        self._now_s = now_s
        self._runs: dict[PendingTask, _Progress] = {}

    def choose(
        self, task: PendingTask, free: list[ModelWorker], rank: Callable[[ModelWorker], tuple]
    ) -> ModelWorker:
        """Return the worker that a task starts on."""
        chosen = min(free, key=rank)
        if self._interference is None:
            return chosen
        conflicts = self._interference.conflicting_kinds(task.message.kind)
        apart = keep_apart(
            conflicts, free, chosen, lambda worker: (False, rank(worker)), _active_kinds
        )
        self.kept_apart += apart is not chosen
        return apart

    def start_run(
        self,
        worker: ModelWorker,
        task: PendingTask,
        work_ms: float,
        end: Callable[[], None],
    ) -> None:
        """Schedule the end of a run, which is in ``worker.runs``, and that of its neighbours."""
        now_s = self._now_s()
        if not self.slowdowns:
            self._at(now_s + work_ms / worker.speed / MS_PER_S, end)
            return
        self._runs[task] = _Progress(work_ms, now_s, end)
        self._update_speeds(worker, now_s)

    def end_run(
        self,
        worker: ModelWorker,
        task: PendingTask,
        job: ModelJob,
        started_s: float,
        ok: bool,
    ) -> bool:
        """Record the end of a run; return whether a neighbour is known to have slowed it down.

        Args:
            worker: its worker, whose ``runs`` no longer have it.
            task: its task.
            job: the job of the task.
            started_s: time of its start.
            ok: whether it was done.
        """
        now_s = self._now_s()
        if self._runs.pop(task, None) is not None:
            self._update_speeds(worker, now_s)
        if self._interference is None:
            return False
        kind = task.message.kind
        expected_ms = expected_run_ms(job.estimate_ms, worker.learned.value)
        neighbours = self._history.record_end(
            worker,
            kind,
            started_s,
            now_s,
            expected_ms / MS_PER_S,
            [(other.message.kind, start_s) for other, start_s in worker.runs.items()],
        )
        if not ok or neighbours is None:
            return False
        is_slowed = self._interference.is_explained(kind, neighbours)
        self.changes += self._interference.record_run(
            kind,
            worker,
            (now_s - started_s) * MS_PER_S,
            job.estimate_ms,
            neighbours,
            1 / job.width,
            now_s * MS_PER_S,
        )
        return is_slowed

    def _update_speeds(self, worker: ModelWorker, now_s: float) -> None:
        """Account for the work done on a worker until now, and schedule the ends of its runs."""
        kinds = set(_active_kinds(worker))
        for task in worker.runs:
            progress = self._runs[task]
            progress.left_ms -= (now_s - progress.updated_s) * MS_PER_S * progress.speed
            progress.updated_s = now_s
            speed = worker.speed
            for kind in kinds:
                speed /= self.slowdowns.get((task.message.kind, kind), 1.0)
            if speed != progress.speed:
                progress.speed = speed
                end_s = now_s + progress.left_ms / speed / MS_PER_S
                self._at(end_s, lambda task=task, was=progress, v=speed: self._end(task, was, v))

    def _end(self, task: PendingTask, progress: _Progress, speed: float) -> None:
        """End a run unless it ended before or its speed has changed since this was scheduled."""
        if self._runs.get(task) is progress and progress.speed == speed:
            done_ms = progress.speed * MS_PER_S * (self._now_s() - progress.updated_s)
            if done_ms >= progress.left_ms - ROUNDING_MS:
                progress.end()


def _active_kinds(worker: ModelWorker) -> list[str]:
    return [task.message.kind for task in worker.runs]
