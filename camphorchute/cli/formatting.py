"""Formats the answers of entry processes as text for the terminal."""

from typing import Any

from camphorchute.contracts import ResultCode, code_info
from camphorchute.services.differences import Difference
from camphorchute.services.outdated import format_time

__all__ = [
    "confirmation_text",
    "history_text",
    "plan_text",
    "refusal_text",
    "status_text",
    "table_text",
    "tree_text",
]

INDENT = "  "


def table_text(headers: list[str], rows: list[list[str]]) -> str:
    """Return a table with a header line and left-aligned columns.

    Args:
        headers: header of each column.
        rows: text of the cells, row by row.

    Examples:
        >>> print(table_text(["name", "slots"], [["w1", "8"], ["w10", "16"]]))
        name  slots
        w1    8
        w10   16
    """
    widths = [max(len(row[i]) for row in [headers, *rows]) for i in range(len(headers))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in [headers, *rows]
    ]
    return "\n".join(line.rstrip() for line in lines)


def tree_text(value: Any, depth: int = 0) -> str:
    """Return plain data as indented lines; a list of objects becomes a table.

    Args:
        value: plain data, as decoded from JSON.
        depth: number of levels to indent the lines.

    Examples:
        >>> print(tree_text({"ready": True, "limits": {"drain_ms": 5}, "teams": ["a", "b"]}))
        ready: yes
        limits:
          drain_ms: 5
        teams: a, b
    """
    return "\n".join(INDENT * depth + line for line in _tree_lines(value))


def _tree_lines(value: Any) -> list[str]:
    if isinstance(value, dict):
        return [line for key, item in value.items() for line in _item_lines(key, item)]
    if isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        headers = list(dict.fromkeys(key for item in value for key in item))
        rows = [[_format_value(item.get(header)) for header in headers] for item in value]
        return table_text(headers, rows).split("\n")
    return [_format_value(value)]


def _item_lines(key: str, item: Any) -> list[str]:
    nested = isinstance(item, dict) or (
        isinstance(item, list) and any(isinstance(part, dict) for part in item)
    )
    if nested and item:
        return [f"{key}:", *(INDENT + line for line in _tree_lines(item))]
    return [f"{key}: {_format_value(item)}"]


def _format_value(value: Any) -> str:
    if value is None or value == "" or value == [] or value == {}:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ", ".join(map(_format_value, value))
    if isinstance(value, dict):
        return " ".join(f"{key}={_format_value(item)}" for key, item in value.items())
    return str(value)


def plan_text(plan: dict[str, Any]) -> str:
    """Return a plan with its changes, effects and warnings, and the command that confirms it."""
    lines = [
        f"plan {plan['id']} of {plan['service']}",
        f"made by {plan['operator']} at {format_time(plan['made_unix_ms'])}",
        f"based on revision {plan['base_revision']}",
    ]
    if plan.get("undo_revision"):
        lines.append(f"restores revision {plan['undo_revision']}")
    lines += _outage_lines(plan)
    lines += ["", "changes:", *_change_lines(plan)]
    effects = dict(plan["effects"])
    warnings = effects.pop("warnings", [])
    if effects:
        lines += ["", "effects:", tree_text(effects, depth=1)]
    if warnings:
        lines += ["", "warnings:", *(INDENT + warning for warning in warnings)]
    lines += ["", f"nothing takes effect before: camphorchute service confirm {plan['id']}"]
    return "\n".join(lines)


def _outage_lines(plan: dict[str, Any]) -> list[str]:
    lines = []
    if plan.get("from_outdated_base"):
        age_ms = plan.get("base_age_ms", 0)
        age = f"{age_ms / 1000:.0f} s old" if age_ms >= 0 else "of unknown age"
        lines.append(f"the store does not answer: the base is the last known definition, {age}")
    if not plan.get("saved", True):
        lines.append("the plan is not saved in the store: confirm it at the same entry process")
    return lines


def _change_lines(plan: dict[str, Any]) -> list[str]:
    changes = [
        Difference(item["path"], item.get("before"), item.get("after"))
        for item in plan["differences"]
    ]
    return [f"{INDENT}{change}" for change in changes] or [f"{INDENT}none"]


def confirmation_text(answer: dict[str, Any]) -> str:
    """Return the result of confirming a plan."""
    when = format_time(answer["confirmed_unix_ms"])
    already = " (an earlier call confirmed it)" if answer.get("repeated") else ""
    return (
        f"plan {answer['plan_id']} is confirmed{already}: revision {answer['revision']} "
        f"of {answer['service']}, by {answer['operator']} at {when}"
    )


def history_text(answer: dict[str, Any]) -> str:
    """Return the history of a service as a table, newest revision first."""
    rows = [
        [
            str(entry["revision"]),
            format_time(entry.get("confirmed_unix_ms", 0)),
            entry.get("operator", "-"),
            entry.get("plan_id", "-"),
            _entry_state(entry),
        ]
        for entry in answer["entries"]
    ]
    lines = [table_text(["revision", "confirmed", "operator", "plan", "state"], rows)]
    if answer.get("entries_dropped"):
        lines.append(f"and {answer['entries_dropped']} older entries that are no longer kept")
    if not answer.get("from_store", True):
        lines.append(
            "the store does not answer: this is the history last known to the entry process"
        )
    return "\n".join(lines)


def _entry_state(entry: dict[str, Any]) -> str:
    if entry.get("folded"):
        return "definition no longer kept"
    return "defined" if entry.get("definition") else "removed"


def status_text(answer: dict[str, Any]) -> str:
    """Return a table of the entry processes and a line that lists those without an answer."""
    headers = ["zone", "host", "http", "ready", "leaving", "revision", "known", "shards"]
    rows = [_process_row(process) for process in answer["processes"]]
    lines = [table_text(headers, sorted(rows))]
    if answer.get("not_asked"):
        lines.append(f"no answer from: {', '.join(sorted(answer['not_asked']))}")
    return "\n".join(lines)


def _process_row(process: dict[str, Any]) -> list[str]:
    member, age_ms = process["member"], process["config_age_ms"]
    known = f"{age_ms / 1000:.1f} s ago" if age_ms >= 0 else "-"
    return [
        member["zone"],
        member["host"],
        member["http_address"],
        _format_value(process["ready"]),
        _format_value(process["leaving"]),
        str(process["config_revision"]),
        known,
        str(process["owned_shards"]),
    ]


def refusal_text(body: Any, status: int) -> str:
    """Return the text of a refusal: result code, what was wrong and what to do.

    Args:
        body: the decoded body of the answer.
        status: the HTTP status, shown where the body has no detail.

    Examples:
        >>> print(refusal_text({"code": 501, "detail": "no plan x"}, 404))
        501 plan_unknown: no plan x
        Make a new plan.
    """
    body = body if isinstance(body, dict) else {}
    detail = body.get("detail") or body.get("title") or f"status {status}"
    try:
        code = ResultCode(body.get("code"))
    except ValueError:
        return str(detail)
    return f"{int(code)} {code.name.lower()}: {detail}\n{code_info(code).advice}"
