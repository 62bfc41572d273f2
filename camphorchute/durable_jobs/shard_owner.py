"""Requests of callers for durable jobs, and the shards that this process owns."""

import time

import gevent

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.batch_job import BatchJob
from camphorchute.contracts.durable_job_messages import AskKeptJob, KeptJobIs, KeptJobWritten
from camphorchute.contracts.member import Member
from camphorchute.decision_log import log_decision
from camphorchute.durable_jobs.durability_checks import DurabilityChecks
from camphorchute.durable_jobs.durable_job_record import DurableJobRecord, DurableJobState, job_key
from camphorchute.durable_jobs.end_confirmations import EndConfirmations
from camphorchute.durable_jobs.queued_counts import QueuedCounts
from camphorchute.durable_jobs.shard import JobShard
from camphorchute.durable_jobs.shard_claims import PreviousOwner, ShardClaims
from camphorchute.durable_jobs.shard_context import ShardContext
from camphorchute.hosting import Queue, StoredValue, StoreUnavailable, SwapConflict, SwapUnknown
from camphorchute.links import LinkLost, handles
from camphorchute.queues import FreeCapacityView
from camphorchute.queues.service_zones import make_evacuated_refusal
from camphorchute.retry_after import spread_retry_after_ms
from camphorchute.runs import shard_of

__all__ = ["ShardOwner"]

STATE_REQUEST_TIMEOUT_MS = 300.0
MAX_WAIT_PER_TARGET_TIME = 3.0
SUBMIT_TIMEOUT_MS = 2500.0
SUBMIT_RETRY_MS = 100.0
CANCEL_TIMEOUT_MS = 2500.0
CANCEL_RETRY_MS = 100.0
RECORD_MAX_BYTES = 256 * 1024
MS_PER_S = 1000.0


