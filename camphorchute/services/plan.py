"""Plans: an intended change of a service, its base revision and its effects."""

import re
import secrets
from collections.abc import Collection

import msgspec

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.services.definition import ServiceDefinition
from camphorchute.services.differences import Difference, find_differences
from camphorchute.services.effects import Effects, Usage, find_effects
from camphorchute.services.record import ServiceRecord
from camphorchute.services.validation import check_definition

__all__ = [
    "PLANS_PREFIX",
    "PLAN_MAX_BYTES",
    "Plan",
    "check_service_and_operator",
    "make_plan",
    "new_plan_id",
    "plan_key",
    "service_of_plan_id",
]

PLANS_PREFIX = "/camphorchute/plans/"
PLAN_MAX_BYTES = 960 * 1024
PLAN_ID_RANDOM_BYTES = 8

_SERVICE_PATTERN = re.compile(r"[a-z0-9][a-z0-9_.-]{0,63}")
_OPERATOR_PATTERN = re.compile(r"[^\x00-\x1f\x7f]{1,64}")
_PLAN_ID_PATTERN = re.compile(r"(?P<service>[a-z0-9][a-z0-9_.-]{0,63})-[0-9a-f]{16}")


class Plan(msgspec.Struct, omit_defaults=True):
    """An intended change of one service, which takes effect only when it is confirmed.

    Attributes:
        id: id of the plan; it begins with the name of the service.
        service: name of the service.
        base_revision: revision that the plan changes; 0 if the service was never stored.
        operator: operator who made the plan.
        made_unix_ms: Unix time of the plan in milliseconds.
        definition: the intended definition; None removes the service.
        differences: the values that it would change.
        effects: its effects on back ends, capacity and present work.
        from_outdated_base: whether the store could not be read, so that the base is the last
            revision known to this process.
        base_age_ms: age of the base in milliseconds if it is not from the store; -1 if unknown.
        saved: whether the plan is in the store; otherwise only the process that made it has it.
        undo_revision: the former revision that it restores; 0 for a new intent.
    """

    id: str
    service: str
    base_revision: int
    operator: str
    made_unix_ms: int
    definition: ServiceDefinition | None
    differences: list[Difference]
    effects: Effects
    from_outdated_base: bool = False
    base_age_ms: float = 0.0
    saved: bool = True
    undo_revision: int = 0


def plan_key(plan_id: str) -> str:
    """Return the key of a plan in the store."""
    return PLANS_PREFIX + plan_id


def new_plan_id(service: str) -> str:
    """Return a new random id for a plan of a service."""
    return f"{service}-{secrets.token_hex(PLAN_ID_RANDOM_BYTES)}"


def service_of_plan_id(plan_id: str) -> str:
    """Return the name of the service in a plan's id.

    Raises:
        Refusal: ``PLAN_UNKNOWN`` if the text is not a plan id.

    Examples:
        >>> service_of_plan_id("flags-0123456789abcdef")
        'flags'
    """
    match = _PLAN_ID_PATTERN.fullmatch(plan_id)
    if match is None:
        raise Refusal(ResultCode.PLAN_UNKNOWN, f"{plan_id[:80]!r} is not a plan id")
    return match["service"]


def check_service_and_operator(service: str, operator: str) -> None:
    """Check the form of a service's name and of an operator's name.

    Raises:
        Refusal: ``PLAN_INVALID`` if either name is malformed.
    """
    if not _SERVICE_PATTERN.fullmatch(service):
        raise Refusal(
            ResultCode.PLAN_INVALID, f"service: {service[:80]!r} is not a valid service name"
        )
    if not _OPERATOR_PATTERN.fullmatch(operator):
        raise Refusal(
            ResultCode.PLAN_INVALID,
            "operator: expected a name of 1 to 64 characters without control characters",
        )


def make_plan(
    record: ServiceRecord,
    definition: ServiceDefinition | None,
    usage: Usage,
    operator: str,
    made_unix_ms: int,
    zones: Collection[str] | None = None,
) -> Plan:
    """Return a plan that changes a service from its record to a definition.

    Args:
        record: the base; its revision is 0 if the service was never stored.
        definition: the intended definition; None removes the service.
        usage: the present use of the service.
        operator: operator who makes the plan.
        made_unix_ms: Unix time of the plan in milliseconds.
        zones: the known availability zones; None skips the check of zones.

    Raises:
        Refusal: ``PLAN_INVALID`` with every validation error; ``VALUE_TOO_LARGE`` if the
            definition or the encoded plan is too large; ``UNKNOWN_SERVICE`` if there is no
            service to remove.

    Examples:
        >>> base, intent = ServiceRecord("flags"), ServiceDefinition("flags", drain_ms=5000.0)
        >>> plan = make_plan(base, intent, Usage(), "ada", 0)
        >>> plan.base_revision, plan.effects.slots_after
        (0, 0)
    """
    _check_intent(record, definition, zones)
    plan = Plan(
        id=new_plan_id(record.name),
        service=record.name,
        base_revision=record.revision,
        operator=operator,
        made_unix_ms=made_unix_ms,
        definition=definition,
        differences=find_differences(record.definition, definition),
        effects=find_effects(record.definition, definition, usage),
    )
    if not plan.differences:
        plan.effects.warnings.append("the plan changes nothing")
    size_bytes = len(msgspec.json.encode(plan))
    if size_bytes > PLAN_MAX_BYTES:
        raise Refusal(
            ResultCode.VALUE_TOO_LARGE,
            f"the plan has {size_bytes} bytes, at most {PLAN_MAX_BYTES} are allowed",
        )
    return plan


def _check_intent(
    record: ServiceRecord, definition: ServiceDefinition | None, zones: Collection[str] | None
) -> None:
    if definition is None:
        if record.definition is None:
            raise Refusal(
                ResultCode.UNKNOWN_SERVICE,
                f"service {record.name!r} does not exist and cannot be removed",
            )
        return
    if definition.name != record.name:
        raise Refusal(
            ResultCode.PLAN_INVALID,
            f"name: {definition.name!r} is not the name of the planned service {record.name!r}",
        )
    check_definition(definition, zones)
