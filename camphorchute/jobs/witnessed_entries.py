"""The ledger's entries of an owner's jobs: what witnesses must know before tasks are dispatched."""

import itertools
from collections.abc import Callable

import gevent

from camphorchute.contracts import JobKey, Refusal
from camphorchute.contracts.messages import DispatchRecord, KeyEntry, KeyOwner, Reach
from camphorchute.jobs.job import Job
from camphorchute.jobs.key_checks import KeyChecks
from camphorchute.zones import Witnessing, ZoneView, add_local_tasks, remove_local_tasks

__all__ = ["WitnessedEntries"]


class WitnessedEntries:
    """Changes the entries of an owner's keys and has witnesses acknowledge them.

    Args:
        view: the ownership records.
        witnessing: replicates entries to witnesses.
        checks: makes the refusal of a key that this process does not own.
        count: adds to a named counter.
    """

    __slots__ = ("_view", "_witnessing", "_checks", "_count", "_periods")

    def __init__(
        self,
        view: ZoneView,
        witnessing: Witnessing,
        checks: KeyChecks,
        count: Callable[..., None],
    ) -> None:
        self._view = view
        self._witnessing = witnessing
        self._checks = checks
        self._count = count
        self._periods = itertools.count(1)

    def make_key_owner(self, reach: Reach) -> KeyOwner:
        """Return this process as an owner, with the number of a new period.

        Args:
            reach: the schedulers that it may dispatch tasks to.
        """
        member = self._view.member
        return KeyOwner(member.member_id, member.host, reach, next(self._periods))

    def acknowledge(self, key: JobKey, entries: list[KeyEntry]) -> None:
        """Return once a witness has acknowledged the entries under the current term.

        Without entries this proves that no other process can have accepted the key so far: a new
        owner recovers a shard only after every witness of the earlier term refuses that term.

        Args:
            key: the key.
            entries: the entries of the key, none or one.

        Raises:
            Refusal: this process does not own the key any more, or no witness acknowledged.
        """
        term = self._view.owned_term(key.shard)
        if term is None:
            raise self._checks.not_owner_refusal(key)
        self._witnessing.acknowledge(term, key.shard, entries)
        if self._view.owned_term(key.shard) is None:
            raise self._checks.not_owner_refusal(key)

    def add_reach(self, job: Job, reach: Reach) -> None:
        """Have witnesses record a reach within which this owner may dispatch tasks of the job.

        Args:
            job: the job.
            reach: the schedulers that this owner may dispatch tasks to.

        Raises:
            Refusal: as from :meth:`acknowledge`.
        """
        owner = self.make_key_owner(reach)
        job.known_owners.append(owner)
        job.entry.owners.append(owner)
        self.acknowledge(job.key, [job.entry])
        job.reach = reach

    def add_local_tasks(self, job: Job, indices: list[int]) -> None:
        """Have witnesses record tasks that are about to be dispatched beyond the job's reach.

        Args:
            job: the job.
            indices: indices of the tasks.

        Raises:
            Refusal: as from :meth:`acknowledge`.
        """
        term = self._view.owned_term(job.key.shard)
        if term is None:
            raise self._checks.not_owner_refusal(job.key)
        add_local_tasks(job.entry, term.number, indices)
        self.acknowledge(job.key, [job.entry])

    def remove_returned_tasks(self, job: Job, indices: list[int]) -> None:
        """Record that tasks beyond the job's reach were returned, so that none counts as started.

        A witness that does not get to know it keeps the earlier list, which is only longer.

        Args:
            job: the job.
            indices: indices of the tasks that were returned.
        """
        term = self._view.owned_term(job.key.shard)
        if term is not None and remove_local_tasks(job.entry, term.number, indices):
            gevent.spawn(self._acknowledge_returned_tasks, job)

    def record_dispatched_tasks(self, job: Job) -> None:
        """Record in the key's entry which tasks of a job may have been started, and where.

        The job closes in the same step. A later owner of the key may be in the entry already; the
        record does not comprise it. The new owner gets the entry with its fence. Without a record
        it must assume that any scheduler which has gone started the tasks that no other one holds.

        Args:
            job: the job, which is open still.
        """
        are_numbered = all(owner.period for owner in job.known_owners)
        if job.is_recovered and are_numbered:
            job.entry.record = DispatchRecord(list(job.known_owners), job.dispatched_tasks())

    def _acknowledge_returned_tasks(self, job: Job) -> None:
        try:
            self.acknowledge(job.key, [job.entry])
        except Refusal as refusal:
            self._count(f"jobs.returned_local_{refusal.code.name.lower()}")
