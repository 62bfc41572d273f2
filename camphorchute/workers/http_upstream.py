"""Client for upstreams: plain HTTP servers that receive each task as a single request."""

import base64
import functools
import time

import gevent
import msgspec
from gevent.event import Event

from camphorchute.loops import wait_for_event
from camphorchute.policies.retry_budget import RetryBudget
from camphorchute.services.definition import ServiceDefinition
from camphorchute.workers.back_end import (
    REFUSED_NO_SLOT,
    REFUSED_UNREACHABLE,
    RUNNING,
    AnswerPage,
    Attempt,
    AttemptAnswer,
    BackEnd,
    BackEndError,
    BackEndStatus,
    FoundAttempt,
    StartReport,
    register_back_end,
)
from camphorchute.workers.http_channel import AnswerLost, HttpAnswer, HttpChannel, NotSent

__all__ = ["HttpUpstream", "UpstreamAnswer", "UpstreamRequest"]

REQUEST_TIMEOUT_MS = 300_000.0
REPEATABLE_TIMEOUT_MIN_MS = 2000.0
REPEATABLE_TIMEOUT_FACTOR = 4.0
RETRIES_MAX = 2
RETRY_RATIO_DEFAULT = 0.1
STATUS_NOT_RUN = 503
HEADER_NOT_RUN = "x-not-run"
CONNECTION_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
ATTEMPT_HEADERS = frozenset(("idempotency-key", "x-attempt-id"))


class UpstreamRequest(msgspec.Struct, omit_defaults=True):
    """The payload of a task of kind ``request``.

    Attributes:
        method: HTTP method.
        path: path and query.
        headers: headers.
        body: body, if it is text.
        body_base64: body in Base64, if it is not text.
        repeatable: whether the request may be sent again if no answer came.
    """

    method: str
    path: str
    headers: dict[str, str] = {}
    body: str = ""
    body_base64: str = ""
    repeatable: bool = False

    def content(self) -> bytes:
        """Return the bytes of the body."""
        return _decode_body(self.body, self.body_base64)


class UpstreamAnswer(msgspec.Struct, omit_defaults=True):
    """The answer to a task of kind ``request``; the body is stored as in the request."""

    status: int
    headers: dict[str, str] = {}
    body: str = ""
    body_base64: str = ""

    def content(self) -> bytes:
        """Return the bytes of the body."""
        return _decode_body(self.body, self.body_base64)


def _decode_body(text: str, encoded: str) -> bytes:
    return base64.b64decode(encoded, validate=True) if encoded else text.encode()


def _to_upstream_answer(answer: HttpAnswer) -> UpstreamAnswer:
    headers = {
        name: value
        for name, value in answer.headers.items()
        if name.lower() not in CONNECTION_HEADERS
    }
    try:
        return UpstreamAnswer(answer.status, headers, answer.body.decode())
    except UnicodeDecodeError:
        encoded = base64.b64encode(answer.body).decode()
        return UpstreamAnswer(answer.status, headers, body_base64=encoded)


def _proves_not_run(answer: HttpAnswer) -> bool:
    if answer.status != STATUS_NOT_RUN:
        return False
    values = [value for name, value in answer.headers.items() if name.lower() == HEADER_NOT_RUN]
    return values == ["1"]


_request_decoder = msgspec.json.Decoder(UpstreamRequest)


