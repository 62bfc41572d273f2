"""Both users' workloads, and traces of them that a seed gives."""

import random

__all__ = ["WORKLOADS", "TraceJob", "Workload", "make_trace"]

MS_PER_S = 1000.0


class Workload:
    """What a user's jobs look like.

    Attributes:
        name: its name.
        waste_weight: how much wasted messages count beside response time, 0 to 1.
        tasks_max: most tasks of a job.
        run_time_median_ms: median of the run times from 50 ms to a second.
        long_share: share of tasks that take several seconds.
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

    def run_time_ms(self, rng: random.Random) -> float:
        """Return the time that a task takes on a worker of speed 1."""
        if rng.random() < self.long_share:
            return rng.uniform(2000.0, 5000.0)
        return min(1000.0, max(50.0, rng.lognormvariate(0.0, 0.7) * self.run_time_median_ms))

    def tasks(self, rng: random.Random) -> int:
        """Return the number of tasks of a job; small jobs are the more frequent."""
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
        at_s: when it is submitted, seconds from the begin.
        run_times_ms: the time that each task takes on a worker of speed 1.
        declared_ms: the time that its caller declares for each task.
    """

    __slots__ = ("at_s", "run_times_ms", "declared_ms")

    def __init__(self, at_s: float, run_times_ms: list[float], declared_ms: list[float]) -> None:
        self.at_s = at_s
        self.run_times_ms = run_times_ms
        self.declared_ms = declared_ms


def make_trace(
    workload: Workload, capacity: float, load: float, seconds: float, scale: float, seed: int
) -> list[TraceJob]:
    """Return the jobs of a run.

    Args:
        workload: whose jobs.
        capacity: slots, each divided by the slowness of its worker.
        load: offered work as a share of the capacity.
        seconds: length of the arrivals.
        scale: factor on all run times.
        seed: gives the same trace again.

    Examples:
        >>> first = make_trace(WORKLOADS["huberhof"], 8.0, 0.5, 2.0, 1.0, 3)
        >>> again = make_trace(WORKLOADS["huberhof"], 8.0, 0.5, 2.0, 1.0, 3)
        >>> [job.at_s for job in first] == [job.at_s for job in again]
        True
    """
    rng = random.Random(seed)
    jobs = []
    offered_ms = capacity * load * seconds * MS_PER_S
    while offered_ms > 0:
        times_ms = [workload.run_time_ms(rng) * scale for _ in range(workload.tasks(rng))]
        declared_ms = [time_ms * rng.uniform(0.5, 2.0) for time_ms in times_ms]
        jobs.append(TraceJob(rng.uniform(0.0, seconds), times_ms, declared_ms))
        offered_ms -= sum(times_ms)
    return sorted(jobs, key=lambda job: job.at_s)
