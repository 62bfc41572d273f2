"""Numbers of queued durable jobs, which the owners of all shards publish in the store."""

import time
from collections.abc import Mapping

import gevent
import msgspec

from camphorchute.cluster import OWN_PREFIX
from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.stored_values import Amount, Count, decode_json
from camphorchute.durable_jobs.shard import JobShard
from camphorchute.durable_jobs.shard_claims import ShardClaims
from camphorchute.durable_jobs.shard_context import ShardContext
from camphorchute.hosting import (
    ConditionalWrite,
    StoredValue,
    StoreUnavailable,
    SwapAllConflict,
    SwapUnknown,
)
from camphorchute.loops import spawn_loop, until_next_tick_s
from camphorchute.retry_after import spread_retry_after_ms
from camphorchute.runs import SHARD_COUNT

__all__ = ["QUEUED_COUNTS_PREFIX", "QueuedCounts"]

QUEUED_COUNTS_PREFIX = OWN_PREFIX + "queued/"
CHECK_INTERVAL_MS = 250.0
PUBLISHING_INTERVAL_MS = 1000.0
COUNT_AGE_MAX_MS = 2000.0  # what callers are told of the age of a number of jobs
MS_PER_S = 1000.0


class _ShardCounts(msgspec.Struct):
    """The queued jobs of one shard.

    Attributes:
        term: term of the shard owner that counted them.
        jobs: their number by queue.
    """

    term: Amount
    jobs: dict[str, Count]


class QueuedCounts:
    """Publishes the number of queued jobs of the shards owned here, and adds up those of all.

    The count of a shard has no lease, so that it outlives the owner that published it. The next
    owner replaces it once it has read the shard and asked for the runs of its tasks. The count is
    in force until shortly after the term in which it was published; if the next owner has not
    published one by then, the number of jobs is unknown.

    Args:
        claims: knows which shards need an owner, and who owns them.
        shards: the shards owned here, by number.
        context: the collaborators that all shards share.
    """

    __slots__ = (
        "_claims",
        "_shards",
        "_context",
        "_stored",
        "_in_force_s",
        "_publishing_due_s",
        "_greenlet",
    )

    def __init__(
        self, claims: ShardClaims, shards: Mapping[int, JobShard], context: ShardContext
    ) -> None:
        self._claims = claims
        self._shards = shards
        self._context = context
        self._stored = context.view.track_prefix(QUEUED_COUNTS_PREFIX)
        self._in_force_s = dict.fromkeys(range(SHARD_COUNT), float("-inf"))
        self._publishing_due_s = 0.0
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start publishing the counts of the shards that are owned here."""
        self._greenlet = spawn_loop("keeping", self._follow_shards, self._context.count)

    def close(self) -> None:
        """Stop publishing counts; the last ones stay until the next owners replace them."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def total(self, queue: str) -> int:
        """Return the number of a queue's jobs in all shards of which no task has been started.

        Args:
            queue: name of the queue.

        Raises:
            Refusal: the count of a shard is not known, or may be too old.
        """
        self._note_counts_in_force()
        if not self._claims.knows_shards():
            raise self._make_refusal("the shards are not known yet")
        needed = [number for number in range(SHARD_COUNT) if self._claims.needs_owner(number)]
        if needed and not self._context.lease.is_valid(self._context.lease.lease_id):
            raise self._make_refusal("the store does not answer")
        return sum(self._jobs_in(number).get(queue, 0) for number in needed)

    def _jobs_in(self, number: int) -> dict[str, int]:
        """Return the number of queued jobs in a shard by queue.

        Raises:
            Refusal: it is not known.
        """
        shard = self._shards.get(number)
        if shard is not None and shard.is_recovered:
            return shard.count_queued_jobs()
        if (time.monotonic() - self._in_force_s[number]) * MS_PER_S > COUNT_AGE_MAX_MS:
            raise self._make_refusal(f"shard {number} has no owner that has read it")
        counts = self._stored_counts(number)
        return {} if counts is None else counts.jobs

    def _make_refusal(self, detail: str) -> Refusal:
        self._context.count("keeping.refused.count_unknown")
        return Refusal(ResultCode.COUNT_UNKNOWN, detail, spread_retry_after_ms())

    def _follow_shards(self) -> None:
        while True:
            gevent.sleep(until_next_tick_s(CHECK_INTERVAL_MS))
            self._note_counts_in_force()
            self._publish()

    def _note_counts_in_force(self) -> None:
        """Note the shards whose stored count is that of the present owner, or that need none."""
        if not self._claims.knows_shards():
            return
        now_s = time.monotonic()
        for number in range(SHARD_COUNT):
            if not self._claims.needs_owner(number) or self._is_in_force(number):
                self._in_force_s[number] = now_s

    def _is_in_force(self, number: int) -> bool:
        """Whether the stored count of a shard was published in the term of its present owner."""
        term = self._claims.term_of(number)
        counts = self._stored_counts(number) if term else None
        return counts is not None and counts.term == term

    def _stored_counts(self, number: int) -> _ShardCounts | None:
        """Return the stored count of a shard, None if there is none or it is malformed."""
        stored = self._stored.get(_counts_key(number))
        if stored is None:
            return None
        try:
            return decode_json(stored.value, _ShardCounts)
        except ValueError:
            self._context.count("keeping.count_malformed")
            return None

    def _publish(self) -> None:
        """Write the counts that have changed, once per interval, and first counts at once."""
        now_s = time.monotonic()
        is_due = now_s >= self._publishing_due_s
        if is_due:
            self._publishing_due_s = now_s + PUBLISHING_INTERVAL_MS / MS_PER_S
        changes = []
        for number, shard in self._shards.items():
            if shard.is_recovered and (is_due or not self._is_in_force(number)):
                changes += self._find_change(number, shard)
        largest = self._context.store.max_changes
        for first in range(0, len(changes), largest):
            self._write(changes[first : first + largest])

    def _find_change(self, number: int, shard: JobShard) -> list[ConditionalWrite]:
        """Return the write of a shard's count, none if the stored one is equal or later."""
        counts = _ShardCounts(shard.term, shard.count_queued_jobs())
        stored = self._stored_counts(number)
        if stored is not None and (stored == counts or stored.term > counts.term):
            return []
        key = _counts_key(number)
        revision = self._stored[key].mod_revision if key in self._stored else 0
        return [ConditionalWrite(key, msgspec.json.encode(counts), revision)]

    def _write(self, changes: list[ConditionalWrite]) -> None:
        """Write counts; those that could not be written are still due in the next round."""
        try:
            revision = self._context.store.swap_all(changes)
        except SwapAllConflict as conflict:
            self._context.count("keeping.retry.publish_counts")
            for key, current in conflict.current_values.items():
                self._stored.pop(key, None)
                if current is not None:
                    self._stored[key] = current
        except (SwapUnknown, StoreUnavailable):
            self._context.count("keeping.retry.publish_counts")
        else:
            for change in changes:
                self._stored[change.key] = StoredValue(change.key, change.value, revision)


def _counts_key(number: int) -> str:
    return f"{QUEUED_COUNTS_PREFIX}{number:02}"
