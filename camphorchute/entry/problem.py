"""HTTP responses: JSON bodies, and problem details with a result code."""

import math

import msgspec

from camphorchute.contracts import JobAnswer, Refusal, ResultCode, code_info
from camphorchute.retry_after import spread_retry_after_ms

__all__ = ["Response", "answer_response", "json_response", "problem_response"]

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"
REASON_PHRASES = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Response:
    """An HTTP response.

    Attributes:
        status: the HTTP status.
        body: the body in bytes.
        headers: name and value of each header.
    """

    __slots__ = ("status", "body", "headers")

    def __init__(self, status: int, body: bytes, headers: list[tuple[str, str]]) -> None:
        self.status = status
        self.body = body
        self.headers = headers

    @property
    def status_line(self) -> str:
        """The status code with its reason phrase."""
        return f"{self.status} {REASON_PHRASES.get(self.status, 'Other')}"


class Problem(msgspec.Struct, omit_defaults=True):
    """Body of a refusal or failure.

    Attributes:
        type: path of the page that explains the result code.
        title: name of the result code.
        status: the HTTP status.
        code: number of the result code.
        may_have_run: whether tasks of the job may have run.
        detail: description of the specific error.
        key: the idempotency key.
        retry_after_ms: after how many milliseconds to retry, 0 if not stated.
        tasks_maybe_run: indices of the tasks that may have run.
    """

    type: str
    title: str
    status: int
    code: int
    may_have_run: str
    detail: str = ""
    key: str = ""
    retry_after_ms: int = 0
    tasks_maybe_run: list[int] = []


def json_response(value: object, status: int = 200) -> Response:
    """Return a response whose body is a value in JSON."""
    return Response(status, msgspec.json.encode(value), [("Content-Type", JSON_TYPE)])


def answer_response(answer: JobAnswer) -> Response:
    """Return the response that carries a job's answer."""
    code = ResultCode(answer.code)
    if code in (ResultCode.COMPLETE, ResultCode.ACCEPTED):
        return json_response(answer, code_info(code).http_status)
    refusal = Refusal(code, answer.detail, answer.retry_after_ms, tuple(answer.tasks_maybe_run))
    return problem_response(refusal, answer.key)


def problem_response(refusal: Refusal, key: str = "") -> Response:
    """Return the response that carries a refusal."""
    info = code_info(refusal.code)
    retry_after_ms = refusal.retry_after_ms
    if info.retry and not retry_after_ms:
        retry_after_ms = spread_retry_after_ms()
    problem = Problem(
        f"/codes#{int(refusal.code)}",
        refusal.code.name.lower(),
        info.http_status,
        int(refusal.code),
        info.fate.value,
        refusal.detail,
        key,
        retry_after_ms,
        list(refusal.tasks_maybe_run),
    )
    headers = [("Content-Type", PROBLEM_TYPE)]
    if retry_after_ms:
        headers.append(("Retry-After", str(math.ceil(retry_after_ms / 1000))))
    return Response(info.http_status, msgspec.json.encode(problem), headers)
