"""The process that decides on a key: accepts each job once and answers for it."""

import time
from collections.abc import Callable

import gevent
from eliot import log_message

from camphorchute.contracts import Fate, JobAnswer, JobKey, Refusal, ResultCode, code_info
from camphorchute.contracts.job import refusal_answer
from camphorchute.contracts.member import Member
from camphorchute.contracts.messages import (
    CancelJob,
    Done,
    FetchJob,
    Grant,
    JobEnded,
    KeyEntry,
    KeyOwner,
    Reach,
    SubmitJob,
    TasksEnded,
    TasksReturned,
)
from camphorchute.jobs.admission import Admission
from camphorchute.jobs.dispatch import Dispatch
from camphorchute.jobs.job import Job
from camphorchute.jobs.job_table import JobTable
from camphorchute.jobs.key_checks import KeyChecks, check_digest
from camphorchute.jobs.recovery import Recovery
from camphorchute.links import handles
from camphorchute.zones import Ledger, Witnessing, ZoneView

__all__ = ["JobOwner"]

MOVED_CODES = frozenset({ResultCode.NOT_OWNER, ResultCode.STALE_TERM})
EXPIRY_STEP_MS = 1000.0


class JobOwner:
    """All jobs whose keys this process decides on.

    Args:
        view: the ownership records.
        ledger: the keys that this process holds.
        witnessing: has accepted keys acknowledged.
        admission: refuses what cannot be done.
        dispatch: hands tasks to homes.
        recovery: finds the fate of tasks whose owner or home was lost.
        zones: the availability zones.
        window_ms: resubmission window.
        clock_skew_ms: largest difference between clocks of processes and callers.
        answer_retention_ms: how long answers are kept.
        count: adds to a named counter.
    """

    __slots__ = (
        "_view",
        "_ledger",
        "_witnessing",
        "_admission",
        "_dispatch",
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
        dispatch: Dispatch,
        recovery: Recovery,
        zones: list[str],
        window_ms: float,
        clock_skew_ms: float,
        answer_retention_ms: float,
        count: Callable[..., None],
    ) -> None:
        self._view = view
        self._ledger = ledger
        self._witnessing = witnessing
        self._admission = admission
        self._dispatch = dispatch
        self._recovery = recovery
        self._zones = zones
        self._checks = KeyChecks(view, window_ms, clock_skew_ms)
        self._count = count
        self._jobs = JobTable(answer_retention_ms)
        self._greenlet = None

    def start(self) -> None:
        """Begin to follow the ownership record and the deadlines."""
        self._dispatch.acknowledge_local = self._acknowledge_local
        self._view.changed.append(self._give_up_moved)
        self._greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def open_tasks(self) -> dict[str, dict[str, int]]:
        """Return how many tasks have not ended, for each pool and team."""
        return self._jobs.open_tasks()

    def open_of_team(self, service: str, team: str) -> int:
        """Return how many tasks of a team have not ended here."""
        return self.open_tasks().get(service, {}).get(team, 0)

    @handles(SubmitJob)
    def submit(self, peer: Member, message: SubmitJob) -> JobEnded:
        """Accept a job, or join the one under way, and wait for its answer."""
        message.spec.check()
        key = JobKey(message.key, self._zones)
        try:
            job = self._job_for(key, message)
        except Refusal as refusal:
            if code_info(refusal.code).fate is Fate.NOT_RUN:
                self._acknowledge(key, [])
            raise
        return self._wait(job, None)

    @handles(FetchJob)
    def fetch(self, peer: Member, message: FetchJob) -> JobEnded:
        """Wait for the answer to a key."""
        key = JobKey(message.key, self._zones)
        job = self._known_job(key)
        return self._wait(job, message.wait_ms)

    @handles(CancelJob)
    def cancel(self, peer: Member, message: CancelJob) -> JobEnded:
        """Cancel a job; one that has its answer keeps it."""
        key = JobKey(message.key, self._zones)
        job = self._known_job(key)
        if job.is_open:
            self._end_unfinished(
                job, ResultCode.CANCELLED_BEFORE_START, ResultCode.CANCELLED, "cancelled"
            )
        return self._wait(job, 0.0)

    @handles(TasksEnded, prompt=True)
    def tasks_ended(self, peer: Member, message: TasksEnded) -> Done:
        """Take in the outcomes of tasks."""
        job = self._jobs.get(message.key)
        if job is None or not job.is_open:
            self._count("jobs.late_outcome", len(message.outcomes))
            return Done()
        for outcome in message.outcomes:
            self._take_outcome(job, peer, outcome)
        if not job.is_open:
            self._finished(job)
        return Done()

    @handles(TasksReturned, prompt=True)
    def tasks_returned(self, peer: Member, message: TasksReturned) -> Done:
        """Take back tasks that a home did not start."""
        job = self._jobs.get(message.key)
        if job is None or not job.is_open:
            return Done()
        self._dispatch.returned(job, peer, message)
        return Done()

    @handles(Grant, prompt=True)
    def granted(self, peer: Member, message: Grant) -> Done:
        """Use slots that a home keeps for this owner."""
        self._dispatch.granted(peer, message)
        return Done()

    def home_lost(self, home: Member) -> None:
        """Find out what a home, whose link was lost, still holds."""
        self._dispatch.forget_home(home.member_id)
        for job in self._jobs.open_jobs():
            if job.handed_to(home.member_id):
                gevent.spawn(self._recover_from_home, job, home)

    def _take_outcome(self, job: Job, peer: Member, outcome: object) -> None:
        if not 0 <= outcome.index < len(job.tasks):
            self._count("jobs.crossed_outcome")
            return
        task = job.tasks[outcome.index]
        if job.resumed:
            job.adopt(outcome.index, peer.member_id)
        if task.home_id != peer.member_id:
            self._count("jobs.crossed_outcome")
        elif outcome.code != ResultCode.COMPLETE:
            detail = f"task {outcome.index}: {outcome.detail}"
            self._fail(job, ResultCode(outcome.code), detail)
        elif job.end(outcome.index, task.attempt, outcome.answer):
            self._dispatch.freed(peer.member_id, job.pool, 1)
            self._learn_run_time(job, outcome.index)
        else:
            self._count("jobs.doubled_outcome")

    def _learn_run_time(self, job: Job, index: int) -> None:
        task = job.tasks[index]
        if task.handed_s:
            run_ms = (time.monotonic() - task.handed_s) * 1000
            spec = job.spec.tasks[index]
            self._admission.run_times.learn(job.pool, spec.kind, run_ms, spec.run_time_ms)

    def _job_for(self, key: JobKey, message: SubmitJob) -> Job:
        digest = message.spec.digest()
        job = self._jobs.get(key.text)
        if job is not None:
            check_digest(key, job.digest, digest)
            self._count("jobs.joined")
            return job
        self._checks.check_owned(key)
        self._checks.check_age(key)
        job = Job(key, message.spec, digest, message.remaining_ms)
        entry = self._ledger.get(key.shard, key.text)
        if entry is None:
            self._checks.check_not_lost(key)
            self._admission.check(message.spec, message.remaining_ms)
            self._accept(job)
        else:
            check_digest(key, entry.digest, digest)
            self._resume(job, entry)
        return job

    def _accept(self, job: Job) -> None:
        job.reach = self._view.reach()
        now_ms = time.time() * 1000
        expires_unix_ms = round(now_ms + self._checks.kept_ms)
        key = job.key
        job.entry = KeyEntry(
            key.text, key.shard, job.digest, expires_unix_ms, [self._self(job.reach)]
        )
        self._ledger.hold(job.entry)
        self._jobs.add(job)
        try:
            self._acknowledge(key, [job.entry])
        except Refusal as refusal:
            self._jobs.forget(job)
            if refusal.code is ResultCode.KEY_CONFLICT:
                job.entry.digest = b""
            if refusal.code in MOVED_CODES:
                job.move()
            else:
                job.finish(refusal_answer(key.text, refusal))
            raise
        self._note("accepted", job)
        gevent.spawn_later(max(job.remaining_ms, 0) / 1000, self._expire, job)
        self._dispatch.add(job, job.waiting())

    def _resume(self, job: Job, entry: KeyEntry) -> None:
        job.entry = entry
        job.resumed = True
        job.reach = self._view.reach()
        self._jobs.add(job)
        self._note("resumed", job)
        gevent.spawn_later(max(job.remaining_ms, 0) / 1000, self._expire, job)
        gevent.spawn(self._recover, job)

    def _recover(self, job: Job) -> None:
        try:
            indices = self._recovery.from_earlier_owners(job)
            if not job.is_open:
                self._finished(job)
                return
            if indices:
                self._acknowledge_reach(job, self._view.reach())
                self._dispatch.add(job, indices)
        except Refusal as refusal:
            self._end_by(job, refusal)

    def _recover_from_home(self, job: Job, home: Member) -> None:
        try:
            indices = self._recovery.from_home(job, home)
            if not job.is_open:
                self._finished(job)
            elif indices:
                self._dispatch.add(job, indices)
        except Refusal as refusal:
            self._end_by(job, refusal)

    def _acknowledge_local(self, job: Job, indices: list[int]) -> None:
        job.entry.local = sorted({*job.entry.local, *indices})
        self._acknowledge(job.key, [job.entry])

    def _acknowledge_reach(self, job: Job, reach: Reach) -> None:
        """Have it acknowledged that this owner may hand tasks of the job that far."""
        owner = self._self(reach)
        if owner not in job.entry.owners:
            job.entry.owners.append(owner)
        self._acknowledge(job.key, [job.entry])
        job.reach = reach

    def _acknowledge(self, key: JobKey, entries: list[KeyEntry]) -> None:
        """Return once a witness has taken the entries under the term in force.

        Without entries it proves that no other process can have decided on the key up to now: a
        taker settles a shard only after every witness of the earlier term refuses that term.
        """
        term = self._view.owned_term(key.shard)
        if term is None:
            raise self._checks.not_owner(key)
        self._witnessing.acknowledge(term, key.shard, entries)
        if self._view.owned_term(key.shard) is None:
            raise self._checks.not_owner(key)

    def _self(self, reach: Reach) -> KeyOwner:
        me = self._view.member
        return KeyOwner(me.member_id, me.host, reach)

    def _end_by(self, job: Job, refusal: Refusal) -> None:
        if refusal.code in MOVED_CODES:
            self._move(job)
            return
        fate = code_info(refusal.code).fate
        if fate is Fate.UNKNOWN and not (job.resumed or job.any_handed()):
            job.finish(refusal_answer(job.key.text, refusal))
            self._finished(job)
            return
        may_have_run = fate is Fate.MAY_HAVE_RUN
        code = refusal.code if may_have_run else ResultCode.OWNER_LOST
        self._fail(job, code, str(refusal), maybe_all=True)

    def _fail(self, job: Job, code: ResultCode, detail: str, maybe_all: bool = False) -> None:
        if not job.is_open:
            return
        if maybe_all:
            every = list(range(len(job.tasks)))
            job.finish(JobAnswer(job.key.text, int(code), detail=detail, tasks_maybe_run=every))
        else:
            job.fail(code, detail)
        self._dispatch.cancel(job)
        self._finished(job)

    def _expire(self, job: Job) -> None:
        if job.is_open:
            self._end_unfinished(
                job,
                ResultCode.DEADLINE_UNREACHABLE,
                ResultCode.DEADLINE_PASSED,
                "no slot came free in time",
            )

    def _end_unfinished(
        self, job: Job, not_run: ResultCode, may_have_run: ResultCode, detail: str
    ) -> None:
        """End a job that is not done, with "not run" only where that is proved."""
        if job.resumed or job.any_handed():
            self._fail(job, may_have_run, detail, maybe_all=job.resumed)
            return
        job.ending = True
        try:
            self._acknowledge(job.key, [])
        except Refusal as refusal:
            self._end_by(job, refusal)
            return
        handed = job.any_handed()
        self._fail(job, may_have_run if handed else not_run, detail)

    def _finished(self, job: Job) -> None:
        if job.answer is None or job.kept:
            return
        job.kept = True
        self._dispatch.leave(job)
        self._note(f"ended.{ResultCode(job.answer.code).name.lower()}", job)
        self._jobs.keep(job)

    def _note(self, event: str, job: Job) -> None:
        self._count(f"jobs.{event}")
        log_message(message_type="jobs", text=f"jobs: {event}", job=job.key.text)

    def _wait(self, job: Job, wait_ms: float | None) -> JobEnded:
        job.finished.wait(None if wait_ms is None else max(wait_ms, 0) / 1000)
        if job.moved:
            raise self._checks.not_owner(job.key)
        if job.answer is None:
            return JobEnded(JobAnswer(job.key.text, int(ResultCode.ACCEPTED)))
        return JobEnded(job.answer)

    def _known_job(self, key: JobKey) -> Job:
        job = self._jobs.get(key.text)
        if job is not None:
            return job
        self._checks.check_owned(key)
        if self._ledger.get(key.shard, key.text) is not None:
            raise Refusal(
                ResultCode.JOB_UNKNOWN, "accepted earlier; submit it again for its answer"
            )
        self._checks.check_not_lost(key)
        raise Refusal(ResultCode.JOB_UNKNOWN, f"no record of {key.text!r}")

    def _give_up_moved(self) -> None:
        """Leave the jobs whose shards moved to their new owner."""
        for job in self._jobs.open_jobs():
            if self._view.owned_term(job.key.shard) is None:
                self._move(job)

    def _move(self, job: Job) -> None:
        """Send the callers of a job to its new owner."""
        self._note("moved", job)
        job.move()
        self._dispatch.leave(job)
        self._jobs.forget(job)

    def _run(self) -> None:
        while True:
            gevent.sleep(EXPIRY_STEP_MS / 1000)
            self._ledger.expire()
            self._jobs.drop_old()
