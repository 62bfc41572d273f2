"""Scheduler of worker groups: the one process that places and starts their tasks."""

import time
from collections.abc import Callable

import gevent

from camphorchute.contracts.durable_job_messages import ReportedTask
from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import (
    GroupFreeCapacity,
    RunPlace,
    ShardTerm,
    StartTasks,
    StopTasks,
    TaskResult,
    TaskResultKind,
    TasksFinished,
    WithdrawTasks,
)
from camphorchute.decision_log import log_decision
from camphorchute.hosting import WorkerClient, WorkerEntry
from camphorchute.links import handles
from camphorchute.loops import spawn_loop, until_next_tick_s
from camphorchute.pause_watch import PauseWatch
from camphorchute.policies import DecisionPolicies
from camphorchute.runs.arrival_checks import ArrivalChecks
from camphorchute.runs.binding_exchange import BindingExchange
from camphorchute.runs.durable_tasks import DurableTasks
from camphorchute.runs.evacuated_groups import EvacuatedGroups
from camphorchute.runs.group_membership import GroupMembership
from camphorchute.runs.leased_worker import LeasedWorker
from camphorchute.runs.open_tasks import OpenTasks
from camphorchute.runs.owner_contacts import OwnerContacts
from camphorchute.runs.placement_notices import PlacementNotices
from camphorchute.runs.result_batches import ResultBatches
from camphorchute.runs.retained_ends import RetainedEnds
from camphorchute.runs.run import PendingTask, Run
from camphorchute.runs.run_events import RunEvents
from camphorchute.runs.run_supervisor import RunSupervisor
from camphorchute.runs.sent_renewals import SentRenewals
from camphorchute.runs.start_announcements import StartAnnouncements
from camphorchute.runs.start_bindings import StartBindings
from camphorchute.runs.start_witness import StartWitness
from camphorchute.runs.stopped_runs import StoppedRuns
from camphorchute.runs.task_places import TaskPlaces
from camphorchute.runs.worker_group import WorkerGroup
from camphorchute.runs.zone_availability import ZoneAvailability

__all__ = ["GroupScheduler"]

FIRST_RUN = 1
NEWS_WAIT_MS = 40.0
SWEEP_INTERVAL_MS = 20.0
IDLE_SWEEP_INTERVAL_MS = 100.0
MS_PER_S = 1000.0


