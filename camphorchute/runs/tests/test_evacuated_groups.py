import pytest

from camphorchute.contracts.run_messages import TaskResultKind
from camphorchute.runs.tests.scheduler_site import GROUP, wait_until
from camphorchute.runs.zone_availability import ZoneAvailability

WORKER_MILLICORES = 28_000


class SetAvailability(ZoneAvailability):
    """A zone availability that the test sets."""

    def __init__(self, share=1.0, is_known=True):
        self.share = share
        self.known = is_known

    def is_known(self):
        return self.known

    def is_evacuated(self, zone):
        return self.known and self.share == 0.0

    def offered_share(self, zone, now_s):
        return self.share if self.known else 0.0


def start_scheduler(site, fence=7, **fields):
    """Return a scheduler whose workers are synchronised, and the availability of its zone."""
    availability = SetAvailability(**fields)
    scheduler = site.add_scheduler(fence)
    scheduler.zone_availability = availability
    scheduler.release_group(GROUP)
    scheduler.acquire_group(GROUP, "flags", fence)
    scheduler.set_workers(GROUP, site.entries())
    assert wait_until(
        lambda: all(worker.synced for worker in scheduler.group(GROUP).workers.values())
    )
    return scheduler, availability


def offered_ids(scheduler):
    """Return the ids of the workers with reported free capacity, and the reported capacity."""
    if not scheduler.free_capacity_report():
        return [], 0
    (report,) = scheduler.free_capacity_report()
    ids = [
        worker_id
        for worker_id, row in zip(scheduler.group(GROUP).workers, report.workers, strict=True)
        if row.free.cpu_millicores
    ]
    return ids, report.capacity.cpu_millicores


def test_tasks_for_an_evacuated_zone_are_returned_at_once_and_nothing_is_offered(open_site):
    site = open_site()
    scheduler, _ = start_scheduler(site, share=0.0)
    site.dispatch_tasks(scheduler, tasks=3)
    assert wait_until(lambda: len(site.results) == 3, 0.2)
    assert [(result.end, result.run) for result in site.results] == [
        (TaskResultKind.NOT_STARTED, 0)
    ] * 3
    assert site.counts["runs.returned.evacuated"] == 3
    assert offered_ids(scheduler) == ([], 0)
    assert site.fleet.started_tasks() == []


def test_evacuation_returns_pending_tasks_and_lets_running_ones_end(open_site):
    site = open_site(workers=1, run_ms=1500.0)
    scheduler, availability = start_scheduler(site)
    site.dispatch_tasks(scheduler, tasks=4, start_within_ms=4000.0)
    assert wait_until(lambda: len(site.active_runs()) == 2)
    reported = []
    scheduler.on_capacity_changed = lambda: reported.append(offered_ids(scheduler))
    availability.share = 0.0
    assert wait_until(lambda: len(site.results) == 2, 1.0)
    assert set(site.outcomes().values()) == {TaskResultKind.NOT_STARTED}
    assert ([], 0) in reported
    assert wait_until(lambda: len(site.results) == 4)
    assert list(site.outcomes().values()).count(TaskResultKind.DONE) == 2
    assert len(site.fleet.started_tasks()) == 2


def test_failed_run_in_an_evacuated_zone_is_not_repeated_there(open_site):
    """The owner must learn that a run was started, so that the job never counts as not run."""
    site = open_site(workers=2, run_ms=300.0)
    scheduler, availability = start_scheduler(site)
    for worker in site.fleet.workers:
        worker.faults.fail = True
    site.dispatch_tasks(scheduler, tasks=1)
    assert wait_until(lambda: site.active_runs())
    availability.share = 0.0
    assert wait_until(lambda: site.results)
    assert [(result.end, result.run) for result in site.results] == [
        (TaskResultKind.NOT_STARTED, 1)
    ]
    assert len(site.fleet.started_tasks()) == 1


def test_next_scheduler_adopts_runs_of_an_evacuated_zone(open_site):
    """A run whose task was returned as not started would run twice at a time."""
    site = open_site(run_ms=900.0)
    first, _ = start_scheduler(site)
    site.dispatch_tasks(first, tasks=3)
    assert wait_until(lambda: len(site.active_runs()) == 3)
    first.release_group(GROUP)
    assert wait_until(lambda: len(site.results) == 3)
    second, _ = start_scheduler(site, fence=9, share=0.0)
    site.redispatch_returned(second)
    assert wait_until(lambda: len(site.results) == 3)
    assert set(site.outcomes().values()) == {TaskResultKind.DONE}
    assert len(site.fleet.started_tasks()) == 3


def test_task_whose_earlier_run_has_failed_is_returned_once_that_is_known(open_site):
    site = open_site(run_ms=40.0)
    scheduler, _ = start_scheduler(site, share=0.0)
    site.dispatch_tasks(scheduler, tasks=1, run=3, may_run=True, worker_id="north-w0")
    assert wait_until(lambda: site.results)
    assert [(result.end, result.run) for result in site.results] == [
        (TaskResultKind.NOT_STARTED, 2)
    ]
    assert site.fleet.started_tasks() == []


def test_first_run_that_a_lost_scheduler_may_have_started_is_never_returned_as_not_run(open_site):
    """The run had ended and was acknowledged; its job was refused as not run."""
    site = open_site(run_ms=40.0)
    scheduler, _ = start_scheduler(site, share=0.0)
    site.dispatch_tasks(scheduler, tasks=1, run=1, may_run=True, start_within_ms=4000.0)
    assert wait_until(lambda: site.results)
    assert [(result.end, result.run) for result in site.results] == [
        (TaskResultKind.NOT_STARTED, 1)
    ]
    assert site.fleet.started_tasks() == []


def test_scheduler_that_does_not_know_the_operators_keys_starts_and_reports_nothing(open_site):
    site = open_site()
    scheduler, availability = start_scheduler(site, is_known=False)
    site.dispatch_tasks(scheduler, tasks=2)
    assert not wait_until(lambda: site.fleet.started_tasks() or site.results, 0.3)
    assert scheduler.free_capacity_report() == []
    availability.known = True
    assert wait_until(lambda: len(site.results) == 2)
    assert set(site.outcomes().values()) == {TaskResultKind.DONE}


@pytest.mark.parametrize(("share", "count"), [(0.1, 0), (0.25, 1), (0.5, 2), (0.99, 3), (1.0, 4)])
def test_share_of_the_workers_is_offered_and_used_by_ids_only(open_site, share, count):
    site = open_site(workers=4, run_ms=300.0)
    first, _ = start_scheduler(site, share=share)
    ids, capacity = offered_ids(first)
    assert (len(ids), capacity) == (count, count * WORKER_MILLICORES)
    first.release_group(GROUP)
    second, _ = start_scheduler(site, fence=9, share=share)
    assert offered_ids(second)[0] == ids
    site.dispatch_tasks(second, tasks=8)
    assert wait_until(lambda: len(site.fleet.started_tasks()) == 2 * count)
    assert sorted({run.worker_id for run in site.active_runs()}) == sorted(ids)


def test_growing_share_is_reported(open_site):
    site = open_site(workers=4)
    scheduler, availability = start_scheduler(site, share=0.25)
    reported = []
    scheduler.on_capacity_changed = lambda: reported.append(len(offered_ids(scheduler)[0]))
    for availability.share, count in ((0.5, 2), (0.75, 3), (1.0, 4)):
        assert wait_until(lambda count=count: count in reported, 1.0)
