"""Jobs, their tasks and answers, as callers send and receive them.

The classes are msgspec structs: slotted classes whose declared fields are checked when a
JSON body or a peer's message is read.
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
    "refusal_answer",
]

JOB_MAX_TASKS = 150
DEADLINE_MAX_MS = 300_000

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[a-z0-9][a-z0-9_.-]*$")]
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class TaskSpec(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """One task of a job.

    Attributes:
        kind: what sort of work it is; run times are learned per service and kind.
        payload: text handed to the worker as it is.
        run_time_ms: run time that the caller declares, milliseconds.
        cpus: processors that it needs.
        memory_mb: memory that it needs, megabytes.
        accelerators: accelerators that it needs.
    """

    kind: Name = "default"
    payload: Annotated[str, msgspec.Meta(max_length=65536)] = ""
    run_time_ms: Amount = 300.0
    cpus: Amount = 1.0
    memory_mb: Amount = 128.0
    accelerators: Amount = 0.0


class JobSpec(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """A submission.

    Attributes:
        service: name of the service.
        tasks: 1 to 150 tasks.
        deadline_ms: time from submission until the answer is of no more use, milliseconds.
        team: team whose quota the job counts against.
        repeatable: whether a task may be sent again after an unclear start (requests only).

    Examples:
        >>> spec = JobSpec(service="flags", tasks=[TaskSpec()], deadline_ms=1000)
        >>> spec.check()
        >>> len(spec.digest())
        16
    """

    service: Name
    tasks: list[TaskSpec]
    deadline_ms: float = 30_000.0
    team: Name = "default"
    repeatable: bool = False

    def check(self) -> None:
        """Raise a refusal for a value that the types alone do not rule out."""
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
        """Return 16 bytes that tell this body from another."""
        body = msgspec.json.encode(self)
        return hashlib.blake2b(body, digest_size=16).digest()


class TaskOutcome(msgspec.Struct, omit_defaults=True):
    """What became of one task.

    Attributes:
        index: place of the task in its job.
        code: ``COMPLETE`` where the worker answered.
        answer: the worker's answer.
        detail: what went wrong, where something did.
    """

    index: int
    code: int = 0
    answer: str = ""
    detail: str = ""


class JobAnswer(msgspec.Struct, omit_defaults=True):
    """The final answer to a job: all outcomes, or a failure and never a part of them.

    Attributes:
        key: the idempotency key.
        code: number of the result code.
        answers: one answer a task in order, where the code is ``COMPLETE``.
        detail: what went wrong, for people.
        retry_after_ms: when to come again, 0 where that makes no sense.
        tasks_maybe_run: tasks that may have run, where the job failed.
    """

    key: str
    code: int = 0
    answers: list[str] = []
    detail: str = ""
    retry_after_ms: int = 0
    tasks_maybe_run: list[int] = []

    @property
    def fate(self) -> Fate:
        """Whether a task may have run."""
        return code_info(ResultCode(self.code)).fate


def refusal_answer(key: str, refusal: Refusal) -> JobAnswer:
    """Return the answer that carries a refusal.

    Examples:
        >>> refusal_answer("k", Refusal(ResultCode.OVERLOADED)).code
        201
    """
    return JobAnswer(
        key=key,
        code=int(refusal.code),
        detail=refusal.detail,
        retry_after_ms=refusal.retry_after_ms,
        tasks_maybe_run=list(refusal.tasks_maybe_run),
    )
