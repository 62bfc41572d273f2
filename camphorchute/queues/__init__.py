"""Jobs of queues: admitted, handed to homes and answered for."""

from camphorchute.queues.job_run import JobOutcome, JobRun, TaskProgress, TaskState
from camphorchute.queues.queue_owner import QueueOwner
from camphorchute.queues.room_reports import RoomReports
from camphorchute.queues.room_view import RoomView

__all__ = [
    "JobOutcome",
    "JobRun",
    "QueueOwner",
    "RoomReports",
    "RoomView",
    "TaskProgress",
    "TaskState",
]
