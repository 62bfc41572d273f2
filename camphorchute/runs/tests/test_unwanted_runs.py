import gevent
import pytest

from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import StopTasks
from camphorchute.runs.tests.model_workers import Held
from camphorchute.runs.tests.scheduler_site import (
    GROUP,
    JOB_ID,
    OWNER,
    start_message,
    wait_until,
)

OTHER_GROUP = "north/flags/1"
OTHER_OWNER = Member("owner2", "north", "vm2", "", "127.0.0.1:3", "127.0.0.1:4")
OTHER_JOB_ID = "6d1f9b32e85c4a07"
REPEATED_AFTER_S = 1.3
STOPS = 500


def dispatch_other_job(scheduler):
    """Dispatch a task of a job that is wanted until the end of the test."""
    message = start_message()
    message.job_id = OTHER_JOB_ID
    scheduler.start_tasks(OWNER, message)


def run_beside_a_wanted_run(site):
    """Start a task and one of another job on w0, all of whose stop commands are late."""
    site.workers["w0"].slots = 3
    scheduler = site.add_scheduler(7, worker_ids=["w0"])
    site.workers["w0"].held["stop"] += [Held() for _ in range(STOPS)]
    site.dispatch(scheduler)
    dispatch_other_job(scheduler)
    assert wait_until(lambda: len(site.workers["w0"].active()) == 2)
    return scheduler


def stop_by_the_owner(site):
    """End the job at its owner."""
    run_beside_a_wanted_run(site).stop_tasks(OWNER, StopTasks(JOB_ID))


def hand_the_group_over(site):
    """Hand the group to a scheduler whose tasks include the neighbour only."""
    run_beside_a_wanted_run(site).release_group(GROUP)
    heir = site.add_scheduler(8, worker_ids=["w0"])
    message = start_message(run=2, may_run=True, worker_id="w0")
    message.job_id = OTHER_JOB_ID
    heir.start_tasks(OWNER, message)


def stop_and_start_another_task(site):
    """End the job at its owner, and dispatch a further task to the worker."""
    scheduler = run_beside_a_wanted_run(site)
    scheduler.stop_tasks(OWNER, StopTasks(JOB_ID))
    gevent.sleep(0.5)
    message = start_message()
    message.job_id = "7e20ac43f96d5b18"
    scheduler.start_tasks(OWNER, message)


@pytest.mark.parametrize(
    "end_job", [stop_by_the_owner, hand_the_group_over, stop_and_start_another_task]
)
def test_unwanted_run_whose_stop_is_late_ends_with_its_lease(open_model, end_job):
    """A wanted run on the same worker had the leases renewed while the task was started again."""
    site = open_model(run_s=6.0)
    end_job(site)
    gevent.sleep(REPEATED_AFTER_S)
    second = site.add_scheduler(9, OTHER_GROUP, ["w1"])
    site.dispatch(second, OTHER_GROUP, OTHER_OWNER)
    assert wait_until(lambda: site.workers["w1"].active())
    gevent.sleep(0.3)
    assert site.overlaps() == []


def test_wanted_run_outlives_a_stop_that_is_confirmed_on_time(open_model):
    """Leases were no longer renewed after a neighbour was stopped."""
    site = open_model(run_s=2.5)
    scheduler = site.add_scheduler(7, worker_ids=["w0"])
    site.dispatch(scheduler)
    dispatch_other_job(scheduler)
    assert wait_until(lambda: len(site.workers["w0"].active()) == 2)
    scheduler.stop_tasks(OWNER, StopTasks(JOB_ID))
    assert wait_until(lambda: len(site.results) == 2)
    assert sorted(result.end.name for result in site.results) == ["DONE", "NOT_STARTED"]
