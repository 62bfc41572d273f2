"""Run events: what a scheduler does when its workers report on their runs."""

from __future__ import annotations

import time
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

import gevent

from camphorchute.contracts.run_messages import TaskResultKind
from camphorchute.contracts.start_messages import KnownStart
from camphorchute.decision_log import log_decision
from camphorchute.hosting import RunOutcome
from camphorchute.runs.leased_worker import LeasedWorker
from camphorchute.runs.open_tasks import OpenTasks
from camphorchute.runs.owner_fields import owner_fields
from camphorchute.runs.run import PendingTask, Run
from camphorchute.runs.run_supervisor import RunSupervisor
from camphorchute.runs.worker_group import WorkerGroup

if TYPE_CHECKING:
    from camphorchute.runs.group_scheduler import GroupScheduler

__all__ = ["RunEvents"]


class RunEvents:
    """The listener of workers of one group, see :class:`RunListener`.

    A run that is reported was taken from its worker, so each report decides about its task once.

    Args:
        scheduler: the scheduler.
        group: the group.
        open_tasks: the tasks that it has not returned.
        supervisor: learns from the ends of runs.
        count: adds to a named counter.
    """

    __slots__ = ("_scheduler", "_group", "_open_tasks", "_supervisor", "_count")

    def __init__(
        self,
        scheduler: GroupScheduler,
        group: WorkerGroup,
        open_tasks: OpenTasks,
        supervisor: RunSupervisor,
        count: Callable[..., None],
    ) -> None:
        self._scheduler = scheduler
        self._group = group
        self._open_tasks = open_tasks
        self._supervisor = supervisor
        self._count = count

    def run_ended(self, worker: LeasedWorker, run: Run, outcome: RunOutcome) -> None:
        """Report the result to the owner, or requeue the task."""
        self._count(f"runs.ended.{outcome.name.lower()}")
        self._supervisor.record_end(worker, run, outcome, self._workers_beside(worker))
        if outcome is not RunOutcome.DONE:
            _log_run_not_done(worker, run, outcome)
        task = run.task
        if task not in self._open_tasks:
            return
        if outcome is RunOutcome.LEASE_EXPIRED and _is_lost_with_worker(worker, run):
            self._count("runs.lost_with_worker")
            if task.is_durable:
                self._scheduler.durable_tasks.record_lost_run(task.name, task.group, run.place())
            if not task.orphaned:
                self._scheduler.finish_task(
                    task, run.number, TaskResultKind.WORKER_LOST, place=run.place()
                )
                return
        result = _result_of(task, outcome, worker.is_bound(run))
        if result is not None:
            is_known_worker = outcome in (RunOutcome.DONE, RunOutcome.FAILED)
            worker_id = worker.entry.worker_id if is_known_worker else ""
            self._scheduler.finish_task(task, run.number, result, worker_id)
            return
        task.failures += outcome is RunOutcome.FAILED
        task.avoided_worker_id = worker.entry.worker_id
        task.start_by_s = task.finish_by_s
        self._scheduler.requeue(task)

    def start_refused(self, worker: LeasedWorker, run: Run, reason: str) -> None:
        """Requeue a task that a worker has not started."""
        log_decision(
            "runs",
            "run not started",
            task=run.task.name,
            run=run.number,
            worker=worker.entry.worker_id,
            reason=reason,
        )
        if run.task not in self._open_tasks:
            return
        if run.task.cancelled:
            self._scheduler.finish_task(run.task, run.number, TaskResultKind.NOT_STARTED)
        else:
            self._scheduler.requeue(run.task)

    def run_unresolved(self, worker: LeasedWorker, run: Run) -> None:
        """Requeue a task whose run its worker must list or rule out before it starts again."""
        self._count("runs.unresolved")
        worker_id, task = worker.entry.worker_id, run.task
        log_decision("runs", "run unresolved", task=task.name, run=run.number, worker=worker_id)
        if task not in self._open_tasks:
            return
        group = self._scheduler.group(task.group)
        if group is None or task.cancelled:
            self._scheduler.finish_task(
                task, run.number, TaskResultKind.MAY_RUN, worker_id, place=run.place()
            )
            return
        task.mark_may_run(worker_id, time.monotonic(), run.place())
        task.start_by_s = task.finish_by_s
        if not group.adopt_run(task):
            self._scheduler.requeue(task)

    def run_adopted(self, worker: LeasedWorker, run: Run) -> None:
        """Announce a run whose earlier scheduler may have the witnesses forget it."""
        self._scheduler.start_announcements.announce(
            [run.task], self._group.service, are_started=True
        )

    def start_unanswered(self, worker: LeasedWorker, run: Run) -> None:
        """Have the witnesses remember for longer a run whose start command is sent again."""
        if run.task.run is run:
            self._scheduler.start_announcements.renew(run.task, self._group.service)

    def run_found_elsewhere(self, worker: LeasedWorker, run: Run, known: KnownStart) -> None:
        """Leave a task to the group of the worker where another scheduler may have started it."""
        task = run.task
        log_decision(
            "runs",
            "task may run elsewhere",
            task=task.name,
            run=run.number,
            worker=worker.entry.worker_id,
            known_run=known.run,
            known_worker=known.worker_id,
            remaining_ms=round(known.remaining_ms),
        )
        if task not in self._open_tasks:
            return
        group = self._scheduler.group(task.group)
        if group is None or task.cancelled or known.worker_id not in group.workers:
            self._scheduler.finish_task(
                task, known.run, TaskResultKind.MAY_RUN, known.worker_id, known.group
            )
            return
        task.next_run = max(task.next_run, known.run + 1)
        task.mark_may_run(known.worker_id, time.monotonic(), None)
        if not group.adopt_run(task):
            self._scheduler.requeue(task)

    def end_unproved(self, worker: LeasedWorker, run: Run) -> None:
        """Tell the other schedulers of a run that may go on; its job may be sent again."""
        self._scheduler.binding_exchange.add_job(run.task.message.job_id)

    def worker_changed(self, worker: LeasedWorker, is_usable_now: bool = False) -> None:
        """Adopt and place tasks after a poll of a worker, and have new capacity reported."""
        if is_usable_now:
            self._scheduler.on_capacity_changed()
        group = self._group_with(worker)
        if group is not None and group.backlog:
            group.adopt_pending()
            self._scheduler.place_pending(group)

    def fence_superseded(self, worker: LeasedWorker) -> None:
        """Mark the worker's group so that its claim is checked.

        Once most of the workers have rejected the fencing token, another process schedules the
        group, perhaps unknown to this one while it cannot reach the store. The group is then
        suspended until its claim is acquired again. The other workers are asked, idle ones too.
        """
        group = self._group_with(worker)
        if group is not None:
            self._scheduler.superseded_groups.add(group.name)
            group.rejecting_worker_ids.add(worker.entry.worker_id)
            if 2 * len(group.rejecting_worker_ids) > len(group.workers):
                gevent.spawn(self._suspend_group, group)
                return
            for other in group.workers.values():
                if other.entry.worker_id not in group.rejecting_worker_ids:
                    other.request_poll()

    def _suspend_group(self, group: WorkerGroup) -> None:
        """Return the tasks of a group that another process schedules, and report it no more."""
        if self._scheduler.group(group.name) is not group:
            return
        self._count("runs.group_suspended")
        log_decision("runs", "group is suspended", group=group.name, fence=group.fence)
        self._scheduler.release_group(group.name)
        self._scheduler.superseded_groups.add(group.name)

    def _workers_beside(self, worker: LeasedWorker) -> Collection[LeasedWorker]:
        """Return the workers of the group of a worker."""
        group = self._group_with(worker)
        return [worker] if group is None else group.workers.values()

    def _group_with(self, worker: LeasedWorker) -> WorkerGroup | None:
        """Return the group of a worker, None if one of them was removed."""
        group = self._group
        is_held = self._scheduler.group(group.name) is group
        return group if is_held and group.workers.get(worker.entry.worker_id) is worker else None


