"""Run of a task that an earlier scheduler may have started on a named worker."""

import time

__all__ = ["EarlierRun"]


class EarlierRun:
    """What is known of the last run of a task that an earlier scheduler reported.

    The run is ruled out once the worker has omitted it from a list requested after the report and
    has then acknowledged a stop command, which also bars a start command that arrives later.

    Args:
        task: name of the task.
        number: number of the run.
        worker: the scheduler's object for the worker on which it may be active; compared by
            identity, since a worker that is listed again is asked again.

    Attributes:
        task: name of the task.
        number: number of the run.
        worker: the scheduler's object for the worker on which it may be active.
        reported_s: monotonic time of the report, in seconds.
        is_ruled_out: whether the run is not active and can no longer start.

    Examples:
        >>> run = EarlierRun("5c0e7a21d94b36f8.0.0.1", 2, worker=None)
        >>> run.is_ruled_out
        False
    """

    __slots__ = ("task", "number", "worker", "reported_s", "is_ruled_out")

    def __init__(self, task: str, number: int, worker: object) -> None:
        self.task = task
        self.number = number
        self.worker = worker
        self.reported_s = time.monotonic()
        self.is_ruled_out = False
