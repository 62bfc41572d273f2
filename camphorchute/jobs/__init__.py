"""Jobs at the owner of their key: admission, dispatch to schedulers, recovery and answers."""

from camphorchute.jobs.admission import Admission
from camphorchute.jobs.dispatcher import Dispatcher
from camphorchute.jobs.job import Job, Task, TaskState
from camphorchute.jobs.owner import JobOwner
from camphorchute.jobs.placement import SchedulerSlots, place_tasks, register_placement_policy
from camphorchute.jobs.pools import REQUEST_KIND, pool_for_job, upstream_pool
from camphorchute.jobs.recovery import Recovery
from camphorchute.jobs.router import Router, Submission

__all__ = [
    "REQUEST_KIND",
    "Admission",
    "Dispatcher",
    "Job",
    "JobOwner",
    "Recovery",
    "Router",
    "SchedulerSlots",
    "Submission",
    "Task",
    "TaskState",
    "place_tasks",
    "pool_for_job",
    "register_placement_policy",
    "upstream_pool",
]
