"""Queries to a worker about attempts whose state is uncertain."""

from eliot import log_message

from camphorchute.contracts import ResultCode
from camphorchute.workers.back_end import RUNNING, BackEndError, FoundAttempt
from camphorchute.workers.context import SchedulerContext
from camphorchute.workers.fence import AttemptState, OpenAttempt
from camphorchute.workers.reports import EndedAttempt, TaskReporter

__all__ = ["AttemptChecks"]

STOP_TRIES_MAX = 3
ABSENT_CHECKS_MAX = 2
UNANSWERED_POLLS_MIN = 3
BACKOFF_DOUBLINGS_MAX = 5


class AttemptChecks:
    """Determines the state of unclear, overdue and lingering attempts of one worker.

    Args:
        context: state shared by the components of the scheduler.
        reporter: reports outcomes to the owners.
        link: the worker.
    """

    __slots__ = (
        "_context",
        "_reporter",
        "_link",
        "_stop_tries",
        "_next_status_ms",
        "_status_requested",
    )

    def __init__(self, context: SchedulerContext, reporter: TaskReporter, link) -> None:
        self._context = context
        self._reporter = reporter
        self._link = link
        self._stop_tries: dict[str, int] = {}
        self._next_status_ms = 0.0
        self._status_requested = True

    def stop_job(self, job: str) -> None:
        """Request that the next run of the checks stops the attempts of a job."""
        self._stop_tries[job] = STOP_TRIES_MAX

    def request_status(self) -> None:
        """Request that the next run of the checks reads the slot counts of the worker."""
        self._status_requested = True

    def make_all_checks_due(self) -> None:
        """Make the checks of all attempts due immediately, since the worker may have restarted."""
        for attempt in self._link.slot_attempts.values():
            if attempt.state is AttemptState.STARTED:
                attempt.check_count = ABSENT_CHECKS_MAX
            attempt.next_check_ms = 0.0

    def schedule_check(self, attempt: OpenAttempt) -> None:
        """Set the time of the next query about an attempt, with exponential backoff."""
        timing = self._context.timing
        doubled = 2 ** min(attempt.check_count, BACKOFF_DOUBLINGS_MAX)
        if attempt.state is AttemptState.UNCLEAR:
            wait_ms = timing.find_first_ms * doubled
        elif attempt.state is AttemptState.LINGERING:
            wait_ms = timing.status_every_ms * doubled
        else:
            wait_ms = self._overdue_ms(attempt) * doubled
        attempt.next_check_ms = self._context.now_ms() + wait_ms

    def run_due_checks(self) -> None:
        """Send pending stop commands, read the status, query due attempts and report lost ones."""
        self._send_stops()
        self._read_status()
        self._query_due_attempts()
        self._report_lost_if_unresponsive()

    def _overdue_ms(self, attempt: OpenAttempt) -> float:
        spec = attempt.spec
        timing = self._context.timing
        estimate_ms = self._context.run_times.estimate_ms(
            attempt.record.service, spec.kind, spec.run_time_ms
        )
        return max(timing.overdue_min_ms, timing.overdue_factor * estimate_ms)

    def _send_stops(self) -> None:
        for job in list(self._stop_tries):
            tries = self._stop_tries.pop(job)
            try:
                self._link.back_end.stop_job(job)
            except BackEndError:
                self._context.count("home.stop.failed")
                if tries > 1:
                    self._stop_tries.setdefault(job, tries - 1)
                return

    def _read_status(self) -> None:
        link = self._link
        slots = link.slots
        now_ms = self._context.now_ms()
        if now_ms < self._next_status_ms:
            return
        if not (self._status_requested or slots.busy_by_others or not slots.answering):
            return
        self._next_status_ms = now_ms + self._context.timing.status_every_ms
        busy = slots.busy
        try:
            status = link.back_end.status()
        except BackEndError:
            self._context.count("home.status.failed")
            return
        link.mark_responsive()
        if link.sending or slots.busy != busy:
            return
        self._status_requested = False
        slots.apply_report(status.slots, status.running)
        link.pool.grant_free_slots()

    def _query_due_attempts(self) -> None:
        now_ms = self._context.now_ms()
        jobs: dict[str, list[OpenAttempt]] = {}
        for attempt in self._link.slot_attempts.values():
            if attempt.state >= AttemptState.STARTED and attempt.next_check_ms <= now_ms:
                jobs.setdefault(attempt.record.key, []).append(attempt)
        for key, attempts in jobs.items():
            self._context.count("home.find")
            try:
                found = {entry.attempt: entry for entry in self._link.back_end.find_attempts(key)}
            except BackEndError:
                self._context.count("home.find.failed")
                self._handle_find_failure([a for group in jobs.values() for a in group])
                return
            self._link.mark_responsive()
            self._apply_found(attempts, found)

    def _handle_find_failure(self, attempts: list[OpenAttempt]) -> None:
        for attempt in attempts:
            if attempt.state is AttemptState.UNCLEAR:
                self._handle_still_unclear(attempt)
            elif attempt.state is not AttemptState.ENDED:
                self.schedule_check(attempt)

    def _apply_found(self, attempts: list[OpenAttempt], found: dict[str, FoundAttempt]) -> None:
        ended = []
        for attempt in attempts:
            if attempt.state is AttemptState.ENDED:
                continue
            entry = found.get(attempt.attempt)
            if entry is not None and entry.index != attempt.index:
                self._context.count("home.answers.unmatched")
                entry = None
            if entry is None:
                self._handle_absent(attempt)
            elif entry.state == RUNNING or entry.ok is None:
                self._handle_running(attempt)
            elif attempt.state is AttemptState.LINGERING:
                self.release_lingering(attempt)
            else:
                run_ms = entry.run_ms or 0.0
                ended.append(
                    self._link.answer_handler.end_attempt(
                        attempt, entry.ok, entry.answer or "", run_ms
                    )
                )
        if ended:
            self._context.count("home.find.ended", len(ended))
            self._reporter.report_ended(ended)

    def _handle_running(self, attempt: OpenAttempt) -> None:
        if attempt.state is AttemptState.UNCLEAR:
            self._context.count("home.find.adopted")
            attempt.state = AttemptState.STARTED
            attempt.check_count = 0
        else:
            attempt.check_count += 1
        self.schedule_check(attempt)

    def _handle_absent(self, attempt: OpenAttempt) -> None:
        if attempt.state is AttemptState.LINGERING:
            self.release_lingering(attempt)
        elif attempt.state is AttemptState.UNCLEAR:
            self._handle_still_unclear(attempt)
        elif attempt.check_count >= ABSENT_CHECKS_MAX:
            self._report_lost([attempt], "the worker does not know it")
        else:
            attempt.check_count += 1
            attempt.next_check_ms = self._context.now_ms() + self._context.timing.find_first_ms

    def _handle_still_unclear(self, attempt: OpenAttempt) -> None:
        attempt.check_count += 1
        if attempt.check_count >= self._context.timing.find_max:
            self._report_lost([attempt], "its start got no answer")
        else:
            self.schedule_check(attempt)

    def release_lingering(self, attempt: OpenAttempt) -> None:
        """Free the slot of a lingering attempt that has ended at the worker."""
        attempt.state = AttemptState.ENDED
        self._link.release_attempt(attempt)
        self._link.pool.grant_free_slots()

    def _report_lost_if_unresponsive(self) -> None:
        link = self._link
        if link.slots.answering or link.unanswered_polls < UNANSWERED_POLLS_MIN:
            return
        unanswered_ms = self._context.now_ms() - link.last_contact_ms
        if unanswered_ms < self._context.timing.lost_after_ms:
            return
        sent = (AttemptState.SENT, AttemptState.STARTED, AttemptState.UNCLEAR)
        lost = [attempt for attempt in link.slot_attempts.values() if attempt.state in sent]
        if lost:
            self._report_lost(lost, f"no answer for {unanswered_ms:.0f} ms")

    def _report_lost(self, attempts: list[OpenAttempt], detail: str) -> None:
        log_message(
            "workers: attempts are reported as lost.",
            worker=self._link.slots.address,
            attempts=[attempt.attempt for attempt in attempts],
            detail=detail,
        )
        ended = [EndedAttempt(a, ResultCode.WORKER_LOST, detail=detail) for a in attempts]
        self._reporter.report_ended(ended, lingering=True)
