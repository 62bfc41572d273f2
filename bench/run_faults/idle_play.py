"""Plays one seeded run in which a service is idle for a while, and then gets a burst of jobs."""

import random
import time
from pathlib import Path

import gevent

from bench.durable_calls import submit
from bench.run_faults.hosted_play import (
    DEADLINE_MS,
    MS_PER_S,
    RUN_MS,
    TASKS_MAX,
    HostedPlay,
    submit_best_effort,
)
from bench.run_faults.run_checker import find_overlaps, runs_of
from bench.standins.run_record import RunRecord

__all__ = ["IdlePlay", "late_tasks"]

WARM_UP_JOBS = 6
BURST_JOBS = 8
START_WITHIN_S = 2.0
END_WITHIN_S = 4.0
ACCEPTED = 200


def late_tasks(tasks: list[str], runs: list[RunRecord], sent_s: float) -> list[str]:
    """Return the tasks without a run that was started in time and has ended done.

    Args:
        tasks: names of the tasks.
        runs: every run of every worker.
        sent_s: monotonic time in seconds at which the tasks were submitted.
    """
    in_time = {
        run.task
        for run in runs
        if run.outcome == "done" and run.started_s <= sent_s + START_WITHIN_S
    }
    return [task for task in tasks if task not in in_time]


class IdlePlay(HostedPlay):
    """Jobs, a pause without any, and a burst of durable and best-effort jobs.

    Nothing is disrupted, so every task of the burst has to start at once.

    Args:
        seed: seed of the jobs.
        log_dir: folder for the logs of the entry processes.
        base: second byte of the loopback addresses.

    Attributes:
        late: tasks of the burst that did not start in time, or have not ended done.
    """

    __slots__ = ("late",)

    def __init__(self, seed: int, log_dir: Path, base: int) -> None:
        super().__init__(seed, log_dir, base)
        self.late: list[str] = []

    def execute(self, duration_s: float) -> None:
        """Submit jobs before and after a pause of a time in seconds, then check their runs."""
        rng = random.Random(f"idle {self._seed}")
        for _ in range(WARM_UP_JOBS):
            self._submit_job(rng)
        gevent.sleep(duration_s)
        sent_s = time.monotonic()
        burst = [gevent.spawn(self._submit_job, rng) for _ in range(BURST_JOBS)]
        gevent.joinall(burst)
        gevent.sleep(max(0.0, sent_s + END_WITHIN_S - time.monotonic()))
        runs = runs_of(self._fleet.site.workers)
        tasks = [task for greenlet in burst for task in greenlet.get()]
        self.late = late_tasks(tasks, runs, sent_s)
        self.overlaps = find_overlaps(runs)

    def summary(self) -> str:
        """Return the numbers of runs and of findings."""
        return f"{super().summary()}, {len(self.late)} tasks late"

    def describe(self) -> str:
        """Return the late tasks and the runs of all workers."""
        runs = sorted(map(repr, runs_of(self._fleet.site.workers)))
        return "\n".join([f"late: {self.late}", *runs, super().describe()])

    def has_findings(self) -> bool:
        """Return whether anything must not have happened."""
        return bool(self.late or self.overlaps)

    def _submit_job(self, rng: random.Random) -> list[str]:
        """Submit a durable or a best-effort job to any process; return its tasks."""
        job_id, tasks = f"{rng.getrandbits(64):016x}", rng.randint(1, TASKS_MAX)
        entry = rng.choice(self._fleet.entries)
        if rng.random() < 0.5:
            status = submit(entry, job_id, tasks)
        else:
            status = submit_best_effort(entry, job_id, tasks, DEADLINE_MS)
        if status != ACCEPTED:
            self.faults.append(f"{time.monotonic():.3f} s job {job_id} was answered {status}")
        gevent.sleep(RUN_MS / MS_PER_S)
        return [f"{job_id}.0.0.{index}" for index in range(tasks)]
