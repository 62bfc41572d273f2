"""Validation of service definitions: reports every error with the path of its field."""

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
    "DefinitionError",
    "check_definition",
    "find_definition_errors",
    "parse_definition",
]

DRAIN_MAX_MS = 3_600_000
PORT_MAX = 65_535

_ADDRESS_PATTERN = re.compile(r"[0-9a-f.:\[\]]+:[0-9]{1,5}")


class DefinitionError(Exception):
    """One validation error of a service definition.

    Args:
        path: path of the field, such as ``workers[3].address``.
        problem: what is wrong, with the offending value.

    Examples:
        >>> str(DefinitionError("drain_ms", "0.0 is not over 0"))
        'drain_ms: 0.0 is not over 0'
    """

    def __init__(self, path: str, problem: str) -> None:
        self.path = path
        self.problem = problem
        super().__init__(f"{path}: {problem}")


def parse_definition(raw: object, zones: Collection[str] | None = None) -> ServiceDefinition:
    """Convert a decoded JSON body to a service definition and validate it.

    Args:
        raw: a decoded JSON body.
        zones: the known availability zones; None skips the check of zones.

    Raises:
        Refusal: ``PLAN_INVALID`` with every validation error; ``VALUE_TOO_LARGE`` if the
            encoded definition exceeds ``DEFINITION_MAX_BYTES``.

    Examples:
        >>> parse_definition({"name": "flags"}).name
        'flags'
        >>> parse_definition({"name": "Flags", "drain_ms": -1, "slots": 3})
        Traceback (most recent call last):
        ...
        camphorchute.contracts.errors.Refusal: 503 plan_invalid: 3 validation errors
        name: Expected `str` matching regex '^[a-z0-9][a-z0-9_.-]*$'
        drain_ms: Expected `float` > 0.0
        slots: unknown field
    """
    errors = _find_errors(raw, zones)
    if errors:
        _raise_refusal(errors)
    definition = msgspec.convert(raw, ServiceDefinition)
    _check_size(definition)
    return definition


def check_definition(definition: ServiceDefinition, zones: Collection[str] | None = None) -> None:
    """Validate a definition and raise one refusal with all its errors.

    Args:
        definition: the definition to validate.
        zones: the known availability zones; None skips the check of zones.

    Raises:
        Refusal: ``PLAN_INVALID``, caused by an exception group of `DefinitionError`;
            ``VALUE_TOO_LARGE`` if the encoded definition exceeds ``DEFINITION_MAX_BYTES``.
    """
    errors = find_definition_errors(definition, zones)
    if errors:
        _raise_refusal(errors)
    _check_size(definition)


def _check_size(definition: ServiceDefinition) -> None:
    size_bytes = len(msgspec.json.encode(definition))
    if size_bytes > DEFINITION_MAX_BYTES:
        raise Refusal(
            ResultCode.VALUE_TOO_LARGE,
            f"the definition has {size_bytes} bytes, at most {DEFINITION_MAX_BYTES} are allowed",
        )


def find_definition_errors(
    definition: ServiceDefinition, zones: Collection[str] | None = None
) -> list[DefinitionError]:
    """Return every validation error of a definition.

    Args:
        definition: the definition to validate.
        zones: the known availability zones; None skips the check of zones.
    """
    return _find_errors(msgspec.to_builtins(definition), zones)


def _find_errors(raw: Any, zones: Collection[str] | None) -> list[DefinitionError]:
    """Return the errors of raw data: of its types, then of names, addresses, zones and drain time.

    The later checks skip values of a wrong type.
    """
    errors = _find_type_errors(raw)
    if not isinstance(raw, dict):
        return errors
    addresses: dict[str, str] = {}
    for field in ("workers", "upstreams"):
        back_ends = _list_back_ends(raw.get(field), field)
        errors += _find_duplicate_names(back_ends)
        for path, back_end in back_ends:
            errors += _find_address_errors(path, back_end.get("address"), addresses)
            errors += _find_zone_errors(path, back_end.get("zone"), zones)
    return errors + _find_drain_errors(raw.get("drain_ms"))


def _list_back_ends(raw: Any, field: str) -> list[tuple[str, dict[str, Any]]]:
    """Return each back end in raw data with its path; items that are not mappings are skipped."""
    items = raw if isinstance(raw, list) else []
    return [(f"{field}[{i}]", item) for i, item in enumerate(items) if isinstance(item, dict)]


def _raise_refusal(errors: list[DefinitionError]) -> None:
    count = f"{len(errors)} validation error{'s' if len(errors) > 1 else ''}"
    detail = "\n".join([count, *map(str, errors)])
    raise Refusal(ResultCode.PLAN_INVALID, detail) from ExceptionGroup(count, errors)


