"""Result codes of the answers to callers, operators and peers.

The table in this module is the only definition; ``docs/codes.md`` is generated from it.
"""

from enum import Enum, IntEnum

__all__ = ["Fate", "ResultCode", "CodeInfo", "code_info", "all_codes", "codes_markdown"]


class Fate(Enum):
    """Whether any task of a request may have run, as far as its result code says."""

    NOT_RUN = "not run"
    UNKNOWN = "fate of earlier attempts unknown"
    MAY_HAVE_RUN = "may have run"
    RAN = "ran"
    NONE = "does not concern a task"


class ResultCode(IntEnum):
    """Number of a result; the hundreds digit groups the codes.

    Codes from 200 mean that no task has run, codes from 300 that it is unknown whether an earlier
    attempt has run, and codes from 400 that tasks have run or may have run. Other groups do not
    imply this.

    Examples:
        >>> int(ResultCode.OVERLOADED)
        201
        >>> code_info(ResultCode.OVERLOADED).fate
        <Fate.NOT_RUN: 'not run'>
    """

    COMPLETE = 0
    ACCEPTED = 1

    MALFORMED_BODY = 101
    BODY_TOO_LARGE = 102
    TOO_MANY_TASKS = 103
    KEY_MISSING = 104
    KEY_INVALID = 105
    KEY_CONFLICT = 106
    KEY_EXPIRED = 107
    UNKNOWN_SERVICE = 108
    DEADLINE_INVALID = 109
    FITS_NO_WORKER = 110
    JOB_UNKNOWN = 111
    UNAUTHORISED = 112
    NO_SUCH_PAGE = 113
    METHOD_NOT_ALLOWED = 114
    REQUEST_TIMEOUT = 115
    NOT_OFFERED = 116

    OVERLOADED = 201
    DEADLINE_UNREACHABLE = 202
    TEAM_OVER_QUOTA = 203
    SERVICE_OVER_LIMIT = 204
    LEDGER_FULL = 205
    NO_WORKER = 206
    CANCELLED_BEFORE_START = 207
    NOT_STORED = 208
    EVACUATED = 209

    OWNER_UNREACHABLE = 301
    RECORDS_LOST = 302
    SHARD_NOT_SETTLED = 303
    NOT_READY = 304
    LEAVING = 305
    NO_WITNESS = 306
    WRITE_UNCONFIRMED = 307

    TASK_FAILED = 401
    DEADLINE_PASSED = 402
    WORKER_LOST = 403
    OWNER_LOST = 404
    CANCELLED = 405
    ANSWER_EXPIRED = 406

    PLAN_UNKNOWN = 501
    PLAN_OUTDATED = 502
    PLAN_INVALID = 503
    STORE_UNAVAILABLE = 504
    CONFIRM_UNKNOWN = 505
    VALUE_TOO_LARGE = 506
    COUNT_UNKNOWN = 507

    STALE_TERM = 601
    NOT_OWNER = 602
    NO_SLOT = 603
    MALFORMED_MESSAGE = 604
    ZONES_DIFFER = 605
    INTERNAL = 699


class CodeInfo:
    """The row of one result code in the table of codes.

    Attributes:
        code: the result code.
        http_status: status of the HTTP response that carries the code.
        fate: whether a task of the request may have run.
        retry: whether the same request may succeed later.
        meaning: one sentence that says what happened, for people.
        advice: what the receiver of the code should do, for people.
    """

    __slots__ = ("code", "http_status", "fate", "retry", "meaning", "advice")

    def __init__(
        self,
        code: ResultCode,
        http_status: int,
        fate: Fate,
        retry: bool,
        meaning: str,
        advice: str,
    ) -> None:
        self.code = code
        self.http_status = http_status
        self.fate = fate
        self.retry = retry
        self.meaning = meaning
        self.advice = advice


_C = ResultCode
_NOT_RUN, _UNKNOWN, _MAY_RUN = Fate.NOT_RUN, Fate.UNKNOWN, Fate.MAY_HAVE_RUN
_RETRY_LATER = "Send the same key again after Retry-After."
_CORRECT = "Correct the request."

