"""Recovery of tasks whose owner or scheduler was lost."""

import time
from collections.abc import Callable

import gevent

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.member import Member
from camphorchute.contracts.messages import (
    DispatchRecord,
    FindTasks,
    FoundTasks,
    KeyEntry,
    KeyOwner,
    Reach,
)
from camphorchute.jobs.job import Job
from camphorchute.links import LinkLost, Peers
from camphorchute.workers.back_end import BackEndError, FoundAttempt
from camphorchute.zones import DeathRegistry, ZoneView

__all__ = ["Recovery", "possibly_dispatched_tasks"]

FIND_TASKS_TIMEOUT_MS = 1500.0
RETRY_INTERVAL_MS = 150.0
SEARCH_INTERVAL_MS = 250.0
SEARCH_TIMEOUT_MS = 3000.0


def possibly_dispatched_tasks(member: Member, entry: KeyEntry, tasks: int) -> set[int]:
    """Return the indices of the tasks of a job that its owners may have dispatched to a member.

    Args:
        member: the scheduler.
        entry: the accepted key.
        tasks: number of tasks of the job.

    Examples:
        >>> scheduler = Member("m", "north", "vm1", "", "127.0.0.1:1", "127.0.0.1:2")
        >>> near = KeyOwner("o", "vm1", Reach.OTHER_HOSTS)
        >>> possibly_dispatched_tasks(scheduler, KeyEntry("k", 0, b"", 0, [near], local=[1]), 3)
        {1}
        >>> far = KeyOwner("o", "vm2", Reach.OTHER_HOSTS)
        >>> possibly_dispatched_tasks(scheduler, KeyEntry("k", 0, b"", 0, [far]), 3)
        {0, 1, 2}
        >>> record = DispatchRecord([far], {"m": [2]})
        >>> entry = KeyEntry("k", 0, b"", 0, [far], [1], record=record)
        >>> possibly_dispatched_tasks(scheduler, entry, 3)
        {2}
    """
    record = entry.record or DispatchRecord([], {})
    unrecorded = [owner for owner in entry.owners if owner not in record.owners]
    if entry.uncertain or any(_is_within_reach(member, owner) for owner in unrecorded):
        return set(range(tasks))
    recorded = set(record.dispatched.get(member.member_id, []))
    if entry.owners and not unrecorded:
        return recorded
    return recorded | set(entry.local)


def _is_within_reach(member: Member, owner: KeyOwner) -> bool:
    if owner.reach is Reach.OTHER_PROCESSES:
        return owner.member_id != member.member_id
    return owner.reach is Reach.ANY or owner.host != member.host


