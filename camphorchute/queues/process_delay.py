"""Process delay: the part of a job's time that it neither waits for workers nor runs."""

import math
import time
from collections.abc import Callable, Iterable

from camphorchute.contracts.run_messages import TaskResult
from camphorchute.policies.decaying_quantile import DecayingQuantile
from camphorchute.queues.job_run import JobRun, TaskState

__all__ = ["ProcessDelay"]

QUANTILE = 0.75
KNOWN_WEIGHT_MIN = 1.0
COMPUTE_INTERVAL_MS = 20.0
LONG_RUN_FACTOR = 3.0  # without a result, a run that takes several times as long looks like a delay
SCHEDULERS_MAX = 64
CLOCK_TOLERANCE_MS = 5.0  # figures are rounded to milliseconds
CLOCK_TOLERANCE_SHARE = 0.02
MS_PER_S = 1000.0


class _RecentDelay:
    """Quantile of recent delays; it is computed at intervals, as plans ask for it often."""

    __slots__ = ("_delays", "_value_ms", "_is_known", "_valid_until_s")

    def __init__(self) -> None:
        self._delays = DecayingQuantile()
        self._value_ms = 0.0
        self._is_known = False
        self._valid_until_s = 0.0

    def add(self, delay_ms: float, now_s: float) -> None:
        """Add a delay."""
        self._delays.add(delay_ms, now_s)

    def value_ms(self, now_s: float) -> float:
        """Return the delay that most jobs do not exceed, in milliseconds."""
        self._compute(now_s)
        return self._value_ms

    def is_known(self, now_s: float) -> bool:
        """Return whether there are recent delays."""
        self._compute(now_s)
        return self._is_known

    def _compute(self, now_s: float) -> None:
        if now_s >= self._valid_until_s:
            self._valid_until_s = now_s + COMPUTE_INTERVAL_MS / MS_PER_S
            self._value_ms = self._delays.value(QUANTILE, now_s)
            self._is_known = self._delays.weight(now_s) >= KNOWN_WEIGHT_MIN


class ProcessDelay:
    """Learns the delay of jobs in event loops, messages and schedulers, for each scheduler.

    A sample is the time from the dispatch of a task to its result, less the times that its
    scheduler reports. Results without these times are passed over; impossible ones are counted.

    Args:
        count: adds to a named counter.

    Attributes:
        on_sample: called with the job, the delay in milliseconds and the number of tasks.
    """

    __slots__ = ("on_sample", "_count", "_overall", "_by_scheduler")

    def __init__(self, count: Callable[..., None]) -> None:
        self.on_sample: Callable[[JobRun, float, int], None] = lambda run, delay_ms, tasks: None
        self._count = count
        self._overall = _RecentDelay()
        self._by_scheduler: dict[str, _RecentDelay] = {}

    def scheduler_ms(self, scheduler_id: str) -> float:
        """Return the delay of jobs that a scheduler starts, in milliseconds; 0 if it is not known.

        Args:
            scheduler_id: member id of the scheduler.
        """
        known = self._by_scheduler.get(scheduler_id)
        return known.value_ms(time.monotonic()) if known else 0.0

    def expected_ms(self, scheduler_ids: Iterable[str]) -> float:
        """Return the expected delay of a job's step that some schedulers start, in milliseconds.

        The delay at schedulers without recent results is taken to be that of all jobs.

        Args:
            scheduler_ids: member ids of the schedulers.
        """
        now_s = time.monotonic()
        known = [self._by_scheduler.get(scheduler_id) for scheduler_id in scheduler_ids]
        return max(
            (
                (delays if delays and delays.is_known(now_s) else self._overall).value_ms(now_s)
                for delays in known
            ),
            default=0.0,
        )

    def forget_scheduler(self, scheduler_id: str) -> None:
        """Forget the delay of a scheduler to which no link is left.

        Args:
            scheduler_id: member id of the scheduler.
        """
        self._by_scheduler.pop(scheduler_id, None)

    def record_results(self, run: JobRun, scheduler_id: str, results: list[TaskResult]) -> None:
        """Learn from the results of tasks of one job, before they are applied to the job.

        Args:
            run: the job.
            scheduler_id: member id of the scheduler that sent them.
            results: the results.
        """
        now_s = time.monotonic()
        delays_ms = []
        for result in results:
            task = run.find_task(result.step, result.index)
            if task is None or task.scheduler_id != scheduler_id:
                continue
            if result.dispatch != task.dispatch or task.state is not TaskState.HANDED:
                continue
            if result.waited_ms is None or result.run_ms is None:
                continue
            total_ms = (now_s - task.dispatched_s) * MS_PER_S
            if not _is_possible(result.waited_ms, result.run_ms, total_ms):
                self._count("queues.impossible_times")
                continue
            delays_ms.append(max(0.0, total_ms - result.waited_ms - result.run_ms))
        if delays_ms:
            self._add(run, scheduler_id, max(delays_ms), len(delays_ms), now_s)

    def record_given_up(self, run: JobRun) -> None:
        """Learn from a job that ends without the results of tasks that were dispatched.

        The delay is at least the time that each had beyond its expected wait and a long run. A job
        that ends before that, as its caller has left, says nothing.

        Args:
            run: the job.
        """
        now_s = time.monotonic()
        for step, tasks in zip(run.job.steps, run.steps, strict=True):
            expected_ms = run.expected_wait_ms + LONG_RUN_FACTOR * step.estimate_ms
            by_scheduler: dict[str, list[float]] = {}
            for task in tasks:
                delay_ms = (now_s - task.dispatched_s) * MS_PER_S - expected_ms
                if task.state is TaskState.HANDED and delay_ms > 0:
                    by_scheduler.setdefault(task.scheduler_id, []).append(delay_ms)
            for scheduler_id, delays_ms in by_scheduler.items():
                self._add(run, scheduler_id, max(delays_ms), len(delays_ms), now_s)

    def _add(
        self, run: JobRun, scheduler_id: str, delay_ms: float, tasks: int, now_s: float
    ) -> None:
        self._overall.add(delay_ms, now_s)
        delays = self._by_scheduler.pop(scheduler_id, None) or _RecentDelay()
        self._by_scheduler[scheduler_id] = delays
        while len(self._by_scheduler) > SCHEDULERS_MAX:
            del self._by_scheduler[next(iter(self._by_scheduler))]
        delays.add(delay_ms, now_s)
        self.on_sample(run, delay_ms, tasks)


def _is_possible(waited_ms: float, run_ms: float, total_ms: float) -> bool:
    """Return whether the times that a scheduler reports fit into the time that has passed here.

    Examples:
        >>> [_is_possible(waited, 50.0, 100.0) for waited in (0.0, 52.0, 80.0, -1.0, math.nan)]
        [True, True, False, False, False]
    """
    limit_ms = total_ms * (1 + CLOCK_TOLERANCE_SHARE) + CLOCK_TOLERANCE_MS
    are_numbers = math.isfinite(waited_ms) and math.isfinite(run_ms)
    return are_numbers and min(waited_ms, run_ms) >= 0 and waited_ms + run_ms <= limit_ms
