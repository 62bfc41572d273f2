"""Scheduler of workers: the only entry process that starts tasks on the workers assigned to it."""

import heapq
import random
import time
import traceback
from collections.abc import Callable

import gevent
from eliot import log_message

from camphorchute.contracts import InvariantBroken, Refusal, ResultCode
from camphorchute.contracts.messages import (
    CancelTasks,
    Demand,
    DispatchedTask,
    FindTasks,
    FoundTasks,
    HandOff,
    SlotCount,
    TasksReturned,
)
from camphorchute.services.definition import ServiceDefinition, Upstream, Worker
from camphorchute.workers.back_end import BackEnd, back_end_class
from camphorchute.workers.context import Metrics, SchedulerContext, Send, no_metrics
from camphorchute.workers.fence import AttemptState, KeyRecord, OpenAttempt
from camphorchute.workers.reports import EndedAttempt, TaskReporter
from camphorchute.workers.service_pool import ServicePool
from camphorchute.workers.slots import WorkerSlots
from camphorchute.workers.timing import SchedulerTiming
from camphorchute.workers.worker_link import WorkerLink

__all__ = ["TaskScheduler", "make_back_end"]

CLOSE_POLL_INTERVAL_MS = 10.0


def make_back_end(scheduler_id: str, worker: Worker | Upstream) -> BackEnd:
    """Return a new back end of the class that is registered for workers or for upstreams."""
    name = "worker" if isinstance(worker, Worker) else "upstream"
    return back_end_class(name)(scheduler_id, worker.address, worker.connections)


def _addresses_not_draining(definition: ServiceDefinition) -> set[str]:
    """Return the addresses of the back ends of a service that are not draining."""
    back_ends = (*definition.workers, *definition.upstreams)
    return {back_end.address for back_end in back_ends if not back_end.draining}


