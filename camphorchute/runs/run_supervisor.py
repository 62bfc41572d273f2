"""Run supervisor: stops overdue runs and ejects workers that do not complete theirs."""

import time
from collections.abc import Callable, Iterable

from camphorchute.decision_log import log_decision
from camphorchute.hosting import RunOutcome
from camphorchute.policies import DecisionPolicies
from camphorchute.policies.failures import FailureTracker
from camphorchute.policies.interference import InterferenceChange
from camphorchute.policies.overdue import RunAge, RunTimeSpread, expected_run_ms
from camphorchute.policies.retry_budget import RetryBudget
from camphorchute.runs.leased_worker import LeasedWorker
from camphorchute.runs.neighbours import NeighbourHistory
from camphorchute.runs.run import Run, RunState, job_of

__all__ = ["RunSupervisor"]

RESTART_BUDGET_RATIO = 0.1
OBSERVED_PART_MIN = 0.9  # of a run; otherwise the times of its neighbours are not known either
KINDS_MAX = 1000
MS_PER_S = 1000.0


class RunSupervisor:
    """Learns from the runs of workers, and acts on those that fail or hang.

    An overdue run is stopped; its task starts again once the worker has confirmed the stop or the
    lease has expired, so that no two runs overlap. Restarts are limited to a share of the starts.

    Args:
        policies: the policies for overdue runs and ejection.
        count: adds to a named counter.

    Attributes:
        interference: which kinds of tasks slow each other down, None if nothing is learned.
    """

    __slots__ = ("interference", "_neighbours", "_policies", "_count", "_spreads", "_budget")

    def __init__(self, policies: DecisionPolicies, count: Callable[..., None]) -> None:
        self._policies = policies
        self._count = count
        self._spreads: dict[str, RunTimeSpread] = {}
        self._budget = RetryBudget(RESTART_BUDGET_RATIO)
        self.interference = policies.interference()
        self._neighbours = NeighbourHistory()

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
        now_s = time.monotonic()
        is_sample = outcome is RunOutcome.DONE and not run.was_adopted
        is_slowed = self.interference is not None and self._learn(worker, run, is_sample, now_s)
        if is_sample:
            elapsed_ms = run.observed_ms(now_s)
            estimate_ms = run.task.message.estimate_ms
            ratio = elapsed_ms / expected_run_ms(estimate_ms, worker.speed.value)
            self._spread_of(run).record_ratio(ratio)
            run.task.job_tasks.record_ratio(ratio)
            if not is_slowed:
                worker.speed.record_run(estimate_ms, elapsed_ms)
            self._record_outcome(worker, run, True, workers)
        elif outcome is RunOutcome.FAILED:
            self._record_outcome(worker, run, False, workers)

    def _learn(self, worker: LeasedWorker, run: Run, is_sample: bool, now_s: float) -> bool:
        """Learn from the neighbours of a run; return whether they are known to slow it down."""
        message = run.task.message
        neighbours = self._neighbours.record_end(
            worker.entry.worker_id,
            message.kind,
            run.start_sent_s,
            now_s,
            expected_run_ms(message.estimate_ms, worker.speed.value) / MS_PER_S,
            [(other.task.message.kind, other.start_sent_s) for other in worker.runs.values()],
        )
        if not is_sample or neighbours is None:
            return False
        is_slowed = self.interference.is_explained(message.kind, neighbours)
        elapsed_ms = run.observed_ms(now_s)
        if elapsed_ms < OBSERVED_PART_MIN * (now_s - run.start_sent_s) * MS_PER_S:
            return is_slowed
        for change in self.interference.record_run(
            message.kind,
            worker.entry.worker_id,
            elapsed_ms,
            message.estimate_ms,
            neighbours,
            1 / max(1, len(message.tasks)),
            now_s * MS_PER_S,
        ):
            self._count(f"runs.interference_{'found' if change.is_found else 'forgotten'}")
            _log_interference(change)
        return is_slowed

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
        if worker.is_bound(run):  # its task could start again on the same worker only
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


def _log_interference(change: InterferenceChange) -> None:
    log_decision(
        "runs",
        "interference is found" if change.is_found else "interference is forgotten",
        slowed=change.kind,
        neighbour=change.neighbour,
        ratio_beside=round(change.beside_ratio, 2),
        ratio_otherwise=round(change.other_ratio, 2),
        runs_beside=round(change.beside_runs),
        runs_otherwise=round(change.other_runs),
    )


def _expected_ms(worker: LeasedWorker, run: Run) -> float:
    """Return the expected time of an active run, by which it is judged."""
    return expected_run_ms(
        run.task.message.estimate_ms, worker.speed.value, worker.failures.ejected
    )


def _other_trackers(worker: LeasedWorker, workers: Iterable[LeasedWorker]) -> list[FailureTracker]:
    return [other.failures for other in workers if other is not worker]
