"""Bad HTTP requests, each with the result code that it is refused with."""

import msgspec

from bench.fleet import TOKEN
from bench.tests.raw_http import request_bytes
from bench.tests.small_fleet import job_body
from camphorchute.contracts import ResultCode

__all__ = ["BODY_MAX_BYTES", "CASES", "Case"]

BODY_MAX_BYTES = 200_000
OPERATOR = {"Authorization": f"Bearer {TOKEN}", "X-Operator": "tests"}


class Case:
    """A bad request and the result code that it is refused with.

    Attributes:
        name: name of the test case.
        code: result code of the refusal.
        method: HTTP method.
        path: path with the query.
        body: bytes of the body.
        headers: headers beside Host and Content-Length.
        half_close: whether the sending side is closed after the request.
    """

    __slots__ = ("name", "code", "method", "path", "body", "headers", "half_close")

    def __init__(
        self,
        name,
        code,
        body=b"",
        method="POST",
        path="/v1/jobs",
        headers=None,
        key="",
        half_close=False,
    ):
        self.name = name
        self.code = code
        self.method = method
        self.path = path
        self.body = body if isinstance(body, bytes) else msgspec.json.encode(body)
        self.half_close = half_close
        self.headers = {"Idempotency-Key": key or f"north:bad-{name.replace(' ', '-')}"}
        if headers is not None:
            self.headers = headers

    def encode(self):
        """Return the bytes of the request."""
        return request_bytes(self.method, self.path, self.headers, self.body)


def job_with_task(**fields):
    """Return a job of one task with some fields set."""
    return job_body() | {"tasks": [{"kind": "check", **fields}]}


def job_with_raw_deadline(deadline):
    """Return a job in JSON with its deadline replaced by bytes that may be invalid JSON."""
    return msgspec.json.encode(job_body(deadline_ms=-77.0)).replace(b"-77.0", deadline)


MALFORMED = ResultCode.MALFORMED_BODY
DEADLINE = ResultCode.DEADLINE_INVALID
KEY_INVALID = ResultCode.KEY_INVALID
UNAUTHORISED = ResultCode.UNAUTHORISED

