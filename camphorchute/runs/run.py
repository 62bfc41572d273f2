"""Tasks that were dispatched to a scheduler, and their runs on workers."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import xxhash

from camphorchute.contracts.run_messages import (
    RunPlace,
    StartTasks,
    TaskResultKind,
    TaskToStart,
)
from camphorchute.observation_clock import observation_clock
from camphorchute.runs.earlier_run import EarlierRun

if TYPE_CHECKING:
    from camphorchute.runs.announcement import Announcement
    from camphorchute.runs.job_tasks import JobTasks
    from camphorchute.runs.leased_worker import LeasedWorker

__all__ = [
    "SHARD_COUNT",
    "EndEvidence",
    "PendingTask",
    "Run",
    "RunState",
    "job_of",
    "shard_of",
    "task_name",
]

SHARD_COUNT = 32
MS_PER_S = 1000.0


class RunState(Enum):
    """What the scheduler knows of a run."""

    ORDERED = "the order is under way"
    RUNNING = "the worker has acknowledged it"
    UNKNOWN = "the answer to the order was lost"


class EndEvidence(Enum):
    """Why the scheduler takes a run as ended; the values are written to logs."""

    LISTED = "the worker listed its completion"
    NOT_LISTED = "the worker no longer lists it"
    OTHER_INCARNATION = "another incarnation of the worker answers"
    WORKER_SILENT = "the worker did not answer until its leases expired"
    WORKER_REMOVED = "the worker was removed and its leases expired"

    @property
    def is_of_lost_worker(self) -> bool:
        """Whether the worker may have crashed: it has not said what became of the run."""
        return self not in (EndEvidence.LISTED, EndEvidence.NOT_LISTED)


def task_name(job_id: str, step: int, index: int) -> str:
    """Return the name of a task, as commands to workers and their listings use it.

    Args:
        job_id: the job.
        step: number of the step within the job.
        index: number of the task within the step.

    Examples:
        >>> task_name("5c0e7a21d94b36f8", 1, 17)
        '5c0e7a21d94b36f8.0.1.17'
    """
    return f"{job_id}.0.{step}.{index}"


def job_of(task: str) -> str:
    """Return the id of the job that a task belongs to.

    Args:
        task: name of the task.

    Examples:
        >>> job_of("5c0e7a21d94b36f8.0.1.17")
        '5c0e7a21d94b36f8'
    """
    return task.partition(".")[0]


def shard_of(job_id: str) -> int:
    """Return the shard of durable jobs that a job belongs to, from 0 to ``SHARD_COUNT - 1``.

    Examples:
        >>> 0 <= shard_of("5c0e7a21d94b36f8") < SHARD_COUNT
        True
    """
    return xxhash.xxh32_intdigest(job_id.encode()) % SHARD_COUNT


class PendingTask:
    """A task at the scheduler that it was dispatched to.

    While the task is open, it is in one place: it has an active run, or it is in the backlog of its
    group.

    All times are in seconds of the monotonic clock.

    Args:
        owner_id: the owner of its job.
        message: the message that dispatched it.
        command: the task's entry in that message.
        now_s: time of its arrival.
        arrival: number of its arrival, which rises with each task.

    Attributes:
        owner_id: member id of the owner of its job.
        message: the message that dispatched it.
        dispatch: number of its dispatch at the owner, which its result repeats.
        group: name of the group in whose backlog it is when it has no run.
        run: its run, from the start command until the run has ended; None while it is pending.
        index: its number within the step.
        name: its name on workers, see :func:`task_name`.
        next_run: number of its next run.
        failures: number of runs that failed.
        may_run: whether an earlier run may be active on a worker that was not polled yet.
        may_run_since_s: time since when that is so.
        worker_id: the worker of that run, empty if it is not known.
        earlier_run: what that worker has said of the run, None before it is asked.
        arrived_s: time of its arrival.
        in_time_until_s: time until which it must start for its job to meet the target time.
        start_by_s: time at which it is returned to its owner if it has not started.
        finish_by_s: time after which no caller waits for it; it is stopped then.
        cancelled: whether it was stopped and must not be started again.
        started: whether a run of it was started or adopted here.
        arrival_number: number of its arrival.
        avoided_worker_id: the worker of its last run that did not succeed, empty if none.
        orphaned: whether the link to its owner was lost.
        overdue_stops: how often a run of it was stopped as overdue.
        lost_runs: number of its runs that were lost with their workers.
        last_place: where the run that may be active is, or its last lost run was; None if it is
            not known.
        job_tasks: the tasks of its job here, set when it is accepted.
        last_run: the last run that was started here, None before.
        timed_from_s: time of the arrival of the only dispatch, None after a second one.
    """

    __slots__ = (
        "owner_id",
        "message",
        "dispatch",
        "group",
        "run",
        "index",
        "name",
        "next_run",
        "failures",
        "may_run",
        "may_run_since_s",
        "worker_id",
        "earlier_run",
        "arrived_s",
        "in_time_until_s",
        "start_by_s",
        "finish_by_s",
        "cancelled",
        "started",
        "arrival_number",
        "avoided_worker_id",
        "orphaned",
        "overdue_stops",
        "lost_runs",
        "last_place",
        "job_tasks",
        "last_run",
        "timed_from_s",
    )

    def __init__(
        self, owner_id: str, message: StartTasks, command: TaskToStart, now_s: float, arrival: int
    ) -> None:
        self.owner_id = owner_id
        self.message = message
        self.dispatch = command.dispatch
        self.group = message.group
        self.run: Run | None = None
        self.index = command.index
        self.name = task_name(message.job_id, message.step, command.index)
        self.next_run = command.run
        self.failures = command.failures
        self.may_run = command.may_run
        self.may_run_since_s = now_s
        self.worker_id = command.worker_id
        self.earlier_run: EarlierRun | None = None
        self.arrived_s = now_s
        self.in_time_until_s = now_s + message.in_time_within_ms / 1000
        self.start_by_s = now_s + message.start_within_ms / 1000
        self.finish_by_s = now_s + message.finish_within_ms / 1000
        self.cancelled = False
        self.started = False
        self.arrival_number = arrival
        self.avoided_worker_id = ""
        self.orphaned = False
        self.overdue_stops = 0
        self.lost_runs = command.lost_runs
        self.last_place = command.last_place
        self.job_tasks: JobTasks | None = None
        self.last_run: Run | None = None
        self.timed_from_s: float | None = now_s

    @property
    def is_durable(self) -> bool:
        """Whether its job is durable: completions are saved before the worker may drop them."""
        return self.message.term is not None

    def shorten_limits(self, delay_ms: float) -> None:
        """Shorten the times until which it must start by the time that its dispatch has waited.

        Args:
            delay_ms: how long the message waited in this process before it was read.
        """
        self.in_time_until_s -= delay_ms / MS_PER_S
        self.start_by_s -= delay_ms / MS_PER_S

    def apply_dispatch(self, newer: PendingTask) -> None:
        """Take over what a later dispatch of the task says.

        Args:
            newer: the task as it was dispatched now.
        """
        self.owner_id, self.message, self.dispatch = newer.owner_id, newer.message, newer.dispatch
        self.cancelled = self.orphaned = False
        self.timed_from_s = None
        self.finish_by_s = newer.finish_by_s
        self.next_run = max(self.next_run, newer.next_run)
        self.failures = max(self.failures, newer.failures)
        self.lost_runs = max(self.lost_runs, newer.lost_runs)
        if self.run is None:
            self.start_by_s, self.in_time_until_s = newer.start_by_s, newer.in_time_until_s
            if newer.may_run:
                self.mark_may_run(newer.worker_id, newer.may_run_since_s, newer.last_place)

    def times_here_ms(self, now_s: float) -> tuple[float, float] | tuple[None, None]:
        """Return for how long it has waited and run here; None for both if that is not known.

        That is the case for a run that an earlier scheduler started, and after a second dispatch.

        Args:
            now_s: time of the monotonic clock in seconds, at which it ends.
        """
        if self.timed_from_s is None or (self.started and self.last_run is None):
            return None, None
        if self.last_run is None:
            return round((now_s - self.timed_from_s) * MS_PER_S), 0
        waited_ms = (self.last_run.start_sent_s - self.timed_from_s) * MS_PER_S
        return round(waited_ms), round(self.last_run.observed_ms(now_s))

    def mark_may_run(self, worker_id: str, now_s: float, place: RunPlace | None) -> None:
        """Record that its last run may be active on a worker.

        Args:
            worker_id: the worker.
            now_s: the present time of the monotonic clock in seconds.
            place: where the run is, None if it is not known.
        """
        self.may_run = True
        self.may_run_since_s = now_s
        self.worker_id = worker_id
        self.earlier_run = None
        self.last_place = place

    def is_waiting_for(self, run: Run) -> bool:
        """Whether it is pending until it is known what became of a run.

        Args:
            run: the run.
        """
        is_last = self.next_run - 1 == run.number and self.worker_id == run.worker_id
        return self.run is None and self.may_run and is_last

    def outcome_without_group(self) -> TaskResultKind:
        """Return its outcome at a process that does not schedule its group."""
        if not self.may_run:
            return TaskResultKind.NOT_STARTED
        return TaskResultKind.NOT_FOUND if self.is_durable else TaskResultKind.MAY_RUN


class Run:
    """A run of a task on a worker.

    Attributes:
        task: the task.
        worker: the worker.
        number: number of the run, which rises with each run of the task.
        state: what the scheduler knows of it.
        start_sent_s: when the start command was sent, in seconds of the monotonic clock.
        start_acknowledged_s: when the worker was known to have acknowledged that command, in
            seconds of the monotonic clock; 0 before.
        was_listed: whether the worker has listed it; its answer to a start command does not say
            which incarnation of the worker gave it.
        stop_requested: whether a stop was requested.
        was_adopted: whether an earlier scheduler started it, so that its start time is not known.
        end_evidence: why it counts as ended, None while it is active.
        was_alone: whether no other run was active on the worker since its start.
        was_acknowledged: whether the worker has answered the start command.
        announcement: what its start command waits for, None if nothing.
    """

    __slots__ = (
        "task",
        "worker",
        "number",
        "state",
        "start_sent_s",
        "start_acknowledged_s",
        "was_listed",
        "stop_requested",
        "was_adopted",
        "end_evidence",
        "was_alone",
        "was_acknowledged",
        "announcement",
        "_unobserved_before_s",
    )

    def __init__(
        self, task: PendingTask, worker: LeasedWorker, number: int, start_sent_s: float
    ) -> None:
        self.task = task
        self.worker = worker
        self.number = number
        self.state = RunState.ORDERED
        self.start_sent_s = start_sent_s
        self.start_acknowledged_s = 0.0
        self.was_listed = False
        self.stop_requested = False
        self.was_adopted = False
        self.end_evidence: EndEvidence | None = None
        self.was_alone = True
        self.was_acknowledged = False
        self.announcement: Announcement | None = None
        self._unobserved_before_s = observation_clock.unobserved_s()

    @property
    def worker_id(self) -> str:
        """Id of the worker."""
        return self.worker.entry.worker_id

    def place(self) -> RunPlace:
        """Return where the run is or was."""
        return self.worker.place_of(
            self.number, self.was_alone, self.was_listed or self.was_acknowledged
        )

    def must_end(self) -> bool:
        """Whether its stop was requested and it may be active, as far as the worker has said."""
        is_known = self.was_listed or self.state is RunState.RUNNING
        return self.stop_requested and is_known

    def observed_ms(self, now_s: float) -> float:
        """Return the time since the start command in which this process could have seen the end.

        Args:
            now_s: time of the monotonic clock in seconds.
        """
        unobserved_s = observation_clock.unobserved_s() - self._unobserved_before_s
        return (now_s - self.start_sent_s - unobserved_s) * MS_PER_S
