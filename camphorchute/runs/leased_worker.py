"""One worker under the home of its group: its leases, runs and free room."""

import time
from collections.abc import Callable
from typing import Protocol

import gevent
from eliot import log_message
from gevent.event import Event

from camphorchute.contracts.resources import Resources
from camphorchute.hosting import (
    EndKind,
    OrderLost,
    OrderRefused,
    RefusedReason,
    RunEnd,
    RunListing,
    RunOrder,
    RunPort,
    WorkerEntry,
)
from camphorchute.loops import spawn_loop
from camphorchute.runs.run import Run, RunState, WaitingTask, job_of
from camphorchute.runs.unsettled_ends import UnsettledEnds
from camphorchute.runs.worker_speed import WorkerSpeed

__all__ = ["LeasedWorker", "RunListener"]

LEASE_MS = 1000.0
LOOK_WAIT_MS = 200.0
RETRY_FIRST_MS = 5.0
RETRY_PAUSE_MS = 60.0
SUSPECT_FAILURES = 3
NO_ROOM_PAUSE_MS = 40.0
UNHEALTHY_PAUSE_MS = 500.0
CLOCK_DRIFT = 0.02
LEASE_MARGIN_MS = 80.0
ORPHAN_GRACE_MS = 600.0
ORPHAN_END_MS = 10_000.0
IDLE_LOOK_S = 1.0
UNSETTLED_LOOK_MS = 15.0
MS_PER_S = 1000.0


class RunListener(Protocol):
    """Hears what becomes of the runs of a worker."""

    def run_ended(self, worker: "LeasedWorker", run: Run, kind: EndKind) -> None:
        """Take note that a run has ended."""

    def start_refused(self, worker: "LeasedWorker", run: Run, reason: str) -> None:
        """Take note that a run was not started."""

    def worker_changed(self, worker: "LeasedWorker") -> None:
        """Take note that a worker may have room or is known now."""

    def fenced(self, worker: "LeasedWorker") -> None:
        """Take note that the worker obeys a newer home."""


