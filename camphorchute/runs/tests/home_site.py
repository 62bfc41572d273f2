"""A home with stand-in workers, and an owner that notes what it is told."""

import time

import gevent

import camphorchute.platform  # noqa: F401 - fills the registry of platforms
from bench.standins.fleet_site import SERVICE, FleetSite
from camphorchute.contracts.batch_job import QueueLimits
from camphorchute.contracts.member import Member
from camphorchute.contracts.resources import Resources
from camphorchute.contracts.run_messages import StartTasks, StopTasks, TaskEnd, TaskOrder
from camphorchute.hosting import make_platform
from camphorchute.runs import GroupHome

__all__ = ["GROUP", "JOB", "HomeSite", "OWNER", "start_message", "until"]

GROUP = f"north/{SERVICE}/0"
JOB = "5c0e7a21d94b36f8"
OWNER = Member("owner", "north", "vm1", "", "127.0.0.1:1", "127.0.0.1:2")
TIMEOUT_S = 5.0


def until(holds, timeout_s=TIMEOUT_S):
    """Wait until something holds; return whether it did in time."""
    end_s = time.monotonic() + timeout_s
    while not holds():
        if time.monotonic() > end_s:
            return False
        gevent.sleep(0.005)
    return True


def start_message(
    tasks=1, run=1, may_run=False, within_ms=2000.0, finish_ms=4000.0, on="", back=False, term=None
):
    """Return a hand-over of tasks of one job."""
    return StartTasks(
        GROUP,
        JOB,
        0,
        "check",
        Resources(14_000, 64),
        40.0,
        "checks",
        QueueLimits(0, 3, 1.6, 60.0),
        within_ms,
        finish_ms,
        [TaskOrder(index, run, 0, may_run, on) for index in range(tasks)],
        back,
        term,
    )


class HomeSite:
    """Stand-in workers of one zone and homes that share them.

    Attributes:
        site: the stand-ins.
        results: every result told to an owner.
        counts: the counters.
    """

    def __init__(self, workers=2, run_ms=40.0):
        self.site = FleetSite(["north"], workers, run_ms=run_ms)
        self.site.start()
        self.results = []
        self.counts = {}
        self.homes = []
        self._platform = make_platform("fleet", self.site.store.address, self._count)

    def add_home(self, fence):
        """Return a new home of the group with a fencing token."""
        home = GroupHome(self._platform.open_worker, self._tell, self._count)
        home.start()
        home.take_group(GROUP, SERVICE, fence)
        home.set_workers(GROUP, self.entries())
        self.homes.append(home)
        return home

    def entries(self):
        """Return the workers as service discovery shows them."""
        keys = [key for key in self.site.store.items if key.startswith("servers/")]
        listing = self._platform.store.list("servers/").values if keys else []
        found = [self._platform.decode_worker(value.key, value.value) for value in listing]
        return {entry.worker_id: entry for entry in found}

    def hand(self, home, **fields):
        """Hand tasks to a home."""
        home.start_tasks(OWNER, start_message(**fields))

    def stop(self, home):
        """Have a home stop the job."""
        home.stop_tasks(OWNER, StopTasks(JOB))

    def hand_on(self, home):
        """Hand the tasks that an earlier home gave up to another home."""
        for result in self.results:
            may_run = result.end is TaskEnd.MAY_RUN
            message = start_message(run=result.run + 1, may_run=may_run)
            message.tasks[0].index = result.index
            message.tasks[0].worker_id = result.worker_id
            home.start_tasks(OWNER, message)
        self.results.clear()

    def running(self):
        """Return the runs under way at the workers."""
        return [run for worker in self.site.workers for run in worker.record if not run.ended_s]

    def ends(self):
        """Return the ends told, by index of the task."""
        return {result.index: result.end for result in self.results}

    def close(self):
        """Stop everything."""
        for home in self.homes:
            home.close()
        self.site.close()

    def _tell(self, owner_id, message):
        self.results.extend(message.results)
        return True

    def _count(self, name, n=1):
        self.counts[name] = self.counts.get(name, 0) + n
