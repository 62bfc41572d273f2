"""Client for workers that speak HTTP/1.1 with JSON bodies."""

from urllib.parse import quote

import msgspec

from camphorchute.workers.back_end import (
    REFUSED_UNREACHABLE,
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

__all__ = ["HttpWorker"]

START_TIMEOUT_MS = 1000.0
QUERY_TIMEOUT_MS = 1000.0
POLL_TIMEOUT_MARGIN_MS = 500.0
HTTP_OK = 200

_JSON = {"Content-Type": "application/json"}


class _Start(msgspec.Struct):
    home: str
    attempts: list[Attempt]


class _Refusal(msgspec.Struct):
    attempt: str
    reason: str = "refused"


class _Started(msgspec.Struct):
    refused: list[_Refusal]


class _Answers(msgspec.Struct):
    last: int
    answers: list[AttemptAnswer]


class _Found(msgspec.Struct):
    attempts: list[FoundAttempt]


_encode = msgspec.json.encode
_start_decoder = msgspec.json.Decoder(_Started)
_answers_decoder = msgspec.json.Decoder(_Answers)
_found_decoder = msgspec.json.Decoder(_Found)
_status_decoder = msgspec.json.Decoder(BackEndStatus)


@register_back_end("worker")
class HttpWorker(BackEnd):
    """Client for one worker with the HTTP interface of ``docs/design/interfaces.md``.

    Start messages, the long poll and the queries use separate connections, so that an
    unresponsive connection delays only one of the three.
    """

    __slots__ = ("_start_channel", "_poll_channel", "_query_channel", "_quoted_scheduler_id")

    def __init__(self, scheduler_id: str, address: str, connections: int = 64) -> None:
        super().__init__(scheduler_id, address, connections)
        self._quoted_scheduler_id = quote(scheduler_id, safe="")
        self._start_channel = HttpChannel(address, max_idle_connections=1)
        self._poll_channel = HttpChannel(address, max_idle_connections=1)
        self._query_channel = HttpChannel(address, max_idle_connections=1)

    def close(self) -> None:
        """Close the connections."""
        for channel in (self._start_channel, self._poll_channel, self._query_channel):
            channel.close()

    def start_attempts(self, attempts: list[Attempt]) -> StartReport:
        """Start attempts with one start message, which is sent at most once."""
        ids = [attempt.attempt for attempt in attempts]
        body = _encode(_Start(self.scheduler_id, attempts))
        try:
            answer = self._start_channel.exchange(
                "POST", "/v1/attempts", body, START_TIMEOUT_MS, headers=_JSON
            )
        except NotSent:
            return StartReport(refused=dict.fromkeys(ids, REFUSED_UNREACHABLE))
        except AnswerLost:
            return StartReport(unclear=ids)
        if answer.status != HTTP_OK:
            return StartReport(refused=dict.fromkeys(ids, f"status_{answer.status}"))
        try:
            refused = {
                item.attempt: item.reason for item in _start_decoder.decode(answer.body).refused
            }
        except msgspec.MsgspecError:
            return StartReport(unclear=ids)
        started = [attempt for attempt in ids if attempt not in refused]
        return StartReport(started, refused)

    def next_answers(self, after: int, wait_ms: float) -> AnswerPage:
        """Wait for answers numbered over ``after`` with a long poll on its own connection."""
        target = f"/v1/answers?home={self._quoted_scheduler_id}&after={after}&wait_ms={wait_ms:.0f}"
        answer = self._query(
            self._poll_channel, "GET", target, b"", wait_ms + POLL_TIMEOUT_MARGIN_MS
        )
        page = _decode(_answers_decoder, answer)
        return AnswerPage(page.last, page.answers)

    def find_attempts(self, job: str) -> list[FoundAttempt]:
        """Query the attempts of a job on a new connection."""
        body = _encode({"job": job, "home": self.scheduler_id})
        answer = self._query(
            self._query_channel, "POST", "/v1/attempts/find", body, new_connection=True
        )
        return _decode(_found_decoder, answer).attempts

    def stop_job(self, job: str) -> None:
        """Stop the running attempts of a job."""
        self._query(self._query_channel, "POST", "/v1/attempts/stop", _encode({"job": job}))

    def status(self) -> BackEndStatus:
        """Query the size and the load of the worker."""
        return _decode(_status_decoder, self._query(self._query_channel, "GET", "/v1/status", b""))

    def _query(
        self,
        channel: HttpChannel,
        method: str,
        target: str,
        body: bytes,
        timeout_ms: float = QUERY_TIMEOUT_MS,
        new_connection: bool = False,
    ) -> HttpAnswer:
        try:
            answer = channel.exchange(method, target, body, timeout_ms, _JSON, new_connection)
        except (NotSent, AnswerLost) as error:
            raise BackEndError(str(error)) from error
        if answer.status != HTTP_OK:
            raise BackEndError(f"{self.address}: status {answer.status} for {target}, expected 200")
        return answer


def _decode(decoder: msgspec.json.Decoder, answer: HttpAnswer):
    try:
        return decoder.decode(answer.body)
    except msgspec.MsgspecError as error:
        raise BackEndError(f"malformed answer of a worker: {error}") from error
