"""Recovery, execution and storage of the durable jobs of one shard at its owner."""

import time
from collections.abc import Iterable

import gevent
from eliot import log_message

from camphorchute.cluster import StoreFollower
from camphorchute.contracts.durable_job_messages import (
    EndsSaved,
    ReportedTask,
    SavedCompletion,
)
from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import ShardTerm, StopTasks, TaskResult, TaskResultKind
from camphorchute.decision_log import log_decision
from camphorchute.durable_jobs.durable_job_record import (
    DurableJobRecord,
    DurableJobState,
    job_key,
    shard_key_prefix,
)
from camphorchute.durable_jobs.durable_job_run import DurableJobRun, UnsavedCompletion
from camphorchute.durable_jobs.run_search import RunSearch
from camphorchute.durable_jobs.shard_claims import PreviousOwner
from camphorchute.durable_jobs.shard_context import ShardContext
from camphorchute.hosting import StoredValue, StoreUnavailable, SwapConflict, SwapUnknown
from camphorchute.loops import spawn_loop, wait_for_event
from camphorchute.queues import TaskState
from camphorchute.runs import job_of

__all__ = ["JobShard"]

PREVIOUS_OWNER_EXPIRY_MS = 2500.0
LOADED_CHECK_INTERVAL_MS = 10.0
SAVE_RETRY_MS = 200.0
SAVE_BATCHING_MS = 150.0
ENDED_JOB_RETENTION_MS = 150_000.0
WATCH_BATCHING_MS = 1000.0
WATCH_TIMEOUT_MS = 10_000.0
REMOVAL_INTERVAL_MS = 2000.0
MS_PER_S = 1000.0


class _EndedJob:
    """An ended job whose record has not been removed yet."""

    __slots__ = ("state", "revision", "known_since_s")

    def __init__(self, state: DurableJobState, revision: int) -> None:
        self.state = state
        self.revision = revision
        self.known_since_s = time.monotonic()


