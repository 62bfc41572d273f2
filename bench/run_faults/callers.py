"""Callers that submit jobs, give up, and send a job again to another process."""

import random
import time

import gevent
from gevent.event import Event

from bench.run_faults.process import Process
from bench.run_faults.site import LONG_RUN_TIMES_MS, SERVICE, RunFaultsSite
from camphorchute.contracts import Refusal
from camphorchute.contracts.batch_job import BatchJob, BatchStep, QueueLimits
from camphorchute.contracts.resources import Resources
from camphorchute.hosting import Queue
from camphorchute.queues import JobOutcome

__all__ = ["Caller"]

RESEND_PAUSE_MS = 1300.0
DEADLINE_MS = 2500.0
ESTIMATE_MS = 250.0
ATTEMPTS_MAX = 4
GIVE_UP_SHARE = 0.3
LONG_SHARE = 0.5
LONG_DEADLINES_MS = (2500.0, 4000.0, 6000.0)
CHECK_INTERVAL_S = 0.005
MS_PER_S = 1000.0
DEMAND = Resources(14_000, 64)
QUEUE = Queue("checks", "a.example", "/", SERVICE, DEADLINE_MS, QueueLimits(0, 4, 4.0, 1000.0))


class _Attempt:
    """One request for a job at one process.

    Args:
        deadline_ms: how long the caller waits, in milliseconds.

    Attributes:
        outcome: outcome of the job, a refusal, or None while there is no answer.
        caller_gone: event that is set when the caller has given up; None before the process has
            received the request.
    """

    __slots__ = ("outcome", "caller_gone", "_deadline_ms")

    def __init__(self, deadline_ms: float) -> None:
        self._deadline_ms = deadline_ms
        self.outcome: JobOutcome | Refusal | None = None
        self.caller_gone: Event | None = None

    def execute(self, process: Process, job: BatchJob) -> None:
        """Run the job in the thread of a process."""
        self.caller_gone = Event()
        try:
            self.outcome = process.owner.run(job, QUEUE, self._deadline_ms, self.caller_gone)
        except Refusal as refusal:
            self.outcome = refusal

    def give_up(self) -> None:
        """Close the connection, in the thread of the process."""
        if self.caller_gone is not None:
            self.caller_gone.set()


class Caller:
    """Submits jobs one after the other, each again until it is done or refused.

    A job is sent again no sooner than :data:`RESEND_PAUSE_MS` after the answer, or after the
    caller has closed its connection without one.

    Args:
        site: the processes.
        seed: seed of the jobs and of the time at which the caller gives up.
        is_patient: whether the caller waits until the deadline, and sends no job again.
    """

    __slots__ = ("_site", "_is_patient", "_random", "_long_random", "answers")

    def __init__(self, site: RunFaultsSite, seed: str, is_patient: bool = False) -> None:
        self._site = site
        self._is_patient = is_patient
        self._random = random.Random(seed)
        self._long_random = random.Random(f"long {seed}")
        self.answers: list[str] = []

    def submit_jobs(self, until_s: float) -> None:
        """Submit jobs until a time of the monotonic clock in seconds."""
        while time.monotonic() < until_s:
            tasks = self._random.randint(1, 3)
            job_id = f"{self._random.getrandbits(64):016x}"
            payload, estimate_ms, deadline_ms = "check", ESTIMATE_MS, DEADLINE_MS
            if self._site.has_long_tasks:
                deadline_ms = self._long_random.choice(LONG_DEADLINES_MS)
                if self._long_random.random() < LONG_SHARE:
                    payload = self._long_random.choice(sorted(LONG_RUN_TIMES_MS))
                    estimate_ms, deadline_ms = LONG_RUN_TIMES_MS[payload], LONG_DEADLINES_MS[-1]
            job = BatchJob(job_id, payload, (BatchStep(tasks, DEMAND, estimate_ms),))
            self._submit_job(job, deadline_ms, until_s)

    def _submit_job(self, job: BatchJob, deadline_ms: float, until_s: float) -> None:
        for _ in range(1 if self._is_patient else ATTEMPTS_MAX):
            outcome = self._submit_once(job, deadline_ms)
            self.answers.append(getattr(outcome, "name", "REFUSED" if outcome else "NO_ANSWER"))
            if outcome not in (None, JobOutcome.LOST) or time.monotonic() > until_s:
                return
            gevent.sleep(RESEND_PAUSE_MS / MS_PER_S)

    def _submit_once(self, job: BatchJob, deadline_ms: float) -> JobOutcome | Refusal | None:
        """Send a job to a process; return its answer, None if the caller gave up before."""
        process = self._random.choice(self._site.processes)
        patience_ms = deadline_ms
        if not self._is_patient and self._random.random() < GIVE_UP_SHARE:
            patience_ms = self._random.uniform(20, 900)
        attempt = _Attempt(deadline_ms)
        process.call(attempt.execute, process, job)
        give_up_s = time.monotonic() + patience_ms / MS_PER_S
        while attempt.outcome is None and time.monotonic() < give_up_s:
            gevent.sleep(CHECK_INTERVAL_S)
        if attempt.outcome is None:
            process.call(attempt.give_up)
        return attempt.outcome
