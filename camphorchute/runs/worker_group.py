"""Worker group: the workers that one scheduler starts tasks on, with their backlog."""

import time
from collections.abc import Callable, Collection

import xxhash

from camphorchute.contracts.resources import Resources
from camphorchute.contracts.run_messages import GroupFreeCapacity, WorkerFreeCapacity
from camphorchute.hosting import RunOutcome
from camphorchute.policies import DecisionPolicies
from camphorchute.policies.anti_affinity import keep_apart
from camphorchute.policies.interference import LearnedInterference
from camphorchute.policies.worker_choice import WorkerCandidate
from camphorchute.runs.backlog import Backlog
from camphorchute.runs.earlier_run import EarlierRun
from camphorchute.runs.group_names import zone_of_group
from camphorchute.runs.leased_worker import LeasedWorker
from camphorchute.runs.owner_contacts import OwnerContacts
from camphorchute.runs.run import PendingTask
from camphorchute.runs.start_binding import StartBinding
from camphorchute.runs.start_bindings import StartBindings
from camphorchute.runs.zone_availability import ZoneAvailability

__all__ = ["WorkerGroup"]

ISOLATED_SHARE_MAX = 1 / 4
UNKNOWN_LEASES_EXPIRY_MS = 1900.0  # a lease and the time for which orphans are kept
MS_PER_S = 1000.0


class Placement:
    """What became of the pending tasks of a group.

    Attributes:
        started: tasks that were started.
        not_found: durable tasks whose earlier run no worker has.
        lost: tasks whose earlier run was on a worker that is gone.
        has_changed: whether a task left the backlog.
    """

    __slots__ = ("started", "not_found", "lost", "has_changed")

    def __init__(self) -> None:
        self.started: list[PendingTask] = []
        self.not_found: list[PendingTask] = []
        self.lost: list[PendingTask] = []
        self.has_changed = False


