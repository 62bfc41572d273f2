"""Scheduler of worker groups: the one process that places and starts their tasks."""

import time
from bisect import insort
from collections import defaultdict
from collections.abc import Callable

import gevent

from camphorchute.contracts.member import Member
from camphorchute.contracts.resources import Resources
from camphorchute.contracts.run_messages import (
    GroupFreeCapacity,
    StartTasks,
    StopTasks,
    TaskResult,
    TaskResultKind,
    TasksFinished,
    WorkerFreeCapacity,
)
from camphorchute.decision_log import log_decision
from camphorchute.hosting import RunOutcome, WorkerClient, WorkerEntry
from camphorchute.links import handles
from camphorchute.loops import spawn_loop
from camphorchute.runs.durable_tasks import DurableTasks
from camphorchute.runs.earlier_run import EarlierRun
from camphorchute.runs.leased_worker import LeasedWorker
from camphorchute.runs.placement import rank_worker
from camphorchute.runs.run import PendingTask, Run

__all__ = ["GroupScheduler"]

SWEEP_INTERVAL_MS = 20.0
RESULT_BATCH_DELAY_MS = 1.0
UNSYNCED_WORKER_KEEP_MS = 10_000.0
UNKNOWN_LEASES_EXPIRY_MS = 1900.0  # a lease and the time for which orphans are kept
MS_PER_S = 1000.0


class _Group:
    """A worker group that this process schedules.

    Attributes:
        name: name of the group.
        service: the service that its workers belong to.
        fence: fencing token of the group's claim.
        workers: its workers by id.
    """

    __slots__ = ("name", "service", "fence", "workers")

    def __init__(self, name: str, service: str, fence: int) -> None:
        self.name = name
        self.service = service
        self.fence = fence
        self.workers: dict[str, LeasedWorker] = {}


