"""Group membership: adds and removes the workers of a group as service discovery lists them."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent

from camphorchute.contracts.run_messages import TaskResultKind
from camphorchute.hosting import WorkerEntry
from camphorchute.runs.leased_worker import LeasedWorker
from camphorchute.runs.run import EndEvidence, Run
from camphorchute.runs.worker_group import WorkerGroup

if TYPE_CHECKING:
    from camphorchute.runs.group_scheduler import GroupScheduler

__all__ = ["GroupMembership"]

UNSYNCED_WORKER_KEEP_MS = 10_000.0
HAND_ON_AFTER_MS = 100.0  # two processes may see the groups differently for a while
MS_PER_S = 1000.0


class GroupMembership:
    """Workers of the groups of one scheduler, and what becomes of their runs when they leave.

    Args:
        scheduler: the scheduler, which learns what became of the runs.
        open_worker: returns a started worker of a group for its entry.
        count: adds to a named counter.
    """

    __slots__ = ("_scheduler", "_open_worker", "_count", "_group_by_worker")

    def __init__(
        self,
        scheduler: GroupScheduler,
        open_worker: Callable[[WorkerGroup, WorkerEntry], LeasedWorker],
        count: Callable[..., None],
    ) -> None:
        self._scheduler = scheduler
        self._open_worker = open_worker
        self._count = count
        self._group_by_worker: dict[str, str] = {}

    def set_workers(
        self,
        group: WorkerGroup,
        entries: dict[str, WorkerEntry],
        group_by_worker: dict[str, str] | None,
    ) -> None:
        """Set the workers of a group.

        Args:
            group: the group.
            entries: entries of its workers in service discovery, by worker id.
            group_by_worker: the groups of all workers, by worker id, to distinguish workers that
                moved to another group from those that left.
        """
        self._group_by_worker = group_by_worker or {}
        has_changed = False
        for worker_id, worker in list(group.workers.items()):
            entry = entries.get(worker_id)
            if entry is not None and entry.is_same_incarnation(worker.entry):
                has_changed |= entry.capacity != worker.entry.capacity
                worker.update_entry(entry)
                continue
            if entry is None and worker_id in self._group_by_worker:
                self._release_worker(group, worker)
                continue
            if entry is not None:
                self._replace_worker(group, worker, entry)
                continue
            worker.mark_unlisted()
            if worker.synced or worker.unlisted_ms() > UNSYNCED_WORKER_KEEP_MS:
                self._remove_worker(group, worker)
        for worker_id, entry in entries.items():
            if worker_id not in group.workers:
                group.workers[worker_id] = self._open_worker(group, entry)
        if has_changed:
            self._record_capacity_change()

    def update_entry(self, group: WorkerGroup, entry: WorkerEntry) -> None:
        """Replace the entry of a worker of a group by a newer one of the same incarnation.

        Args:
            group: the group.
            entry: the entry; that of any other worker or incarnation waits for `set_workers`.
        """
        worker = group.workers.get(entry.worker_id)
        if worker is None or not entry.is_same_incarnation(worker.entry):
            return
        has_changed = entry.capacity != worker.entry.capacity
        worker.update_entry(entry)
        if has_changed:
            self._record_capacity_change()

    def hand_on_tasks(self, group: WorkerGroup, now_s: float) -> None:
        """Return the tasks whose earlier run is on a worker of another group to their owners.

        The scheduler of that group can ask the worker.

        Args:
            group: the group with the tasks.
            now_s: time of the monotonic clock in seconds.
        """
        for task in list(group.backlog):
            worker_id, number = self._scheduler.earlier_run_of(task)
            listed_group = self._group_by_worker.get(worker_id, group.name)
            is_elsewhere = listed_group != group.name and worker_id not in group.workers
            if is_elsewhere and (now_s - task.may_run_since_s) * MS_PER_S > HAND_ON_AFTER_MS:
                group.backlog.remove(task)
                self._count("runs.retry.worker_in_other_group")
                self._scheduler.finish_task(
                    task,
                    number,
                    TaskResultKind.MAY_RUN,
                    worker_id,
                    listed_group,
                    task.last_place,
                )

    def _record_capacity_change(self) -> None:
        self._count("runs.capacity_changed")
        self._scheduler.on_capacity_changed()

    def _release_worker(self, group: WorkerGroup, worker: LeasedWorker) -> None:
        """Leave a worker and its runs to the scheduler of the group that it moved to."""
        del group.workers[worker.entry.worker_id]
        worker.close()
        self._count("runs.worker_moved")
        for run in worker.take_all_runs():
            self._report_moved_run(worker, run)

    def _replace_worker(self, group: WorkerGroup, worker: LeasedWorker, entry: WorkerEntry) -> None:
        """Replace a worker by its next incarnation, which lists the runs that it has or bars them.

        A start command under way may reach that incarnation; any other run has ended.
        """
        worker.close()
        group.workers[entry.worker_id] = self._open_worker(group, entry)
        for run in list(worker.runs.values()):
            if run.was_listed:
                worker.record_end(run)
            worker.leave_unresolved(run)

    def _remove_worker(self, group: WorkerGroup, worker: LeasedWorker) -> None:
        """Remove a worker that left; its runs may continue until their leases expire."""
        del group.workers[worker.entry.worker_id]
        worker.close()
        if worker.runs:
            gevent.spawn(self._end_runs, group.name, worker)

    def _end_runs(self, group_name: str, worker: LeasedWorker) -> None:
        """End the runs of a removed worker once their leases have expired.

        A poll that was under way when it was removed may renew them. If the worker came back, or
        another scheduler may have it now, its runs may still be active.

        Args:
            group_name: the group that the worker belonged to.
            worker: the removed worker.
        """
        while worker.leases.remaining_ms() > 0:
            gevent.sleep(worker.leases.remaining_ms() / MS_PER_S)
        group = self._scheduler.group(group_name)
        worker_id = worker.entry.worker_id
        is_back = group is not None and worker_id in group.workers
        for run in list(worker.runs.values()):
            if group is None or (is_back and not run.task.is_durable):
                worker.leave_unresolved(run)
            elif worker_id in self._group_by_worker and not is_back:
                if worker.take_run(run):
                    self._report_moved_run(worker, run)
            else:
                worker.end_lost_run(run, EndEvidence.WORKER_REMOVED)

    def _report_moved_run(self, worker: LeasedWorker, run: Run) -> None:
        """Report a run that may be active on a worker of another group now."""
        worker_id = worker.entry.worker_id
        new_group = self._group_by_worker[worker_id]
        self._scheduler.finish_task(
            run.task, run.number, TaskResultKind.MAY_RUN, worker_id, new_group, run.place()
        )
