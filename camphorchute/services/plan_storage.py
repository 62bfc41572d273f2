"""Storage of plans: in the store under a lease, or in memory while the store is unavailable."""

import msgspec
from eliot import log_message

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.stored_values import decode_json
from camphorchute.hosting import Store, StoredValue, StoreUnavailable, SwapConflict, SwapUnknown
from camphorchute.services.plan import Plan, new_plan_id, plan_key

__all__ = ["PLAN_TTL_S", "UNSAVED_MAX_PLANS", "PlanStorage"]

PLAN_TTL_S = 86_400
UNSAVED_MAX_PLANS = 100


class PlanStorage:
    """Saves, loads and deletes plans.

    Args:
        store: the platform's store.
    """

    __slots__ = ("_store", "_unsaved")

    def __init__(self, store: Store) -> None:
        self._store = store
        self._unsaved: dict[str, Plan] = {}

    def save(self, plan: Plan) -> None:
        """Write a plan to the store; on failure keep it in memory and mark it as unsaved.

        An unsaved plan gets a new id, because the failed write may still reach the store and
        would otherwise restore the plan after it was discarded.
        """
        value = msgspec.json.encode(plan)
        try:
            lease_id = self._store.grant_lease(PLAN_TTL_S)
            self._store.swap(plan_key(plan.id), value, 0, lease_id)
        except (StoreUnavailable, SwapUnknown, SwapConflict) as error:
            self._keep_in_memory(plan)
            text = f"services: plan {plan.id} could not be saved in the store and is kept in memory"
            log_message(message_type="services:plans", text=text, error=repr(error))

    def load(self, plan_id: str) -> Plan | None:
        """Return a plan, or None if it does not exist.

        Raises:
            StoreUnavailable: the plan is not in memory and the store did not answer.
            Refusal: ``INTERNAL`` if the stored value is not a plan.
        """
        if plan_id in self._unsaved:
            return self._unsaved[plan_id]
        stored = self._store.get(plan_key(plan_id))
        return _decode_plan(stored) if stored else None

    def delete(self, plan_id: str) -> bool:
        """Delete a plan.

        Returns:
            Whether the plan existed.

        Raises:
            StoreUnavailable: the plan was not deleted.
            SwapUnknown: it is unknown whether the plan was deleted.
        """
        if self._unsaved.pop(plan_id, None) is not None:
            return True
        stored = self._store.get(plan_key(plan_id))
        if stored is None:
            return False
        try:
            self._store.swap(plan_key(plan_id), None, stored.mod_revision)
        except SwapConflict:
            return False
        return True

    def _keep_in_memory(self, plan: Plan) -> None:
        plan.saved = False
        plan.id = new_plan_id(plan.service)
        if len(self._unsaved) >= UNSAVED_MAX_PLANS:
            del self._unsaved[next(iter(self._unsaved))]
        self._unsaved[plan.id] = plan


def _decode_plan(stored: StoredValue) -> Plan:
    try:
        return decode_json(stored.value, Plan)
    except ValueError as error:
        raise Refusal(
            ResultCode.INTERNAL, f"cannot decode the plan at {stored.key}: {error}"
        ) from error