class Recovery:
    """Finds the state of dispatched tasks at their schedulers, or at the workers of dead ones.

    Args:
        view: the ownership records.
        peers: links to the schedulers.
        deaths: the processes that are proved dead.
        find_attempts: asks every worker of a service for the attempts of a job; takes the
            service and the key.
        count: adds to a named counter.
    """

    __slots__ = ("_view", "_peers", "_deaths", "_find_attempts", "_count")

    def __init__(
        self,
        view: ZoneView,
        peers: Peers,
        deaths: DeathRegistry,
        find_attempts: Callable[[str, str], list[FoundAttempt]],
        count: Callable[..., None],
    ) -> None:
        self._view = view
        self._peers = peers
        self._deaths = deaths
        self._find_attempts = find_attempts
        self._count = count

    def recover_from_earlier_owners(self, job: Job) -> list[int]:
        """Recover the tasks that earlier owners of a job dispatched.

        Args:
            job: the job; tasks that were found are adopted or completed.

        Returns:
            The indices of the tasks that were never started.

        Raises:
            Refusal: the job cannot be completed; the code is the one to end it with.
        """
        schedulers = self._possible_schedulers(job)
        dead: list[Member] = []
        while schedulers:
            schedulers = [
                scheduler for scheduler in schedulers if not self._find_tasks(job, scheduler)
            ]
            dead += [scheduler for scheduler in schedulers if self._deaths.is_dead(scheduler)]
            schedulers = [scheduler for scheduler in schedulers if scheduler not in dead]
            if schedulers:
                self._sleep_before_retry(job)
        if dead and job.is_open:
            self._recover_from_dead(job, dead)
        return job.pending_tasks()

    def _recover_from_dead(self, job: Job, dead: list[Member]) -> None:
        """Search the workers for the tasks that dead schedulers may have started."""
        self._count("jobs.recovery.home_dead", len(dead))
        possibly_started: set[int] = set()
        for scheduler in dead:
            possibly_started |= possibly_dispatched_tasks(scheduler, job.entry, len(job.tasks))
        for index in job.pending_tasks():
            if index in possibly_started:
                job.adopt_task(index, dead[0].member_id)
        self._search_workers(job, dead[0])

    def recover_from_scheduler(self, job: Job, scheduler: Member) -> list[int]:
        """Recover the tasks that were dispatched to a scheduler whose link was lost.

        Args:
            job: the job; tasks that were found are completed or stay with the scheduler.
            scheduler: the scheduler.

        Returns:
            The indices of the tasks that were never started and must be dispatched again.

        Raises:
            Refusal: the job cannot be completed; the code is the one to end it with.
        """
        while job.tasks_dispatched_to(scheduler.member_id) and job.is_open:
            if self._deaths.is_dead(scheduler):
                self._search_workers(job, scheduler)
                return []
            attempts = {
                i: job.tasks[i].attempt for i in job.tasks_dispatched_to(scheduler.member_id)
            }
            found = self._find_tasks(job, scheduler, list(attempts.values()))
            if found:
                return self._reclaim_unstarted(job, attempts, found)
            self._sleep_before_retry(job)
        return []

    def _possible_schedulers(self, job: Job) -> list[Member]:
        record = self._view.record
        members = [*record.members, *(d.member for d in record.departed)]
        tasks = len(job.tasks)
        return [m for m in members if possibly_dispatched_tasks(m, job.entry, tasks)]

    def _find_tasks(
        self, job: Job, scheduler: Member, attempts: list[str] | None = None
    ) -> FoundTasks | None:
        term = self._view.owned_term(job.key.shard)
        if term is None:
            raise Refusal(
                ResultCode.NOT_OWNER, f"this process does not own shard {job.key.shard} any more"
            )
        message = FindTasks(
            job.key.text,
            job.key.shard,
            term.number,
            self._view.member.member_id,
            job.pool,
            attempts or [],
        )
        job.begin_query()
        try:
            found = self._request_tasks(scheduler, message)
            if found is not None:
                self._apply_found_tasks(job, scheduler, found)
            return found
        finally:
            job.end_query()

    def _request_tasks(self, scheduler: Member, message: FindTasks) -> FoundTasks | None:
        try:
            return self._peers.request(scheduler, message, FIND_TASKS_TIMEOUT_MS)
        except LinkLost:
            self._count("jobs.retry.find_tasks")
            return None
        except Refusal as refusal:
            self._view.adopt_from_refusal(refusal)
            raise

    def _apply_found_tasks(self, job: Job, scheduler: Member, found: FoundTasks) -> None:
        is_named = len(found.attempts) == len(found.running)
        attempts = found.attempts if is_named else [""] * len(found.running)
        for index, attempt in zip(found.running, attempts, strict=True):
            job.adopt_task(index, scheduler.member_id, attempt)
        for outcome in found.ended:
            if outcome.code != ResultCode.COMPLETE:
                job.adopt_task(outcome.index, scheduler.member_id)
                raise Refusal(ResultCode(outcome.code), outcome.detail)
            job.adopt_task(outcome.index, scheduler.member_id)
            job.complete_task(outcome.index, "", outcome.answer)

    def _reclaim_unstarted(
        self, job: Job, attempts: dict[int, str], found: FoundTasks
    ) -> list[int]:
        """Mark tasks as pending whose attempts the scheduler does not know and will not start."""
        known = {*found.running, *(outcome.index for outcome in found.ended)}
        unknown = [(i, attempt) for i, attempt in attempts.items() if i not in known]
        not_started = [i for i, attempt in unknown if attempt and job.return_task(i, attempt)]
        self._count("jobs.retry.hand_off_lost", len(not_started))
        return not_started

    def _search_workers(self, job: Job, scheduler: Member) -> None:
        """Complete the tasks of a dead scheduler from the attempts that the workers report."""
        search_deadline_s = time.monotonic() + SEARCH_TIMEOUT_MS / 1000
        while job.is_open and job.tasks_dispatched_to(scheduler.member_id):
            running = self._apply_found_attempts(job, scheduler)
            missing = [i for i in job.tasks_dispatched_to(scheduler.member_id) if i not in running]
            if missing and time.monotonic() > search_deadline_s:
                raise Refusal(
                    ResultCode.WORKER_LOST,
                    f"no worker reports {len(missing)} tasks of job {job.key.text!r} that the dead "
                    f"scheduler {scheduler.member_id!r} may have started",
                )
            gevent.sleep(SEARCH_INTERVAL_MS / 1000)

    def _apply_found_attempts(self, job: Job, scheduler: Member) -> set[int]:
        expected = set(job.tasks_dispatched_to(scheduler.member_id))
        running = set()
        try:
            found = self._find_attempts(job.spec.service, job.key.text)
        except BackEndError:
            self._count("jobs.retry.find_attempts")
            return running
        for item in found:
            index = item.index
            if index not in expected or job.tasks[index].attempt not in ("", item.attempt):
                continue
            if item.state == "running":
                running.add(index)
            elif not item.ok:
                raise Refusal(
                    ResultCode.TASK_FAILED, f"task {index} of job {job.key.text!r} failed"
                )
            else:
                job.complete_task(index, "", item.answer or "")
        return running

    def _sleep_before_retry(self, job: Job) -> None:
        """Sleep until the next try, or raise a refusal if the job has ended meanwhile."""
        if not job.is_open:
            raise Refusal(ResultCode.DEADLINE_PASSED)
        gevent.sleep(RETRY_INTERVAL_MS / 1000)
