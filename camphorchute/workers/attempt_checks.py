"""Questions to a worker about attempts whose fate is in doubt."""

from eliot import log_message

from camphorchute.contracts import ResultCode
from camphorchute.workers.back_end import RUNNING, BackEndError, FoundAttempt
from camphorchute.workers.context import HomeContext
from camphorchute.workers.fence import AttemptState, OpenAttempt
from camphorchute.workers.reports import EndedAttempt, Reports

__all__ = ["AttemptChecks"]

STOP_TRIES = 3
ABSENT_MAX = 2
SILENT_POLLS_MIN = 3
DOUBLINGS_MAX = 5


class AttemptChecks:
    """Finds out what became of unclear, overdue and lingering attempts of one worker."""

    __slots__ = ("_context", "_reports", "_link", "_stops", "_status_at_ms", "_status_wanted")

    def __init__(self, context: HomeContext, reports: Reports, link) -> None:
        self._context = context
        self._reports = reports
        self._link = link
        self._stops: dict[str, int] = {}
        self._status_at_ms = 0.0
        self._status_wanted = True

    def stop_job(self, job: str) -> None:
        """Stop a job's attempts with the next check."""
        self._stops[job] = STOP_TRIES

    def want_status(self) -> None:
        """Read the worker's own counts with the next check."""
        self._status_wanted = True

    def check_all(self) -> None:
        """Ask about every attempt with the next check: the worker may have restarted."""
        for attempt in self._link.open.values():
            if attempt.state is AttemptState.STARTED:
                attempt.checks = ABSENT_MAX
            attempt.next_check_ms = 0.0

    def schedule(self, attempt: OpenAttempt) -> None:
        """Set when an attempt is asked about next."""
        timing = self._context.timing
        doubled = 2 ** min(attempt.checks, DOUBLINGS_MAX)
        if attempt.state is AttemptState.UNCLEAR:
            wait_ms = timing.find_first_ms * doubled
        elif attempt.state is AttemptState.LINGERING:
            wait_ms = timing.status_every_ms * doubled
        else:
            wait_ms = self._overdue_ms(attempt) * doubled
        attempt.next_check_ms = self._context.now_ms() + wait_ms

    def check_once(self) -> None:
        """Do what is due."""
        self._send_stops()
        self._read_status()
        self._find_due()
        self._lose_if_silent()

    def _overdue_ms(self, attempt: OpenAttempt) -> float:
        spec = attempt.spec
        timing = self._context.timing
        estimate_ms = self._context.run_times.estimate_ms(
            attempt.record.service, spec.kind, spec.run_time_ms
        )
        return max(timing.overdue_min_ms, timing.overdue_factor * estimate_ms)

    def _send_stops(self) -> None:
        for job in list(self._stops):
            tries = self._stops.pop(job)
            try:
                self._link.back_end.stop(job)
            except BackEndError:
                self._context.count("home.stop.failed")
                if tries > 1:
                    self._stops.setdefault(job, tries - 1)
                return

    def _read_status(self) -> None:
        link = self._link
        slots = link.slots
        now_ms = self._context.now_ms()
        if now_ms < self._status_at_ms:
            return
        if not (self._status_wanted or slots.foreign or not slots.answering):
            return
        self._status_at_ms = now_ms + self._context.timing.status_every_ms
        busy = slots.busy
        try:
            status = link.back_end.status()
        except BackEndError:
            self._context.count("home.status.failed")
            return
        link.contact()
        if link.sending or slots.busy != busy:
            return
        self._status_wanted = False
        slots.report(status.slots, status.running)
        link.pool.grant()

    def _find_due(self) -> None:
        now_ms = self._context.now_ms()
        jobs: dict[str, list[OpenAttempt]] = {}
        for attempt in self._link.open.values():
            if attempt.state >= AttemptState.STARTED and attempt.next_check_ms <= now_ms:
                jobs.setdefault(attempt.record.key, []).append(attempt)
        for key, attempts in jobs.items():
            self._context.count("home.find")
            try:
                found = {entry.attempt: entry for entry in self._link.back_end.find(key)}
            except BackEndError:
                self._context.count("home.find.failed")
                self._find_failed([a for group in jobs.values() for a in group])
                return
            self._link.contact()
            self._take_found(attempts, found)

    def _find_failed(self, attempts: list[OpenAttempt]) -> None:
        for attempt in attempts:
            if attempt.state is AttemptState.UNCLEAR:
                self._still_unclear(attempt)
            elif attempt.state is not AttemptState.ENDED:
                self.schedule(attempt)

    def _take_found(self, attempts: list[OpenAttempt], found: dict[str, FoundAttempt]) -> None:
        ends = []
        for attempt in attempts:
            if attempt.state is AttemptState.ENDED:
                continue
            entry = found.get(attempt.attempt)
            if entry is not None and entry.index != attempt.index:
                self._context.count("home.answers.unmatched")
                entry = None
            if entry is None:
                self._absent(attempt)
            elif entry.state == RUNNING or entry.ok is None:
                self._running(attempt)
            elif attempt.state is AttemptState.LINGERING:
                self.release(attempt)
            else:
                run_ms = entry.run_ms or 0.0
                ends.append(
                    self._link.answers.end_of(attempt, entry.ok, entry.answer or "", run_ms)
                )
        if ends:
            self._context.count("home.find.ended", len(ends))
            self._reports.ended(ends)

    def _running(self, attempt: OpenAttempt) -> None:
        if attempt.state is AttemptState.UNCLEAR:
            self._context.count("home.find.adopted")
            attempt.state = AttemptState.STARTED
            attempt.checks = 0
        else:
            attempt.checks += 1
        self.schedule(attempt)

    def _absent(self, attempt: OpenAttempt) -> None:
        if attempt.state is AttemptState.LINGERING:
            self.release(attempt)
        elif attempt.state is AttemptState.UNCLEAR:
            self._still_unclear(attempt)
        elif attempt.checks >= ABSENT_MAX:
            self._lose([attempt], "the worker does not know it")
        else:
            attempt.checks += 1
            attempt.next_check_ms = self._context.now_ms() + self._context.timing.find_first_ms

    def _still_unclear(self, attempt: OpenAttempt) -> None:
        attempt.checks += 1
        if attempt.checks >= self._context.timing.find_max:
            self._lose([attempt], "its start got no answer")
        else:
            self.schedule(attempt)

    def release(self, attempt: OpenAttempt) -> None:
        """Free the slot of a lingering attempt, which has ended."""
        attempt.state = AttemptState.ENDED
        self._link.forget(attempt)
        self._link.pool.grant()

    def _lose_if_silent(self) -> None:
        link = self._link
        if link.slots.answering or link.silent_polls < SILENT_POLLS_MIN:
            return
        silent_ms = self._context.now_ms() - link.last_contact_ms
        if silent_ms < self._context.timing.lost_after_ms:
            return
        sent = (AttemptState.SENT, AttemptState.STARTED, AttemptState.UNCLEAR)
        lost = [attempt for attempt in link.open.values() if attempt.state in sent]
        if lost:
            self._lose(lost, f"no answer for {silent_ms:.0f} ms")

    def _lose(self, attempts: list[OpenAttempt], detail: str) -> None:
        log_message(
            "workers: attempts count as lost.",
            worker=self._link.slots.address,
            attempts=[attempt.attempt for attempt in attempts],
            detail=detail,
        )
        ends = [EndedAttempt(a, ResultCode.WORKER_LOST, detail=detail) for a in attempts]
        self._reports.ended(ends, lingering=True)
