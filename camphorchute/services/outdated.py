"""Tells an operator why a plan can no longer be confirmed."""

from datetime import UTC, datetime

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.services.differences import find_differences
from camphorchute.services.plan import Plan
from camphorchute.services.record import HistoryEntry, ServiceRecord

__all__ = ["outdated_refusal", "time_text"]

DIFFERENCES_SHOWN = 10
ENTRIES_SHOWN = 5


def outdated_refusal(plan: Plan, record: ServiceRecord) -> Refusal:
    """Return the refusal of a plan whose base is not the record in force.

    It names the operators and times of the changes confirmed since and what they changed.
    """
    lines = [
        f"plan {plan.id} rests on revision {plan.base_revision} of {plan.service}, "
        f"revision {record.revision} is in force; the plan was not confirmed"
    ]
    since = [entry for entry in record.entries() if entry.revision > plan.base_revision]
    lines += [_entry_text(entry) for entry in since[:ENTRIES_SHOWN]]
    if len(since) > ENTRIES_SHOWN:
        lines.append(f"and {len(since) - ENTRIES_SHOWN} more before these")
    lines += _change_lines(plan, record)
    if _may_be_dropped(plan, record):
        lines[0] = lines[0].removesuffix("; the plan was not confirmed")
        lines.append(
            "older history is no longer kept: whether this plan was confirmed is not known"
        )
    return Refusal(ResultCode.PLAN_OUTDATED, "\n".join(lines))


def time_text(unix_ms: int) -> str:
    """Return a time for people.

    Examples:
        >>> time_text(0)
        '1970-01-01T00:00:00Z'
    """
    return datetime.fromtimestamp(unix_ms / 1000, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


def _may_be_dropped(plan: Plan, record: ServiceRecord) -> bool:
    """Return whether the entry that followed the plan's base may have left the history."""
    oldest = record.entries()[-1]
    return record.entries_dropped > 0 and oldest.revision > plan.base_revision


def _entry_text(entry: HistoryEntry) -> str:
    if not entry.plan_id:
        return f"revision {entry.revision}: written outside of plans"
    when = time_text(entry.confirmed_unix_ms)
    return f"revision {entry.revision}: confirmed by {entry.operator} at {when} ({entry.plan_id})"


def _change_lines(plan: Plan, record: ServiceRecord) -> list[str]:
    base = record.find_revision(plan.base_revision)
    if base is None and plan.base_revision:
        return ["what changed since is not known: the history does not hold the base"]
    if base is not None and base.folded:
        return ["what changed since is not known: the history holds no definition of the base"]
    changes = find_differences(base.definition if base else None, record.definition)
    lines = [f"changed: {change}" for change in changes[:DIFFERENCES_SHOWN]]
    if len(changes) > DIFFERENCES_SHOWN:
        lines.append(f"and {len(changes) - DIFFERENCES_SHOWN} more changes")
    return lines
