"""Claims of this process on shards of durable jobs."""

import time
from collections.abc import Callable
from enum import Enum

import gevent
import xxhash
from eliot import log_message

from camphorchute.cluster import OWN_PREFIX, ClusterView, MembershipLease
from camphorchute.contracts.member import Member
from camphorchute.durable_jobs.shard_markers import ShardMarkers
from camphorchute.hosting import Store, StoredValue, StoreUnavailable, SwapConflict, SwapUnknown
from camphorchute.loops import spawn_loop, until_next_tick_s
from camphorchute.runs import SHARD_COUNT

__all__ = ["SHARD_OWNER_KEY_PREFIX", "PreviousOwner", "ShardClaims"]

SHARD_OWNER_KEY_PREFIX = OWN_PREFIX + "keepers/"
CHECK_INTERVAL_MS = 100.0
START_DELAY_MS = 800.0
CLAIM_TURN_MS = 200.0
CLAIM_RETRY_MS = 500.0
HANDOVER_DELAY_MS = 3000.0
HANDOVER_INTERVAL_MS = 30_000.0
OVERLOADED_CLAIM_DELAY_MS = 2000.0
MS_PER_S = 1000.0
STORE_USER = "shard claims"


class PreviousOwner(Enum):
    """What a new owner of a shard knows of the owner before it."""

    NONE = "the shard never had one"
    RELEASED = "it has released its claim, so it cannot act any more"
    LOST = "its claim has ended, and it may not know that yet"


