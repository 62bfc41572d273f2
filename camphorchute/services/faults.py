"""Every fault of an intended definition, each with its path."""

import ipaddress
import re
from collections.abc import Collection, Iterable
from typing import Any, get_type_hints

import msgspec
from msgspec import inspect

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.services.definition import ServiceDefinition
from camphorchute.services.record import DEFINITION_MAX_BYTES

__all__ = [
    "DRAIN_MAX_MS",
    "DefinitionFault",
    "check_definition",
    "find_faults",
    "read_definition",
]

DRAIN_MAX_MS = 3_600_000
PORT_MAX = 65_535

_ADDRESS_FORM = re.compile(r"[0-9a-f.:\[\]]+:[0-9]{1,5}")


class DefinitionFault(Exception):  # noqa: N818
    """One fault of a definition.

    Args:
        path: where it is, such as ``workers[3].address``.
        problem: what is wrong, with the offending value.

    Examples:
        >>> str(DefinitionFault("drain_ms", "0.0 is not over 0"))
        'drain_ms: 0.0 is not over 0'
    """

    def __init__(self, path: str, problem: str) -> None:
        self.path = path
        self.problem = problem
        super().__init__(f"{path}: {problem}")


def read_definition(raw: object, zones: Collection[str] | None = None) -> ServiceDefinition:
    """Return the definition that plain data holds.

    Args:
        raw: a decoded JSON body.
        zones: the known availability zones; None where they are not checked.

    Raises:
        Refusal: ``PLAN_INVALID`` with every fault, or ``VALUE_TOO_LARGE``.

    Examples:
        >>> read_definition({"name": "flags"}).name
        'flags'
        >>> read_definition({"name": "Flags", "drain_ms": -1, "slots": 3})
        Traceback (most recent call last):
        ...
        camphorchute.contracts.errors.Refusal: 503 plan_invalid: 3 faults
        name: Expected `str` matching regex '^[a-z0-9][a-z0-9_.-]*$'
        drain_ms: Expected `float` > 0.0
        slots: unknown field
    """
    faults = _plain_faults(raw, zones)
    if faults:
        _refuse(faults)
    definition = msgspec.convert(raw, ServiceDefinition)
    _check_size(definition)
    return definition


def check_definition(definition: ServiceDefinition, zones: Collection[str] | None = None) -> None:
    """Raise a refusal with every fault that the types alone do not rule out.

    Raises:
        Refusal: ``PLAN_INVALID``, caused by an exception group of `DefinitionFault`;
            ``VALUE_TOO_LARGE`` where the definition does not fit the store.
    """
    faults = find_faults(definition, zones)
    if faults:
        _refuse(faults)
    _check_size(definition)


def _check_size(definition: ServiceDefinition) -> None:
    size_bytes = len(msgspec.json.encode(definition))
    if size_bytes > DEFINITION_MAX_BYTES:
        raise Refusal(
            ResultCode.VALUE_TOO_LARGE,
            f"the definition has {size_bytes} bytes, at most {DEFINITION_MAX_BYTES} allowed",
        )


def find_faults(
    definition: ServiceDefinition, zones: Collection[str] | None = None
) -> list[DefinitionFault]:
    """Return every fault of a definition, in the order of its fields."""
    return _plain_faults(msgspec.to_builtins(definition), zones)


def _plain_faults(raw: Any, zones: Collection[str] | None) -> list[DefinitionFault]:
    """Return every fault of plain data, whether its types fit or not."""
    faults = _type_faults(raw)
    if not isinstance(raw, dict):
        return faults
    addresses: dict[str, str] = {}
    for field in ("workers", "upstreams"):
        back_ends = _back_ends(raw.get(field), field)
        faults += _name_faults(back_ends)
        for path, back_end in back_ends:
            faults += _address_faults(path, back_end.get("address"), addresses)
            faults += _zone_faults(path, back_end.get("zone"), zones)
    return faults + _drain_faults(raw.get("drain_ms"))


def _back_ends(raw: Any, field: str) -> list[tuple[str, dict[str, Any]]]:
    """Return the back ends of plain data with their paths; what is none is passed over."""
    items = raw if isinstance(raw, list) else []
    return [(f"{field}[{i}]", item) for i, item in enumerate(items) if isinstance(item, dict)]


