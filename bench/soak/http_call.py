"""One HTTP call of a stand-in caller, recorded with its answer and whether it connected."""

import http.client

import msgspec

from bench.soak.records import Call, CallKind
from bench.soak.soak_fleet import now_unix_ms

__all__ = ["make_call"]

CONNECT_TIMEOUT_S = 2.0
PROBLEM_TYPE = "application/problem+json"
CODE_INTERNAL = 699


class _Answer(msgspec.Struct):
    code: int = 0
    may_have_run: str = ""
    answers: list[str] = []
    detail: str = ""


class _UpstreamAnswer(msgspec.Struct):
    key: str = ""


class _Envelope(msgspec.Struct):
    body: str = "{}"


def make_call(
    call: Call,
    address: str,
    method: str,
    path: str,
    body: bytes,
    headers: dict[str, str],
    timeout_s: float,
) -> None:
    """Make a call on a new connection and record its times, answer or error.

    Connection errors and timeouts are recorded, not raised.

    Args:
        call: the record to fill in.
        address: ``IP:port`` of the entry process.
        method: HTTP method.
        path: path with query.
        body: request body, sent as JSON.
        headers: further request headers.
        timeout_s: socket timeout in seconds after the connection is made.

    Raises:
        msgspec.DecodeError: if the body of the answer is not of the expected form.
    """
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=CONNECT_TIMEOUT_S)
    call.sent_unix_ms = now_unix_ms()
    try:
        call.connected = False
        connection.connect()
        call.connected = True
        connection.sock.settimeout(timeout_s)
        connection.request(method, path, body, {"Content-Type": "application/json", **headers})
        response = connection.getresponse()
        content = response.read()
        call.ended_unix_ms = now_unix_ms()
        _record_answer(call, response, content)
    except (OSError, http.client.HTTPException) as error:
        call.ended_unix_ms = now_unix_ms()
        call.detail = repr(error)
    finally:
        connection.close()


def _record_answer(call: Call, response: http.client.HTTPResponse, content: bytes) -> None:
    call.status = response.status
    is_problem = response.getheader("Content-Type", "").startswith(PROBLEM_TYPE)
    if call.kind is CallKind.REQUEST and not is_problem:
        call.code = 0 if response.status == 200 else CODE_INTERNAL
        call.answers = [msgspec.json.decode(content, type=_UpstreamAnswer).key]
        return
    answer = msgspec.json.decode(content, type=_Answer)
    call.code = answer.code
    call.fate = answer.may_have_run
    call.answers = answer.answers
    if call.is_for_upstream:
        call.answers = [_decode_envelope_key(text) for text in answer.answers]
    call.detail = answer.detail


def _decode_envelope_key(text: str) -> str:
    """Return the key in an upstream's answer, given the JSON envelope that job answers hold."""
    envelope = msgspec.json.decode(text, type=_Envelope)
    return msgspec.json.decode(envelope.body, type=_UpstreamAnswer).key
