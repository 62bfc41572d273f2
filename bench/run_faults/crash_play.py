"""Plays one seeded run in which durable tasks crash their workers while entry processes fail."""

import random
import time
from pathlib import Path

import gevent

from bench.durable_calls import job_state, submit
from bench.run_faults.hosted_play import MS_PER_S, HostedPlay
from bench.run_faults.run_checker import find_overlaps, runs_of
from bench.standins.run_record import CRASHED, RunRecord

__all__ = ["CrashPlay", "starts_over_budget"]

DEADLY_PAYLOAD = "deadly"
DEADLY_SHARE = 0.2
CRASHES_FREE = 3
STARTS_AFTER_MAX = 2
PAUSE_MAX_S = 0.8
END_TIMEOUT_S = 90.0
ACCEPTED, ENDED_STATES = 200, ("done", "failed")


def starts_over_budget(runs: list[RunRecord]) -> list[RunRecord]:
    """Return the starts of one task that must not have been made after crashes under it.

    Args:
        runs: the runs of the task.
    """
    crashes_s = sorted(run.ended_s for run in runs if run.outcome == CRASHED)
    if len(crashes_s) < CRASHES_FREE:
        return []
    later = sorted(
        (run for run in runs if run.started_s > crashes_s[CRASHES_FREE - 1]),
        key=lambda run: run.started_s,
    )
    return later[STARTS_AFTER_MAX:]


class CrashPlay(HostedPlay):
    """Durable jobs on failing entry processes; some of their tasks crash the workers.

    Args:
        seed: seed of jobs and faults; times differ from play to play.
        log_dir: folder for the logs of the entry processes.
        base: second byte of the loopback addresses.

    Attributes:
        states: the last state of each accepted job.
        over_budget: starts that came after too many crashes.
        wrongly_ended: jobs whose state does not follow from what happened to their tasks.
    """

    __slots__ = ("states", "over_budget", "wrongly_ended", "_deadly_jobs")

    def __init__(self, seed: int, log_dir: Path, base: int) -> None:
        super().__init__(seed, log_dir, base)
        self.states: dict[str, str] = {}
        self.over_budget: list[RunRecord] = []
        self.wrongly_ended: list[str] = []
        self._deadly_jobs: set[str] = set()
        self._actions = [
            self._kill_entry,
            self._stop_entry,
            self._pause_entry,
            self._restart_worker,
            self._mute_worker,
        ]

    def start(self) -> None:
        """Start the fleet; how its workers crash and come back differs from seed to seed."""
        super().start()
        for worker in self._fleet.site.workers:
            worker.faults.crash_payload = DEADLY_PAYLOAD
            worker.faults.crash_after_ms = self._random.choice([0.0, 20.0, 150.0])
            worker.faults.crash_down_ms = self._random.uniform(100, 1500)
            worker.faults.crash_renames = self._random.random() < 0.5

    def execute(self, duration_s: float) -> None:
        """Inject faults for a time in seconds, then wait until every accepted job has ended."""
        until_s = time.monotonic() + duration_s
        caller = gevent.spawn(self._submit_durable_jobs, until_s)
        while time.monotonic() < until_s:
            gevent.sleep(self._random.uniform(0.2, 2 * PAUSE_MAX_S))
            at_s = time.monotonic()
            self.faults.append(f"{at_s:.3f} s {self._random.choice(self._actions)()}")
        caller.join()
        gevent.joinall(self._restarts)
        self._wait_for_ends()
        self._check()

    def summary(self) -> str:
        """Return the numbers of runs, of jobs and of findings."""
        return (
            f"{super().summary()}, {len(self.states)} jobs, {len(self.over_budget)} over budget, "
            f"{len(self.wrongly_ended)} wrongly ended"
        )

    def describe(self) -> str:
        """Return what was found, with the runs of the tasks concerned."""
        jobs = {run.task.partition(".")[0] for run in self.over_budget} | set(self.wrongly_ended)
        runs = [run for run in runs_of(self._fleet.site.workers) if run.task[:8] in jobs]
        found = [f"over budget: {run!r}" for run in self.over_budget]
        found += [f"{job} is {self.states[job]}" for job in self.wrongly_ended]
        return "\n".join([*found, *sorted(map(repr, runs)), super().describe()])

    def has_findings(self) -> bool:
        """Return whether anything must not have happened."""
        return bool(self.over_budget or self.wrongly_ended or self.overlaps)

    def _submit_durable_jobs(self, until_s: float) -> None:
        rng = random.Random(f"crash {self._seed}")
        while time.monotonic() < until_s:
            job, is_deadly = f"{rng.getrandbits(32):08x}", rng.random() < DEADLY_SHARE
            payload = DEADLY_PAYLOAD if is_deadly else "check"
            entry = rng.choice(self._fleet.entries)
            if submit(entry, job, rng.randint(1, 2), payload=payload) == ACCEPTED:
                self.states[job] = "queued"
                self._deadly_jobs |= {job} if is_deadly else set()
            gevent.sleep(rng.uniform(0.1, PAUSE_MAX_S))

    def _wait_for_ends(self) -> None:
        until_s = time.monotonic() + END_TIMEOUT_S
        while time.monotonic() < until_s:
            for job in [job for job, state in self.states.items() if state not in ENDED_STATES]:
                state = job_state(self._fleet.entries[0], job)
                self.states[job] = state if isinstance(state, str) else self.states[job]
            if all(state in ENDED_STATES for state in self.states.values()):
                return
            gevent.sleep(250 / MS_PER_S)

    def _check(self) -> None:
        by_task: dict[str, list[RunRecord]] = {}
        for run in runs_of(self._fleet.site.workers):
            by_task.setdefault(run.task, []).append(run)
        self.over_budget = [run for runs in by_task.values() for run in starts_over_budget(runs)]
        self.overlaps = find_overlaps(runs_of(self._fleet.site.workers))
        for job, state in self.states.items():
            crashes = max(
                sum(run.outcome == CRASHED for run in runs)
                for task, runs in by_task.items()
                if task.startswith(f"{job}.")
            )
            expected = "failed" if job in self._deadly_jobs else "done"
            may_be_given_up = state == "failed" and crashes >= 2
            if state != expected and not may_be_given_up:
                self.wrongly_ended.append(job)