@register_back_end("upstream")
class HttpUpstream(BackEnd):
    """Client for one upstream; each attempt is a request on a connection of its own.

    A request is sent again only if it is repeatable, no answer came and the retry budget allows.
    """

    __slots__ = (
        "_budget",
        "_channel",
        "_running",
        "_request_ended",
        "_next_page",
        "_repeatable",
        "_connection_refused",
    )

    def __init__(self, scheduler_id: str, address: str, connections: int = 64) -> None:
        super().__init__(scheduler_id, address, connections)
        self._budget = RetryBudget(RETRY_RATIO_DEFAULT)
        self._channel = HttpChannel(address, max_idle_connections=connections)
        self._running: dict[str, tuple[Attempt, gevent.Greenlet]] = {}
        self._request_ended = Event()
        self._next_page = AnswerPage(0)
        self._repeatable: frozenset[str] = frozenset()
        self._connection_refused = False

    def apply_definition(self, definition: ServiceDefinition) -> None:
        """Apply the retry budget and the repeatable kinds of the service."""
        self._budget.ratio = definition.limits.retry_budget_ratio
        self._repeatable = frozenset(definition.repeatable_kinds)

    def close(self) -> None:
        """Abort the running requests and close all connections."""
        gevent.killall([greenlet for _, greenlet in self._running.values()])
        self._channel.close()

    def start_attempts(self, attempts: list[Attempt]) -> StartReport:
        """Send each request on its own connection; :meth:`next_answers` returns its outcome."""
        for attempt in attempts:
            greenlet = gevent.Greenlet(self._run, attempt)
            self._running[attempt.attempt] = (attempt, greenlet)
            greenlet.link(functools.partial(self._remove_running, attempt.attempt))
            greenlet.start()
        return StartReport(started=[attempt.attempt for attempt in attempts])

    def next_answers(self, after: int, wait_ms: float) -> AnswerPage:
        """Wait for ended requests, after a check of an upstream that has refused a connection."""
        if self._connection_refused and not self._request_ended.is_set():
            self.status()
        wait_for_event(self._request_ended, wait_ms / 1000)
        self._request_ended.clear()
        page, self._next_page = self._next_page, AnswerPage(after)
        page.last = after + len(page.answers)
        return page

    def find_attempts(self, job: str) -> list[FoundAttempt]:
        """Return the requests of a job that await their answers."""
        return [
            FoundAttempt(attempt.attempt, attempt.index, RUNNING)
            for attempt, _ in self._running.values()
            if attempt.job == job
        ]

    def stop_job(self, job: str) -> None:
        """Abort the running requests of a job and close their connections."""
        for attempt, greenlet in list(self._running.values()):
            if attempt.job == job:
                greenlet.kill(block=False)

    def status(self) -> BackEndStatus:
        """Check that the upstream accepts a connection and return its load."""
        try:
            self._channel.connect().close()
        except NotSent as error:
            raise BackEndError(str(error)) from error
        self._connection_refused = False
        return BackEndStatus(self.connections, len(self._running))

    def _remove_running(self, attempt: str, greenlet: gevent.Greenlet) -> None:
        """Remove a request that has ended, also one that was stopped before it began."""
        del self._running[attempt]
        self._request_ended.set()

    def _run(self, attempt: Attempt) -> None:
        started_s = time.monotonic()
        try:
            answer = self._request(attempt)
            if answer is None:
                self._next_page.lost.append(attempt.attempt)
            elif _proves_not_run(answer):
                self._next_page.refused[attempt.attempt] = REFUSED_NO_SLOT
            else:
                run_ms = (time.monotonic() - started_s) * 1000
                text = msgspec.json.encode(_to_upstream_answer(answer)).decode()
                self._next_page.answers.append(_attempt_answer(attempt, True, text, run_ms))
        except NotSent:
            self._connection_refused = True
            self._next_page.refused[attempt.attempt] = REFUSED_UNREACHABLE
        except (msgspec.MsgspecError, ValueError) as error:
            self._next_page.answers.append(
                _attempt_answer(attempt, False, f"malformed request: {error}", 0.0)
            )

    def _request(self, attempt: Attempt) -> HttpAnswer | None:
        """Return the answer, or None if the request may have run and no answer can be obtained."""
        request = _request_decoder.decode(attempt.payload)
        repeatable = request.repeatable or attempt.kind in self._repeatable
        timeout_ms = REQUEST_TIMEOUT_MS
        if repeatable:
            usual_ms = REPEATABLE_TIMEOUT_FACTOR * attempt.run_time_ms
            timeout_ms = max(REPEATABLE_TIMEOUT_MIN_MS, usual_ms)
        self._budget.record_first_send()
        try:
            return self._send(attempt, request, timeout_ms, new_connection=False)
        except AnswerLost:
            if not repeatable:
                return None
        for _ in range(RETRIES_MAX):
            if not self._budget.take_retry():
                return None
            try:
                answer = self._send(attempt, request, timeout_ms, new_connection=True)
            except (AnswerLost, NotSent):
                continue
            return None if _proves_not_run(answer) else answer
        return None

    def _send(
        self, attempt: Attempt, request: UpstreamRequest, timeout_ms: float, new_connection: bool
    ) -> HttpAnswer:
        dropped = CONNECTION_HEADERS | ATTEMPT_HEADERS
        headers = {
            name: value for name, value in request.headers.items() if name.lower() not in dropped
        }
        headers["Idempotency-Key"] = attempt.job
        headers["X-Attempt-Id"] = attempt.attempt
        return self._channel.exchange(
            request.method, request.path, request.content(), timeout_ms, headers, new_connection
        )


def _attempt_answer(attempt: Attempt, ok: bool, answer: str, run_ms: float) -> AttemptAnswer:
    return AttemptAnswer(attempt.attempt, attempt.job, attempt.index, ok, answer, run_ms)
