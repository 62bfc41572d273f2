"""Jobs of the load patterns."""

from camphorchute.contracts.batch_job import QueueLimits
from camphorchute.runs.job_tasks import JobTasks

__all__ = ["JobKind", "ModelJob"]


class JobKind:
    """A kind of job.

    Attributes:
        name: name of its queue.
        width: mean number of tasks.
        work_ms: mean run time of a task at speed 1.0.
        limits: limits of its queue.
    """

    __slots__ = ("name", "width", "work_ms", "limits")

    def __init__(self, name: str, width: int, work_ms: float, priority: int) -> None:
        self.name = name
        self.width = width
        self.work_ms = work_ms
        self.limits = QueueLimits(priority, 3, 1.6, 60.0)


class ModelJob:
    """A job of the model.

    Attributes:
        kind: its kind.
        zone: availability zone that it is submitted in.
        submitted_s: time of its submission.
        work_ms: run time of its tasks at speed 1.0.
        estimate_ms: run time that its caller expects.
        width: its number of tasks.
        open: number of tasks that are not done yet.
        tasks: what the runs of its tasks have in common.
        over: whether it has ended.
    """

    __slots__ = (
        "kind",
        "zone",
        "submitted_s",
        "work_ms",
        "estimate_ms",
        "width",
        "open",
        "tasks",
        "over",
    )

    def __init__(
        self,
        kind: JobKind,
        zone: str,
        submitted_s: float,
        work_ms: float,
        estimate_ms: float,
        width: int,
    ) -> None:
        self.kind = kind
        self.zone = zone
        self.submitted_s = submitted_s
        self.work_ms = work_ms
        self.estimate_ms = estimate_ms
        self.width = width
        self.open = 0
        self.tasks = JobTasks()
        self.over = False