class WorkerGroup:
    """A worker group that this process schedules.

    Args:
        name: name of the group.
        service: the service that its workers belong to.
        fence: fencing token of the group's claim.
        policies: the policies for the order of tasks and the choice of workers.
        zone_availability: how much of the group's zone may be offered.
        interference: which kinds of tasks are kept apart, None if none are.
        count: adds to a named counter.
        start_bindings: the workers that the tasks of the scheduler are bound to.
        owner_contacts: bounds the leases by the last news of the owners of the jobs.

    Attributes:
        name: name of the group.
        zone: availability zone of its workers.
        service: the service that its workers belong to.
        fence: fencing token of the group's claim.
        workers: its workers by id.
        backlog: its pending tasks.
        rejecting_worker_ids: ids of the workers that have rejected the fencing token.
    """

    __slots__ = (
        "name",
        "zone",
        "service",
        "fence",
        "workers",
        "backlog",
        "rejecting_worker_ids",
        "_policies",
        "_start_bindings",
        "_owner_contacts",
        "_interference",
        "_count",
        "_zone_availability",
    )

    def __init__(
        self,
        name: str,
        service: str,
        fence: int,
        policies: DecisionPolicies,
        zone_availability: ZoneAvailability,
        interference: LearnedInterference | None = None,
        count: Callable[..., None] = lambda name: None,
        start_bindings: StartBindings | None = None,
        owner_contacts: OwnerContacts | None = None,
    ) -> None:
        self.name = name
        self.zone = zone_of_group(name)
        self.service = service
        self.fence = fence
        self.workers: dict[str, LeasedWorker] = {}
        self.backlog = Backlog(policies.task_order)
        self.rejecting_worker_ids: set[str] = set()
        self._policies = policies
        self._start_bindings = start_bindings or StartBindings()
        self._owner_contacts = owner_contacts or OwnerContacts()
        self._zone_availability = zone_availability
        self._interference = interference
        self._count = count

    def offered_count(self, now_s: float) -> int | None:
        """Return how many workers may be offered, None if the zone is in full service.

        Args:
            now_s: time of the monotonic clock in seconds.
        """
        share = self._zone_availability.offered_share(self.zone, now_s)
        return None if share >= 1.0 else int(share * len(self.workers))

    def offered_workers(self, now_s: float) -> Collection[LeasedWorker]:
        """Return the workers that tasks may be started on.

        While the zone returns to service, their order depends on the worker ids only, so that a
        change of scheduler offers no other workers.

        Args:
            now_s: time of the monotonic clock in seconds.
        """
        count = self.offered_count(now_s)
        if count is None:
            return self.workers.values()
        return [self.workers[name] for name in sorted(self.workers, key=_return_order)[:count]]

    def adopt_run(self, task: PendingTask) -> bool:
        """Adopt a run of a task that an earlier scheduler started; return whether there was one.

        An active run takes precedence over every completion: the task may have been started again
        after a completion that its earlier scheduler had not acknowledged yet. A completion is
        adopted only once the earlier runs are known, and unless the task is durable only if it is
        a success. A bound task has no run but on its worker.
        """
        orphaned_runs = [
            (worker.orphans[task.name][0], worker)
            for worker in self.workers.values()
            if task.name in worker.orphans
        ]
        if orphaned_runs:
            number, worker = max(orphaned_runs, key=lambda pair: pair[0])
            worker.adopt_run(task, number)
            return True
        binding = self._start_bindings.of_task(task.name)
        if not task.may_run or (binding is None and not self.are_earlier_runs_known(task)):
            return False
        for worker in self.workers.values():
            if binding is not None and worker.entry.worker_id != binding.worker_id:
                continue
            for completion in worker.completions.completions_of(task.name):
                if binding is not None and completion.run < binding.number:
                    continue
                if completion.outcome is RunOutcome.DONE or task.is_durable:
                    worker.adopt_run(task, completion.run, completion.outcome)
                    return True
        return False

    def are_earlier_runs_known(self, task: PendingTask) -> bool:
        """Whether no earlier run of a task can be active on a worker that was not polled yet.

        If the earlier scheduler named the worker and it is in the group, that worker must have
        ruled the run out: a list of runs from before the report may be older than the start.
        Otherwise every listed worker must have listed its runs in its present incarnation, and the
        leases on workers unknown to this scheduler must have expired: the earlier scheduler no
        longer renews them, because it has lost the task's owner or the group, and another one stops
        runs that nobody asks for. A worker that has been silent for so long that every lease has
        ended has no run left.
        """
        worker = self.workers.get(task.worker_id)
        if worker is not None:
            return worker.is_silent_beyond_leases() or _is_earlier_run_ruled_out(worker, task)
        if time.monotonic() - task.may_run_since_s < UNKNOWN_LEASES_EXPIRY_MS / MS_PER_S:
            return False
        return all(
            (worker.synced and not worker.has_ended)
            or worker.unlisted_ms() > 0
            or worker.is_silent_beyond_leases()
            for worker in self.workers.values()
        )

    def watch_bound_task(self, task: PendingTask) -> None:
        """Poll the worker of a bound task, which may carry its start command out while it is idle.

        Args:
            task: the task.
        """
        binding = self._start_bindings.of_task(task.name)
        worker = None if binding is None else self.workers.get(binding.worker_id)
        if worker is not None:
            worker.request_poll()

    def is_bound(self, task: PendingTask) -> bool:
        """Whether a start command for a task may still arrive, so that it has one worker only."""
        return self._start_bindings.of_task(task.name) is not None

    def bar_earlier_run(self, task: PendingTask) -> None:
        """Have the worker that may have the earlier run of a stopped task rule it out.

        Its start command may still be under way, and the job may be repeated meanwhile.

        Args:
            task: a task that was stopped while it was pending.
        """
        worker = self.workers.get(task.worker_id)
        if task.may_run and worker is not None:
            self._count("runs.bar_of_stopped_task")
            worker.rule_out(EarlierRun(task.name, task.next_run - 1, worker))

    def take_pending(self, task: PendingTask, earlier_group: "WorkerGroup | None") -> None:
        """Move a pending task here from the group that it was dispatched to before; a run stays.

        Args:
            task: the task.
            earlier_group: that group, None if it is no longer scheduled here.
        """
        if task.run is None and earlier_group is not None and earlier_group is not self:
            earlier_group.backlog.remove(task)
            self.backlog.add(task)
            task.group = self.name

    def adopt_pending(self) -> None:
        """Adopt earlier runs of pending tasks that may already be running.

        A run that was ruled out is active if its start command has reached another incarnation.
        """
        active = {name for worker in self.workers.values() for name in worker.orphans}
        for task in [task for task in self.backlog if task.may_run or task.name in active]:
            if self.adopt_run(task):
                self.backlog.remove(task)

    def place_pending(self, now_s: float) -> Placement:
        """Start the pending tasks that fit into the free capacity, the most urgent first.

        A durable task with an earlier run is not started here: the run's worker may have moved to
        another group and hold the completion there.

        Args:
            now_s: time of the monotonic clock in seconds.
        """
        self.backlog.sort(now_s)
        placement = Placement()
        remaining: list[PendingTask] = []
        smallest_unplaced: Resources | None = None
        smallest_by_owner: dict[str, Resources] = {}  # of owners without recent news
        for task in self.backlog:
            demand = task.message.demand
            binding = self._start_bindings.of_task(task.name)
            if binding is not None and _is_run_repeated(task, binding):
                if self._repeat_run(task, binding, now_s):
                    placement.started.append(task)
                else:
                    remaining.append(task)
                continue
            has_unknown_run = task.may_run and not self.are_earlier_runs_known(task)
            is_run_over = task.may_run and not has_unknown_run and binding is None
            if is_run_over and self._is_lost_with_worker(task):
                if not self.adopt_run(task):
                    placement.lost.append(task)
                continue
            if is_run_over and task.is_durable:
                if not self.adopt_run(task):
                    placement.not_found.append(task)
                continue
            smallest = smallest_by_owner.get(task.owner_id, smallest_unplaced)
            if has_unknown_run or (smallest and demand.can_hold(smallest)):
                remaining.append(task)
                continue
            worker = self.choose_worker(task, now_s)
            if worker is not None:
                placement.started.append(task)
                task.job_tasks.has_started = True
                worker.start_task(task, bool(task.lost_runs) and self._may_isolate())
                continue
            remaining.append(task)
            if binding is not None or (smallest and not smallest.can_hold(demand)):
                continue
            if self._owner_contacts.allows_full_lease(task, now_s):
                smallest_unplaced = demand
            else:
                self._count("runs.start_without_news_of_owner")
                smallest_by_owner[task.owner_id] = demand
        placement.has_changed = len(remaining) < len(self.backlog)
        self.backlog.replace(remaining)
        return placement

    def _repeat_run(self, task: PendingTask, binding: StartBinding, now_s: float) -> bool:
        """Send the start command of a bound task again; return whether that is possible now.

        The loss of an acknowledged run of a durable task is stored before the task starts again.
        """
        worker = self.workers.get(binding.worker_id)
        if worker is None or not worker.can_start(task, now_s):
            return False
        if not self._start_bindings.allows(task.name, binding.worker_id):
            return False
        is_lost = self._is_lost_with_worker(task) and task.last_place.was_acknowledged
        if (is_lost and task.is_durable) or not binding.may_be_sent_to(worker.entry.incarnation):
            return False
        task.job_tasks.has_started = True
        worker.start_task(task, number=binding.number)
        return True

    def _may_isolate(self) -> bool:
        """Whether one more worker may be left to a single task that lost its worker."""
        isolated = sum(worker.isolated_run is not None for worker in self.workers.values())
        return isolated < max(1, len(self.workers) * ISOLATED_SHARE_MAX)

    def _is_lost_with_worker(self, task: PendingTask) -> bool:
        """Return whether the incarnation that had the earlier run of a task is no longer listed."""
        place = task.last_place
        if place is None or task.cancelled:
            return False
        worker = self.workers.get(place.worker_id)
        return worker is None or worker.entry.incarnation != place.incarnation

    def choose_worker(self, task: PendingTask, now_s: float) -> LeasedWorker | None:
        """Return the worker that a task should start on now, None if no worker has capacity.

        Args:
            task: the task.
            now_s: time of the monotonic clock in seconds.
        """
        demand = task.message.demand
        candidates = [
            worker
            for worker in self.offered_workers(now_s)
            if worker.free_capacity.can_hold(demand)
            and self._start_bindings.allows(task.name, worker.entry.worker_id)
            and worker.can_start(task, now_s)
        ]
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        message = task.message

        def rank(worker: LeasedWorker) -> tuple:
            return (
                _is_avoided(worker, task),
                self._policies.worker_choice(
                    WorkerCandidate(worker.speed.value), message.estimate_ms, message.limits
                ),
                worker.free_capacity.cpu_millicores,
            )

        chosen = min(candidates, key=rank)
        if self._interference is not None:
            conflicts = self._interference.conflicting_kinds(message.kind)
            first, chosen = chosen, keep_apart(conflicts, candidates, chosen, rank, _active_kinds)
            if chosen is not first:
                self._count("runs.kept_apart")
        return chosen

    def free_capacity(self, now_s: float) -> GroupFreeCapacity:
        """Return the free capacity and the backlog of the group.

        Args:
            now_s: time of the monotonic clock in seconds.
        """
        workers, capacity, largest = [], Resources(0), Resources(0)
        offered = set(self.offered_workers(now_s))
        for worker in self.workers.values():
            is_offered = worker in offered
            usable = worker.usable_capacity(now_s) if is_offered else Resources(0)
            workers.append(WorkerFreeCapacity(usable, round(worker.speed.value, 3)))
            if is_offered and worker.synced and not worker.entry.is_draining:
                capacity = capacity.plus(worker.entry.capacity)
                largest = largest.largest_with(worker.entry.capacity)
        return GroupFreeCapacity(
            self.name,
            self.service,
            capacity,
            self.backlog.work_core_ms(now_s),
            workers,
            self.backlog.oldest_wait_ms(now_s),
            self.backlog.late_wait_ms(now_s, capacity.cpu_millicores / 1000),
            largest,
            self.fence,
        )