class ShardOwner:
    """Accepts and cancels durable jobs, reports their states, and runs those of its shards.

    Args:
        member: this process.
        claims: acquires and releases the shards of this process.
        capacity_view: free-capacity view of the schedulers.
        context: the collaborators that all shards share.

    Attributes:
        end_confirmations: tells schedulers which ends of durable tasks are saved.
    """

    def __init__(
        self,
        member: Member,
        claims: ShardClaims,
        capacity_view: FreeCapacityView,
        context: ShardContext,
    ) -> None:
        self._member = member
        self._claims = claims
        self._capacity_view = capacity_view
        self._context = context
        self._shards: dict[int, JobShard] = {}
        self._durability_checks = DurabilityChecks(context.store, context.count)
        self.end_confirmations = EndConfirmations(member, claims, self._shards.get, context)
        self._queued_counts = QueuedCounts(claims, self._shards, context)
        claims.on_acquired = self._open_shard
        claims.on_lost = self._close_shard

    def start(self) -> None:
        """Start publishing the numbers of queued jobs, and looking up ends in the store."""
        self._queued_counts.start()
        self.end_confirmations.start()

    def close(self) -> None:
        """Stop the shards; releasing their claims is left to the shard claims."""
        self.end_confirmations.close()
        self._queued_counts.close()
        for shard in self._shards.values():
            shard.close()

    def is_durable(self, job_id: str) -> bool:
        """Whether the store has a record of a job; true if the store is unavailable."""
        return self._durability_checks.is_durable(job_id)

    def submit(self, job: BatchJob, queue: Queue) -> None:
        """Store a job to accept it, unless an earlier request has stored it.

        Args:
            job: the job.
            queue: the queue that the job was submitted to.

        Raises:
            Refusal: the job was not accepted, or it is unknown whether it was.
        """
        key = job_key(job.job_id)
        value = DurableJobRecord.for_new_job(job, queue).encode()
        if len(value) > RECORD_MAX_BYTES:
            detail = f"job {job.job_id}: record of {len(value)} bytes, at most {RECORD_MAX_BYTES}"
            raise Refusal(ResultCode.BODY_TOO_LARGE, detail)
        refusal = self._find_refusal(job, queue)
        try:
            if refusal is not None:
                self._refuse_unless_stored(key, refusal)
            else:
                self._claims.markers.mark(shard_of(job.job_id), self._context.writer)
                revision = self._write_new_record(key, value)
                self._notify_owner(job.job_id, revision, value)
                self._context.count("keeping.accepted")
        except SwapConflict:
            self._context.count("keeping.accepted_again")
        except SwapUnknown as error:
            self._context.count("keeping.refused.write_unconfirmed")
            raise Refusal(ResultCode.WRITE_UNCONFIRMED, f"job {job.job_id}: {error}") from error
        except StoreUnavailable as error:
            self._context.count("keeping.refused.not_stored")
            raise Refusal(ResultCode.NOT_STORED, str(error), spread_retry_after_ms()) from error

    def _write_new_record(self, key: str, value: bytes) -> int:
        """Write the record of a new job, again while it is unknown whether a write took effect.

        The writes have the same condition, so that at most one of them takes effect. Once the fate
        of one is unknown, a later one that fails proves nothing.

        Args:
            key: key of the record, which must not exist.
            value: the record.

        Returns:
            The mod revision of the record.

        Raises:
            StoreUnavailable: nothing was written.
            SwapConflict: an earlier request has stored the job.
            SwapUnknown: the record may be in the store, or may still be written.
        """
        deadline_s = time.monotonic() + SUBMIT_TIMEOUT_MS / MS_PER_S
        unknown: SwapUnknown | None = None
        while True:
            try:
                return self._context.writer.write(key, value, 0)
            except SwapUnknown as error:
                unknown = error
            except StoreUnavailable:
                if unknown is None:
                    raise
            if time.monotonic() > deadline_s:
                raise unknown
            self._context.count("keeping.retry.submit")
            gevent.sleep(SUBMIT_RETRY_MS / MS_PER_S)

    def job_state(self, job_id: str) -> str:
        """Return the state of a job, empty if there is no such job.

        Raises:
            Refusal: neither its shard owner nor the store answered.
        """
        number = shard_of(job_id)
        shard = self._shards.get(number)
        found = (
            shard.job_state(job_id) if shard is not None else self._request_state(number, job_id)
        )
        return found or self._stored_state(job_id)

    def cancel(self, job_id: str) -> bool:
        """Cancel a job; return whether there is one.

        Raises:
            Refusal: the store did not confirm the cancellation in time.
        """
        key = job_key(job_id)
        deadline_s = time.monotonic() + CANCEL_TIMEOUT_MS / MS_PER_S
        while True:
            try:
                stored = self._context.store.get(key)
                if stored is None:
                    return False
                record = self._decode_record(job_id, stored.value)
                if record.state is DurableJobState.OPEN:
                    value = record.ended_record(DurableJobState.CANCELLED).encode()
                    revision = self._context.writer.write(key, value, stored.mod_revision)
                    self._notify_owner(job_id, revision, value)
                    self._context.count("keeping.cancelled")
                return True
            except (SwapConflict, SwapUnknown, StoreUnavailable) as error:
                self._context.count("keeping.retry.cancel")
                if time.monotonic() > deadline_s:
                    raise self._store_unavailable_refusal(error) from error
                gevent.sleep(CANCEL_RETRY_MS / MS_PER_S)

    def count_unstarted_jobs(self, queue: str) -> int:
        """Return the number of a queue's jobs in all shards of which no task has been started.

        Raises:
            Refusal: it is not known.
        """
        return self._queued_counts.total(queue)

    @handles(AskKeptJob, nonblocking=True)
    def answer_job_state(self, peer: Member, message: AskKeptJob) -> KeptJobIs:
        """Answer a request for the state of a job, empty if its shard is not owned here."""
        shard = self._shards.get(shard_of(message.job_id))
        return KeptJobIs("" if shard is None else shard.job_state(message.job_id))

    @handles(KeptJobWritten, nonblocking=True)
    def apply_job_write(self, peer: Member, message: KeptJobWritten) -> None:
        """Apply a write of a job record that another member made, if its shard is owned here."""
        shard = self._shards.get(shard_of(message.job_id))
        if shard is not None:
            key = job_key(message.job_id)
            shard.apply_change(StoredValue(key, message.value, message.revision))

    def _notify_owner(self, job_id: str, revision: int, value: bytes) -> None:
        """Notify the shard owner of a write; if that fails, the owner reads it from the store."""
        owner = self._claims.owner_of(shard_of(job_id))
        message = KeptJobWritten(job_id, revision, value)
        if owner is None or not self._context.peers.send_or_open(owner, message):
            self._context.count("keeping.write_untold")

    def _open_shard(
        self, shard: int, term: int, lease_id: int, previous_owner: PreviousOwner
    ) -> None:
        self._shards[shard] = JobShard(shard, term, lease_id, previous_owner, self._context)
        self._shards[shard].start()

    def _close_shard(self, shard: int) -> None:
        self._shards.pop(shard).close()

    def _find_refusal(self, job: BatchJob, queue: Queue) -> Refusal | None:
        """Return the refusal of a job that cannot finish in time, None if it may."""
        service = queue.service
        zones = self._capacity_view.service_zones
        if zones.is_evacuated(service):
            return make_evacuated_refusal(service)
        if not all(self._capacity_view.can_ever_run(service, step.demand) for step in job.steps):
            if zones.is_reduced(service):
                return make_evacuated_refusal(service)
            return Refusal(ResultCode.NO_WORKER, f"service {service}", spread_retry_after_ms())
        first_step = job.steps[0]
        plan = self._capacity_view.plan(service, first_step, first_step.tasks, queue.limits)
        target_time_ms = queue.limits.target_time_ms(job.longest_chain_ms())
        if plan.wait_ms <= MAX_WAIT_PER_TARGET_TIME * target_time_ms:
            return None
        detail = f"{plan.wait_ms:.0f} ms to wait"
        return Refusal(ResultCode.OVERLOADED, detail, spread_retry_after_ms(plan.wait_ms))

    def _refuse_unless_stored(self, key: str, refusal: Refusal) -> None:
        """Raise the refusal of a job unless an earlier request has stored the job."""
        if self._context.store.get(key) is not None:
            self._context.count("keeping.accepted_again")
            return
        self._context.count(f"keeping.refused.{refusal.code.name.lower()}")
        log_decision("keeping", "refused", key=key, reason=refusal.detail)
        raise refusal

    def _request_state(self, number: int, job_id: str) -> str:
        owner = self._claims.owner_of(number)
        if owner is None or owner.member_id == self._member.member_id:
            return ""
        try:
            reply = self._context.peers.request(owner, AskKeptJob(job_id), STATE_REQUEST_TIMEOUT_MS)
        except (LinkLost, Refusal):
            self._context.count("keeping.retry.ask_keeper")
            return ""
        return reply.state

    def _stored_state(self, job_id: str) -> str:
        try:
            stored = self._context.store.get(job_key(job_id))
        except StoreUnavailable as error:
            raise self._store_unavailable_refusal(error) from error
        if stored is None:
            return ""
        state = self._decode_record(job_id, stored.value).state
        return "queued" if state is DurableJobState.OPEN else state.value

    def _decode_record(self, job_id: str, value: bytes) -> DurableJobRecord:
        """Return the stored record of a job.

        Raises:
            Refusal: another writer has replaced it by something else.
        """
        try:
            return DurableJobRecord.decode(value)
        except ValueError as error:
            self._context.count("keeping.refused.record_malformed")
            raise Refusal(ResultCode.RECORDS_LOST, f"job {job_id}: {error}") from error

    def _store_unavailable_refusal(self, error: Exception) -> Refusal:
        self._context.count("keeping.refused.store_unavailable")
        return Refusal(ResultCode.STORE_UNAVAILABLE, str(error), spread_retry_after_ms())
