"""End confirmations: answers to schedulers that report ends and runs of durable tasks."""

from collections.abc import Callable

import gevent
from gevent.event import Event

from camphorchute.contracts.durable_job_messages import (
    EndsSaved,
    KeptTasksAre,
    ReportedTask,
    SavedCompletion,
)
from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import StopTasks, TaskResultKind
from camphorchute.durable_jobs.durable_job_record import DurableJobRecord, DurableJobState, job_key
from camphorchute.durable_jobs.shard import JobShard
from camphorchute.durable_jobs.shard_claims import ShardClaims
from camphorchute.durable_jobs.shard_context import ShardContext
from camphorchute.hosting import StoreUnavailable
from camphorchute.links import handles
from camphorchute.loops import spawn_loop, wait_for_event
from camphorchute.runs import job_of, shard_of

__all__ = ["EndConfirmations", "is_end_stored"]

LOOKUP_PAUSE_MS = 100.0
LOOKUPS_PENDING_MAX = 500
MS_PER_S = 1000.0


class EndConfirmations:
    """Passes what a scheduler reports on to the shard owners, and answers for own shards.

    An end is confirmed once the store has it. A run without an owner is stopped if its job has
    ended. Reports on a shard without an owner, and on jobs that the owner does not know, are looked
    up in the store, one job at a time and at a bounded rate. What gets no answer is reported again
    by its scheduler.

    Args:
        member: this process.
        claims: knows the owners of the shards.
        find_shard: returns the shard with a number if this process owns it, None otherwise.
        context: the collaborators that all shards share.
    """

    __slots__ = (
        "_member",
        "_claims",
        "_find_shard",
        "_context",
        "_lookups",
        "_has_lookups",
        "_greenlet",
    )

    def __init__(
        self,
        member: Member,
        claims: ShardClaims,
        find_shard: Callable[[int], JobShard | None],
        context: ShardContext,
    ) -> None:
        self._member = member
        self._claims = claims
        self._find_shard = find_shard
        self._context = context
        self._lookups: dict[str, list[tuple[Member, ReportedTask]]] = {}
        self._has_lookups = Event()
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start looking up ends in the store."""
        self._greenlet = spawn_loop("keeping", self._look_up_pending, self._context.count)

    def close(self) -> None:
        """Stop looking up ends."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def report(self, ends: list[ReportedTask]) -> None:
        """Report what the scheduler of this process has to the owners of the shards.

        Args:
            ends: the ends that it retains, or the active runs without an owner.
        """
        by_owner: dict[str, tuple[Member, list[ReportedTask]]] = {}
        for end in ends:
            owner = self._claims.owner_of(shard_of(job_of(end.task)))
            if owner is None:
                self._add_lookup(self._member, end)
            else:
                by_owner.setdefault(owner.member_id, (owner, []))[1].append(end)
        for owner, rows in by_owner.values():
            if not self._context.peers.send_or_open(owner, KeptTasksAre([], rows)):
                self._context.count("keeping.retained_end_untold", len(rows))

    @handles(KeptTasksAre, nonblocking=True)
    def confirm_ends(self, peer: Member, message: KeptTasksAre) -> None:
        """Answer which ends are saved, and stop the runs of jobs that have ended.

        Ends that the owner has not heard of are recorded.
        """
        saved, ended_jobs = [], set()
        for end in message.tasks:
            shard = self._find_shard(shard_of(job_of(end.task)))
            if shard is None:
                continue
            is_run = end.end is None
            job_id = job_of(end.task)
            is_over = shard.has_ended(job_id) if is_run else shard.confirm_end(peer, end)
            if is_over is None:
                self._add_lookup(peer, end)
            elif is_over and is_run:
                ended_jobs.add(job_id)
            elif is_over:
                saved.append(SavedCompletion(end.task, end.run))
        self._answer(peer, saved)
        for job_id in ended_jobs:
            self._stop(peer, job_id)

    def _stop(self, scheduler: Member, job_id: str) -> None:
        """Stop the runs of a job that has ended; the scheduler reports them until they have."""
        self._context.count("keeping.leftover_run")
        if not self._context.peers.send_if_linked(scheduler.member_id, StopTasks(job_id)):
            self._context.count("keeping.retry.stop_leftover_run")

    def _answer(self, scheduler: Member, saved: list[SavedCompletion]) -> None:
        if not saved:
            return
        self._context.count("keeping.retained_end_saved", len(saved))
        if not self._context.peers.send_if_linked(scheduler.member_id, EndsSaved(saved)):
            self._context.count("keeping.saved_end_untold")

    def _add_lookup(self, scheduler: Member, end: ReportedTask) -> None:
        job_id = job_of(end.task)
        if job_id not in self._lookups and len(self._lookups) >= LOOKUPS_PENDING_MAX:
            self._context.count("keeping.end_lookup_dropped")
            return
        self._lookups.setdefault(job_id, []).append((scheduler, end))
        self._has_lookups.set()

    def _look_up_pending(self) -> None:
        while True:
            wait_for_event(self._has_lookups)
            if not self._lookups:
                self._has_lookups.clear()
                continue
            job_id = next(iter(self._lookups))
            self._look_up(job_id, self._lookups.pop(job_id))
            gevent.sleep(LOOKUP_PAUSE_MS / MS_PER_S)

    def _look_up(self, job_id: str, rows: list[tuple[Member, ReportedTask]]) -> None:
        """Read the record of a job, and answer by it."""
        self._context.count("keeping.end_lookup")
        try:
            stored = self._context.store.get(job_key(job_id))
            record = None if stored is None else DurableJobRecord.decode(stored.value)
        except (StoreUnavailable, ValueError):
            self._context.count("keeping.retry.end_lookup")
            return
        is_over = record is None or record.state is not DurableJobState.OPEN
        for scheduler, end in rows:
            if end.end is None:
                if is_over:
                    self._stop(scheduler, job_id)
            elif is_end_stored(record, end):
                self._answer(scheduler, [SavedCompletion(end.task, end.run)])


def is_end_stored(record: DurableJobRecord | None, end: ReportedTask) -> bool:
    """Return whether nobody needs the end of a run any more, by the stored record of its job.

    Args:
        record: the record, None if the store has none.
        end: the end of the run.

    Examples:
        >>> is_end_stored(None, ReportedTask("5c0e7a21d94b36f8.0.0.1", "north/flags/0", 1, "w1"))
        True
    """
    if record is None or record.state is not DurableJobState.OPEN:
        return True
    _, _, step, index = end.task.split(".")
    if int(step) < len(record.done) and int(index) in record.done[int(step)]:
        return True
    failed_runs = record.failed_runs.get(f"{step}.{index}", ())
    return end.end is TaskResultKind.FAILED and f"{end.worker_id}:{end.run}" in failed_runs