CASES = [
    Case("151 tasks", ResultCode.TOO_MANY_TASKS, job_body(151)),
    Case("no task", ResultCode.TOO_MANY_TASKS, job_body(0)),
    Case("key missing", ResultCode.KEY_MISSING, job_body(), headers={}),
    Case("key too long", KEY_INVALID, job_body(), key="k" * 129),
    Case("key with a space", KEY_INVALID, job_body(), key="north:a b"),
    Case("key with a slash", KEY_INVALID, job_body(), key="north:a/b"),
    Case("key not ASCII", KEY_INVALID, job_body(), key="north:schl\u00fcssel"),
    Case("key of an unknown zone", KEY_INVALID, job_body(), key="west:a"),
    Case("key without a name", KEY_INVALID, job_body(), key="north:"),
    Case("body too large", ResultCode.BODY_TOO_LARGE, b" " * (BODY_MAX_BYTES + 1)),
    Case("unknown field of a job", MALFORMED, job_body(colour="red")),
    Case("unknown field of a task", MALFORMED, job_with_task(colour="red")),
    Case("unknown service", ResultCode.UNKNOWN_SERVICE, job_body(service="alpacas")),
    Case("service with bad characters", MALFORMED, job_body(service="../flags")),
    Case("deadline 0", DEADLINE, job_body(deadline_ms=0)),
    Case("deadline in the past", DEADLINE, job_body(deadline_ms=-5)),
    Case("deadline too far", DEADLINE, job_body(deadline_ms=300_001)),
    Case("deadline NaN", MALFORMED, job_with_raw_deadline(b"NaN")),
    Case("deadline infinite", MALFORMED, job_with_raw_deadline(b"Infinity")),
    Case("deadline out of range", MALFORMED, job_with_raw_deadline(b"1e999")),
    Case("run time NaN", MALFORMED, job_with_raw_deadline(b"1").replace(b"10.0", b"NaN")),
    Case("cpus negative", MALFORMED, job_with_task(cpus=-1)),
    Case("memory negative", MALFORMED, job_with_task(memory_mb=-0.5)),
    Case("accelerators negative", MALFORMED, job_with_task(accelerators=-1)),
    Case("run time negative", MALFORMED, job_with_task(run_time_ms=-1)),
    Case("broken JSON", MALFORMED, b'{"service": "flags", "tasks": ['),
    Case("empty body", MALFORMED, b""),
    Case("not UTF-8", MALFORMED, b'{"service": "\xff\xfe", "tasks": [{}]}'),
    Case(
        "half a surrogate pair",
        MALFORMED,
        b'{"service": "flags", "tasks": [{"payload":"\\ud800"}]}',
    ),
    Case("deep nesting", MALFORMED, b"[" * 100_000),
    Case("deep nesting in a field", MALFORMED, b'{"x":' + b'{"a":' * 30_000),
    Case("tasks not a list", MALFORMED, job_body() | {"tasks": "many"}),
    Case("task not an object", MALFORMED, job_body() | {"tasks": [1]}),
    Case("deadline is a string", MALFORMED, job_body(deadline_ms="soon")),
    Case("body is a list", MALFORMED, []),
    Case("body is null", MALFORMED, b"null"),
    Case("too many cpus for every worker", ResultCode.FITS_NO_WORKER, job_with_task(cpus=1000)),
    Case("too much memory", ResultCode.FITS_NO_WORKER, job_with_task(memory_mb=1e9)),
    Case(
        "accelerators that no worker has", ResultCode.FITS_NO_WORKER, job_with_task(accelerators=1)
    ),
    Case("wait_ms not a number", MALFORMED, job_body(), path="/v1/jobs?wait_ms=long"),
    Case("wait_ms NaN", MALFORMED, job_body(), path="/v1/jobs?wait_ms=nan"),
    Case("wait_ms negative", MALFORMED, job_body(), path="/v1/jobs?wait_ms=-1"),
    Case("half-closed in the body", MALFORMED, job_body(), half_close=True),
    Case("length not a number", MALFORMED, job_body(), half_close=True),
    Case("length negative", MALFORMED, job_body(), half_close=True),
    Case("chunk not well formed", MALFORMED, b"zz\r\nabc\r\n0\r\n\r\n", half_close=True),
    Case("no such endpoint", ResultCode.NO_SUCH_PAGE, path="/v2/jobs"),
    Case("path too long", ResultCode.NO_SUCH_PAGE, path="/" + "a" * 4000),
    Case("wrong method", ResultCode.METHOD_NOT_ALLOWED, method="PUT"),
    Case(
        "wrong method of an endpoint with a key", ResultCode.METHOD_NOT_ALLOWED, path="/v1/jobs/x"
    ),
    Case("fetch of an unknown key", ResultCode.JOB_UNKNOWN, method="GET", path="/v1/jobs/north:x"),
    Case("fetch of a bad key", KEY_INVALID, method="GET", path="/v1/jobs/north%3Aa%20b"),
    Case("cancel of a bad key", KEY_INVALID, method="DELETE", path="/v1/jobs/east%3Aa"),
    Case("request without a key", ResultCode.KEY_MISSING, path="/v1/requests/flags/a", headers={}),
    Case("request to an unknown service", ResultCode.UNKNOWN_SERVICE, path="/v1/requests/none/a"),
    Case("request not UTF-8", MALFORMED, b"\xff", path="/v1/requests/flags/a"),
    Case(
        "token wrong",
        UNAUTHORISED,
        method="GET",
        path="/v1/status",
        headers={**OPERATOR, "Authorization": "Bearer no"},
    ),
    Case(
        "token of another scheme",
        UNAUTHORISED,
        method="GET",
        path="/v1/status",
        headers={**OPERATOR, "Authorization": f"Basic {TOKEN}"},
    ),
    Case(
        "token missing", UNAUTHORISED, method="GET", path="/v1/status", headers={"X-Operator": "x"}
    ),
    Case(
        "operator missing",
        UNAUTHORISED,
        method="GET",
        path="/v1/status",
        headers={"Authorization": f"Bearer {TOKEN}"},
    ),
    Case(
        "operator too long",
        UNAUTHORISED,
        method="GET",
        path="/v1/status",
        headers={**OPERATOR, "X-Operator": "o" * 65},
    ),
    Case(
        "plan with an unknown field",
        MALFORMED,
        {"service": "flags", "x": 1},
        path="/v1/plans",
        headers=OPERATOR,
    ),
    Case(
        "plan without a definition",
        MALFORMED,
        {"service": "flags"},
        path="/v1/plans",
        headers=OPERATOR,
    ),
    Case(
        "plan with validation errors",
        ResultCode.PLAN_INVALID,
        {"service": "flags", "definition": {"name": 3}},
        path="/v1/plans",
        headers=OPERATOR,
    ),
    Case(
        "plan unknown",
        ResultCode.PLAN_UNKNOWN,
        b"{}",
        path="/v1/plans/none/confirm",
        headers=OPERATOR,
    ),
    Case(
        "drain of an unknown worker",
        ResultCode.PLAN_INVALID,
        {"service": "flags", "worker": "none"},
        path="/v1/drain",
        headers=OPERATOR,
    ),
    Case(
        "drain of another process", MALFORMED, {"entry": "none"}, path="/v1/drain", headers=OPERATOR
    ),
]
INVALID_LENGTH_HEADERS = {
    "half-closed in the body": {"Content-Length": "5000"},
    "length not a number": {"Content-Length": "many"},
    "length negative": {"Content-Length": "-5"},
    "chunk not well formed": {"Transfer-Encoding": "chunked"},
}
for case in CASES:
    case.headers.update(INVALID_LENGTH_HEADERS.get(case.name, {}))