class GroupScheduler:
    """Places the tasks that owners dispatch to it on the workers of its groups.

    Args:
        open_worker_client: returns a client of a worker.
        notify: sends a one-way message to an owner; returns whether it could be sent.
        count: adds to a named counter.
        policies: the policies to decide by; the default ones if None.

    Attributes:
        superseded_groups: groups with a worker that has seen a higher fencing token.
        on_capacity_changed: called when the free capacity has changed.
        arrival_checks: decides which tasks are returned as they arrive.
        is_durable_job: returns whether the job with an id may be durable.
        durable_tasks: handles the messages of shard owners about durable jobs.
        retained_ends: reports completions to shard owners until they are saved.
        binding_exchange: tells other schedulers which tasks of ended jobs may still start.
        start_witness: remembers the starts that other schedulers have announced.
        start_announcements: announces the starts of this scheduler; its attributes are set before
            the first group is acquired, and nothing is announced until then.
        placement_notices: tells owners where their tasks start; its ``notify`` is set before the
            first group is acquired, and nobody is told until then.
        owner_contacts: bounds the leases by the last news of the owners of the jobs.
        zone_availability: which zones are evacuated; set before the first group is acquired.
        pause_watch: tells whether the process has just been paused; nothing is started then.
        on_paused: called with the length of a pause of the process in milliseconds.
        are_workers_current: returns whether the entries of the workers may be relied on; nothing
            is started meanwhile.
    """

    def __init__(
        self,
        open_worker_client: Callable[[WorkerEntry], WorkerClient],
        notify: Callable[[str, TasksFinished], bool],
        count: Callable[..., None],
        policies: DecisionPolicies | None = None,
    ) -> None:
        self.superseded_groups: set[str] = set()
        self.on_capacity_changed: Callable[[], None] = lambda: None
        self.arrival_checks = ArrivalChecks(count)
        self.is_durable_job: Callable[[str], bool] = lambda job_id: True
        self.placement_notices = PlacementNotices(lambda owner_id, message: True, count)
        self.start_witness = StartWitness(count)
        self.start_announcements = StartAnnouncements(self.start_witness, count)
        self.owner_contacts = OwnerContacts()
        self.zone_availability = ZoneAvailability()
        self._open_worker_client = open_worker_client
        self._notify = notify
        self._count = count
        self._policies = policies or DecisionPolicies()
        self._supervisor = RunSupervisor(self._policies, count)
        self._results = ResultBatches(notify, lambda: self.on_capacity_changed(), count)
        self._groups: dict[str, WorkerGroup] = {}
        self.retained_ends = RetainedEnds(self._groups.values, count)
        self.retained_ends.orphaned_runs = self._orphaned_runs
        self._open_tasks = OpenTasks()
        self._start_bindings = StartBindings()
        self.binding_exchange = BindingExchange(self._start_bindings, count)
        self.durable_tasks = DurableTasks(self._groups.values, count, self._start_bindings)
        self.durable_tasks.on_shard_released = self._drop_shard_owner
        self._stopped_runs = StoppedRuns()
        self._sent_renewals = SentRenewals()
        self._places = TaskPlaces(self._groups.values, count)
        self._arrival_count = 0
        self._membership = GroupMembership(self, self._open_worker, count)
        self._evacuated_groups = EvacuatedGroups(self, count)
        self.pause_watch = PauseWatch()
        self.on_paused: Callable[[float], None] = lambda paused_ms: None
        self.are_workers_current: Callable[[], bool] = lambda: True
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to return expired tasks to their owners."""
        self._greenlet = spawn_loop("runs", self._sweep_loop, self._count)
        self.retained_ends.start()

    def close(self) -> None:
        """Release every group and send the pending results."""
        self.retained_ends.close()
        for name in list(self._groups):
            self.release_group(name)
        self.start_announcements.send_forgotten()
        self._results.send()
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def group(self, name: str) -> WorkerGroup | None:
        """Return a group that this process schedules, None for any other."""
        return self._groups.get(name)

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
            self._groups[name] = WorkerGroup(
                name,
                service,
                fence,
                self._policies,
                self.zone_availability,
                self._supervisor.interference,
                self._count,
                self._start_bindings,
                self.owner_contacts,
            )
            return
        group.fence = fence
        group.rejecting_worker_ids.clear()
        for worker in group.workers.values():
            worker.refresh_fence()

    def release_group(self, name: str) -> None:
        """Stop scheduling a group and return its tasks to their owners."""
        self.superseded_groups.discard(name)
        group = self._groups.pop(name, None)
        if group is None:
            return
        for task in list(group.backlog):
            self._return_task(task)
        for worker_id, worker in group.workers.items():
            for run in worker.take_all_runs():
                self.finish_task(
                    run.task, run.number, TaskResultKind.MAY_RUN, worker_id, place=run.place()
                )
            worker.close()
        self.on_capacity_changed()

    def set_workers(
        self,
        name: str,
        entries: dict[str, WorkerEntry],
        group_by_worker: dict[str, str] | None = None,
    ) -> None:
        """Set the workers of a group as :meth:`GroupMembership.set_workers`, if it is held here."""
        group = self._groups.get(name)
        if group is not None:
            self._membership.set_workers(group, entries, group_by_worker)

    def update_worker_entry(self, entry: WorkerEntry) -> None:
        """Apply what a worker says of itself as soon as it is known, if a group here has it.

        Args:
            entry: its latest entry in service discovery.
        """
        for group in self._groups.values():
            self._membership.update_entry(group, entry)

    def free_capacity_report(self) -> list[GroupFreeCapacity]:
        """Return the free capacity and the backlog of each group.

        No group is reported before it is known which zones are evacuated, so that owners wait for
        the scheduler as for one that has just started.
        """
        if not self.zone_availability.is_known():
            return []
        now_s = time.monotonic()
        return [group.free_capacity(now_s) for group in self._groups.values()]

    def owners(self) -> set[str]:
        """Return the ids of the members that own the open tasks, without durable ones."""
        return {task.owner_id for task in self._open_tasks.all() if not task.is_durable}

    def drop_owner(self, owner_id: str) -> None:
        """Stop the tasks of an owner to which no link is left.

        Runs of durable jobs continue: another process will adopt them.
        """
        for task in self._open_tasks.all():
            if task.owner_id != owner_id:
                continue
            self._count("runs.owner_lost")
            if task.is_durable:
                self._orphan_task(task)
            else:
                self._stop_task(task)

    def _drop_shard_owner(self, term: ShardTerm) -> None:
        """Let the tasks of a shard owner that has released the shard continue without an owner.

        Those that a later owner has taken over are its own.

        Args:
            term: the term in which the tasks were dispatched.
        """
        for task in self._open_tasks.all():
            if task.message.term is None or task.orphaned:
                continue
            if task.message.term.shard == term.shard and task.message.term.number <= term.number:
                self._count("runs.shard_released")
                self._orphan_task(task)

    @handles(StartTasks, nonblocking=True)
    def start_tasks(self, peer: Member, message: StartTasks) -> None:
        """Accept tasks and start those that the free capacity suffices for."""
        if self.durable_tasks.is_superseded(message.term):
            return
        if message.term is None:
            self.owner_contacts.refresh(peer.member_id)
        group = self._groups.get(message.group)
        now_s = time.monotonic()
        for command in message.tasks:
            self._arrival_count += 1
            task = PendingTask(peer.member_id, message, command, now_s, self._arrival_count)
            if command.bound_ms > 0:
                number, bound_ms = command.run - 1, command.bound_ms
                self._start_bindings.add(task.name, command.worker_id, number, bound_ms)
            self._start_bindings.mark_over(task.name, False)
            if self.arrival_checks.must_return(task, now_s):
                self.finish_task(task, command.run - 1, TaskResultKind.NOT_STARTED)
            elif group is None:
                self._count("runs.not_home")
                is_bound = self._start_bindings.of_task(task.name) is not None
                outcome = TaskResultKind.MAY_RUN if is_bound else task.outcome_without_group()
                self.finish_task(task, command.run - 1, outcome)
            else:
                self._accept_task(group, task)
        if group is not None:
            self.place_pending(group)
            if message.hand_back_full and self._is_heard_of(message, peer):
                self._return_unplaced(group, message)
            elif message.hand_back_full:
                pause_s = NEWS_WAIT_MS / MS_PER_S
                gevent.spawn_later(pause_s, self._return_unplaced, group, message)

    def _is_heard_of(self, message: StartTasks, owner: Member) -> bool:
        """Return whether tasks that were not placed lack capacity, and not news of their owner."""
        return message.term is not None or self.owner_contacts.is_recent(owner.member_id)

    def _may_go_on_for(self, task: PendingTask, run: Run) -> bool:
        """Return whether the leases of a run end in time for the owner that a task names."""
        return run.worker.leases.in_force_until_s <= self.owner_contacts.lease_end_s(task)

    @handles(StopTasks, nonblocking=True)
    def stop_tasks(self, peer: Member, message: StopTasks) -> None:
        """Return the pending tasks of a job to its owner and stop its active runs.

        A shard owner stops durable tasks only: it may own another job of the shard as well.
        """
        if self.durable_tasks.is_superseded(message.term):
            return
        self.binding_exchange.add_job(message.job_id)
        for task in self._open_tasks.of_job(message.job_id):
            is_of_sender = task.owner_id == peer.member_id and message.term is None
            if is_of_sender or task.is_durable:
                self._stop_task(task)

    @handles(WithdrawTasks, nonblocking=True)
    def withdraw_tasks(self, peer: Member, message: WithdrawTasks) -> None:
        """Return the tasks of a job without a start command to its owner, and bar their dispatch.

        The results are sent before the answer, so that the owner has all of them when it arrives.
        """
        self.arrival_checks.bar(peer.member_id, message)
        started_tasks = 0
        for task in self._open_tasks.of_job(message.job_id):
            if task.owner_id != peer.member_id:
                continue
            group = self._groups.get(task.group)
            may_run = task.may_run or self._start_bindings.of_task(task.name) is not None
            if task.started or may_run or group is None or task not in group.backlog:
                started_tasks += 1
                continue
            group.backlog.remove(task)
            self._count("runs.withdrawn")
            self._return_task(task)
        self._results.send()
        self._notify(peer.member_id, TasksFinished(message.job_id, [], started_tasks))

    def _open_worker(self, group: WorkerGroup, entry: WorkerEntry) -> LeasedWorker:
        client = self._open_worker_client(entry)
        events = RunEvents(self, group, self._open_tasks, self._supervisor, self._count)
        worker = LeasedWorker(entry, client, lambda: group.fence, events, self._count)
        worker.is_durable_job = lambda job_id: self.is_durable_job(job_id)
        worker.start_bindings = self._start_bindings
        worker.owner_contacts = self.owner_contacts
        worker.sent_renewals = self._sent_renewals
        self._sent_renewals.hand_on(entry.worker_id, worker.leases)
        worker.stopped_runs = self._stopped_runs
        worker.start()
        return worker

    def _accept_task(self, group: WorkerGroup, task: PendingTask) -> None:
        known_task = self._open_tasks.find_same(task)
        if known_task is not None:
            run = known_task.run
            if run is not None and not self._may_go_on_for(task, run):
                self._count("runs.owner_change_refused")
                self.finish_task(
                    task, run.number, TaskResultKind.MAY_RUN, run.worker_id, place=run.place()
                )
                return
            self._count("runs.owner_changed")
            known_task.apply_dispatch(task)
            group.take_pending(known_task, self._groups.get(known_task.group))
            return
        self._open_tasks.add(task)
        if not group.adopt_run(task):
            group.backlog.add(task)
            group.watch_bound_task(task)

    def requeue(self, task: PendingTask) -> None:
        """Put an open task without a run back into the backlog of its group.

        The task is returned to its owner if the group is gone or the task was stopped.
        """
        group = self._groups.get(task.group)
        if group is None or task.cancelled:
            self._return_task(task)
        else:
            group.backlog.add(task)
            self._places.check(task)
            gevent.spawn(self.place_pending, group)

    def _return_task(self, task: PendingTask) -> None:
        """Return a pending task to its owner, with whether an earlier run may be active."""
        worker_id, number = self.earlier_run_of(task)
        may_run = task.may_run or bool(worker_id)
        outcome = TaskResultKind.MAY_RUN if may_run else TaskResultKind.NOT_STARTED
        place = task.last_place if task.may_run else None
        self.finish_task(task, number, outcome, worker_id, place=place)

    def earlier_run_of(self, task: PendingTask) -> tuple[str, int]:
        """Return the worker that may have an earlier run of a pending task, and the run's number.

        The worker is empty if it is not known, or if there is no such run. The one that the owner
        has named comes before another one that the task is bound to, as its run may be active.

        Args:
            task: the task.
        """
        binding, number = self._start_bindings.of_task(task.name), task.next_run - 1
        if binding is None:
            return (task.worker_id if task.may_run else ""), number
        group = self._groups.get(task.group)
        is_named = task.may_run and task.worker_id not in ("", binding.worker_id)
        if is_named and (group is None or not group.are_earlier_runs_known(task)):
            return task.worker_id, number
        return binding.worker_id, max(binding.number, number)

    def place_pending(self, group: WorkerGroup) -> None:
        """Start the pending tasks that fit into the free capacity."""
        if not self.pause_watch.is_settled() or not self.are_workers_current():
            return
        if self.zone_availability.is_evacuated(group.zone):
            self._evacuated_groups.return_tasks(group)
        now_s = time.monotonic()
        self._return_expired(group, now_s)
        placement = group.place_pending(now_s)
        self.placement_notices.send(placement.started)
        self.start_announcements.announce(placement.started, group.service)
        for task in placement.started:
            self._supervisor.record_start()
            task.last_run = task.run
            if task.next_run > FIRST_RUN + 1:
                self._places.log_restart(task, self.owner_contacts)
        for task in placement.not_found:
            self._count("runs.not_found")
            self.finish_task(task, task.next_run - 1, TaskResultKind.NOT_FOUND)
        for task in placement.lost:
            self._count("runs.lost_with_worker")
            if task.is_durable:
                self.durable_tasks.record_lost_run(task.name, group.name, task.last_place)
            self.finish_task(
                task, task.next_run - 1, TaskResultKind.WORKER_LOST, place=task.last_place
            )
        if placement.has_changed:
            self.on_capacity_changed()

    def _orphaned_runs(self) -> list[ReportedTask]:
        """Return the active runs of durable tasks whose owner was lost."""
        return [
            ReportedTask(
                task.name, task.group, task.run.number, task.run.worker_id, place=task.run.place()
            )
            for task in self._open_tasks.all()
            if task.orphaned and task.run is not None and not task.run.stop_requested
        ]

    def _orphan_task(self, task: PendingTask) -> None:
        """Let the run of a durable task continue without its owner; return it if it is pending."""
        task.orphaned = True
        group = self._groups.get(task.group)
        if group is not None and task in group.backlog:
            group.backlog.remove(task)
            self._return_task(task)

    def _stop_task(self, task: PendingTask) -> None:
        """Stop the run of a task, wherever it is, or return the task if it is pending."""
        task.cancelled = True
        self.binding_exchange.add_job(task.message.job_id)
        group = self._groups.get(task.group)
        if task.run is not None:
            task.run.worker.stop_run(task.run)
        elif group is not None and task in group.backlog:
            group.backlog.remove(task)
            self._return_task(task)
            group.bar_earlier_run(task)
        else:
            self._count("runs.stop_without_run")
            log_decision("runs", "stopped task has no run here", task=task.name, group=task.group)

    def finish_task(
        self,
        task: PendingTask,
        run: int,
        outcome: TaskResultKind,
        worker_id: str = "",
        group: str = "",
        place: RunPlace | None = None,
    ) -> None:
        """Forget a task and queue its result for its owner.

        Args:
            task: the task.
            run: number of its last run, one below that of its first run if there was none.
            outcome: how it ended.
            worker_id: the worker that it may still run on; that of a bound task if it is empty.
            group: the group that this worker moved to, empty if it did not move.
            place: where the run is or was, None if that is not known.
        """
        was_open = task in self._open_tasks  # not so for a dispatch that is returned at once
        self._open_tasks.discard(task)
        if task.earlier_run is not None:
            task.earlier_run.worker.forget_earlier_runs(task.name)
        binding = self._start_bindings.of_task(task.name)
        if binding is not None:
            worker_id = worker_id or binding.worker_id
            is_final = outcome in (TaskResultKind.DONE, TaskResultKind.FAILED)
            is_too_late = time.monotonic() >= task.finish_by_s
            is_over = is_final or task.cancelled or is_too_late
            self._start_bindings.mark_over(task.name, is_over)
            if outcome in (TaskResultKind.NOT_STARTED, TaskResultKind.NO_ROOM):
                outcome = TaskResultKind.MAY_RUN
        if outcome is TaskResultKind.MAY_RUN and not group and task.group != task.message.group:
            group = task.group
        result = TaskResult(
            task.message.step,
            task.index,
            run,
            outcome,
            worker_id,
            group,
            task.dispatch,
            *task.times_here_ms(time.monotonic()),
            task.failures,
            place,
            0.0 if binding is None else binding.remaining_ms(),
        )
        if was_open:
            self._end_announcement(task, outcome, binding is not None)
        self._results.add(task.owner_id, task.message.job_id, result)

    def _end_announcement(self, task: PendingTask, outcome: TaskResultKind, is_bound: bool) -> None:
        """Have the witnesses forget the last run of a returned task, unless it may go on."""
        may_go_on = outcome is TaskResultKind.MAY_RUN
        if is_bound:
            self.start_announcements.keep(task.name)
        elif may_go_on and self.start_announcements.is_decided(task.name):
            self.start_announcements.forget_later(task.name)
        else:
            self.start_announcements.forget(task.name, outcome is TaskResultKind.DONE)

    def _sweep_loop(self) -> None:
        while True:
            is_idle = not self._open_tasks and self.pause_watch.is_settled()
            interval_ms = IDLE_SWEEP_INTERVAL_MS if is_idle else SWEEP_INTERVAL_MS
            gevent.sleep(until_next_tick_s(interval_ms))
            if self.pause_watch.tick():
                self._count("runs.process_paused")
                self.on_paused(self.pause_watch.last_pause_ms)
                continue
            now_s = time.monotonic()
            if self._evacuated_groups.has_offer_changed(self._groups.values()):
                self.on_capacity_changed()
            for group in list(self._groups.values()):
                self._membership.hand_on_tasks(group, now_s)
                self._return_expired(group, now_s)
                self._supervisor.stop_overdue_runs(group.workers.values(), now_s)
                for worker in group.workers.values():
                    worker.stop_runs_of_silent_owners(now_s)
                if group.backlog:
                    self.place_pending(group)
            self._stop_expired(now_s)

    def _return_unplaced(self, group: WorkerGroup, message: StartTasks) -> None:
        """Return the new tasks of a message that could not be placed to their owner."""
        if self._groups.get(group.name) is not group:
            return
        for task in group.backlog.dispatched_by(message):
            if group.is_bound(task):
                continue
            group.backlog.remove(task)
            self._count("runs.handed_back_full")
            self.finish_task(task, task.next_run - 1, TaskResultKind.NO_ROOM)

    def _return_expired(self, group: WorkerGroup, now_s: float) -> None:
        for task in group.backlog.expired(now_s):
            group.backlog.remove(task)
            group.backlog.last_missed_s = now_s
            self._count("runs.waited_too_long")
            if group.is_bound(task):
                self._count("runs.returned.bound")
            log_decision(
                "runs",
                "task waited too long",
                task=task.name,
                group=group.name,
                waited_ms=round((now_s - task.arrived_s) * MS_PER_S),
                waiting=len(group.backlog),
            )
            self._return_task(task)

    def _stop_expired(self, now_s: float) -> None:
        for task in self._open_tasks.all():
            if now_s >= task.finish_by_s and not task.cancelled:
                self._count("runs.past_deadline")
                self._stop_task(task)
