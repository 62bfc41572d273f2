"""Texts for people of what entry processes answer."""

from typing import Any

from camphorchute.contracts import ResultCode, code_info
from camphorchute.services.differences import Difference
from camphorchute.services.outdated import time_text

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


def table_text(heads: list[str], rows: list[list[str]]) -> str:
    """Return rows in columns.

    Examples:
        >>> print(table_text(["name", "slots"], [["w1", "8"], ["w10", "16"]]))
        name  slots
        w1    8
        w10   16
    """
    widths = [max(len(row[i]) for row in [heads, *rows]) for i in range(len(heads))]
    lines = [
        "  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)) for row in [heads, *rows]
    ]
    return "\n".join(line.rstrip() for line in lines)


def tree_text(value: Any, depth: int = 0) -> str:
    """Return plain data as indented lines; a list of like objects becomes a table.

    Examples:
        >>> print(tree_text({"ready": True, "limits": {"drain_ms": 5}, "teams": ["a", "b"]}))
        ready: yes
        limits:
          drain_ms: 5
        teams: a, b
    """
    return "\n".join(INDENT * depth + line for line in _lines(value))


def _lines(value: Any) -> list[str]:
    if isinstance(value, dict):
        return [line for key, item in value.items() for line in _item_lines(key, item)]
    if isinstance(value, list) and value and all(isinstance(item, dict) for item in value):
        heads = list(dict.fromkeys(key for item in value for key in item))
        rows = [[_plain(item.get(head)) for head in heads] for item in value]
        return table_text(heads, rows).split("\n")
    return [_plain(value)]


def _item_lines(key: str, item: Any) -> list[str]:
    nested = isinstance(item, dict) or (
        isinstance(item, list) and any(isinstance(part, dict) for part in item)
    )
    if nested and item:
        return [f"{key}:", *(INDENT + line for line in _lines(item))]
    return [f"{key}: {_plain(item)}"]


def _plain(value: Any) -> str:
    if value is None or value == "" or value == [] or value == {}:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ", ".join(map(_plain, value))
    if isinstance(value, dict):
        return " ".join(f"{key}={_plain(item)}" for key, item in value.items())
    return str(value)


def plan_text(plan: dict[str, Any]) -> str:
    """Return a plan as an operator reads it."""
    lines = [
        f"plan {plan['id']} of {plan['service']}",
        f"made by {plan['operator']} at {time_text(plan['made_unix_ms'])}",
        f"rests on revision {plan['base_revision']}",
    ]
    if plan.get("undo_revision"):
        lines.append(f"restores revision {plan['undo_revision']}")
    lines += _caution_lines(plan)
    lines += ["", "changes:", *_change_lines(plan)]
    effects = dict(plan["effects"])
    warnings = effects.pop("warnings", [])
    if effects:
        lines += ["", "effects:", tree_text(effects, depth=1)]
    if warnings:
        lines += ["", "warnings:", *(INDENT + warning for warning in warnings)]
    lines += ["", f"nothing takes effect before: camphorchute service confirm {plan['id']}"]
    return "\n".join(lines)


def _caution_lines(plan: dict[str, Any]) -> list[str]:
    lines = []
    if plan.get("from_outdated_base"):
        age_ms = plan.get("base_age_ms", 0)
        age = f"{age_ms / 1000:.0f} s old" if age_ms >= 0 else "of unknown age"
        lines.append(f"the store does not answer: the base is the last known, {age}")
    if not plan.get("saved", True):
        lines.append("the plan is not in the store: confirm it at the same entry process")
    return lines


def _change_lines(plan: dict[str, Any]) -> list[str]:
    changes = [
        Difference(item["path"], item.get("before"), item.get("after"))
        for item in plan["differences"]
    ]
    return [f"{INDENT}{change}" for change in changes] or [f"{INDENT}none"]


def confirmation_text(answer: dict[str, Any]) -> str:
    """Return what a confirm brought about."""
    when = time_text(answer["confirmed_unix_ms"])
    already = " (an earlier call confirmed it)" if answer.get("repeated") else ""
    return (
        f"plan {answer['plan_id']} is confirmed{already}: revision {answer['revision']} "
        f"of {answer['service']}, by {answer['operator']} at {when}"
    )


def history_text(answer: dict[str, Any]) -> str:
    """Return a service's history as a table, the newest first."""
    rows = [
        [
            str(entry["revision"]),
            time_text(entry.get("confirmed_unix_ms", 0)),
            entry.get("operator", "-"),
            entry.get("plan_id", "-"),
            _state(entry),
        ]
        for entry in answer["entries"]
    ]
    lines = [table_text(["revision", "confirmed", "operator", "plan", "state"], rows)]
    if answer.get("entries_dropped"):
        lines.append(f"and {answer['entries_dropped']} older ones that are no longer held")
    if not answer.get("from_store", True):
        lines.append("the store does not answer: this is what the entry process last knew")
    return "\n".join(lines)


def _state(entry: dict[str, Any]) -> str:
    if entry.get("folded"):
        return "definition no longer held"
    return "defined" if entry.get("definition") else "removed"


def status_text(answer: dict[str, Any]) -> str:
    """Return the status of the entry processes as a table, and those that did not answer."""
    heads = ["zone", "host", "http", "ready", "leaving", "revision", "known", "shards"]
    rows = [_process_row(process) for process in answer["processes"]]
    lines = [table_text(heads, sorted(rows))]
    if answer.get("not_asked"):
        lines.append(f"could not be asked: {', '.join(sorted(answer['not_asked']))}")
    return "\n".join(lines)


def _process_row(process: dict[str, Any]) -> list[str]:
    member, age_ms = process["member"], process["config_age_ms"]
    known = f"{age_ms / 1000:.1f} s ago" if age_ms >= 0 else "-"
    return [
        member["zone"],
        member["host"],
        member["http_address"],
        _plain(process["ready"]),
        _plain(process["leaving"]),
        str(process["config_revision"]),
        known,
        str(process["owned_shards"]),
    ]


def refusal_text(body: Any, status: int) -> str:
    """Return a refusal with its code, what was wrong and what to do.

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
