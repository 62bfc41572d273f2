"""Processing of a worker's answers, each of which is reported to the owner at most once."""

from camphorchute.contracts import ResultCode
from camphorchute.workers.back_end import AttemptAnswer
from camphorchute.workers.context import SchedulerContext
from camphorchute.workers.fence import AttemptState, OpenAttempt
from camphorchute.workers.reports import EndedAttempt, TaskReporter

__all__ = ["AnswerHandler"]


class AnswerHandler:
    """Matches the answers of one worker with attempts, learns run times and reports outcomes.

    Args:
        context: state shared by the components of the scheduler.
        reporter: reports outcomes to the owners.
        link: the worker.
    """

    __slots__ = ("_context", "_reporter", "_link")

    def __init__(self, context: SchedulerContext, reporter: TaskReporter, link) -> None:
        self._context = context
        self._reporter = reporter
        self._link = link

    def handle_answers(self, answers: list[AttemptAnswer]) -> None:
        """Report the first answer for each attempt; drop unmatched and repeated answers.

        An answer for a lingering attempt only frees its slot.
        """
        ended = []
        for answer in answers:
            attempt = self._find_attempt(answer)
            if attempt is None:
                continue
            if attempt.state is AttemptState.LINGERING:
                self._context.count("home.answers.late")
                attempt.link.checks.release_lingering(attempt)
            else:
                ended.append(self.end_attempt(attempt, answer.ok, answer.answer, answer.run_ms))
        if ended:
            self._reporter.report_ended(ended)

    def end_attempt(
        self, attempt: OpenAttempt, ok: bool, answer: str, run_ms: float
    ) -> EndedAttempt:
        """Mark an attempt as ended, learn from it and return it with its outcome.

        Args:
            attempt: an attempt without an outcome.
            ok: whether the task succeeded.
            answer: the answer of the task, or the description of its failure.
            run_ms: run time in milliseconds as the worker reports it.
        """
        attempt.state = AttemptState.ENDED
        attempt.link.slots.reset_block_backoff()
        self._record_outcome(attempt, ok)
        if not ok:
            return EndedAttempt(attempt, ResultCode.TASK_FAILED, detail=answer)
        self._learn_run_time(attempt, run_ms)
        return EndedAttempt(attempt, ResultCode.COMPLETE, answer)

    def report_lost(self, attempts: list[OpenAttempt]) -> None:
        """Report attempts that may have run and whose answers cannot be obtained."""
        ended = []
        for attempt in attempts:
            if attempt.state is AttemptState.LINGERING:
                self._link.checks.release_lingering(attempt)
            else:
                ended.append(EndedAttempt(attempt, ResultCode.WORKER_LOST))
        if ended:
            self._reporter.report_ended(ended)

    def _find_attempt(self, answer: AttemptAnswer) -> OpenAttempt | None:
        attempt = self._context.fence.attempts.get(answer.attempt)
        if not self._is_for_attempt(answer, attempt):
            self._context.count("home.answers.unmatched")
            return None
        if attempt.state is AttemptState.ENDED:
            self._context.count("home.answers.doubled")
            return None
        return attempt

    def _is_for_attempt(self, answer: AttemptAnswer, attempt: OpenAttempt | None) -> bool:
        return (
            attempt is not None
            and attempt.record.key == answer.job
            and attempt.index == answer.index
            and attempt.state is not AttemptState.WAITING
            and attempt.link.slots.address == self._link.slots.address
        )

    def _record_outcome(self, attempt: OpenAttempt, ok: bool) -> None:
        slots = attempt.link.slots
        failures = slots.failures
        failures.record_outcome(ok, attempt.record.key)
        if failures.ejected and ok:
            failures.restore()
            self._context.count("home.worker.restored")
        elif failures.ejected:
            failures.eject(self._context.now_ms())
        elif not ok:
            attempt.link.pool.eject_if_failing(slots)

    def _learn_run_time(self, attempt: OpenAttempt, run_ms: float) -> None:
        elapsed_ms = self._context.now_ms() - attempt.sent_ms
        run_ms = run_ms if 0 < run_ms <= elapsed_ms else elapsed_ms
        spec = attempt.spec
        service = attempt.record.service
        times = self._context.run_times
        times.add_sample(service, spec.kind, run_ms, spec.run_time_ms)
        expected_ms = times.estimate_ms(service, spec.kind, spec.run_time_ms)
        attempt.link.slots.learn_speed(run_ms, expected_ms)
