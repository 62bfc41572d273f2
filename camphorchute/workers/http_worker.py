"""Workers that are spoken to by HTTP/1.1 with JSON."""

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
POLL_GRACE_MS = 500.0
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
_started = msgspec.json.Decoder(_Started)
_answers = msgspec.json.Decoder(_Answers)
_found = msgspec.json.Decoder(_Found)
_status = msgspec.json.Decoder(BackEndStatus)


@register_back_end("worker")
class HttpWorker(BackEnd):
    """A worker behind the HTTP interface of ``docs/design/interfaces.md``.

    Starts, the long poll and the queries have connections of their own, so that a silent
    connection never stops more than one of the three.
    """

    __slots__ = ("_starts", "_polls", "_queries", "_home")

    def __init__(self, home_id: str, address: str, connections: int = 64) -> None:
        super().__init__(home_id, address, connections)
        self._home = quote(home_id, safe="")
        self._starts = HttpChannel(address, idle_max=1)
        self._polls = HttpChannel(address, idle_max=1)
        self._queries = HttpChannel(address, idle_max=1)

    def close(self) -> None:
        """Close the connections."""
        for channel in (self._starts, self._polls, self._queries):
            channel.close()

    def start_attempts(self, attempts: list[Attempt]) -> StartReport:
        """Start the attempts by one message, which is never sent twice."""
        ids = [attempt.attempt for attempt in attempts]
        body = _encode(_Start(self.home_id, attempts))
        try:
            answer = self._starts.exchange(
                "POST", "/v1/attempts", body, START_TIMEOUT_MS, headers=_JSON
            )
        except NotSent:
            return StartReport(refused=dict.fromkeys(ids, REFUSED_UNREACHABLE))
        except AnswerLost:
            return StartReport(unclear=ids)
        if answer.status != HTTP_OK:
            return StartReport(refused=dict.fromkeys(ids, f"status_{answer.status}"))
        try:
            refused = {item.attempt: item.reason for item in _started.decode(answer.body).refused}
        except msgspec.MsgspecError:
            return StartReport(unclear=ids)
        started = [attempt for attempt in ids if attempt not in refused]
        return StartReport(started, refused)

    def next_answers(self, after: int, wait_ms: float) -> AnswerPage:
        """Wait for answers by a long poll on its own connection."""
        target = f"/v1/answers?home={self._home}&after={after}&wait_ms={wait_ms:.0f}"
        answer = self._query(self._polls, "GET", target, b"", wait_ms + POLL_GRACE_MS)
        page = _decode(_answers, answer)
        return AnswerPage(page.last, page.answers)

    def find(self, job: str) -> list[FoundAttempt]:
        """Ask on a new connection what became of the attempts of a job."""
        body = _encode({"job": job, "home": self.home_id})
        answer = self._query(self._queries, "POST", "/v1/attempts/find", body, fresh=True)
        return _decode(_found, answer).attempts

    def stop(self, job: str) -> None:
        """Stop the running attempts of a job."""
        self._query(self._queries, "POST", "/v1/attempts/stop", _encode({"job": job}))

    def status(self) -> BackEndStatus:
        """Ask for size and load."""
        return _decode(_status, self._query(self._queries, "GET", "/v1/status", b""))

    def _query(
        self,
        channel: HttpChannel,
        method: str,
        target: str,
        body: bytes,
        timeout_ms: float = QUERY_TIMEOUT_MS,
        fresh: bool = False,
    ) -> HttpAnswer:
        try:
            answer = channel.exchange(method, target, body, timeout_ms, _JSON, fresh)
        except (NotSent, AnswerLost) as error:
            raise BackEndError(str(error)) from error
        if answer.status != HTTP_OK:
            raise BackEndError(f"{self.address}: status {answer.status} for {target}")
        return answer


def _decode(decoder: msgspec.json.Decoder, answer: HttpAnswer):
    try:
        return decoder.decode(answer.body)
    except msgspec.MsgspecError as error:
        raise BackEndError(f"malformed answer: {error}") from error
