"""Load pattern of saturated processes, in which each job costs processor time."""

import heapq
import random
from collections import deque
from collections.abc import Callable

from camphorchute.contracts.batch_job import QueueLimits
from camphorchute.policies.admission import useful_time_ms
from camphorchute.policies.concurrency_limit import ConcurrencyLimitPolicy
from camphorchute.queues.open_task_limit import OpenTaskLimit

__all__ = ["QueueOutcome", "SaturatedProcesses"]

JOB_CPU_MS, TASK_CPU_MS = 4.5, 2.4  # 13 ms for 3.5 tasks; a third of it is not for their runs
REFUSAL_CPU_MS = 1.3  # a refusal should cost at most a tenth of a job
ACCEPT_SHARE, COLLECT_SHARE = 0.2, 0.15  # of a job's cost, at its owner
START_SHARE, END_SHARE = 0.4, 0.25  # at the schedulers of its tasks
TASKS_PER_SCHEDULER = 2
DEADLINE_MS = 1550.0
LONG_RUN_SHARE, LONG_RUN_FACTOR = 0.03, 7.0
LONG_RUN_MAX = 3.0  # as ProcessDelay, which cannot tell a long run from a delay
MS_PER_S = 1000.0
QUEUES = {  # tasks, run time in ms, share of the jobs, limits
    "urgent": (8, 51.0, 0.24, QueueLimits(0, 3, 1.6, 62.0)),
    "small": (2, 170.0, 0.71, QueueLimits(1, 3, 1.6, 62.0)),
    "long": (4, 760.0, 0.05, QueueLimits(2, 3, 1.6, 62.0)),
}


class QueueOutcome:
    """Counts of the jobs of one queue.

    Attributes:
        jobs: all jobs.
        in_time: jobs that were done within their target time.
        late: jobs that were done within three target times.
        refused: jobs that were refused at once.
        held: jobs that were held until their deadline although none of their tasks ran.
        wide_jobs: jobs of the largest tenth.
        wide_in_time: those that were done within their target time.
    """

    __slots__ = ("jobs", "in_time", "late", "refused", "held", "wide_jobs", "wide_in_time")

    def __init__(self) -> None:
        self.jobs = self.in_time = self.late = self.refused = self.held = 0
        self.wide_jobs = self.wide_in_time = 0

    def served_share(self, is_wide: bool = False) -> float:
        """Return the share of jobs that were done in time, of all or of the largest tenth."""
        if is_wide:
            return self.wide_in_time / max(1, self.wide_jobs)
        return self.in_time / max(1, self.jobs)


class _Job:
    __slots__ = ("queue", "tasks", "is_wide", "arrived_s", "run_s", "open", "has_started", "over")

    def __init__(self, queue: str, rng: random.Random, arrived_s: float) -> None:
        tasks, run_ms, _, _ = QUEUES[queue]
        self.queue, self.arrived_s = queue, arrived_s
        self.is_wide = rng.random() < 0.1
        self.tasks = 3 * tasks // 2 if self.is_wide else tasks
        factor = LONG_RUN_FACTOR if rng.random() < LONG_RUN_SHARE else rng.lognormvariate(0, 0.2)
        self.run_s = run_ms * factor / MS_PER_S
        self.open = 0
        self.has_started = self.over = False

    def cpu_ms(self, share: float) -> float:
        return share * (JOB_CPU_MS + TASK_CPU_MS * self.tasks)


class _Processor:
    """The share of a core of one process, which does one piece of work after the other."""

    def __init__(self, model: "SaturatedProcesses", cores: float) -> None:
        self._model, self._cores = model, cores
        self._work: deque[tuple[Callable[[], float], Callable[[], None]]] = deque()
        self._is_busy = False

    def add(self, cost_ms: Callable[[], float], action: Callable[[], None]) -> None:
        """Add work; its cost is determined when it begins, and the action follows at its end."""
        self._work.append((cost_ms, action))
        if not self._is_busy:
            self._run_next()

    def _run_next(self) -> None:
        self._is_busy = bool(self._work)
        if self._work:
            cost_ms, action = self._work.popleft()
            end_s = self._model.now_s + cost_ms() / MS_PER_S / self._cores
            self._model.at(end_s, lambda: (action(), self._run_next()))


