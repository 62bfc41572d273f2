"""Model of workers in memory, whose commands and answers a test can hold back or replace."""

import contextlib
import time

import gevent
from gevent.event import Event

from camphorchute.contracts.resources import Resources
from camphorchute.hosting import (
    CommandRefused,
    CommandUnanswered,
    ListedRun,
    RefusalReason,
    RunCompletion,
    RunListing,
    RunOutcome,
    WorkerClient,
    WorkerEntry,
)
from camphorchute.runs import GroupScheduler
from camphorchute.runs.late_commands import LATE_ARRIVAL_MAX_S
from camphorchute.runs.tests.scheduler_site import (
    GROUP,
    OWNER,
    dispatch_lost_tasks,
    start_message,
)

__all__ = ["Held", "Late", "ModelSite", "ModelWorker"]

LEASE_S = 1.0
STOP_S = 0.05
CLOCK_OFFSET_MS = 5000
UNANSWERED_S = 0.02
SLOT_MILLICORES = 14_000
SERVICE = GROUP.split("/")[1]


class Held:
    """A command that a test lets pass in two stages: to the worker, and back as an answer.

    Attributes:
        sent: set when the command has been sent.
        executes: set by the test to let the worker execute it.
        answers: set by the test to let the answer pass.
        error: raised instead of executing the command, None to execute it.
    """

    def __init__(self, error=None):
        self.sent, self.executes, self.answers = Event(), Event(), Event()
        self.error = error

    def release(self):
        """Let the command and its answer pass."""
        self.executes.set()
        self.answers.set()


class Late(Held):
    """A command without an answer that is carried out once the test sets ``executes``.

    The incarnation that has the worker's id then carries it out; its lease counts from its arrival.
    """


class ModelRun:
    """A run with the time at which it ends, which later commands may change."""

    def __init__(self, worker_id, task, number, duration_s, lease_s):
        self.worker_id, self.task, self.number = worker_id, task, number
        self.started_s = time.monotonic()
        self.done_s = self.started_s + duration_s
        self.lease_s = self.started_s + lease_s
        self.stopped_s = self.crashed_s = float("inf")
        self.is_listed_ended = False

    def end_s(self):
        """Return when the run ends, as far as known now."""
        return min(self.done_s, self.lease_s, self.stopped_s, self.crashed_s)

    def is_active(self):
        """Return whether the run is active now."""
        return self.end_s() > time.monotonic()

    def outcome(self):
        """Return how the run ended."""
        if self.end_s() == self.done_s:
            return RunOutcome.DONE
        return RunOutcome.STOPPED if self.end_s() == self.stopped_s else RunOutcome.LEASE_EXPIRED


class ModelWorker:
    """A worker with two slots, unless a test sets another number.

    Attributes:
        incarnation: rises with each restart.
        runs: every run of every incarnation.
        held: commands to hold back, by kind (``start``, ``stop``, ``list``), in order.
        late_s: for the kinds of commands that are all carried out late, without an answer, after
            how many seconds.
        is_silent: whether no command is executed or answered.
        clock_offset_ms: reading of its clock at time 0.
        clock_rate: rate of its clock, below 1.0 if it is slow.
        refuses_late_starts: whether it refuses a start whose lease has expired; otherwise the run
            lapses at once.
        slots: number of runs that its capacity suffices for.
        listed_max: how many completions a list has at most.
        list_step_s: how often it looks for a new completion while a poll waits for one.
    """

    refuses_late_starts = False
    listed_max = 500
    list_step_s = 0.002

    def __init__(self, worker_id, run_s):
        self.worker_id, self.run_s = worker_id, run_s
        self.incarnation, self.is_silent, self.slots = 1, False, 2
        self.runs, self.held = [], {"start": [], "stop": [], "list": []}
        self.late_s = {}
        self.clock_offset_ms, self.clock_rate = CLOCK_OFFSET_MS, 1.0
        self._forget()

    def _forget(self):
        self.fence, self.barred, self.completions = 0, {}, []
        self.present_runs = []

    def entry(self):
        """Return its entry in service discovery."""
        address = f"{self.worker_id}:{self.incarnation}"
        capacity = Resources(self.slots * SLOT_MILLICORES, 65_536)
        return WorkerEntry(
            self.worker_id, self.incarnation, address, SERVICE, "north", capacity, ()
        )

    def restart(self):
        """Crash and start again under the same id."""
        for run in self.active():
            run.crashed_s = time.monotonic()
        self.incarnation += 1
        self._forget()

    def clock_ms(self):
        """Return the reading of its clock."""
        return self.clock_offset_ms + time.monotonic() * 1000 * self.clock_rate

    def active(self):
        """Return the active runs of this incarnation."""
        return [run for run in self.present_runs if run.is_active()]

    def start(self, task, number, lease_s=LEASE_S):
        """Start a run, as on a command of any scheduler."""
        run = ModelRun(self.worker_id, task, number, self.run_s, lease_s)
        self.runs.append(run)
        self.present_runs.append(run)

    def check_fence(self, fence):
        """Refuse a lower fencing token than the highest, which is recorded."""
        if fence < self.fence:
            raise CommandRefused(RefusalReason.FENCED)
        self.fence = fence

    def highest_number(self, task):
        """Return the highest number of a run that ended or was stopped here."""
        ended = [
            run.number for run in self.present_runs if run.task == task and not run.is_active()
        ]
        return max([self.barred.get(task, 0), *ended])


