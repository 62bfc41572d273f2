"""Reference for the benchmark: an ideal scheduler simulated on the same trace.

The ideal scheduler is central, knows every run time exactly and has no latency.
"""

from bench.measure.workload import MS_PER_S, TraceJob

__all__ = ["ideal_responses_ms"]


def ideal_responses_ms(
    jobs: list[TraceJob], slowness: list[float], slots: int, deadline_ms: float
) -> list[float | None]:
    """Return the response time of each job in milliseconds, or None if the job is refused.

    Jobs are placed in order of arrival. The tasks of a job are placed longest first, each in the
    slot where it ends earliest. A job that would end after its deadline is refused and uses no
    slot.

    Args:
        jobs: the trace, sorted by arrival.
        slowness: factor on run times for each worker; a worker that fails is left out.
        slots: number of slots of each worker.
        deadline_ms: milliseconds that every job has from its arrival.

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
        job_end_ms = _place_tasks(job, trial_ms, slowness)
        if job_end_ms - job.arrival_s * MS_PER_S <= deadline_ms:
            free_ms = trial_ms
            responses.append(job_end_ms - job.arrival_s * MS_PER_S)
        else:
            responses.append(None)
    return responses


def _place_tasks(job: TraceJob, free_ms: list[list[float]], slowness: list[float]) -> float:
    """Place the tasks of a job and return when the last one ends, in milliseconds.

    Args:
        job: the job.
        free_ms: for each worker, the sorted times when its slots become free; updated in place.
        slowness: factor on run times for each worker.
    """
    now_ms = job.arrival_s * MS_PER_S
    job_end_ms = now_ms
    for run_time_ms in sorted(job.run_times_ms, reverse=True):
        best_end_ms, best_worker = float("inf"), 0
        for number, times in enumerate(free_ms):
            end_ms = max(now_ms, times[0]) + run_time_ms * slowness[number]
            if end_ms < best_end_ms:
                best_end_ms, best_worker = end_ms, number
        times = free_ms[best_worker]
        times[0] = best_end_ms
        times.sort()
        job_end_ms = max(job_end_ms, best_end_ms)
    return job_end_ms
