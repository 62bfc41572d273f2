"""The refusal of a plan whose base revision is no longer in force."""

from datetime import UTC, datetime

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.services.differences import find_differences
from camphorchute.services.plan import Plan
from camphorchute.services.record import HistoryEntry, ServiceRecord

__all__ = ["format_time", "make_outdated_refusal"]

MAX_DIFFERENCES_SHOWN = 10
MAX_ENTRIES_SHOWN = 5


def make_outdated_refusal(plan: Plan, record: ServiceRecord) -> Refusal:
    """Return the refusal of a plan whose base revision is not the revision in force.

    Its detail lists the operators and times of the changes confirmed since the base, and the
    values that they changed.

    Args:
        plan: the plan that cannot be confirmed.
        record: the record in force.
    """
    lines = [
        f"plan {plan.id} is based on revision {plan.base_revision} of {plan.service}, "
        f"but revision {record.revision} is in force; the plan was not confirmed"
    ]
    later_entries = [entry for entry in record.all_entries() if entry.revision > plan.base_revision]
    lines += [_describe_entry(entry) for entry in later_entries[:MAX_ENTRIES_SHOWN]]
    if len(later_entries) > MAX_ENTRIES_SHOWN:
        lines.append(f"and {len(later_entries) - MAX_ENTRIES_SHOWN} more before them")
    lines += _describe_changes(plan, record)
    if _may_have_dropped_confirm(plan, record):
        lines[0] = lines[0].removesuffix("; the plan was not confirmed")
        lines.append(
            "older history entries were dropped: whether this plan was confirmed is not known"
        )
    return Refusal(ResultCode.PLAN_OUTDATED, "\n".join(lines))


def format_time(unix_ms: int) -> str:
    """Return a Unix time in milliseconds as an ISO 8601 UTC time in whole seconds.

    Examples:
        >>> format_time(0)
        '1970-01-01T00:00:00Z'
    """
    return datetime.fromtimestamp(unix_ms / 1000, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


def _may_have_dropped_confirm(plan: Plan, record: ServiceRecord) -> bool:
    """Return whether the entry that followed the plan's base may have been dropped."""
    oldest = record.all_entries()[-1]
    return record.entries_dropped > 0 and oldest.revision > plan.base_revision


def _describe_entry(entry: HistoryEntry) -> str:
    if not entry.plan_id:
        return f"revision {entry.revision}: written without a plan"
    when = format_time(entry.confirmed_unix_ms)
    return f"revision {entry.revision}: confirmed by {entry.operator} at {when} ({entry.plan_id})"


def _describe_changes(plan: Plan, record: ServiceRecord) -> list[str]:
    base = record.find_entry_by_revision(plan.base_revision)
    if base is None and plan.base_revision:
        return ["the changes since are not known: the base revision is not in the history"]
    if base is not None and base.folded:
        return ["the changes since are not known: the history entry of the base has no definition"]
    changes = find_differences(base.definition if base else None, record.definition)
    lines = [f"changed: {change}" for change in changes[:MAX_DIFFERENCES_SHOWN]]
    if len(changes) > MAX_DIFFERENCES_SHOWN:
        lines.append(f"and {len(changes) - MAX_DIFFERENCES_SHOWN} more changes")
    return lines
