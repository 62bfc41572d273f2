"""Reports from a scheduler to the owners of jobs about returned and ended tasks."""

from collections.abc import Iterable

from camphorchute.contracts import ResultCode, TaskOutcome
from camphorchute.contracts.messages import TasksEnded, TasksReturned
from camphorchute.workers.context import SchedulerContext
from camphorchute.workers.fence import AttemptState, KeyRecord, OpenAttempt

__all__ = ["EndedAttempt", "TaskReporter"]


class EndedAttempt:
    """An attempt with the outcome to report."""

    __slots__ = ("attempt", "outcome")

    def __init__(
        self, attempt: OpenAttempt, code: ResultCode, answer: str = "", detail: str = ""
    ) -> None:
        self.attempt = attempt
        self.outcome = TaskOutcome(attempt.index, int(code), answer, detail)


class TaskReporter:
    """Closes attempts, frees their slots and reports them to their owners, one message per job."""

    __slots__ = ("_context",)

    def __init__(self, context: SchedulerContext) -> None:
        self._context = context

    def report_returned(
        self, attempts: Iterable[OpenAttempt], code: ResultCode, detail: str = ""
    ) -> None:
        """Return attempts to their owners: they were not started and will not be.

        Args:
            attempts: attempts without an outcome.
            code: why they are returned.
            detail: further text on the reason.
        """
        context = self._context
        now_ms = context.now_ms()
        jobs: dict[str, tuple[KeyRecord, list[str]]] = {}
        pools = {}
        for attempt in attempts:
            link = attempt.link
            record = attempt.record
            context.fence.withdraw_attempt(attempt, now_ms)
            if link is not None:
                link.release_attempt(attempt)
                pools[link.pool.name] = link.pool
                if code is ResultCode.NO_SLOT:
                    link.pool.add_demand(record.owner_id, record.team)
            jobs.setdefault(record.key, (record, []))[1].append(attempt.attempt)
        for record, ids in jobs.values():
            context.count(f"home.returned.{code.name.lower()}", len(ids))
            context.send(record.owner_id, TasksReturned(record.key, ids, int(code), detail))
        for pool in pools.values():
            pool.grant_free_slots()

    def report_ended(self, ended: Iterable[EndedAttempt], lingering: bool = False) -> None:
        """Report the outcomes of attempts to their owners.

        Args:
            ended: attempts whose outcomes have not been reported yet.
            lingering: whether the attempts may still occupy their slots.
        """
        context = self._context
        now_ms = context.now_ms()
        jobs: dict[str, tuple[KeyRecord, list[TaskOutcome]]] = {}
        pools = {}
        for entry in ended:
            attempt = entry.attempt
            record = attempt.record
            context.fence.record_outcome(attempt, entry.outcome, now_ms)
            if lingering:
                attempt.state = AttemptState.LINGERING
                attempt.check_count = 0
                attempt.next_check_ms = now_ms + context.timing.status_every_ms
            else:
                attempt.state = AttemptState.ENDED
                attempt.link.release_attempt(attempt)
                pools[attempt.link.pool.name] = attempt.link.pool
            context.count(f"home.ended.{ResultCode(entry.outcome.code).name.lower()}")
            jobs.setdefault(record.key, (record, []))[1].append(entry.outcome)
        for record, outcomes in jobs.values():
            context.send(record.owner_id, TasksEnded(record.key, outcomes))
        for pool in pools.values():
            pool.grant_free_slots()
