"""The owner's side of a job: accepts each key once, runs its job and returns the answer."""

import time
from collections.abc import Callable

import gevent
from eliot import log_message

from camphorchute.contracts import Fate, JobAnswer, JobKey, Refusal, ResultCode, code_info
from camphorchute.contracts.job import answer_from_refusal
from camphorchute.contracts.member import Member
from camphorchute.contracts.messages import (
    CancelJob,
    Done,
    FetchJob,
    Grant,
    JobEnded,
    KeyEntry,
    SubmitJob,
    TasksEnded,
    TasksReturned,
)
from camphorchute.jobs.admission import Admission
from camphorchute.jobs.dispatcher import Dispatcher
from camphorchute.jobs.job import Job
from camphorchute.jobs.job_table import JobTable
from camphorchute.jobs.key_checks import KeyChecks, check_digest
from camphorchute.jobs.recovery import Recovery
from camphorchute.jobs.witnessed_entries import WitnessedEntries
from camphorchute.links import handles
from camphorchute.loops import wait_for_event
from camphorchute.zones import Ledger, Witnessing, ZoneView

__all__ = ["JobOwner"]

OWNER_CHANGED_CODES = frozenset({ResultCode.NOT_OWNER, ResultCode.STALE_TERM})
EXPIRY_INTERVAL_MS = 1000.0


