"""Jobs of queues: admission, dispatch to schedulers and outcomes."""

from camphorchute.queues.free_capacity_reports import RoomReports
from camphorchute.queues.free_capacity_view import RoomView
from camphorchute.queues.job_run import JobOutcome, JobRun, TaskProgress, TaskState
from camphorchute.queues.queue_owner import QueueOwner

__all__ = [
    "JobOutcome",
    "JobRun",
    "QueueOwner",
    "RoomReports",
    "RoomView",
    "TaskProgress",
    "TaskState",
]
