"""Claims on worker groups: which groups this process is the scheduler of."""

import time
from collections.abc import Callable

import gevent
import xxhash
from eliot import log_message

from camphorchute.cluster.cluster_view import CLAIM_PREFIX, Claim, ClusterView
from camphorchute.cluster.membership_lease import MembershipLease
from camphorchute.contracts.member import Member
from camphorchute.hosting import (
    Store,
    StoredValue,
    StoreUnavailable,
    SwapConflict,
    SwapUnknown,
)
from camphorchute.loops import spawn_loop, until_next_tick_s
from camphorchute.runs import GroupScheduler
from camphorchute.runs.group_names import GROUP_SEPARATOR, zone_of_group

__all__ = ["GroupClaims"]

CHECK_INTERVAL_MS = 100.0
CHANGE_TICK_MS = 50.0
UNCHANGED_CHECK_INTERVAL_MS = 500.0
RANK_DELAY_MS = 200.0
OTHER_ZONE_DELAY_MS = 1500.0
RECLAIM_INTERVAL_MS = 500.0
STILL_SERVED_DELAY_MS = 2500.0
OVERLOADED_DELAY_MS = 2000.0
HOLDER_SILENT_DELAY_MS = 700.0  # a lost link is opened again within about 500 ms
RELEASE_ALL_INTERVAL_MS = 10_000.0
MS_PER_S = 1000.0


class _Vacancy:
    """A time for which a group has had no scheduler.

    Args:
        since_s: monotonic time at which it was seen first, in seconds.
        after_revision: revision of the last claim on the group before it.
    """

    __slots__ = ("since_s", "after_revision")

    def __init__(self, since_s: float, after_revision: int) -> None:
        self.since_s = since_s
        self.after_revision = after_revision


