"""Model of worker groups that decide by the real policies, with a clock of its own."""

import heapq
import random
from collections.abc import Callable

from bench.patterns.job import JobKind, ModelJob
from bench.patterns.outcome import PatternOutcome
from bench.patterns.sharing import WorkerSharing
from camphorchute.contracts.batch_job import BatchStep
from camphorchute.contracts.resources import Resources
from camphorchute.contracts.run_messages import GroupFreeCapacity, StartTasks, TaskToStart
from camphorchute.policies import DecisionPolicies, FailureTracker, WorkerSpeed
from camphorchute.policies.admission import JobTimes, is_admitted
from camphorchute.policies.overdue import RunAge, RunTimeSpread, expected_run_ms
from camphorchute.policies.worker_choice import WorkerCandidate
from camphorchute.queues.group_wait import GroupWait
from camphorchute.runs.backlog import Backlog
from camphorchute.runs.run import PendingTask

__all__ = ["Model", "ModelWorker"]

SWEEP_INTERVAL_S = 0.02
STOP_S = 0.06
TAIL_FACTOR = 7.0
FAILURE_S = 0.01
CORES_PER_TASK = 14
DEADLINE_FACTOR, DEADLINE_ADDED_MS = 3.0, 1000.0
MS_PER_S = 1000.0


class ModelWorker:
    """A worker of the model.

    Attributes:
        zone: its availability zone.
        speed: how fast it runs tasks; 0 if they make no progress.
        slots: number of tasks that it can run at once.
        fails: whether every run fails at once.
        is_up: whether it runs tasks.
        learned: the speed learned from its runs.
        failures: recent outcomes of its runs.
        runs: its active runs by task.
    """

    __slots__ = ("zone", "speed", "slots", "fails", "is_up", "learned", "failures", "runs")

    def __init__(self, zone: str, speed: float, rng: random.Random, slots: int = 2) -> None:
        self.zone = zone
        self.speed = speed
        self.slots = slots
        self.fails = False
        self.is_up = True
        self.learned = WorkerSpeed()
        self.failures = FailureTracker(rng)
        self.runs: dict[PendingTask, float] = {}

    def can_start(self, now_s: float) -> bool:
        """Return whether a task can be started now; an ejected worker takes one as a probe."""
        if not self.is_up or len(self.runs) >= self.slots:
            return False
        is_probe = not self.runs and now_s * MS_PER_S >= self.failures.probe_at_ms
        return not self.failures.ejected or is_probe


