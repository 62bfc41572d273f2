"""Each broken promise is found in made-up records, and nothing is found in sound ones."""

from collections.abc import Callable

import pytest

from bench.soak.checker import CHECKS, check, complete_ratio
from bench.soak.records import (
    Call,
    CallKind,
    Drain,
    EntryLife,
    Evidence,
    RequestRun,
    RevisionSeen,
    Start,
)
from camphorchute.contracts import ResultCode, code_info

KEY = "north:k1"
BEGIN_MS = 10_000.0
WORKER = "127.32.100.1:9100"
UPSTREAM = "127.32.150.1:9100"


def answered(
    code: ResultCode,
    kind: CallKind = CallKind.SUBMIT,
    sent_ms: float = BEGIN_MS,
    ended_ms: float = BEGIN_MS + 500,
    answers: list[str] | None = None,
    tasks: int = 2,
    **fields: object,
) -> Call:
    call = Call(kind, KEY, tasks, EntryLife("e1"), **fields)
    call.sent_unix_ms, call.ended_unix_ms = sent_ms, ended_ms
    info = code_info(code)
    call.status, call.code = info.http_status, int(code)
    call.fate = "" if code is ResultCode.COMPLETE else info.fate.value
    call.answers = answers or []
    return call


def lost(life: EntryLife, sent_ms: float = BEGIN_MS, ended_ms: float = BEGIN_MS + 500) -> Call:
    call = Call(CallKind.SUBMIT, KEY, 2, life)
    call.sent_unix_ms, call.ended_unix_ms = sent_ms, ended_ms
    return call


def complete(answers: list[str], **fields: object) -> Call:
    return answered(ResultCode.COMPLETE, answers=answers, **fields)


def start(index: int, at_ms: float = BEGIN_MS + 100, worker: str = WORKER) -> Start:
    return Start(worker, KEY, index, at_ms)


def run(at_ms: float = BEGIN_MS + 100) -> RequestRun:
    return RequestRun(UPSTREAM, KEY, at_ms)


def request(repeatable: bool = False) -> Call:
    call = answered(ResultCode.COMPLETE, CallKind.REQUEST, answers=[KEY], tasks=1)
    call.repeatable = repeatable
    return call


def life(**fields: object) -> EntryLife:
    made = EntryLife("e1")
    for name, value in fields.items():
        setattr(made, name, value)
    return made


def drain(until_ms: float = float("inf"), blind: tuple[float, float] | None = None) -> Drain:
    made = Drain(WORKER, BEGIN_MS)
    made.until_unix_ms = until_ms
    made.blind_spans = [blind] if blind else []
    return made


def evidence(
    calls: tuple = (), starts: tuple = (), runs: tuple = (), drains: tuple = (), seen: tuple = ()
) -> Evidence:
    made = Evidence()
    made.calls, made.starts, made.runs = list(calls), list(starts), list(runs)
    made.drains = list(drains)
    made.revisions = [RevisionSeen(member, revision) for member, revision in seen]
    return made


def reverted() -> Evidence:
    made = Evidence()
    made.reverted = ["flags at e1: revision 3, confirmed 4"]
    return made


WHOLE = [f"{KEY}/0", f"{KEY}/1"]
NOT_RUN = ResultCode.OVERLOADED
CANCELLED = ResultCode.CANCELLED_BEFORE_START
LATE_MS = BEGIN_MS + 3500

