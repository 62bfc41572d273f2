"""Jobs: accepted once by the owner of their key, placed, recovered and answered."""

from camphorchute.jobs.admission import Admission
from camphorchute.jobs.dispatch import Dispatch
from camphorchute.jobs.job import Job, Task, TaskState
from camphorchute.jobs.owner import JobOwner
from camphorchute.jobs.placing import HomeSlots, place, register_placing
from camphorchute.jobs.pools import REQUEST_KIND, pool_of, upstream_pool
from camphorchute.jobs.recovery import Recovery
from camphorchute.jobs.router import Router, Submission

__all__ = [
    "REQUEST_KIND",
    "Admission",
    "Dispatch",
    "HomeSlots",
    "Job",
    "JobOwner",
    "Recovery",
    "Router",
    "Submission",
    "Task",
    "TaskState",
    "place",
    "pool_of",
    "register_placing",
    "upstream_pool",
]
