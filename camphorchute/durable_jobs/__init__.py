"""Durable jobs: stored before they are accepted, and completed even if processes fail."""

from camphorchute.durable_jobs.durable_job_record import (
    JOB_KEY_PREFIX,
    DurableJobRecord,
    DurableJobState,
    job_key,
)
from camphorchute.durable_jobs.job_writer import JobWriter
from camphorchute.durable_jobs.shard_claims import ShardClaims
from camphorchute.durable_jobs.shard_owner import ShardOwner

__all__ = [
    "JOB_KEY_PREFIX",
    "DurableJobRecord",
    "DurableJobState",
    "JobWriter",
    "ShardClaims",
    "ShardOwner",
    "job_key",
]
