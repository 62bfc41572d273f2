"""Checks of tasks that arrive at a scheduler: withdrawn and late ones are returned at once."""

from collections.abc import Callable

from camphorchute.contracts.run_messages import WithdrawTasks
from camphorchute.decision_log import log_decision
from camphorchute.runs.run import PendingTask
from camphorchute.runs.withdrawn_jobs import WithdrawnJobs

__all__ = ["ArrivalChecks"]


class ArrivalChecks:
    """Decides which tasks are returned as they arrive, without a start command.

    Args:
        count: adds to a named counter.

    Attributes:
        loop_delay_ms: returns how long a message that is read now has waited in this process.
    """

    __slots__ = ("loop_delay_ms", "_withdrawn_jobs", "_count")

    def __init__(self, count: Callable[..., None]) -> None:
        self.loop_delay_ms: Callable[[], float] = lambda: 0.0
        self._withdrawn_jobs = WithdrawnJobs()
        self._count = count

    def bar(self, owner_id: str, message: WithdrawTasks) -> None:
        """Return the dispatches of a withdrawn job that are still under way when they arrive.

        Args:
            owner_id: member id of the owner of the job.
            message: the withdrawal.
        """
        self._withdrawn_jobs.add(owner_id, message.job_id, message.dispatch)

    def must_return(self, task: PendingTask, now_s: float) -> bool:
        """Return whether a task is returned without a start, and count the reason.

        The time for which its message has waited in this process is subtracted from its limits. A
        late task that may have run is kept: what became of its run has to be found out.

        Args:
            task: the task.
            now_s: time of the monotonic clock in seconds.
        """
        message = task.message
        delay_ms = 0.0 if task.is_durable else self.loop_delay_ms()
        task.shorten_limits(delay_ms)
        if self._withdrawn_jobs.includes(task.owner_id, message.job_id, task.dispatch):
            self._count("runs.withdrawn")
            return True
        if task.is_durable or task.may_run or now_s < task.start_by_s:
            return False
        self._count("runs.read_too_late")
        log_decision(
            "runs",
            "task read too late",
            task=task.name,
            group=message.group,
            start_within_ms=round(message.start_within_ms),
            delay_ms=round(delay_ms),
        )
        return True
