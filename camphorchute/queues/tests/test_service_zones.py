import time

import pytest

from camphorchute.contracts import ResultCode
from camphorchute.contracts.member import Member
from camphorchute.contracts.resources import Resources
from camphorchute.contracts.run_messages import (
    GroupFreeCapacity,
    RoomReport,
    TaskResultKind,
    WorkerFreeCapacity,
)
from camphorchute.queues import JobOutcome, ServiceZones
from camphorchute.queues.tests.test_queue_owner import Site
from camphorchute.runs.tests.scheduler_site import wait_until
from camphorchute.runs.zone_availability import ZoneAvailability

ZONES = ("north", "south")
AT_ONCE_S = 0.25


class SetZones(ZoneAvailability):
    """Shares of zones that the test sets; zones without one are in full service."""

    def __init__(self, **shares):
        self.shares = shares

    def is_evacuated(self, zone):
        return self.shares.get(zone) == 0.0

    def offered_share(self, zone, now_s):
        return self.shares.get(zone, 1.0)


def open_site(worker_zones=ZONES, **shares):
    """Return an owner that follows a scheduler in each zone, and the shares of the zones."""
    site, zones = Site(), SetZones(**shares)
    site.capacity_view.service_zones = ServiceZones(lambda service: worker_zones, zones)
    for zone in worker_zones:
        report_capacity(site, zone, 32_000)
    return site, zones.shares


def report_capacity(site, zone, millicores):
    workers = [WorkerFreeCapacity(Resources(millicores, 65_536), 1.0)]
    capacity = Resources(millicores, 65_536)
    report = GroupFreeCapacity(f"{zone}/flags/0", "flags", capacity, {}, workers)
    member = Member(f"h-{zone}", zone, "vm", "", f"{zone}:1", f"{zone}:2")
    site.capacity_view.handle_report(member, RoomReport([report]))


def assert_refused_as_evacuated(site):
    """Check that the job is refused at once, as not run and with a time to come back."""
    assert wait_until(lambda: site.outcome is not None, AT_ONCE_S)
    assert site.outcome.code is ResultCode.EVACUATED
    assert site.outcome.retry_after_ms > 0
    assert site.counts["queues.refused.evacuated"] == 1
    assert not {"queues.refused.no_worker", "queues.refused.overloaded"} & set(site.counts)


@pytest.mark.parametrize(
    ("shares", "dispatched_to"),
    [
        ({}, {"h-north", "h-south"}),
        ({"north": 0.0}, {"h-south"}),
        ({"south": 0.0}, {"h-north"}),
        ({"nowhere": 0.0}, {"h-north", "h-south"}),
        ({"north": 0.5}, {"h-north", "h-south"}),
    ],
    ids=["none", "north", "south", "unknown zone", "north returns"],
)
def test_tasks_are_planned_outside_of_evacuated_zones(shares, dispatched_to):
    site, _ = open_site(**shares)
    site.submit(4)
    assert {command[0] for command in site.take_start_commands()} == dispatched_to


@pytest.mark.parametrize("worker_zones", [("north",), ZONES])
def test_job_is_refused_at_once_if_no_zone_is_left(worker_zones):
    site, _ = open_site(worker_zones, **dict.fromkeys(worker_zones, 0.0))
    started_s = time.monotonic()
    site.submit(1)
    assert_refused_as_evacuated(site)
    assert time.monotonic() - started_s < AT_ONCE_S
    assert site.take_start_commands() == []


def test_service_without_listed_workers_is_not_refused_as_evacuated():
    site, _ = open_site((), north=0.0)
    site.submit(1)
    assert wait_until(lambda: site.outcome is not None)
    assert site.outcome.code is ResultCode.NO_WORKER


def test_job_is_refused_as_evacuated_while_no_worker_has_returned_yet():
    """An evacuated zone is not a lack of workers, nor is one that has just been taken back."""
    site, _ = open_site(("north",), north=0.1)
    report_capacity(site, "north", 0)
    site.submit(1)
    assert_refused_as_evacuated(site)


def test_accepted_job_is_refused_at_once_when_its_tasks_return_from_the_last_zone():
    """Such a job was held until its start limit although none of its tasks could start."""
    site, shares = open_site(("north",))
    site.submit(2)
    assert len(site.take_start_commands()) == 1
    shares["north"] = 0.0
    site.report_end("h-north", TaskResultKind.NOT_STARTED, 0, run=0)
    assert site.outcome is None
    site.report_end("h-north", TaskResultKind.NOT_STARTED, 1, run=0)
    assert_refused_as_evacuated(site)


def test_returned_tasks_are_placed_in_another_zone():
    site, shares = open_site()
    site.submit(2)
    (command,) = site.take_start_commands()
    evacuated = command[0].removeprefix("h-")
    shares[evacuated] = 0.0
    site.report_end(command[0], TaskResultKind.NOT_STARTED, 0, 1, run=0)
    other = next(zone for zone in ZONES if zone != evacuated)
    assert wait_until(lambda: site.peers.sent)
    assert [(c[0], c[1]) for c in site.take_start_commands()] == [(f"h-{other}", [0, 1])]


def test_job_with_a_started_task_is_not_refused_as_not_run():
    site, shares = open_site(("north",))
    site.submit(2)
    shares["north"] = 0.0
    site.report_end("h-north", TaskResultKind.NOT_STARTED, 0, run=1)
    site.report_end("h-north", TaskResultKind.NOT_STARTED, 1, run=0)
    assert not wait_until(lambda: site.outcome is not None, AT_ONCE_S)
    site.take_start_commands()
    shares.clear()
    assert wait_until(lambda: len(site.peers.sent) == 1)
    site.report_end("h-north", TaskResultKind.DONE, 0, 1, run=2)
    assert wait_until(lambda: site.outcome is JobOutcome.DONE)
