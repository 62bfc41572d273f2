"""Which worker groups this process is the home of."""

import time
from collections.abc import Callable

import gevent
import xxhash
from eliot import log_message

from camphorchute.contracts.member import Member
from camphorchute.hosting import Store, StoreUnavailable, SwapLost, SwapUnknown
from camphorchute.loops import spawn_loop
from camphorchute.roster.group_followers import followers_of
from camphorchute.roster.membership_lease import MembershipLease
from camphorchute.roster.shared_view import CLAIM_PREFIX, Claim, SharedView
from camphorchute.runs import GroupHome
from camphorchute.runs.worker_groups import SEPARATOR, zone_of_group

__all__ = ["Claims"]

CHECK_MS = 100.0
TURN_STEP_MS = 200.0
OTHER_ZONE_DELAY_MS = 1500.0
RECLAIM_MS = 500.0
SERVED_DELAY_MS = 2500.0
UNFIT_DELAY_MS = 2000.0
RELEASE_AGAIN_MS = 10_000.0
MS_PER_S = 1000.0


class Claims:
    """Claims groups that have no home, and gives up those that another process has claimed.

    A claim is a key written under the condition that nobody else has written it; its revision is
    the fencing token. The key is bound to the lease of this process.

    Args:
        store: the platform's store.
        view: the shared state.
        lease: the lease of this process.
        member: this process.
        home: gives orders to the workers of the groups held.
        is_served: whether another member says that it is the home of a group right now.
        count: adds to a named counter.

    Attributes:
        leaving: whether this process claims nothing any more.
        is_fit: whether this process can give orders in time; one that cannot gives its groups up
            and claims others last.
    """

    __slots__ = (
        "leaving",
        "is_fit",
        "_store",
        "_view",
        "_lease",
        "_member",
        "_home",
        "_is_served",
        "_count",
        "_held",
        "_seen_held",
        "_vacant_since_s",
        "_claimed_s",
        "_shed_s",
        "_greenlet",
    )

    def __init__(
        self,
        store: Store,
        view: SharedView,
        lease: MembershipLease,
        member: Member,
        home: GroupHome,
        is_served: Callable[[str], bool],
        count: Callable[..., None],
    ) -> None:
        self.leaving = False
        self.is_fit: Callable[[], bool] = lambda: True
        self._store = store
        self._view = view
        self._lease = lease
        self._member = member
        self._home = home
        self._is_served = is_served
        self._count = count
        self._held: dict[str, int] = {}
        self._seen_held: set[str] = set()
        self._vacant_since_s: dict[str, float] = {}
        self._claimed_s: dict[str, float] = {}
        self._shed_s = 0.0
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Claim and follow."""
        self._greenlet = spawn_loop("roster", self._follow, self._count)

    def close(self) -> None:
        """Give up the claims held, so that others can claim the groups at once."""
        self.leaving = True
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        for group, revision in list(self._held.items()):
            self._release(group, revision)

    def _release(self, group: str, revision: int) -> None:
        """Give a claim back; without an answer the group is kept until the process ends."""
        try:
            self._store.swap(CLAIM_PREFIX + group, None, revision)
        except (StoreUnavailable, SwapUnknown) as error:
            self._count("roster.release_failed")
            log_message(message_type="roster", text=f"roster: claim not released: {error}")
            return
        except SwapLost:
            self._count("roster.release_late")
        self._give_up(group)

    def _follow(self) -> None:
        while True:
            self._view.changed.wait(CHECK_MS / MS_PER_S)
            self._view.changed.clear()
            self._view.drop_gone()
            if not self.is_fit():
                self._shed()
            groups = self._view.groups()
            group_of = {worker: name for name, workers in groups.items() for worker in workers}
            for group in [name for name in self._held if name not in groups]:
                self._home.set_workers(group, {}, group_of)
                self._release(group, self._held[group])
            for group, workers in groups.items():
                self._check(group)
                self._home.set_workers(group, workers, group_of)

    def _shed(self) -> None:
        """Give every group up, so that a process that is not behind can take it."""
        now_s = time.monotonic()
        if not self._held or (now_s - self._shed_s) * MS_PER_S < RELEASE_AGAIN_MS:
            return
        self._shed_s = now_s
        self._count("roster.groups_shed", len(self._held))
        for group, revision in list(self._held.items()):
            self._release(group, revision)

    def _check(self, group: str) -> None:
        claim = self._view.claims.get(group)
        held = self._held.get(group)
        if claim is not None:
            self._seen_held.add(group)
        if held is not None:
            self._check_held(group, claim, held)
        elif claim is not None and claim.member_id == self._member.member_id:
            self._vacant_since_s.pop(group, None)
            self._take(group, claim.revision)
        elif claim is None or self._is_void(claim) or self._should_move(group, claim):
            self._claim_in_turn(group, 0 if claim is None else claim.revision)
        else:
            self._vacant_since_s.pop(group, None)

    def _check_held(self, group: str, claim: Claim | None, held: int) -> None:
        """Follow a newer claim; claim anew what has lapsed or what a worker obeys no more."""
        if claim is not None and claim.member_id != self._member.member_id:
            if claim.revision > held:
                self._give_up(group)
        elif claim is not None and claim.revision > held:
            self._take(group, claim.revision)
        elif claim is None or group in self._home.fenced_groups:
            last_s = self._claimed_s.get(group, 0.0)
            if (time.monotonic() - last_s) * MS_PER_S > RECLAIM_MS:
                self._claim(group, 0 if claim is None else claim.revision)

    def _is_void(self, claim: Claim) -> bool:
        """Whether the holder of a claim is no longer registered, or replaced at its address."""
        return claim.member_id not in self._view.members

    def _should_move(self, group: str, claim: Claim) -> bool:
        """Whether a group's home stands in another zone although this one has members."""
        holder = self._view.members.get(claim.member_id)
        zone = zone_of_group(group)
        return holder is not None and holder.zone != zone and self._member.zone == zone

    def _claim_in_turn(self, group: str, revision: int) -> None:
        """Claim a vacant group when it is this process's turn among the members.

        A member that still serves the group has lost only its claim, for example in an outage
        of the store, and goes first. Members that do not follow the group cannot tell, and wait
        as if it was served.
        """
        now_s = time.monotonic()
        since_s = self._vacant_since_s.setdefault(group, now_s)
        delay_ms = self._delay_ms(group)
        unknown = group in self._seen_held and not self._is_follower(group)
        if unknown or self._is_served(group):
            delay_ms += SERVED_DELAY_MS
        if not self.is_fit():
            delay_ms += UNFIT_DELAY_MS
        if (now_s - since_s) * MS_PER_S < delay_ms:
            return
        last_s = self._claimed_s.get(group, 0.0)
        if (now_s - last_s) * MS_PER_S > RECLAIM_MS:
            self._claim(group, revision)

    def _delay_ms(self, group: str) -> float:
        zone = zone_of_group(group)
        same_zone = [m for m in self._view.members.values() if m.zone == zone]
        if self._member.zone == zone:
            return self._turn(group, same_zone) * TURN_STEP_MS
        others = [m for m in self._view.members.values() if m.zone != zone]
        return OTHER_ZONE_DELAY_MS + self._turn(group, others) * TURN_STEP_MS

    def _turn(self, group: str, members: list[Member]) -> int:
        """Return the place of this process among members; those that follow the group go first."""
        followers = {member.member_id for member in self._followers(group)}
        ranked = sorted(
            {member.member_id for member in members} | {self._member.member_id},
            key=lambda member_id: (
                member_id not in followers,
                xxhash.xxh32_intdigest(f"{group} {member_id}".encode()),
            ),
        )
        return ranked.index(self._member.member_id)

    def _followers(self, group: str) -> list[Member]:
        return followers_of(group, self._view.members.values(), self._view.group_names())

    def _is_follower(self, group: str) -> bool:
        return self._member.member_id in {member.member_id for member in self._followers(group)}

    def _claim(self, group: str, revision: int) -> None:
        lease_id = self._lease.lease_id
        if self.leaving or not lease_id:
            return
        self._claimed_s[group] = time.monotonic()
        value = self._member.member_id.encode()
        try:
            claimed = self._store.swap(CLAIM_PREFIX + group, value, revision, lease_id)
        except SwapLost:
            self._count("roster.claim_lost")
        except SwapUnknown:
            self._count("roster.claim_unknown")
        except StoreUnavailable:
            self._count("roster.retry.claim")
        else:
            self._view.claims[group] = Claim(self._member.member_id, claimed)
            self._take(group, claimed)

    def _take(self, group: str, revision: int) -> None:
        self._held[group] = revision
        service = group.split(SEPARATOR)[1]
        self._home.take_group(group, service, revision)
        self._count("roster.group_taken")
        log_message(
            message_type="roster", text="roster: home of group", group=group, fence=revision
        )

    def _give_up(self, group: str) -> None:
        del self._held[group]
        self._home.drop_group(group)
        self._count("roster.group_given_up")
        log_message(message_type="roster", text="roster: no longer home of group", group=group)