class SaturatedProcesses:
    """Processes that own jobs and schedule tasks of each other, with workers to spare.

    Args:
        policy: the concurrency limit policy.
        jobs_per_s: the rate of arrival at each process.
        seed: seed of the random numbers.
        cores: share of a core that each process has.
        processes: number of processes.

    Attributes:
        now_s: time of the model's clock, in seconds.
        outcomes: the counts by queue.
        limits: the limit of the open tasks of each process.
    """

    def __init__(
        self,
        policy: ConcurrencyLimitPolicy,
        jobs_per_s: float,
        seed: int,
        cores: float = 0.387,
        processes: int = 4,
    ) -> None:
        self.now_s = 0.0
        self.outcomes = {queue: QueueOutcome() for queue in QUEUES}
        self.limits = [OpenTaskLimit(policy) for _ in range(processes)]
        self._processors = [_Processor(self, cores) for _ in range(processes)]
        self._random = random.Random(seed)
        self._jobs_per_s = jobs_per_s * processes
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._counter = 0

    def play(self, until_s: float) -> dict[str, QueueOutcome]:
        """Play arrivals up to a time, and return the counts by queue."""
        for queue, (_, _, share, _) in QUEUES.items():
            time_s = 0.0
            while (time_s := time_s + self._random.expovariate(share * self._jobs_per_s)) < until_s:
                job, owner = _Job(queue, self._random, time_s), self._draw_process()
                self.at(time_s, lambda job=job, owner=owner: self._read(job, owner))
        while self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        return self.outcomes

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Do something at a time of the model's clock."""
        self._counter += 1
        heapq.heappush(self._events, (time_s, self._counter, action))

    def _draw_process(self) -> int:
        return self._random.randrange(len(self._processors))

    def _read(self, job: _Job, owner: int) -> None:
        """Add the work of reading a request, which decides whether the job is accepted."""
        priority, limit = QUEUES[job.queue][3].priority, self.limits[owner]
        outcome = self.outcomes[job.queue]
        outcome.jobs += 1
        outcome.wide_jobs += job.is_wide
        accepted: list[bool] = []

        def cost_ms() -> float:
            accepted.append(limit.is_open_to(job.queue, priority, self.now_s))
            if accepted[0]:
                limit.add_job(job.queue, priority, job.tasks, self.now_s)
            return job.cpu_ms(ACCEPT_SHARE) if accepted[0] else REFUSAL_CPU_MS

        def dispatch() -> None:
            if not accepted[0]:
                outcome.refused += 1
                return
            self.at(job.arrived_s + DEADLINE_MS / MS_PER_S, lambda: self._give_up(job, owner))
            job.open = -(-job.tasks // TASKS_PER_SCHEDULER)
            for _ in range(job.open):
                self._dispatch(job, owner, self._processors[self._draw_process()], 1 / job.open)

        self._processors[owner].add(cost_ms, dispatch)

    def _dispatch(self, job: _Job, owner: int, scheduler: _Processor, share: float) -> None:
        """Start some tasks of a job, and let their results come back to its owner."""
        dispatched_s = self.now_s

        def start() -> None:
            job.has_started = job.has_started or not job.over
            if not job.over:
                self.at(self.now_s + job.run_s, end)

        def end() -> None:
            scheduler.add(lambda: job.cpu_ms(share * END_SHARE), collect)

        def collect() -> None:
            self._processors[owner].add(
                lambda: job.cpu_ms(share * COLLECT_SHARE),
                lambda: self._finish(job, owner, dispatched_s),
            )

        scheduler.add(lambda: 0.0 if job.over else job.cpu_ms(share * START_SHARE), start)

    def _finish(self, job: _Job, owner: int, dispatched_s: float) -> None:
        if job.over:
            return
        _, run_ms, _, limits = QUEUES[job.queue]
        delay_ms = (self.now_s - dispatched_s - job.run_s) * MS_PER_S
        is_late = delay_ms > limits.slack_ms(run_ms)
        self.limits[owner].record_delay(TASKS_PER_SCHEDULER, is_late, self.now_s)
        job.open -= 1
        if job.open:
            return
        took_ms = (self.now_s - job.arrived_s) * MS_PER_S
        target_ms = limits.target_time_ms(run_ms)
        outcome = self.outcomes[job.queue]
        outcome.in_time += took_ms <= target_ms
        outcome.wide_in_time += job.is_wide and took_ms <= target_ms
        outcome.late += target_ms < took_ms <= useful_time_ms(target_ms, DEADLINE_MS)
        self._end(job, owner, took_ms <= target_ms)

    def _give_up(self, job: _Job, owner: int) -> None:
        if not job.over:
            self.outcomes[job.queue].held += not job.has_started
            self._end(job, owner, False)
            _, run_ms, _, limits = QUEUES[job.queue]
            if DEADLINE_MS - LONG_RUN_MAX * run_ms > limits.slack_ms(run_ms):
                self.limits[owner].record_delay(job.tasks, True, self.now_s)

    def _end(self, job: _Job, owner: int, is_in_time: bool) -> None:
        job.over = True
        open_s = self.now_s - job.arrived_s
        self.limits[owner].remove_job(job.queue, job.tasks, open_s, is_in_time)
