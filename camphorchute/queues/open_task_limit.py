"""Limit of the open tasks of a process, with a floor for each queue."""

import math

from camphorchute.policies.concurrency_limit import ConcurrencyLimitPolicy, LimitFigures

__all__ = ["OpenTaskLimit"]

DECISION_INTERVAL_S = 0.25
DECISION_INTERVAL_MAX_S = 1.0
SAMPLES_MIN = 8  # tasks; a few late ones are no evidence
ACTIVE_S = 3.0
FLOOR_SHARE = 0.5
LESS_URGENT_SHARE = 0.5
WIDTH_WEIGHT = 0.1


class _QueueTasks:
    """The open tasks of one queue.

    Attributes:
        priority: priority of the queue; 0 is the highest.
        open_tasks: number of tasks of its open jobs.
        mean_width: mean number of tasks of its recent jobs.
        seen_s: time of its last request.
        may_be_durable: whether a durable job was submitted to it.
    """

    __slots__ = ("priority", "open_tasks", "mean_width", "seen_s", "may_be_durable")

    def __init__(self, priority: int) -> None:
        self.priority = priority
        self.open_tasks = 0
        self.mean_width = 1.0
        self.seen_s = -math.inf
        self.may_be_durable = False


class OpenTaskLimit:
    """Decides whether a further job may be opened, before its number of tasks is known.

    A queue without a job so far is open. Half of the limit is divided into equal floors of the
    queues in use, each of one job at least, and a queue below its floor always gets a job. Above
    it, the queues share the other half: the most urgent ones all of it, and each less urgent
    priority half as much as the one before, so that the rest is free for more urgent jobs. A job is
    opened if its queue is below these bounds without it, so wide jobs are opened as often as narrow
    ones.

    All times are in seconds of one clock, which the caller reads.

    Args:
        policy: returns the limit.

    Attributes:
        limit: the present limit in tasks, infinite if there is none.
        open_tasks: number of open tasks.
        late_share: the late share that the limit was last decided by.

    Examples:
        >>> from camphorchute.policies.concurrency_limit import set_no_limit
        >>> limit = OpenTaskLimit(set_no_limit)
        >>> limit.add_job("checks", 0, tasks=8, now_s=1.0)
        >>> limit.open_tasks, limit.is_open_to("checks", 0, now_s=1.0)
        (8, True)
    """

    __slots__ = (
        "limit",
        "open_tasks",
        "late_share",
        "_policy",
        "_queues",
        "_decided_s",
        "_peak_tasks",
        "_in_time",
        "_late",
        "_served_task_s",
        "_has_refused",
    )

    def __init__(self, policy: ConcurrencyLimitPolicy) -> None:
        self.limit = math.inf
        self.open_tasks = 0
        self._policy = policy
        self._queues: dict[str, _QueueTasks] = {}
        self._decided_s = -math.inf
        self.late_share = 0.0
        self._start_period(0.0)

    def is_open_to(self, queue: str, priority: int, now_s: float) -> bool:
        """Return whether a further job of a queue may be opened.

        Args:
            queue: name of the queue.
            priority: its priority.
            now_s: the present time.
        """
        tasks = self._queues.get(queue)
        if tasks is None or math.isinf(self.limit) or tasks.may_be_durable:
            return True
        if not self._active(now_s):
            self._forget(now_s)
            return True
        tasks.seen_s = now_s
        active = self._active(now_s)
        floors = {id(other): self._floor(other, len(active)) for other in active}
        if tasks.open_tasks < floors[id(tasks)]:
            return True
        used = sum(max(0.0, other.open_tasks - floors[id(other)]) for other in active)
        shared = max(0.0, self.limit - sum(floors.values()))
        rank = len({other.priority for other in active if other.priority < priority})
        is_open = used < shared * LESS_URGENT_SHARE**rank
        self._has_refused = self._has_refused or not is_open
        return is_open

    def open_tasks_of(self, queue: str) -> int:
        """Return the number of open tasks of a queue."""
        return self._queues[queue].open_tasks if queue in self._queues else 0

    def exempt(self, queue: str, priority: int) -> None:
        """Exempt a queue whose jobs may be durable, which only their bodies tell."""
        self._queue(queue, priority).may_be_durable = True

    def add_job(self, queue: str, priority: int, tasks: int, now_s: float) -> None:
        """Record that a job was opened.

        Args:
            queue: name of its queue.
            priority: priority of the queue.
            tasks: its number of tasks.
            now_s: the present time.
        """
        entry = self._queue(queue, priority)
        entry.seen_s = now_s
        entry.open_tasks += tasks
        entry.mean_width += WIDTH_WEIGHT * (tasks - entry.mean_width)
        self.open_tasks += tasks
        self._peak_tasks = max(self._peak_tasks, self.open_tasks)

    def remove_job(self, queue: str, tasks: int, open_s: float, is_in_time: bool) -> None:
        """Record that a job has ended.

        Args:
            queue: name of its queue.
            tasks: its number of tasks.
            open_s: for how long it was open.
            is_in_time: whether it was done within its target time.
        """
        self._queues[queue].open_tasks -= tasks
        self.open_tasks -= tasks
        if is_in_time:
            self._served_task_s += tasks * open_s

    def record_delay(self, tasks: int, is_late: bool, now_s: float) -> None:
        """Record the process delay of some tasks.

        Args:
            tasks: number of tasks.
            is_late: whether the delay alone exceeded what the target time of their job allows.
            now_s: the present time.
        """
        if is_late:
            self._late += tasks
        else:
            self._in_time += tasks
        self._decide(now_s)

    def _queue(self, queue: str, priority: int) -> _QueueTasks:
        entry = self._queues.get(queue)
        if entry is None:
            entry = self._queues[queue] = _QueueTasks(priority)
        entry.priority = priority
        return entry

    def _active(self, now_s: float) -> list[_QueueTasks]:
        """Return the queues with open tasks or a recent request."""
        return [
            entry
            for entry in self._queues.values()
            if entry.open_tasks or now_s - entry.seen_s < ACTIVE_S
        ]

    def _floor(self, entry: _QueueTasks, active_count: int) -> float:
        return max(1.0, FLOOR_SHARE * self.limit / active_count)

    def _forget(self, now_s: float) -> None:
        """Drop the limit of a process that was idle, as the delays of then say nothing any more."""
        self.limit = math.inf
        self.late_share = 0.0
        self._start_period(now_s)

    def _decide(self, now_s: float) -> None:
        """Set the limit from what was measured since the last time, if that is enough."""
        elapsed_s = now_s - self._decided_s
        samples = self._in_time + self._late
        is_enough = elapsed_s >= DECISION_INTERVAL_S and samples >= SAMPLES_MIN
        if not is_enough and not (elapsed_s >= DECISION_INTERVAL_MAX_S and samples):
            return
        figures = LimitFigures(
            self.limit,
            sum(entry.mean_width for entry in self._active(now_s)),
            self._peak_tasks,
            self._late / samples,
            self._served_task_s / elapsed_s,
            self._has_refused,
            self.late_share,
        )
        self.limit = self._policy(figures)
        self.late_share = figures.late_share
        self._start_period(now_s)

    def _start_period(self, now_s: float) -> None:
        self._decided_s = now_s
        self._peak_tasks = self.open_tasks
        self._in_time = self._late = 0
        self._served_task_s = 0.0
        self._has_refused = False
