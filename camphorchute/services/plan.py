"""Plans: what an intended change of a service rests on and would do."""

import re
import secrets
from collections.abc import Collection

import msgspec

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.services.definition import ServiceDefinition
from camphorchute.services.differences import Difference, find_differences
from camphorchute.services.effects import Effects, Usage, find_effects
from camphorchute.services.faults import check_definition
from camphorchute.services.record import ServiceRecord

__all__ = [
    "PLANS_PREFIX",
    "PLAN_MAX_BYTES",
    "Plan",
    "check_names",
    "make_plan",
    "new_plan_id",
    "plan_key",
    "plan_service",
]

PLANS_PREFIX = "/camphorchute/plans/"
PLAN_MAX_BYTES = 960 * 1024
PLAN_ID_RANDOM_BYTES = 8

_SERVICE_FORM = re.compile(r"[a-z0-9][a-z0-9_.-]{0,63}")
_OPERATOR_FORM = re.compile(r"[^\x00-\x1f\x7f]{1,64}")
_PLAN_ID_FORM = re.compile(r"(?P<service>[a-z0-9][a-z0-9_.-]{0,63})-[0-9a-f]{16}")


class Plan(msgspec.Struct, omit_defaults=True):
    """An intended change of one service, which takes effect only when it is confirmed.

    Attributes:
        id: names the plan; it begins with the service's name.
        service: name of the service.
        base_revision: revision that the plan rests on; 0 where the service was never stored.
        operator: who made the plan.
        made_unix_ms: when it was made.
        definition: the intended definition; None removes the service.
        differences: what it would change.
        effects: what it would do to back ends, capacity and present work.
        from_outdated_base: whether the store could not be read, so that the base is the last
            revision known to this process.
        base_age_ms: how old that knowledge was, milliseconds; -1 where it is not known.
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
    """Return the store's key of a plan."""
    return PLANS_PREFIX + plan_id


def new_plan_id(service: str) -> str:
    """Return a fresh id for a plan of a service."""
    return f"{service}-{secrets.token_hex(PLAN_ID_RANDOM_BYTES)}"


def plan_service(plan_id: str) -> str:
    """Return the name of the service that a plan's id begins with.

    Raises:
        Refusal: ``PLAN_UNKNOWN`` where it is not the id of a plan.

    Examples:
        >>> plan_service("flags-0123456789abcdef")
        'flags'
    """
    match = _PLAN_ID_FORM.fullmatch(plan_id)
    if match is None:
        raise Refusal(ResultCode.PLAN_UNKNOWN, f"{plan_id[:80]!r} is not the id of a plan")
    return match["service"]


def check_names(service: str, operator: str) -> None:
    """Raise a refusal where a service or an operator cannot be named so.

    Raises:
        Refusal: ``PLAN_INVALID``.
    """
    if not _SERVICE_FORM.fullmatch(service):
        raise Refusal(ResultCode.PLAN_INVALID, f"service: {service[:80]!r} is not a name")
    if not _OPERATOR_FORM.fullmatch(operator):
        raise Refusal(ResultCode.PLAN_INVALID, "operator: a name of 1 to 64 characters is needed")


def make_plan(
    record: ServiceRecord,
    definition: ServiceDefinition | None,
    usage: Usage,
    operator: str,
    made_unix_ms: int,
    zones: Collection[str] | None = None,
) -> Plan:
    """Return the plan that brings a service from its record to a definition.

    Args:
        record: the base; of revision 0 where the service was never stored.
        definition: the intended definition; None removes the service.
        usage: the present use.
        operator: who makes the plan.
        made_unix_ms: when it is made.
        zones: the known availability zones; None where they are not checked.

    Raises:
        Refusal: ``PLAN_INVALID`` with every fault, or ``VALUE_TOO_LARGE``.

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
        plan.effects.warnings.append("nothing would change")
    size_bytes = len(msgspec.json.encode(plan))
    if size_bytes > PLAN_MAX_BYTES:
        raise Refusal(
            ResultCode.VALUE_TOO_LARGE,
            f"the plan has {size_bytes} bytes, at most {PLAN_MAX_BYTES} allowed",
        )
    return plan


def _check_intent(
    record: ServiceRecord, definition: ServiceDefinition | None, zones: Collection[str] | None
) -> None:
    if definition is None:
        if record.definition is None:
            raise Refusal(ResultCode.UNKNOWN_SERVICE, f"no service {record.name!r} to remove")
        return
    if definition.name != record.name:
        raise Refusal(
            ResultCode.PLAN_INVALID,
            f"name: {definition.name!r} is not the planned service {record.name!r}",
        )
    check_definition(definition, zones)
