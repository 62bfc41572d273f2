"""Each check finds its violation in constructed records, and valid records pass all checks."""

from collections.abc import Callable

import pytest

from bench.soak.checker import CHECKS, complete_ratio, run_checks
from bench.soak.records import (
    Call,
    CallKind,
    Drain,
    EntryIncarnation,
    ObservedRevision,
    RequestRun,
    SoakRecords,
    TaskStart,
)
from camphorchute.contracts import ResultCode, code_info

KEY = "north:k1"
BEGIN_MS = 10_000.0
WORKER = "127.32.100.1:9100"
UPSTREAM = "127.32.150.1:9100"


def make_answered_call(
    code: ResultCode,
    kind: CallKind = CallKind.SUBMIT,
    sent_ms: float = BEGIN_MS,
    ended_ms: float = BEGIN_MS + 500,
    answers: list[str] | None = None,
    task_count: int = 2,
    **fields: object,
) -> Call:
    call = Call(kind, KEY, task_count, EntryIncarnation("e1"), **fields)
    call.sent_unix_ms, call.ended_unix_ms = sent_ms, ended_ms
    info = code_info(code)
    call.status, call.code = info.http_status, int(code)
    call.fate = "" if code is ResultCode.COMPLETE else info.fate.value
    call.answers = answers or []
    return call


def make_unanswered_call(
    incarnation: EntryIncarnation, sent_ms: float = BEGIN_MS, ended_ms: float = BEGIN_MS + 500
) -> Call:
    call = Call(CallKind.SUBMIT, KEY, 2, incarnation)
    call.sent_unix_ms, call.ended_unix_ms = sent_ms, ended_ms
    return call


def make_complete_call(answers: list[str], **fields: object) -> Call:
    return make_answered_call(ResultCode.COMPLETE, answers=answers, **fields)


def make_start(index: int, at_ms: float = BEGIN_MS + 100, worker: str = WORKER) -> TaskStart:
    return TaskStart(worker, KEY, index, at_ms)


def make_run(at_ms: float = BEGIN_MS + 100) -> RequestRun:
    return RequestRun(UPSTREAM, KEY, at_ms)


def make_request(repeatable: bool = False) -> Call:
    call = make_answered_call(ResultCode.COMPLETE, CallKind.REQUEST, answers=[KEY], task_count=1)
    call.repeatable = repeatable
    return call


def make_incarnation(**fields: object) -> EntryIncarnation:
    incarnation = EntryIncarnation("e1")
    for name, value in fields.items():
        setattr(incarnation, name, value)
    return incarnation


def make_drain(
    until_ms: float = float("inf"), outage_span: tuple[float, float] | None = None
) -> Drain:
    drain = Drain(WORKER, BEGIN_MS)
    drain.undrain_sent_unix_ms = until_ms
    drain.config_outage_spans = [outage_span] if outage_span else []
    return drain


def make_records(
    calls: tuple = (),
    starts: tuple = (),
    runs: tuple = (),
    drains: tuple = (),
    revisions: tuple = (),
) -> SoakRecords:
    records = SoakRecords()
    records.calls, records.starts, records.runs = list(calls), list(starts), list(runs)
    records.drains = list(drains)
    records.revisions = [ObservedRevision(member, revision) for member, revision in revisions]
    return records


def make_reverted_records() -> SoakRecords:
    records = SoakRecords()
    records.reverted_changes = ["flags at e1: revision 3, confirmed 4"]
    return records


COMPLETE_ANSWERS = [f"{KEY}/0", f"{KEY}/1"]
NOT_RUN = ResultCode.OVERLOADED
CANCELLED = ResultCode.CANCELLED_BEFORE_START
LATE_MS = BEGIN_MS + 3500