class TaskScheduler:
    """Starts tasks on the workers assigned to this process, each task at most once.

    Args:
        scheduler_id: member id of this process, which is sent to the workers.
        send: ``send(owner_id, message)`` sends a message to a peer without awaiting a reply, and
            returns whether it may arrive.
        clock: returns the monotonic time in seconds.
        metrics: ``metrics(name, n)`` adds to a counter.
        timing: durations and bounds.
        rng: source of jitter and of random choices.
        back_ends: ``back_ends(scheduler_id, worker)`` returns the back end of a worker or an
            upstream.
    """

    __slots__ = ("_context", "_reporter", "_pools", "_deadlines", "_back_ends", "_sweeper")

    def __init__(
        self,
        scheduler_id: str,
        send: Send,
        clock: Callable[[], float] = time.monotonic,
        metrics: Metrics = no_metrics,
        timing: SchedulerTiming | None = None,
        rng: random.Random | None = None,
        back_ends: Callable[[str, Worker | Upstream], BackEnd] = make_back_end,
    ) -> None:
        self._context = SchedulerContext(scheduler_id, send, clock, metrics, timing, rng)
        self._reporter = TaskReporter(self._context)
        self._pools: dict[str, ServicePool] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._back_ends = back_ends
        self._sweeper: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the greenlets of the links and of the periodic sweep."""
        self._sweeper = gevent.spawn(self._sweep_forever)
        for link in self.links():
            link.start()

    def close(self, timeout_ms: float) -> None:
        """Return unsent tasks, wait for running ones, then stop the greenlets and close the links.

        Args:
            timeout_ms: maximum time to wait for running tasks.
        """
        self._context.closing = True
        for link in self.links():
            link.return_unsent(ResultCode.LEAVING)
        close_by_ms = self._context.now_ms() + timeout_ms
        while self._context.fence.open_tasks and self._context.now_ms() < close_by_ms:
            gevent.sleep(CLOSE_POLL_INTERVAL_MS / 1000)
        if self._context.fence.open_tasks:
            log_message(
                "workers: scheduler closed while tasks were still open.",
                n=self._context.fence.open_tasks,
            )
        if self._sweeper is not None:
            self._sweeper.kill()
        for link in self.links():
            link.close()

    def set_workers(self, definition: ServiceDefinition, workers: list[Worker | Upstream]) -> None:
        """Set the workers of a service that are assigned to this scheduler.

        A worker that is no longer listed gets no new tasks; its running tasks are still reported.

        Args:
            definition: definition of the service.
            workers: its workers and upstreams that this scheduler starts tasks on.
        """
        pool = self._pools.get(definition.name)
        if pool is None:
            pool = self._pools[definition.name] = ServicePool(self._context, definition)
        pool.apply_definition(definition, [worker.address for worker in workers])
        workers_by_address = {worker.address: worker for worker in workers}
        for address, link in pool.links.items():
            if address not in workers_by_address and not link.slots.removed:
                link.slots.removed = True
                link.return_unsent(ResultCode.NO_SLOT)
        for address, worker in workers_by_address.items():
            link = pool.links.get(address)
            if link is None:
                pool.links[address] = self._new_link(pool, worker)
            else:
                link.slots.removed = False
                link.slots.apply_definition(worker)
            pool.links[address].back_end.apply_definition(definition)
        not_draining = _addresses_not_draining(definition)
        for address, link in pool.links.items():
            link.set_leaving(address not in not_draining, self._context.now_ms())
        pool.grant_free_slots()

    def dispatch_tasks(self, message: HandOff) -> None:
        """Queue the tasks of a message at workers, and return those that cannot start now.

        Raises:
            InvariantBroken: ``one_start_per_task``: a task was dispatched before and not returned.
                It is not started again; the other tasks of the message are.
        """
        context = self._context
        now_ms = context.now_ms()
        known = context.fence.records.get(message.key)
        if known is not None and message.term < known.term:
            self._return_tasks(message, message.tasks, ResultCode.STALE_TERM)
            return
        if context.fence.is_full(message.key):
            self._return_tasks(message, message.tasks, ResultCode.LEDGER_FULL)
            return
        record = context.fence.ensure_record(
            message.key, message.owner_id, message.term, message.service
        )
        record.team = message.team
        record.deadline_ms = now_ms + message.remaining_ms
        admitted: list[OpenAttempt] = []
        repeated: list[int] = []
        barred = [task for task in message.tasks if task.attempt in record.barred_attempts]
        tasks = message.tasks if not barred else [t for t in message.tasks if t not in barred]
        for task in tasks:
            attempt = context.fence.admit_task(record, task)
            if attempt is None:
                repeated.append(task.index)
            else:
                admitted.append(attempt)
        if barred:
            self._return_tasks(message, barred, ResultCode.STALE_TERM)
        self._place_tasks(message, record, admitted)
        if record.open_tasks:
            self._schedule_deadline(record)
        context.fence.retain_or_drop(record, now_ms)
        if repeated:
            raise context.fence.repeated_start_error(message, repeated)

    def set_demand(self, owner_id: str, message: Demand) -> None:
        """Set the number of tasks of a team that wait at an owner for free slots."""
        pool = self._pools.get(message.service)
        if pool is not None:
            pool.set_demand(owner_id, message.team, message.waiting)

    def cancel_tasks(self, message: CancelTasks) -> None:
        """Return the unsent tasks of a job, stop its running ones and start no further ones.

        The command of an owner whose term is superseded changes nothing.
        """
        record = self._context.fence.records.get(message.key)
        if record is None:
            return
        if message.term and message.term < record.term:
            self._context.count("home.cancel.stale_term")
            return
        record.cancelled = True
        self._end_job(record, ResultCode.CANCELLED_BEFORE_START, ResultCode.CANCELLED)
        self._context.fence.retain_or_drop(record, self._context.now_ms())

    def find_tasks(self, message: FindTasks) -> FoundTasks:
        """Return the outcomes and the open tasks of a job, and report to the sender from now on.

        A task that waits here for its start message counts as running. An attempt that the
        message names and that is not known here is never started.

        Raises:
            Refusal: ``STALE_TERM``: an owner of a higher term dispatched tasks or asked before.
        """
        fence = self._context.fence
        record = fence.ensure_record(message.key, message.owner_id, message.term, message.service)
        if message.term < record.term:
            raise Refusal(
                ResultCode.STALE_TERM,
                f"term {message.term}, known {record.term}",
            )
        record.fenced = True
        fence.bar_attempts(record, message.attempts)
        fence.retain_or_drop(record, self._context.now_ms())
        running = [a for a in record.attempts.values() if a.outcome is None]
        indices = [attempt.index for attempt in running]
        attempts = [attempt.attempt for attempt in running]
        return FoundTasks(message.key, record.outcomes(), indices, attempts)

    def drop_owner(self, owner_id: str) -> None:
        """Free the slots reserved for a lost owner and remove its demand; its tasks continue."""
        for pool in self._pools.values():
            pool.drop_owner(owner_id)

    def slot_counts(self) -> list[SlotCount]:
        """Return the free slots and the pending tasks of each service."""
        return [pool.slot_count() for pool in self._pools.values()]

    def busy_slots(self) -> dict[str, dict[str, int]]:
        """Return the number of busy slots by pool name and name of the back end."""
        return {
            name: {link.slots.name: link.slots.busy for link in pool.links.values()}
            for name, pool in self._pools.items()
        }

    def links(self) -> list[WorkerLink]:
        """Return the links to all workers, including unlisted ones with open tasks."""
        return [link for pool in self._pools.values() for link in pool.links.values()]

    def sweep(self) -> None:
        """End expired jobs and drained workers' tasks, expire reservations and drop old records."""
        now_ms = self._context.now_ms()
        self._end_expired_jobs(now_ms)
        for pool in self._pools.values():
            pool.sweep()
            self._end_tasks_past_drain_time(pool, now_ms)
            self._drop_removed_links(pool)
        self._context.fence.drop_expired(now_ms)

    def _new_link(self, pool: ServicePool, worker: Worker | Upstream) -> WorkerLink:
        slots = WorkerSlots(worker, self._context.rng)
        back_end = self._back_ends(self._context.scheduler_id, worker)
        link = WorkerLink(self._context, self._reporter, pool, slots, back_end)
        if self._sweeper is not None:
            link.start()
        return link

    def _end_tasks_past_drain_time(self, pool: ServicePool, now_ms: float) -> None:
        """Report the tasks that run on a back end past its drain time as lost and stop them."""
        for link in pool.links.values():
            if link.leaving_since_ms is None or now_ms < link.leaving_since_ms + pool.drain_ms:
                continue
            late = [attempt for attempt in link.slot_attempts.values() if attempt.outcome is None]
            for key in {attempt.record.key for attempt in late}:
                link.stop_job(key)
            if late:
                self._context.count("home.drain_time_over", len(late))
                ended = [EndedAttempt(a, ResultCode.WORKER_LOST, "", "drained") for a in late]
                self._reporter.report_ended(ended, lingering=True)

    def _drop_removed_links(self, pool: ServicePool) -> None:
        for address, link in list(pool.links.items()):
            if link.slots.removed and not link.has_open_tasks():
                del pool.links[address]
                link.close()

    def _return_tasks(
        self, message: HandOff, tasks: list[DispatchedTask], code: ResultCode
    ) -> None:
        self._context.count(f"home.returned.{code.name.lower()}", len(tasks))
        ids = [task.attempt for task in tasks]
        self._context.send(message.owner_id, TasksReturned(message.key, ids, int(code)))

    def _schedule_deadline(self, record: KeyRecord) -> None:
        if not record.deadline_check_ms or record.deadline_ms < record.deadline_check_ms:
            record.deadline_check_ms = record.deadline_ms
            heapq.heappush(self._deadlines, (record.deadline_ms, record.key))

    def _end_expired_jobs(self, now_ms: float) -> None:
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            _, key = heapq.heappop(self._deadlines)
            record = self._context.fence.records.get(key)
            if record is None:
                continue
            record.deadline_check_ms = 0.0
            if record.open_tasks and record.deadline_ms > now_ms:
                self._schedule_deadline(record)
            elif record.open_tasks:
                self._end_job(record, ResultCode.DEADLINE_PASSED, ResultCode.DEADLINE_PASSED)

    def _place_tasks(
        self, message: HandOff, record: KeyRecord, attempts: list[OpenAttempt]
    ) -> None:
        return_attempts = self._reporter.report_returned
        pool = self._pools.get(message.service)
        if self._context.closing:
            return_attempts(attempts, ResultCode.LEAVING)
        elif record.cancelled:
            return_attempts(attempts, ResultCode.CANCELLED_BEFORE_START)
        elif message.remaining_ms <= 0:
            return_attempts(attempts, ResultCode.DEADLINE_PASSED)
        elif pool is None or not pool.active_workers():
            return_attempts(attempts, ResultCode.NO_WORKER)
        else:
            placement = pool.place_attempts(
                attempts, message.owner_id, message.team, message.granted
            )
            by_address: dict[str, list[OpenAttempt]] = {}
            for attempt in placement.placed:
                by_address.setdefault(attempt.link.slots.address, []).append(attempt)
            for address, batch in by_address.items():
                pool.links[address].queue_attempts(batch)
            return_attempts(placement.no_slot, ResultCode.NO_SLOT)
            return_attempts(placement.fits_no_worker, ResultCode.FITS_NO_WORKER)
        if pool is not None:
            pool.grant_free_slots()

    def _end_job(self, record: KeyRecord, unsent_code: ResultCode, sent_code: ResultCode) -> None:
        attempts = record.open_attempts()
        unsent = [a for a in attempts if a.state is AttemptState.WAITING]
        sent = [a for a in attempts if a.state is not AttemptState.WAITING]
        for link in {id(a.link): a.link for a in sent}.values():
            link.stop_job(record.key)
        if unsent:
            self._reporter.report_returned(unsent, unsent_code)
        if sent:
            self._reporter.report_ended([EndedAttempt(a, sent_code) for a in sent], lingering=True)

    def _sweep_forever(self) -> None:
        while True:
            gevent.sleep(self._context.timing.sweep_every_ms / 1000)
            try:
                self.sweep()
            except InvariantBroken:
                raise
            except Exception:
                self._context.count("home.internal_error")
                log_message(
                    "workers: unexpected error in the periodic sweep.",
                    traceback=traceback.format_exc(),
                )
