"""What callers ask of kept jobs, and the shards that this process keeps."""

import time

import gevent
import msgspec

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.batch_job import BatchJob
from camphorchute.contracts.kept_messages import AskKeptJob, KeptJobIs, KeptJobWritten
from camphorchute.contracts.member import Member
from camphorchute.decision_log import log_decision
from camphorchute.hosting import Queue, StoredValue, StoreUnavailable, SwapLost, SwapUnknown
from camphorchute.keeping.kept_job import KeptJob, KeptState, job_key
from camphorchute.keeping.shard import JobShard, ShardTools
from camphorchute.keeping.shard_claims import ShardClaims
from camphorchute.links import LinkLost, handles
from camphorchute.loops import spawn_loop
from camphorchute.queues import RoomView
from camphorchute.roster import OWN_PREFIX
from camphorchute.runs import shard_of

__all__ = ["Keeper"]

WAITING_PREFIX = OWN_PREFIX + "waiting/"
ASK_TIMEOUT_MS = 300.0
TELL_WAITING_MS = 1000.0
FORGET_AFTER_MS = 5000.0
LATE_FACTOR = 3.0
REFUSED_AGAIN_MS = 1000.0
CANCEL_TRIES_MS = 2500.0
CANCEL_AGAIN_MS = 100.0
RECORD_MAX_BYTES = 256 * 1024
MS_PER_S = 1000.0


