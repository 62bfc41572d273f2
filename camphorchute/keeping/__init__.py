"""Durable jobs: stored before they are accepted, and completed even if processes fail."""

from camphorchute.keeping.durable_job_record import JOB_PREFIX, DurableJobRecord, KeptState, job_key
from camphorchute.keeping.job_writer import JobWriter
from camphorchute.keeping.shard_claims import ShardClaims
from camphorchute.keeping.shard_owner import Keeper

__all__ = [
    "JOB_PREFIX",
    "DurableJobRecord",
    "JobWriter",
    "Keeper",
    "KeptState",
    "ShardClaims",
    "job_key",
]
