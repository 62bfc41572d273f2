"""Start and stop commands for the runs of one worker."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent

from camphorchute.decision_log import log_decision
from camphorchute.hosting import (
    CommandRefused,
    CommandUnanswered,
    RefusalReason,
    StartCommand,
    WorkerClient,
)
from camphorchute.pause_watch import PAUSE_MIN_MS
from camphorchute.runs.earlier_run import EarlierRun
from camphorchute.runs.run import EndEvidence, Run, RunState
from camphorchute.runs.run_listener import RunListener
from camphorchute.runs.start_binding import StartBinding
from camphorchute.runs.worker_health import RETRY_PAUSE_MS

if TYPE_CHECKING:
    from camphorchute.runs.leased_worker import LeasedWorker

__all__ = ["RunCommands"]

NO_CAPACITY_PAUSE_MS = 40.0
UNHEALTHY_PAUSE_MS = 500.0
START_RETRY_PAUSE_MS = 5.0
START_RETRY_PAUSE_MAX_MS = 320.0
START_DELAY_MAX_MS = PAUSE_MIN_MS
MS_PER_S = 1000.0
# Refusals that show that the scheduler has a wrong view of the worker.
WRONG_VIEW_REASONS = frozenset(
    {RefusalReason.TOO_LATE, RefusalReason.OLD_RUN, RefusalReason.OTHER_INCARNATION}
)


class RunCommands:
    """Sends the commands for the runs of one worker, each from a greenlet of its own.

    Args:
        worker: the worker, whose runs and health follow from the answers.
        client: sends commands to the worker.
        current_fence: returns the fencing token in force.
        listener: receives the events on the worker's runs.
        count: adds to a named counter.
    """

    __slots__ = ("_worker", "_client", "_current_fence", "_listener", "_count")

    def __init__(
        self,
        worker: LeasedWorker,
        client: WorkerClient,
        current_fence: Callable[[], int],
        listener: RunListener,
        count: Callable[..., None],
    ) -> None:
        self._worker = worker
        self._client = client
        self._current_fence = current_fence
        self._listener = listener
        self._count = count

    def send_start(self, run: Run) -> None:
        """Send the start command of a run until it is answered, and record the answer.

        A command without an answer may still be carried out. It is repeated with the number of the
        run, which the worker starts once, while the run is neither listed nor stopped.
        """
        gevent.sleep(0)  # the notice to the owner of the job is written first
        if not self._wait_until_witnessed(run):
            return
        pause_ms = START_RETRY_PAUSE_MS
        while self._worker.holds(run) and run.state is not RunState.RUNNING:
            if self._is_start_over(run):
                return
            if not self._worker.leases.is_clock_recent():
                if self._worker.refresh_clock():
                    continue
                if run.state is RunState.ORDERED and not self._worker.health.is_responsive:
                    self._give_up_run(run, "clock_unknown")
                    return
            elif self._worker.health.is_responsive or run.state is RunState.ORDERED:
                if self._try_start(run):
                    return
                self._count("runs.retry.start")
            gevent.sleep(pause_ms / MS_PER_S)
            pause_ms = min(START_RETRY_PAUSE_MAX_MS, 2 * pause_ms)

    def _is_start_over(self, run: Run) -> bool:
        """Give up a run whose start must not be sent, or not again; return whether it is one."""
        if self._worker.is_closed:
            self._abandon_start(run)
        elif run.stop_requested and run.state is RunState.ORDERED:
            self._give_up_run(run, "stopped")  # no command was sent yet
        elif run.stop_requested and run.state is RunState.UNKNOWN:
            self.send_stop(run.task.name, run.number)
        elif not self._may_send_start(run):
            self._give_up_unsent_start(run)
        else:
            return False
        return True

    def _wait_until_witnessed(self, run: Run) -> bool:
        """Wait until witnesses know of the start of a run; return whether it may take place.

        The proof that the owner of its job is running may have become too old meanwhile.
        """
        if run.announcement is None:
            return True
        known = run.announcement.wait_until_decided(run.task.name)
        bindings = self._worker.start_bindings
        for shared in run.announcement.shared:
            if shared.task == run.task.name:
                bindings.add(shared.task, shared.worker_id, shared.run, shared.remaining_ms)
        if not self._worker.holds(run):
            return False
        if known is not None:
            bindings.add(known.task, known.worker_id, known.run, known.remaining_ms)
            self._worker.take_run(run)
            self._listener.run_found_elsewhere(self._worker, run, known)
            return False
        if not self._worker.has_lease_for(run.task, time.monotonic()):
            self._count("runs.start_without_news_of_owner")
            self._give_up_run(run, "no_news_of_owner")
            return False
        return True

    def _may_send_start(self, run: Run) -> bool:
        """Return whether a start command may be sent on what was known when it was decided on.

        After a pause of the process the task may be bound to another worker, or have started there
        once other processes took it as bound no more.
        """
        bindings = self._worker.start_bindings
        if not bindings.allows(run.task.name, run.worker_id):
            return False
        if run.state is RunState.ORDERED:
            return time.monotonic() - run.start_sent_s < START_DELAY_MAX_MS / MS_PER_S
        return bindings.of_task(run.task.name) is not None

    def _give_up_unsent_start(self, run: Run) -> None:
        """Give up a run whose start command must not be sent, or not again."""
        self._count("runs.start_out_of_date")
        if run.state is not RunState.ORDERED:
            self._worker.leave_unresolved(run)
        elif self._worker.take_run(run):
            self._listener.start_refused(self._worker, run, "out_of_date")

    def _abandon_start(self, run: Run) -> None:
        """Give up a run whose worker was removed, unless a start command for it may arrive."""
        if run.state is RunState.ORDERED:
            self._give_up_run(run, "worker_removed")

    def _try_start(self, run: Run) -> bool:
        """Send the start command of a run once; return whether it must not be sent again."""
        task, bindings = run.task, self._worker.start_bindings
        command = StartCommand(task.name, run.number, task.message.payload, task.message.demand)
        lease_until_ms = self._worker.lease_of_new_run()
        incarnation = self._worker.entry.incarnation
        bindings.record_sent(task.name, run.worker_id, run.number, incarnation)
        sent_s = time.monotonic()
        try:
            clock_ms = self._send_start(command, lease_until_ms)
        except CommandUnanswered as unanswered:
            if unanswered.sent:
                bindings.record_no_answer(task.name, run.worker_id)
            else:
                bindings.record_answer(task.name, run.worker_id)
            return self._handle_unanswered_start(run, unanswered, sent_s)
        except CommandRefused as refused:
            bindings.record_answer(task.name, run.worker_id)
            self._handle_start_refusal(run, refused.reason)
        else:
            bindings.record_answer(task.name, run.worker_id)
            self._worker.leases.read_clock(clock_ms)
            self._worker.health.record_command_answer()
            self._mark_started(run)
        return True

    def _send_start(self, command: StartCommand, lease_until_ms: float) -> float:
        """Send a start command and return the reading of the worker's clock in milliseconds.

        Raises:
            CommandRefused: the worker refused it.
            CommandUnanswered: it may be carried out, or was not sent.
        """
        try:
            return self._client.start_run(command, self._current_fence(), lease_until_ms)
        except (CommandRefused, CommandUnanswered):
            raise
        except Exception as error:
            self._count("runs.start_error")
            raise CommandUnanswered(f"unexpected error: {error!r}") from error

    def _mark_started(self, run: Run) -> None:
        """Record that the worker has started a run; stop a run that was taken as ended before."""
        run.state = RunState.RUNNING
        run.was_acknowledged = not self._worker.has_ended
        run.start_acknowledged_s = time.monotonic()
        if self._worker.has_ended:
            self._worker.leave_unresolved(run)
        elif run.end_evidence not in (None, EndEvidence.LISTED):
            self._count("runs.late_answer")
            self.send_stop(run.task.name, run.number)
        if self._worker.holds(run):
            self._worker.request_poll()

    def _handle_start_refusal(self, run: Run, reason: RefusalReason) -> None:
        """Give a run up that the worker has not started.

        A worker that refuses a run as outdated may have a later run of the task.
        """
        self._count(f"runs.start_refused.{reason.name.lower()}")
        if reason in WRONG_VIEW_REASONS:
            log_decision(
                "runs",
                "start refused",
                task=run.task.name,
                run=run.number,
                worker=run.worker_id,
                reason=reason.name.lower(),
                clock_age_ms=round(self._worker.leases.clock_age_ms()),
            )
            self._worker.correct_view()
        pause_ms = NO_CAPACITY_PAUSE_MS if reason is RefusalReason.NO_ROOM else RETRY_PAUSE_MS
        if reason is RefusalReason.UNHEALTHY:
            pause_ms = UNHEALTHY_PAUSE_MS
        if reason is RefusalReason.OLD_RUN and run.state is RunState.UNKNOWN:
            self._count("runs.start_found_ended")
            self._mark_started(run)
            return
        if reason is RefusalReason.OLD_RUN:
            self._worker.start_bindings.mark_unrepeatable(run.task.name, run.worker_id)
            run.task.next_run = max(run.task.next_run, 2 * run.number)
            self._worker.leave_unresolved(run)
            return
        self._worker.health.pause(pause_ms)
        if reason is RefusalReason.FENCED:
            self._listener.fence_superseded(self._worker)
        self._give_up_run(run, reason.name.lower())

    def _give_up_run(self, run: Run, reason: str) -> None:
        """Take a run that was not started, and report that to the listener.

        If a start command for its task may still arrive, the run is unresolved instead.
        """
        earlier_run = run.task.earlier_run
        if run.state is RunState.ORDERED:
            self._worker.record_end(run)
        if self._worker.is_bound(run):
            self._worker.leave_unresolved(run)
        elif self._worker.take_run(run):
            self._listener.start_refused(self._worker, run, reason)
        elif earlier_run is not None and earlier_run.is_same(run):
            earlier_run.is_ruled_out = True
        elif earlier_run is None and run.task.is_waiting_for(run):
            run.task.earlier_run = EarlierRun(run.task.name, run.number, self._worker)
            run.task.earlier_run.is_ruled_out = True

    def _handle_unanswered_start(
        self, run: Run, unanswered: CommandUnanswered, sent_s: float
    ) -> bool:
        """Record a start command without an answer; return whether it must not be sent again."""
        self._count("runs.start_lost" if unanswered.sent else "runs.start_not_sent")
        if unanswered.sent:
            log_decision(
                "runs",
                "start not answered",
                task=run.task.name,
                run=run.number,
                worker=run.worker_id,
                incarnation=self._worker.entry.incarnation,
                owner=run.task.owner_id,
                witnesses=run.announcement.witness_ids() if run.announcement else [],
            )
        self._worker.health.record_failure(str(unanswered))
        self._worker.request_poll()
        if unanswered.sent:
            self._listener.start_unanswered(self._worker, run)
            self._worker.record_unanswered_lease(sent_s)
            if run.state is RunState.ORDERED:
                run.state = RunState.UNKNOWN
        elif run.state is RunState.ORDERED:
            self._give_up_run(run, "not_sent")
            return True
        if self._worker.has_ended:
            self._worker.leave_unresolved(run)
            return True
        return False

    def _stop(self, name: str, number: int) -> None:
        self._worker.stopped_runs.add(name, number)
        self._client.stop_run(name, number, self._current_fence())

    def send_stop(self, name: str, number: int) -> None:
        """Send a stop command; it also bars a run that has not arrived at the worker yet.

        A run in state ``UNKNOWN`` counts as started after that: the next poll ends it if the worker
        does not list it.
        """
        try:
            self._stop(name, number)
        except CommandRefused as refused:
            self._count(f"runs.stop_refused.{refused.reason.name.lower()}")
        except CommandUnanswered as unanswered:
            self._count("runs.stop_lost")
            worker_id = self._worker.entry.worker_id
            log_decision("runs", "stop not answered", task=name, run=number, worker=worker_id)
            self._worker.health.record_failure(str(unanswered))
        else:
            run = self._worker.runs.get(name)
            if run is not None and run.number == number and run.state is RunState.UNKNOWN:
                run.state = RunState.RUNNING
                run.start_acknowledged_s = time.monotonic()
        self._worker.request_poll()

    def bar_start(self, task: str, binding: StartBinding) -> None:
        """Send a stop command for a task that has ended, so that its late start has no effect.

        A later poll repeats a command without an answer.

        Args:
            task: name of the task.
            binding: what is known of its start commands.
        """
        try:
            self._stop(task, binding.number)
        except (CommandRefused, CommandUnanswered) as error:
            if getattr(error, "reason", None) is RefusalReason.OLD_RUN:
                return
            self._count("runs.retry.bar_start")
            gevent.sleep(RETRY_PAUSE_MS / MS_PER_S)
            if binding.barred_by is self._worker:
                binding.barred_by = None
            self._worker.request_poll()

    def bar_in_background(self, earlier_run: EarlierRun) -> None:
        """Call :meth:`bar_earlier_run` without waiting for it."""
        gevent.spawn(self.bar_earlier_run, earlier_run)

    def bar_earlier_run(self, earlier_run: EarlierRun) -> None:
        """Send a stop command for a run that the worker does not list, so that it cannot start.

        A worker that refuses the command as outdated has ended that run or a later one already.
        """
        if earlier_run.is_forgotten:
            return
        try:
            self._stop(earlier_run.task, earlier_run.number)
        except CommandRefused as refused:
            is_barred = refused.reason is RefusalReason.OLD_RUN
        except CommandUnanswered:
            is_barred = False
        else:
            is_barred = True
        if is_barred:
            earlier_run.barred_s = time.monotonic()
        else:
            self._count("runs.retry.bar_earlier_run")
            gevent.sleep(RETRY_PAUSE_MS / MS_PER_S)
        earlier_run.is_being_barred = False
        self._worker.request_poll()
