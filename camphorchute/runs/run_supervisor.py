"""Run supervisor: stops overdue runs and ejects workers that do not complete theirs."""

import time
from collections.abc import Callable, Iterable

from camphorchute.decision_log import log_decision
from camphorchute.hosting import RunOutcome
from camphorchute.policies import DecisionPolicies
from camphorchute.policies.failures import FailureTracker
from camphorchute.policies.overdue import RunAge, RunTimeSpread, expected_run_ms
from camphorchute.policies.retry_budget import RetryBudget
from camphorchute.runs.leased_worker import LeasedWorker
from camphorchute.runs.run import Run, RunState, job_of

__all__ = ["RunSupervisor"]

RESTART_BUDGET_RATIO = 0.1
KINDS_MAX = 1000
MS_PER_S = 1000.0


class RunSupervisor:
    """Learns from the runs of workers, and acts on those that fail or hang.

    An overdue run is stopped; its task starts again once the worker has confirmed the stop or the
    lease has expired, so that no two runs overlap. Restarts are limited to a share of the starts.

    Args:
        policies: the policies for overdue runs and ejection.
        count: adds to a named counter.
    """

    __slots__ = ("_policies", "_count", "_spreads", "_budget")

    def __init__(self, policies: DecisionPolicies, count: Callable[..., None]) -> None:
        self._policies = policies
        self._count = count
        self._spreads: dict[str, RunTimeSpread] = {}
        self._budget = RetryBudget(RESTART_BUDGET_RATIO)

    def record_start(self) -> None:
        """Record that a run was started, which adds to the budget for restarts."""
        self._budget.record_first_send()

    def record_end(
        self, worker: LeasedWorker, run: Run, outcome: RunOutcome, workers: Iterable[LeasedWorker]
    ) -> None:
        """Record how a run ended, and eject or restore its worker.

        Args:
            worker: the worker.
            run: the run.
            outcome: how the run ended.
            workers: all workers of the group.
        """
        if outcome is RunOutcome.DONE and not run.was_adopted:
            elapsed_ms = run.observed_ms(time.monotonic())
            estimate_ms = run.task.message.estimate_ms
            ratio = elapsed_ms / expected_run_ms(estimate_ms, worker.speed.value)
            self._spread_of(run).record_ratio(ratio)
            run.task.job_tasks.record_ratio(ratio)
            worker.speed.record_run(estimate_ms, elapsed_ms)
            self._record_outcome(worker, run, True, workers)
        elif outcome is RunOutcome.FAILED:
            self._record_outcome(worker, run, False, workers)

    def stop_overdue_runs(self, workers: Iterable[LeasedWorker], now_s: float) -> None:
        """Stop the overdue runs of a group whose tasks can still be in time for their callers.

        Args:
            workers: the workers of the group.
            now_s: time of the monotonic clock in seconds.
        """
        all_workers = list(workers)
        for worker in all_workers:
            if not worker.health.is_responsive:
                continue
            for run in list(worker.runs.values()):
                if self._is_overdue(worker, run, now_s) and self._budget.take_retry():
                    self._stop_overdue_run(worker, run, now_s, all_workers)

    def _is_overdue(self, worker: LeasedWorker, run: Run, now_s: float) -> bool:
        if run.stop_requested or run.state is not RunState.RUNNING or run.task.cancelled:
            return False
        remaining_ms = (run.task.finish_by_s - now_s) * MS_PER_S
        if remaining_ms < run.task.message.estimate_ms:
            return False
        elapsed_ms = run.observed_ms(now_s)
        return self._policies.overdue(
            RunAge(
                elapsed_ms,
                _expected_ms(worker, run),
                self._spread_of(run),
                run.task.job_tasks.run_time_ratio(default=0.0),
                run.task.overdue_stops,
                run.task.message.estimate_ms,
                worker.failures.makes_progress(run.start_sent_s * MS_PER_S),
            )
        )

    def _stop_overdue_run(
        self, worker: LeasedWorker, run: Run, now_s: float, workers: list[LeasedWorker]
    ) -> None:
        elapsed_ms = run.observed_ms(now_s)
        self._count("runs.retry.overdue")
        log_decision(
            "runs",
            "overdue run is stopped",
            task=run.task.name,
            run=run.number,
            worker=worker.entry.worker_id,
            elapsed_ms=round(elapsed_ms),
            expected_ms=round(_expected_ms(worker, run)),
        )
        run.task.overdue_stops += 1
        worker.stop_run(run)
        worker.speed.record_run(run.task.message.estimate_ms, elapsed_ms)
        self._record_outcome(worker, run, False, workers, is_overdue=True)

    def _record_outcome(
        self,
        worker: LeasedWorker,
        run: Run,
        ok: bool,
        workers: Iterable[LeasedWorker],
        is_overdue: bool = False,
    ) -> None:
        """Record an outcome as evidence for or against a worker, and act on it."""
        tracker = worker.failures
        now_ms = time.monotonic() * MS_PER_S
        tracker.record_outcome(ok, job_of(run.task.name), now_ms)
        if tracker.ejected:
            if ok:
                tracker.restore()
                self._log_ejection(worker, "worker is in use again")
            elif tracker.is_probe(run.start_sent_s * MS_PER_S):
                tracker.eject(now_ms)
        elif not ok and self._policies.ejection(
            tracker, _other_trackers(worker, workers), is_overdue
        ):
            tracker.eject(now_ms)
            self._count("runs.worker_ejected")
            self._log_ejection(worker, "worker is ejected")

    def _log_ejection(self, worker: LeasedWorker, text: str) -> None:
        log_decision(
            "runs",
            text,
            worker=worker.entry.worker_id,
            failed_share=round(worker.failures.failed_share, 2),
            outcomes=worker.failures.outcome_count,
        )

    def _spread_of(self, run: Run) -> RunTimeSpread:
        """Return the spread of the run times of a queue's tasks."""
        kind = run.task.message.kind
        if kind not in self._spreads and len(self._spreads) >= KINDS_MAX:
            del self._spreads[next(iter(self._spreads))]
        return self._spreads.setdefault(kind, RunTimeSpread())


def _expected_ms(worker: LeasedWorker, run: Run) -> float:
    """Return the expected time of an active run, by which it is judged."""
    return expected_run_ms(
        run.task.message.estimate_ms, worker.speed.value, worker.failures.ejected
    )


def _other_trackers(worker: LeasedWorker, workers: Iterable[LeasedWorker]) -> list[FailureTracker]:
    return [other.failures for other in workers if other is not worker]