class JobShard:
    """Runs the jobs of a shard for as long as this process owns the shard.

    A new owner waits until the previous owner can no longer act, reads the jobs from the store and
    asks every scheduler which of their tasks may be running. Each task is dispatched as soon as no
    earlier run of it can be active; those of a shard that never had an owner have none.

    Args:
        number: number of the shard.
        term: term of the ownership, which is the revision of the claim.
        lease_id: lease that the claim is bound to.
        previous_owner: what is known of the owner before this one.
        context: the collaborators that all shards share.

    Attributes:
        is_recovered: whether the jobs have been read, and the schedulers asked for their tasks.
    """

    def __init__(
        self,
        number: int,
        term: int,
        lease_id: int,
        previous_owner: PreviousOwner,
        context: ShardContext,
    ) -> None:
        self._number = number
        self._term = ShardTerm(number, term)
        self._lease_id = lease_id
        self._previous_owner = previous_owner
        self._context = context
        self._runs: dict[str, DurableJobRun] = {}
        self._ended_jobs: dict[str, _EndedJob] = {}
        self._loaded = False
        self._closed = False
        self.is_recovered = False
        self._search = RunSearch(
            self._term,
            context,
            self._runs.values,
            self._apply_reported_task,
            self._mark_recovered,
        )
        self._follower = StoreFollower(
            context.store,
            shard_key_prefix(number),
            self,
            context.count,
            WATCH_BATCHING_MS,
            WATCH_TIMEOUT_MS,
        )
        self._greenlets: list[gevent.Greenlet] = []

    @property
    def term(self) -> int:
        """Term of the ownership."""
        return self._term.number

    def start(self) -> None:
        """Start the recovery of the shard and the removal of expired records."""
        self._greenlets = [
            spawn_loop("keeping", self._recover, self._context.count),
            spawn_loop("keeping", self._remove_expired_records, self._context.count),
        ]

    def close(self) -> None:
        """Stop dispatching tasks; those that run continue under the next owner.

        Their schedulers are told that they have no owner. Whether their jobs have ended meanwhile
        is then found out by the schedulers, as the next owner may read ended records only.
        """
        self._closed = True
        self._report_release(self._runs.values())
        self._search.close()
        self._follower.close()
        gevent.killall(self._greenlets, block=False)
        for run in self._runs.values():
            self._context.queue_owner.stop_dispatching(run)

    def job_state(self, job_id: str) -> str:
        """Return the state of a job as callers see it, empty if the shard does not know the job."""
        if job_id in self._ended_jobs:
            return self._ended_jobs[job_id].state.value
        run = self._runs.get(job_id)
        if run is None:
            return ""
        return "active" if run.has_begun else "queued"

    def count_queued_jobs(self) -> dict[str, int]:
        """Return the number of jobs by queue of which no task has been started."""
        queued: dict[str, int] = {}
        for run in self._runs.values():
            if not run.has_begun:
                queued[run.queue.name] = queued.get(run.queue.name, 0) + 1
        return queued

    def apply_listing(self, prefix: str, values: list[StoredValue], revision: int = 0) -> None:
        """Apply a complete listing of the shard's job records.

        An open job that the listing lacks was accepted after the listing was read, so it stays.
        The record of an ended job that the listing lacks has been removed.

        Args:
            prefix: prefix of the listed keys.
            values: the stored records.
            revision: store revision of the listing.
        """
        listed_keys = {value.key for value in values}
        for job_id in [job_id for job_id in self._ended_jobs if job_key(job_id) not in listed_keys]:
            del self._ended_jobs[job_id]
        for value in values:
            self.apply_change(value)
        self._loaded = True

    def apply_change(self, change: StoredValue) -> None:
        """Apply one write or removal of a job record.

        Args:
            change: the key with its new value, None where the record was removed.
        """
        job_id = change.key.removeprefix(shard_key_prefix(self._number))
        if change.value is None:
            self._ended_jobs.pop(job_id, None)
            run = self._runs.get(job_id)
            if run is not None and change.mod_revision > run.revision:
                self._end_vanished_run(run)
            return
        try:
            record = DurableJobRecord.decode(change.value)
            if record.job is not None and record.job.job_id != job_id:
                raise ValueError(f"the record is of job {record.job.job_id!r}")
        except ValueError as error:
            self._count_malformed(job_id, error)
            return
        run = self._runs.get(job_id)
        if run is not None:
            self._apply_record(run, record, change.mod_revision)
        elif job_id in self._ended_jobs and record.state is DurableJobState.OPEN:
            return
        elif record.state is not DurableJobState.OPEN:
            self._ended_jobs.setdefault(job_id, _EndedJob(record.state, change.mod_revision))
        else:
            self._add_open_job(job_id, record, change.mod_revision)

    def _count_malformed(self, job_id: str, error: ValueError) -> None:
        self._context.count("keeping.record_malformed")
        log_message(message_type="keeping", text=f"keeping: job {job_id}: {error}")

    def _add_open_job(self, job_id: str, record: DurableJobRecord, revision: int) -> None:
        run = DurableJobRun(
            record,
            revision,
            self._term,
            self._is_owner,
            self._schedule_save,
            self._search.restart_for,
        )
        self._runs[job_id] = run
        if self._loaded or self._previous_owner is PreviousOwner.NONE:
            run.mark_recovered()
        else:
            run.mark_waiting_tasks_unknown()
        self._context.queue_owner.adopt_job(run)

    def _is_owner(self) -> bool:
        return not self._closed and self._context.lease.is_valid(self._lease_id)

    def _apply_record(self, run: DurableJobRun, record: DurableJobRecord, revision: int) -> None:
        """Apply a write of an open job's record.

        The write is one of this process, one of the previous owner or a cancellation.
        """
        if revision <= run.revision:
            return
        if record.term > self._term.number:
            self._context.count("keeping.deposed")
            self._drop_run(run.job.job_id)
            return
        run.revision = revision
        if record.state is DurableJobState.OPEN:
            run.merge_progress(record)
        else:
            self._finish_run(run, record.state)

    def _drop_run(self, job_id: str) -> None:
        """Drop a job whose record was written by an owner with a higher term, or is malformed."""
        run = self._runs.pop(job_id, None)
        if run is not None:
            self._context.count("keeping.run_dropped")
            self._report_release([run])
            self._context.queue_owner.stop_dispatching(run)

    def _report_release(self, runs: Iterable[DurableJobRun]) -> None:
        """Tell the schedulers that have tasks of some jobs that this owner's term has ended."""
        for scheduler_id in {name for run in runs for name in run.open_scheduler_ids()}:
            message = EndsSaved([], self._term)
            if not self._context.peers.send_if_linked(scheduler_id, message):
                self._context.count("keeping.release_untold")

    def _end_vanished_run(self, run: DurableJobRun) -> None:
        """End a job whose record was removed, as that is done some time after its outcome only."""
        if self._runs.pop(run.job.job_id, None) is run:
            self._context.count("keeping.record_vanished")
            run.end(DurableJobState.CANCELLED)

    def _finish_run(self, run: DurableJobRun, state: DurableJobState) -> None:
        """Move a job to the ended ones once its outcome is stored."""
        if run.is_saving:
            self._context.count("keeping.ended_while_saving")
        job_id = run.job.job_id
        self._ended_jobs[job_id] = _EndedJob(state, run.revision)
        self._runs.pop(job_id, None)
        run.end(state)

    def _recover(self) -> None:
        if self._previous_owner is PreviousOwner.LOST:
            gevent.sleep(PREVIOUS_OWNER_EXPIRY_MS / MS_PER_S)
        self._follower.start()
        while not self._loaded:
            gevent.sleep(LOADED_CHECK_INTERVAL_MS / MS_PER_S)
        self._write_term_to_records()
        if self._search.run_round():
            self._search.start()
        self._mark_recovered()
        self.is_recovered = True
        open_jobs = len(self._runs)
        log_message(
            message_type="keeping",
            text="keeping: keeper of shard",
            shard=self._number,
            term=self._term.number,
            open_jobs=open_jobs,
        )

    def _mark_recovered(self) -> None:
        """Let the jobs be dispatched of which a task is known; unknown tasks do not start.

        A process that knows no worker has not read them yet, and has asked nobody.
        """
        if not self._context.view.workers:
            return
        for run in list(self._runs.values()):
            if not run.is_recovered and run.has_known_tasks():
                run.mark_recovered()

    def _write_term_to_records(self) -> None:
        """Write the term into every open record, so that late writes of earlier owners fail.

        Completions in such a write have not been acknowledged to their workers, so the schedulers
        still report them.
        """
        writes = [gevent.spawn(self._write_term_to_record, run) for run in self._runs.values()]
        gevent.joinall(writes, raise_error=True)

    def _write_term_to_record(self, run: DurableJobRun) -> None:
        run.record.term = self._term.number
        while run.job.job_id in self._runs and not self._closed:
            if run.record.state is not DurableJobState.OPEN or self._try_store_record(run):
                return

    def has_ended(self, job_id: str) -> bool | None:
        """Return whether a job has ended, None if the shard does not know the job.

        Args:
            job_id: the job.
        """
        if job_id in self._ended_jobs:
            return True
        if not self._loaded or not self._is_owner() or job_id in self._runs:
            return False
        return None

    def confirm_end(self, scheduler: Member, reported: ReportedTask) -> bool | None:
        """Return whether the end of a run is saved, None if the shard does not know the job.

        An end that was not heard of before is recorded, and confirmed once it is stored.

        Args:
            scheduler: the scheduler that retains the end.
            reported: the end.
        """
        if not self._loaded or not self._is_owner():
            return False
        job_id, _, step, index = reported.task.split(".")
        if job_id in self._ended_jobs:
            return True
        run = self._runs.get(job_id)
        if run is None:
            return None
        task = run.find_task(int(step), int(index))
        if task is not None and run.has_recorded_end(task, reported):
            return run.is_record_stored()
        self._context.count("keeping.retained_end_new")
        self._apply_reported_task(scheduler, reported)
        run.changed.set()
        return False

    def _apply_reported_task(self, scheduler: Member, reported: ReportedTask) -> None:
        """Update a task from a scheduler's report of one of its runs."""
        job_id, _, step, index = reported.task.split(".")
        run = self._runs.get(job_id)
        if run is None:
            self._stop_leftover_run(scheduler, reported, job_id)
            return
        task = run.find_task(int(step), int(index))
        if task is None:
            self._context.count("keeping.unknown_task")
            return
        if reported.end is not None and run.has_recorded_end(task, reported):
            if run.is_record_stored():
                self._report_saved_completions(
                    [UnsavedCompletion(scheduler.member_id, reported.task, reported.run)]
                )
            return
        task.run = max(task.run, reported.run + 1)
        result = TaskResult(
            int(step),
            int(index),
            reported.run,
            reported.end,
            reported.worker_id,
            place=reported.place,
        )
        if task.state is TaskState.DONE:
            return
        if reported.end is TaskResultKind.DONE:
            task.scheduler_id = scheduler.member_id
            run.record_done(task, result)
        elif reported.end is TaskResultKind.WORKER_LOST:
            run.record_lost_run(task, result)
        elif reported.end is TaskResultKind.FAILED:
            if task.state in (TaskState.UNKNOWN, TaskState.WAITING):
                task.scheduler_id = scheduler.member_id
                run.record_failed(task, result)
        elif task.state is TaskState.UNKNOWN:
            task.group, task.scheduler_id = reported.group, scheduler.member_id
            task.state, task.worker_id = TaskState.MAY_RUN, reported.worker_id
            task.place, task.unaccounted_since_s = reported.place, None
            run.was_dispatched_with_capacity = run.has_begun = True

    def _stop_leftover_run(self, scheduler: Member, reported: ReportedTask, job_id: str) -> None:
        """Stop a run of a job that is no longer open, or have its completion acknowledged."""
        self._context.count("keeping.leftover_run")
        if reported.end is None:
            self._context.peers.send(scheduler, StopTasks(job_of(reported.task), self._term))
        elif job_id in self._ended_jobs:
            self._report_saved_completions(
                [UnsavedCompletion(scheduler.member_id, reported.task, reported.run)]
            )

    def _schedule_save(self, run: DurableJobRun) -> None:
        """Start saving a record; changes that follow shortly are stored in the same write."""
        if not run.is_saving:
            run.is_saving = True
            gevent.spawn(self._save_until_stored, run)

    def _save_until_stored(self, run: DurableJobRun) -> None:
        """Write a record until no completion is unsaved.

        Each write waits to batch completions; the outcome of the job is written without waiting.
        """
        try:
            while run.must_be_saved() and not self._closed and run.job.job_id in self._runs:
                wait_for_event(run.outcome_known, SAVE_BATCHING_MS / MS_PER_S)
                completions, run.unsaved_completions = run.unsaved_completions, []
                run.has_unsaved_changes = False
                lost_run_counts = run.lost_run_counts()
                if self._try_store_record(run):
                    for lost_runs, number in lost_run_counts:
                        lost_runs.mark_stored(number)
                    run.changed.set()
                    self._report_saved_completions(completions)
                else:
                    run.unsaved_completions = completions + run.unsaved_completions
                    run.has_unsaved_changes = True
        finally:
            run.is_saving = False
        state = run.record.state
        if state is not DurableJobState.OPEN and run.job.job_id in self._runs and not self._closed:
            self._finish_run(run, state)

    def _try_store_record(self, run: DurableJobRun) -> bool:
        """Try to write a record once; return whether nothing remains to be stored."""
        key = job_key(run.job.job_id)
        try:
            revision = self._context.writer.write(key, run.record_to_store().encode(), run.revision)
        except SwapConflict as conflict:
            return self._merge_conflicting_write(run, conflict.current)
        except (StoreUnavailable, SwapUnknown):
            gevent.sleep(SAVE_RETRY_MS / MS_PER_S)
            return False
        run.revision = max(run.revision, revision)
        return True

    def _merge_conflicting_write(self, run: DurableJobRun, current: StoredValue | None) -> bool:
        """Merge the write that came first; return whether nothing remains to be stored."""
        if current is None:
            self._end_vanished_run(run)
            return True
        try:
            record = DurableJobRecord.decode(current.value)
        except ValueError as error:
            self._count_malformed(run.job.job_id, error)
            self._drop_run(run.job.job_id)
            return True
        run.revision = current.mod_revision
        if record.term > self._term.number:
            self._context.count("keeping.deposed")
            self._drop_run(run.job.job_id)
            return False
        if record.state is DurableJobState.OPEN:
            run.merge_progress(record)
            return False
        log_decision("keeping", "job ended elsewhere", job=run.job.job_id, state=record.state.value)
        run.record.state = record.state
        return True

    def _report_saved_completions(self, completions: list[UnsavedCompletion]) -> None:
        """Notify the schedulers of stored completions, which they then acknowledge to workers."""
        by_scheduler: dict[str, list[SavedCompletion]] = {}
        for completion in completions:
            by_scheduler.setdefault(completion.scheduler_id, []).append(
                SavedCompletion(completion.task, completion.run)
            )
        for scheduler_id, saved in by_scheduler.items():
            if not self._context.peers.send_if_linked(scheduler_id, EndsSaved(saved)):
                self._context.count("keeping.saved_end_untold")

    def _remove_expired_records(self) -> None:
        """Remove the records of ended jobs after the retention time."""
        while True:
            gevent.sleep(REMOVAL_INTERVAL_MS / MS_PER_S)
            now_s = time.monotonic()
            for job_id, ended in list(self._ended_jobs.items()):
                if (now_s - ended.known_since_s) * MS_PER_S > ENDED_JOB_RETENTION_MS:
                    gevent.spawn(self._remove_record, job_id, ended)

    def _remove_record(self, job_id: str, ended: _EndedJob) -> None:
        if self._ended_jobs.pop(job_id, None) is None:
            return
        try:
            self._context.writer.write(job_key(job_id), None, ended.revision)
        except SwapConflict as conflict:
            self._context.count("keeping.remove_lost")
            if conflict.current is not None:
                self._ended_jobs[job_id] = _EndedJob(ended.state, conflict.current.mod_revision)
        except (StoreUnavailable, SwapUnknown):
            self._context.count("keeping.retry.remove")
            self._ended_jobs[job_id] = _EndedJob(ended.state, ended.revision)