_ROWS = (
    (_C.COMPLETE, 200, Fate.RAN, False, "The answer is complete.", "Nothing."),
    (_C.ACCEPTED, 202, _MAY_RUN, False, "The job is under way.", "Fetch the answer by its key."),
    (_C.MALFORMED_BODY, 400, _NOT_RUN, False, "The body does not fit its schema.", _CORRECT),
    (_C.BODY_TOO_LARGE, 413, _UNKNOWN, False, "The body is over the limit.", _CORRECT),
    (_C.TOO_MANY_TASKS, 400, _NOT_RUN, False, "The job has too many tasks.", "Split the job."),
    (_C.KEY_MISSING, 400, _NOT_RUN, False, "Idempotency-Key is missing.", _CORRECT),
    (_C.KEY_INVALID, 400, _NOT_RUN, False, "Idempotency-Key is not well formed.", _CORRECT),
    (
        _C.KEY_CONFLICT,
        409,
        _NOT_RUN,
        False,
        "The key belongs to another body; this body was not run.",
        "Use a new key for a new job.",
    ),
    (
        _C.KEY_EXPIRED,
        409,
        _UNKNOWN,
        False,
        "The key was made before the resubmission window.",
        "Check whether the job ran; use a new key for a new job.",
    ),
    (_C.UNKNOWN_SERVICE, 404, _NOT_RUN, False, "There is no such service.", _CORRECT),
    (_C.DEADLINE_INVALID, 400, _NOT_RUN, False, "The deadline is not usable.", _CORRECT),
    (
        _C.FITS_NO_WORKER,
        422,
        _NOT_RUN,
        False,
        "No worker of the service is large enough.",
        "Declare a smaller task or ask the operators for larger workers.",
    ),
    (
        _C.JOB_UNKNOWN,
        404,
        _UNKNOWN,
        False,
        "No record of this key is held.",
        "Submit the job under the same key.",
    ),
    (_C.UNAUTHORISED, 401, Fate.NONE, False, "The operator token is missing or wrong.", _CORRECT),
    (_C.NO_SUCH_PAGE, 404, Fate.NONE, False, "There is no such endpoint.", _CORRECT),
    (
        _C.METHOD_NOT_ALLOWED,
        405,
        Fate.NONE,
        False,
        "The endpoint does not support this method.",
        _CORRECT,
    ),
    (_C.REQUEST_TIMEOUT, 408, _UNKNOWN, True, "The request came too slowly.", _RETRY_LATER),
    (
        _C.NOT_OFFERED,
        503,
        _NOT_RUN,
        False,
        "The job asks for something that this version does not offer.",
        "Submit the job without the unsupported feature.",
    ),
    (_C.OVERLOADED, 503, _NOT_RUN, True, "The queue is full.", _RETRY_LATER),
    (
        _C.DEADLINE_UNREACHABLE,
        503,
        _NOT_RUN,
        True,
        "The job cannot end before its deadline.",
        "Send it again with a later deadline or after Retry-After.",
    ),
    (_C.TEAM_OVER_QUOTA, 429, _NOT_RUN, True, "The team is over its quota.", _RETRY_LATER),
    (_C.SERVICE_OVER_LIMIT, 429, _NOT_RUN, True, "The service is over its limit.", _RETRY_LATER),
    (_C.LEDGER_FULL, 503, _NOT_RUN, True, "The ledger of keys is full.", _RETRY_LATER),
    (_C.NO_WORKER, 503, _NOT_RUN, True, "No worker of the service is usable.", _RETRY_LATER),
    (
        _C.CANCELLED_BEFORE_START,
        409,
        _NOT_RUN,
        False,
        "The job was cancelled before any task started.",
        "Use a new key to run it.",
    ),
    (
        _C.NOT_STORED,
        503,
        _NOT_RUN,
        True,
        "The job could not be stored, so it was not accepted.",
        _RETRY_LATER,
    ),
    (
        _C.EVACUATED,
        503,
        _NOT_RUN,
        True,
        "Operators have evacuated every zone that has a usable worker of the service.",
        _RETRY_LATER,
    ),
    (
        _C.OWNER_UNREACHABLE,
        503,
        _UNKNOWN,
        True,
        "The process that owns this key cannot be reached.",
        _RETRY_LATER,
    ),
    (
        _C.RECORDS_LOST,
        503,
        _UNKNOWN,
        True,
        "Records that may have held this key were lost.",
        "Check whether the job ran; a key made later is served immediately.",
    ),
    (
        _C.SHARD_NOT_SETTLED,
        503,
        _UNKNOWN,
        True,
        "The new owner of this key is still recovering its records.",
        _RETRY_LATER,
    ),
    (_C.NOT_READY, 503, _UNKNOWN, True, "This process does not serve yet.", _RETRY_LATER),
    (_C.LEAVING, 503, _UNKNOWN, True, "This process takes no new work.", _RETRY_LATER),
    (_C.NO_WITNESS, 503, _UNKNOWN, True, "No witness of the owner answered.", _RETRY_LATER),
    (
        _C.WRITE_UNCONFIRMED,
        504,
        _UNKNOWN,
        True,
        "The store did not say whether it has the job, which may be accepted and run.",
        "Send the same job again under the same id.",
    ),
    (_C.TASK_FAILED, 502, _MAY_RUN, False, "A task failed.", "Check the listed tasks."),
    (
        _C.DEADLINE_PASSED,
        504,
        _MAY_RUN,
        False,
        "The deadline passed before the answer was complete.",
        "Check the listed tasks.",
    ),
    (
        _C.WORKER_LOST,
        502,
        _MAY_RUN,
        False,
        "A worker stopped responding.",
        "Check the listed tasks.",
    ),
    (_C.OWNER_LOST, 502, _MAY_RUN, False, "The owner was lost.", "Check the listed tasks."),
    (_C.CANCELLED, 409, _MAY_RUN, False, "The job was cancelled.", "Check the listed tasks."),
    (
        _C.ANSWER_EXPIRED,
        410,
        Fate.RAN,
        False,
        "The job was complete; its answer is no longer held.",
        "Ask the upstream.",
    ),
    (_C.PLAN_UNKNOWN, 404, Fate.NONE, False, "There is no such plan.", "Make a new plan."),
    (
        _C.PLAN_OUTDATED,
        409,
        Fate.NONE,
        False,
        "The base of the plan has changed.",
        "Read what changed and make a new plan.",
    ),
    (_C.PLAN_INVALID, 422, Fate.NONE, False, "The intent has validation errors.", _CORRECT),
    (
        _C.STORE_UNAVAILABLE,
        503,
        Fate.NONE,
        True,
        "The platform's store does not answer; nothing was confirmed.",
        "Confirm the same plan again.",
    ),
    (
        _C.CONFIRM_UNKNOWN,
        503,
        Fate.NONE,
        True,
        "The store's answer was lost; the plan may be confirmed.",
        "Confirm the same plan again; a repeat is recognised.",
    ),
    (_C.VALUE_TOO_LARGE, 413, Fate.NONE, False, "The value is too large to store.", _CORRECT),
    (
        _C.COUNT_UNKNOWN,
        503,
        Fate.NONE,
        True,
        "The number of jobs is not known at the moment.",
        "Ask again after Retry-After.",
    ),
    (_C.STALE_TERM, 409, _UNKNOWN, True, "The sender's ownership record is old.", "Refresh it."),
    (
        _C.NOT_OWNER,
        409,
        _UNKNOWN,
        True,
        "The receiver does not own the key.",
        "Refresh the ownership record.",
    ),
    (_C.NO_SLOT, 409, _NOT_RUN, True, "No slot was free.", "Wait for a grant."),
    (_C.MALFORMED_MESSAGE, 400, _UNKNOWN, False, "A peer's message is malformed.", "Report it."),
    (
        _C.ZONES_DIFFER,
        409,
        Fate.NONE,
        False,
        "Two processes have different availability zone lists.",
        "Give every process the same list.",
    ),
    (_C.INTERNAL, 500, _MAY_RUN, False, "An internal error of the program.", "Report it."),
)

_TABLE = {row[0]: CodeInfo(*row) for row in _ROWS}


def code_info(code: ResultCode) -> CodeInfo:
    """Return the row of a code in the table."""
    return _TABLE[code]


def all_codes() -> list[CodeInfo]:
    """Return all rows of the table, sorted by the number of the code."""
    return [_TABLE[code] for code in ResultCode]


def codes_markdown() -> str:
    """Return the table as a Markdown document, which is stored as ``docs/codes.md``."""
    lines = [
        "# Result codes",
        "",
        "Generated from `camphorchute.contracts.codes` by `camphorchute codes`.",
        "",
        "| number | name | HTTP | task | retry | meaning | what to do |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for info in all_codes():
        lines.append(
            f"| {int(info.code)} | {info.code.name.lower()} | {info.http_status} "
            f"| {info.fate.value} | {'yes' if info.retry else 'no'} "
            f"| {info.meaning} | {info.advice} |"
        )
    return "\n".join(lines) + "\n"
