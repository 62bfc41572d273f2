"""Types that callers, operators and processes exchange: jobs, keys, result codes and messages."""

from camphorchute.contracts.codes import Fate, ResultCode, code_info
from camphorchute.contracts.errors import InvariantBroken, Refusal
from camphorchute.contracts.job import JobAnswer, JobSpec, TaskOutcome, TaskSpec
from camphorchute.contracts.keys import SHARDS_PER_ZONE, JobKey, new_key

__all__ = [
    "SHARDS_PER_ZONE",
    "Fate",
    "InvariantBroken",
    "JobAnswer",
    "JobKey",
    "JobSpec",
    "Refusal",
    "ResultCode",
    "TaskOutcome",
    "TaskSpec",
    "code_info",
    "new_key",
]
