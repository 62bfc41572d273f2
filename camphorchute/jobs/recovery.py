"""Find out what became of tasks whose owner or home was lost."""

import time
from collections.abc import Callable

import gevent

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.member import Member
from camphorchute.contracts.messages import FindTasks, FoundTasks, KeyEntry, KeyOwner, Reach
from camphorchute.jobs.job import Job
from camphorchute.links import LinkLost, Peers
from camphorchute.workers.back_end import BackEndError, FoundAttempt
from camphorchute.zones import Deaths, ZoneView

__all__ = ["Recovery", "may_have_been_handed"]

FIND_TIMEOUT_MS = 1500.0
RETRY_MS = 150.0
SEARCH_MS = 250.0
SEARCH_PATIENCE_MS = 3000.0


def may_have_been_handed(member: Member, entry: KeyEntry, tasks: int) -> set[int]:
    """Return the tasks of a job that its owners may have handed to a member.

    Args:
        member: a home.
        entry: the accepted key.
        tasks: how many tasks the job has.

    Examples:
        >>> m = Member("m", "north", "vm1", "", "127.0.0.1:1", "127.0.0.1:2")
        >>> near = KeyOwner("o", "vm1", Reach.OTHER_HOSTS)
        >>> may_have_been_handed(m, KeyEntry("k", 0, b"", 0, [near], local=[1]), 3)
        {1}
        >>> far = KeyOwner("o", "vm2", Reach.OTHER_HOSTS)
        >>> may_have_been_handed(m, KeyEntry("k", 0, b"", 0, [far]), 3)
        {0, 1, 2}
    """
    if entry.uncertain or any(_is_within_reach(member, owner) for owner in entry.owners):
        return set(range(tasks))
    return set(entry.local)


def _is_within_reach(member: Member, owner: KeyOwner) -> bool:
    if owner.reach is Reach.OTHER_PROCESSES:
        return owner.member_id != member.member_id
    return owner.reach is Reach.ANY or owner.host != member.host


class Recovery:
    """Asks homes, and workers where a home is dead.

    Args:
        view: the ownership records.
        peers: links to the homes.
        deaths: which processes are proved dead.
        find: asks every worker of a service for the attempts of a job.
        count: adds to a named counter.
    """

    __slots__ = ("_view", "_peers", "_deaths", "_find", "_count")

    def __init__(
        self,
        view: ZoneView,
        peers: Peers,
        deaths: Deaths,
        find: Callable[[str, str], list[FoundAttempt]],
        count: Callable[..., None],
    ) -> None:
        self._view = view
        self._peers = peers
        self._deaths = deaths
        self._find = find
        self._count = count

    def from_earlier_owners(self, job: Job) -> list[int]:
        """Gather what earlier owners of a job handed on; return the tasks never started.

        Raises:
            Refusal: the job cannot be completed; its code says how it must end.
        """
        homes = self._homes_of(job)
        dead: list[Member] = []
        while homes:
            homes = [home for home in homes if not self._ask(job, home)]
            dead += [home for home in homes if self._deaths.is_dead(home)]
            homes = [home for home in homes if home not in dead]
            if homes:
                self._pause(job)
        if dead and job.is_open:
            self._search_for_dead(job, dead)
        return job.waiting()

    def _search_for_dead(self, job: Job, dead: list[Member]) -> None:
        """Look at the workers for the tasks that dead homes may have started."""
        self._count("jobs.recovery.home_dead", len(dead))
        unsure: set[int] = set()
        for home in dead:
            unsure |= may_have_been_handed(home, job.entry, len(job.tasks))
        for index in job.waiting():
            if index in unsure:
                job.adopt(index, dead[0].member_id)
        self._search_workers(job, dead[0])

    def from_home(self, job: Job, home: Member) -> list[int]:
        """Gather what a home, whose link was lost, holds of a job; return the tasks to place.

        Raises:
            Refusal: the job cannot be completed.
        """
        while job.handed_to(home.member_id) and job.is_open:
            if self._deaths.is_dead(home):
                self._search_workers(job, home)
                return []
            attempts = {i: job.tasks[i].attempt for i in job.handed_to(home.member_id)}
            found = self._ask(job, home, list(attempts.values()))
            if found:
                return self._never_started(job, attempts, found)
            self._pause(job)
        return []

    def _homes_of(self, job: Job) -> list[Member]:
        record = self._view.record
        members = [*record.members, *(d.member for d in record.departed)]
        tasks = len(job.tasks)
        return [m for m in members if may_have_been_handed(m, job.entry, tasks)]

    def _ask(self, job: Job, home: Member, attempts: list[str] | None = None) -> FoundTasks | None:
        term = self._view.owned_term(job.key.shard)
        if term is None:
            raise Refusal(ResultCode.NOT_OWNER, f"shard {job.key.shard} has another owner")
        message = FindTasks(
            job.key.text,
            job.key.shard,
            term.number,
            self._view.member.member_id,
            job.pool,
            attempts or [],
        )
        try:
            found = self._peers.request(home, message, FIND_TIMEOUT_MS)
        except LinkLost:
            self._count("jobs.retry.find_tasks")
            return None
        except Refusal as refusal:
            self._view.learn(refusal)
            raise
        self._take_in(job, home, found)
        return found

    def _take_in(self, job: Job, home: Member, found: FoundTasks) -> None:
        for index in found.running:
            job.adopt(index, home.member_id)
        for outcome in found.ended:
            if outcome.code != ResultCode.COMPLETE:
                job.adopt(outcome.index, home.member_id)
                raise Refusal(ResultCode(outcome.code), outcome.detail)
            job.adopt(outcome.index, home.member_id)
            job.end(outcome.index, "", outcome.answer)

    def _never_started(self, job: Job, attempts: dict[int, str], found: FoundTasks) -> list[int]:
        """Take back the attempts that the home does not know and has promised not to start."""
        known = {*found.running, *(outcome.index for outcome in found.ended)}
        unknown = [(i, attempt) for i, attempt in attempts.items() if i not in known]
        lost = [i for i, attempt in unknown if attempt and job.take_back(i, attempt)]
        self._count("jobs.retry.hand_off_lost", len(lost))
        return lost

    def _search_workers(self, job: Job, home: Member) -> None:
        """Complete the tasks of a dead home from what the workers know of them."""
        unseen_until_s = time.monotonic() + SEARCH_PATIENCE_MS / 1000
        while job.is_open and job.handed_to(home.member_id):
            running = self._take_in_attempts(job, home)
            missing = [i for i in job.handed_to(home.member_id) if i not in running]
            if missing and time.monotonic() > unseen_until_s:
                raise Refusal(
                    ResultCode.WORKER_LOST,
                    f"no worker knows {len(missing)} tasks that a dead home may have started",
                )
            gevent.sleep(SEARCH_MS / 1000)

    def _take_in_attempts(self, job: Job, home: Member) -> set[int]:
        searched = set(job.handed_to(home.member_id))
        running = set()
        try:
            found = self._find(job.spec.service, job.key.text)
        except BackEndError:
            self._count("jobs.retry.find_attempts")
            return running
        for item in found:
            index = item.index
            if index not in searched or job.tasks[index].attempt not in ("", item.attempt):
                continue
            if item.state == "running":
                running.add(index)
            elif not item.ok:
                raise Refusal(ResultCode.TASK_FAILED, f"task {index} failed")
            else:
                job.end(index, "", item.answer or "")
        return running

    def _pause(self, job: Job) -> None:
        if not job.is_open:
            raise Refusal(ResultCode.DEADLINE_PASSED)
        gevent.sleep(RETRY_MS / 1000)