class Keeper:
    """Accepts, tells of and cancels kept jobs, and finishes those of its shards.

    Args:
        member: this process.
        claims: says which shards it keeps.
        rooms: the free room of the homes that it follows.
        tools: what the shards use.
    """

    def __init__(
        self, member: Member, claims: ShardClaims, rooms: RoomView, tools: ShardTools
    ) -> None:
        self._member = member
        self._claims = claims
        self._rooms = rooms
        self._tools = tools
        self._shards: dict[int, JobShard] = {}
        self._waiting = tools.view.keep_table(WAITING_PREFIX)
        self._told: dict[str, int] = {}
        self._told_revision = 0
        self._told_lease = 0
        self._greenlet: gevent.Greenlet | None = None
        claims.taken = self._take
        claims.lost = self._lose

    def start(self) -> None:
        """Tell the other processes how many jobs wait, from now on."""
        self._greenlet = spawn_loop("keeping", self._tell_waiting, self._tools.count)

    def close(self) -> None:
        """Stop; the shards are handed over by their claims."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        for shard in self._shards.values():
            shard.close()

    def may_forget_ends(self) -> bool:
        """Whether no keeper will ask for ends that it has not asked for yet."""
        return self._claims.settled_ms() > FORGET_AFTER_MS

    def is_kept(self, job_id: str) -> bool:
        """Whether the store has a job; true where it cannot tell."""
        try:
            return self._tools.store.get(job_key(job_id)) is not None
        except StoreUnavailable:
            self._tools.count("keeping.retry.is_kept")
            return True

    def submit(self, job: BatchJob, queue: Queue) -> None:
        """Store a job, or find that it is stored already.

        Raises:
            Refusal: the job was not accepted, or it is not known whether it was.
        """
        key = job_key(job.job_id)
        value = KeptJob.of(job, queue).encode()
        if len(value) > RECORD_MAX_BYTES:
            detail = f"job {job.job_id}: {len(value)} bytes to store, at most {RECORD_MAX_BYTES}"
            raise Refusal(ResultCode.BODY_TOO_LARGE, detail)
        refusal = self._reason_to_refuse(job, queue)
        try:
            if refusal is not None:
                self._refuse_unless_stored(key, refusal)
            else:
                revision = self._tools.writer.write(key, value, 0)
                self._tell_keeper(job.job_id, revision, value)
                self._tools.count("keeping.accepted")
        except SwapLost:
            self._tools.count("keeping.accepted_again")
        except SwapUnknown as error:
            raise Refusal(ResultCode.OWNER_UNREACHABLE, f"job {job.job_id}: {error}") from error
        except StoreUnavailable as error:
            self._tools.count("keeping.refused.not_stored")
            raise Refusal(ResultCode.NOT_STORED, str(error), REFUSED_AGAIN_MS) from error

    def state(self, job_id: str) -> str:
        """Return the state of a job, empty where there is none.

        Raises:
            Refusal: neither its keeper nor the store can be asked.
        """
        number = shard_of(job_id)
        shard = self._shards.get(number)
        found = shard.state_of(job_id) if shard is not None else self._ask_keeper(number, job_id)
        return found or self._stored_state(job_id)

    def cancel(self, job_id: str) -> bool:
        """Cancel a job; return whether there is one.

        Raises:
            Refusal: it is not known to be cancelled.
        """
        key = job_key(job_id)
        until_s = time.monotonic() + CANCEL_TRIES_MS / MS_PER_S
        while True:
            try:
                stored = self._tools.store.get(key)
                if stored is None:
                    return False
                record = KeptJob.decode(stored.value)
                if record.state is KeptState.OPEN:
                    value = record.ended(KeptState.CANCELLED).encode()
                    revision = self._tools.writer.write(key, value, stored.mod_revision)
                    self._tell_keeper(job_id, revision, value)
                    self._tools.count("keeping.cancelled")
                return True
            except (SwapLost, SwapUnknown, StoreUnavailable) as error:
                self._tools.count("keeping.retry.cancel")
                if time.monotonic() > until_s:
                    raise self._unavailable(error) from error
                gevent.sleep(CANCEL_AGAIN_MS / MS_PER_S)

    def waiting_jobs(self, queue: str) -> int:
        """Return the number of a queue's jobs that nothing was started of, in all processes."""
        own_key = WAITING_PREFIX + self._member.member_id
        total = sum(shard.waiting().get(queue, 0) for shard in self._shards.values())
        for key, value in self._waiting.items():
            if key != own_key:
                total += _decode_waiting(value.value).get(queue, 0)
        return total

    @handles(AskKeptJob, prompt=True)
    def tell_state(self, peer: Member, message: AskKeptJob) -> KeptJobIs:
        """Tell the state of a job of a shard that this process keeps."""
        shard = self._shards.get(shard_of(message.job_id))
        return KeptJobIs("" if shard is None else shard.state_of(message.job_id))

    @handles(KeptJobWritten, prompt=True)
    def job_written(self, peer: Member, message: KeptJobWritten) -> None:
        """Take in the write of a job of a shard that this process keeps."""
        shard = self._shards.get(shard_of(message.job_id))
        if shard is not None:
            key = job_key(message.job_id)
            shard.apply(StoredValue(key, message.value, message.revision))

    def _tell_keeper(self, job_id: str, revision: int, value: bytes) -> None:
        """Tell the keeper of a write at once; without it the keeper learns of it from the store."""
        keeper = self._claims.keeper_of(shard_of(job_id))
        message = KeptJobWritten(job_id, revision, value)
        if keeper is None or not self._tools.peers.send_now(keeper, message):
            self._tools.count("keeping.write_untold")

    def _take(self, shard: int, term: int, lease_id: int, clean: bool) -> None:
        self._shards[shard] = JobShard(shard, term, lease_id, clean, self._tools)
        self._shards[shard].start()

    def _lose(self, shard: int) -> None:
        self._shards.pop(shard).close()

    def _reason_to_refuse(self, job: BatchJob, queue: Queue) -> Refusal | None:
        """Return why a job cannot be done in time, None where it may be."""
        service = queue.service
        if not all(self._rooms.can_ever_run(service, step.demand) for step in job.steps):
            return Refusal(ResultCode.NO_WORKER, f"service {service}", REFUSED_AGAIN_MS)
        first = job.steps[0]
        plan = self._rooms.plan(service, first, first.tasks, queue.limits)
        aim_ms = queue.limits.aim_ms(job.chain_ms())
        if plan.wait_ms <= LATE_FACTOR * aim_ms:
            return None
        detail = f"{plan.wait_ms:.0f} ms to wait"
        return Refusal(ResultCode.OVERLOADED, detail, max(REFUSED_AGAIN_MS, plan.wait_ms))

    def _refuse_unless_stored(self, key: str, refusal: Refusal) -> None:
        """Refuse a job unless an earlier request has had it accepted."""
        if self._tools.store.get(key) is not None:
            self._tools.count("keeping.accepted_again")
            return
        self._tools.count(f"keeping.refused.{refusal.code.name.lower()}")
        log_decision("keeping", "refused", key=key, reason=refusal.detail)
        raise refusal

    def _ask_keeper(self, number: int, job_id: str) -> str:
        keeper = self._claims.keeper_of(number)
        if keeper is None or keeper.member_id == self._member.member_id:
            return ""
        try:
            answer = self._tools.peers.request(keeper, AskKeptJob(job_id), ASK_TIMEOUT_MS)
        except (LinkLost, Refusal):
            self._tools.count("keeping.retry.ask_keeper")
            return ""
        return answer.state

    def _stored_state(self, job_id: str) -> str:
        try:
            stored = self._tools.store.get(job_key(job_id))
        except StoreUnavailable as error:
            raise self._unavailable(error) from error
        if stored is None:
            return ""
        state = KeptJob.decode(stored.value).state
        return "queued" if state is KeptState.OPEN else state.value

    def _unavailable(self, error: Exception) -> Refusal:
        self._tools.count("keeping.refused.store_unavailable")
        return Refusal(ResultCode.STORE_UNAVAILABLE, str(error), REFUSED_AGAIN_MS)

    def _tell_waiting(self) -> None:
        """Write the number of waiting jobs down when it has changed."""
        while True:
            gevent.sleep(TELL_WAITING_MS / MS_PER_S)
            waiting: dict[str, int] = {}
            for shard in self._shards.values():
                for queue, jobs in shard.waiting().items():
                    waiting[queue] = waiting.get(queue, 0) + jobs
            lease_id = self._tools.lease.lease_id
            if lease_id and (waiting != self._told or (waiting and lease_id != self._told_lease)):
                self._write_waiting(waiting, lease_id)

    def _write_waiting(self, waiting: dict[str, int], lease_id: int) -> None:
        key = WAITING_PREFIX + self._member.member_id
        value = msgspec.json.encode(waiting)
        try:
            revision = self._tools.store.swap(key, value, self._told_revision, lease_id)
        except SwapLost as lost:
            self._told_revision = 0 if lost.current is None else lost.current.mod_revision
        except (SwapUnknown, StoreUnavailable):
            self._tools.count("keeping.retry.tell_waiting")
        else:
            self._told, self._told_revision, self._told_lease = waiting, revision, lease_id


def _decode_waiting(value: bytes) -> dict[str, int]:
    """Return the numbers by queue; bytes that cannot be read tell of none."""
    try:
        return msgspec.json.decode(value, type=dict[str, int])
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return {}
