"""Operators' changes of services: plan, show, confirm, discard, history and undo."""

import time
from collections.abc import Callable, Sequence

from eliot import log_message

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.hosting import Store, StoreUnavailable, SwapConflict, SwapUnknown
from camphorchute.services.answers import Confirmation, ServiceHistory
from camphorchute.services.catalogue import Catalogue
from camphorchute.services.definition import ServiceDefinition
from camphorchute.services.effects import Usage
from camphorchute.services.outdated import make_outdated_refusal
from camphorchute.services.plan import (
    Plan,
    check_service_and_operator,
    make_plan,
    service_of_plan_id,
)
from camphorchute.services.plan_storage import PlanStorage
from camphorchute.services.record import (
    HistoryEntry,
    ServiceRecord,
    decode_record,
    encode_record,
    next_record,
    service_key,
)
from camphorchute.services.validation import parse_definition

__all__ = ["Planner"]

UNKNOWN_CONFIRMS_MAX = 1000


class Planner:
    """Makes and confirms plans at one entry process.

    A confirm is a compare-and-swap of the service's key on the base revision of its plan. The
    catalogue is only read here: it receives a confirmed change from the store's watch or a peer
    like in every other process, so that its `revision` never skips a change.

    Args:
        store: the platform's store.
        catalogue: the services in force here, the base of plans while the store is unavailable.
        zones: the known availability zones; None skips the check of zones.
        usage: returns the present use of a service; None means no use.
        clock: returns the Unix time in seconds.
    """

    __slots__ = (
        "_catalogue",
        "_clock",
        "_plan_storage",
        "_store",
        "_unknown_confirms",
        "_usage",
        "_zones",
    )

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
        self._plan_storage = PlanStorage(store)
        self._unknown_confirms: dict[str, None] = {}

    def make_plan(self, service: str, intent: object, operator: str) -> Plan:
        """Make and save a plan that sets the definition of a service.

        Args:
            service: name of the service.
            intent: the intended definition, as a decoded JSON body or as a
                `ServiceDefinition`; None removes the service.
            operator: operator who makes the plan.

        Raises:
            Refusal: ``PLAN_INVALID`` with every validation error, ``VALUE_TOO_LARGE``,
                ``UNKNOWN_SERVICE`` if there is no service to remove, or ``STORE_UNAVAILABLE``
                if no base is known here either.
        """
        check_service_and_operator(service, operator)
        definition = self._read_intent(intent)
        record, from_store = self._read_base(service)
        return self._make_and_save(record, definition, operator, from_store)

    def make_change_plan(
        self, service: str, change: Callable[[ServiceDefinition], ServiceDefinition], operator: str
    ) -> Plan:
        """Make and save a plan that modifies the definition of its base revision.

        Args:
            service: name of the service.
            change: returns the intended definition, given the one of the base.
            operator: operator who makes the plan.

        Raises:
            Refusal: as `make_plan` does, and ``UNKNOWN_SERVICE`` if there is no definition to
                change.
        """
        check_service_and_operator(service, operator)
        record, from_store = self._read_base(service)
        if record.definition is None:
            raise Refusal(ResultCode.UNKNOWN_SERVICE, f"service {service!r} does not exist")
        return self._make_and_save(record, change(record.definition), operator, from_store)

    def make_undo_plan(self, service: str, revision: int, operator: str) -> Plan:
        """Make and save a plan that restores a former revision of a service.

        Args:
            service: name of the service.
            revision: the revision to restore.
            operator: operator who makes the plan.

        Raises:
            Refusal: as `make_plan` does, and ``PLAN_INVALID`` if the history does not have the
                definition of that revision.
        """
        check_service_and_operator(service, operator)
        record, from_store = self._read_base(service)
        entry = record.find_entry_by_revision(revision)
        if entry is None or entry.folded:
            available = ", ".join(str(e.revision) for e in record.all_entries() if not e.folded)
            raise Refusal(
                ResultCode.PLAN_INVALID,
                f"undo_revision: revision {revision} of {service} is not in the history; "
                f"available revisions: {available}",
            )
        return self._make_and_save(record, entry.definition, operator, from_store, revision)

    def get_plan(self, plan_id: str) -> Plan:
        """Return a saved plan.

        Raises:
            Refusal: ``PLAN_UNKNOWN`` if it does not exist, or ``STORE_UNAVAILABLE`` if it cannot
                be read.
        """
        service_of_plan_id(plan_id)
        try:
            plan = self._plan_storage.load(plan_id)
        except StoreUnavailable as error:
            raise _store_unavailable(f"plan {plan_id} cannot be read", error) from error
        if plan is None:
            raise Refusal(ResultCode.PLAN_UNKNOWN, f"plan {plan_id} does not exist")
        return plan

    def confirm(self, plan_id: str, operator: str) -> Confirmation:
        """Put a plan in force; safe to repeat.

        Args:
            plan_id: id of the plan.
            operator: operator who confirms the plan.

        Returns:
            The confirmation, marked as repeated if an earlier call had confirmed the plan.

        Raises:
            Refusal: ``PLAN_OUTDATED`` if the base revision is no longer in force,
                ``PLAN_UNKNOWN`` if the plan does not exist, ``STORE_UNAVAILABLE`` if this call
                confirmed nothing, ``CONFIRM_UNKNOWN`` if the plan may have been confirmed.
        """
        service = service_of_plan_id(plan_id)
        check_service_and_operator(service, operator)
        try:
            plan = self._plan_storage.load(plan_id)
            record = self._read_stored_record(service)
            if confirmed_entry := record.find_entry_by_plan(plan_id):
                return self._finish_confirm(service, confirmed_entry, repeated=True)
            if plan is None:
                raise Refusal(ResultCode.PLAN_UNKNOWN, f"plan {plan_id} does not exist")
            if record.revision != plan.base_revision:
                raise self._make_outdated_refusal(plan, record)
            return self._swap_record(plan, record, operator)
        except SwapUnknown as error:
            self._remember_unknown_confirm(plan_id)
            raise _confirm_unknown(plan_id, error) from error
        except StoreUnavailable as error:
            if plan_id in self._unknown_confirms:
                raise _confirm_unknown(plan_id, error) from error
            raise _store_unavailable(f"this call did not confirm plan {plan_id}", error) from error

    def discard(self, plan_id: str) -> None:
        """Delete a plan that was not confirmed.

        Raises:
            Refusal: ``PLAN_UNKNOWN`` if the plan does not exist, ``PLAN_OUTDATED`` if it was
                confirmed, or ``STORE_UNAVAILABLE``.
        """
        service = service_of_plan_id(plan_id)
        try:
            record = self._read_stored_record(service)
            if confirmed_entry := record.find_entry_by_plan(plan_id):
                raise Refusal(
                    ResultCode.PLAN_OUTDATED,
                    f"plan {plan_id} was confirmed at revision {confirmed_entry.revision}; "
                    "to revert it, plan an undo",
                )
            if not self._plan_storage.delete(plan_id):
                raise Refusal(ResultCode.PLAN_UNKNOWN, f"plan {plan_id} does not exist")
        except SwapUnknown as error:
            raise _store_unavailable(f"plan {plan_id} may have been discarded", error) from error
        except StoreUnavailable as error:
            raise _store_unavailable(f"plan {plan_id} was not discarded", error) from error

    def get_history(self, service: str) -> ServiceHistory:
        """Return the states of a service, from the store or else as last known to this process.

        Raises:
            Refusal: ``UNKNOWN_SERVICE`` if the service was never stored, or
                ``STORE_UNAVAILABLE`` if the store did not answer and no state is known here.
        """
        record, from_store = self._read_base(service)
        if not record.revision:
            raise Refusal(ResultCode.UNKNOWN_SERVICE, f"service {service!r} does not exist")
        age_ms = 0.0 if from_store else self._catalogue_age_ms()
        return ServiceHistory(
            service, record.all_entries(), record.entries_dropped, from_store, age_ms
        )

    def _read_intent(self, intent: object) -> ServiceDefinition | None:
        if intent is None or isinstance(intent, ServiceDefinition):
            return intent
        return parse_definition(intent, self._zones)

    def _make_and_save(
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
            plan.base_age_ms = self._catalogue_age_ms()
        self._plan_storage.save(plan)
        return plan

    def _read_base(self, service: str) -> tuple[ServiceRecord, bool]:
        """Return the base record of a plan and whether it was read from the store."""
        try:
            return self._read_stored_record(service), True
        except StoreUnavailable as error:
            if not self._catalogue.ready:
                raise _store_unavailable(
                    "the store is unavailable and this process has no service records yet", error
                ) from error
        return self._catalogue.get_record(service) or ServiceRecord(service), False

    def _read_stored_record(self, service: str) -> ServiceRecord:
        key = service_key(service)
        stored = self._store.get(key)
        if stored is None:
            return ServiceRecord(service)
        return decode_record(key, stored.value, stored.mod_revision)

    def _swap_record(self, plan: Plan, record: ServiceRecord, operator: str) -> Confirmation:
        key, now_unix_ms = service_key(plan.service), self._now_unix_ms()
        successor = next_record(record, plan.definition, plan.id, operator, now_unix_ms)
        try:
            revision = self._store.swap(key, encode_record(successor), plan.base_revision)
        except SwapConflict as conflict:
            return self._resolve_swap_conflict(plan, conflict)
        successor.revision = revision
        return self._finish_confirm(plan.service, successor.to_history_entry(), repeated=False)

    def _resolve_swap_conflict(self, plan: Plan, conflict: SwapConflict) -> Confirmation:
        current = ServiceRecord(plan.service)
        if conflict.current is not None:
            current = decode_record(
                conflict.key, conflict.current.value, conflict.current.mod_revision
            )
        if confirmed_entry := current.find_entry_by_plan(plan.id):
            return self._finish_confirm(plan.service, confirmed_entry, repeated=True)
        raise self._make_outdated_refusal(plan, current)

    def _finish_confirm(self, service: str, entry: HistoryEntry, repeated: bool) -> Confirmation:
        self._unknown_confirms.pop(entry.plan_id, None)
        text = f"services: plan {entry.plan_id} was confirmed at revision {entry.revision}"
        log_message(message_type="services:confirm", text=text, operator=entry.operator)
        return Confirmation(
            entry.plan_id,
            service,
            entry.revision,
            entry.operator,
            entry.confirmed_unix_ms,
            repeated,
        )

    def _make_outdated_refusal(self, plan: Plan, record: ServiceRecord) -> Refusal:
        self._unknown_confirms.pop(plan.id, None)
        return make_outdated_refusal(plan, record)

    def _remember_unknown_confirm(self, plan_id: str) -> None:
        if len(self._unknown_confirms) >= UNKNOWN_CONFIRMS_MAX:
            del self._unknown_confirms[next(iter(self._unknown_confirms))]
        self._unknown_confirms[plan_id] = None

    def _catalogue_age_ms(self) -> float:
        age_ms = self._catalogue.age_ms
        return -1.0 if age_ms is None else age_ms

    def _now_unix_ms(self) -> int:
        return int(self._clock() * 1000)


def _store_unavailable(problem: str, error: Exception) -> Refusal:
    return Refusal(ResultCode.STORE_UNAVAILABLE, f"{problem}: {error}")


def _confirm_unknown(plan_id: str, error: Exception) -> Refusal:
    return Refusal(
        ResultCode.CONFIRM_UNKNOWN,
        f"plan {plan_id} may have been confirmed; repeat the confirm to find out: {error}",
    )