VIOLATING_RECORDS = [
    ("double_starts", lambda: make_records(starts=(make_start(0), make_start(0)))),
    (
        "double_starts",
        lambda: make_records(starts=(make_start(0), make_start(0, worker="127.32.100.2:9100"))),
    ),
    ("double_starts", lambda: make_records((make_request(),), runs=(make_run(), make_run()))),
    ("partial_answers", lambda: make_records((make_complete_call(COMPLETE_ANSWERS[:1]),))),
    ("partial_answers", lambda: make_records((make_complete_call([]),))),
    (
        "partial_answers",
        lambda: make_records(
            (
                make_answered_call(ResultCode.ACCEPTED, task_count=3),
                make_complete_call(COMPLETE_ANSWERS, kind=CallKind.FETCH, task_count=3),
            )
        ),
    ),
    ("crossed_answers", lambda: make_records((make_complete_call(["north:k2/0", f"{KEY}/1"]),))),
    ("crossed_answers", lambda: make_records((make_complete_call(COMPLETE_ANSWERS[::-1]),))),
    (
        "crossed_answers",
        lambda: make_records(
            (make_complete_call(["north:k2"], kind=CallKind.REQUEST, task_count=1),)
        ),
    ),
    ("false_not_run", lambda: make_records((make_answered_call(NOT_RUN),), (make_start(0),))),
    (
        "false_not_run",
        lambda: make_records((make_answered_call(NOT_RUN),), (make_start(0, BEGIN_MS - 100),)),
    ),
    (
        "false_not_run",
        lambda: make_records((make_answered_call(NOT_RUN),), (make_start(0, BEGIN_MS + 9000),)),
    ),
    (
        "false_not_run",
        lambda: make_records(
            (
                make_answered_call(NOT_RUN),
                make_unanswered_call(make_incarnation(killed_unix_ms=1.0), sent_ms=BEGIN_MS - 200),
            ),
            (make_start(0, BEGIN_MS - 100),),
        ),
    ),
    (
        "false_not_run",
        lambda: make_records(
            (make_answered_call(NOT_RUN), make_answered_call(NOT_RUN, ended_ms=BEGIN_MS + 50)),
            (make_start(0),),
        ),
    ),
    (
        "false_not_run",
        lambda: make_records(
            (
                make_answered_call(CANCELLED, CallKind.CANCEL),
                make_answered_call(ResultCode.ACCEPTED, sent_ms=9000.0),
            ),
            (make_start(0, BEGIN_MS + 900),),
        ),
    ),
    (
        "false_not_run",
        lambda: make_records(
            (make_answered_call(NOT_RUN, CallKind.REQUEST, task_count=1),), runs=(make_run(),)
        ),
    ),
    ("unanswered", lambda: make_records((make_unanswered_call(make_incarnation()),))),
    (
        "unanswered",
        lambda: make_records(
            (make_unanswered_call(make_incarnation(ended_unix_ms=BEGIN_MS + 100)),)
        ),
    ),
    (
        "unanswered",
        lambda: make_records(
            (make_unanswered_call(make_incarnation(killed_unix_ms=BEGIN_MS + 5000)),)
        ),
    ),
    (
        "unanswered",
        lambda: make_records((make_unanswered_call(make_incarnation(pauses=[[1000.0, 2000.0]])),)),
    ),
    (
        "cut_in_flight",
        lambda: make_records(
            (make_unanswered_call(make_incarnation(stopped_unix_ms=BEGIN_MS + 100)),)
        ),
    ),
    (
        "late_to_leaving",
        lambda: make_records(starts=(make_start(0, LATE_MS),), drains=(make_drain(),)),
    ),
    (
        "late_to_leaving",
        lambda: make_records(
            starts=(make_start(0, LATE_MS),), drains=(make_drain(outage_span=(0.0, 9000.0)),)
        ),
    ),
    ("config_reverted", lambda: make_records(revisions=(("m1", 4), ("m2", 5), ("m1", 3)))),
    ("config_reverted", make_reverted_records),
]

VALID_RECORDS = [
    make_records,
    lambda: make_records((make_complete_call(COMPLETE_ANSWERS),), (make_start(0), make_start(1))),
    lambda: make_records((make_request(repeatable=True),), runs=(make_run(), make_run())),
    lambda: make_records((make_request(),), runs=(make_run(),)),
    lambda: make_records((make_answered_call(ResultCode.TASK_FAILED),), (make_start(0),)),
    lambda: make_records(
        (
            make_complete_call(COMPLETE_ANSWERS, body_number=1),
            make_answered_call(ResultCode.KEY_CONFLICT, task_count=1),
            make_complete_call(COMPLETE_ANSWERS, kind=CallKind.FETCH, task_count=1),
        )
    ),
    lambda: make_records(
        (make_answered_call(ResultCode.KEY_CONFLICT, body_number=1),), (make_start(0),)
    ),
    lambda: make_records(
        (make_answered_call(NOT_RUN), make_complete_call(COMPLETE_ANSWERS, sent_ms=BEGIN_MS + 800)),
        (make_start(0, BEGIN_MS + 900), make_start(1, BEGIN_MS + 900)),
    ),
    lambda: make_records(
        (
            make_answered_call(NOT_RUN),
            make_unanswered_call(make_incarnation(killed_unix_ms=BEGIN_MS + 1)),
        ),
        (make_start(0),),
    ),
    lambda: make_records((make_unanswered_call(make_incarnation(killed_unix_ms=BEGIN_MS + 100)),)),
    lambda: make_records(
        (make_unanswered_call(make_incarnation(pauses=[[BEGIN_MS, float("inf")]])),)
    ),
    lambda: make_records(starts=(make_start(0, BEGIN_MS + 2900),), drains=(make_drain(),)),
    lambda: make_records(
        starts=(make_start(0, LATE_MS),), drains=(make_drain(until_ms=LATE_MS - 100),)
    ),
    lambda: make_records(
        starts=(make_start(0, LATE_MS),),
        drains=(make_drain(outage_span=(BEGIN_MS, BEGIN_MS + 2000)),),
    ),
    lambda: make_records(revisions=(("m1", 4), ("m2", 3), ("m1", 4), ("m1", 6))),
]


@pytest.mark.parametrize(("name", "make"), VIOLATING_RECORDS)
def test_violation_is_found_by_its_check_only(name: str, make: Callable[[], SoakRecords]) -> None:
    violations = run_checks(make())
    assert [found for found, lines in violations.items() if lines] == [name]


@pytest.mark.parametrize("make", VALID_RECORDS)
def test_valid_records_pass_all_checks(make: Callable[[], SoakRecords]) -> None:
    assert not any(run_checks(make()).values())


def test_every_check_has_a_violating_case() -> None:
    assert {name for name, _ in VIOLATING_RECORDS} == set(CHECKS)


def test_call_that_never_connected_is_not_reported_as_unanswered() -> None:
    call = make_unanswered_call(make_incarnation())
    call.connected = False
    assert not any(run_checks(make_records((call,))).values())


@pytest.mark.parametrize(
    ("calls", "ratio"),
    [
        ((), 1.0),
        ((make_complete_call(COMPLETE_ANSWERS),), 1.0),
        ((make_answered_call(NOT_RUN),), 0.0),
        ((make_answered_call(NOT_RUN), make_complete_call(COMPLETE_ANSWERS)), 1.0),
        ((make_answered_call(CANCELLED, CallKind.CANCEL), make_answered_call(CANCELLED)), 1.0),
    ],
)
def test_complete_ratio_excludes_cancelled_keys(calls: tuple, ratio: float) -> None:
    assert complete_ratio(make_records(calls)) == ratio