class JobOwner:
    """Accepts and answers the jobs whose keys this process owns.

    Args:
        view: the ownership records.
        ledger: the accepted keys that this process holds.
        witnessing: replicates accepted keys to witnesses.
        admission: checks whether a job can be done.
        dispatcher: dispatches tasks to schedulers.
        recovery: finds the state of tasks whose owner or scheduler was lost.
        zones: names of all availability zones.
        window_ms: resubmission window in milliseconds.
        clock_skew_ms: largest difference in milliseconds between the clocks of processes and
            callers.
        answer_retention_ms: how long final answers are retained, in milliseconds.
        count: adds to a named counter.
    """

    __slots__ = (
        "_view",
        "_ledger",
        "_entries",
        "_admission",
        "_dispatcher",
        "_recovery",
        "_zones",
        "_checks",
        "_count",
        "_jobs",
        "_greenlet",
    )

    def __init__(
        self,
        view: ZoneView,
        ledger: Ledger,
        witnessing: Witnessing,
        admission: Admission,
        dispatcher: Dispatcher,
        recovery: Recovery,
        zones: list[str],
        window_ms: float,
        clock_skew_ms: float,
        answer_retention_ms: float,
        count: Callable[..., None],
    ) -> None:
        self._view = view
        self._ledger = ledger
        self._admission = admission
        self._dispatcher = dispatcher
        self._recovery = recovery
        self._zones = zones
        self._checks = KeyChecks(view, window_ms, clock_skew_ms)
        self._entries = WitnessedEntries(view, witnessing, self._checks, count)
        self._count = count
        self._jobs = JobTable(answer_retention_ms)
        self._greenlet = None

    def start(self) -> None:
        """Start to follow the ownership records and to expire keys and answers."""
        self._dispatcher.acknowledge_local_tasks = self._entries.add_local_tasks
        self._view.change_listeners.append(self._redirect_moved_jobs)
        self._greenlet = gevent.spawn(self._run_expiry_loop)

    def close(self) -> None:
        """Stop the expiry loop."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def count_open_tasks(self) -> dict[str, dict[str, int]]:
        """Return the number of tasks that have not ended, by pool and team."""
        return self._jobs.count_open_tasks()

    def count_open_tasks_of_team(self, service: str, team: str) -> int:
        """Return the number of tasks of a team that have not ended at this owner.

        Args:
            service: name of the service, which is also the name of its pool of workers.
            team: name of the team.
        """
        return self.count_open_tasks().get(service, {}).get(team, 0)

    @handles(SubmitJob)
    def submit(self, peer: Member, message: SubmitJob) -> JobEnded:
        """Accept a job, or join the job that is open under its key, and wait for the answer.

        Args:
            peer: the sender.
            message: the key, the body and the time to the deadline.

        Raises:
            Refusal: the body or the key is invalid, another process owns the key, or the job
                was not accepted.
        """
        message.spec.validate()
        key = JobKey(message.key, self._zones)
        try:
            job = self._find_or_accept_job(key, message)
        except Refusal as refusal:
            if code_info(refusal.code).fate is Fate.NOT_RUN:
                self._entries.acknowledge(key, [])
            raise
        return self._wait_for_answer(job, None)

    @handles(FetchJob)
    def fetch(self, peer: Member, message: FetchJob) -> JobEnded:
        """Return the answer of a job, or code ``ACCEPTED`` if the wait times out.

        Args:
            peer: the sender.
            message: the key and the longest wait in milliseconds.

        Raises:
            Refusal: another process owns the key, or no job of the key is known.
        """
        key = JobKey(message.key, self._zones)
        job = self._get_known_job(key)
        return self._wait_for_answer(job, message.wait_ms)

    @handles(CancelJob)
    def cancel(self, peer: Member, message: CancelJob) -> JobEnded:
        """Cancel a job and return its answer; a job that has an answer keeps it.

        Args:
            peer: the sender.
            message: the key.

        Raises:
            Refusal: another process owns the key, or no job of the key is known.
        """
        key = JobKey(message.key, self._zones)
        job = self._get_known_job(key)
        if job.is_open:
            self._end_unfinished_job(
                job, ResultCode.CANCELLED_BEFORE_START, ResultCode.CANCELLED, "cancelled"
            )
        return self._wait_for_answer(job, 0.0)

    @handles(TasksEnded, nonblocking=True)
    def receive_outcomes(self, peer: Member, message: TasksEnded) -> Done:
        """Record the outcomes of tasks.

        Args:
            peer: the scheduler that reports the outcomes.
            message: the key and the outcomes.
        """
        job = self._jobs.get(message.key)
        if job is None or not job.is_open:
            self._count("jobs.late_outcome", len(message.outcomes))
            return Done()
        for outcome in message.outcomes:
            self._apply_outcome(job, peer, outcome)
        if not job.is_open:
            self._record_completion(job)
        return Done()

    @handles(TasksReturned, nonblocking=True)
    def receive_returned_tasks(self, peer: Member, message: TasksReturned) -> Done:
        """Put tasks that a scheduler did not start back into the backlog.

        Args:
            peer: the scheduler that returns the tasks.
            message: the key, the attempts and the reason.
        """
        job = self._jobs.get(message.key)
        if job is None or not job.is_open:
            return Done()
        returned = self._dispatcher.requeue_returned_tasks(job, peer, message)
        self._entries.remove_returned_tasks(job, returned)
        if job.is_recovered and not job.may_dispatch:
            gevent.spawn(self._dispatch_returned_tasks, job)
        return Done()

    @handles(Grant, nonblocking=True)
    def receive_grant(self, peer: Member, message: Grant) -> Done:
        """Dispatch pending tasks to slots that a scheduler reserves for this owner.

        Args:
            peer: the scheduler that grants the slots.
            message: the service, the team and the number of slots.
        """
        self._dispatcher.use_grant(peer, message)
        return Done()

    def recover_from_lost_scheduler(self, scheduler: Member) -> None:
        """Recover the open tasks that were dispatched to a scheduler whose link was lost.

        Args:
            scheduler: the member whose link was lost.
        """
        self._dispatcher.remove_scheduler(scheduler.member_id)
        for job in self._jobs.open_jobs():
            if job.tasks_dispatched_to(scheduler.member_id):
                gevent.spawn(self._recover_from_scheduler, job, scheduler)

    def _apply_outcome(self, job: Job, peer: Member, outcome: object) -> None:
        if not 0 <= outcome.index < len(job.tasks):
            self._count("jobs.crossed_outcome")
            return
        task = job.tasks[outcome.index]
        if job.resumed:
            job.adopt_task(outcome.index, peer.member_id)
        if task.scheduler_id != peer.member_id:
            self._count("jobs.crossed_outcome")
        elif outcome.code != ResultCode.COMPLETE:
            detail = f"task {outcome.index}: {outcome.detail}"
            self._fail_job(job, ResultCode(outcome.code), detail)
        elif job.complete_task(outcome.index, task.attempt, outcome.answer):
            self._dispatcher.add_free_slots(peer.member_id, job.pool, 1)
            self._record_run_time(job, outcome.index)
        else:
            self._count("jobs.doubled_outcome")

    def _record_run_time(self, job: Job, index: int) -> None:
        task = job.tasks[index]
        if task.dispatched_s:
            run_ms = (time.monotonic() - task.dispatched_s) * 1000
            spec = job.spec.tasks[index]
            self._admission.run_times.add_sample(job.pool, spec.kind, run_ms, spec.run_time_ms)

    def _find_or_accept_job(self, key: JobKey, message: SubmitJob) -> Job:
        digest = message.spec.digest()
        job = self._jobs.get(key.text)
        if job is not None:
            check_digest(key, job.digest, digest)
            self._count("jobs.joined")
            return job
        self._checks.check_ownership(key)
        self._checks.check_age(key)
        job = Job(key, message.spec, digest, message.remaining_ms)
        entry = self._ledger.get(key.shard, key.text)
        if entry is None:
            self._checks.check_records_not_lost(key)
            self._admission.check_job(message.spec, message.remaining_ms)
            self._accept_job(job)
        else:
            check_digest(key, entry.digest, digest)
            self._resume_job(job, entry)
        return job

    def _accept_job(self, job: Job) -> None:
        job.reach = self._view.reach()
        expires_unix_ms = self._checks.key_expiry_unix_ms(job.remaining_ms)
        key = job.key
        job.known_owners = [self._entries.make_key_owner(job.reach)]
        job.entry = KeyEntry(
            key.text, key.shard, job.digest, expires_unix_ms, list(job.known_owners)
        )
        self._ledger.hold(job.entry)
        self._jobs.add(job)
        try:
            self._entries.acknowledge(key, [job.entry])
        except Refusal as refusal:
            self._jobs.remove(job)
            if refusal.code is ResultCode.KEY_CONFLICT:
                job.entry.digest = b""
            if refusal.code in OWNER_CHANGED_CODES:
                job.mark_moved()
            else:
                job.set_answer(answer_from_refusal(key.text, refusal))
            raise
        self._record_event("accepted", job)
        gevent.spawn_later(max(job.remaining_ms, 0) / 1000, self._expire_job, job)
        self._dispatcher.enqueue_tasks(job, job.pending_tasks())

    def _resume_job(self, job: Job, entry: KeyEntry) -> None:
        # The deadline may be later than the end of the window in which the key was accepted.
        # Witnesses get to know it before a task is dispatched.
        self._ledger.extend(entry, self._checks.deadline_unix_ms(job.remaining_ms))
        job.entry = entry
        job.known_owners = list(entry.owners)
        job.mark_resumed()
        job.reach = self._view.reach()
        self._jobs.add(job)
        self._record_event("resumed", job)
        gevent.spawn_later(max(job.remaining_ms, 0) / 1000, self._expire_job, job)
        gevent.spawn(self._recover_from_earlier_owners, job)

    def _recover_from_earlier_owners(self, job: Job) -> None:
        try:
            self._recovery.recover_from_earlier_owners(job)
            job.is_recovered = True
            if not job.is_open:
                self._record_completion(job)
            else:
                self._dispatch_recovered_tasks(job)
        except Refusal as refusal:
            self._end_job_by_refusal(job, refusal)

    def _dispatch_recovered_tasks(self, job: Job) -> None:
        """Dispatch the pending tasks of a resumed job, once witnesses have recorded its owner.

        Without a pending task nothing is recorded; a task that is returned later calls it again.
        """
        if not job.pending_tasks():
            return
        self._entries.add_reach(job, self._view.reach())
        if job.may_dispatch:
            return
        job.may_dispatch = True
        self._dispatcher.enqueue_tasks(job, job.pending_tasks())

    def _dispatch_returned_tasks(self, job: Job) -> None:
        try:
            self._dispatch_recovered_tasks(job)
        except Refusal as refusal:
            self._end_job_by_refusal(job, refusal)

    def _recover_from_scheduler(self, job: Job, scheduler: Member) -> None:
        try:
            indices = self._recovery.recover_from_scheduler(job, scheduler)
            if not job.is_open:
                self._record_completion(job)
            elif not job.may_dispatch and job.is_recovered:
                self._dispatch_recovered_tasks(job)
            elif indices:
                self._dispatcher.enqueue_tasks(job, indices)
        except Refusal as refusal:
            self._end_job_by_refusal(job, refusal)

    def _end_job_by_refusal(self, job: Job, refusal: Refusal) -> None:
        if refusal.code in OWNER_CHANGED_CODES:
            self._redirect_job(job)
            return
        fate = code_info(refusal.code).fate
        if fate is Fate.UNKNOWN and not (job.resumed or job.any_dispatched()):
            job.set_answer(answer_from_refusal(job.key.text, refusal))
            self._record_completion(job)
            return
        may_have_run = fate is Fate.MAY_HAVE_RUN
        code = refusal.code if may_have_run else ResultCode.OWNER_LOST
        self._fail_job(job, code, str(refusal), all_may_have_run=True)

    def _fail_job(
        self, job: Job, code: ResultCode, detail: str, all_may_have_run: bool = False
    ) -> None:
        if not job.is_open:
            return
        if all_may_have_run:
            all_indices = list(range(len(job.tasks)))
            job.set_answer(
                JobAnswer(job.key.text, int(code), detail=detail, tasks_maybe_run=all_indices)
            )
        else:
            job.fail(code, detail)
        self._dispatcher.cancel_dispatched_tasks(job)
        self._record_completion(job)

    def _expire_job(self, job: Job) -> None:
        if job.is_open:
            self._end_unfinished_job(
                job,
                ResultCode.DEADLINE_UNREACHABLE,
                ResultCode.DEADLINE_PASSED,
                "the deadline passed before the job completed",
            )

    def _end_unfinished_job(
        self, job: Job, not_run_code: ResultCode, may_have_run_code: ResultCode, detail: str
    ) -> None:
        """End an open job, with the code for "not run" only if that is proved.

        The proof is that no task was dispatched here and that a witness still acknowledges the
        term of this owner.
        """
        if job.resumed or job.any_dispatched():
            self._fail_job(job, may_have_run_code, detail, all_may_have_run=job.resumed)
            return
        job.is_ending = True
        try:
            self._entries.acknowledge(job.key, [])
        except Refusal as refusal:
            self._end_job_by_refusal(job, refusal)
            return
        any_dispatched = job.any_dispatched()
        self._fail_job(job, may_have_run_code if any_dispatched else not_run_code, detail)

    def _record_completion(self, job: Job) -> None:
        if job.answer is None or job.completion_recorded:
            return
        job.completion_recorded = True
        self._dispatcher.discount_pending_tasks(job)
        self._record_event(f"ended.{ResultCode(job.answer.code).name.lower()}", job)
        self._jobs.retain_answer(job)

    def _record_event(self, event: str, job: Job) -> None:
        self._count(f"jobs.{event}")
        log_message(message_type="jobs", text=f"jobs: {event}", job=job.key.text)

    def _wait_for_answer(self, job: Job, wait_ms: float | None) -> JobEnded:
        wait_for_event(job.finished, None if wait_ms is None else max(wait_ms, 0) / 1000)
        if job.moved:
            raise self._checks.not_owner_refusal(job.key)
        if job.answer is None:
            return JobEnded(JobAnswer(job.key.text, int(ResultCode.ACCEPTED)))
        return JobEnded(job.answer)

    def _get_known_job(self, key: JobKey) -> Job:
        job = self._jobs.get(key.text)
        if job is not None:
            return job
        self._checks.check_ownership(key)
        if self._ledger.get(key.shard, key.text) is not None:
            raise Refusal(
                ResultCode.JOB_UNKNOWN,
                f"job {key.text!r} was accepted earlier; submit it again for its answer",
            )
        self._checks.check_records_not_lost(key)
        raise Refusal(ResultCode.JOB_UNKNOWN, f"no job with key {key.text!r} is known")

    def _redirect_moved_jobs(self) -> None:
        """Redirect the callers of open jobs whose shards this process does not own any more."""
        for job in self._jobs.open_jobs():
            if self._view.owned_term(job.key.shard) is None:
                self._redirect_job(job)

    def _redirect_job(self, job: Job) -> None:
        """Redirect the callers of a job to its new owner and drop the job here."""
        self._record_event("moved", job)
        if job.is_open:
            self._entries.record_dispatched_tasks(job)
        job.mark_moved()
        self._dispatcher.discount_pending_tasks(job)
        self._jobs.remove(job)

    def _run_expiry_loop(self) -> None:
        while True:
            gevent.sleep(EXPIRY_INTERVAL_MS / 1000)
            self._ledger.expire()
            self._jobs.drop_expired_answers()
