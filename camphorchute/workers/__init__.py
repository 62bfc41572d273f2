"""Scheduling of tasks on workers and upstreams, and the clients for their protocols."""

from camphorchute.workers.back_end import BackEnd, back_end_class, register_back_end
from camphorchute.workers.http_upstream import HttpUpstream
from camphorchute.workers.http_worker import HttpWorker
from camphorchute.workers.task_scheduler import TaskScheduler
from camphorchute.workers.timing import SchedulerTiming

__all__ = [
    "BackEnd",
    "HttpUpstream",
    "HttpWorker",
    "SchedulerTiming",
    "TaskScheduler",
    "back_end_class",
    "register_back_end",
]
