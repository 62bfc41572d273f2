"""Jobs of queues: admission, dispatch to schedulers and outcomes."""

from camphorchute.queues.free_capacity_reports import FreeCapacityReports
from camphorchute.queues.free_capacity_view import FreeCapacityView
from camphorchute.queues.job_run import JobOutcome, JobRun, TaskProgress, TaskState
from camphorchute.queues.queue_owner import QueueOwner
from camphorchute.queues.report_subscriptions import ReportSubscriptions
from camphorchute.queues.service_zones import ServiceZones

__all__ = [
    "JobOutcome",
    "JobRun",
    "QueueOwner",
    "FreeCapacityReports",
    "FreeCapacityView",
    "ReportSubscriptions",
    "ServiceZones",
    "TaskProgress",
    "TaskState",
]
