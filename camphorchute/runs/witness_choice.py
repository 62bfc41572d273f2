"""Witness choice: the members that any process asks about the starts of a job."""

import time
from collections.abc import Callable, Collection

import xxhash

from camphorchute.contracts.member import Member
from camphorchute.rendezvous import rendezvous_score

__all__ = ["WITNESSES", "WitnessChoice", "witness_key"]

WITNESSES = 2
KEYS_PER_SERVICE = 8
NEW_MEMBER_S = 16.0  # for which a member may lack starts that others have witnessed
FIRST_LISTING_S = 5.0  # members that are listed until then may have started before this process
SILENCE_S = 0.3


def witness_key(service: str, job_id: str) -> str:
    """Return the key by which the witnesses of a job are chosen.

    Few keys for each service keep the number of links between processes low.

    Args:
        service: the service that the job runs on.
        job_id: the job.

    Examples:
        >>> witness_key("flags", "5c0e7a21d94b36f8").startswith("flags/")
        True
    """
    return f"{service}/{xxhash.xxh32_intdigest(job_id.encode()) % KEYS_PER_SERVICE}"


class WitnessChoice:
    """Ranks the members for a key, so that all processes choose the same ones.

    Members that have just joined rank last, as those that they displace know of more starts. One
    that has not answered is left out for a moment, as the next in rank has heard of the same.

    Args:
        own_id: member id of this process, which is no witness of its own starts.
        members: returns the listed members; another list object after each change.

    Examples:
        >>> members = [Member(name, name[0], "", "", "", "") for name in ("n1", "n2", "n3", "s1")]
        >>> choice = WitnessChoice("n1", lambda: members)
        >>> chosen = choice.first("flags/0", ())
        >>> len(chosen), chosen == choice.first("flags/0", ())
        (2, True)
        >>> [member.zone for member in choice.first("flags/0", ())].count("s")
        1
        >>> choice.first("flags/0", {"n2", "n3", "s1"})
        []
    """

    __slots__ = (
        "_own_id",
        "_members",
        "_started_s",
        "_listed",
        "_joined_s",
        "_silent_until_s",
        "_orders",
        "_orders_until_s",
    )

    def __init__(self, own_id: str, members: Callable[[], list[Member]]) -> None:
        self._own_id = own_id
        self._members = members
        self._started_s = time.monotonic()
        self._listed: list[Member] = []
        self._joined_s: dict[str, float] = {}
        self._silent_until_s: dict[str, float] = {}
        self._orders: dict[str, list[Member]] = {}
        self._orders_until_s = 0.0

    def first(
        self, key: str, excluded_ids: Collection[str], avoided_zones: Collection[str] = ()
    ) -> list[Member]:
        """Return the first members for a key, in two zones if possible.

        Args:
            key: the key, see :func:`witness_key`.
            excluded_ids: ids of members to leave out.
            avoided_zones: zones whose members come after the others.
        """
        now_s = time.monotonic()
        candidates = [
            member
            for member in self._order(key, now_s)
            if member.member_id not in excluded_ids
            and self._silent_until_s.get(member.member_id, 0.0) <= now_s
        ]
        if avoided_zones:
            candidates.sort(key=lambda member: member.zone in avoided_zones)
        if len(candidates) <= WITNESSES:
            return candidates
        chosen = candidates[0]
        elsewhere = [member for member in candidates if member.zone != chosen.zone]
        return [chosen, (elsewhere or candidates[1:])[0]]

    def member(self, member_id: str) -> Member | None:
        """Return a listed member by its id, None if it is not listed any more."""
        return next((m for m in self._members() if m.member_id == member_id), None)

    def mark_silent(self, member_id: str, duration_s: float = SILENCE_S) -> None:
        """Leave a member out for a while, as it has not answered or is about to end.

        Args:
            member_id: id of the member.
            duration_s: for how long, in seconds.
        """
        until_s = time.monotonic() + duration_s
        self._silent_until_s[member_id] = max(until_s, self._silent_until_s.get(member_id, 0.0))

    def _order(self, key: str, now_s: float) -> list[Member]:
        """Return all other members in the order of their ranks for a key."""
        members = self._members()
        if members is not self._listed or now_s >= self._orders_until_s:
            self._note_members(members, now_s)
        order = self._orders.get(key)
        if order is None:
            order = self._orders[key] = sorted(
                (member for member in members if member.member_id != self._own_id),
                key=lambda member: (
                    self._is_new(member.member_id, now_s),
                    -rendezvous_score(member.member_id, key),
                ),
            )
        return order

    def _note_members(self, members: list[Member], now_s: float) -> None:
        is_first = not self._joined_s or now_s - self._started_s < FIRST_LISTING_S
        joined_s = now_s - NEW_MEMBER_S if is_first else now_s
        self._joined_s = {
            member.member_id: self._joined_s.get(member.member_id, joined_s) for member in members
        }
        self._silent_until_s = {
            member_id: until_s
            for member_id, until_s in self._silent_until_s.items()
            if until_s > now_s
        }
        self._listed, self._orders = members, {}
        ages_at_s = [joined_s + NEW_MEMBER_S for joined_s in self._joined_s.values()]
        self._orders_until_s = min(
            (at_s for at_s in ages_at_s if at_s > now_s), default=float("inf")
        )

    def _is_new(self, member_id: str, now_s: float) -> bool:
        return now_s - self._joined_s[member_id] < NEW_MEMBER_S
