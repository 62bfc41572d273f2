"""Retained ends: what a scheduler reports to shard owners until they answer."""

import time
from collections.abc import Callable, Iterable

import gevent

from camphorchute.contracts.durable_job_messages import ReportedTask
from camphorchute.contracts.run_messages import TaskResultKind
from camphorchute.hosting import RunCompletion, RunOutcome
from camphorchute.loops import spawn_loop
from camphorchute.runs.worker_group import WorkerGroup

__all__ = ["RetainedEnds", "end_report"]

CHECK_INTERVAL_MS = 500.0
ORPHAN_REPORT_INTERVAL_MS = 1000.0
ENDS_PER_REPORT_MAX = 2000
MS_PER_S = 1000.0


class RetainedEnds:
    """Reports the completions that the workers of a scheduler retain, and runs without an owner.

    A worker may drop the completion of a durable task only once the stored record says what became
    of it. Nothing is dropped by time: without an answer the completion is reported again, at
    growing intervals. The run of a durable task whose owner was lost goes on; its job may end
    meanwhile, and whoever owns the shard then has never heard of the run. It is reported every
    second.

    Args:
        groups: returns the groups of the scheduler.
        count: adds to a named counter.

    Attributes:
        report: passes completions on to the owners of their shards, which answer with those that
            are saved, and stop the runs of jobs that have ended.
        orphaned_runs: returns the active runs of durable tasks whose owner was lost.

    Examples:
        >>> ends = RetainedEnds(lambda: [], print)
        >>> ends.report = print
        >>> ends.report_due(time.monotonic())
    """

    __slots__ = (
        "report",
        "orphaned_runs",
        "_groups",
        "_count",
        "_orphans_reported_s",
        "_greenlet",
    )

    def __init__(
        self, groups: Callable[[], Iterable[WorkerGroup]], count: Callable[..., None]
    ) -> None:
        self.report: Callable[[list[ReportedTask]], None] = lambda ends: None
        self.orphaned_runs: Callable[[], list[ReportedTask]] = lambda: []
        self._groups = groups
        self._count = count
        self._orphans_reported_s = 0.0
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to report the retained completions."""
        self._greenlet = spawn_loop("runs", self._report_loop, self._count)

    def close(self) -> None:
        """Report nothing any more; the next scheduler of the workers does."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def report_due(self, now_s: float) -> None:
        """Report the completions whose next report is due, and the runs without an owner.

        Args:
            now_s: time of the monotonic clock in seconds.
        """
        ends = [
            end_report(completion, group.name, worker_id)
            for group in self._groups()
            for worker_id, worker in group.workers.items()
            for completion in worker.completions.take_due_for_report(now_s)
        ]
        self._report("runs.retry.report_end", ends)
        if (now_s - self._orphans_reported_s) * MS_PER_S >= ORPHAN_REPORT_INTERVAL_MS:
            self._orphans_reported_s = now_s
            self._report("runs.orphan_reported", self.orphaned_runs())

    def _report(self, counter: str, rows: list[ReportedTask]) -> None:
        for start in range(0, len(rows), ENDS_PER_REPORT_MAX):
            part = rows[start : start + ENDS_PER_REPORT_MAX]
            self._count(counter, len(part))
            self.report(part)

    def _report_loop(self) -> None:
        while True:
            gevent.sleep(CHECK_INTERVAL_MS / MS_PER_S)
            self.report_due(time.monotonic())


def end_report(completion: RunCompletion, group: str, worker_id: str) -> ReportedTask:
    """Return the report of a retained completion to the owner of its shard.

    Args:
        completion: the completion.
        group: name of the worker group.
        worker_id: the worker.
    """
    is_done = completion.outcome is RunOutcome.DONE
    end = TaskResultKind.DONE if is_done else TaskResultKind.FAILED
    return ReportedTask(completion.task, group, completion.run, worker_id, end)
