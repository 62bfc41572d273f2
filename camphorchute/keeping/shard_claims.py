"""Which shards of kept jobs this process keeps."""

import time
from collections.abc import Callable

import gevent
import xxhash
from eliot import log_message

from camphorchute.contracts.member import Member
from camphorchute.hosting import Store, StoredValue, StoreUnavailable, SwapLost, SwapUnknown
from camphorchute.loops import spawn_loop
from camphorchute.roster import OWN_PREFIX, MembershipLease, SharedView
from camphorchute.runs import SHARDS

__all__ = ["KEEPER_PREFIX", "ShardClaims"]

KEEPER_PREFIX = OWN_PREFIX + "keepers/"
CHECK_MS = 100.0
START_MS = 800.0
TURN_STEP_MS = 200.0
RECLAIM_MS = 500.0
MOVE_AFTER_MS = 3000.0
MOVE_AGAIN_MS = 30_000.0
UNFIT_DELAY_MS = 2000.0
MS_PER_S = 1000.0


class ShardClaims:
    """Claims shards without a keeper, and hands shards over to whom they belong.

    A claim is a key bound to the lease of this process; its revision is the keeper's term. A key
    without a value says that the last keeper has stopped of its own accord. Each shard belongs to
    one member, by the hash of both names; it is kept there while that member lives.

    Args:
        store: the platform's store.
        view: the shared state.
        lease: the lease of this process.
        member: this process.
        count: adds to a named counter.

    Attributes:
        taken: called with the shard, the term, the lease that it is bound to, and whether the last
            keeper has stopped.
        lost: called with a shard that this process keeps no more.
        is_fit: whether this process can act in time; one that cannot hands its shards over.
    """

    def __init__(
        self,
        store: Store,
        view: SharedView,
        lease: MembershipLease,
        member: Member,
        count: Callable[..., None],
    ) -> None:
        self.taken: Callable[[int, int, int, bool], None] = lambda *claim: None
        self.lost: Callable[[int], None] = lambda shard: None
        self.is_fit: Callable[[], bool] = lambda: True
        self._store = store
        self._view = view
        self._lease = lease
        self._member = member
        self._count = count
        self._table = view.keep_table(KEEPER_PREFIX)
        self._held: dict[int, int] = {}
        self._lease_of: dict[int, int] = {}
        self._vacant_since_s: dict[int, float] = {}
        self._guest_since_s: dict[int, float] = {}
        self._claimed_s: dict[int, float] = {}
        self._released_s: dict[int, float] = {}
        self._settled_s = time.monotonic()
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Claim and follow."""
        self._greenlet = spawn_loop("keeping", self._follow, self._count)

    def close(self) -> None:
        """Hand every shard over."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        for shard in list(self._held):
            self._release(shard)

    def keeper_of(self, shard: int) -> Member | None:
        """Return the member that keeps a shard, None where none is known."""
        return self._view.members.get(self._holder(shard))

    def settled_ms(self) -> float:
        """Return for how long every shard has had the keeper that it has now."""
        return (time.monotonic() - self._settled_s) * MS_PER_S

    def _follow(self) -> None:
        gevent.sleep(START_MS / MS_PER_S)
        while True:
            for shard in range(SHARDS):
                self._check(shard)
            gevent.sleep(CHECK_MS / MS_PER_S)

    def _check(self, shard: int) -> None:
        current = self._table.get(_key(shard))
        holder = self._holder(shard)
        if holder not in self._view.members:
            self._settled_s = time.monotonic()
        if shard in self._held:
            self._check_held(shard, current, holder)
        elif holder == self._member.member_id and current.lease_id == self._lease.lease_id:
            self._take(shard, current.mod_revision, False)
        elif holder in self._view.members:
            self._vacant_since_s.pop(shard, None)
        else:
            self._claim_in_turn(shard, current)

    def _check_held(self, shard: int, current: StoredValue | None, holder: str) -> None:
        lapsed = self._lease_of[shard] != self._lease.lease_id
        if lapsed or current is None or holder != self._member.member_id:
            self._lose(shard)
        elif current.mod_revision > self._held[shard]:
            self._lose(shard)
            self._take(shard, current.mod_revision, False)
        elif self._should_release(shard):
            self._released_s[shard] = time.monotonic()
            self._release(shard)

    def _should_release(self, shard: int) -> bool:
        """Whether a shard is better kept elsewhere; it is not handed over again and again."""
        now_s = time.monotonic()
        since_s = self._guest_since_s.setdefault(shard, now_s)
        if self.is_fit() and self._order(shard)[0] == self._member.member_id:
            self._guest_since_s.pop(shard, None)
            return False
        if (now_s - self._released_s.get(shard, -MOVE_AGAIN_MS)) * MS_PER_S < MOVE_AGAIN_MS:
            return False
        return not self.is_fit() or (now_s - since_s) * MS_PER_S > MOVE_AFTER_MS

    def _claim_in_turn(self, shard: int, current: StoredValue | None) -> None:
        """Claim a shard without a keeper when it is this process's turn among the members."""
        now_s = time.monotonic()
        since_s = self._vacant_since_s.setdefault(shard, now_s)
        delay_ms = self._order(shard).index(self._member.member_id) * TURN_STEP_MS
        if not self.is_fit():
            delay_ms += UNFIT_DELAY_MS
        if (now_s - since_s) * MS_PER_S >= delay_ms:
            self._claim(shard, current)

    def _claim(self, shard: int, current: StoredValue | None) -> None:
        last_s = self._claimed_s.get(shard, 0.0)
        lease_id = self._lease.lease_id
        if not lease_id or (time.monotonic() - last_s) * MS_PER_S < RECLAIM_MS:
            return
        self._claimed_s[shard] = time.monotonic()
        revision = 0 if current is None else current.mod_revision
        value = self._member.member_id.encode()
        try:
            term = self._store.swap(_key(shard), value, revision, lease_id)
        except SwapLost:
            self._count("keeping.claim_lost")
        except SwapUnknown:
            self._count("keeping.claim_unknown")
        except StoreUnavailable:
            self._count("keeping.retry.claim")
        else:
            self._table[_key(shard)] = StoredValue(_key(shard), value, term, lease_id)
            self._take(shard, term, current is not None and current.value == b"")

    def _release(self, shard: int) -> None:
        """Hand a shard over; without an answer from the store the claim runs out with the lease."""
        term = self._held[shard]
        self._lose(shard)
        try:
            self._store.swap(_key(shard), b"", term)
        except (StoreUnavailable, SwapUnknown) as error:
            self._count("keeping.release_failed")
            log_message(message_type="keeping", text=f"keeping: claim not released: {error}")
        except SwapLost:
            self._count("keeping.release_late")

    def _take(self, shard: int, term: int, clean: bool) -> None:
        self._held[shard] = term
        self._lease_of[shard] = self._lease.lease_id
        self._vacant_since_s.pop(shard, None)
        self._guest_since_s.pop(shard, None)
        self._count("keeping.shard_taken")
        self.taken(shard, term, self._lease_of[shard], clean)

    def _lose(self, shard: int) -> None:
        del self._held[shard]
        self._count("keeping.shard_lost")
        self.lost(shard)

    def _holder(self, shard: int) -> str:
        current = self._table.get(_key(shard))
        return "" if current is None else current.value.decode("utf-8", "replace")

    def _order(self, shard: int) -> list[str]:
        """Return the members in the order in which they claim a shard."""
        names = {*self._view.members, self._member.member_id}
        return sorted(names, key=lambda name: xxhash.xxh32_intdigest(f"{shard} {name}".encode()))


def _key(shard: int) -> str:
    return f"{KEEPER_PREFIX}{shard:02}"
