"""The tasks of one job at the scheduler that they were dispatched to."""

from camphorchute.runs.run import PendingTask

__all__ = ["JobTasks"]


class JobTasks:
    """The tasks of one job at one scheduler, and what their runs have in common.

    Attributes:
        by_name: the tasks that have not ended here, by name.
        has_started: whether a task of the job was started, here or elsewhere.
        done_runs: number of runs that were done here.

    Examples:
        >>> tasks = JobTasks()
        >>> tasks.run_time_ratio(1.0)
        1.0
        >>> tasks.record_ratio(1.5)
        >>> tasks.run_time_ratio(1.0)
        1.5
    """

    __slots__ = ("by_name", "has_started", "done_runs", "_ratio_sum")

    def __init__(self) -> None:
        self.by_name: dict[str, PendingTask] = {}
        self.has_started = False
        self.done_runs = 0
        self._ratio_sum = 0.0

    def record_ratio(self, ratio: float) -> None:
        """Record the ratio of measured to expected run time of a run that was done."""
        self.done_runs += 1
        self._ratio_sum += ratio

    def run_time_ratio(self, default: float) -> float:
        """Return the mean ratio of the runs that were done, a default if there are none."""
        return self._ratio_sum / self.done_runs if self.done_runs else default
