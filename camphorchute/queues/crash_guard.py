"""Decides whether tasks that were lost with their workers start again."""

from collections.abc import Callable

from camphorchute.cluster.worker_fates import WorkerFate
from camphorchute.decision_log import log_decision
from camphorchute.policies.crash_limit import CrashDecision, CrashLimitPolicy, give_up_after_two
from camphorchute.queues.lost_runs import FateOf, LostRuns

__all__ = ["CrashGuard"]


class CrashGuard:
    """Decides whether tasks that were lost with their workers start again.

    Args:
        count: adds to a named counter.

    Attributes:
        policy: the crash limit policy.
        fate_of: returns what became of the worker of a run.
    """

    __slots__ = ("policy", "fate_of", "_count")

    def __init__(self, count: Callable[..., None]) -> None:
        self.policy: CrashLimitPolicy = give_up_after_two
        self.fate_of: FateOf = lambda place, since_s: WorkerFate.UNKNOWN
        self._count = count

    def decide(self, task: str, lost_runs: LostRuns) -> CrashDecision:
        """Return what becomes of a task with lost runs.

        Args:
            task: name of the task, for the log.
            lost_runs: its lost runs.
        """
        if not lost_runs.is_stored():
            return CrashDecision.WAIT
        evidence = lost_runs.evidence(self.fate_of)
        decision = self.policy(evidence)
        if lost_runs.last_decision != (len(lost_runs), decision):
            lost_runs.last_decision = (len(lost_runs), decision)
            self._count(f"queues.lost_run.{decision.name.lower()}")
            log_decision(
                "queues",
                f"task that lost its worker {decision.value}",
                task=task,
                machines=evidence.crashed_machines,
                alone=evidence.crashed_alone,
                crashed_runs=evidence.crashed_runs,
                lost_runs=evidence.lost_runs,
                undecided=evidence.undecided,
                workers=[place.worker_id for place in lost_runs.places()],
            )
        return decision