class ModelClient(WorkerClient):
    """Client of one incarnation of a model worker."""

    def __init__(self, worker, entry, is_silent):
        self._worker, self._incarnation = worker, entry.incarnation
        self._is_silent, self._late_by_s = is_silent, 0.0

    def start_run(self, command, fencing_token, lease_until_ms):
        """Start a run under a new lease."""
        return self._pass("start", lambda: self._start(command, fencing_token, lease_until_ms))

    def stop_run(self, task, run, fencing_token):
        """Stop a run and bar its number."""
        return self._pass("stop", lambda: self._stop(task, run, fencing_token))

    def renew_and_list(self, fencing_token, acknowledged, lease_until_ms, wait_ms):
        """List the runs after a wait for a completion."""
        worker = self._worker
        listing = self._pass("list", lambda: self._renew(fencing_token, lease_until_ms))
        until_s = time.monotonic() + wait_ms / 1000
        while time.monotonic() < until_s and not self._new_completions(acknowledged):
            gevent.sleep(worker.list_step_s)
        if worker.incarnation != self._incarnation:
            raise CommandRefused(RefusalReason.OTHER_INCARNATION)
        if self._is_silent():
            raise CommandUnanswered("silent")
        listing.clock_ms = worker.clock_ms()
        listing.running = [ListedRun(run.task, run.number) for run in worker.active()]
        listing.completions = self._new_completions(acknowledged)[: worker.listed_max]
        listing.is_complete = len(listing.completions) < worker.listed_max
        return listing

    def close(self):
        """Do nothing, as there are no connections."""

    def _pass(self, kind, execute):
        held = self._worker.held[kind].pop(0) if self._worker.held[kind] else None
        if held is None and kind in self._worker.late_s:
            held = Late()
            gevent.spawn_later(self._worker.late_s[kind], held.executes.set)
        if isinstance(held, Late) and not self._is_silent():
            held.sent.set()
            gevent.spawn(self._execute_late, held, execute)
            gevent.sleep(UNANSWERED_S)
            raise CommandUnanswered("late")
        if held is not None:
            held.sent.set()
            held.executes.wait()
            if held.error is not None:
                raise held.error
        if self._is_silent():
            gevent.sleep(UNANSWERED_S)
            raise CommandUnanswered("silent")
        try:
            return execute()
        finally:
            if held is not None:
                held.answers.wait()

    def _execute_late(self, late, execute):
        sent_s = time.monotonic()
        late.executes.wait()
        self._late_by_s = time.monotonic() - sent_s
        with contextlib.suppress(CommandRefused):
            execute()
        self._late_by_s = 0.0

    def _start(self, command, fencing_token, lease_until_ms):
        worker = self._worker
        worker.check_fence(fencing_token)
        lease_end_s = self._extend_leases(lease_until_ms)
        active = [run.number for run in worker.active() if run.task == command.task]
        if command.run in active:
            return worker.clock_ms()
        if active:
            raise CommandRefused(RefusalReason.OLD_RUN)
        if command.run <= worker.highest_number(command.task):
            raise CommandRefused(RefusalReason.OLD_RUN)
        if worker.refuses_late_starts and lease_end_s <= time.monotonic():
            raise CommandRefused(RefusalReason.TOO_LATE)
        worker.start(command.task, command.run, lease_end_s - time.monotonic())
        return worker.clock_ms()

    def _stop(self, task, number, fencing_token):
        worker = self._worker
        worker.check_fence(fencing_token)
        worker.barred[task] = max(number, worker.barred.get(task, 0))
        for run in worker.active():
            if run.task == task and run.number <= number:
                run.stopped_s = min(run.stopped_s, time.monotonic() + STOP_S)
        return worker.clock_ms()

    def _renew(self, fencing_token, lease_until_ms):
        self._worker.check_fence(fencing_token)
        if lease_until_ms is not None:
            self._extend_leases(lease_until_ms)
        if self._worker.incarnation != self._incarnation:
            raise CommandRefused(RefusalReason.OTHER_INCARNATION)
        return RunListing(self._worker.clock_ms(), [], [])

    def _extend_leases(self, lease_until_ms):
        """Extend the leases of all active runs, and shorten none; return the end of a new lease."""
        lease_ms = lease_until_ms - self._worker.clock_ms()
        end_s = time.monotonic() + lease_ms / 1000 / self._worker.clock_rate + self._late_by_s
        end_s = min(time.monotonic() + LEASE_S, end_s)
        for run in self._worker.active():
            run.lease_s = max(run.lease_s, end_s)
        return end_s

    def _new_completions(self, acknowledged):
        worker = self._worker
        for run in worker.present_runs:
            if not run.is_active() and not run.is_listed_ended:
                run.is_listed_ended = True
                number = len(worker.completions) + 1
                worker.completions.append(
                    RunCompletion(number, run.task, run.number, run.outcome())
                )
        return [row for row in worker.completions if row.sequence_number > acknowledged]


