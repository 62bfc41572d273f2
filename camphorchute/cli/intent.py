"""Values that are set on a definition from the command line."""

import copy
import re
from typing import Any

import msgspec

__all__ = ["set_values"]

_STEP_FORM = re.compile(r"\.?([A-Za-z0-9_]+)|\[([^\]]+)\]")


def set_values(definition: dict[str, Any], assignments: tuple[str, ...]) -> dict[str, Any]:
    """Return a definition with values set, as a plan's differences name them.

    Args:
        definition: the definition as plain data.
        assignments: each ``PATH=VALUE``; the value is JSON or else plain text. A back end is
            named in brackets: ``workers[w3].draining=true``.

    Raises:
        ValueError: a path is not well formed or names an unknown back end.

    Examples:
        >>> set_values({"name": "flags"}, ("limits.queue_max_tasks=50", "quotas[stewards]=4"))
        {'name': 'flags', 'limits': {'queue_max_tasks': 50}, 'quotas': {'stewards': 4}}
    """
    changed = copy.deepcopy(definition)
    for assignment in assignments:
        path, equals, text = assignment.partition("=")
        if not equals:
            raise ValueError(f"{assignment!r} is not PATH=VALUE")
        _set(changed, _steps(path), _value(text), path)
    return changed


def _steps(path: str) -> list[str]:
    steps, end = [], 0
    for match in _STEP_FORM.finditer(path):
        if match.start() != end:
            break
        steps.append(match[1] or match[2])
        end = match.end()
    if end != len(path) or not steps:
        raise ValueError(f"{path!r} is not a path such as limits.queue_max_tasks")
    return steps


def _value(text: str) -> Any:
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError:
        return text


def _set(place: Any, steps: list[str], value: Any, path: str) -> None:
    for step in steps[:-1]:
        place = _named(place, step, path) if isinstance(place, list) else place.setdefault(step, {})
        if not isinstance(place, dict | list):
            raise ValueError(f"{path}: {step!r} holds no further values")
    if isinstance(place, list):
        raise ValueError(f"{path}: name a field of {steps[-1]!r}")
    place[steps[-1]] = value


def _named(back_ends: list[dict[str, Any]], name: str, path: str) -> dict[str, Any]:
    for back_end in back_ends:
        if back_end.get("name") == name:
            return back_end
    raise ValueError(f"{path}: there is no {name!r}")