BROKEN = [
    ("double_starts", lambda: evidence(starts=(start(0), start(0)))),
    ("double_starts", lambda: evidence(starts=(start(0), start(0, worker="127.32.100.2:9100")))),
    ("double_starts", lambda: evidence((request(),), runs=(run(), run()))),
    ("partial_answers", lambda: evidence((complete(WHOLE[:1]),))),
    ("partial_answers", lambda: evidence((complete([]),))),
    (
        "partial_answers",
        lambda: evidence(
            (answered(ResultCode.ACCEPTED, tasks=3), complete(WHOLE, kind=CallKind.FETCH, tasks=3))
        ),
    ),
    ("crossed_answers", lambda: evidence((complete(["north:k2/0", f"{KEY}/1"]),))),
    ("crossed_answers", lambda: evidence((complete(WHOLE[::-1]),))),
    (
        "crossed_answers",
        lambda: evidence((complete(["north:k2"], kind=CallKind.REQUEST, tasks=1),)),
    ),
    ("false_not_run", lambda: evidence((answered(NOT_RUN),), (start(0),))),
    ("false_not_run", lambda: evidence((answered(NOT_RUN),), (start(0, BEGIN_MS - 100),))),
    ("false_not_run", lambda: evidence((answered(NOT_RUN),), (start(0, BEGIN_MS + 9000),))),
    (
        "false_not_run",
        lambda: evidence(
            (answered(NOT_RUN), lost(life(killed_unix_ms=1.0), sent_ms=BEGIN_MS - 200)),
            (start(0, BEGIN_MS - 100),),
        ),
    ),
    (
        "false_not_run",
        lambda: evidence(
            (answered(NOT_RUN), answered(NOT_RUN, ended_ms=BEGIN_MS + 50)), (start(0),)
        ),
    ),
    (
        "false_not_run",
        lambda: evidence(
            (answered(CANCELLED, CallKind.CANCEL), answered(ResultCode.ACCEPTED, sent_ms=9000.0)),
            (start(0, BEGIN_MS + 900),),
        ),
    ),
    (
        "false_not_run",
        lambda: evidence((answered(NOT_RUN, CallKind.REQUEST, tasks=1),), runs=(run(),)),
    ),
    ("unanswered", lambda: evidence((lost(life()),))),
    ("unanswered", lambda: evidence((lost(life(ended_unix_ms=BEGIN_MS + 100)),))),
    ("unanswered", lambda: evidence((lost(life(killed_unix_ms=BEGIN_MS + 5000)),))),
    ("unanswered", lambda: evidence((lost(life(pauses=[[1000.0, 2000.0]])),))),
    ("cut_in_flight", lambda: evidence((lost(life(stopped_unix_ms=BEGIN_MS + 100)),))),
    ("late_to_leaving", lambda: evidence(starts=(start(0, LATE_MS),), drains=(drain(),))),
    (
        "late_to_leaving",
        lambda: evidence(starts=(start(0, LATE_MS),), drains=(drain(blind=(0.0, 9000.0)),)),
    ),
    ("config_reverted", lambda: evidence(seen=(("m1", 4), ("m2", 5), ("m1", 3)))),
    ("config_reverted", reverted),
]

SOUND = [
    evidence,
    lambda: evidence((complete(WHOLE),), (start(0), start(1))),
    lambda: evidence((request(repeatable=True),), runs=(run(), run())),
    lambda: evidence((request(),), runs=(run(),)),
    lambda: evidence((answered(ResultCode.TASK_FAILED),), (start(0),)),
    lambda: evidence(
        (
            complete(WHOLE, body_number=1),
            answered(ResultCode.KEY_CONFLICT, tasks=1),
            complete(WHOLE, kind=CallKind.FETCH, tasks=1),
        )
    ),
    lambda: evidence((answered(ResultCode.KEY_CONFLICT, body_number=1),), (start(0),)),
    lambda: evidence(
        (answered(NOT_RUN), complete(WHOLE, sent_ms=BEGIN_MS + 800)),
        (start(0, BEGIN_MS + 900), start(1, BEGIN_MS + 900)),
    ),
    lambda: evidence((answered(NOT_RUN), lost(life(killed_unix_ms=BEGIN_MS + 1))), (start(0),)),
    lambda: evidence((lost(life(killed_unix_ms=BEGIN_MS + 100)),)),
    lambda: evidence((lost(life(pauses=[[BEGIN_MS, float("inf")]])),)),
    lambda: evidence(starts=(start(0, BEGIN_MS + 2900),), drains=(drain(),)),
    lambda: evidence(starts=(start(0, LATE_MS),), drains=(drain(until_ms=LATE_MS - 100),)),
    lambda: evidence(
        starts=(start(0, LATE_MS),), drains=(drain(blind=(BEGIN_MS, BEGIN_MS + 2000)),)
    ),
    lambda: evidence(seen=(("m1", 4), ("m2", 3), ("m1", 4), ("m1", 6))),
]


@pytest.mark.parametrize(("name", "make"), BROKEN)
def test_broken_promise_is_found_alone(name: str, make: Callable[[], Evidence]) -> None:
    broken = check(make())
    assert [found for found, lines in broken.items() if lines] == [name]


@pytest.mark.parametrize("make", SOUND)
def test_sound_records_break_nothing(make: Callable[[], Evidence]) -> None:
    assert not any(check(make()).values())


def test_every_check_has_a_broken_case() -> None:
    assert {name for name, _ in BROKEN} == set(CHECKS)


def test_call_that_never_connected_is_not_unanswered() -> None:
    call = lost(life())
    call.connected = False
    assert not any(check(evidence((call,))).values())


@pytest.mark.parametrize(
    ("calls", "ratio"),
    [
        ((), 1.0),
        ((complete(WHOLE),), 1.0),
        ((answered(NOT_RUN),), 0.0),
        ((answered(NOT_RUN), complete(WHOLE)), 1.0),
        ((answered(CANCELLED, CallKind.CANCEL), answered(CANCELLED)), 1.0),
    ],
)
def test_complete_ratio(calls: tuple, ratio: float) -> None:
    assert complete_ratio(evidence(calls)) == ratio
