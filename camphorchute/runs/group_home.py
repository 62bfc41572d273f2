"""The home of worker groups: the one process that gives their workers orders."""

import time
from bisect import insort
from collections import defaultdict
from collections.abc import Callable

import gevent

from camphorchute.contracts.member import Member
from camphorchute.contracts.resources import Resources
from camphorchute.contracts.run_messages import (
    GroupRoom,
    StartTasks,
    StopTasks,
    TaskEnd,
    TaskResult,
    TasksFinished,
    WorkerRoom,
)
from camphorchute.decision_log import log_decision
from camphorchute.hosting import EndKind, RunPort, WorkerEntry
from camphorchute.links import handles
from camphorchute.loops import spawn_loop
from camphorchute.runs.kept_tasks import KeptTasks
from camphorchute.runs.leased_worker import LeasedWorker
from camphorchute.runs.placement import rank_worker
from camphorchute.runs.run import Run, WaitingTask

__all__ = ["GroupHome"]

SWEEP_MS = 20.0
FLUSH_MS = 1.0
UNSEEN_KEEP_MS = 10_000.0
LEASES_OVER_MS = 1200.0
MS_PER_S = 1000.0


class _Group:
    """A worker group that this process is the home of."""

    __slots__ = ("name", "service", "fence", "workers")

    def __init__(self, name: str, service: str, fence: int) -> None:
        self.name = name
        self.service = service
        self.fence = fence
        self.workers: dict[str, LeasedWorker] = {}