class Model:
    """Worker groups, one in each zone, and the jobs that are submitted to them.

    Args:
        policies: the policies to decide by.
        seed: seed of the random numbers.
        workers_per_zone: number of workers of each of the zones.
        zones: names of the zones.
        estimate_error: sigma of the logarithm of the error of estimates.

    Attributes:
        now_s: time of the model's clock, in seconds.
        workers: the workers.
        cut_zone: zone whose workers and callers are partitioned from the others, empty if none.
        has_schedulers: whether schedulers are known; without them jobs wait.
        sharing: the runs that share workers, and the interference policy.
        tail_share: share of the jobs whose tasks take :data:`TAIL_FACTOR` times as long.
        outcome: the outcome so far.
    """

    def __init__(
        self,
        policies: DecisionPolicies,
        seed: int,
        workers_per_zone: int = 8,
        zones: tuple[str, ...] = ("a", "b", "c"),
        estimate_error: float = 0.3,
    ) -> None:
        self.now_s = 0.0
        self.random = random.Random(seed)
        self.policies = policies
        self.zones = zones
        speeds = (0.6, 1.0, 1.6)
        self.workers = [
            ModelWorker(zone, speeds[number % len(speeds)], self.random)
            for zone in zones
            for number in range(workers_per_zone)
        ]
        self.cut_zone = ""
        self.has_schedulers = True
        self.sharing = WorkerSharing(policies, self.at, lambda: self.now_s)
        self.tail_share = 0.0
        self.outcome = PatternOutcome()
        self._estimate_error = estimate_error
        self._backlogs = {zone: Backlog(policies.task_order) for zone in zones}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._counter = 0
        self._jobs: dict[PendingTask, ModelJob] = {}
        self._spreads: dict[str, RunTimeSpread] = {}

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Do something at a time of the model's clock."""
        self._counter += 1
        heapq.heappush(self._events, (time_s, self._counter, action))

    def submit_at_rate(
        self, kind: JobKind, jobs_per_s: float, from_s: float, until_s: float
    ) -> None:
        """Submit jobs of a kind with exponential pauses, evenly in all zones.

        All jobs are drawn here, so that every policy gets the same ones.
        """
        time_s = from_s
        while (time_s := time_s + self.random.expovariate(jobs_per_s)) < until_s:
            job = self._draw_job(kind, time_s)
            self.at(time_s, lambda job=job: self._admit(job))

    def lose_runs_across_the_cut(self) -> None:
        """Give up the jobs with tasks on the other side of a partition."""
        for task, job in self._jobs.items():
            is_across = task.message.group not in self._reachable(job.zone)
            if is_across and job.open and not job.over:
                self._give_up(job)

    def play(self, until_s: float) -> PatternOutcome:
        """Play all events up to a time, and return the outcome."""
        self.at(SWEEP_INTERVAL_S, self._sweep)
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        return self.outcome

    def _draw_job(self, kind: JobKind, submitted_s: float) -> ModelJob:
        work_ms = self.random.lognormvariate(0.0, 0.3) * kind.work_ms
        estimate_ms = work_ms * self.random.lognormvariate(0.0, self._estimate_error)
        if self.tail_share and self.random.random() < self.tail_share:
            work_ms *= TAIL_FACTOR
        zone = self.random.choice(self.zones)
        width = max(1, round(self.random.gauss(kind.width, kind.width * 0.3)))
        return ModelJob(kind, zone, submitted_s, work_ms, estimate_ms, width)

    def _admit(self, job: ModelJob) -> None:
        limits = job.kind.limits
        target_ms = limits.target_time_ms(job.estimate_ms)
        deadline_ms = DEADLINE_FACTOR * target_ms + DEADLINE_ADDED_MS
        limit_ms = self.policies.admission(JobTimes(job.estimate_ms, target_ms, deadline_ms))
        waited_ms = (self.now_s - job.submitted_s) * MS_PER_S
        if not self.has_schedulers:
            if waited_ms >= limit_ms:
                self.outcome.refused += 1
            else:
                self.at(self.now_s + SWEEP_INTERVAL_S, lambda: self._admit(job))
            return
        zones, wait_ms = self._plan(job)
        if not is_admitted(waited_ms + wait_ms, limit_ms):
            self.outcome.refused += 1
            return
        job.open = job.width
        for index, zone in enumerate(zones):
            self._dispatch(job, index, zone, limit_ms, deadline_ms)
        for zone in dict.fromkeys(zones):
            self._place(zone)

    def _reachable(self, zone: str) -> list[str]:
        if not self.cut_zone:
            return list(self.zones)
        return [
            other for other in self.zones if (other == self.cut_zone) == (zone == self.cut_zone)
        ]

    def _plan(self, job: ModelJob) -> tuple[list[str], float]:
        """Return a zone for each task, and the expected wait of the last one."""
        reachable = self._reachable(job.zone)
        ranked = sorted(
            (
                self._rank(worker, job, worker.zone == job.zone) + (number,)
                for number, worker in enumerate(self.workers)
                if worker.zone in reachable and worker.can_start(self.now_s)
                for _ in range(worker.slots - len(worker.runs))
            )
        )
        zones = [self.workers[row[-1]].zone for row in ranked[: job.width]]
        step = BatchStep(job.width, Resources(CORES_PER_TASK * 1000), job.estimate_ms)
        waits = {
            zone: GroupWait(self._report(zone), step, job.kind.limits, zone == job.zone)
            for zone in reachable
        }
        wait_ms = 0.0
        for _ in range(job.width - len(zones)):
            zone = min(waits, key=lambda name: waits[name].cost_ms())
            waits[zone].add_task()
            zones.append(zone)
            wait_ms = max(wait_ms, waits[zone].expected_ms())
        return zones, wait_ms

    def _report(self, zone: str) -> GroupFreeCapacity:
        backlog = self._backlogs[zone]
        slots = sum(worker.slots for worker in self.workers if worker.zone == zone)
        capacity = Resources(slots * CORES_PER_TASK * 1000)
        return GroupFreeCapacity(
            zone,
            "service",
            capacity,
            backlog.work_core_ms(self.now_s),
            [],
            backlog.oldest_wait_ms(self.now_s),
            backlog.late_wait_ms(self.now_s, slots * CORES_PER_TASK),
        )

    def _rank(self, worker: ModelWorker, job: ModelJob, is_own_zone: bool) -> tuple:
        candidate = WorkerCandidate(worker.learned.value, is_own_zone)
        return self.policies.worker_choice(candidate, job.estimate_ms, job.kind.limits)

    def _dispatch(
        self, job: ModelJob, index: int, zone: str, limit_ms: float, deadline_ms: float
    ) -> None:
        waited_ms = (self.now_s - job.submitted_s) * MS_PER_S
        limits = job.kind.limits
        self._counter += 1
        message = StartTasks(
            zone,
            f"job{id(job)}",
            0,
            "",
            Resources(CORES_PER_TASK * 1000),
            job.estimate_ms,
            job.kind.name,
            limits,
            limit_ms - waited_ms,
            deadline_ms - waited_ms,
            [],
            in_time_within_ms=limits.slack_ms(job.estimate_ms) - waited_ms,
        )
        task = PendingTask("owner", message, TaskToStart(index, 1), self.now_s, self._counter)
        task.job_tasks = job.tasks
        self._jobs[task] = job
        self._backlogs[zone].add(task)

    def _place(self, zone: str) -> None:
        backlog = self._backlogs[zone]
        backlog.sort(self.now_s)
        for task in list(backlog):
            job = self._jobs[task]
            free = [
                worker
                for worker in self.workers
                if worker.zone == zone and worker.can_start(self.now_s)
            ]
            if not free:
                return
            backlog.remove(task)
            if job.over:
                continue
            worker = self.sharing.choose(
                task, free, lambda worker, job=job: self._rank(worker, job, True)
            )
            self._start(worker, task, job)

    def _start(self, worker: ModelWorker, task: PendingTask, job: ModelJob) -> None:
        started_s = self.now_s
        job.tasks.has_started = True
        worker.runs[task] = started_s
        self.outcome.starts += 1
        if worker.fails:
            self.at(started_s + FAILURE_S, lambda: self._end(worker, task, started_s, False))
        elif worker.speed > 0:
            self.sharing.start_run(
                worker, task, job.work_ms, lambda: self._end(worker, task, started_s, True)
            )

    def _end(self, worker: ModelWorker, task: PendingTask, started_s: float, ok: bool) -> None:
        if worker.runs.get(task) != started_s or not worker.is_up:
            return
        job = self._jobs[task]
        is_slowed = self._release(worker, task, ok)
        elapsed_ms = (self.now_s - started_s) * MS_PER_S
        self._record_outcome(worker, task, started_s, ok)
        if not ok:
            task.failures += 1
            if task.failures >= job.kind.limits.max_attempts:
                self._give_up(job)
            self._requeue(task, job)
        else:
            ratio = elapsed_ms / expected_run_ms(job.estimate_ms, worker.learned.value)
            self._spread(job).record_ratio(ratio)
            job.tasks.record_ratio(ratio)
            if not is_slowed:
                worker.learned.record_run(job.estimate_ms, elapsed_ms)
            job.open -= 1
            if not job.open and not job.over:
                job.over = True
                took_ms = (self.now_s - job.submitted_s) * MS_PER_S
                target_ms = job.kind.limits.target_time_ms(job.work_ms)
                self.outcome.record_done(took_ms, job.work_ms, target_ms)
        self._place(worker.zone)

    def _release(self, worker: ModelWorker, task: PendingTask, ok: bool = False) -> bool:
        """End a run of a task; return whether a neighbour is known to have slowed it down."""
        started_s = worker.runs.pop(task)
        self.outcome.core_s += CORES_PER_TASK * (self.now_s - started_s)
        return self.sharing.end_run(worker, task, self._jobs[task], started_s, ok)

    def _requeue(self, task: PendingTask, job: ModelJob) -> None:
        task.start_by_s = task.finish_by_s
        if not job.over:
            self._backlogs[task.message.group].add(task)

    def _record_outcome(
        self,
        worker: ModelWorker,
        task: PendingTask,
        started_s: float,
        ok: bool,
        is_overdue: bool = False,
    ) -> None:
        tracker = worker.failures
        tracker.record_outcome(ok, task.message.job_id, self.now_s * MS_PER_S)
        others = [
            other.failures
            for other in self.workers
            if other.zone == worker.zone and other is not worker
        ]
        if tracker.ejected and ok:
            tracker.restore()
        elif not ok and (
            tracker.is_probe(started_s * MS_PER_S)
            or not tracker.ejected
            and self.policies.ejection(tracker, others, is_overdue)
        ):
            tracker.eject(self.now_s * MS_PER_S)

    def _spread(self, job: ModelJob) -> RunTimeSpread:
        return self._spreads.setdefault(job.kind.name, RunTimeSpread())

    def _give_up(self, job: ModelJob) -> None:
        """End a job that cannot be done in time."""
        if not job.over:
            job.over = True
            self.outcome.failed += job.tasks.has_started
            self.outcome.refused += not job.tasks.has_started

    def _sweep(self) -> None:
        for zone, backlog in self._backlogs.items():
            for task in backlog.expired(self.now_s):
                if not self._jobs[task].tasks.has_started:
                    backlog.remove(task)
                    backlog.last_missed_s = self.now_s
                    self._give_up(self._jobs[task])
            self._place(zone)
        for worker in self.workers:
            for task, started_s in list(worker.runs.items()):
                self._check_run(worker, task, started_s)
        self.at(self.now_s + SWEEP_INTERVAL_S, self._sweep)

    def _check_run(self, worker: ModelWorker, task: PendingTask, started_s: float) -> None:
        """Stop a run that is overdue, or whose job is past its deadline."""
        job = self._jobs[task]
        if self.now_s >= task.finish_by_s or job.over:
            self._give_up(job)
            self._release(worker, task)
            return
        age = RunAge(
            (self.now_s - started_s) * MS_PER_S,
            expected_run_ms(job.estimate_ms, worker.learned.value, worker.failures.ejected),
            self._spread(job),
            job.tasks.run_time_ratio(default=0.0),
            task.overdue_stops,
            job.estimate_ms,
            worker.failures.makes_progress(started_s * MS_PER_S),
        )
        if self.policies.overdue(age):
            task.overdue_stops += 1
            self._release(worker, task)
            worker.learned.record_run(job.estimate_ms, age.elapsed_ms)
            self._record_outcome(worker, task, started_s, False, is_overdue=True)
            self.at(self.now_s + STOP_S, lambda: self._requeue(task, job))
