"""The ideal: a central scheduler with exact knowledge and no latency, on the same trace."""

from bench.measure.workload import MS_PER_S, TraceJob

__all__ = ["ideal_responses_ms"]


def ideal_responses_ms(
    jobs: list[TraceJob], slowness: list[float], slots: int, deadline_ms: float
) -> list[float | None]:
    """Return the response time of each job; None for one that is refused.

    Jobs are served in order of arrival. The tasks of a job go longest first, each to the slot
    where it ends first. A job that would end after its deadline is refused and uses no slot.

    Args:
        jobs: the trace, in order of arrival.
        slowness: for each worker, the factor on run times; a worker that fails is left out.
        slots: slots of each worker.
        deadline_ms: time that every job has.

    Examples:
        >>> job = TraceJob(0.0, [100.0, 50.0, 50.0], [1.0] * 3)
        >>> ideal_responses_ms([job], [1.0], 2, 1000.0)
        [100.0]
        >>> ideal_responses_ms([job, job], [1.0], 2, 150.0)
        [100.0, None]
    """
    free_ms = [[0.0] * slots for _ in slowness]
    responses: list[float | None] = []
    for job in jobs:
        trial_ms = [list(times) for times in free_ms]
        ends_ms = _place(job, trial_ms, slowness)
        if ends_ms - job.at_s * MS_PER_S <= deadline_ms:
            free_ms = trial_ms
            responses.append(ends_ms - job.at_s * MS_PER_S)
        else:
            responses.append(None)
    return responses


def _place(job: TraceJob, free_ms: list[list[float]], slowness: list[float]) -> float:
    """Place the tasks of a job and return when the last one ends."""
    now_ms = job.at_s * MS_PER_S
    job_ends_ms = now_ms
    for run_time_ms in sorted(job.run_times_ms, reverse=True):
        best_end_ms, best = float("inf"), 0
        for number, times in enumerate(free_ms):
            end_ms = max(now_ms, times[0]) + run_time_ms * slowness[number]
            if end_ms < best_end_ms:
                best_end_ms, best = end_ms, number
        times = free_ms[best]
        times[0] = best_end_ms
        times.sort()
        job_ends_ms = max(job_ends_ms, best_end_ms)
    return job_ends_ms
