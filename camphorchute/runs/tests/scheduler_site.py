"""Schedulers with stand-in workers, and an owner that records the results sent to it."""

import time

import gevent

import camphorchute.platform  # noqa: F401 - fills the registry of platforms
from bench.standins.fleet_site import SERVICE_NAME, FleetSite
from camphorchute.contracts.batch_job import QueueLimits
from camphorchute.contracts.member import Member
from camphorchute.contracts.resources import Resources
from camphorchute.contracts.run_messages import StartTasks, StopTasks, TaskResultKind, TaskToStart
from camphorchute.entry.loop_lag import LoopLag
from camphorchute.hosting import make_platform
from camphorchute.runs import GroupScheduler

__all__ = [
    "GROUP",
    "JOB_ID",
    "OWNER",
    "SchedulerSite",
    "block_event_loop",
    "dispatch_lost_tasks",
    "start_message",
    "wait_until",
]

GROUP = f"north/{SERVICE_NAME}/0"
JOB_ID = "5c0e7a21d94b36f8"
OWNER = Member("owner", "north", "vm1", "", "127.0.0.1:1", "127.0.0.1:2")
TIMEOUT_S = 5.0


def wait_until(condition, timeout_s=TIMEOUT_S):
    """Wait until a condition is true; return whether it was before the timeout."""
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            return False
        gevent.sleep(0.005)
    return True


def block_event_loop(duration_s):
    """Keep every greenlet from running, as a pause of the process does."""
    until_s = time.monotonic() + duration_s
    while time.monotonic() < until_s:
        pass


def start_message(
    tasks=1,
    run=1,
    may_run=False,
    start_within_ms=2000.0,
    finish_within_ms=4000.0,
    worker_id="",
    return_unplaced=False,
    term=None,
    estimate_ms=40.0,
):
    """Return a message that dispatches tasks of one job."""
    return StartTasks(
        GROUP,
        JOB_ID,
        0,
        "check",
        Resources(14_000, 64),
        estimate_ms,
        "checks",
        QueueLimits(0, 3, 1.6, 60.0),
        start_within_ms,
        finish_within_ms,
        [TaskToStart(index, run, 0, may_run, worker_id) for index in range(tasks)],
        return_unplaced,
        term,
    )


def dispatch_lost_tasks(scheduler, message, group=GROUP):
    """Dispatch tasks again that lost their workers, as their owner does; return other results."""
    for result in message.results:
        if result.end is TaskResultKind.WORKER_LOST:
            again = start_message(run=result.run + 1)
            again.group, again.job_id = group, message.job_id
            again.tasks = [
                TaskToStart(result.index, result.run + 1, lost_runs=1, last_place=result.place)
            ]
            gevent.spawn(scheduler.start_tasks, OWNER, again)
    return [result for result in message.results if result.end is not TaskResultKind.WORKER_LOST]


class SchedulerSite:
    """Stand-in workers of one zone and the schedulers that share them.

    As in an entry process, the observation clock is ticked, so that a pause of the tests is no
    evidence against a worker.

    Attributes:
        run_ms: duration of every run, in milliseconds.
        fleet: the stand-ins.
        results: every result sent to an owner, except for tasks that lost their workers, which
            are dispatched again.
        counts: the counters, by name.
        schedulers: the schedulers, in the order of their start.
    """

    def __init__(self, workers=2, run_ms=40.0):
        self.run_ms = run_ms
        self.fleet = FleetSite(["north"], workers, run_ms=run_ms)
        self.fleet.start()
        self.results = []
        self.counts = {}
        self.schedulers = []
        self._platform = make_platform("fleet", self.fleet.store.address, self._count)
        self._loop_lag = LoopLag(self._count)
        self._loop_lag.start()

    def add_scheduler(self, fence, worker_ids=None, policies=None):
        """Start a scheduler of the group with a fencing token and return it.

        Its group has the workers with the given ids, all of them if none are given.
        """
        entries = self.entries()
        if worker_ids is not None:
            entries = {worker_id: entries[worker_id] for worker_id in worker_ids}
        scheduler = GroupScheduler(
            self._platform.open_worker_client,
            lambda owner_id, message: self._notify(scheduler, message),
            self._count,
            policies,
        )
        scheduler.start()
        scheduler.acquire_group(GROUP, SERVICE_NAME, fence)
        scheduler.set_workers(GROUP, entries)
        self.schedulers.append(scheduler)
        return scheduler

    def entries(self):
        """Return the entries of the workers in service discovery, by worker id."""
        keys = [key for key in self.fleet.store.items if key.startswith("servers/")]
        listing = self._platform.store.list("servers/").values if keys else []
        entries = [self._platform.decode_worker_entry(value.key, value.value) for value in listing]
        return {entry.worker_id: entry for entry in entries}

    def dispatch_tasks(self, scheduler, **fields):
        """Dispatch tasks to a scheduler; the fields are those of :func:`start_message`.

        The estimate is the true run time.
        """
        fields.setdefault("estimate_ms", self.run_ms)
        scheduler.start_tasks(OWNER, start_message(**fields))

    def stop_job(self, scheduler):
        """Send a scheduler the message to stop the job."""
        scheduler.stop_tasks(OWNER, StopTasks(JOB_ID))

    def redispatch_returned(self, scheduler):
        """Dispatch the tasks that an earlier scheduler returned to another scheduler."""
        for result in self.results:
            may_run = result.end is TaskResultKind.MAY_RUN
            message = start_message(run=result.run + 1, may_run=may_run, estimate_ms=self.run_ms)
            message.tasks[0].index = result.index
            message.tasks[0].worker_id = result.worker_id
            scheduler.start_tasks(OWNER, message)
        self.results.clear()

    def active_runs(self):
        """Return the active runs on the workers."""
        return [run for worker in self.fleet.workers for run in worker.runs if not run.ended_s]

    def outcomes(self):
        """Return the outcomes reported to the owner, by index of the task."""
        return {result.index: result.end for result in self.results}

    def close(self):
        """Stop the schedulers and the stand-ins."""
        for scheduler in self.schedulers:
            scheduler.close()
        self.fleet.close()
        self._loop_lag.close()

    def _notify(self, scheduler, message):
        self.results.extend(dispatch_lost_tasks(scheduler, message))
        return True

    def _count(self, name, n=1):
        self.counts[name] = self.counts.get(name, 0) + n
