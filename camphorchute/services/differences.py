"""What differs between two definitions of a service."""

from typing import Any

import msgspec

from camphorchute.services.definition import ServiceDefinition

__all__ = ["Difference", "find_differences"]

_NAMED_LISTS = ("workers", "upstreams")


class Difference(msgspec.Struct):
    """One value that a plan changes.

    Attributes:
        path: where it is, such as ``workers[w3].slots``.
        before: the value in force; None where there is none.
        after: the intended value; None where there is none.

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
        return f"{self.path}: {_text(self.before)} -> {_text(self.after)}"


def find_differences(
    before: ServiceDefinition | None, after: ServiceDefinition | None
) -> list[Difference]:
    """Return every difference; back ends are matched by name, whatever their order.

    Examples:
        >>> old, new = ServiceDefinition("flags"), ServiceDefinition("flags", waste_weight=0.9)
        >>> [str(difference) for difference in find_differences(old, new)]
        ['waste_weight: 0.2 -> 0.9']
    """
    return _compare("", _plain(before), _plain(after))


def _plain(definition: ServiceDefinition | None) -> dict[str, Any]:
    """Return a definition as plain data with its default values, back ends by name."""
    if definition is None:
        return {}
    plain = msgspec.structs.asdict(definition)
    plain["limits"] = msgspec.structs.asdict(definition.limits)
    for field in _NAMED_LISTS:
        back_ends = getattr(definition, field)
        plain[field] = {back_end.name: msgspec.structs.asdict(back_end) for back_end in back_ends}
    return plain


def _compare(path: str, before: dict[str, Any], after: dict[str, Any]) -> list[Difference]:
    differences = []
    for key in [*before, *(key for key in after if key not in before)]:
        place = _place(path, key)
        old, new = before.get(key), after.get(key)
        joins_or_leaves = path in _NAMED_LISTS and (old is None or new is None)
        if not joins_or_leaves and (isinstance(old, dict) or isinstance(new, dict)):
            differences += _compare(place, old or {}, new or {})
        elif old != new:
            differences.append(Difference(place, old, new))
    return differences


def _place(path: str, key: str) -> str:
    if not path:
        return key
    if path == "limits" or path.endswith("]"):
        return f"{path}.{key}"
    return f"{path}[{key}]"


def _text(value: Any) -> str:
    if value is None:
        return "none"
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key}: {item}" for key, item in value.items()) + "}"
    return str(value)
