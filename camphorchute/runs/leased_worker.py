"""Scheduling on one worker: its leases, runs, acknowledgements and free capacity."""

import random
import time
from collections.abc import Callable

import gevent
from gevent.event import Event

from camphorchute.contracts.resources import Resources
from camphorchute.contracts.run_messages import RunPlace
from camphorchute.decision_log import log_decision
from camphorchute.hosting import (
    CommandRefused,
    CommandUnanswered,
    RefusalReason,
    RunOutcome,
    WorkerClient,
    WorkerEntry,
)
from camphorchute.loops import spawn_loop, wait_for_event
from camphorchute.observation_clock import observation_clock
from camphorchute.policies import FailureTracker, WorkerSpeed
from camphorchute.runs.earlier_run import EarlierRun, EarlierRuns
from camphorchute.runs.listing_reader import ListingReader
from camphorchute.runs.owner_contacts import OwnerContacts
from camphorchute.runs.poll_wait import poll_wait_ms
from camphorchute.runs.run import EndEvidence, PendingTask, Run, RunState
from camphorchute.runs.run_commands import RunCommands
from camphorchute.runs.run_listener import RunListener
from camphorchute.runs.sent_renewals import SentRenewals
from camphorchute.runs.start_bindings import StartBindings
from camphorchute.runs.stopped_runs import StoppedRuns
from camphorchute.runs.unacknowledged_completions import UnacknowledgedCompletions
from camphorchute.runs.worker_health import RETRY_PAUSE_MS, WorkerHealth
from camphorchute.runs.worker_leases import (
    ORPHAN_GRACE_MS,
    SILENT_BEYOND_LEASES_MS,
    WorkerLeases,
)

__all__ = ["LeasedWorker"]

IDLE_POLL_INTERVAL_S = 1.0
BOUND_TASK_POLL_INTERVAL_S = 0.1
UNACKNOWLEDGED_POLL_INTERVAL_MS = 15.0
CLOCK_WAIT_MS = 150.0
START_LEASE_MIN_MS = 400.0
SILENT_OWNER_STOP_MS = 250.0  # before the lease ends: for the stop, its end and a renewal
LISTED_COMPLETIONS_MAX = 350  # a worker lists 500 at a time, and others end while runs start
MS_PER_S = 1000.0