class ShardClaims:
    """Claims shards without an owner, and hands shards over to their preferred members.

    Only a shard that is marked as having had a durable job needs an owner.

    A claim is a key bound to the lease of this process; the key's revision is the owner's term. An
    empty value means that the previous owner released its claim. The preferred owner of a shard is
    the live member that comes first in the order of a hash of the shard and the member's id.

    Args:
        store: the platform's store.
        view: the cluster view.
        lease: the lease of this process.
        member: this process.
        count: adds to a named counter.

    Attributes:
        on_acquired: called with the shard, the term, the id of the lease that the claim is bound
            to, and what is known of the previous owner.
        on_lost: called with a shard that this process no longer owns.
        can_act_in_time: returns whether this process can act in time; one that cannot hands its
            shards over.
        markers: knows which shards need an owner.
    """

    def __init__(
        self,
        store: Store,
        view: ClusterView,
        lease: MembershipLease,
        member: Member,
        count: Callable[..., None],
    ) -> None:
        self.on_acquired: Callable[[int, int, int, PreviousOwner], None] = lambda *claim: None
        self.on_lost: Callable[[int], None] = lambda shard: None
        self.can_act_in_time: Callable[[], bool] = lambda: True
        self.markers = ShardMarkers(store, view, count)
        self._store = store
        self._view = view
        self._lease = lease
        self._member = member
        self._count = count
        self._claims = view.track_prefix(SHARD_OWNER_KEY_PREFIX)
        self._terms: dict[int, int] = {}
        self._lease_ids: dict[int, int] = {}
        self._released_terms: dict[int, int] = {}
        self._vacant_since_s: dict[int, float] = {}
        self._misplaced_since_s: dict[int, float] = {}
        self._last_claim_s: dict[int, float] = {}
        self._last_release_s: dict[int, float] = {}
        self._stable_since_s = time.monotonic()
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start claiming shards and checking the claims."""
        self.markers.start()
        self._greenlet = spawn_loop("keeping", self._check_all, self._count)

    def close(self) -> None:
        """Release every shard, so that other members can claim them immediately."""
        if self._greenlet is not None:
            self._greenlet.kill()  # a check during the release would take the claims for new ones
        self.markers.close()
        unreleased = sum(not self._release_claim(shard) for shard in list(self._terms))
        if unreleased:
            log_message(
                message_type="keeping", text="keeping: claims not released", shards=unreleased
            )
        self._store.outage.forget_user(STORE_USER)

    def owner_of(self, shard: int) -> Member | None:
        """Return the member that owns a shard, None if no live owner is known."""
        return self._view.members.get(self._holder_id(shard))

    def term_of(self, shard: int) -> int:
        """Return the term of the member that owns a shard, 0 if no live owner is known."""
        return 0 if self.owner_of(shard) is None else self._claims[_claim_key(shard)].mod_revision

    def needs_owner(self, shard: int) -> bool:
        """Return whether a shard has or needs an owner, as it may have durable jobs."""
        return _claim_key(shard) in self._claims or self.markers.needs_owner(shard)

    def knows_shards(self) -> bool:
        """Whether this process knows which shards need an owner, as soon as it sees itself."""
        return self.markers.is_loaded and self._member.member_id in self._view.members

    def ownership_stable_ms(self) -> float:
        """Return for how long all shards that need one have had live owners, in milliseconds."""
        return (time.monotonic() - self._stable_since_s) * MS_PER_S

    def _check_all(self) -> None:
        gevent.sleep(START_DELAY_MS / MS_PER_S)
        while True:
            if not self.knows_shards():
                self._stable_since_s = time.monotonic()
            for shard in range(SHARD_COUNT):
                self._check_shard(shard)
            if not self._vacant_since_s:
                self._store.outage.record_answer(STORE_USER)
            gevent.sleep(until_next_tick_s(CHECK_INTERVAL_MS))

    def _check_shard(self, shard: int) -> None:
        current = self._claims.get(_claim_key(shard))
        if current is not None:
            self.markers.add_claimed(shard)
        elif not self.markers.needs_owner(shard):
            return
        holder_id = self._holder_id(shard)
        if holder_id not in self._view.members:
            self._stable_since_s = time.monotonic()
        if shard in self._terms:
            self._check_own_claim(shard, current, holder_id)
        elif self._is_unopened_claim(shard, current):
            self._open_claimed(shard, current, PreviousOwner.LOST)
        elif holder_id in self._view.members:
            self._vacant_since_s.pop(shard, None)
        else:
            self._claim_in_turn(shard, current)

    def _is_unopened_claim(self, shard: int, current: StoredValue | None) -> bool:
        """Return whether this process holds a claim on a shard that it does not own.

        The watch delivers a release later; until then the claim released is the last one known.
        """
        return (
            self._holder_id(shard) == self._member.member_id
            and current.lease_id == self._lease.lease_id
            and current.mod_revision > self._released_terms.get(shard, 0)
        )

    def _check_own_claim(self, shard: int, current: StoredValue | None, holder_id: str) -> None:
        lease_changed = self._lease_ids[shard] != self._lease.lease_id
        if lease_changed or current is None or holder_id != self._member.member_id:
            self._drop_claim(shard)
        elif current.mod_revision > self._terms[shard]:
            self._drop_claim(shard)
            self._acquire(shard, current, PreviousOwner.LOST)
        elif self._should_release(shard):
            self._last_release_s[shard] = time.monotonic()
            self._release_claim(shard)

    def _should_release(self, shard: int) -> bool:
        """Whether another member should own a shard; limits how often a shard is handed over."""
        now_s = time.monotonic()
        since_s = self._misplaced_since_s.setdefault(shard, now_s)
        if self.can_act_in_time() and self._claim_order(shard)[0] == self._member.member_id:
            self._misplaced_since_s.pop(shard, None)
            return False
        if (
            now_s - self._last_release_s.get(shard, -HANDOVER_INTERVAL_MS)
        ) * MS_PER_S < HANDOVER_INTERVAL_MS:
            return False
        return not self.can_act_in_time() or (now_s - since_s) * MS_PER_S > HANDOVER_DELAY_MS

    def _claim_in_turn(self, shard: int, current: StoredValue | None) -> None:
        """Claim a shard without an owner once the members before this one had time to claim it."""
        now_s = time.monotonic()
        since_s = self._vacant_since_s.setdefault(shard, now_s)
        delay_ms = self._claim_order(shard).index(self._member.member_id) * CLAIM_TURN_MS
        if not self.can_act_in_time():
            delay_ms += OVERLOADED_CLAIM_DELAY_MS
        if (now_s - since_s) * MS_PER_S >= delay_ms:
            self._try_claim(shard, current)

    def _try_claim(self, shard: int, current: StoredValue | None) -> None:
        last_s = self._last_claim_s.get(shard, 0.0)
        lease_id = self._lease.lease_id
        if not lease_id or (time.monotonic() - last_s) * MS_PER_S < CLAIM_RETRY_MS:
            return
        self._last_claim_s[shard] = time.monotonic()
        revision = 0 if current is None else current.mod_revision
        value = self._member.member_id.encode()
        try:
            term = self._store.swap(_claim_key(shard), value, revision, lease_id)
        except SwapConflict:
            self._count("keeping.claim_lost")
            self._store.outage.record_answer(STORE_USER)
        except SwapUnknown as error:
            self._count("keeping.claim_unknown")
            self._store.outage.record_failure(STORE_USER, str(error))
        except StoreUnavailable as error:
            self._count("keeping.retry.claim")
            self._store.outage.record_failure(STORE_USER, str(error))
        else:
            self._store.outage.record_answer(STORE_USER)
            claim = StoredValue(_claim_key(shard), value, term, lease_id)
            self._claims[claim.key] = claim
            is_released = current is not None and current.value == b""
            previous = PreviousOwner.RELEASED if is_released else PreviousOwner.LOST
            self._open_claimed(shard, claim, previous)

    def _open_claimed(self, shard: int, claim: StoredValue, previous: PreviousOwner) -> None:
        """Acquire a claimed shard once its marker says that it has been owned.

        Args:
            shard: the shard.
            claim: the claim of this process.
            previous: what its claim shows of the previous owner.
        """
        try:
            is_first_owner = self.markers.confirm_owned(shard)
        except StoreUnavailable as error:
            self._count("keeping.retry.mark_owned")
            self._store.outage.record_failure(STORE_USER, str(error))
            return
        self._acquire(shard, claim, PreviousOwner.NONE if is_first_owner else previous)

    def _release_claim(self, shard: int) -> bool:
        """Release a shard; return whether the store answered.

        If it did not, the claim expires with the lease.
        """
        term = self._terms[shard]
        self._drop_claim(shard)
        try:
            self._store.swap(_claim_key(shard), b"", term)
        except (StoreUnavailable, SwapUnknown):
            self._count("keeping.release_failed")
            return False
        except SwapConflict:
            self._count("keeping.release_late")
        self._released_terms[shard] = term
        return True

    def _acquire(self, shard: int, claim: StoredValue, previous: PreviousOwner) -> None:
        self._terms[shard] = claim.mod_revision
        self._lease_ids[shard] = claim.lease_id
        self._vacant_since_s.pop(shard, None)
        self._misplaced_since_s.pop(shard, None)
        self._count("keeping.shard_taken")
        self.on_acquired(shard, claim.mod_revision, claim.lease_id, previous)

    def _drop_claim(self, shard: int) -> None:
        del self._terms[shard]
        self._count("keeping.shard_lost")
        self.on_lost(shard)

    def _holder_id(self, shard: int) -> str:
        current = self._claims.get(_claim_key(shard))
        return "" if current is None else current.value.decode("utf-8", "replace")

    def _claim_order(self, shard: int) -> list[str]:
        """Return the ids of the members in the order in which they may claim a shard."""
        member_ids = {*self._view.members, self._member.member_id}
        return sorted(
            member_ids,
            key=lambda member_id: xxhash.xxh32_intdigest(f"{shard} {member_id}".encode()),
        )


def _claim_key(shard: int) -> str:
    return f"{SHARD_OWNER_KEY_PREFIX}{shard:02}"