class ModelSite:
    """Schedulers that share model workers, and an owner that records the results.

    Args:
        workers: number of workers.
        run_s: duration of each run, in seconds.

    Attributes:
        results: the results that the owner has received.
        notices: the places that it was told of before the starts.
    """

    def __init__(self, workers=3, run_s=0.6):
        self.workers = {f"w{n}": ModelWorker(f"w{n}", run_s) for n in range(workers)}
        self.results, self.counts, self.schedulers = [], {}, []
        self.notices = []
        self._silenced, self._killed = set(), []

    def add_scheduler(self, fence, group=GROUP, worker_ids=None):
        """Start a scheduler that holds one group."""
        number = len(self.schedulers)
        scheduler = GroupScheduler(
            lambda entry: self._open_client(entry, number),
            lambda owner_id, message: self._notify(scheduler, group, message),
            self._count,
        )
        scheduler.placement_notices.notify = self._record_placement
        scheduler.binding_exchange.send_to_all = lambda message: self._send_to_others(
            scheduler, message
        )
        scheduler.start()
        self.schedulers.append(scheduler)
        self.hold_group(scheduler, fence, group, worker_ids)
        return scheduler

    def hold_group(self, scheduler, fence, group=GROUP, worker_ids=None):
        """Let a scheduler hold a group with some of the workers, all by default."""
        scheduler.acquire_group(group, SERVICE, fence)
        scheduler.set_workers(group, self.entries(worker_ids), self.groups(group, worker_ids))
        gevent.sleep(0.02)

    def entries(self, worker_ids=None):
        """Return the entries of some workers by id."""
        ids = self.workers if worker_ids is None else worker_ids
        return {worker_id: self.workers[worker_id].entry() for worker_id in ids}

    def groups(self, group=GROUP, worker_ids=None):
        """Return the group of some workers by id."""
        return dict.fromkeys(self.entries(worker_ids), group)

    def dispatch(self, scheduler, group=GROUP, owner=OWNER, **fields):
        """Dispatch tasks of one job to a scheduler."""
        message = start_message(**fields)
        message.group = group
        scheduler.start_tasks(owner, message)

    def dispatch_again(self, scheduler, place, group=GROUP, bound_ms=LATE_ARRIVAL_MAX_S * 1000):
        """Dispatch the task whose scheduler was lost after it had told where it starts."""
        message = start_message(run=place.run + 1, may_run=True, worker_id=place.worker_id)
        message.group = group
        message.tasks[0].last_place, message.tasks[0].bound_ms = place, bound_ms
        scheduler.start_tasks(OWNER, message)

    def busy(self):
        """Return the worker with the first active run."""
        return next(worker for worker in self.workers.values() if worker.active())

    def all_runs(self):
        """Return every run that was started on any worker."""
        return [run for worker in self.workers.values() for run in worker.runs]

    def overlaps(self):
        """Return the tasks of which two runs were active at the same time."""
        runs = self.all_runs()
        return [
            (first.task, first.number, second.number)
            for first in runs
            for second in runs
            if first is not second
            and first.task == second.task
            and first.started_s <= second.started_s < first.end_s()
        ]

    def close(self):
        """Stop the schedulers."""
        for scheduler in self.schedulers:
            scheduler.close()

    def silence(self, worker_id, scheduler_number):
        """Let the commands of one scheduler to a worker be lost."""
        self._silenced.add((worker_id, scheduler_number))

    def unsilence(self, worker_id, scheduler_number):
        """Let the commands of one scheduler reach a worker again."""
        self._silenced.discard((worker_id, scheduler_number))

    def kill(self, scheduler):
        """Let a scheduler send and report nothing more, as if its process was killed."""
        number = self.schedulers.index(scheduler)
        self._silenced |= {(worker_id, number) for worker_id in self.workers}
        self._killed.append(scheduler)

    def _open_client(self, entry, scheduler_number):
        pair = (entry.worker_id, scheduler_number)
        worker = self.workers[entry.worker_id]
        return ModelClient(worker, entry, lambda: worker.is_silent or pair in self._silenced)

    def _notify(self, scheduler, group, message):
        if scheduler not in self._killed:
            self.results.extend(dispatch_lost_tasks(scheduler, message, group))
        return True

    def _send_to_others(self, scheduler, message):
        for other in self.schedulers:
            if scheduler not in self._killed and other is not scheduler:
                other.binding_exchange.bind_tasks(None, message)

    def _record_placement(self, owner_id, message):
        self.notices += [row.place for row in message.tasks]
        return True

    def _count(self, name, n=1):
        self.counts[name] = self.counts.get(name, 0) + n
