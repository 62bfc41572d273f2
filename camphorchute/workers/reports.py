"""What a home tells the owners of jobs about their tasks."""

from collections.abc import Iterable

from camphorchute.contracts import ResultCode, TaskOutcome
from camphorchute.contracts.messages import TasksEnded, TasksReturned
from camphorchute.workers.context import HomeContext
from camphorchute.workers.fence import AttemptState, KeyRecord, OpenAttempt

__all__ = ["EndedAttempt", "Reports"]


class EndedAttempt:
    """An attempt with its outcome."""

    __slots__ = ("attempt", "outcome")

    def __init__(
        self, attempt: OpenAttempt, code: ResultCode, answer: str = "", detail: str = ""
    ) -> None:
        self.attempt = attempt
        self.outcome = TaskOutcome(attempt.index, int(code), answer, detail)


class Reports:
    """Closes attempts, frees their slots and tells their owners, one message a job."""

    __slots__ = ("_context",)

    def __init__(self, context: HomeContext) -> None:
        self._context = context

    def returned(self, attempts: Iterable[OpenAttempt], code: ResultCode, detail: str = "") -> None:
        """Tell that these attempts were not started and will not be."""
        context = self._context
        now_ms = context.now_ms()
        jobs: dict[str, tuple[KeyRecord, list[str]]] = {}
        pools = {}
        for attempt in attempts:
            link = attempt.link
            record = attempt.record
            context.fence.withdraw(attempt, now_ms)
            if link is not None:
                link.forget(attempt)
                pools[link.pool.name] = link.pool
                if code is ResultCode.NO_SLOT:
                    link.pool.note_demand(record.owner_id, record.team)
            jobs.setdefault(record.key, (record, []))[1].append(attempt.attempt)
        for record, ids in jobs.values():
            context.count(f"home.returned.{code.name.lower()}", len(ids))
            context.send(record.owner_id, TasksReturned(record.key, ids, int(code), detail))
        for pool in pools.values():
            pool.grant()

    def ended(self, ends: Iterable[EndedAttempt], lingering: bool = False) -> None:
        """Tell the outcomes of attempts.

        Args:
            ends: attempts whose outcome was not told yet.
            lingering: whether they may still occupy their slots.
        """
        context = self._context
        now_ms = context.now_ms()
        jobs: dict[str, tuple[KeyRecord, list[TaskOutcome]]] = {}
        pools = {}
        for end in ends:
            attempt = end.attempt
            record = attempt.record
            context.fence.end(attempt, end.outcome, now_ms)
            if lingering:
                attempt.state = AttemptState.LINGERING
                attempt.checks = 0
                attempt.next_check_ms = now_ms + context.timing.status_every_ms
            else:
                attempt.state = AttemptState.ENDED
                attempt.link.forget(attempt)
                pools[attempt.link.pool.name] = attempt.link.pool
            context.count(f"home.ended.{ResultCode(end.outcome.code).name.lower()}")
            jobs.setdefault(record.key, (record, []))[1].append(end.outcome)
        for record, outcomes in jobs.values():
            context.send(record.owner_id, TasksEnded(record.key, outcomes))
        for pool in pools.values():
            pool.grant()
