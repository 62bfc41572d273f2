"""Comparison of two definitions of a service, field by field."""

from typing import Any

import msgspec

from camphorchute.services.definition import ServiceDefinition

__all__ = ["Difference", "find_differences"]

_BACK_END_FIELDS = ("workers", "upstreams")


class Difference(msgspec.Struct):
    """One value that differs between two definitions.

    Attributes:
        path: path of the value, such as ``workers[w3].slots``.
        before: the earlier value; None if there is none.
        after: the later value; None if there is none.

    Examples:
        >>> print(Difference("drain_ms", 30000.0, 5000.0))
        drain_ms: 30000.0 -> 5000.0
        >>> print(Difference("quotas[stewards]", None, 40))
        quotas[stewards]: none -> 40
    """

    path: str
    before: Any = None
    after: Any = None

    def __str__(self) -> str:
        return f"{self.path}: {_format_value(self.before)} -> {_format_value(self.after)}"


def find_differences(
    before: ServiceDefinition | None, after: ServiceDefinition | None
) -> list[Difference]:
    """Return every difference between two definitions.

    Back ends are matched by name; their order does not matter. A back end that was added or
    removed is one difference.

    Args:
        before: the earlier definition; None if there is none.
        after: the later definition; None if the service is removed.

    Examples:
        >>> old, new = ServiceDefinition("flags"), ServiceDefinition("flags", waste_weight=0.9)
        >>> [str(difference) for difference in find_differences(old, new)]
        ['waste_weight: 0.2 -> 0.9']
    """
    return _compare_mappings("", _to_mappings(before), _to_mappings(after))


def _to_mappings(definition: ServiceDefinition | None) -> dict[str, Any]:
    """Convert a definition to mappings, default values included and back ends keyed by name."""
    if definition is None:
        return {}
    mappings = msgspec.structs.asdict(definition)
    mappings["limits"] = msgspec.structs.asdict(definition.limits)
    for field in _BACK_END_FIELDS:
        back_ends = getattr(definition, field)
        mappings[field] = {
            back_end.name: msgspec.structs.asdict(back_end) for back_end in back_ends
        }
    return mappings


def _compare_mappings(path: str, before: dict[str, Any], after: dict[str, Any]) -> list[Difference]:
    differences = []
    for key in [*before, *(key for key in after if key not in before)]:
        item_path = _join_path(path, key)
        old, new = before.get(key), after.get(key)
        is_added_or_removed = path in _BACK_END_FIELDS and (old is None or new is None)
        if not is_added_or_removed and (isinstance(old, dict) or isinstance(new, dict)):
            differences += _compare_mappings(item_path, old or {}, new or {})
        elif old != new:
            differences.append(Difference(item_path, old, new))
    return differences


def _join_path(path: str, key: str) -> str:
    if not path:
        return key
    if path == "limits" or path.endswith("]"):
        return f"{path}.{key}"
    return f"{path}[{key}]"


def _format_value(value: Any) -> str:
    if value is None:
        return "none"
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key}: {item}" for key, item in value.items()) + "}"
    return str(value)