class GroupClaims:
    """Claims worker groups that have no scheduler, and stops scheduling those claimed elsewhere.

    A claim is a key in the store, written with a compare-and-swap so that only one process can
    acquire it. Its revision is the fencing token of the commands to the group's workers. The key
    is bound to the lease of this process and disappears when the lease expires.

    Args:
        store: the platform's store.
        view: the cluster view, which lists members, workers and claims.
        lease: the lease of this process.
        member: this process.
        scheduler: starts and stops tasks on the workers of the groups held.
        is_served: returns whether another member currently reports that it schedules a group.
        count: adds to a named counter.

    Attributes:
        is_closed: whether this process acquires no more claims.
        can_act_in_time: returns whether this process can send commands in time. A process that
            cannot releases its groups and claims others last.
        is_isolated: returns whether this process has lost most of its links, so that a silent
            holder of a claim proves nothing.
    """

    __slots__ = (
        "is_closed",
        "can_act_in_time",
        "is_isolated",
        "_store",
        "_view",
        "_lease",
        "_member",
        "_scheduler",
        "_is_served",
        "_count",
        "_held_revisions",
        "_groups_seen_claimed",
        "_groups_seen_served",
        "_vacancies",
        "_claim_attempted_s",
        "_released_all_s",
        "_checked_s",
        "_watched_groups",
        "_served_groups",
        "_greenlet",
    )

    def __init__(
        self,
        store: Store,
        view: ClusterView,
        lease: MembershipLease,
        member: Member,
        scheduler: GroupScheduler,
        is_served: Callable[[str], bool],
        count: Callable[..., None],
    ) -> None:
        self.is_closed = False
        self.can_act_in_time: Callable[[], bool] = lambda: True
        self.is_isolated: Callable[[], bool] = lambda: True
        self._store = store
        self._view = view
        self._lease = lease
        self._member = member
        self._scheduler = scheduler
        self._is_served = is_served
        self._count = count
        self._held_revisions: dict[str, int] = {}
        self._groups_seen_claimed: set[str] = set()
        self._groups_seen_served: dict[str, str] = {}
        self._vacancies: dict[str, _Vacancy] = {}
        self._claim_attempted_s: dict[str, float] = {}
        self._released_all_s = 0.0
        self._checked_s = 0.0
        self._watched_groups: list[str] = []
        self._served_groups: list[str] = []
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to claim groups and to follow the claims of other processes."""
        self._greenlet = spawn_loop("roster", self._reconcile_claims, self._count)

    def close(self) -> None:
        """Release the claims held, so that other processes can acquire them immediately."""
        self.is_closed = True
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        for group, revision in list(self._held_revisions.items()):
            self._release_claim(group, revision)

    def _release_claim(self, group: str, revision: int) -> None:
        """Release a claim; if the store does not answer, hold the group until the process exits."""
        try:
            self._store.swap(CLAIM_PREFIX + group, None, revision)
        except (StoreUnavailable, SwapUnknown) as error:
            self._count("roster.release_failed")
            log_message(
                message_type="roster", text=f"roster: claim on group {group} not released: {error}"
            )
            return
        except SwapConflict:
            self._count("roster.release_late")
        self._stop_holding(group)
        # The watch delivers the deletion later; until then the claim would be taken for a held one.
        claim = self._view.claims.get(group)
        if claim is not None and claim.revision == revision:
            self._view.apply_change(StoredValue(CLAIM_PREFIX + group, None, 0))

    def _reconcile_claims(self) -> None:
        """Compare the claims with the cluster view whenever it changes, and act on differences."""
        while True:
            self._wait_for_change()
            self._view.remove_expired_workers()
            if not self.can_act_in_time():
                self._release_all_groups()
            if not self._is_check_due():
                continue
            self._checked_s = time.monotonic()
            self._view.changed.clear()
            groups = list(self._view.groups())
            self._watched_groups = [
                group
                for group in self._view.followers().followed_by(self._member)
                if zone_of_group(group) == self._member.zone
            ]
            self._served_groups = self._list_served_groups()
            for group in [name for name in self._held_revisions if name not in groups]:
                self._set_workers(group)
                self._release_claim(group, self._held_revisions[group])
            for group in [name for name in self._vacancies if name not in groups]:
                del self._vacancies[group]
            for group in groups:
                self._check_group(group)
                self._set_workers(group)

    def _set_workers(self, group: str) -> None:
        """Pass on the workers that a group has now, not those that it had before a store call."""
        workers, group_by_worker = self._view.workers_of(group), self._view.group_by_worker()
        self._scheduler.set_workers(group, workers, group_by_worker)

    def _is_check_due(self) -> bool:
        """Return whether the outcome of a check may differ from that of the last one.

        That is the case after a change of the view, while a group is vacant or its workers reject
        the fencing token, and when a holder that this process follows in its zone has begun or
        stopped to serve. What else depends on time only is checked at a longer interval, so that
        an idle process does not go through all groups ten times a second.
        """
        unchecked_ms = (time.monotonic() - self._checked_s) * MS_PER_S
        return (
            self._view.changed.is_set()
            or not self._held_revisions.keys() >= self._vacancies.keys()
            or bool(self._scheduler.superseded_groups)
            or unchecked_ms >= UNCHANGED_CHECK_INTERVAL_MS
            or self._served_groups != self._list_served_groups()
        )

    def _list_served_groups(self) -> list[str]:
        return [group for group in self._watched_groups if self._is_served(group)]

    def _wait_for_change(self) -> None:
        """Wait until the view has changed, at most for CHECK_INTERVAL_MS.

        The event is read and not waited for: a wait whose time-out coincided with that of another
        loop did not end.
        """
        for _ in range(round(CHECK_INTERVAL_MS / CHANGE_TICK_MS)):
            gevent.sleep(until_next_tick_s(CHANGE_TICK_MS))
            if self._view.changed.is_set():
                break

    def _release_all_groups(self) -> None:
        """Release every group, so that a process that keeps up with its work can acquire it."""
        now_s = time.monotonic()
        if (
            not self._held_revisions
            or (now_s - self._released_all_s) * MS_PER_S < RELEASE_ALL_INTERVAL_MS
        ):
            return
        self._released_all_s = now_s
        self._count("roster.groups_shed", len(self._held_revisions))
        for group, revision in list(self._held_revisions.items()):
            self._release_claim(group, revision)

    def _check_group(self, group: str) -> None:
        """Acquire, hold or stop holding one group according to its claim in the cluster view."""
        claim = self._view.claims.get(group)
        held_revision = self._held_revisions.get(group)
        if claim is not None:
            self._groups_seen_claimed.add(group)
            if self._is_served(group):
                self._groups_seen_served[group] = claim.member_id
        if held_revision is not None:
            self._check_held_claim(group, claim, held_revision)
        elif claim is not None and claim.member_id == self._member.member_id:
            self._vacancies.pop(group, None)
            self._start_holding(group, claim.revision)
        elif (
            claim is None
            or self._is_holder_gone(claim)
            or self._should_move_to_own_zone(group, claim)
            or self._is_holder_silent(group, claim)
        ):
            self._claim_after_delay(group, 0 if claim is None else claim.revision)
        else:
            self._vacancies.pop(group, None)

    def _check_held_claim(self, group: str, claim: Claim | None, held_revision: int) -> None:
        """Compare the claim held with the one in the store.

        A newer claim is followed. A claim that has disappeared is acquired again, and so is one
        whose fencing token a worker of the group has rejected.
        """
        if claim is not None and claim.member_id != self._member.member_id:
            if claim.revision > held_revision:
                self._stop_holding(group)
        elif claim is not None and claim.revision > held_revision:
            self._start_holding(group, claim.revision)
        elif claim is None or group in self._scheduler.superseded_groups:
            last_attempt_s = self._claim_attempted_s.get(group, 0.0)
            if (time.monotonic() - last_attempt_s) * MS_PER_S > RECLAIM_INTERVAL_MS:
                self._acquire_claim(group, 0 if claim is None else claim.revision)

    def _is_holder_gone(self, claim: Claim) -> bool:
        """Return whether the holder is no longer registered, or was replaced at its address."""
        return claim.member_id not in self._view.members

    def _should_move_to_own_zone(self, group: str, claim: Claim) -> bool:
        """Return whether this member is in the group's zone while its scheduler is not."""
        holder = self._view.members.get(claim.member_id)
        zone = zone_of_group(group)
        return holder is not None and holder.zone != zone and self._member.zone == zone

    def _is_holder_silent(self, group: str, claim: Claim) -> bool:
        """Return whether the holder of a claim stopped serving its group, as this process sees it.

        That holds if the holder has served the group before and its link is lost, while this
        process, which follows the group in the same zone, still has most of its other links. The
        lease of a partitioned or dead holder lasts for seconds; taking over earlier is safe, since
        workers reject its fencing token.
        """
        return (
            self._groups_seen_served.get(group) == claim.member_id
            and not self._is_served(group)
            and self._member.zone == zone_of_group(group)
            and self._is_group_follower(group)
            and not self.is_isolated()
        )

    def _claim_after_delay(self, group: str, revision: int) -> None:
        """Claim a vacant group once it has been vacant for the delay of this process.

        The delays differ, so that members do not all claim at the same time. A member that still
        schedules the group has lost only its claim, for example in an outage of the store, and
        goes first: the others wait longer. Members that do not follow the group cannot know
        whether it is still served, and wait as if it was.
        """
        now_s = time.monotonic()
        vacant_since_s = self._vacant_since_s(group, now_s)
        delay_ms = self._claim_delay_ms(group)
        is_service_unknown = group in self._groups_seen_claimed and not self._is_group_follower(
            group
        )
        if is_service_unknown or self._is_served(group):
            delay_ms += STILL_SERVED_DELAY_MS
        claim = self._view.claims.get(group)
        if claim is not None and self._is_holder_silent(group, claim):
            delay_ms += HOLDER_SILENT_DELAY_MS
        if not self.can_act_in_time():
            delay_ms += OVERLOADED_DELAY_MS
        if (now_s - vacant_since_s) * MS_PER_S < delay_ms:
            return
        last_attempt_s = self._claim_attempted_s.get(group, 0.0)
        if (now_s - last_attempt_s) * MS_PER_S > RECLAIM_INTERVAL_MS:
            self._acquire_claim(group, revision)

    def _vacant_since_s(self, group: str, now_s: float) -> float:
        """Return since when a group without a scheduler has had none, as a monotonic time.

        A claim that was made and lost between two checks ends the time before it.
        """
        last_revision = self._view.claimed_revisions.get(group, 0)
        vacancy = self._vacancies.get(group)
        if vacancy is None or (
            group not in self._view.claims and vacancy.after_revision != last_revision
        ):
            vacancy = self._vacancies[group] = _Vacancy(now_s, last_revision)
        return vacancy.since_s

    def _claim_delay_ms(self, group: str) -> float:
        """Return how long a group must be vacant before this process claims it."""
        if self._member.zone == zone_of_group(group):
            return self._claim_rank(group, is_own_zone=True) * RANK_DELAY_MS
        return OTHER_ZONE_DELAY_MS + self._claim_rank(group, is_own_zone=False) * RANK_DELAY_MS

    def _claim_rank(self, group: str, is_own_zone: bool) -> int:
        """Return the rank of this process among those of the group's zone, or of the others.

        Followers of the group rank first; of those, members that hold fewer claims, as the
        commands of a group cost its scheduler more processor time than anything else.

        Args:
            group: name of the group.
            is_own_zone: whether to rank the members of the group's zone, or all others.
        """
        zone, own_id = zone_of_group(group), self._member.member_id
        own_key = self._rank_key(group, self._member)
        return sum(
            self._rank_key(group, member) < own_key
            for member in self._view.members.values()
            if (member.zone == zone) == is_own_zone and member.member_id != own_id
        )

    def _rank_key(self, group: str, member: Member) -> tuple[bool, int, int]:
        """Return the key by which members are ranked for the claim on a group, lowest first."""
        member_id = member.member_id
        return (
            not self._view.followers().is_follower(member, group),
            self._view.claims_held[member_id],
            xxhash.xxh32_intdigest(f"{group} {member_id}".encode()),
        )

    def _is_group_follower(self, group: str) -> bool:
        return self._view.followers().is_follower(self._member, group)

    def _acquire_claim(self, group: str, revision: int) -> None:
        """Try to acquire the claim on a group if its key still has a revision, 0 for no key."""
        lease_id = self._lease.lease_id
        if self.is_closed or not lease_id:
            return
        self._claim_attempted_s[group] = time.monotonic()
        value = self._member.member_id.encode()
        try:
            revision_acquired = self._store.swap(CLAIM_PREFIX + group, value, revision, lease_id)
        except SwapConflict:
            self._count("roster.claim_lost")
        except SwapUnknown:
            self._count("roster.claim_unknown")
        except StoreUnavailable:
            self._count("roster.retry.claim")
        else:
            self._view.set_claim(group, Claim(self._member.member_id, revision_acquired))
            self._start_holding(group, revision_acquired)

    def _start_holding(self, group: str, revision: int) -> None:
        """Record an acquired claim and start to schedule the group under its fencing token."""
        self._held_revisions[group] = revision
        self._vacancies.pop(group, None)
        service = group.split(GROUP_SEPARATOR)[1]
        self._scheduler.acquire_group(group, service, revision)
        self._count("roster.group_taken")
        log_message(
            message_type="roster", text="roster: home of group", group=group, fence=revision
        )

    def _stop_holding(self, group: str) -> None:
        """Forget a claim and stop scheduling its group."""
        del self._held_revisions[group]
        self._scheduler.release_group(group)
        self._count("roster.group_given_up")
        log_message(message_type="roster", text="roster: no longer home of group", group=group)
