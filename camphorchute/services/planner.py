"""Operators' changes: plan, show, confirm, discard, history and undo."""

import time
from collections.abc import Callable, Sequence

from eliot import log_message

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.hosting import Store, StoreUnavailable, SwapLost, SwapUnknown
from camphorchute.services.answers import Confirmation, ServiceHistory
from camphorchute.services.catalogue import Catalogue
from camphorchute.services.definition import ServiceDefinition
from camphorchute.services.effects import Usage
from camphorchute.services.faults import read_definition
from camphorchute.services.outdated import outdated_refusal
from camphorchute.services.plan import Plan, check_names, make_plan, plan_service
from camphorchute.services.record import (
    HistoryEntry,
    ServiceRecord,
    encode_record,
    next_record,
    read_record,
    service_key,
)
from camphorchute.services.saved_plans import SavedPlans

__all__ = ["Planner"]

UNCLEAR_MAX_PLANS = 1000


class Planner:
    """Makes and confirms plans at one entry process.

    A confirm compares and swaps the service's key on the revision that its plan rests on. The
    catalogue is only read here: it learns of a confirmed change from the store's watch like
    every other process, so that its `revision` never passes over a change.

    Args:
        store: the platform's store.
        catalogue: the services in force here, the base of plans while the store is down.
        zones: the known availability zones; None where they are not checked.
        usage: returns the present use of a service.
        clock: Unix time in seconds.
    """

    __slots__ = ("_catalogue", "_clock", "_plans", "_store", "_unclear", "_usage", "_zones")

    def __init__(
        self,
        store: Store,
        catalogue: Catalogue,
        zones: Sequence[str] | None = None,
        usage: Callable[[str], Usage] | None = None,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._catalogue = catalogue
        self._zones = zones
        self._usage = usage or (lambda service: Usage())
        self._clock = clock
        self._plans = SavedPlans(store)
        self._unclear: dict[str, None] = {}

    def plan(self, service: str, intent: object, operator: str) -> Plan:
        """Return a new plan.

        Args:
            service: name of the service.
            intent: the definition, as plain data or as a `ServiceDefinition`; None removes it.
            operator: who makes the plan.

        Raises:
            Refusal: ``PLAN_INVALID`` with every fault, ``VALUE_TOO_LARGE``, or
                ``UNKNOWN_SERVICE`` where there is nothing to remove.
        """
        check_names(service, operator)
        definition = self._read_intent(intent)
        record, from_store = self._base(service)
        return self._make(record, definition, operator, from_store)

    def plan_change(
        self, service: str, change: Callable[[ServiceDefinition], ServiceDefinition], operator: str
    ) -> Plan:
        """Return a new plan that changes the definition of the very base that it rests on.

        Args:
            service: name of the service.
            change: returns the intended definition of the one in force.
            operator: who makes the plan.

        Raises:
            Refusal: as `plan` does, and ``UNKNOWN_SERVICE`` where there is none to change.
        """
        check_names(service, operator)
        record, from_store = self._base(service)
        if record.definition is None:
            raise Refusal(ResultCode.UNKNOWN_SERVICE, f"no service {service!r}")
        return self._make(record, change(record.definition), operator, from_store)

    def undo(self, service: str, revision: int, operator: str) -> Plan:
        """Return a new plan that restores a former revision of a service.

        Raises:
            Refusal: ``PLAN_INVALID`` where the history does not hold that revision.
        """
        check_names(service, operator)
        record, from_store = self._base(service)
        entry = record.find_revision(revision)
        if entry is None or entry.folded:
            held = ", ".join(str(e.revision) for e in record.entries() if not e.folded)
            raise Refusal(
                ResultCode.PLAN_INVALID,
                f"undo_revision: revision {revision} of {service} is not held; held are {held}",
            )
        return self._make(record, entry.definition, operator, from_store, revision)

    def show(self, plan_id: str) -> Plan:
        """Return a plan.

        Raises:
            Refusal: ``PLAN_UNKNOWN``, or ``STORE_UNAVAILABLE`` where it cannot be read.
        """
        plan_service(plan_id)
        try:
            plan = self._plans.load(plan_id)
        except StoreUnavailable as error:
            raise _unavailable(f"plan {plan_id} cannot be read", error) from error
        if plan is None:
            raise Refusal(ResultCode.PLAN_UNKNOWN, f"no plan {plan_id}")
        return plan

    def confirm(self, plan_id: str, operator: str) -> Confirmation:
        """Put a plan in force, or tell that an earlier call did.

        Raises:
            Refusal: ``PLAN_OUTDATED`` where its base has moved, ``PLAN_UNKNOWN``,
                ``STORE_UNAVAILABLE`` where nothing was confirmed, ``CONFIRM_UNKNOWN`` where it
                may have been.
        """
        service = plan_service(plan_id)
        check_names(service, operator)
        try:
            plan = self._plans.load(plan_id)
            record = self._stored_record(service)
            if done := record.find_plan(plan_id):
                return self._done(service, done, repeated=True)
            if plan is None:
                raise Refusal(ResultCode.PLAN_UNKNOWN, f"no plan {plan_id}")
            if record.revision != plan.base_revision:
                raise self._outdated(plan, record)
            return self._swap(plan, record, operator)
        except SwapUnknown as error:
            self._note_unclear(plan_id)
            raise _unclear(plan_id, error) from error
        except StoreUnavailable as error:
            if plan_id in self._unclear:
                raise _unclear(plan_id, error) from error
            raise _unavailable(f"this call did not confirm plan {plan_id}", error) from error

    def discard(self, plan_id: str) -> None:
        """Remove a plan that was not confirmed.

        Raises:
            Refusal: ``PLAN_UNKNOWN``, ``PLAN_OUTDATED`` where the plan is confirmed, or
                ``STORE_UNAVAILABLE``.
        """
        service = plan_service(plan_id)
        try:
            record = self._stored_record(service)
            if done := record.find_plan(plan_id):
                raise Refusal(
                    ResultCode.PLAN_OUTDATED,
                    f"plan {plan_id} was confirmed at revision {done.revision}; plan an undo",
                )
            if not self._plans.drop(plan_id):
                raise Refusal(ResultCode.PLAN_UNKNOWN, f"no plan {plan_id}")
        except SwapUnknown as error:
            raise _unavailable(f"plan {plan_id} may be discarded", error) from error
        except StoreUnavailable as error:
            raise _unavailable(f"plan {plan_id} is not discarded", error) from error

    def history(self, service: str) -> ServiceHistory:
        """Return the states of a service, from the store or as last known here.

        Raises:
            Refusal: ``UNKNOWN_SERVICE``, or ``STORE_UNAVAILABLE`` where nothing is known here.
        """
        record, from_store = self._base(service)
        if not record.revision:
            raise Refusal(ResultCode.UNKNOWN_SERVICE, f"no service {service!r}")
        age_ms = 0.0 if from_store else self._known_age_ms()
        return ServiceHistory(service, record.entries(), record.entries_dropped, from_store, age_ms)

    def _read_intent(self, intent: object) -> ServiceDefinition | None:
        if intent is None or isinstance(intent, ServiceDefinition):
            return intent
        return read_definition(intent, self._zones)

    def _make(
        self,
        record: ServiceRecord,
        definition: ServiceDefinition | None,
        operator: str,
        from_store: bool,
        undo_revision: int = 0,
    ) -> Plan:
        usage = self._usage(record.name)
        plan = make_plan(record, definition, usage, operator, self._now_unix_ms(), self._zones)
        plan.undo_revision = undo_revision
        if not from_store:
            plan.from_outdated_base = True
            plan.base_age_ms = self._known_age_ms()
        self._plans.save(plan)
        return plan

    def _base(self, service: str) -> tuple[ServiceRecord, bool]:
        """Return the record to plan on, and whether it comes from the store."""
        try:
            return self._stored_record(service), True
        except StoreUnavailable as error:
            if not self._catalogue.ready:
                raise _unavailable("no revision is known here yet", error) from error
        return self._catalogue.get(service) or ServiceRecord(service), False

    def _stored_record(self, service: str) -> ServiceRecord:
        key = service_key(service)
        stored = self._store.get(key)
        if stored is None:
            return ServiceRecord(service)
        return read_record(key, stored.value, stored.mod_revision)

    def _swap(self, plan: Plan, record: ServiceRecord, operator: str) -> Confirmation:
        key, now_unix_ms = service_key(plan.service), self._now_unix_ms()
        successor = next_record(record, plan.definition, plan.id, operator, now_unix_ms)
        try:
            revision = self._store.swap(key, encode_record(successor), plan.base_revision)
        except SwapLost as lost:
            return self._lost(plan, lost)
        successor.revision = revision
        return self._done(plan.service, successor.entry(), repeated=False)

    def _lost(self, plan: Plan, lost: SwapLost) -> Confirmation:
        current = ServiceRecord(plan.service)
        if lost.current is not None:
            current = read_record(lost.key, lost.current.value, lost.current.mod_revision)
        if done := current.find_plan(plan.id):
            return self._done(plan.service, done, repeated=True)
        raise self._outdated(plan, current)

    def _done(self, service: str, entry: HistoryEntry, repeated: bool) -> Confirmation:
        self._unclear.pop(entry.plan_id, None)
        text = f"services: plan {entry.plan_id} is confirmed at revision {entry.revision}"
        log_message(message_type="services:confirm", text=text, operator=entry.operator)
        return Confirmation(
            entry.plan_id,
            service,
            entry.revision,
            entry.operator,
            entry.confirmed_unix_ms,
            repeated,
        )

    def _outdated(self, plan: Plan, record: ServiceRecord) -> Refusal:
        self._unclear.pop(plan.id, None)
        return outdated_refusal(plan, record)

    def _note_unclear(self, plan_id: str) -> None:
        if len(self._unclear) >= UNCLEAR_MAX_PLANS:
            del self._unclear[next(iter(self._unclear))]
        self._unclear[plan_id] = None

    def _known_age_ms(self) -> float:
        age_ms = self._catalogue.age_ms
        return -1.0 if age_ms is None else age_ms

    def _now_unix_ms(self) -> int:
        return int(self._clock() * 1000)


def _unavailable(what: str, error: Exception) -> Refusal:
    return Refusal(ResultCode.STORE_UNAVAILABLE, f"{what}: {error}")


def _unclear(plan_id: str, error: Exception) -> Refusal:
    return Refusal(
        ResultCode.CONFIRM_UNKNOWN,
        f"plan {plan_id} may be confirmed; confirm it again to learn it: {error}",
    )