class GroupScheduler:
    """Places the tasks that owners dispatch to it on the workers of its groups.

    Args:
        open_worker_client: returns a client of a worker.
        notify: sends a one-way message to an owner; returns whether it could be sent.
        count: adds to a named counter.

    Attributes:
        superseded_groups: groups with a worker that has seen a higher fencing token.
        on_capacity_changed: called when the free capacity has changed.
        may_discard_completions: returns whether completions that no task has claimed may be
            acknowledged after a while.
        is_durable_job: returns whether the job with an id may be durable.
        durable_tasks: handles the messages of shard owners about durable jobs.
    """

    def __init__(
        self,
        open_worker_client: Callable[[WorkerEntry], WorkerClient],
        notify: Callable[[str, TasksFinished], bool],
        count: Callable[..., None],
    ) -> None:
        self.superseded_groups: set[str] = set()
        self.on_capacity_changed: Callable[[], None] = lambda: None
        self.may_discard_completions: Callable[[], bool] = lambda: True
        self.is_durable_job: Callable[[str], bool] = lambda job_id: True
        self._open_worker_client = open_worker_client
        self._notify = notify
        self._count = count
        self._groups: dict[str, _Group] = {}
        self._backlogs: dict[str, list[PendingTask]] = defaultdict(list)
        self.durable_tasks = DurableTasks(self._workers, lambda group: self._backlogs[group], count)
        self._tasks_by_job: dict[str, dict[str, PendingTask]] = defaultdict(dict)
        self._unsent_results: dict[tuple[str, str], list[TaskResult]] = {}
        self._arrival_count = 0
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to return expired tasks to their owners."""
        self._greenlet = spawn_loop("runs", self._sweep_loop, self._count)

    def close(self) -> None:
        """Release every group and send the pending results."""
        for name in list(self._groups):
            self.release_group(name)
        self._send_results()
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def groups(self) -> list[str]:
        """Return the names of the groups that this process schedules."""
        return list(self._groups)

    def acquire_group(self, name: str, service: str, fence: int) -> None:
        """Become the scheduler of a group, or continue with a higher fencing token.

        Args:
            name: name of the group.
            service: the service that its workers belong to.
            fence: fencing token of the claim.
        """
        self.superseded_groups.discard(name)
        group = self._groups.get(name)
        if group is None:
            self._groups[name] = _Group(name, service, fence)
            return
        group.fence = fence
        for worker in group.workers.values():
            worker.refresh_fence()

    def release_group(self, name: str) -> None:
        """Stop scheduling a group and return its tasks to their owners."""
        self.superseded_groups.discard(name)
        group = self._groups.pop(name, None)
        if group is None:
            return
        for task in self._backlogs.pop(name, []):
            self._return_task(task)
        for worker in group.workers.values():
            for run in list(worker.runs.values()):
                worker_id = worker.entry.worker_id
                self._finish_task(run.task, run.number, TaskResultKind.MAY_RUN, worker_id)
            worker.close()
        self.on_capacity_changed()

    def set_workers(
        self,
        name: str,
        entries: dict[str, WorkerEntry],
        group_by_worker: dict[str, str] | None = None,
    ) -> None:
        """Set the workers of a group; does nothing if this process does not schedule it.

        Args:
            name: the group.
            entries: entries of its workers in service discovery, by worker id.
            group_by_worker: the groups of all workers, by worker id, to distinguish workers that
                moved to another group from those that left.
        """
        group = self._groups.get(name)
        if group is None:
            return
        for worker_id, worker in list(group.workers.items()):
            entry = entries.get(worker_id)
            if entry is not None and entry.is_same_incarnation(worker.entry):
                worker.update_entry(entry)
                continue
            if entry is None and worker_id in (group_by_worker or {}):
                self._release_worker(group, worker, group_by_worker[worker_id])
                continue
            worker.mark_unlisted()
            if entry is not None or worker.synced or worker.unlisted_ms() > UNSYNCED_WORKER_KEEP_MS:
                self._remove_worker(group, worker)
        for worker_id, entry in entries.items():
            if worker_id not in group.workers:
                self._add_worker(group, entry)

    def free_capacity_report(self) -> list[GroupFreeCapacity]:
        """Return the free capacity and the backlog of each group."""
        now_s = time.monotonic()
        return [self._free_capacity_of(group, now_s) for group in self._groups.values()]

    def drop_owner(self, owner_id: str) -> None:
        """Stop the tasks of an owner to which no link is left.

        Runs of durable jobs continue: another process will adopt them.
        """
        for tasks in list(self._tasks_by_job.values()):
            for task in list(tasks.values()):
                if task.owner_id != owner_id:
                    continue
                self._count("runs.owner_lost")
                if task.is_durable:
                    self._orphan_task(task)
                else:
                    self._stop_task(task)

    @handles(StartTasks, nonblocking=True)
    def start_tasks(self, peer: Member, message: StartTasks) -> None:
        """Accept tasks and start those that the free capacity suffices for."""
        if self.durable_tasks.is_superseded(message.term):
            return
        group = self._groups.get(message.group)
        now_s = time.monotonic()
        for command in message.tasks:
            self._arrival_count += 1
            task = PendingTask(peer.member_id, message, command, now_s, self._arrival_count)
            if group is None:
                self._count("runs.not_home")
                self._finish_task(task, command.run - 1, _outcome_without_group(task))
            else:
                self._accept_task(group, task)
        if group is not None:
            self._place_pending(group)
            if message.hand_back_full:
                self._return_unplaced(group, message)

    @handles(StopTasks, nonblocking=True)
    def stop_tasks(self, peer: Member, message: StopTasks) -> None:
        """Return the pending tasks of a job to its owner and stop its active runs."""
        if self.durable_tasks.is_superseded(message.term):
            return
        for task in list(self._tasks_by_job.get(message.job_id, {}).values()):
            if task.owner_id == peer.member_id or task.is_durable:
                self._stop_task(task)

    def run_ended(self, worker: LeasedWorker, run: Run, outcome: RunOutcome) -> None:
        """Report the result to the owner, or requeue the task."""
        task = run.task
        self._count(f"runs.ended.{outcome.name.lower()}")
        if outcome is not RunOutcome.DONE:
            log_decision(
                "runs",
                "run not done",
                task=task.name,
                run=run.number,
                worker=worker.entry.worker_id,
                how=outcome.value,
                failures=task.failures,
                ordered_stop=run.stop_requested,
            )
        if self._tasks_by_job.get(task.message.job_id, {}).get(task.name) is not task:
            return
        worker_id = worker.entry.worker_id
        if outcome is RunOutcome.DONE:
            self._finish_task(task, run.number, TaskResultKind.DONE, worker_id)
        elif task.is_durable and outcome is RunOutcome.FAILED:
            self._finish_task(task, run.number, TaskResultKind.FAILED, worker_id)
        elif task.is_durable and outcome is RunOutcome.LEASE_EXPIRED and not task.orphaned:
            self._finish_task(task, run.number, TaskResultKind.NOT_FOUND)
        elif task.cancelled or task.orphaned:
            self._finish_task(task, run.number, TaskResultKind.NOT_STARTED)
        elif outcome is RunOutcome.FAILED and task.failures + 1 >= task.message.limits.max_attempts:
            self._finish_task(task, run.number, TaskResultKind.FAILED)
        else:
            task.failures += outcome is RunOutcome.FAILED
            task.avoided_worker_id = worker_id
            task.start_by_s = task.finish_by_s
            self._requeue(task)

    def start_refused(self, worker: LeasedWorker, run: Run, reason: str) -> None:
        """Requeue a task that a worker has not started."""
        if run.task.cancelled:
            self._finish_task(run.task, run.number, TaskResultKind.NOT_STARTED)
        elif self._tasks_by_job.get(run.task.message.job_id, {}).get(run.task.name) is run.task:
            self._requeue(run.task)

    def worker_changed(self, worker: LeasedWorker) -> None:
        """Adopt and place tasks after a poll of a worker."""
        for group in list(self._groups.values()):
            if group.workers.get(worker.entry.worker_id) is worker:
                self._adopt_pending(group)
                self._place_pending(group)

    def fence_superseded(self, worker: LeasedWorker) -> None:
        """Mark the worker's group so that its claim is checked."""
        for group in self._groups.values():
            if group.workers.get(worker.entry.worker_id) is worker:
                self.superseded_groups.add(group.name)

    def _workers(self) -> dict[str, list[LeasedWorker]]:
        return {group.name: list(group.workers.values()) for group in self._groups.values()}

    def _add_worker(self, group: _Group, entry: WorkerEntry) -> None:
        client = self._open_worker_client(entry)
        worker = LeasedWorker(entry, client, lambda: group.fence, self, self._count)
        worker.may_discard_completions = lambda: self.may_discard_completions()
        worker.is_durable_job = lambda job_id: self.is_durable_job(job_id)
        group.workers[entry.worker_id] = worker
        worker.start()

    def _release_worker(self, group: _Group, worker: LeasedWorker, new_group: str) -> None:
        """Leave a worker and its runs to the scheduler of the group that it moved to."""
        del group.workers[worker.entry.worker_id]
        worker.close()
        self._count("runs.worker_moved")
        for run in list(worker.runs.values()):
            worker_id = worker.entry.worker_id
            self._finish_task(run.task, run.number, TaskResultKind.MAY_RUN, worker_id, new_group)

    def _remove_worker(self, group: _Group, worker: LeasedWorker) -> None:
        """Remove a worker that left; its runs may continue until their leases expire."""
        del group.workers[worker.entry.worker_id]
        worker.close()
        if worker.runs:
            wait_s = max(0.0, worker.lease_expiry_s - time.monotonic())
            gevent.spawn_later(wait_s, self._end_runs, group.name, worker)

    def _end_runs(self, group_name: str, worker: LeasedWorker) -> None:
        """End the runs of a removed worker whose leases have expired.

        If the worker came back, or another scheduler may have it now, its runs may still be active.

        Args:
            group_name: the group that the worker belonged to.
            worker: the removed worker.
        """
        group = self._groups.get(group_name)
        worker_id = worker.entry.worker_id
        for run in list(worker.runs.values()):
            del worker.runs[run.task.name]
            if group is None:
                self._finish_task(run.task, run.number, TaskResultKind.MAY_RUN, worker_id)
            elif worker_id in group.workers and not run.task.is_durable:
                run.task.may_run, run.task.worker_id = True, worker_id
                if not self._adopt_run(group, run.task):
                    self._requeue(run.task)
            else:
                self.run_ended(worker, run, RunOutcome.LEASE_EXPIRED)

    def _accept_task(self, group: _Group, task: PendingTask) -> None:
        tasks = self._tasks_by_job[task.message.job_id]
        known_task = tasks.get(task.name)
        if known_task is not None:
            self._count("runs.owner_changed")
            known_task.owner_id = task.owner_id
            known_task.message = task.message
            known_task.cancelled = known_task.orphaned = False
            known_task.finish_by_s = task.finish_by_s
            return
        tasks[task.name] = task
        if not self._adopt_run(group, task):
            insort(self._backlogs[group.name], task, key=lambda pending: pending.sort_key)

    def _adopt_run(self, group: _Group, task: PendingTask) -> bool:
        """Adopt a run of a task that an earlier scheduler started; return whether there was one.

        An active run takes precedence over every completion: the task may have been started again
        after a completion that its earlier scheduler had not acknowledged yet. A completion is
        adopted only once the earlier runs are known, and unless the task is durable only if it is
        a success.
        """
        orphaned_runs = [
            (worker.orphans[task.name][0], worker)
            for worker in group.workers.values()
            if task.name in worker.orphans
        ]
        if orphaned_runs:
            number, worker = max(orphaned_runs, key=lambda pair: pair[0])
            worker.adopt_run(task, number)
            return True
        if not task.may_run or not self._are_earlier_runs_known(group, task):
            return False
        for worker in group.workers.values():
            for completion in worker.completions.completions_of(task.name):
                if completion.outcome is RunOutcome.DONE or task.is_durable:
                    worker.adopt_run(task, completion.run, completion.outcome)
                    return True
        return False

    def _are_earlier_runs_known(self, group: _Group, task: PendingTask) -> bool:
        """Whether no earlier run of a task can be active on a worker that was not polled yet.

        If the earlier scheduler named the worker and it is in the group, that worker must have
        ruled the run out: a list of runs from before the report may be older than the start.
        Otherwise every listed worker must have listed its runs, and the leases on workers unknown
        to this scheduler must have expired: the earlier scheduler no longer renews them, because it
        has lost the task's owner or the group, and another one stops runs that nobody asks for.
        """
        worker = group.workers.get(task.worker_id)
        if worker is not None:
            return self._is_earlier_run_ruled_out(worker, task)
        if time.monotonic() - task.arrived_s < UNKNOWN_LEASES_EXPIRY_MS / MS_PER_S:
            return False
        return all(worker.synced or worker.unlisted_ms() > 0 for worker in group.workers.values())

    def _is_earlier_run_ruled_out(self, worker: LeasedWorker, task: PendingTask) -> bool:
        """Return whether a worker has ruled out the last run of a task; ask it the first time."""
        if task.earlier_run is None or task.earlier_run.worker is not worker:
            task.earlier_run = EarlierRun(task.name, task.next_run - 1, worker)
            worker.rule_out(task.earlier_run)
        return task.earlier_run.is_ruled_out

    def _adopt_pending(self, group: _Group) -> None:
        """Adopt earlier runs of pending tasks that may already be running."""
        backlog = self._backlogs[group.name]
        for task in [task for task in backlog if task.may_run]:
            if self._adopt_run(group, task):
                backlog.remove(task)

    def _requeue(self, task: PendingTask) -> None:
        group = self._groups.get(task.message.group)
        if group is None:
            self._return_task(task)
            return
        insort(self._backlogs[group.name], task, key=lambda pending: pending.sort_key)
        gevent.spawn(self._place_pending, group)

    def _return_task(self, task: PendingTask) -> None:
        """Return a pending task to its owner, with whether an earlier run may be active."""
        outcome = TaskResultKind.MAY_RUN if task.may_run else TaskResultKind.NOT_STARTED
        self._finish_task(task, task.next_run - 1, outcome, task.worker_id)

    def _place_pending(self, group: _Group) -> None:
        """Start the pending tasks that fit into the free capacity, the most urgent first."""
        backlog = self._backlogs[group.name]
        now_s = time.monotonic()
        remaining: list[PendingTask] = []
        unplaced_demand: Resources | None = None
        for task in backlog:
            demand = task.message.demand
            has_unknown_run = task.may_run and not self._are_earlier_runs_known(group, task)
            if task.is_durable and task.may_run and not has_unknown_run:
                self._adopt_or_return(group, task)
                continue
            if has_unknown_run or (unplaced_demand and demand.can_hold(unplaced_demand)):
                remaining.append(task)
                continue
            worker = self._choose_worker(group, task, now_s)
            if worker is None:
                unplaced_demand = (
                    demand
                    if unplaced_demand is None or unplaced_demand.can_hold(demand)
                    else unplaced_demand
                )
                remaining.append(task)
            else:
                worker.start_task(task)
        if len(remaining) < len(backlog):
            backlog[:] = remaining
            self.on_capacity_changed()

    def _adopt_or_return(self, group: _Group, task: PendingTask) -> None:
        """Adopt an earlier run of a durable task, or report to its owner that none was found.

        The run's worker may have moved to another group and hold the completion there.
        """
        if not self._adopt_run(group, task):
            self._count("runs.not_found")
            self._finish_task(task, task.next_run - 1, TaskResultKind.NOT_FOUND)

    def _choose_worker(self, group: _Group, task: PendingTask, now_s: float) -> LeasedWorker | None:
        candidates = [worker for worker in group.workers.values() if worker.can_start(task, now_s)]
        if not candidates:
            return None
        message = task.message
        return min(
            candidates,
            key=lambda worker: (
                worker.entry.worker_id == task.avoided_worker_id,
                rank_worker(worker.speed.value, message.estimate_ms, message.limits),
                worker.free_capacity.cpu_millicores,
            ),
        )

    def _orphan_task(self, task: PendingTask) -> None:
        """Let the run of a durable task continue without its owner; return it if it is pending."""
        task.orphaned = True
        backlog = self._backlogs.get(task.message.group, [])
        if task in backlog:
            backlog.remove(task)
            self._return_task(task)

    def _stop_task(self, task: PendingTask) -> None:
        task.cancelled = True
        group = self._groups.get(task.message.group)
        if group is None:
            return
        backlog = self._backlogs[group.name]
        if task in backlog:
            backlog.remove(task)
            self._return_task(task)
            return
        for worker in group.workers.values():
            run = worker.runs.get(task.name)
            if run is not None:
                worker.stop_run(run)

    def _finish_task(
        self,
        task: PendingTask,
        run: int,
        outcome: TaskResultKind,
        worker_id: str = "",
        group: str = "",
    ) -> None:
        """Forget a task and queue its result for its owner.

        Args:
            task: the task.
            run: number of its last run, one below that of its first run if there was none.
            outcome: how it ended.
            worker_id: the worker that it may still run on.
            group: the group that this worker moved to, empty if it did not move.
        """
        job_id = task.message.job_id
        tasks = self._tasks_by_job.get(job_id)
        if tasks is not None and tasks.get(task.name) is task:
            del tasks[task.name]
            if not tasks:
                del self._tasks_by_job[job_id]
        if not self._unsent_results:
            gevent.spawn_later(RESULT_BATCH_DELAY_MS / MS_PER_S, self._send_results)
        result = TaskResult(task.message.step, task.index, run, outcome, worker_id, group)
        self._unsent_results.setdefault((task.owner_id, job_id), []).append(result)

    def _send_results(self) -> None:
        batches, self._unsent_results = self._unsent_results, {}
        for (owner_id, job_id), results in batches.items():
            if not self._notify(owner_id, TasksFinished(job_id, results)):
                self._count("runs.result_undelivered")
        if batches:
            self.on_capacity_changed()

    def _sweep_loop(self) -> None:
        while True:
            gevent.sleep(SWEEP_INTERVAL_MS / MS_PER_S)
            now_s = time.monotonic()
            for group in list(self._groups.values()):
                self._return_expired(group, now_s)
                if self._backlogs[group.name]:
                    self._place_pending(group)
            self._stop_expired(now_s)

    def _return_unplaced(self, group: _Group, message: StartTasks) -> None:
        """Return the new tasks of a message that could not be placed to their owner."""
        backlog = self._backlogs[group.name]
        for task in [task for task in backlog if task.message is message and not task.may_run]:
            backlog.remove(task)
            self._count("runs.handed_back_full")
            self._finish_task(task, task.next_run - 1, TaskResultKind.NO_ROOM)

    def _return_expired(self, group: _Group, now_s: float) -> None:
        backlog = self._backlogs[group.name]
        expired = [task for task in backlog if now_s >= min(task.start_by_s, task.finish_by_s)]
        for task in expired:
            backlog.remove(task)
            self._count("runs.waited_too_long")
            log_decision(
                "runs",
                "task waited too long",
                task=task.name,
                group=group.name,
                waited_ms=round((now_s - task.arrived_s) * MS_PER_S),
                waiting=len(backlog),
            )
            self._return_task(task)

    def _stop_expired(self, now_s: float) -> None:
        for tasks in list(self._tasks_by_job.values()):
            for task in list(tasks.values()):
                if now_s >= task.finish_by_s and not task.cancelled:
                    self._count("runs.past_deadline")
                    self._stop_task(task)

    def _free_capacity_of(self, group: _Group, now_s: float) -> GroupFreeCapacity:
        pending_core_ms: dict[int, float] = {}
        for task in self._backlogs[group.name]:
            message = task.message
            cores = message.demand.cpu_millicores / 1000
            priority = message.limits.priority
            pending_core_ms[priority] = (
                pending_core_ms.get(priority, 0.0) + cores * message.estimate_ms
            )
        workers, capacity = [], Resources(0)
        for worker in group.workers.values():
            speed = round(worker.speed.value, 3)
            workers.append(WorkerFreeCapacity(worker.usable_capacity(now_s), speed))
            if worker.synced and not worker.entry.is_draining:
                capacity = capacity.plus(worker.entry.capacity)
        return GroupFreeCapacity(group.name, group.service, capacity, pending_core_ms, workers)


def _outcome_without_group(task: PendingTask) -> TaskResultKind:
    """Return the outcome of a task dispatched to a process that does not schedule its group."""
    if not task.may_run:
        return TaskResultKind.NOT_STARTED
    return TaskResultKind.NOT_FOUND if task.is_durable else TaskResultKind.MAY_RUN
