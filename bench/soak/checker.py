"""Checks of the dispatcher's guarantees against the records of a soak run.

The checks compare what workers and upstreams ran with what callers and operators were answered.
Each check returns one message for each violation; the run reports the number of messages under
the name of the check.
"""

from collections import Counter, defaultdict
from collections.abc import Callable

from bench.soak.records import Call, CallKind, Drain, SoakRecords
from camphorchute.contracts import ResultCode
from camphorchute.contracts.codes import Fate

__all__ = ["CHECKS", "run_checks", "complete_ratio"]

DRAIN_GRACE_MS = 3000.0
NOT_RUN = Fate.NOT_RUN.value
CANCELLED_CODES = (ResultCode.CANCELLED, ResultCode.CANCELLED_BEFORE_START)

Check = Callable[[SoakRecords], list[str]]
CHECKS: dict[str, Check] = {}


def register_check(function: Check) -> Check:
    """Register a check under its function name."""
    CHECKS[function.__name__] = function
    return function


def run_checks(records: SoakRecords) -> dict[str, list[str]]:
    """Run all checks and return their violations by the name of the check."""
    return {name: function(records) for name, function in CHECKS.items()}


def complete_ratio(records: SoakRecords) -> float:
    """Return the share of uncancelled keys with a complete answer; 1.0 if there are none."""
    complete, all_keys, cancelled = set(), set(), set()
    for call in records.calls:
        if call.kind is CallKind.CANCEL or call.code in CANCELLED_CODES:
            cancelled.add(call.key)
        if call.is_complete:
            complete.add(call.key)
        if call.is_submission:
            all_keys.add(call.key)
    counted = all_keys - cancelled
    return round(len(complete & counted) / len(counted), 4) if counted else 1.0


@register_check
def double_starts(records: SoakRecords) -> list[str]:
    """Every task, and every request that is not repeatable, starts at most once."""
    start_counts = Counter((start.key, start.index) for start in records.starts)
    violations = [
        f"{key}/{index} started {n} times" for (key, index), n in start_counts.items() if n > 1
    ]
    repeatable = {call.key for call in records.calls if call.repeatable}
    runs = Counter(run.key for run in records.runs if run.key not in repeatable)
    return violations + [f"request {key} ran {n} times" for key, n in runs.items() if n > 1]


@register_check
def partial_answers(records: SoakRecords) -> list[str]:
    """A complete answer contains one answer for each task.

    A fetch or a cancel is answered for the body accepted under the key. That may be the
    conflicting body if it arrived first.
    """
    tasks: dict[str, set[int]] = defaultdict(set)
    for call in records.calls:
        if call.is_submission and call.connected:
            tasks[call.key].add(call.task_count)
    return [
        f"{call.key}: {len(call.answers)} answers to {call.task_count} tasks"
        for call in records.calls
        if call.is_complete
        if len(call.answers) not in ({call.task_count} if call.is_submission else tasks[call.key])
    ]


@register_check
def crossed_answers(records: SoakRecords) -> list[str]:
    """Every task answer belongs to the job and the task index under which it was returned."""
    violations = []
    for call in records.calls:
        if not call.is_complete:
            continue
        for index, answer in enumerate(call.answers):
            expected = call.key if call.is_for_upstream else f"{call.key}/{index}"
            if answer != expected:
                violations.append(f"{expected} was answered {answer!r}")
    return violations


@register_check
def false_not_run(records: SoakRecords) -> list[str]:
    """If an answer says "not run", no task started or starts from that submission."""
    started = defaultdict(list)
    for start in (*records.starts, *records.runs):
        started[start.key].append(start.unix_ms)
    submissions = defaultdict(list)
    for call in records.calls:
        if call.is_submission and call.connected:
            submissions[call.key].append(call)
    return [
        f"{call.key}: code {call.code} says not run, started at {unix_ms - call.sent_unix_ms:.0f}"
        f" ms after it was sent, answered after {call.ended_unix_ms - call.sent_unix_ms:.0f} ms"
        for call in records.calls
        if call.fate == NOT_RUN and call.code != ResultCode.KEY_CONFLICT
        for unix_ms in started[call.key]
        if not _is_explained(call, unix_ms, submissions[call.key])
    ]


