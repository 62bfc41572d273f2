"""Where plans are kept: in the store under a lease, or in memory while it does not answer."""

import msgspec
from eliot import log_message

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.hosting import Store, StoredValue, StoreUnavailable, SwapLost, SwapUnknown
from camphorchute.services.plan import Plan, new_plan_id, plan_key

__all__ = ["PLAN_TTL_S", "UNSAVED_MAX_PLANS", "SavedPlans"]

PLAN_TTL_S = 86_400
UNSAVED_MAX_PLANS = 100


class SavedPlans:
    """Plans that can still be confirmed.

    Args:
        store: the platform's store.
    """

    __slots__ = ("_store", "_unsaved")

    def __init__(self, store: Store) -> None:
        self._store = store
        self._unsaved: dict[str, Plan] = {}

    def save(self, plan: Plan) -> None:
        """Put a plan in the store, or keep it in memory and mark it as unsaved.

        An unsaved plan gets a new id, so that a write that is still on its way to the store
        cannot bring back a plan that was discarded.
        """
        value = msgspec.json.encode(plan)
        try:
            lease_id = self._store.grant_lease(PLAN_TTL_S)
            self._store.swap(plan_key(plan.id), value, 0, lease_id)
        except (StoreUnavailable, SwapUnknown, SwapLost) as error:
            self._keep(plan)
            text = f"services: plan {plan.id} is not in the store"
            log_message(message_type="services:plans", text=text, error=repr(error))

    def load(self, plan_id: str) -> Plan | None:
        """Return a plan, None where there is none.

        Raises:
            StoreUnavailable: the store did not answer and the plan is not in memory.
        """
        if plan_id in self._unsaved:
            return self._unsaved[plan_id]
        stored = self._store.get(plan_key(plan_id))
        return _decode(stored) if stored else None

    def drop(self, plan_id: str) -> bool:
        """Remove a plan.

        Returns:
            Whether there was one.

        Raises:
            StoreUnavailable: the plan is still in the store.
            SwapUnknown: it may be.
        """
        if self._unsaved.pop(plan_id, None) is not None:
            return True
        stored = self._store.get(plan_key(plan_id))
        if stored is None:
            return False
        try:
            self._store.swap(plan_key(plan_id), None, stored.mod_revision)
        except SwapLost:
            return False
        return True

    def _keep(self, plan: Plan) -> None:
        plan.saved = False
        plan.id = new_plan_id(plan.service)
        if len(self._unsaved) >= UNSAVED_MAX_PLANS:
            del self._unsaved[next(iter(self._unsaved))]
        self._unsaved[plan.id] = plan


def _decode(stored: StoredValue) -> Plan:
    try:
        return msgspec.json.decode(stored.value, type=Plan)
    except msgspec.DecodeError as error:
        raise Refusal(ResultCode.INTERNAL, f"plan at {stored.key}: {error}") from error
