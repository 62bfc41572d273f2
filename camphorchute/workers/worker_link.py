"""Communication of a scheduler with one worker: start messages, long poll and checks."""

import traceback

import gevent
from eliot import log_message
from gevent.event import Event

from camphorchute.contracts import InvariantBroken, ResultCode
from camphorchute.loops import wait_for_event
from camphorchute.workers.answers import AnswerHandler
from camphorchute.workers.attempt_checks import AttemptChecks
from camphorchute.workers.back_end import (
    REFUSED_NO_SLOT,
    REFUSED_UNREACHABLE,
    Attempt,
    BackEnd,
    BackEndError,
    StartReport,
)
from camphorchute.workers.context import SchedulerContext
from camphorchute.workers.fence import AttemptState, OpenAttempt
from camphorchute.workers.reports import TaskReporter
from camphorchute.workers.service_pool import ServicePool
from camphorchute.workers.slots import WorkerSlots

__all__ = ["WorkerLink"]

POLL_RETRY_MAX_MS = 1000.0
POLL_INTERVAL_MIN_MS = 10.0
ERROR_PAUSE_MS = 50.0


class WorkerLink:
    """Link of a scheduler to one worker or upstream.

    Attributes:
        slots: slots of the worker.
        back_end: client for the protocol of the worker.
        pool: the workers of its service.
        slot_attempts: attempts that may occupy a slot of the worker, by attempt id.
        last_answer: number of the last answer received.
        leaving_since_ms: monotonic time since when the worker has been leaving its service, None
            if it is not.
        sending: whether a start message is being sent.
        unanswered_polls: consecutive polls and start messages without an answer.
        last_contact_ms: monotonic time of the last answer to a request.
        answer_handler: processes the answers of the worker.
        checks: queries the worker about attempts whose state is uncertain.
    """

    __slots__ = (
        "slots",
        "back_end",
        "pool",
        "slot_attempts",
        "last_answer",
        "leaving_since_ms",
        "sending",
        "unanswered_polls",
        "last_contact_ms",
        "answer_handler",
        "checks",
        "_context",
        "_reporter",
        "_unsent",
        "_wake_starts",
        "_wake_checks",
        "_greenlets",
    )

    def __init__(
        self,
        context: SchedulerContext,
        reporter: TaskReporter,
        pool: ServicePool,
        slots: WorkerSlots,
        back_end: BackEnd,
    ) -> None:
        self.slots = slots
        self.back_end = back_end
        self.pool = pool
        self.slot_attempts: dict[str, OpenAttempt] = {}
        self.last_answer = 0
        self.leaving_since_ms: float | None = None
        self.sending = False
        self.unanswered_polls = 0
        self.last_contact_ms = context.now_ms()
        self.answer_handler = AnswerHandler(context, reporter, self)
        self.checks = AttemptChecks(context, reporter, self)
        self._context = context
        self._reporter = reporter
        self._unsent: list[OpenAttempt] = []
        self._wake_starts = Event()
        self._wake_checks = Event()
        self._greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start the greenlets that send start messages, poll for answers and run the checks."""
        self.back_end.start()
        loops = (self._send_starts_forever, self._poll_forever, self._check_forever)
        self._greenlets = [gevent.spawn(loop) for loop in loops]

    def close(self) -> None:
        """Kill the greenlets and close the connections."""
        gevent.killall(self._greenlets)
        self._greenlets = []
        self.back_end.close()

    def queue_attempts(self, attempts: list[OpenAttempt]) -> None:
        """Add attempts, which occupy a slot of this worker already, to the next start message."""
        for attempt in attempts:
            self.slot_attempts[attempt.attempt] = attempt
        self._unsent.extend(attempts)
        self._wake_starts.set()

    def set_leaving(self, leaving: bool, now_ms: float) -> None:
        """Record whether the worker is leaving its service, and since when."""
        if not leaving:
            self.leaving_since_ms = None
        elif self.leaving_since_ms is None:
            self.leaving_since_ms = now_ms

    def stop_job(self, job: str) -> None:
        """Wake the checks to stop the attempts of a job at the worker."""
        self.checks.stop_job(job)
        self._wake_checks.set()

    def has_open_tasks(self) -> bool:
        """Return whether an attempt has no outcome, or occupies a slot of a worker that answers."""
        if self.slots.answering:
            return bool(self.slot_attempts)
        return any(attempt.outcome is None for attempt in self.slot_attempts.values())

    def release_attempt(self, attempt: OpenAttempt) -> None:
        """Remove an attempt and free its slot."""
        self.slot_attempts.pop(attempt.attempt, None)
        self.slots.release_slot()

    def mark_responsive(self) -> None:
        """Record that the worker answered, and let it get tasks again."""
        self.unanswered_polls = 0
        self.last_contact_ms = self._context.now_ms()
        if not self.slots.answering:
            self.slots.answering = True
            self.pool.grant_free_slots()

    def mark_unresponsive(self) -> None:
        """Record that the worker gave no answer, and start no task on it until it gives one."""
        self.unanswered_polls += 1
        if self.slots.answering:
            self.slots.answering = False
            log_message(
                "workers: worker does not answer, no task is started on it.",
                worker=self.slots.address,
            )
            self.return_unsent(ResultCode.NO_SLOT)

    def return_unsent(self, code: ResultCode) -> None:
        """Return to their owners the attempts that no start message has contained yet."""
        batch = self._take_unsent()
        if batch:
            self._reporter.report_returned(batch, code)

    def send_starts(self) -> None:
        """Send all unsent attempts in one start message, without those past their deadline."""
        batch = self._take_unsent()
        if not batch:
            return
        now_ms = self._context.now_ms()
        late = [attempt for attempt in batch if attempt.record.deadline_ms <= now_ms]
        if late:
            self._reporter.report_returned(late, ResultCode.DEADLINE_PASSED)
            batch = [attempt for attempt in batch if attempt.state is AttemptState.WAITING]
        if self._context.closing:
            self._reporter.report_returned(batch, ResultCode.LEAVING)
        elif self._is_start_blocked(now_ms):
            self._reporter.report_returned(batch, ResultCode.NO_SLOT)
        elif batch:
            self._send_batch(batch, now_ms)

    def poll_once(self) -> bool:
        """Poll the worker for answers once and return whether it answered."""
        timing = self._context.timing
        wait_ms = timing.poll_wait_ms if self.slot_attempts else timing.idle_poll_wait_ms
        if not self.slots.answering:
            wait_ms = 0.0
        try:
            page = self.back_end.next_answers(self.last_answer, wait_ms)
        except BackEndError as error:
            self._context.count("home.poll.silent")
            log_message("workers: poll of a worker failed.", error=str(error))
            self.mark_unresponsive()
            return False
        self.mark_responsive()
        if page.last < self.last_answer:
            self._context.count("home.worker.restarted")
            self.checks.make_all_checks_due()
        self.last_answer = page.last
        if page.answers:
            self.answer_handler.handle_answers(page.answers)
        if page.refused:
            self._handle_refusals(page.refused)
        if page.lost:
            self.answer_handler.report_lost(
                [self.slot_attempts[a] for a in page.lost if a in self.slot_attempts]
            )
        return True

    def _is_start_blocked(self, now_ms: float) -> bool:
        slots = self.slots
        return slots.removed or not slots.answering or now_ms < slots.blocked_until_ms

    def _take_unsent(self) -> list[OpenAttempt]:
        batch, self._unsent = self._unsent, []
        return [attempt for attempt in batch if attempt.state is AttemptState.WAITING]

    def _send_batch(self, batch: list[OpenAttempt], now_ms: float) -> None:
        messages = []
        for attempt in batch:
            spec = attempt.spec
            record = attempt.record
            attempt.state = AttemptState.SENT
            attempt.sent_ms = now_ms
            messages.append(
                Attempt(
                    attempt.attempt,
                    record.key,
                    attempt.index,
                    record.service,
                    spec.kind,
                    spec.payload,
                    spec.run_time_ms,
                )
            )
        self._context.count("home.started", len(messages))
        self.sending = True
        try:
            report = self.back_end.start_attempts(messages)
        except InvariantBroken:
            raise
        except Exception:
            log_message(
                "workers: unexpected error while sending a start message.",
                traceback=traceback.format_exc(),
            )
            report = StartReport(unclear=[attempt.attempt for attempt in messages])
        finally:
            self.sending = False
        self._apply_start_report(batch, report)

    def _apply_start_report(self, batch: list[OpenAttempt], report: StartReport) -> None:
        sent = {attempt.attempt for attempt in batch}
        refused = {name: reason for name, reason in report.refused.items() if name in sent}
        if refused:
            self._handle_refusals(refused)
        if len(refused) < len(report.refused):
            self._context.count("home.answers.unmatched", len(report.refused) - len(refused))
        unclear = set(report.unclear)
        for attempt in batch:
            if attempt.state is not AttemptState.SENT:
                continue
            if attempt.attempt in unclear:
                attempt.state = AttemptState.UNCLEAR
            else:
                attempt.state = AttemptState.STARTED
            self.checks.schedule_check(attempt)
        if unclear:
            self._context.count("home.start.unclear", len(unclear))
            self._wake_checks.set()
            self.slots.block_starts(self._context.now_ms())

    def _handle_refusals(self, refused: dict[str, str]) -> None:
        attempts = [
            self.slot_attempts[attempt] for attempt in refused if attempt in self.slot_attempts
        ]
        reasons = set(refused.values())
        for reason in refused.values():
            self._context.count(f"home.start.refused.{reason}")
        if REFUSED_NO_SLOT in reasons:
            others_busy = self.slots.busy - len(attempts)
            self.slots.lower_limit(others_busy, self._context.now_ms())
            self.checks.request_status()
            self._wake_checks.set()
            if not others_busy:
                self.slots.block_starts(self._context.now_ms())
        if REFUSED_UNREACHABLE in reasons:
            self.mark_unresponsive()
        if reasons - {REFUSED_NO_SLOT, REFUSED_UNREACHABLE}:
            self.slots.block_starts(self._context.now_ms())
        for attempt in attempts:
            if attempt.state is AttemptState.LINGERING:
                self.checks.release_lingering(attempt)
        unreported = [attempt for attempt in attempts if attempt.outcome is None]
        self._reporter.report_returned(unreported, ResultCode.NO_SLOT, ", ".join(sorted(reasons)))

    def _send_starts_forever(self) -> None:
        while True:
            wait_for_event(self._wake_starts)
            self._wake_starts.clear()
            self._run_guarded(self.send_starts)

    def _poll_forever(self) -> None:
        retry_ms = 0.0
        while True:
            began_ms, last_answer = self._context.now_ms(), self.last_answer
            if not self._run_guarded(self.poll_once):
                gevent.sleep(retry_ms / 1000)
                retry_ms = min(
                    POLL_RETRY_MAX_MS, max(self._context.timing.poll_retry_ms, retry_ms * 2)
                )
                continue
            retry_ms = 0.0
            if (
                self.last_answer == last_answer
                and self._context.now_ms() - began_ms < POLL_INTERVAL_MIN_MS
            ):
                gevent.sleep(POLL_INTERVAL_MIN_MS / 1000)

    def _check_forever(self) -> None:
        while True:
            wait_for_event(self._wake_checks, self._check_wait_ms() / 1000)
            self._wake_checks.clear()
            self._run_guarded(self.checks.run_due_checks)

    def _check_wait_ms(self) -> float:
        timing = self._context.timing
        in_doubt = self.slot_attempts or self.slots.busy_by_others or not self.slots.answering
        return timing.check_every_ms if in_doubt else timing.idle_check_every_ms

    def _run_guarded(self, step):
        try:
            return step()
        except InvariantBroken:
            raise
        except Exception:
            self._context.count("home.internal_error")
            log_message(
                "workers: unexpected error in a greenlet of a worker link.",
                traceback=traceback.format_exc(),
            )
            gevent.sleep(ERROR_PAUSE_MS / 1000)
            return None