class LeasedWorker:
    """Follows one incarnation of a worker and gives it orders.

    One greenlet renews the leases and takes in the ends; each order has a greenlet of its own.
    A renewal is sent only while the worker answers, so that :attr:`quiet_at_s` bounds how long
    anything can go on running after the last answer.

    Args:
        entry: the worker's entry in service discovery.
        port: takes its orders.
        fence: returns the fencing token in force.
        listener: hears of the ends.
        count: adds to a named counter.

    Attributes:
        runs: the runs ordered here that have not ended, by task.
        orphans: number and time of discovery of runs of an earlier home, by task.
        ends: ends that the worker may not forget yet.
        may_forget: whether ends that nobody has asked for may be acknowledged after a while.
        is_kept: whether a job may be one that is kept, by its id; its ends are acknowledged at once
            where it is not.
        speed: how fast the worker is.
        synced: whether it has been asked for its runs under the fence in force.
    """

    __slots__ = (
        "entry",
        "runs",
        "orphans",
        "ends",
        "may_forget",
        "is_kept",
        "speed",
        "synced",
        "free",
        "_port",
        "_fence",
        "_listener",
        "_count",
        "_clock_ms",
        "_clock_read_s",
        "_answers",
        "_paused_until_s",
        "quiet_at_s",
        "_failures",
        "_unlisted_since_s",
        "_wanted",
        "_greenlet",
        "_closed",
    )

    def __init__(
        self,
        entry: WorkerEntry,
        port: RunPort,
        fence: Callable[[], int],
        listener: RunListener,
        count: Callable[..., None],
    ) -> None:
        self.entry = entry
        self.runs: dict[str, Run] = {}
        self.orphans: dict[str, tuple[int, float]] = {}
        self.ends = UnsettledEnds()
        self.speed = WorkerSpeed()
        self.synced = False
        self.free = entry.capacity
        self.quiet_at_s = 0.0
        self._port = port
        self._fence = fence
        self._listener = listener
        self._count = count
        self.may_forget: Callable[[], bool] = lambda: True
        self.is_kept: Callable[[str], bool] = lambda job_id: True
        self._clock_ms = 0.0
        self._clock_read_s = 0.0
        self._answers = False
        self._paused_until_s = 0.0
        self._failures = 0
        self._unlisted_since_s = 0.0
        self._wanted = Event()
        self._greenlet: gevent.Greenlet | None = None
        self._closed = False

    def start(self) -> None:
        """Follow the worker."""
        self._greenlet = spawn_loop("runs", self._follow, self._count)

    def close(self) -> None:
        """Give no more orders; what runs ends with its lease."""
        self._closed = True
        self._wanted.set()
        self._port.close()

    def see_entry(self, entry: WorkerEntry) -> None:
        """Take in a newer entry of the same incarnation."""
        self.entry = entry
        self._unlisted_since_s = 0.0

    def unlisted_ms(self) -> float:
        """Return for how long service discovery has not shown the worker; 0 where it does."""
        if not self._unlisted_since_s:
            return 0.0
        return (time.monotonic() - self._unlisted_since_s) * MS_PER_S

    def is_gone(self) -> bool:
        """Whether the worker has been out of service discovery until its leases were over."""
        return self.unlisted_ms() > LEASE_MS * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS

    def look_soon(self) -> None:
        """Call the worker even if nothing runs on it, so that it forgets settled ends."""
        self._wanted.set()

    def miss_entry(self) -> None:
        """Take note that service discovery does not show the worker any more."""
        if not self._unlisted_since_s:
            self._unlisted_since_s = time.monotonic()

    def refresh_fence(self) -> None:
        """Ask the worker for its runs again, under the fence in force now."""
        self.synced = False
        self._wanted.set()

    def can_start(self, task: WaitingTask, now_s: float) -> bool:
        """Whether the worker takes this task now."""
        return (
            self.synced
            and self._answers
            and not self._closed
            and not self.orphans
            and not self.entry.draining
            and now_s >= self._paused_until_s
            and self.free.holds(task.message.demand)
        )

    def room(self, now_s: float) -> Resources:
        """Return the free resources that tasks may be placed on."""
        usable = self.synced and self._answers and not self.orphans and not self.entry.draining
        return self.free if usable and now_s >= self._paused_until_s else Resources(0)

    def order_start(self, task: WaitingTask) -> None:
        """Start a run of a task."""
        run = Run(task, task.next_run, time.monotonic())
        task.next_run += 1
        task.started = True
        self.runs[task.name] = run
        self.free = self.free.minus(task.message.demand)
        gevent.spawn(self._start, run)

    def adopt(self, task: WaitingTask, number: int, end: EndKind | None = None) -> None:
        """Go on with a run of an earlier home.

        Args:
            task: the task.
            number: number of the run.
            end: how it has ended, None while it is under way.
        """
        run = Run(task, number, time.monotonic())
        run.state = RunState.RUNNING
        run.acknowledged_s = run.ordered_s
        task.started = True
        task.next_run = max(task.next_run, number + 1)
        self._count("runs.adopted")
        self.orphans.pop(task.name, None)
        if not task.is_kept:
            self.ends.settle_task(task.name)
        self.free = self.free.minus(task.message.demand)
        self.runs[task.name] = run
        if end is not None:
            self._end(run, end)

    def order_stop(self, run: Run) -> None:
        """Stop a run."""
        if not run.stopping:
            run.stopping = True
            gevent.spawn(self._stop, run.task.name, run.number)

    def _start(self, run: Run) -> None:
        task = run.task
        order = RunOrder(task.name, run.number, task.message.payload, task.message.demand)
        self._extend_quiet()
        try:
            clock_ms = self._port.start_run(order, self._fence(), self._lease_until_ms())
        except OrderRefused as refused:
            self._refused(run, refused.reason)
        except OrderLost as lost:
            self._lost(run, lost)
        else:
            self._note_clock(clock_ms)
            self._failures = 0
            run.state = RunState.RUNNING
            run.acknowledged_s = time.monotonic()
            self._wanted.set()

    def _refused(self, run: Run, reason: RefusedReason) -> None:
        self._count(f"runs.start_refused.{reason.name.lower()}")
        self._drop(run)
        pause_ms = NO_ROOM_PAUSE_MS if reason is RefusedReason.NO_ROOM else RETRY_PAUSE_MS
        if reason is RefusedReason.UNHEALTHY:
            pause_ms = UNHEALTHY_PAUSE_MS
        if reason is RefusedReason.OLD_RUN:
            run.task.next_run += run.number
        else:
            self._paused_until_s = time.monotonic() + pause_ms / MS_PER_S
        if reason is RefusedReason.FENCED:
            self._listener.fenced(self)
        self._listener.start_refused(self, run, reason.name.lower())

    def _lost(self, run: Run, lost: OrderLost) -> None:
        """Find out what became of a start that had no answer."""
        self._count("runs.start_lost" if lost.sent else "runs.start_not_sent")
        self._note_failure(str(lost))
        if not lost.sent:
            self._drop(run)
            self._listener.start_refused(self, run, "not_sent")
            return
        run.state = RunState.UNKNOWN
        self._resolve(run)

    def _resolve(self, run: Run) -> None:
        """Keep a run that the worker lists; bar one that it does not, and place the task anew."""
        if not run.stopping and self._is_listed(run):
            self._count("runs.start_found_running")
            run.state = RunState.RUNNING
            run.acknowledged_s = time.monotonic()
        elif run.state is RunState.UNKNOWN:
            run.stopping = True
            self._stop(run.task.name, run.number)
        self._wanted.set()

    def _is_listed(self, run: Run) -> bool:
        try:
            listing = self._port.renew(self._fence(), self.ends.acknowledged(), None, 0.0)
        except (OrderRefused, OrderLost):
            self._count("runs.check_failed")
            return False
        return any(
            seen.task == run.task.name and seen.run == run.number for seen in listing.running
        )

    def _stop(self, name: str, number: int) -> None:
        """Stop a run; a run that was not there yet is barred by the stop and has ended."""
        try:
            self._port.stop_run(name, number, self._fence())
        except OrderRefused as refused:
            self._count(f"runs.stop_refused.{refused.reason.name.lower()}")
        except OrderLost as lost:
            self._count("runs.stop_lost")
            self._note_failure(str(lost))
        else:
            run = self.runs.get(name)
            if run is not None and run.number == number and run.state is RunState.UNKNOWN:
                run.state = RunState.RUNNING
                run.acknowledged_s = time.monotonic()
        self._wanted.set()

    def _follow(self) -> None:
        while not self._closed:
            if self.synced and self._answers:
                self._wait_for_need()
            self._wanted.clear()
            if not self._closed:
                self._look()
                self._end_unheard()
                self._stop_orphans()
                self._stop_again()

    def _wait_for_need(self) -> None:
        """Wait until there is something to ask the worker for.

        A worker does not wait for the next end while it lists ends that it may not forget yet.
        """
        if not self.runs and not self.orphans:
            self._wanted.wait(IDLE_LOOK_S if self.ends else None)
        elif self.ends:
            self._wanted.wait(UNSETTLED_LOOK_MS / MS_PER_S)

    def _look(self) -> None:
        """Renew the leases and take in what the worker lists."""
        fence = self._fence()
        sent_s = time.monotonic()
        busy = bool(self.runs or self.orphans) and self._answers and self.synced
        lease_until_ms = self._lease_until_ms() if busy else None
        if busy:
            self._extend_quiet()
        wait_ms = LOOK_WAIT_MS if busy and not self.ends else 0.0
        try:
            listing = self._port.renew(fence, self.ends.acknowledged(), lease_until_ms, wait_ms)
        except OrderRefused as refused:
            self._look_refused(refused.reason)
        except OrderLost as lost:
            self._count("runs.look_lost")
            self._suspect(str(lost))
            gevent.sleep(min(RETRY_PAUSE_MS, RETRY_FIRST_MS * self._failures) / MS_PER_S)
        else:
            self._answers = True
            self._failures = 0
            self._note_clock(listing.clock_ms)
            self._take_in(listing, sent_s)
            if fence == self._fence() and not self.synced:
                self.synced = True
            self._listener.worker_changed(self)

    def _look_refused(self, reason: RefusedReason) -> None:
        self._count(f"runs.look_refused.{reason.name.lower()}")
        if reason is RefusedReason.OTHER_INCARNATION:
            self._end_all()
            self._closed = True
            return
        if reason is RefusedReason.FENCED:
            self._listener.fenced(self)
        else:
            self._suspect(reason.value)
        gevent.sleep(RETRY_PAUSE_MS / MS_PER_S)

    def _take_in(self, listing: RunListing, sent_s: float) -> None:
        for end in listing.ended:
            if self.ends.see(end):
                self._take_end(end)
        listed = {seen.task: seen.run for seen in listing.running}
        for name, number in listed.items():
            known = self.runs.get(name)
            if known is None and name not in self.orphans:
                self.orphans[name] = (number, time.monotonic())
        for name in [name for name in self.orphans if name not in listed]:
            del self.orphans[name]
        for name, run in list(self.runs.items()):
            acknowledged = run.state is RunState.RUNNING and run.acknowledged_s < sent_s
            if acknowledged and listed.get(name) != run.number:
                self._count("runs.vanished")
                self._end(run, EndKind.LEASE_EXPIRED)

    def _take_end(self, end: RunEnd) -> None:
        run = self.runs.get(end.task)
        is_own = run is not None and run.number == end.run
        if not is_own:
            self.orphans.pop(end.task, None)
        if run is None or (is_own and run.task.is_kept):
            self.ends.keep(end)
        if run is None:
            gevent.spawn(self._forget_unless_kept, end)
        if is_own:
            self._end(run, end.kind)

    def _forget_unless_kept(self, end: RunEnd) -> None:
        """Acknowledge the end of a task that no task here stands for, if its job is not kept.

        A worker that lists an end answers each call at once, which costs calls.
        """
        if not self.is_kept(job_of(end.task)) and self.ends.settle(end.task, end.run):
            self._wanted.set()

    def _end(self, run: Run, kind: EndKind) -> None:
        if kind is EndKind.DONE:
            seen_ms = (time.monotonic() - run.ordered_s) * MS_PER_S
            self.speed.see(run.task.message.estimate_ms, seen_ms)
        self._drop(run)
        self._listener.run_ended(self, run, kind)

    def _drop(self, run: Run) -> None:
        if self.runs.pop(run.task.name, None) is not None:
            self.free = self.free.plus(run.task.message.demand)

    def _end_all(self) -> None:
        for run in list(self.runs.values()):
            self._end(run, EndKind.LEASE_EXPIRED)

    def _end_unheard(self) -> None:
        """End the runs of a worker that has not answered until every lease was over."""
        if self._answers or time.monotonic() < self.quiet_at_s:
            return
        if self.runs:
            self._count("runs.lease_over_unheard", len(self.runs))
            log_message(
                message_type="runs",
                text="runs: worker did not answer until its leases were over",
                worker=self.entry.worker_id,
                runs=len(self.runs),
            )
        self._end_all()

    def _stop_orphans(self) -> None:
        """Stop runs of an earlier home that no owner has asked for in time."""
        now_s = time.monotonic()
        for name, (number, since_s) in list(self.orphans.items()):
            if (now_s - since_s) * MS_PER_S > ORPHAN_GRACE_MS:
                self.orphans[name] = (number, now_s)
                self._count("runs.orphan_stopped")
                gevent.spawn(self._stop, name, number)
        for end in self.ends.older_than(ORPHAN_END_MS):
            if self.may_forget():
                self._count("runs.end_forgotten")
                self.ends.settle(end.task, end.run)
                self._wanted.set()

    def _stop_again(self) -> None:
        """Repeat the stops of runs that go on, since an order to stop may have been lost."""
        for run in self.runs.values():
            if run.stopping and run.state is not RunState.ORDERED:
                gevent.spawn(self._stop, run.task.name, run.number)

    def _note_failure(self, detail: str) -> None:
        """Count an order without an answer; several in a row make the worker suspect."""
        self._failures += 1
        if self._failures >= SUSPECT_FAILURES:
            self._suspect(detail)

    def _suspect(self, detail: str) -> None:
        """Place nothing more on the worker until it answers."""
        if self._answers:
            self._count("runs.worker_suspected")
            log_message(
                message_type="runs",
                text="runs: worker does not answer",
                worker=self.entry.worker_id,
                detail=detail,
            )
        self._answers = False
        self._failures += 1
        self._wanted.set()

    def _note_clock(self, clock_ms: float) -> None:
        self._clock_ms = clock_ms
        self._clock_read_s = time.monotonic()

    def _lease_until_ms(self) -> float:
        since_ms = (time.monotonic() - self._clock_read_s) * MS_PER_S
        return self._clock_ms + since_ms + LEASE_MS

    def _extend_quiet(self) -> None:
        lease_ms = LEASE_MS * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS
        self.quiet_at_s = max(self.quiet_at_s, time.monotonic() + lease_ms / MS_PER_S)
