"""Compare the records of workers and upstreams with those of the callers.

Each check returns the broken promises as sentences; their number is the figure of the run.
"""

from collections import Counter, defaultdict
from collections.abc import Callable

from bench.soak.records import Call, CallKind, Drain, Evidence
from camphorchute.contracts import ResultCode
from camphorchute.contracts.codes import Fate

__all__ = ["CHECKS", "check", "complete_ratio"]

LEAVING_GRACE_MS = 3000.0
NOT_RUN = Fate.NOT_RUN.value
UNCOUNTED_CODES = (ResultCode.CANCELLED, ResultCode.CANCELLED_BEFORE_START)

Check = Callable[[Evidence], list[str]]
CHECKS: dict[str, Check] = {}


def promise(function: Check) -> Check:
    """Add a check to the registry under its name."""
    CHECKS[function.__name__] = function
    return function


def check(evidence: Evidence) -> dict[str, list[str]]:
    """Return the broken promises by the name of the check."""
    return {name: function(evidence) for name, function in CHECKS.items()}


def complete_ratio(evidence: Evidence) -> float:
    """Return the share of keys answered complete, without those that were cancelled."""
    complete, all_keys, cancelled = set(), set(), set()
    for call in evidence.calls:
        if call.kind is CallKind.CANCEL or call.code in UNCOUNTED_CODES:
            cancelled.add(call.key)
        if call.is_complete:
            complete.add(call.key)
        if call.is_submission:
            all_keys.add(call.key)
    counted = all_keys - cancelled
    return round(len(complete & counted) / len(counted), 4) if counted else 1.0


@promise
def double_starts(evidence: Evidence) -> list[str]:
    """Every task starts at most once, and so does a request that may not be repeated."""
    tasks = Counter((start.key, start.index) for start in evidence.starts)
    broken = [f"{key}/{index} started {n} times" for (key, index), n in tasks.items() if n > 1]
    repeatable = {call.key for call in evidence.calls if call.repeatable}
    runs = Counter(run.key for run in evidence.runs if run.key not in repeatable)
    return broken + [f"request {key} ran {n} times" for key, n in runs.items() if n > 1]


@promise
def partial_answers(evidence: Evidence) -> list[str]:
    """A complete answer holds one answer for each task.

    A fetch or a cancel is answered for the body that the key belongs to, which may be the
    conflicting one where that came first.
    """
    tasks: dict[str, set[int]] = defaultdict(set)
    for call in evidence.calls:
        if call.is_submission and call.connected:
            tasks[call.key].add(call.tasks)
    return [
        f"{call.key}: {len(call.answers)} answers to {call.tasks} tasks"
        for call in evidence.calls
        if call.is_complete
        if len(call.answers) not in ({call.tasks} if call.is_submission else tasks[call.key])
    ]


@promise
def crossed_answers(evidence: Evidence) -> list[str]:
    """Every answer belongs to the job and the place that it was given for."""
    broken = []
    for call in evidence.calls:
        if not call.is_complete:
            continue
        for index, answer in enumerate(call.answers):
            own = call.key if call.for_upstream else f"{call.key}/{index}"
            if answer != own:
                broken.append(f"{own} was answered {answer!r}")
    return broken


@promise
def false_not_run(evidence: Evidence) -> list[str]:
    """Where an answer says "not run", no task started, and none starts from that attempt."""
    started = defaultdict(list)
    for start in (*evidence.starts, *evidence.runs):
        started[start.key].append(start.unix_ms)
    submissions = defaultdict(list)
    for call in evidence.calls:
        if call.is_submission and call.connected:
            submissions[call.key].append(call)
    return [
        f"{call.key}: code {call.code} says not run, started at {unix_ms - call.sent_unix_ms:.0f}"
        f" ms after it was sent, answered after {call.ended_unix_ms - call.sent_unix_ms:.0f} ms"
        for call in evidence.calls
        if call.fate == NOT_RUN and call.code != ResultCode.KEY_CONFLICT
        for unix_ms in started[call.key]
        if not _is_explained(call, unix_ms, submissions[call.key])
    ]


def _is_explained(call: Call, start_unix_ms: float, submissions: list[Call]) -> bool:
    """Whether another submission of the key can have made a start that an answer denies.

    What is said of a whole job, to a fetch, a cancel, or as cancelled, also covers the
    submissions that were sent before.
    """
    if start_unix_ms < call.sent_unix_ms:
        return False
    speaks_of_job = not call.is_submission or call.code == ResultCode.CANCELLED_BEFORE_START
    return any(
        other is not call
        and other.sent_unix_ms <= start_unix_ms
        and (other.fate != NOT_RUN or other.ended_unix_ms >= start_unix_ms)
        and not (speaks_of_job and other.sent_unix_ms < call.sent_unix_ms)
        for other in submissions
    )


@promise
def unanswered(evidence: Evidence) -> list[str]:
    """Every caller gets an answer from an entry process that is not killed or paused."""
    return [
        _describe(call)
        for call in evidence.calls
        if _has_no_answer(call) and not _was_disturbed(call)
        if not call.life.was_stopped_by(call.ended_unix_ms)
    ]


@promise
def cut_in_flight(evidence: Evidence) -> list[str]:
    """An orderly stop cuts off no request in flight."""
    return [
        _describe(call)
        for call in evidence.calls
        if _has_no_answer(call) and not _was_disturbed(call)
        if call.life.was_stopped_by(call.ended_unix_ms)
    ]


def _has_no_answer(call: Call) -> bool:
    return call.connected and not call.status


def _was_disturbed(call: Call) -> bool:
    ended_unix_ms = call.ended_unix_ms
    return call.life.was_killed_by(ended_unix_ms) or call.life.was_paused_in(
        call.sent_unix_ms, ended_unix_ms
    )


def _describe(call: Call) -> str:
    spent_ms = call.ended_unix_ms - call.sent_unix_ms
    return (
        f"{call.kind.value} {call.key} at {call.life.name}: no answer after {spent_ms:.0f} ms, "
        f"{call.detail}"
    )


@promise
def late_to_leaving(evidence: Evidence) -> list[str]:
    """A back end that leaves receives no new work after a few seconds."""
    arrivals = [(start.worker, start.key, start.unix_ms) for start in evidence.starts]
    arrivals += [(run.upstream, run.key, run.unix_ms) for run in evidence.runs]
    return [
        f"{key} started at {address} {unix_ms - drain.confirmed_unix_ms:.0f} ms after its drain"
        for drain in evidence.drains
        for address, key, unix_ms in arrivals
        if address == drain.address
        if drain.confirmed_unix_ms + LEAVING_GRACE_MS < unix_ms < drain.until_unix_ms
        if not _was_blind(drain, unix_ms)
    ]


def _was_blind(drain: Drain, unix_ms: float) -> bool:
    since_unix_ms = unix_ms - LEAVING_GRACE_MS
    return any(begin <= unix_ms and end >= since_unix_ms for begin, end in drain.blind_spans)


@promise
def config_reverted(evidence: Evidence) -> list[str]:
    """A confirmed configuration is in force, and no process goes back to an older one."""
    broken = list(evidence.reverted)
    highest: dict[str, int] = {}
    for seen in evidence.revisions:
        before = highest.get(seen.member, 0)
        if seen.revision < before:
            broken.append(f"{seen.member} went from revision {before} to {seen.revision}")
        highest[seen.member] = max(before, seen.revision)
    return broken
