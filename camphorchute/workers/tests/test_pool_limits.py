import msgspec
import pytest

from camphorchute.services.definition import Limits, ServiceDefinition, Worker
from camphorchute.workers.pool_limits import PoolLimits
from camphorchute.workers.tests.fakes import SchedulerHarness

WORKERS = [
    Worker("w0", "127.0.2.0:9000", "north", slots=6),
    Worker("w1", "127.0.2.1:9000", "north", slots=2),
    Worker("w2", "127.0.2.2:9000", "south", slots=8),
]


def make_limits(own_addresses=("127.0.2.0:9000",), **limits):
    pool_limits = PoolLimits()
    pool_limits.apply_definition(
        ServiceDefinition("flags", WORKERS, limits=Limits(**limits)), own_addresses
    )
    return pool_limits


@pytest.mark.parametrize(
    "limits, own, busy, allowed",
    [
        ({}, (0,), 100, None),
        ({"concurrent_tasks": 4}, (0,), 0, 3),
        ({"concurrent_tasks": 4}, (1,), 0, 1),
        ({"concurrent_tasks": 4}, (0, 1), 1, 3),
        ({"concurrent_tasks": 4}, (0,), 9, 0),
        ({"concurrent_tasks": 1}, (1,), 0, 1),
        ({"start_rate_per_s": 40.0}, (0,), 0, 30),
        ({"start_rate_per_s": 40.0, "concurrent_tasks": 4}, (0,), 1, 2),
    ],
)
def test_a_scheduler_gets_its_share_of_the_limits_of_a_zone(limits, own, busy, allowed):
    pool_limits = make_limits([WORKERS[i].address for i in own], **limits)
    assert pool_limits.allowance(busy, 0.0) == allowed


def test_the_start_rate_refills_up_to_the_tasks_of_one_second():
    pool_limits = make_limits(start_rate_per_s=40.0)
    pool_limits.record_starts(30)
    assert pool_limits.allowance(0, 0.0) == 0
    assert pool_limits.allowance(0, 100.0) == 3
    assert pool_limits.allowance(0, 10_000.0) == 30


def test_a_new_definition_does_not_refill_the_start_rate():
    pool_limits = make_limits(start_rate_per_s=40.0)
    pool_limits.record_starts(30)
    pool_limits.apply_definition(
        ServiceDefinition("flags", WORKERS, limits=Limits(start_rate_per_s=40.0)), ()
    )
    assert pool_limits.allowance(0, 0.0) == 0


@pytest.mark.parametrize("limits", [{"concurrent_tasks": 3}, {"start_rate_per_s": 3.0}])
def test_no_more_tasks_start_than_the_limits_of_the_service_allow(limits):
    harness = SchedulerHarness(slots=8)
    harness.scheduler.set_workers(
        ServiceDefinition("flags", harness.workers, limits=Limits(**limits)), harness.workers
    )
    harness.dispatch(indices=range(8))
    harness.step()
    assert sum(map(len, harness.back_end.batches)) == 3
    assert [name for name, _ in harness.owner_reports()] == ["NO_SLOT"] * 5
    harness.step(1000)
    harness.dispatch("later", indices=range(8), granted=harness.granted_slots())
    harness.step()
    started = sum(map(len, harness.back_end.batches))
    assert started == (3 if "concurrent_tasks" in limits else 6)


def test_running_tasks_continue_when_only_the_scheduler_of_their_worker_changes():
    harness = SchedulerHarness(slots=8)
    harness.dispatch()
    harness.step()
    harness.scheduler.set_workers(ServiceDefinition("flags", harness.workers, drain_ms=1000.0), [])
    harness.step(1100)
    assert harness.owner_reports() == []
    harness.back_end.finish("job-0")
    harness.step()
    assert harness.owner_reports() == [("COMPLETE", 0)]


@pytest.mark.parametrize("leaving", ["drained", "removed"])
def test_running_tasks_are_lost_and_stopped_when_the_drain_time_has_passed(leaving):
    harness = SchedulerHarness(slots=8)
    harness.dispatch()
    harness.step()
    drained = [msgspec.structs.replace(worker, draining=True) for worker in harness.workers]
    listed = [] if leaving == "removed" else drained
    harness.scheduler.set_workers(ServiceDefinition("flags", listed, drain_ms=1000.0), listed)
    harness.step(900)
    assert harness.owner_reports() == []
    harness.step(200)
    assert harness.owner_reports() == [("WORKER_LOST", 0)]
    harness.step(200)
    assert harness.back_end.calls["stop_job"] >= 1
