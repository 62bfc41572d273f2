"""One HTTP call of a stand-in caller, which tells whether a connection was made."""

import http.client

import msgspec

from bench.soak.records import Call, CallKind
from bench.soak.site import now_unix_ms

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
    """Make a call on a new connection and note its answer in the record."""
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
        _note_answer(call, response, content)
    except (OSError, http.client.HTTPException) as error:
        call.ended_unix_ms = now_unix_ms()
        call.detail = repr(error)
    finally:
        connection.close()


def _note_answer(call: Call, response: http.client.HTTPResponse, content: bytes) -> None:
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
    if call.for_upstream:
        call.answers = [_key_of_envelope(text) for text in answer.answers]
    call.detail = answer.detail


def _key_of_envelope(text: str) -> str:
    """Return the key in an upstream's answer, as the answer to a fetch holds it."""
    envelope = msgspec.json.decode(text, type=_Envelope)
    return msgspec.json.decode(envelope.body, type=_UpstreamAnswer).key
