"""Withdrawal of jobs of which no task is known to have started within their start limit."""

import time
from collections.abc import Callable

from camphorchute.contracts.run_messages import WithdrawTasks
from camphorchute.decision_log import log_decision
from camphorchute.links import Peers
from camphorchute.queues.job_run import JobRun

__all__ = ["JobWithdrawals"]

MS_PER_S = 1000.0


class JobWithdrawals:
    """Asks schedulers to return the tasks of a job that they have not started.

    A job ends as not run only if every task has come back with the proof that no start command was
    sent for it. While an answer is missing, nothing of the job is dispatched; one that says that a
    task has started, or the loss of a link, ends the withdrawal and the job continues.

    Args:
        peers: the links to the schedulers.
        count: adds to a named counter.
    """

    __slots__ = ("_peers", "_count")

    def __init__(self, peers: Peers, count: Callable[..., None]) -> None:
        self._peers = peers
        self._count = count

    def begin(self, run: JobRun) -> None:
        """Withdraw a job from the schedulers that have its tasks.

        Args:
            run: the job.
        """
        run.withdrawing_from = set()
        for scheduler_id in run.open_scheduler_ids():
            last_dispatch = run.last_dispatch_to(scheduler_id)
            message = WithdrawTasks(run.job.job_id, last_dispatch)
            if self._peers.send_if_linked(scheduler_id, message):
                run.withdrawing_from.add(scheduler_id)
        if not run.withdrawing_from:
            self._end_in_vain(run)

    def record_answer(self, run: JobRun, scheduler_id: str, started_tasks: int) -> None:
        """Record that a scheduler has returned every task that it has not started.

        Args:
            run: the job.
            scheduler_id: member id of the scheduler.
            started_tasks: number of tasks that it has started.
        """
        if run.withdrawing_from is None or scheduler_id not in run.withdrawing_from:
            return
        run.withdrawing_from.discard(scheduler_id)
        if started_tasks or (not run.withdrawing_from and run.any_may_have_started()):
            self._end_in_vain(run)
        run.changed.set()

    def check(self, run: JobRun) -> None:
        """End the withdrawal of a job of which a task is known to have started meanwhile.

        Args:
            run: the job.
        """
        if run.withdrawing_from and run.is_known_to_have_started():
            self._end_in_vain(run)
            run.changed.set()

    def record_not_run(self, run: JobRun) -> None:
        """Record that a job has ended without a start; it may have been withdrawn.

        Args:
            run: the job.
        """
        if run.withdrawing_from is None:
            return
        self._count("queues.withdrawn")
        elapsed_ms = (time.monotonic() - run.started_s) * MS_PER_S
        log_decision(
            "queues",
            "job withdrawn",
            job=run.job.job_id,
            queue=run.queue.name,
            elapsed_ms=round(elapsed_ms),
            limit_ms=round(run.start_limit_ms),
            expected_wait_ms=round(run.expected_wait_ms),
        )

    def _end_in_vain(self, run: JobRun) -> None:
        run.withdrawing_from = set()
        self._count("queues.withdrawn_in_vain")