def _result_of(task: PendingTask, outcome: RunOutcome, is_bound: bool) -> TaskResultKind | None:
    """Return the result of a task after a run, None if it is to run again.

    Args:
        task: the task.
        outcome: how the run ended.
        is_bound: whether a start command for it may still arrive, so that it stays here.
    """
    if outcome is RunOutcome.DONE:
        return TaskResultKind.DONE
    if task.is_durable and outcome is RunOutcome.FAILED:
        return TaskResultKind.FAILED
    is_lost = outcome is RunOutcome.LEASE_EXPIRED and not (is_bound or task.orphaned)
    if task.is_durable and is_lost:
        return TaskResultKind.NOT_FOUND
    if task.cancelled or task.orphaned:
        return TaskResultKind.NOT_STARTED
    if outcome is RunOutcome.FAILED and task.failures + 1 >= task.message.limits.max_attempts:
        return TaskResultKind.FAILED
    return None


def _is_lost_with_worker(worker: LeasedWorker, run: Run) -> bool:
    """Return whether the owner of a task has to know that its worker was lost.

    A worker that was draining has left as planned.
    """
    is_unplanned = not run.task.cancelled and not worker.entry.is_draining
    return is_unplanned and run.end_evidence.is_of_lost_worker


def _log_run_not_done(worker: LeasedWorker, run: Run, outcome: RunOutcome) -> None:
    log_decision(
        "runs",
        "run not done",
        task=run.task.name,
        run=run.number,
        worker=worker.entry.worker_id,
        how=outcome.value,
        evidence=run.end_evidence.value,
        incarnation=worker.entry.incarnation,
        alone=run.was_alone,
        failures=run.task.failures,
        ordered_stop=run.stop_requested,
        **owner_fields(run.task, worker.owner_contacts),
    )
