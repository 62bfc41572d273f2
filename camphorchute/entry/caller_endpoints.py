"""HTTP endpoints for callers: jobs, proxied requests, health and readiness."""

from collections.abc import Callable

import msgspec
from eliot import log_message

from camphorchute.contracts import JobSpec, Refusal, ResultCode, TaskSpec, new_key
from camphorchute.contracts.job import DEADLINE_MAX_MS
from camphorchute.contracts.keys import KEY_MAX_CHARS
from camphorchute.entry.http_server import Request, route
from camphorchute.entry.problem import Response, answer_response, json_response
from camphorchute.jobs import REQUEST_KIND, Router

__all__ = ["CallerEndpoints", "HealthEndpoints", "UpstreamRequest"]

KEY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "X-Deadline-Ms"
REPEATABLE_HEADER = "X-Repeatable"
TEAM_HEADER = "X-Team"
ANSWER_GRACE_MS = 1500.0
REQUEST_DEADLINE_MS = 30_000.0


class UpstreamRequest(msgspec.Struct):
    """A request that is forwarded to an upstream."""

    method: str
    path: str
    headers: dict[str, str]
    body: str


class CallerEndpoints:
    """Endpoints of jobs and of requests that are proxied to an upstream.

    Args:
        router: routes jobs to the owners of their keys.
        refuse_unready: raises a Refusal while this process is not ready.
        count: adds to a named counter.
    """

    def __init__(
        self, router: Router, refuse_unready: Callable[[], None], count: Callable[..., None]
    ) -> None:
        self._router = router
        self._refuse_unready = refuse_unready
        self._count = count

    @route("POST", "/v1/jobs")
    def submit_job(self, request: Request) -> Response:
        """Submit a job and return its answer."""
        self._refuse_unready()
        key = _validate_key(request.header(KEY_HEADER))
        spec = request.decode(JobSpec)
        default_wait_ms = spec.deadline_ms + ANSWER_GRACE_MS
        wait_ms = request.query_ms("wait_ms", default_wait_ms, DEADLINE_MAX_MS)
        log_message(message_type="http", text="http: job received", job=key)
        submission = self._router.submit(key, spec)
        return self._make_response(submission.wait(wait_ms))

    @route("GET", "/v1/jobs/<key>")
    def fetch_answer(self, request: Request) -> Response:
        """Return the answer of a job."""
        self._refuse_unready()
        wait_ms = request.query_ms("wait_ms", 0.0, DEADLINE_MAX_MS)
        return self._make_response(
            self._router.fetch(_validate_key(request.path_parameters["key"]), wait_ms)
        )

    @route("DELETE", "/v1/jobs/<key>")
    def cancel_job(self, request: Request) -> Response:
        """Cancel a job."""
        self._refuse_unready()
        return self._make_response(
            self._router.cancel(_validate_key(request.path_parameters["key"]))
        )

    @route("POST", "/v1/requests/<service>/<rest:path>")
    def post_request(self, request: Request) -> Response:
        """Forward a request to an upstream and return its response."""
        return self._proxy_to_upstream(request)

    @route("GET", "/v1/requests/<service>/<rest:path>")
    def get_request(self, request: Request) -> Response:
        """Forward a request to an upstream and return its response."""
        return self._proxy_to_upstream(request)

    def _proxy_to_upstream(self, request: Request) -> Response:
        self._refuse_unready()
        repeatable = request.header(REPEATABLE_HEADER) == "1"
        key_text = request.header(KEY_HEADER)
        key = new_key() if repeatable and not key_text else _validate_key(key_text)
        answer = self._router.submit(key, _make_request_job(request, repeatable)).wait(
            DEADLINE_MAX_MS + ANSWER_GRACE_MS
        )
        if answer.code != ResultCode.COMPLETE:
            return self._make_response(answer)
        reply = msgspec.json.decode(answer.answers[0], type=_UpstreamReply)
        headers = [("Content-Type", reply.headers.get("Content-Type", "text/plain"))]
        return Response(reply.status, reply.body.encode(), headers)

    def _make_response(self, answer: object) -> Response:
        response = answer_response(answer)
        self._count(f"http.answered.{ResultCode(answer.code).name.lower()}")
        return response


class _UpstreamReply(msgspec.Struct):
    status: int
    headers: dict[str, str] = {}
    body: str = ""


def _make_request_job(request: Request, repeatable: bool) -> JobSpec:
    try:
        body = request.body.decode()
    except UnicodeDecodeError as error:
        raise Refusal(ResultCode.MALFORMED_BODY, str(error)) from error
    headers = {"Content-Type": request.header("Content-Type") or "application/json"}
    content = UpstreamRequest(request.method, "/" + request.path_parameters["rest"], headers, body)
    task = TaskSpec(kind=REQUEST_KIND, payload=msgspec.json.encode(content).decode())
    return _validate_job(request, task, repeatable)


def _validate_job(request: Request, task: TaskSpec, repeatable: bool) -> JobSpec:
    deadline = request.header(DEADLINE_HEADER) or REQUEST_DEADLINE_MS
    fields = {
        "service": request.path_parameters["service"],
        "team": request.header(TEAM_HEADER) or "default",
        "deadline_ms": deadline,
        "repeatable": repeatable,
        "tasks": [task],
    }
    try:
        return msgspec.convert(fields, JobSpec, strict=False)
    except msgspec.ValidationError as error:
        raise Refusal(ResultCode.MALFORMED_BODY, str(error)) from error


def _validate_key(key: str) -> str:
    if not key:
        raise Refusal(ResultCode.KEY_MISSING, f"header {KEY_HEADER} is missing")
    if len(key) > KEY_MAX_CHARS:
        raise Refusal(ResultCode.KEY_INVALID, f"{len(key)} characters, at most {KEY_MAX_CHARS}")
    return key


class HealthEndpoints:
    """Endpoints of health and readiness checks.

    Args:
        refuse_unready: raises a Refusal while this process is not ready.
    """

    def __init__(self, refuse_unready: Callable[[], None]) -> None:
        self._refuse_unready = refuse_unready

    @route("GET", "/healthz")
    def report_health(self, request: Request) -> Response:
        """Report that the process is alive."""
        return json_response({"alive": True})

    @route("GET", "/readyz")
    def report_readiness(self, request: Request) -> Response:
        """Report whether the load balancer may send requests to this process."""
        self._refuse_unready()
        return json_response({"ready": True})