def _is_explained(call: Call, start_unix_ms: float, submissions: list[Call]) -> bool:
    """Whether another submission of the key may have caused a start that an answer denies.

    An answer to a fetch or a cancel, or an answer that the job was cancelled before its start,
    concerns the whole job, so it also covers the submissions that were sent before.
    """
    if start_unix_ms < call.sent_unix_ms:
        return False
    covers_whole_job = not call.is_submission or call.code == ResultCode.CANCELLED_BEFORE_START
    return any(
        other is not call
        and other.sent_unix_ms <= start_unix_ms
        and (other.fate != NOT_RUN or other.ended_unix_ms >= start_unix_ms)
        and not (covers_whole_job and other.sent_unix_ms < call.sent_unix_ms)
        for other in submissions
    )


@register_check
def unanswered(records: SoakRecords) -> list[str]:
    """An entry process that is not killed, paused or stopped answers every call."""
    return [
        _describe_unanswered(call)
        for call in records.calls
        if _has_no_answer(call) and not _was_entry_killed_or_paused(call)
        if not call.incarnation.was_stopped_by(call.ended_unix_ms)
    ]


@register_check
def cut_in_flight(records: SoakRecords) -> list[str]:
    """A graceful stop interrupts no call in flight."""
    return [
        _describe_unanswered(call)
        for call in records.calls
        if _has_no_answer(call) and not _was_entry_killed_or_paused(call)
        if call.incarnation.was_stopped_by(call.ended_unix_ms)
    ]


def _has_no_answer(call: Call) -> bool:
    return call.connected and not call.status


def _was_entry_killed_or_paused(call: Call) -> bool:
    ended_unix_ms = call.ended_unix_ms
    return call.incarnation.was_killed_by(ended_unix_ms) or call.incarnation.was_paused_in(
        call.sent_unix_ms, ended_unix_ms
    )


def _describe_unanswered(call: Call) -> str:
    spent_ms = call.ended_unix_ms - call.sent_unix_ms
    return (
        f"{call.kind.value} {call.key} at {call.incarnation.name}: no answer after "
        f"{spent_ms:.0f} ms, {call.detail}"
    )


@register_check
def late_to_leaving(records: SoakRecords) -> list[str]:
    """A drained worker or upstream starts no new work once the grace period has passed."""
    arrivals = [(start.worker, start.key, start.unix_ms) for start in records.starts]
    arrivals += [(run.upstream, run.key, run.unix_ms) for run in records.runs]
    return [
        f"{key} started at {address} {unix_ms - drain.confirmed_unix_ms:.0f} ms after its drain"
        for drain in records.drains
        for address, key, unix_ms in arrivals
        if address == drain.address
        if drain.confirmed_unix_ms + DRAIN_GRACE_MS < unix_ms < drain.undrain_sent_unix_ms
        if not _was_config_unreachable(drain, unix_ms)
    ]


def _was_config_unreachable(drain: Drain, unix_ms: float) -> bool:
    since_unix_ms = unix_ms - DRAIN_GRACE_MS
    return any(
        begin <= unix_ms and end >= since_unix_ms for begin, end in drain.config_outage_spans
    )


@register_check
def config_reverted(records: SoakRecords) -> list[str]:
    """Confirmed changes are in force, and no process reverts to an older revision."""
    violations = list(records.reverted_changes)
    highest: dict[str, int] = {}
    for seen in records.revisions:
        before = highest.get(seen.member, 0)
        if seen.revision < before:
            violations.append(f"{seen.member} went from revision {before} to {seen.revision}")
        highest[seen.member] = max(before, seen.revision)
    return violations
