"""Answers of a worker: matched with attempts, learned from and reported once."""

from camphorchute.contracts import ResultCode
from camphorchute.workers.back_end import AttemptAnswer
from camphorchute.workers.context import HomeContext
from camphorchute.workers.fence import AttemptState, OpenAttempt
from camphorchute.workers.reports import EndedAttempt, Reports

__all__ = ["AnswerIntake"]


class AnswerIntake:
    """Takes in what one worker says of ended attempts."""

    __slots__ = ("_context", "_reports", "_link")

    def __init__(self, context: HomeContext, reports: Reports, link) -> None:
        self._context = context
        self._reports = reports
        self._link = link

    def take(self, answers: list[AttemptAnswer]) -> None:
        """Report the answers that are the first for an attempt of this worker; drop the rest."""
        ends = []
        for answer in answers:
            attempt = self._match(answer)
            if attempt is None:
                continue
            if attempt.state is AttemptState.LINGERING:
                self._context.count("home.answers.late")
                attempt.link.checks.release(attempt)
            else:
                ends.append(self.end_of(attempt, answer.ok, answer.answer, answer.run_ms))
        if ends:
            self._reports.ended(ends)

    def end_of(self, attempt: OpenAttempt, ok: bool, answer: str, run_ms: float) -> EndedAttempt:
        """Learn from the end of an attempt and return its outcome."""
        attempt.state = AttemptState.ENDED
        attempt.link.slots.start_succeeded()
        self._note_failure(attempt, ok)
        if not ok:
            return EndedAttempt(attempt, ResultCode.TASK_FAILED, detail=answer)
        self._learn_run_time(attempt, run_ms)
        return EndedAttempt(attempt, ResultCode.COMPLETE, answer)

    def lose(self, attempts: list[OpenAttempt]) -> None:
        """Report attempts that may have run and whose answers cannot be had."""
        ends = []
        for attempt in attempts:
            if attempt.state is AttemptState.LINGERING:
                self._link.checks.release(attempt)
            else:
                ends.append(EndedAttempt(attempt, ResultCode.WORKER_LOST))
        if ends:
            self._reports.ended(ends)

    def _match(self, answer: AttemptAnswer) -> OpenAttempt | None:
        attempt = self._context.fence.attempts.get(answer.attempt)
        if not self._belongs(answer, attempt):
            self._context.count("home.answers.unmatched")
            return None
        if attempt.state is AttemptState.ENDED:
            self._context.count("home.answers.doubled")
            return None
        return attempt

    def _belongs(self, answer: AttemptAnswer, attempt: OpenAttempt | None) -> bool:
        return (
            attempt is not None
            and attempt.record.key == answer.job
            and attempt.index == answer.index
            and attempt.state is not AttemptState.WAITING
            and attempt.link.slots.address == self._link.slots.address
        )

    def _note_failure(self, attempt: OpenAttempt, ok: bool) -> None:
        slots = attempt.link.slots
        failures = slots.failures
        failures.note(ok, attempt.record.key)
        if failures.ejected and ok:
            failures.restore()
            self._context.count("home.worker.restored")
        elif failures.ejected:
            failures.eject(self._context.now_ms())
        elif not ok:
            attempt.link.pool.review_failures(slots)

    def _learn_run_time(self, attempt: OpenAttempt, run_ms: float) -> None:
        elapsed_ms = self._context.now_ms() - attempt.sent_ms
        run_ms = run_ms if 0 < run_ms <= elapsed_ms else elapsed_ms
        spec = attempt.spec
        service = attempt.record.service
        times = self._context.run_times
        times.learn(service, spec.kind, run_ms, spec.run_time_ms)
        expected_ms = times.estimate_ms(service, spec.kind, spec.run_time_ms)
        attempt.link.slots.learn_speed(run_ms, expected_ms)
