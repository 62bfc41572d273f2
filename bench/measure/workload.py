"""Workloads of both users, and reproducible job traces drawn from them."""

import random

__all__ = ["WORKLOADS", "TraceJob", "Workload", "make_trace"]

MS_PER_S = 1000.0


class Workload:
    """Distribution of the jobs of a user.

    Attributes:
        name: name of the workload.
        waste_weight: weight of wasted messages against response time, 0 to 1.
        tasks_max: maximum number of tasks of a job.
        run_time_median_ms: median of the short run times, which lie between 50 ms and 1 s.
        long_share: share of tasks that run for 2 to 5 s.
    """

    __slots__ = ("name", "waste_weight", "tasks_max", "run_time_median_ms", "long_share")

    def __init__(
        self,
        name: str,
        waste_weight: float,
        tasks_max: int,
        run_time_median_ms: float,
        long_share: float,
    ) -> None:
        self.name = name
        self.waste_weight = waste_weight
        self.tasks_max = tasks_max
        self.run_time_median_ms = run_time_median_ms
        self.long_share = long_share

    def draw_run_time_ms(self, rng: random.Random) -> float:
        """Return a random run time of a task on a worker with slowness 1, in milliseconds."""
        if rng.random() < self.long_share:
            return rng.uniform(2000.0, 5000.0)
        return min(1000.0, max(50.0, rng.lognormvariate(0.0, 0.7) * self.run_time_median_ms))

    def draw_task_count(self, rng: random.Random) -> int:
        """Return a random number of tasks for a job; small jobs are more frequent."""
        return max(1, round(self.tasks_max ** rng.random()))


WORKLOADS = {
    workload.name: workload
    for workload in (
        Workload("association", 0.2, 60, 200.0, 0.01),
        Workload("huberhof", 0.8, 60, 350.0, 0.02),
    )
}


class TraceJob:
    """One job of a trace.

    Attributes:
        arrival_s: time of submission in seconds after the start of the trace.
        run_times_ms: run time of each task on a worker with slowness 1, in milliseconds.
        declared_run_times_ms: run time that the caller declares for each task, in milliseconds.
    """

    __slots__ = ("arrival_s", "run_times_ms", "declared_run_times_ms")

    def __init__(
        self, arrival_s: float, run_times_ms: list[float], declared_run_times_ms: list[float]
    ) -> None:
        self.arrival_s = arrival_s
        self.run_times_ms = run_times_ms
        self.declared_run_times_ms = declared_run_times_ms


def make_trace(
    workload: Workload, capacity: float, load: float, seconds: float, scale: float, seed: int
) -> list[TraceJob]:
    """Return a random trace of jobs, sorted by arrival.

    Args:
        workload: distribution of the jobs.
        capacity: sum over all slots of 1 divided by the slowness of the worker.
        load: offered work as a share of the capacity.
        seconds: duration of the arrivals.
        scale: factor on all run times.
        seed: seed of the random numbers; equal arguments give equal traces.

    Examples:
        >>> first = make_trace(WORKLOADS["huberhof"], 8.0, 0.5, 2.0, 1.0, 3)
        >>> again = make_trace(WORKLOADS["huberhof"], 8.0, 0.5, 2.0, 1.0, 3)
        >>> [job.arrival_s for job in first] == [job.arrival_s for job in again]
        True
    """
    rng = random.Random(seed)
    jobs = []
    offered_ms = capacity * load * seconds * MS_PER_S
    while offered_ms > 0:
        times_ms = [
            workload.draw_run_time_ms(rng) * scale for _ in range(workload.draw_task_count(rng))
        ]
        declared_ms = [time_ms * rng.uniform(0.5, 2.0) for time_ms in times_ms]
        jobs.append(TraceJob(rng.uniform(0.0, seconds), times_ms, declared_ms))
        offered_ms -= sum(times_ms)
    return sorted(jobs, key=lambda job: job.arrival_s)
