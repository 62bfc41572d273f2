"""Completions of runs that must not be acknowledged to their worker yet."""

import time

from camphorchute.hosting import RunCompletion, RunOutcome

__all__ = ["UnacknowledgedCompletions"]

RETAINED_OUTCOMES = (RunOutcome.DONE, RunOutcome.FAILED)
FIRST_REPORT_AFTER_MS = 2000.0
REPORT_INTERVAL_MAX_MS = 16_000.0
MS_PER_S = 1000.0


class _RetainedCompletion:
    """A retained completion and when its shard owner is asked about it.

    Attributes:
        completion: the completion.
        report_due_s: monotonic time of the next report, in seconds.
        report_interval_ms: time from that report to the one after it.
    """

    __slots__ = ("completion", "report_due_s", "report_interval_ms")

    def __init__(self, completion: RunCompletion) -> None:
        self.completion = completion
        self.report_due_s = time.monotonic() + FIRST_REPORT_AFTER_MS / MS_PER_S
        self.report_interval_ms = 2 * FIRST_REPORT_AFTER_MS

    def postpone_report(self, now_s: float) -> None:
        """Plan the next report after one at a time of the monotonic clock."""
        self.report_due_s = now_s + self.report_interval_ms / MS_PER_S
        self.report_interval_ms = min(REPORT_INTERVAL_MAX_MS, 2 * self.report_interval_ms)


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
        self._by_task: dict[str, dict[int, _RetainedCompletion]] = {}
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
            by_run = self._by_task.setdefault(completion.task, {})
            by_run[completion.run] = _RetainedCompletion(completion)

    def acknowledge(self, task: str, run: int) -> bool:
        """Stop retaining the completion of a run; return whether there was one.

        Args:
            task: name of the task.
            run: number of the run.
        """
        completions = self._by_task.get(task, {})
        if run not in completions:
            return False
        completion = completions.pop(run).completion
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
        return [row.completion for row in self._by_task.get(task, {}).values()]

    def retained(self) -> list[RunCompletion]:
        """Return all retained completions."""
        return [row.completion for row in self._rows()]

    def take_due_for_report(self, now_s: float) -> list[RunCompletion]:
        """Return the completions that are to be reported, each at growing intervals.

        Args:
            now_s: time of the monotonic clock in seconds.
        """
        due = [row for row in self._rows() if row.report_due_s <= now_s]
        for row in due:
            row.postpone_report(now_s)
        return [row.completion for row in due]

    def listed_count(self) -> int:
        """Return how many completions the worker has to list, acknowledged later ones included."""
        return self._last_listed - self.acknowledged_number()

    def acknowledged_number(self) -> int:
        """Return the number up to which the worker may drop its completions."""
        return min(self._task_by_number, default=self._last_listed + 1) - 1

    def _rows(self) -> list[_RetainedCompletion]:
        return [row for by_run in self._by_task.values() for row in by_run.values()]