def _refuse(faults: list[DefinitionFault]) -> None:
    count = f"{len(faults)} fault{'s' if len(faults) > 1 else ''}"
    detail = "\n".join([count, *map(str, faults)])
    raise Refusal(ResultCode.PLAN_INVALID, detail) from ExceptionGroup(count, faults)


def _name_faults(back_ends: list[tuple[str, dict[str, Any]]]) -> list[DefinitionFault]:
    first: dict[str, str] = {}
    faults = []
    for path, back_end in back_ends:
        name = back_end.get("name")
        if isinstance(name, str) and first.setdefault(name, path) != path:
            problem = f"{name!r} is the name of {first[name]} too"
            faults.append(DefinitionFault(f"{path}.name", problem))
    return faults


def _address_faults(path: str, address: Any, seen: dict[str, str]) -> list[DefinitionFault]:
    """Return the faults of an address that its type alone does not rule out."""
    if not isinstance(address, str) or not _ADDRESS_FORM.fullmatch(address):
        return []
    host, _, port = address.rpartition(":")
    problems = []
    try:
        host = str(ipaddress.ip_address(host.strip("[]")))
    except ValueError:
        problems.append(f"{host!r} is not an IP number")
    if not 1 <= int(port) <= PORT_MAX:
        problems.append(f"port {port} is not in 1 to {PORT_MAX}")
    earlier = seen.setdefault(f"{host} {int(port)}", path)
    if earlier != path:
        problems.append(f"{address} is the address of {earlier} too")
    return [DefinitionFault(f"{path}.address", problem) for problem in problems]


def _zone_faults(path: str, zone: Any, zones: Collection[str] | None) -> list[DefinitionFault]:
    if zones is None or not isinstance(zone, str) or zone in zones:
        return []
    known = ", ".join(sorted(zones))
    return [DefinitionFault(f"{path}.zone", f"{zone!r} is not one of {known}")]


def _drain_faults(drain_ms: Any) -> list[DefinitionFault]:
    if not isinstance(drain_ms, int | float) or drain_ms <= DRAIN_MAX_MS:
        return []
    return [DefinitionFault("drain_ms", f"{drain_ms:g} is over {DRAIN_MAX_MS}")]


def _type_faults(raw: Any) -> list[DefinitionFault]:
    """Return every place where plain data is no definition; walk through it only if it is none."""
    try:
        msgspec.convert(raw, ServiceDefinition)
    except msgspec.ValidationError:
        return _schema_faults(raw, ServiceDefinition, "")
    return []


def _schema_faults(raw: Any, kind: Any, path: str) -> list[DefinitionFault]:
    """Return every place where plain data does not fit a type."""
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct) and isinstance(raw, dict):
        return _struct_faults(raw, kind, path)
    described = inspect.type_info(kind)
    if isinstance(described, inspect.ListType) and isinstance(raw, list):
        item_kind = kind.__args__[0]
        return _flatten(_schema_faults(v, item_kind, f"{path}[{i}]") for i, v in enumerate(raw))
    if isinstance(described, inspect.DictType) and isinstance(raw, dict):
        return _mapping_faults(raw, kind, path)
    try:
        msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        return [DefinitionFault(path or "definition", str(error))]
    return []


def _struct_faults(raw: dict, kind: type[msgspec.Struct], path: str) -> list[DefinitionFault]:
    prefix = f"{path}." if path else ""
    hints = get_type_hints(kind, include_extras=True)
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    faults = []
    for name, field in fields.items():
        if name in raw:
            faults += _schema_faults(raw[name], hints[field.name], prefix + name)
        elif field.required:
            faults.append(DefinitionFault(prefix + name, "is missing"))
    unknown = [name for name in raw if name not in fields]
    return faults + [DefinitionFault(f"{prefix}{name}", "unknown field") for name in unknown]


def _mapping_faults(raw: dict, kind: Any, path: str) -> list[DefinitionFault]:
    key_kind, value_kind = kind.__args__
    faults = []
    for key, value in raw.items():
        place = f"{path}[{key}]"
        faults += _schema_faults(key, key_kind, place) + _schema_faults(value, value_kind, place)
    return faults


def _flatten(groups: Iterable[list[DefinitionFault]]) -> list[DefinitionFault]:
    return [fault for group in groups for fault in group]