class LeasedWorker:
    """Polls one incarnation of a worker and sends it commands.

    One greenlet polls the worker, which renews the leases and lists active runs and completions;
    each command is sent by a greenlet of its own. Leases are renewed only while the worker is
    responsive, so that :attr:`leases` bounds how long a run can continue after the last answer.

    Args:
        entry: the worker's entry in service discovery.
        client: sends commands to the worker.
        current_fence: returns the fencing token in force.
        listener: receives the events on the worker's runs.
        count: adds to a named counter.

    Attributes:
        entry: the latest entry of the worker in service discovery.
        runs: runs started or adopted here that have not ended, by task name.
        orphans: active runs of an earlier scheduler, by task name: the run number and the time of
            discovery in seconds of the monotonic clock.
        completions: completions that must not be acknowledged to the worker yet.
        is_durable_job: returns whether the job with an id may be durable; completions of other
            jobs without a task here are acknowledged immediately.
        start_bindings: the workers that the tasks of the scheduler are bound to.
        owner_contacts: bounds the leases by the last news of the owners of the jobs.
        sent_renewals: keeps the leases when the worker is closed.
        stopped_runs: the runs that the scheduler has sent stop commands for.
        speed: speed of the worker, learned from its runs.
        failures: recent outcomes of its runs, and whether it is ejected.
        synced: whether the worker has listed its runs under the fencing token in force.
        lists_all_completions: whether its last list had all completions that it has to list.
        free_capacity: present capacity of the worker that no run in :attr:`runs` uses.
        isolated_run: run of a task that lost its worker before, beside which no other is started;
            None if there is none.
        leases: the leases granted to its runs.
        health: whether the worker answers.
        is_closed: whether it is polled no more, since it was removed or has ended.
        has_ended: whether another incarnation has answered instead of this one.
    """

    __slots__ = (
        "entry",
        "runs",
        "orphans",
        "completions",
        "is_durable_job",
        "start_bindings",
        "owner_contacts",
        "sent_renewals",
        "stopped_runs",
        "speed",
        "failures",
        "synced",
        "lists_all_completions",
        "free_capacity",
        "isolated_run",
        "leases",
        "health",
        "has_ended",
        "_client",
        "_current_fence",
        "_listener",
        "_count",
        "_commands",
        "_unlisted_since_s",
        "_used_capacity",
        "_listing_reader",
        "_earlier_runs",
        "_poll_requested",
        "_poll_ended",
        "_is_poll_repeated",
        "_greenlet",
        "is_closed",
    )

    def __init__(
        self,
        entry: WorkerEntry,
        client: WorkerClient,
        current_fence: Callable[[], int],
        listener: RunListener,
        count: Callable[..., None],
    ) -> None:
        self.entry = entry
        self.runs: dict[str, Run] = {}
        self.orphans: dict[str, tuple[int, float]] = {}
        self.completions = UnacknowledgedCompletions()
        self.speed = WorkerSpeed()
        self.failures = FailureTracker(random.Random())
        self.synced = False
        self.lists_all_completions = True
        self.free_capacity = entry.capacity
        self.isolated_run: Run | None = None
        self.leases = WorkerLeases()
        self.health = WorkerHealth(entry.worker_id, count)
        self.has_ended = False
        self._client = client
        self._current_fence = current_fence
        self._listener = listener
        self._count = count
        self.is_durable_job: Callable[[str], bool] = lambda job_id: True
        self.start_bindings = StartBindings()
        self.owner_contacts = OwnerContacts()
        self.sent_renewals = SentRenewals()
        self.stopped_runs = StoppedRuns()
        self._commands = RunCommands(self, client, current_fence, listener, count)
        self._unlisted_since_s = 0.0
        self._used_capacity = Resources(0)
        self._listing_reader = ListingReader(self, count)
        self._earlier_runs = EarlierRuns(self._commands.bar_in_background)
        self._poll_requested = Event()
        self._poll_ended = Event()
        self._is_poll_repeated = False
        self._greenlet: gevent.Greenlet | None = None
        self.is_closed = False

    def start(self) -> None:
        """Start to poll the worker."""
        self._greenlet = spawn_loop("runs", self._poll_loop, self._count)

    def close(self) -> None:
        """Stop polling and close the connections; active runs end when their leases expire."""
        self.is_closed = True
        self.sent_renewals.keep(self.entry.worker_id, self.leases)
        self._poll_requested.set()
        self._client.close()

    def update_entry(self, entry: WorkerEntry) -> None:
        """Replace the entry by a newer one of the same incarnation, whose capacity may differ."""
        self.entry = entry
        self._unlisted_since_s = 0.0
        self._set_used_capacity(self._used_capacity)

    def unlisted_ms(self) -> float:
        """Return for how long service discovery has not listed the worker, 0 if it lists it."""
        since_s = self._unlisted_since_s
        return (time.monotonic() - since_s) * MS_PER_S if since_s else 0.0

    def is_silent_beyond_leases(self) -> bool:
        """Whether it has answered nothing for so long that every run that it had has ended.

        Only a scheduler that the worker answers renews leases.
        """
        silent_ms = (observation_clock.now_s() - self.health.heard_s) * MS_PER_S
        return not self.health.is_responsive and silent_ms > SILENT_BEYOND_LEASES_MS

    def request_poll(self) -> None:
        """Poll the worker even if it is idle, to send the latest acknowledgement."""
        self._poll_requested.set()

    def refresh_clock(self) -> bool:
        """Poll the worker to read its clock; return whether the last reading is recent now.

        An idle worker is not polled, so its clock may have drifted by more than a lease lasts.
        """
        if self.health.is_responsive:
            self._count("runs.clock_refreshed")
            self._poll_ended.clear()
            self._poll_requested.set()
            wait_for_event(self._poll_ended, CLOCK_WAIT_MS / MS_PER_S)
        return self.leases.is_clock_recent()

    def correct_view(self) -> None:
        """Poll the worker before anything is started on it, as it has refused a known command."""
        self.leases.discard_clock()
        self._poll_requested.set()

    def rule_out(self, earlier_run: EarlierRun) -> None:
        """Find out whether an earlier run is active here; bar its start if not."""
        self._earlier_runs.add(earlier_run)
        self._poll_requested.set()

    def forget_earlier_runs(self, task: str) -> None:
        """Ask no more about the earlier runs of a task."""
        self._earlier_runs.forget(task)

    def mark_unlisted(self) -> None:
        """Record that service discovery no longer lists the worker."""
        if not self._unlisted_since_s:
            self._unlisted_since_s = time.monotonic()

    def refresh_fence(self) -> None:
        """Request the list of runs again, under the fencing token in force now."""
        self.synced = False
        self._poll_requested.set()

    def can_start(self, task: PendingTask, now_s: float) -> bool:
        """Whether a task can be started on the worker at a time of the monotonic clock.

        No durable task is started while the worker has so many completions to list that a further
        one might be hidden.
        """
        if task.is_durable and self.completions.listed_count() >= LISTED_COMPLETIONS_MAX:
            return False
        if not self.has_lease_for(task, now_s):
            return False
        return self.usable_capacity(now_s).can_hold(task.message.demand)

    def has_lease_for(self, task: PendingTask, now_s: float) -> bool:
        """Whether a run can have a lease, and none in force outlasts what its owner allows for.

        Args:
            task: the task.
            now_s: time of the monotonic clock in seconds.
        """
        end_s = self.owner_contacts.lease_end_s(task)
        is_long_enough = (end_s - now_s) * MS_PER_S >= START_LEASE_MIN_MS
        return is_long_enough and self.leases.in_force_until_s <= end_s

    def usable_capacity(self, now_s: float) -> Resources:
        """Return the free capacity that tasks may be placed on, empty if none may."""
        is_usable = (
            self.synced
            and not self.is_closed
            and self.health.is_responsive
            and not self.orphans
            and self.isolated_run is None
            and not self.entry.is_draining
            and not self.health.is_paused(now_s)
            and (self.leases.granted_ms() > START_LEASE_MIN_MS or not self._unwanted_runs())
            and (not self.failures.ejected or self._may_be_probed(now_s))
        )
        return self.free_capacity if is_usable else Resources(0)

    def _may_be_probed(self, now_s: float) -> bool:
        """Whether one task may show if the worker, which is ejected, completes tasks again."""
        return not self.runs and now_s * MS_PER_S >= self.failures.probe_at_ms

    def start_task(
        self, task: PendingTask, is_isolated: bool = False, number: int | None = None
    ) -> None:
        """Reserve capacity for a run of a task and send its start command.

        Args:
            task: the task.
            is_isolated: whether nothing is started beside the run if it is alone now.
            number: number of the run if it was sent to this worker before, None for a new run.
        """
        lowest_number = task.next_run if number is None else number
        run = self._add_run(task, self.stopped_runs.next_number(task.name, lowest_number))
        if is_isolated and run.was_alone:
            self.isolated_run = run
        gevent.spawn(self._commands.send_start, run)

    def adopt_run(self, task: PendingTask, number: int, outcome: RunOutcome | None = None) -> None:
        """Continue a run that an earlier scheduler started.

        Args:
            task: the task.
            number: number of the run.
            outcome: how the run ended, None while it is active.
        """
        run = self._add_run(task, number)
        run.state = RunState.RUNNING
        run.start_acknowledged_s = run.start_sent_s
        run.was_listed = run.was_adopted = True
        self._count("runs.adopted")
        self.orphans.pop(task.name, None)
        if not task.is_durable:
            self.completions.acknowledge_task(task.name)
        if outcome is None:
            self._listener.run_adopted(self, run)
        else:
            self.end_run(run, outcome, EndEvidence.LISTED)

    def _add_run(self, task: PendingTask, number: int) -> Run:
        """Enter a run of a task and reserve its capacity."""
        run = Run(task, self, number, time.monotonic())
        task.run = run
        task.last_place = None
        run.was_alone = not (self.runs or self.orphans)
        for other in self.runs.values():
            other.was_alone = False
        self._earlier_runs.forget(task.name)
        self.leases.record_active()
        task.started = True
        task.next_run = max(task.next_run, number + 1)
        self.runs[task.name] = run
        self._set_used_capacity(self._used_capacity.plus(task.message.demand))
        return run

    def _set_used_capacity(self, used: Resources) -> None:
        self._used_capacity = used
        self.free_capacity = self.entry.capacity.remaining_after(used)

    def place_of(self, number: int, was_alone: bool, was_acknowledged: bool) -> RunPlace:
        """Return the place of a run on the worker; the arguments are fields of the place."""
        entry = self.entry
        return RunPlace(
            entry.worker_id,
            entry.incarnation,
            entry.address,
            number,
            was_alone,
            was_acknowledged,
        )

    def holds(self, run: Run) -> bool:
        """Whether a run is the present one of its task here; answers about any other are late."""
        return self.runs.get(run.task.name) is run

    def take_run(self, run: Run) -> bool:
        """Remove a run, so that the caller decides about its task; return False if it was taken."""
        if not self.holds(run):
            self._count("runs.late_answer")
            return False
        del self.runs[run.task.name]
        run.task.run = None
        if self.isolated_run is run:
            self.isolated_run = None
        self._set_used_capacity(self._used_capacity.minus(run.task.message.demand))
        return True

    def take_all_runs(self) -> list[Run]:
        """Remove every run as :meth:`take_run` does, and return them; their ends are not known."""
        for run in self.runs.values():
            self._bind_unended_run(run)
        return [run for run in list(self.runs.values()) if self.take_run(run)]

    def stop_run(self, run: Run) -> None:
        """Send a stop command for a run, unless one was requested before."""
        if not run.stop_requested:
            run.stop_requested = True
            self._bind_unended_run(run)
            gevent.spawn(self._commands.send_stop, run.task.name, run.number)

    def stop_runs_of_silent_owners(self, now_s: float) -> None:
        """Stop the runs whose owners are silent, before they end the lease of runs beside them.

        Args:
            now_s: time of the monotonic clock in seconds.
        """
        if len(self.runs) < 2:
            return
        earliest_s = now_s + SILENT_OWNER_STOP_MS / MS_PER_S
        ends_s = [(self.owner_contacts.lease_end_s(run.task), run) for run in self.runs.values()]
        ending = [run for end_s, run in ends_s if end_s < earliest_s and not run.stop_requested]
        if ending and max(end_s for end_s, _ in ends_s) >= earliest_s:
            self._count("runs.stopped_for_silent_owner", len(ending))
            for run in ending:
                self.stop_run(run)

    def record_unanswered_lease(self, sent_s: float) -> None:
        """Record that a command that grants leases has no answer.

        Args:
            sent_s: monotonic time at which it was sent, in seconds.
        """
        self.leases.record_unanswered(sent_s)
        for run in self.runs.values():
            if run.stop_requested:
                self._bind_unended_run(run)

    def _bind_unended_run(self, run: Run) -> None:
        """Bind the task of a run that is to end or is left, if its lease may be extended late."""
        until_s = self.leases.latest_expiry_s()
        if until_s > self.leases.expiry_s:
            self._count("runs.unended_run_bound")
            worker_id = self.entry.worker_id
            self.start_bindings.record_unended(run.task.name, worker_id, run.number, until_s)
            self._listener.end_unproved(self, run)

    def _poll_loop(self) -> None:
        while not self.is_closed:
            if self.synced and self.health.is_responsive:
                self._wait_for_poll()
            self._poll_requested.clear()
            if not self.is_closed:
                self._bar_starts_of_ended_tasks()
                self._poll()
                self._poll_ended.set()
                self._expire_unresponsive()
                self._expire_orphans()
                self._repeat_stops()

    def _wait_for_poll(self) -> None:
        """Wait until the next poll is due.

        A worker that lists unacknowledged completions answers a poll immediately instead of
        waiting for the next completion, so polls need a pause here.
        """
        if not (self.runs or self.orphans):
            interval_s = IDLE_POLL_INTERVAL_S if self.completions else None
            if self.start_bindings.of_worker(self.entry.worker_id):
                interval_s = BOUND_TASK_POLL_INTERVAL_S
            wait_for_event(self._poll_requested, interval_s)
        elif self.completions:
            wait_for_event(self._poll_requested, UNACKNOWLEDGED_POLL_INTERVAL_MS / MS_PER_S)

    def _poll(self) -> None:
        """Renew the leases and apply the runs and completions that the worker lists."""
        fence = self._current_fence()
        sent_s = time.monotonic()
        lease_until_ms = self._renew_leases()
        try:
            listing = self._client.renew_and_list(
                fence, self.completions.acknowledged_number(), lease_until_ms, self._poll_wait_ms()
            )
        except CommandRefused as refused:
            self._handle_poll_refusal(refused.reason)
        except CommandUnanswered as unanswered:
            if unanswered.sent and lease_until_ms is not None:
                self.record_unanswered_lease(sent_s)
            self._handle_unanswered_poll(unanswered)
        else:
            self._is_poll_repeated = False
            self.health.record_poll_answer()
            self.leases.read_clock(listing.clock_ms)
            self._listing_reader.apply(listing, sent_s)
            is_fence_in_force = fence == self._current_fence()
            if is_fence_in_force:
                self._earlier_runs.apply_list({run.task for run in listing.running}, sent_s)
            was_synced, self.synced = self.synced, self.synced or is_fence_in_force
            if self.synced and not was_synced:
                self.leases.record_other_scheduler()
            self._listener.worker_changed(self, is_usable_now=self.synced and not was_synced)

    def _handle_unanswered_poll(self, unanswered: CommandUnanswered) -> None:
        """Repeat a poll at once; a worker that answers neither is unresponsive."""
        self._count("runs.look_lost")
        self._poll_requested.set()
        self._is_poll_repeated = self.health.is_responsive and not self._is_poll_repeated
        if not self._is_poll_repeated:
            self.health.mark_unresponsive(str(unanswered))
            gevent.sleep(self.health.retry_pause_ms() / MS_PER_S)

    def _renew_leases(self) -> float | None:
        """Grant a lease to the runs if owners want one of them and none may have to end.

        A lease applies to every run of the worker, so the owner of which there was no news for the
        longest time decides how long it lasts. An orphan ends with the lease that the earlier
        scheduler has granted unless its owner asks for it; that scheduler counts on it. The stop
        command of a run that must end may be lost, and its task started elsewhere. The answer to a
        poll without a lease has the reading of the clock that the next lease needs.

        Returns:
            The time on the worker's clock until which the lease lasts, None if none is granted.
        """
        is_any_wanted = any(not run.stop_requested for run in self.runs.values())
        if not (is_any_wanted and self.synced and self.health.is_responsive):
            return None
        if self.orphans or self._unwanted_runs():
            self._count("runs.lease_withheld")
            return None
        if not self.leases.is_clock_recent():
            return None
        return self.leases.grant(self._lease_end_s())

    def _lease_end_s(self) -> float:
        """Return the monotonic time until which the lease of all runs may last, in seconds."""
        tasks = [run.task for run in self.runs.values()]
        return min(map(self.owner_contacts.lease_end_s, tasks), default=float("inf"))

    def lease_of_new_run(self) -> float:
        """Return until when the lease of a new run lasts, on the worker's clock.

        It extends the lease of the other runs only if none of them may have to end.
        """
        if self.orphans or self._unwanted_runs():
            return self.leases.granted_until_ms()
        return self.leases.grant(self._lease_end_s())

    def _unwanted_runs(self) -> list[str]:
        """Return the tasks of runs that must end and may be active."""
        stopped = [run.task.name for run in self.runs.values() if run.must_end()]
        return stopped + [name for name, _ in self._unwanted_orphans()]

    def _unwanted_orphans(self) -> list[tuple[str, int]]:
        """Return task and number of the orphaned runs that must end.

        No owner has asked for them in time, or they were started late and their task has ended.
        """
        now_s = time.monotonic()
        return [
            (name, number)
            for name, (number, since_s) in self.orphans.items()
            if (now_s - since_s) * MS_PER_S > ORPHAN_GRACE_MS or self.start_bindings.is_over(name)
        ]

    def _poll_wait_ms(self) -> float:
        """Return for how long the worker may wait for a completion before it answers a poll."""
        is_unreachable = not (self.synced and self.health.is_responsive)
        if is_unreachable or self.completions or self._is_poll_repeated:
            return 0.0
        if not self.leases.is_clock_recent():
            return 0.0
        is_any_unwanted = bool(self.orphans or self._unwanted_runs())
        return poll_wait_ms(
            self.runs.values(), self.speed.value, is_any_unwanted, bool(self._earlier_runs)
        )

    def _handle_poll_refusal(self, reason: RefusalReason) -> None:
        self._count(f"runs.look_refused.{reason.name.lower()}")
        if reason is RefusalReason.OTHER_INCARNATION:
            self.has_ended = self.is_closed = True
            self.orphans = {}
            self._end_runs_of_ended_worker()
            return
        if reason is RefusalReason.FENCED:
            self._listener.fence_superseded(self)
        else:
            self.health.mark_unresponsive(reason.value)
            self._poll_requested.set()
        gevent.sleep(RETRY_PAUSE_MS / MS_PER_S)

    def end_run(self, run: Run, outcome: RunOutcome, evidence: EndEvidence) -> None:
        """Take a run that has ended, and report it to the listener."""
        self.record_end(run)
        if self.take_run(run):
            run.end_evidence = evidence
            self._listener.run_ended(self, run, outcome)

    def end_lost_run(self, run: Run, evidence: EndEvidence) -> None:
        """End a run that was lost with the worker, unless its task is bound to the worker.

        A bound task starts nowhere else, and its run is unresolved.
        """
        self.record_end(run)
        if self.is_bound(run):
            self.leave_unresolved(run)
        else:
            self.end_run(run, RunOutcome.LEASE_EXPIRED, evidence)

    def record_end(self, run: Run) -> None:
        """Record that a run has ended, so that no renewal keeps it alive."""
        self.start_bindings.record_end(run.task.name, self.entry.worker_id, run.number)

    def is_bound(self, run: Run) -> bool:
        """Whether the task of a run may start on this worker only."""
        return self.start_bindings.of_task(run.task.name) is not None

    def leave_unresolved(self, run: Run) -> None:
        """Take a run that may be active on the worker or start there, and report that."""
        if self.take_run(run):
            self._listener.run_unresolved(self, run)

    def _end_runs_of_ended_worker(self) -> None:
        """End the runs that this incarnation, which is gone, has listed.

        The next one may have started any other run; a start command under way has its answer yet.
        """
        for run in list(self.runs.values()):
            if run.was_listed:
                self.end_lost_run(run, EndEvidence.OTHER_INCARNATION)
            elif run.state is not RunState.ORDERED:
                self.leave_unresolved(run)

    def _expire_unresponsive(self) -> None:
        """End the runs of a worker that stayed unresponsive until every lease expired.

        A start command without an answer may still be carried out, with a lease of its own.
        """
        if self.health.is_responsive or self.leases.remaining_ms() > 0:
            return
        if self.runs:
            self._count("runs.lease_over_unheard", len(self.runs))
            fields = {"worker": self.entry.worker_id, "runs": len(self.runs)}
            log_decision("runs", "worker was unresponsive until its leases expired", **fields)
        for run in list(self.runs.values()):
            if run.state is RunState.RUNNING:
                self.end_lost_run(run, EndEvidence.WORKER_SILENT)
            else:
                self.leave_unresolved(run)

    def _bar_starts_of_ended_tasks(self) -> None:
        """Bar late start commands of tasks that have ended, once at each incarnation."""
        for task, binding in self.start_bindings.of_worker(self.entry.worker_id):
            if binding.is_over and binding.barred_by is not self:
                binding.barred_by = self
                self._count("runs.late_start_barred")
                gevent.spawn(self._commands.bar_start, task, binding)

    def _expire_orphans(self) -> None:
        """Stop the orphaned runs that must end."""
        for name, number in self._unwanted_orphans():
            self._count("runs.orphan_stopped")
            gevent.spawn(self._commands.send_stop, name, number)

    def _repeat_stops(self) -> None:
        """Repeat the stop commands of active runs, since an earlier one may have been lost."""
        for run in self.runs.values():
            if run.stop_requested and run.state is not RunState.ORDERED:
                gevent.spawn(self._commands.send_stop, run.task.name, run.number)