def _find_duplicate_names(back_ends: list[tuple[str, dict[str, Any]]]) -> list[DefinitionError]:
    first_paths: dict[str, str] = {}
    errors = []
    for path, back_end in back_ends:
        name = back_end.get("name")
        if isinstance(name, str) and first_paths.setdefault(name, path) != path:
            problem = f"{name!r} is already the name of {first_paths[name]}"
            errors.append(DefinitionError(f"{path}.name", problem))
    return errors


def _find_address_errors(
    path: str, address: Any, first_paths: dict[str, str]
) -> list[DefinitionError]:
    """Return the errors of an address that matches the address pattern.

    Args:
        path: path of the back end.
        address: its address; one that does not match the pattern is a type error.
        first_paths: path of the first back end with each address; the address is added.
    """
    if not isinstance(address, str) or not _ADDRESS_PATTERN.fullmatch(address):
        return []
    host, _, port = address.rpartition(":")
    problems = []
    try:
        host = str(ipaddress.ip_address(host.strip("[]")))
    except ValueError:
        problems.append(f"{host!r} is not an IP address")
    if not 1 <= int(port) <= PORT_MAX:
        problems.append(f"port {port} is not in the range 1 to {PORT_MAX}")
    first_path = first_paths.setdefault(f"{host} {int(port)}", path)
    if first_path != path:
        problems.append(f"{address} is already the address of {first_path}")
    return [DefinitionError(f"{path}.address", problem) for problem in problems]


def _find_zone_errors(path: str, zone: Any, zones: Collection[str] | None) -> list[DefinitionError]:
    if zones is None or not isinstance(zone, str) or zone in zones:
        return []
    known = ", ".join(sorted(zones))
    return [DefinitionError(f"{path}.zone", f"{zone!r} is not one of {known}")]


def _find_drain_errors(drain_ms: Any) -> list[DefinitionError]:
    if not isinstance(drain_ms, int | float) or drain_ms <= DRAIN_MAX_MS:
        return []
    return [DefinitionError("drain_ms", f"{drain_ms:g} is over the maximum of {DRAIN_MAX_MS}")]


def _find_type_errors(raw: Any) -> list[DefinitionError]:
    """Return the type errors of raw data; collect them field by field only if conversion fails."""
    try:
        msgspec.convert(raw, ServiceDefinition)
    except msgspec.ValidationError:
        return _find_schema_errors(raw, ServiceDefinition, "")
    return []


def _find_schema_errors(raw: Any, kind: Any, path: str) -> list[DefinitionError]:
    """Return every type error of raw data against a type.

    Args:
        raw: decoded JSON data.
        kind: the expected type.
        path: path of the data in the definition; empty for the definition itself.
    """
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct) and isinstance(raw, dict):
        return _find_struct_errors(raw, kind, path)
    type_description = inspect.type_info(kind)
    if isinstance(type_description, inspect.ListType) and isinstance(raw, list):
        item_kind = kind.__args__[0]
        return _flatten_errors(
            _find_schema_errors(v, item_kind, f"{path}[{i}]") for i, v in enumerate(raw)
        )
    if isinstance(type_description, inspect.DictType) and isinstance(raw, dict):
        return _find_mapping_errors(raw, kind, path)
    try:
        msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        return [DefinitionError(path or "definition", str(error))]
    return []


def _find_struct_errors(raw: dict, kind: type[msgspec.Struct], path: str) -> list[DefinitionError]:
    prefix = f"{path}." if path else ""
    hints = get_type_hints(kind, include_extras=True)
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    errors = []
    for name, field in fields.items():
        if name in raw:
            errors += _find_schema_errors(raw[name], hints[field.name], prefix + name)
        elif field.required:
            errors.append(DefinitionError(prefix + name, "is missing"))
    unknown = [name for name in raw if name not in fields]
    return errors + [DefinitionError(f"{prefix}{name}", "unknown field") for name in unknown]


def _find_mapping_errors(raw: dict, kind: Any, path: str) -> list[DefinitionError]:
    key_kind, value_kind = kind.__args__
    errors = []
    for key, value in raw.items():
        item_path = f"{path}[{key}]"
        errors += _find_schema_errors(key, key_kind, item_path) + _find_schema_errors(
            value, value_kind, item_path
        )
    return errors


def _flatten_errors(groups: Iterable[list[DefinitionError]]) -> list[DefinitionError]:
    return [error for group in groups for error in group]
