"""Carry a caller's request to the owner of its key, whichever process that is."""

import random
import time
from collections.abc import Callable

import gevent

from camphorchute.contracts import InvariantBroken, JobAnswer, JobKey, JobSpec, Refusal, ResultCode
from camphorchute.contracts.job import refusal_answer
from camphorchute.contracts.member import Member
from camphorchute.contracts.messages import CancelJob, FetchJob, Message, SubmitJob
from camphorchute.links import LinkLost, Peers, PeerUnreachable
from camphorchute.zones import Membership, RecordStore, ZoneView

__all__ = ["Router", "Submission"]

TRY_AGAIN_CODES = frozenset(
    {
        ResultCode.STALE_TERM,
        ResultCode.NOT_OWNER,
        ResultCode.SHARD_NOT_SETTLED,
        ResultCode.NOT_READY,
        ResultCode.LEAVING,
    }
)
RETRY_MIN_MS = 20.0
RETRY_MAX_MS = 400.0
ANSWER_GRACE_MS = 1000.0
FETCH_GRACE_MS = 2000.0


class Submission:
    """A job on its way to an answer, whether or not its caller still waits.

    Attributes:
        greenlet: ends with the :class:`JobAnswer`.
    """

    __slots__ = ("key", "digest", "greenlet")

    def __init__(self, key: JobKey, digest: bytes, greenlet: gevent.Greenlet) -> None:
        self.key = key
        self.digest = digest
        self.greenlet = greenlet

    def wait(self, wait_ms: float) -> JobAnswer:
        """Return the answer, or code ``ACCEPTED`` where there is none in time."""
        self.greenlet.join(max(wait_ms, 0) / 1000)
        if self.greenlet.ready():
            return self.greenlet.get()
        return JobAnswer(self.key.text, int(ResultCode.ACCEPTED))


class Router:
    """Finds owners and asks them until the deadline.

    Asking twice is safe: the owner knows the key.

    Args:
        view: the ownership records.
        peers: links to the owners.
        records: reads records of other zones from the store.
        membership: asks peers for records.
        zones: the availability zones.
        count: adds to a named counter.
    """

    __slots__ = ("_view", "_peers", "_records", "_membership", "_zones", "_count", "_under_way")

    def __init__(
        self,
        view: ZoneView,
        peers: Peers,
        records: RecordStore,
        membership: Membership,
        zones: list[str],
        count: Callable[..., None],
    ) -> None:
        self._view = view
        self._peers = peers
        self._records = records
        self._membership = membership
        self._zones = zones
        self._count = count
        self._under_way: dict[tuple[str, bytes], Submission] = {}

    def submit(self, key_text: str, spec: JobSpec) -> Submission:
        """Send a job to its owner.

        Raises:
            Refusal: the key or the body is not well formed.
        """
        spec.check()
        key = JobKey(key_text, self._zones)
        digest = spec.digest()
        under_way = self._under_way.get((key.text, digest))
        if under_way is not None:
            return under_way
        greenlet = gevent.spawn(self._drive, key, spec)
        submission = Submission(key, digest, greenlet)
        self._under_way[(key.text, digest)] = submission
        greenlet.link(lambda _: self._under_way.pop((key.text, digest), None))
        return submission

    def fetch(self, key_text: str, wait_ms: float) -> JobAnswer:
        """Return a job's answer, or code ``ACCEPTED`` while it runs."""
        key = JobKey(key_text, self._zones)
        timeout_ms = wait_ms + FETCH_GRACE_MS
        return self._ask(key, lambda _: FetchJob(key.text, wait_ms), timeout_ms)

    def cancel(self, key_text: str) -> JobAnswer:
        """Cancel a job and return its answer."""
        key = JobKey(key_text, self._zones)
        return self._ask(key, lambda _: CancelJob(key.text), FETCH_GRACE_MS)

    def under_way(self) -> int:
        """Return how many submissions have no answer yet."""
        return len(self._under_way)

    def _drive(self, key: JobKey, spec: JobSpec) -> JobAnswer:
        return self._ask(
            key,
            lambda remaining_ms: SubmitJob(key.text, spec, remaining_ms),
            spec.deadline_ms,
        )

    def _ask(
        self, key: JobKey, make_message: Callable[[float], Message], timeout_ms: float
    ) -> JobAnswer:
        until_s = time.monotonic() + timeout_ms / 1000
        retry_ms = RETRY_MIN_MS
        detail = "no process of the zone is known"
        while True:
            remaining_ms = (until_s - time.monotonic()) * 1000
            if remaining_ms <= 0:
                refusal = Refusal(ResultCode.OWNER_UNREACHABLE, detail, 1000)
                return refusal_answer(key.text, refusal)
            try:
                owner = self._owner_of(key)
                message = make_message(remaining_ms)
                reply = self._peers.request(owner, message, remaining_ms + ANSWER_GRACE_MS)
                return _own_answer(key, reply.answer)
            except Refusal as refusal:
                if refusal.code not in TRY_AGAIN_CODES:
                    return refusal_answer(key.text, refusal)
                self._count(f"router.retry.{refusal.code.name.lower()}")
                detail = str(refusal)
                self._view.learn(refusal)
            except LinkLost as error:
                kind = "unreachable" if isinstance(error, PeerUnreachable) else "link_lost"
                self._count(f"router.retry.{kind}")
                detail = str(error)
                self._look_up(key)
            pause_ms = min(retry_ms * random.uniform(0.5, 1.5), max(remaining_ms, 1))
            gevent.sleep(pause_ms / 1000)
            retry_ms = min(RETRY_MAX_MS, retry_ms * 2)

    def _owner_of(self, key: JobKey) -> Member:
        owner = self._view.of_zone(key.zone).owner_of(key.shard)
        if owner is None:
            self._look_up(key)
            owner = self._view.of_zone(key.zone).owner_of(key.shard)
        if owner is None:
            raise Refusal(ResultCode.NOT_READY, f"no process of zone {key.zone!r} is known")
        return owner

    def _look_up(self, key: JobKey) -> None:
        """Learn the newest record of a key's zone, from its members or the store."""
        for member in self._view.of_zone(key.zone).members:
            linked = self._peers.is_linked(member.member_id)
            if linked and member.member_id != self._view.member.member_id:
                self._membership.fetch_record_of(key.zone, member)
        self._records.refresh(key.zone)


def _own_answer(key: JobKey, answer: JobAnswer) -> JobAnswer:
    if answer.key != key.text:
        raise InvariantBroken(f"own_answer: asked for {key.text!r}, got {answer.key!r}")
    return answer
