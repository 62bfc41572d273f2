"""Runs of tasks on workers, fenced by the scheduler of the worker group and bound to leases."""

from camphorchute.runs.group_names import group_count, group_name, group_of
from camphorchute.runs.group_scheduler import GroupScheduler
from camphorchute.runs.leased_worker import LeasedWorker
from camphorchute.runs.run import SHARD_COUNT, PendingTask, Run, RunState, job_of, shard_of
from camphorchute.runs.witness_choice import WitnessChoice

__all__ = [
    "SHARD_COUNT",
    "GroupScheduler",
    "LeasedWorker",
    "PendingTask",
    "Run",
    "RunState",
    "WitnessChoice",
    "group_count",
    "group_name",
    "group_of",
    "job_of",
    "shard_of",
]
