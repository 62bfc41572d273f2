"""Routing of callers' requests to the process that owns the key."""

import random
import time
from collections.abc import Callable

import gevent

from camphorchute.contracts import InvariantBroken, JobAnswer, JobKey, JobSpec, Refusal, ResultCode
from camphorchute.contracts.job import answer_from_refusal
from camphorchute.contracts.member import Member
from camphorchute.contracts.messages import CancelJob, FetchJob, Message, SubmitJob
from camphorchute.links import LinkLost, Peers, PeerUnreachable
from camphorchute.zones import Membership, RecordStore, ZoneView

__all__ = ["Router", "Submission"]

RETRYABLE_CODES = frozenset(
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
    """A submitted job; it continues whether or not its caller still waits.

    Args:
        key: the idempotency key.
        digest: digest of the body.
        greenlet: returns the :class:`JobAnswer` when it ends.
    """

    __slots__ = ("key", "digest", "greenlet")

    def __init__(self, key: JobKey, digest: bytes, greenlet: gevent.Greenlet) -> None:
        self.key = key
        self.digest = digest
        self.greenlet = greenlet

    def wait(self, wait_ms: float) -> JobAnswer:
        """Return the answer, or code ``ACCEPTED`` if the wait times out.

        Args:
            wait_ms: longest wait in milliseconds.
        """
        self.greenlet.join(max(wait_ms, 0) / 1000)
        if self.greenlet.ready():
            return self.greenlet.get()
        return JobAnswer(self.key.text, int(ResultCode.ACCEPTED))


class Router:
    """Sends requests to the owners of their keys and retries until the deadline.

    A request may be sent twice, because the owner recognizes the key.

    Args:
        view: the ownership records.
        peers: links to the owners.
        records: reads the ownership records of zones from the store.
        membership: fetches ownership records from peers.
        zones: names of all availability zones.
        count: adds to a named counter.
    """

    __slots__ = (
        "_view",
        "_peers",
        "_records",
        "_membership",
        "_zones",
        "_count",
        "_open_submissions",
    )

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
        self._open_submissions: dict[tuple[str, bytes], Submission] = {}

    def submit(self, key_text: str, spec: JobSpec) -> Submission:
        """Send a job to its owner, or join the submission that is open for the same key and body.

        Args:
            key_text: the idempotency key.
            spec: the body.

        Raises:
            Refusal: the key or the body is invalid.
        """
        spec.validate()
        key = JobKey(key_text, self._zones)
        digest = spec.digest()
        open_submission = self._open_submissions.get((key.text, digest))
        if open_submission is not None:
            return open_submission
        greenlet = gevent.spawn(self._submit_until_answered, key, spec)
        submission = Submission(key, digest, greenlet)
        self._open_submissions[(key.text, digest)] = submission
        greenlet.link(lambda _: self._open_submissions.pop((key.text, digest), None))
        return submission

    def fetch(self, key_text: str, wait_ms: float) -> JobAnswer:
        """Return the answer of a job, or code ``ACCEPTED`` if the wait times out.

        Args:
            key_text: the idempotency key.
            wait_ms: longest wait in milliseconds.

        Raises:
            Refusal: the key is invalid.
        """
        key = JobKey(key_text, self._zones)
        timeout_ms = wait_ms + FETCH_GRACE_MS
        return self._request_until_deadline(key, lambda _: FetchJob(key.text, wait_ms), timeout_ms)

    def cancel(self, key_text: str) -> JobAnswer:
        """Cancel a job and return its answer.

        Args:
            key_text: the idempotency key.

        Raises:
            Refusal: the key is invalid.
        """
        key = JobKey(key_text, self._zones)
        return self._request_until_deadline(key, lambda _: CancelJob(key.text), FETCH_GRACE_MS)

    def count_open_submissions(self) -> int:
        """Return the number of submissions without an answer."""
        return len(self._open_submissions)

    def _submit_until_answered(self, key: JobKey, spec: JobSpec) -> JobAnswer:
        return self._request_until_deadline(
            key,
            lambda remaining_ms: SubmitJob(key.text, spec, remaining_ms),
            spec.deadline_ms,
        )

    def _request_until_deadline(
        self, key: JobKey, make_message: Callable[[float], Message], timeout_ms: float
    ) -> JobAnswer:
        deadline_s = time.monotonic() + timeout_ms / 1000
        retry_ms = RETRY_MIN_MS
        detail = f"no process of zone {key.zone!r} is known"
        while True:
            remaining_ms = (deadline_s - time.monotonic()) * 1000
            if remaining_ms <= 0:
                refusal = Refusal(ResultCode.OWNER_UNREACHABLE, detail, 1000)
                return answer_from_refusal(key.text, refusal)
            try:
                owner = self._find_owner(key)
                message = make_message(remaining_ms)
                reply = self._peers.request(owner, message, remaining_ms + ANSWER_GRACE_MS)
                return _check_answer_key(key, reply.answer)
            except Refusal as refusal:
                if refusal.code not in RETRYABLE_CODES:
                    return answer_from_refusal(key.text, refusal)
                self._count(f"router.retry.{refusal.code.name.lower()}")
                detail = str(refusal)
                self._view.adopt_from_refusal(refusal)
            except LinkLost as error:
                kind = "unreachable" if isinstance(error, PeerUnreachable) else "link_lost"
                self._count(f"router.retry.{kind}")
                detail = str(error)
                self._refresh_record(key)
            pause_ms = min(retry_ms * random.uniform(0.5, 1.5), max(remaining_ms, 1))
            gevent.sleep(pause_ms / 1000)
            retry_ms = min(RETRY_MAX_MS, retry_ms * 2)

    def _find_owner(self, key: JobKey) -> Member:
        owner = self._view.record_of_zone(key.zone).owner_of(key.shard)
        if owner is None:
            self._refresh_record(key)
            owner = self._view.record_of_zone(key.zone).owner_of(key.shard)
        if owner is None:
            raise Refusal(ResultCode.NOT_READY, f"no process of zone {key.zone!r} is known")
        return owner

    def _refresh_record(self, key: JobKey) -> None:
        """Fetch the newest ownership record of a key's zone, from its members and the store."""
        for member in self._view.record_of_zone(key.zone).members:
            linked = self._peers.is_linked(member.member_id)
            if linked and member.member_id != self._view.member.member_id:
                self._membership.fetch_record(key.zone, member)
        self._records.refresh(key.zone)


def _check_answer_key(key: JobKey, answer: JobAnswer) -> JobAnswer:
    if answer.key != key.text:
        raise InvariantBroken(
            f"own_answer: received the answer of job {answer.key!r}, expected {key.text!r}"
        )
    return answer
