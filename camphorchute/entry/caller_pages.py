"""What callers ask of an entry process."""

from collections.abc import Callable

import msgspec
from eliot import log_message

from camphorchute.contracts import JobSpec, Refusal, ResultCode, TaskSpec, new_key
from camphorchute.contracts.job import DEADLINE_MAX_MS
from camphorchute.contracts.keys import KEY_MAX_CHARS
from camphorchute.entry.http_server import Request, route
from camphorchute.entry.problem import Response, answer_response, json_response
from camphorchute.jobs import REQUEST_KIND, Router

__all__ = ["CallerPages", "HealthPages", "UpstreamRequest"]

KEY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "X-Deadline-Ms"
REPEATABLE_HEADER = "X-Repeatable"
TEAM_HEADER = "X-Team"
ANSWER_GRACE_MS = 1500.0
REQUEST_DEADLINE_MS = 30_000.0


class UpstreamRequest(msgspec.Struct):
    """A request as it is handed to an upstream."""

    method: str
    path: str
    headers: dict[str, str]
    body: str


class CallerPages:
    """Jobs and single requests.

    Args:
        router: carries requests to the owners of their keys.
        refuse_unready: raises a refusal while this process may not serve.
        count: adds to a named counter.
    """

    def __init__(
        self, router: Router, refuse_unready: Callable[[], None], count: Callable[..., None]
    ) -> None:
        self._router = router
        self._refuse_unready = refuse_unready
        self._count = count

    @route("POST", "/v1/jobs")
    def submit(self, request: Request) -> Response:
        """Submit a job."""
        self._refuse_unready()
        key = _key(request.header(KEY_HEADER))
        spec = request.decode(JobSpec)
        whole_ms = spec.deadline_ms + ANSWER_GRACE_MS
        wait_ms = request.query_ms("wait_ms", whole_ms, DEADLINE_MAX_MS)
        log_message(message_type="http", text="http: job came in", job=key)
        submission = self._router.submit(key, spec)
        return self._answer(submission.wait(wait_ms))

    @route("GET", "/v1/jobs/<key>")
    def fetch(self, request: Request) -> Response:
        """Fetch a job's answer."""
        self._refuse_unready()
        wait_ms = request.query_ms("wait_ms", 0.0, DEADLINE_MAX_MS)
        return self._answer(self._router.fetch(_key(request.parts["key"]), wait_ms))

    @route("DELETE", "/v1/jobs/<key>")
    def cancel(self, request: Request) -> Response:
        """Cancel a job."""
        self._refuse_unready()
        return self._answer(self._router.cancel(_key(request.parts["key"])))

    @route("POST", "/v1/requests/<service>/<rest:path>")
    def post_request(self, request: Request) -> Response:
        """Hand a request on to an upstream."""
        return self._hand_on(request)

    @route("GET", "/v1/requests/<service>/<rest:path>")
    def get_request(self, request: Request) -> Response:
        """Hand a request on to an upstream."""
        return self._hand_on(request)

    def _hand_on(self, request: Request) -> Response:
        self._refuse_unready()
        repeatable = request.header(REPEATABLE_HEADER) == "1"
        text = request.header(KEY_HEADER)
        key = new_key() if repeatable and not text else _key(text)
        answer = self._router.submit(key, _request_job(request, repeatable)).wait(
            DEADLINE_MAX_MS + ANSWER_GRACE_MS
        )
        if answer.code != ResultCode.COMPLETE:
            return self._answer(answer)
        reply = msgspec.json.decode(answer.answers[0], type=_UpstreamReply)
        headers = [("Content-Type", reply.headers.get("Content-Type", "text/plain"))]
        return Response(reply.status, reply.body.encode(), headers)

    def _answer(self, answer: object) -> Response:
        response = answer_response(answer)
        self._count(f"http.answered.{ResultCode(answer.code).name.lower()}")
        return response


class _UpstreamReply(msgspec.Struct):
    status: int
    headers: dict[str, str] = {}
    body: str = ""


def _request_job(request: Request, repeatable: bool) -> JobSpec:
    try:
        body = request.body.decode()
    except UnicodeDecodeError as error:
        raise Refusal(ResultCode.MALFORMED_BODY, str(error)) from error
    headers = {"Content-Type": request.header("Content-Type") or "application/json"}
    content = UpstreamRequest(request.method, "/" + request.parts["rest"], headers, body)
    task = TaskSpec(kind=REQUEST_KIND, payload=msgspec.json.encode(content).decode())
    return _checked_job(request, task, repeatable)


def _checked_job(request: Request, task: TaskSpec, repeatable: bool) -> JobSpec:
    deadline = request.header(DEADLINE_HEADER) or REQUEST_DEADLINE_MS
    fields = {
        "service": request.parts["service"],
        "team": request.header(TEAM_HEADER) or "default",
        "deadline_ms": deadline,
        "repeatable": repeatable,
        "tasks": [task],
    }
    try:
        return msgspec.convert(fields, JobSpec, strict=False)
    except msgspec.ValidationError as error:
        raise Refusal(ResultCode.MALFORMED_BODY, str(error)) from error


def _key(text: str) -> str:
    if not text:
        raise Refusal(ResultCode.KEY_MISSING, f"header {KEY_HEADER}")
    if len(text) > KEY_MAX_CHARS:
        raise Refusal(ResultCode.KEY_INVALID, f"{len(text)} characters, at most {KEY_MAX_CHARS}")
    return text


class HealthPages:
    """Whether the process lives and whether it serves.

    Args:
        refuse_unready: raises a refusal while this process may not serve.
    """

    def __init__(self, refuse_unready: Callable[[], None]) -> None:
        self._refuse_unready = refuse_unready

    @route("GET", "/healthz")
    def health(self, request: Request) -> Response:
        """Tell that the process lives."""
        return json_response({"alive": True})

    @route("GET", "/readyz")
    def ready(self, request: Request) -> Response:
        """Tell whether the balancer may send requests here."""
        self._refuse_unready()
        return json_response({"ready": True})
