"""Jobs whose owner and scheduler are both lost while a start command is still under way."""

import signal
import time

import pytest

from bench.hosted_fleet import HostedFleet
from bench.run_faults.run_checker import find_overlaps, runs_of
from bench.standins.server import Reply

BASE = 180
NORTH, SOUTH = "north", "south"
JOB_ID = "5c0e7a21d94b36f8"
RUN_MS = 2500.0
STOP_MS = 50.0
RESEND_S = 1.3
LATE_S = 1.9
START_ROUTE = ("POST", "/run-start")
START_TIMEOUT_S = 3.0


@pytest.fixture
def fleet(tmp_path):
    fleet = HostedFleet([NORTH, SOUTH], 3, tmp_path, BASE, RUN_MS)
    for zone, number in [(NORTH, 1), (NORTH, 2), (NORTH, 3), (SOUTH, 1), (SOUTH, 2)]:
        fleet.add_entry(zone, number)
    fleet.wait_ready()
    for worker in fleet.site.workers:
        worker.faults.stop_ms = STOP_MS
    yield fleet
    fleet.close()


class DelayedStarts:
    """The start commands that a worker receives, which it leaves unanswered.

    Attributes:
        requests: the commands.
        received_s: monotonic time of the first one, in seconds; 0 before.
    """

    def __init__(self, worker):
        self.requests, self.received_s = [], 0.0
        self._worker, self._carry_out = worker, worker.routes[START_ROUTE]
        worker.routes[START_ROUTE] = self._receive

    def _receive(self, request):
        self.received_s = self.received_s or time.monotonic()
        self.requests.append(request)
        request.connection.is_unresponsive = True
        return Reply(None, 500)

    def stop_receiving(self):
        """Let the worker carry out and answer further commands."""
        self._worker.routes[START_ROUTE] = self._carry_out

    def carry_out(self):
        """Let the worker carry out the commands, and return their HTTP statuses."""
        return [self._carry_out(request).status for request in self.requests]


def wait_until(find, failure):
    """Wait until a function returns something, and return that."""
    until_s = time.monotonic() + START_TIMEOUT_S
    while not (found := find()):
        assert time.monotonic() < until_s, failure
        time.sleep(0.002)
    return found


def sleep_until(at_s):
    time.sleep(max(0.0, at_s - time.monotonic()))


def find_scheduler(fleet, zone):
    try:
        return fleet.scheduler_of(zone)
    except StopIteration:
        return None


# Guards against two runs of a task at the same time: only its owner and its scheduler, which were
# both lost, knew of a start command that the next incarnation of the worker carried out.
@pytest.mark.parametrize(
    ("owner_lost_by", "owner_lost_s", "scheduler_lost_s"),
    [
        (signal.SIGKILL, 0.05, 0.15),
        (signal.SIGSTOP, 0.05, 0.5),
        (signal.SIGKILL, 0.1, 0.05),
        (signal.SIGSTOP, 0.1, 0.05),
    ],
)
def test_start_known_to_lost_processes_only_is_not_carried_out_beside_another_run(
    fleet, owner_lost_by, owner_lost_s, scheduler_lost_s
):
    scheduler = wait_until(lambda: find_scheduler(fleet, NORTH), "no scheduler of the workers")
    owner = next(e for e in fleet.entries if e.zone == NORTH and e is not scheduler)
    elsewhere = next(entry for entry in fleet.entries if entry.zone == SOUTH)
    delayed = {
        worker: DelayedStarts(worker) for worker in fleet.site.workers if worker.zone == NORTH
    }

    fleet.submit_later(owner, JOB_ID)
    worker = wait_until(
        lambda: next((worker for worker, starts in delayed.items() if starts.requests), None),
        "no start command was sent",
    )
    sent_s = delayed[worker].received_s
    losses = [
        (owner_lost_s, owner, owner_lost_by),
        (scheduler_lost_s, scheduler, signal.SIGKILL),
    ]
    for lost_s, entry, lost_by in sorted(losses, key=lambda loss: loss[0]):
        sleep_until(sent_s + lost_s)
        entry.process.send_signal(lost_by)
    for starts in delayed.values():
        starts.stop_receiving()
    sleep_until(sent_s + RESEND_S)
    second_call = fleet.submit_later(elsewhere, JOB_ID)
    worker.restart(1000 * (sent_s + LATE_S - time.monotonic()))
    statuses = delayed[worker].carry_out()
    answer = second_call.result()

    assert 200 in statuses, "the worker refused the late start"
    runs = [run for run in runs_of(fleet.site.workers) if run.task.startswith(JOB_ID)]
    assert find_overlaps(runs) == []
    assert answer[0] == 200, (answer, runs)
