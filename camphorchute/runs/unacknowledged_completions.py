"""Completions of runs that must not be acknowledged to their worker yet."""

import time

from camphorchute.hosting import RunCompletion, RunOutcome

__all__ = ["UnacknowledgedCompletions"]

RETAINED_OUTCOMES = (RunOutcome.DONE, RunOutcome.FAILED)
MS_PER_S = 1000.0


class UnacknowledgedCompletions:
    """The completions that a worker has listed and that were not acknowledged.

    A worker lists completions until they are acknowledged by the number of the last one. A
    completion is retained here until no process needs it any more; the worker may drop all
    completions before the first retained one.

    Examples:
        >>> completions = UnacknowledgedCompletions()
        >>> for number in (1, 2, 3):
        ...     completion = RunCompletion(number, f"j.0.0.{number}", 1, RunOutcome.DONE)
        ...     _ = completions.mark_listed(completion)
        >>> completions.retain(RunCompletion(2, "j.0.0.2", 1, RunOutcome.DONE))
        >>> completions.acknowledged_number()
        1
        >>> completions.acknowledge("j.0.0.2", 1)
        True
        >>> completions.acknowledged_number()
        3
    """

    __slots__ = ("_last_listed", "_by_task", "_task_by_number")

    def __init__(self) -> None:
        self._last_listed = 0
        self._by_task: dict[str, dict[int, tuple[RunCompletion, float]]] = {}
        self._task_by_number: dict[int, str] = {}

    def __len__(self) -> int:
        return len(self._task_by_number)

    def mark_listed(self, completion: RunCompletion) -> bool:
        """Record that a completion was listed; return whether it is new."""
        if completion.sequence_number <= self._last_listed:
            return False
        self._last_listed = completion.sequence_number
        return True

    def retain(self, completion: RunCompletion) -> None:
        """Retain a completion until it is acknowledged; ignore one without a result."""
        if completion.outcome in RETAINED_OUTCOMES:
            self._task_by_number[completion.sequence_number] = completion.task
            self._by_task.setdefault(completion.task, {})[completion.run] = (
                completion,
                time.monotonic(),
            )

    def acknowledge(self, task: str, run: int) -> bool:
        """Stop retaining the completion of a run; return whether there was one.

        Args:
            task: name of the task.
            run: number of the run.
        """
        completions = self._by_task.get(task, {})
        if run not in completions:
            return False
        completion, _ = completions.pop(run)
        if not completions:
            del self._by_task[task]
        self._task_by_number.pop(completion.sequence_number, None)
        return True

    def acknowledge_task(self, task: str) -> None:
        """Stop retaining every completion of a task."""
        for run in list(self._by_task.get(task, {})):
            self.acknowledge(task, run)

    def completions_of(self, task: str) -> list[RunCompletion]:
        """Return the retained completions of a task."""
        return [completion for completion, _ in self._by_task.get(task, {}).values()]

    def older_than(self, age_ms: float) -> list[RunCompletion]:
        """Return the completions that have been retained for at least a time; 0 for all of them."""
        until_s = time.monotonic() - age_ms / MS_PER_S
        rows = [row for by_run in self._by_task.values() for row in by_run.values()]
        return [completion for completion, since_s in rows if since_s <= until_s]

    def acknowledged_number(self) -> int:
        """Return the number up to which the worker may drop its completions."""
        return min(self._task_by_number, default=self._last_listed + 1) - 1