def _is_avoided(worker: LeasedWorker, task: PendingTask) -> bool | int:
    """Return whether a task should rather start on another worker, as a rank.

    A task that lost its worker starts on another machine and without others beside it if possible.
    """
    if not task.lost_runs:
        return worker.entry.worker_id == task.avoided_worker_id
    is_same_machine = task.last_place is not None and (
        task.last_place.address == worker.entry.address
    )
    return 2 * is_same_machine + bool(worker.runs)


def _is_run_repeated(task: PendingTask, binding: StartBinding) -> bool:
    """Return whether the next run of a task is the one that its start command under way starts."""
    is_there = task.may_run and task.worker_id in ("", binding.worker_id)
    return is_there and binding.is_repeatable and task.next_run - 1 == binding.number


def _active_kinds(worker: LeasedWorker) -> list[str]:
    return [run.task.message.kind for run in worker.runs.values()]


def _return_order(worker_id: str) -> tuple[int, str]:
    """Return the place of a worker in the order in which the workers of a zone are taken back."""
    return xxhash.xxh32_intdigest(worker_id.encode()), worker_id


def _is_earlier_run_ruled_out(worker: LeasedWorker, task: PendingTask) -> bool:
    """Return whether a worker has ruled out the last run of a task; ask it the first time."""
    if task.earlier_run is None or task.earlier_run.worker is not worker:
        task.earlier_run = EarlierRun(task.name, task.next_run - 1, worker)
        worker.rule_out(task.earlier_run)
    return task.earlier_run.is_ruled_out
