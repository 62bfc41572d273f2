"""Starts and runs that few processes know of, when these are lost or a worker leaves."""

import signal
import time
from urllib.request import urlopen

import pytest

from bench.fleet import LINK_PORT
from bench.hosted_fleet import DEADLINE_MS, HostedFleet
from bench.run_faults.run_checker import find_overlaps, runs_of
from bench.standins.server import Reply
from bench.tcp_proxy import Cut, Route, TcpProxy

BASE = 180
NORTH, SOUTH = "north", "south"
JOB_ID = "5c0e7a21d94b36f8"
RUN_MS = 2500.0
SHORT_RUN_MS = 1000.0
STOP_MS = 50.0
RESEND_S = 1.3
LATE_S = 1.9
STARTED_AGAIN_S = 3.6
START_ROUTE = ("POST", "/run-start")
PROXIED_LINK_PORT = 9500
START_TIMEOUT_S = 5.0


def open_fleet(log_dir, run_ms, monkeypatch=None, proxy=None):
    """Start three processes in one zone and two in another; their links may use a proxy."""
    fleet = HostedFleet([NORTH, SOUTH], 3, log_dir, BASE, run_ms)
    for zone, number in [(NORTH, 1), (NORTH, 2), (NORTH, 3), (SOUTH, 1), (SOUTH, 2)]:
        if proxy is not None:
            host = fleet.host_of(zone, number)
            address = f"{host}:{PROXIED_LINK_PORT}"
            proxy.open_route(Route(address, f"{host}:{LINK_PORT}", host))
            monkeypatch.setenv("CAMPHORCHUTE_ADVERTISE_LINK_ADDRESS", address)
        fleet.add_entry(zone, number)
    fleet.wait_ready()
    for worker in fleet.site.workers:
        worker.faults.stop_ms = STOP_MS
    return fleet


@pytest.fixture
def fleet(tmp_path):
    fleet = open_fleet(tmp_path, RUN_MS)
    yield fleet
    fleet.close()


@pytest.fixture
def proxy():
    proxy = TcpProxy("127.0.0.1:0")
    proxy.start()
    yield proxy
    proxy.close()


@pytest.fixture
def proxied_fleet(tmp_path, monkeypatch, proxy):
    fleet = open_fleet(tmp_path, SHORT_RUN_MS, monkeypatch, proxy)
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


def runs_of_job(fleet):
    return [run for run in runs_of(fleet.site.workers) if run.task.startswith(JOB_ID)]


def find_scheduler(fleet, zone):
    try:
        return fleet.scheduler_of(zone)
    except StopIteration:
        return None


def choose_entries(fleet):
    """Return the scheduler of the first zone, another process there, and one of the other zone."""
    scheduler = wait_until(lambda: find_scheduler(fleet, NORTH), "no scheduler of the workers")
    owner = next(e for e in fleet.entries if e.zone == NORTH and e is not scheduler)
    elsewhere = next(entry for entry in fleet.entries if entry.zone == SOUTH)
    return scheduler, owner, elsewhere


def delay_starts(fleet):
    """Delay the start commands to the workers of the first zone, and return them by worker."""
    return {worker: DelayedStarts(worker) for worker in fleet.site.workers if worker.zone == NORTH}


def wait_for_start_command(delayed):
    """Wait until a worker receives a start command, and return that worker."""
    return wait_until(
        lambda: next((worker for worker, starts in delayed.items() if starts.requests), None),
        "no start command was sent",
    )


def read_counter(entry, name):
    with urlopen(f"http://{entry.ready_address}/metrics", timeout=5) as reply:
        counters = dict(line.split() for line in reply.read().decode().splitlines())
    return int(counters.get(name, 0))


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
    scheduler, owner, elsewhere = choose_entries(fleet)
    delayed = delay_starts(fleet)

    fleet.submit_later(owner, JOB_ID)
    worker = wait_for_start_command(delayed)
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
    assert find_overlaps(runs_of_job(fleet)) == []
    assert answer[0] == 200, (answer, runs_of_job(fleet))


# Guards against two runs of a task at the same time for one owner: the notice of where its
# scheduler, which was lost next, had sent the start command did not arrive on a one-way link.
def test_start_of_which_its_owner_had_no_notice_is_not_carried_out_beside_another_run(
    proxied_fleet, proxy
):
    fleet = proxied_fleet
    scheduler, owner, _ = choose_entries(fleet)
    delayed = delay_starts(fleet)

    proxy.set_cuts([Cut([scheduler.host], [owner.host])])
    call = fleet.submit_later(owner, JOB_ID)
    worker = wait_for_start_command(delayed)
    sleep_until(delayed[worker].received_s + 0.05)
    proxy.close_route(f"{scheduler.host}:{PROXIED_LINK_PORT}")
    scheduler.process.send_signal(signal.SIGKILL)
    for starts in delayed.values():
        starts.stop_receiving()
    slots = worker.slots
    worker.set_slots(0)
    sent_s = delayed[worker].received_s
    while not runs_of_job(fleet) and time.monotonic() < sent_s + STARTED_AGAIN_S:
        time.sleep(0.002)
    worker.set_slots(slots)
    worker.restart()
    statuses = delayed[worker].carry_out()
    answer = call.result()

    assert 200 in statuses, "the worker refused the late start"
    assert find_overlaps(runs_of_job(fleet)) == []
    assert answer[0] == 200, (answer, runs_of_job(fleet))


# Guards against two runs of a task at the same time: its caller was cut off, without its owner
# being able to notice, and sent the job to another process.
def test_run_is_joined_by_the_next_owner_of_its_job_while_the_first_one_goes_on(fleet):
    scheduler, owner, elsewhere = choose_entries(fleet)
    fleet.submit_later(owner, JOB_ID)
    run = wait_until(lambda: runs_of_job(fleet), "no run was started")[0]
    sleep_until(run.started_s + RESEND_S)
    answer = fleet.submit(elsewhere, JOB_ID)

    assert find_overlaps(runs_of_job(fleet)) == []
    assert runs_of_job(fleet) == [run]
    assert answer[0] == 200, answer
    assert read_counter(scheduler, "runs.owner_changed") == 1


# Callers waited until their deadline although the only worker where the task could start had left.
def test_job_ends_before_its_deadline_once_the_only_worker_of_its_task_has_left(fleet):
    scheduler, owner, _ = choose_entries(fleet)
    delayed = delay_starts(fleet)
    sent_s = time.monotonic()
    call = fleet.submit_later(owner, JOB_ID)
    worker = wait_for_start_command(delayed)
    scheduler.process.send_signal(signal.SIGKILL)
    fleet.site.store.remove(f"servers/{worker.worker_id}")
    status, body = call.result()

    assert status == 504, body
    assert time.monotonic() - sent_s < 0.9 * DEADLINE_MS / 1000
    assert runs_of_job(fleet) == []
