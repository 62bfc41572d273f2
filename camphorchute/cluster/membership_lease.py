"""The store lease under which this process is registered as a member."""

import random
import time
from collections.abc import Callable

import gevent
import msgspec
from eliot import log_message

from camphorchute.cluster.cluster_view import MEMBER_PREFIX
from camphorchute.contracts.member import Member
from camphorchute.decision_log import log_decision
from camphorchute.hosting import Store, StoreRefused, StoreUnavailable, SwapConflict, SwapUnknown
from camphorchute.loops import spawn_loop

__all__ = ["MembershipLease"]

LEASE_TTL_S = 3
LEASE_VALID_MS = 2000.0
RENEW_INTERVAL_MS = 900.0
RETRY_INTERVAL_MS = 250.0
MS_PER_S = 1000.0
STORE_USER = "lease"


class MembershipLease:
    """Registers this process as a member under a lease and renews the lease.

    The claims of this process are bound to the same lease.

    Args:
        store: the platform's store.
        member: this process.
        count: adds to a named counter.

    Attributes:
        lease_id: id of the lease, 0 while this process has none.
    """

    __slots__ = ("lease_id", "_store", "_member", "_count", "_renewed_s", "_greenlet")

    def __init__(self, store: Store, member: Member, count: Callable[..., None]) -> None:
        self.lease_id = 0
        self._store = store
        self._member = member
        self._count = count
        self._renewed_s = 0.0
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to register this process and to renew its lease."""
        self._greenlet = spawn_loop("roster", self._maintain_lease, self._count)

    def close(self) -> None:
        """Revoke the lease, so that other members need not wait until it expires."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        self._store.outage.forget_user(STORE_USER)
        lease_id, self.lease_id = self.lease_id, 0
        if lease_id:
            try:
                self._store.revoke_lease(lease_id)
            except StoreUnavailable as error:
                self._count("roster.revoke_failed")
                log_message(
                    message_type="roster", text=f"roster: lease {lease_id} not revoked: {error}"
                )

    def is_valid(self, lease_id: int) -> bool:
        """Return whether no other process can have acquired a claim bound to a lease yet.

        The time since the last renewal includes time for which the VM was suspended. A lease
        that has expired never becomes valid again, since this process registers under a new one.

        Args:
            lease_id: id of the lease, 0 for none.
        """
        if not lease_id or lease_id != self.lease_id:
            return False
        return (_boot_time_s() - self._renewed_s) * MS_PER_S < LEASE_VALID_MS

    def since_renewal_s(self) -> float:
        """Return the time since the last renewal in seconds, infinite while there is no lease."""
        return _boot_time_s() - self._renewed_s if self.lease_id else float("inf")

    def _maintain_lease(self) -> None:
        while True:
            requested_s = _boot_time_s()
            try:
                if not self.lease_id:
                    self._register()
                elif not self._store.renew_lease(self.lease_id):
                    self._count("roster.lease_expired")
                    log_decision("roster", "lease expired; registering again", lease=self.lease_id)
                    self.lease_id = 0
                    continue
                self._renewed_s = requested_s
                self._store.outage.record_answer(STORE_USER)
                pause_ms = RENEW_INTERVAL_MS
            except SwapConflict:
                self._count("roster.retry.lease")
                pause_ms = RETRY_INTERVAL_MS
            except (StoreUnavailable, SwapUnknown) as error:
                self._count("roster.retry.lease")
                self._store.outage.record_failure(STORE_USER, str(error))
                pause_ms = RETRY_INTERVAL_MS
            gevent.sleep(random.uniform(0.8, 1.0) * pause_ms / MS_PER_S)

    def _register(self) -> None:
        """Write the registration of this process under a new lease.

        Raises:
            StoreRefused: the write lost to another one, whose value the store does not have.
            StoreUnavailable: the store did not serve a call.
            SwapConflict: another write came between reading and replacing the earlier registration.
            SwapUnknown: it is not known whether the registration was written.
        """
        lease_id = self._store.grant_lease(LEASE_TTL_S)
        key = MEMBER_PREFIX + self._member.member_id
        value = msgspec.json.encode(self._member)
        try:
            self._store.swap(key, value, 0, lease_id)
        except SwapConflict as conflict:
            if conflict.current is None:
                raise StoreRefused(
                    f"registration {key!r} lost to a write without a value"
                ) from conflict
            self._store.swap(key, value, conflict.current.mod_revision, lease_id)
        self.lease_id = lease_id


def _boot_time_s() -> float:
    """Return the time since the VM booted in seconds, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
