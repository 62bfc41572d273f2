"""Jobs, their tasks and their answers, as callers send and receive them.

The classes are msgspec structs: slotted classes whose declared fields are validated when a
JSON body or a peer's message is decoded.
"""

import hashlib
from typing import Annotated

import msgspec

from camphorchute.contracts.codes import Fate, ResultCode, code_info
from camphorchute.contracts.errors import Refusal

__all__ = [
    "JOB_MAX_TASKS",
    "DEADLINE_MAX_MS",
    "TaskSpec",
    "JobSpec",
    "TaskOutcome",
    "JobAnswer",
    "answer_from_refusal",
]

JOB_MAX_TASKS = 150
DEADLINE_MAX_MS = 300_000

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[a-z0-9][a-z0-9_.-]*$")]
_Amount = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class TaskSpec(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """One task of a job.

    Attributes:
        kind: kind of work; run times are estimated for each service and kind.
        payload: text that is passed to the worker unchanged.
        run_time_ms: run time that the caller declares, in milliseconds.
        cpus: number of processors that the task needs.
        memory_mb: memory that the task needs, in megabytes.
        accelerators: number of accelerators that the task needs.
    """

    kind: _Name = "default"
    payload: Annotated[str, msgspec.Meta(max_length=65536)] = ""
    run_time_ms: _Amount = 300.0
    cpus: _Amount = 1.0
    memory_mb: _Amount = 128.0
    accelerators: _Amount = 0.0


class JobSpec(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """A job as a caller submits it.

    Attributes:
        service: name of the service.
        tasks: 1 to 150 tasks.
        deadline_ms: time from submission after which the answer is of no use, in milliseconds.
        team: team whose quota the job counts against.
        repeatable: whether a task may be sent again if it is unknown whether it has started
            (requests only).

    Examples:
        >>> spec = JobSpec(service="flags", tasks=[TaskSpec()], deadline_ms=1000)
        >>> spec.validate()
        >>> len(spec.digest())
        16
    """

    service: _Name
    tasks: list[TaskSpec]
    deadline_ms: float = 30_000.0
    team: _Name = "default"
    repeatable: bool = False

    def validate(self) -> None:
        """Check the limits that the declared types do not express.

        Raises:
            Refusal: ``TOO_MANY_TASKS`` or ``DEADLINE_INVALID``.
        """
        if not 1 <= len(self.tasks) <= JOB_MAX_TASKS:
            raise Refusal(
                ResultCode.TOO_MANY_TASKS, f"{len(self.tasks)} tasks, 1 to {JOB_MAX_TASKS} allowed"
            )
        if not 0 < self.deadline_ms <= DEADLINE_MAX_MS:
            raise Refusal(
                ResultCode.DEADLINE_INVALID,
                f"deadline_ms {self.deadline_ms}, over 0 and at most {DEADLINE_MAX_MS} allowed",
            )

    def digest(self) -> bytes:
        """Return a 16-byte digest that distinguishes this submission from a different one."""
        body = msgspec.json.encode(self)
        return hashlib.blake2b(body, digest_size=16).digest()


class TaskOutcome(msgspec.Struct, omit_defaults=True):
    """Outcome of one task.

    Attributes:
        index: index of the task in its job.
        code: number of the result code, ``COMPLETE`` if the worker answered.
        answer: the worker's answer.
        detail: what went wrong, empty if nothing did.
    """

    index: int
    code: int = 0
    answer: str = ""
    detail: str = ""


class JobAnswer(msgspec.Struct, omit_defaults=True):
    """The final answer to a job: all outcomes or a failure, never a part of the outcomes.

    Attributes:
        key: the idempotency key.
        code: number of the result code.
        answers: the answers of all tasks in order if the code is ``COMPLETE``, otherwise empty.
        detail: what went wrong, for people.
        retry_after_ms: time after which the caller should retry, 0 if a retry makes no sense.
        tasks_maybe_run: indices of the tasks that may have run, if the job failed.
    """

    key: str
    code: int = 0
    answers: list[str] = []
    detail: str = ""
    retry_after_ms: int = 0
    tasks_maybe_run: list[int] = []

    @property
    def fate(self) -> Fate:
        """Whether any task of the job may have run."""
        return code_info(ResultCode(self.code)).fate


def answer_from_refusal(key: str, refusal: Refusal) -> JobAnswer:
    """Return the answer to a job that was refused.

    Examples:
        >>> answer_from_refusal("k", Refusal(ResultCode.OVERLOADED)).code
        201
    """
    return JobAnswer(
        key=key,
        code=int(refusal.code),
        detail=refusal.detail,
        retry_after_ms=refusal.retry_after_ms,
        tasks_maybe_run=list(refusal.tasks_maybe_run),
    )
