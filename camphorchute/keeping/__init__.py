"""Jobs that are kept: stored before they are accepted, and finished whichever process ends."""

from camphorchute.keeping.job_writer import JobWriter
from camphorchute.keeping.keeper import Keeper
from camphorchute.keeping.kept_job import JOB_PREFIX, KeptJob, KeptState, job_key
from camphorchute.keeping.shard_claims import ShardClaims

__all__ = [
    "JOB_PREFIX",
    "JobWriter",
    "Keeper",
    "KeptJob",
    "KeptState",
    "ShardClaims",
    "job_key",
]