class GroupHome:
    """Places the tasks that owners hand to it on the workers of its groups.

    Args:
        open_worker: opens a port to a worker.
        tell: sends a message to an owner one way.
        count: adds to a named counter.

    Attributes:
        fenced_groups: groups with a worker that obeys a newer home.
        changed: called when the free room has changed.
        may_forget: whether ends that nobody asks for may be forgotten after a while.
        is_kept: whether a job may be one that is kept, by its id.
        kept: what the home does for the keepers of jobs that are kept.
    """

    def __init__(
        self,
        open_worker: Callable[[WorkerEntry], RunPort],
        tell: Callable[[str, TasksFinished], bool],
        count: Callable[..., None],
    ) -> None:
        self.fenced_groups: set[str] = set()
        self.changed: Callable[[], None] = lambda: None
        self.may_forget: Callable[[], bool] = lambda: True
        self.is_kept: Callable[[str], bool] = lambda job_id: True
        self._open_worker = open_worker
        self._tell = tell
        self._count = count
        self._groups: dict[str, _Group] = {}
        self._waiting: dict[str, list[WaitingTask]] = defaultdict(list)
        self.kept = KeptTasks(self._workers, lambda group: self._waiting[group], count)
        self._jobs: dict[str, dict[str, WaitingTask]] = defaultdict(dict)
        self._results: dict[tuple[str, str], list[TaskResult]] = {}
        self._arrivals = 0
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Hand back what waits too long, from now on."""
        self._greenlet = spawn_loop("runs", self._sweep, self._count)

    def close(self) -> None:
        """Give up every group."""
        for name in list(self._groups):
            self.drop_group(name)
        self._flush()
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def groups(self) -> list[str]:
        """Return the names of the groups held."""
        return list(self._groups)

    def take_group(self, name: str, service: str, fence: int) -> None:
        """Become the home of a group, or go on with a higher fencing token."""
        self.fenced_groups.discard(name)
        group = self._groups.get(name)
        if group is None:
            self._groups[name] = _Group(name, service, fence)
            return
        group.fence = fence
        for worker in group.workers.values():
            worker.refresh_fence()

    def drop_group(self, name: str) -> None:
        """Stop being the home of a group; its tasks go back to their owners."""
        self.fenced_groups.discard(name)
        group = self._groups.pop(name, None)
        if group is None:
            return
        for task in self._waiting.pop(name, []):
            self._return_waiting(task)
        for worker in group.workers.values():
            for run in list(worker.runs.values()):
                worker_id = worker.entry.worker_id
                self._finish(run.task, run.number, TaskEnd.MAY_RUN, worker_id)
            worker.close()
        self.changed()

    def set_workers(
        self, name: str, entries: dict[str, WorkerEntry], group_of: dict[str, str] | None = None
    ) -> None:
        """Say which workers a group has now.

        Args:
            name: the group.
            entries: its workers.
            group_of: the groups of all workers, to tell those that moved from those that left.
        """
        group = self._groups.get(name)
        if group is None:
            return
        for worker_id, worker in list(group.workers.items()):
            entry = entries.get(worker_id)
            if entry is not None and entry.is_same_life(worker.entry):
                worker.see_entry(entry)
                continue
            if entry is None and worker_id in (group_of or {}):
                self._move_worker(group, worker, group_of[worker_id])
                continue
            worker.miss_entry()
            if entry is not None or worker.synced or worker.unlisted_ms() > UNSEEN_KEEP_MS:
                self._drop_worker(group, worker)
        for worker_id, entry in entries.items():
            if worker_id not in group.workers:
                self._add_worker(group, entry)

    def room(self) -> list[GroupRoom]:
        """Return the free room of each group."""
        now_s = time.monotonic()
        return [self._room_of(group, now_s) for group in self._groups.values()]

    def owner_lost(self, owner_id: str) -> None:
        """Stop the tasks of an owner that no link leads to any more.

        Runs of jobs that are kept go on: another process will ask for them.
        """
        for tasks in list(self._jobs.values()):
            for task in list(tasks.values()):
                if task.owner_id != owner_id:
                    continue
                self._count("runs.owner_lost")
                if task.is_kept:
                    self._orphan(task)
                else:
                    self._stop_task(task)

    @handles(StartTasks, prompt=True)
    def start_tasks(self, peer: Member, message: StartTasks) -> None:
        """Take in tasks and place those that there is room for."""
        if self.kept.is_outdated(message.term):
            return
        group = self._groups.get(message.group)
        now_s = time.monotonic()
        for order in message.tasks:
            self._arrivals += 1
            task = WaitingTask(peer.member_id, message, order, now_s, self._arrivals)
            if group is None:
                self._count("runs.not_home")
                self._finish(task, order.run - 1, _end_at_no_home(task))
            else:
                self._take_task(group, task)
        if group is not None:
            self._place(group)
            if message.hand_back_full:
                self._hand_back_unplaced(group, message)

    @handles(StopTasks, prompt=True)
    def stop_tasks(self, peer: Member, message: StopTasks) -> None:
        """Drop the tasks of a job and stop those that run."""
        if self.kept.is_outdated(message.term):
            return
        for task in list(self._jobs.get(message.job_id, {}).values()):
            if task.owner_id == peer.member_id or task.is_kept:
                self._stop_task(task)

    def run_ended(self, worker: LeasedWorker, run: Run, kind: EndKind) -> None:
        """Tell the owner, or run the task again."""
        task = run.task
        self._count(f"runs.ended.{kind.name.lower()}")
        if kind is not EndKind.DONE:
            log_decision(
                "runs",
                "run not done",
                task=task.name,
                run=run.number,
                worker=worker.entry.worker_id,
                how=kind.value,
                failures=task.failures,
                ordered_stop=run.stopping,
            )
        if self._jobs.get(task.message.job_id, {}).get(task.name) is not task:
            return
        worker_id = worker.entry.worker_id
        if kind is EndKind.DONE:
            self._finish(task, run.number, TaskEnd.DONE, worker_id)
        elif task.is_kept and kind is EndKind.FAILED:
            self._finish(task, run.number, TaskEnd.FAILED, worker_id)
        elif task.is_kept and kind is EndKind.LEASE_EXPIRED and not task.orphaned:
            self._finish(task, run.number, TaskEnd.NOT_FOUND)
        elif task.stopped or task.orphaned:
            self._finish(task, run.number, TaskEnd.NOT_STARTED)
        elif kind is EndKind.FAILED and task.failures + 1 >= task.message.limits.max_attempts:
            self._finish(task, run.number, TaskEnd.FAILED)
        else:
            task.failures += kind is EndKind.FAILED
            task.avoid = worker_id
            task.start_by_s = task.finish_by_s
            self._wait_again(task)

    def start_refused(self, worker: LeasedWorker, run: Run, reason: str) -> None:
        """Place a task anew that a worker has not started."""
        if run.task.stopped:
            self._finish(run.task, run.number, TaskEnd.NOT_STARTED)
        elif self._jobs.get(run.task.message.job_id, {}).get(run.task.name) is run.task:
            self._wait_again(run.task)

    def worker_changed(self, worker: LeasedWorker) -> None:
        """Use the room that a worker may have."""
        for group in list(self._groups.values()):
            if group.workers.get(worker.entry.worker_id) is worker:
                self._adopt_waiting(group)
                self._place(group)

    def fenced(self, worker: LeasedWorker) -> None:
        """Have the claim of the worker's group checked."""
        for group in self._groups.values():
            if group.workers.get(worker.entry.worker_id) is worker:
                self.fenced_groups.add(group.name)

    def _workers(self) -> dict[str, list[LeasedWorker]]:
        return {group.name: list(group.workers.values()) for group in self._groups.values()}

    def _add_worker(self, group: _Group, entry: WorkerEntry) -> None:
        port = self._open_worker(entry)
        worker = LeasedWorker(entry, port, lambda: group.fence, self, self._count)
        worker.may_forget = lambda: self.may_forget()
        worker.is_kept = lambda job_id: self.is_kept(job_id)
        group.workers[entry.worker_id] = worker
        worker.start()

    def _move_worker(self, group: _Group, worker: LeasedWorker, name: str) -> None:
        """Leave a worker to the home of the group that it belongs to now, with its runs."""
        del group.workers[worker.entry.worker_id]
        worker.close()
        self._count("runs.worker_moved")
        for run in list(worker.runs.values()):
            worker_id = worker.entry.worker_id
            self._finish(run.task, run.number, TaskEnd.MAY_RUN, worker_id, name)

    def _drop_worker(self, group: _Group, worker: LeasedWorker) -> None:
        """Forget a worker that is gone; its runs may go on until their leases are over."""
        del group.workers[worker.entry.worker_id]
        worker.close()
        if worker.runs:
            wait_s = max(0.0, worker.quiet_at_s - time.monotonic())
            gevent.spawn_later(wait_s, self._end_runs, group.name, worker)

    def _end_runs(self, name: str, worker: LeasedWorker) -> None:
        """End the runs of a worker that was gone until its leases were over.

        Where it has come back, or another home may have it now, its runs may go on.
        """
        group = self._groups.get(name)
        worker_id = worker.entry.worker_id
        for run in list(worker.runs.values()):
            del worker.runs[run.task.name]
            if group is None:
                self._finish(run.task, run.number, TaskEnd.MAY_RUN, worker_id)
            elif worker_id in group.workers and not run.task.is_kept:
                run.task.may_run, run.task.worker_id = True, worker_id
                if not self._adopt(group, run.task):
                    self._wait_again(run.task)
            else:
                self.run_ended(worker, run, EndKind.LEASE_EXPIRED)

    def _take_task(self, group: _Group, task: WaitingTask) -> None:
        tasks = self._jobs[task.message.job_id]
        earlier = tasks.get(task.name)
        if earlier is not None:
            self._count("runs.owner_changed")
            earlier.owner_id = task.owner_id
            earlier.message = task.message
            earlier.stopped = earlier.orphaned = False
            earlier.finish_by_s = task.finish_by_s
            return
        tasks[task.name] = task
        if not self._adopt(group, task):
            insort(self._waiting[group.name], task, key=lambda waiting: waiting.order)

    def _adopt(self, group: _Group, task: WaitingTask) -> bool:
        """Go on with what an earlier home has started of a task; return whether it did.

        A run under way goes before every end: the task may have been started again after an end
        that its earlier home had not acknowledged yet. An end counts only once every worker of
        the group has been asked, and only where it is a success.
        """
        found = [
            (worker.orphans[task.name][0], worker)
            for worker in group.workers.values()
            if task.name in worker.orphans
        ]
        if found:
            number, worker = max(found, key=lambda row: row[0])
            worker.adopt(task, number)
            return True
        if not task.may_run or not self._is_known(group, task):
            return False
        for worker in group.workers.values():
            for end in worker.ends.of_task(task.name):
                if end.kind is EndKind.DONE or task.is_kept:
                    worker.adopt(task, end.run, end.kind)
                    return True
        return False

    def _is_known(self, group: _Group, task: WaitingTask) -> bool:
        """Whether no earlier run of a task can be under way on a worker not heard of yet.

        Where the earlier home has named the worker, that one must have listed its runs under the
        fence in force. Else every worker must have done so, and the leases must be over on those
        that this home does not know: the earlier home has ceased to renew them, as it has lost
        the task's owner or the group.
        """
        worker = group.workers.get(task.worker_id)
        if worker is not None:
            return worker.synced
        if time.monotonic() - task.arrived_s < LEASES_OVER_MS / MS_PER_S:
            return False
        return all(worker.synced or worker.unlisted_ms() > 0 for worker in group.workers.values())

    def _adopt_waiting(self, group: _Group) -> None:
        """Look for runs of the tasks whose earlier home was lost."""
        waiting = self._waiting[group.name]
        for task in [task for task in waiting if task.may_run]:
            if self._adopt(group, task):
                waiting.remove(task)

    def _wait_again(self, task: WaitingTask) -> None:
        group = self._groups.get(task.message.group)
        if group is None:
            self._return_waiting(task)
            return
        insort(self._waiting[group.name], task, key=lambda waiting: waiting.order)
        gevent.spawn(self._place, group)

    def _return_waiting(self, task: WaitingTask) -> None:
        """Hand a task that waits back to its owner; an earlier run of it may be under way."""
        end = TaskEnd.MAY_RUN if task.may_run else TaskEnd.NOT_STARTED
        self._finish(task, task.next_run - 1, end, task.worker_id)

    def _place(self, group: _Group) -> None:
        """Start the waiting tasks that there is room for, the most urgent first."""
        waiting = self._waiting[group.name]
        now_s = time.monotonic()
        left: list[WaitingTask] = []
        full_for: Resources | None = None
        for task in waiting:
            demand = task.message.demand
            unknown = task.may_run and not self._is_known(group, task)
            if task.is_kept and task.may_run and not unknown:
                self._adopt_or_return(group, task)
                continue
            if unknown or (full_for and demand.holds(full_for)):
                left.append(task)
                continue
            worker = self._choose(group, task, now_s)
            if worker is None:
                full_for = demand if full_for is None or full_for.holds(demand) else full_for
                left.append(task)
            else:
                worker.order_start(task)
        if len(left) < len(waiting):
            waiting[:] = left
            self.changed()

    def _adopt_or_return(self, group: _Group, task: WaitingTask) -> None:
        """Go on with a kept task that may run, or tell its keeper that it is not here.

        Its worker may belong to another group now and hold an end of it.
        """
        if not self._adopt(group, task):
            self._count("runs.not_found")
            self._finish(task, task.next_run - 1, TaskEnd.NOT_FOUND)

    def _choose(self, group: _Group, task: WaitingTask, now_s: float) -> LeasedWorker | None:
        able = [worker for worker in group.workers.values() if worker.can_start(task, now_s)]
        if not able:
            return None
        message = task.message
        return min(
            able,
            key=lambda worker: (
                worker.entry.worker_id == task.avoid,
                rank_worker(worker.speed.value, message.estimate_ms, message.limits),
                worker.free.cpu_millicores,
            ),
        )

    def _orphan(self, task: WaitingTask) -> None:
        """Let the run of a kept task go on without its owner; one that waits is forgotten."""
        task.orphaned = True
        waiting = self._waiting.get(task.message.group, [])
        if task in waiting:
            waiting.remove(task)
            self._return_waiting(task)

    def _stop_task(self, task: WaitingTask) -> None:
        task.stopped = True
        group = self._groups.get(task.message.group)
        if group is None:
            return
        waiting = self._waiting[group.name]
        if task in waiting:
            waiting.remove(task)
            self._return_waiting(task)
            return
        for worker in group.workers.values():
            run = worker.runs.get(task.name)
            if run is not None:
                worker.order_stop(run)

    def _finish(
        self, task: WaitingTask, run: int, end: TaskEnd, worker_id: str = "", group: str = ""
    ) -> None:
        """Tell the owner of a task's end and forget the task.

        Args:
            task: the task.
            run: number of its last run, one below that of its first run if there was none.
            end: how it ended.
            worker_id: the worker that it may still run on.
            group: the group of that worker where it has changed.
        """
        job_id = task.message.job_id
        tasks = self._jobs.get(job_id)
        if tasks is not None and tasks.get(task.name) is task:
            del tasks[task.name]
            if not tasks:
                del self._jobs[job_id]
        if not self._results:
            gevent.spawn_later(FLUSH_MS / MS_PER_S, self._flush)
        result = TaskResult(task.message.step, task.index, run, end, worker_id, group)
        self._results.setdefault((task.owner_id, job_id), []).append(result)

    def _flush(self) -> None:
        results, self._results = self._results, {}
        for (owner_id, job_id), ended in results.items():
            if not self._tell(owner_id, TasksFinished(job_id, ended)):
                self._count("runs.result_undelivered")
        if results:
            self.changed()

    def _sweep(self) -> None:
        while True:
            gevent.sleep(SWEEP_MS / MS_PER_S)
            now_s = time.monotonic()
            for group in list(self._groups.values()):
                self._hand_back_late(group, now_s)
                if self._waiting[group.name]:
                    self._place(group)
            self._stop_late(now_s)

    def _hand_back_unplaced(self, group: _Group, message: StartTasks) -> None:
        """Hand the new tasks of a message that there is no room for back to their owner."""
        waiting = self._waiting[group.name]
        for task in [task for task in waiting if task.message is message and not task.may_run]:
            waiting.remove(task)
            self._count("runs.handed_back_full")
            self._finish(task, task.next_run - 1, TaskEnd.NO_ROOM)

    def _hand_back_late(self, group: _Group, now_s: float) -> None:
        waiting = self._waiting[group.name]
        late = [task for task in waiting if now_s >= min(task.start_by_s, task.finish_by_s)]
        for task in late:
            waiting.remove(task)
            self._count("runs.waited_too_long")
            log_decision(
                "runs",
                "task waited too long",
                task=task.name,
                group=group.name,
                waited_ms=round((now_s - task.arrived_s) * MS_PER_S),
                waiting=len(waiting),
            )
            self._return_waiting(task)

    def _stop_late(self, now_s: float) -> None:
        for tasks in list(self._jobs.values()):
            for task in list(tasks.values()):
                if now_s >= task.finish_by_s and not task.stopped:
                    self._count("runs.past_deadline")
                    self._stop_task(task)

    def _room_of(self, group: _Group, now_s: float) -> GroupRoom:
        waiting: dict[int, float] = {}
        for task in self._waiting[group.name]:
            message = task.message
            cores = message.demand.cpu_millicores / 1000
            priority = message.limits.priority
            waiting[priority] = waiting.get(priority, 0.0) + cores * message.estimate_ms
        rooms, capacity = [], Resources(0)
        for worker in group.workers.values():
            speed = round(worker.speed.value, 3)
            rooms.append(WorkerRoom(worker.room(now_s), speed))
            if worker.synced and not worker.entry.draining:
                capacity = capacity.plus(worker.entry.capacity)
        return GroupRoom(group.name, group.service, capacity, waiting, rooms)


def _end_at_no_home(task: WaitingTask) -> TaskEnd:
    """Return how a task ends that was handed to a process that is not the home of its group."""
    if not task.may_run:
        return TaskEnd.NOT_STARTED
    return TaskEnd.NOT_FOUND if task.is_kept else TaskEnd.MAY_RUN
