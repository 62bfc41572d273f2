"""Assignments ``PATH=VALUE`` of the command line to values of a service definition."""

import copy
import re
from typing import Any

import msgspec

__all__ = ["set_values"]

_PATH_STEP_PATTERN = re.compile(r"\.?([A-Za-z0-9_]+)|\[([^\]]+)\]")


def set_values(definition: dict[str, Any], assignments: tuple[str, ...]) -> dict[str, Any]:
    """Return a copy of a definition with values set.

    Paths have the form in which a plan lists its differences.

    Args:
        definition: the definition as plain data.
        assignments: each ``PATH=VALUE``; a value that is not valid JSON is taken as text. The
            name of a back end stands in brackets: ``workers[w3].draining=true``.

    Raises:
        ValueError: an assignment or a path is malformed, or a path does not lead to a value
            that can be set.

    Examples:
        >>> set_values({"name": "flags"}, ("limits.queue_max_tasks=50", "quotas[stewards]=4"))
        {'name': 'flags', 'limits': {'queue_max_tasks': 50}, 'quotas': {'stewards': 4}}
    """
    changed = copy.deepcopy(definition)
    for assignment in assignments:
        path, equals, text = assignment.partition("=")
        if not equals:
            raise ValueError(f"{assignment!r} is not PATH=VALUE")
        _set_value(changed, _split_path(path), _parse_value(text), path)
    return changed


def _split_path(path: str) -> list[str]:
    steps, end = [], 0
    for match in _PATH_STEP_PATTERN.finditer(path):
        if match.start() != end:
            break
        steps.append(match[1] or match[2])
        end = match.end()
    if end != len(path) or not steps:
        raise ValueError(f"{path!r} is not a path such as limits.queue_max_tasks")
    return steps


def _parse_value(text: str) -> Any:
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError:
        return text


def _set_value(container: Any, steps: list[str], value: Any, path: str) -> None:
    for step in steps[:-1]:
        container = (
            _find_back_end(container, step, path)
            if isinstance(container, list)
            else container.setdefault(step, {})
        )
        if not isinstance(container, dict | list):
            raise ValueError(f"{path}: {step!r} is a single value, expected an object or a list")
    if isinstance(container, list):
        raise ValueError(f"{path}: {steps[-1]!r} cannot be set as a whole, name one of its fields")
    container[steps[-1]] = value


def _find_back_end(back_ends: list[dict[str, Any]], name: str, path: str) -> dict[str, Any]:
    for back_end in back_ends:
        if back_end.get("name") == name:
            return back_end
    raise ValueError(f"{path}: no back end is named {name!r}")
