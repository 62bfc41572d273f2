import time

import pytest

from camphorchute.cluster import WorkerCapacities
from camphorchute.cluster.worker_groups import WorkerGroups
from camphorchute.contracts.batch_job import BatchStep, QueueLimits
from camphorchute.contracts.member import Member
from camphorchute.contracts.resources import Resources
from camphorchute.contracts.run_messages import (
    GroupChange,
    GroupFreeCapacity,
    RoomReport,
    WorkerFreeCapacity,
)
from camphorchute.hosting import WorkerEntry
from camphorchute.queues import FreeCapacityView

LIMITS = QueueLimits(1, 4, 1.6, 60.0)
FULL = Resources(32_000, 65_536)
EMPTY = Resources(0, 65_536)


def make_member(name):
    return Member(name, "north", "vm", "", f"{name}:1", f"{name}:2")


def make_step(tasks=1, estimate_ms=60.0, cpu=14_000):
    return BatchStep(tasks, Resources(cpu, 64), estimate_ms)


def make_group(name, free_by_worker, backlog_core_ms=None):
    capacity = Resources(32_000 * len(free_by_worker), 65_536 * len(free_by_worker))
    workers = [WorkerFreeCapacity(free, speed) for free, speed in free_by_worker]
    return GroupFreeCapacity(name, "flags", capacity, backlog_core_ms or {}, workers)


def make_view(*groups):
    view = FreeCapacityView()
    for number, group_report in enumerate(groups):
        view.handle_report(make_member(f"m{number}"), RoomReport([group_report]))
    return view


@pytest.mark.parametrize(
    ("workers_by_group", "tasks", "estimate_ms", "placed"),
    [
        ([[(FULL, 1.0)], [(FULL, 1.0)]], 4, 60.0, {"g0": 2, "g1": 2}),
        ([[(FULL, 1.2)], [(FULL, 0.55)]], 2, 60.0, {"g1": 2}),
        ([[(FULL, 1.2)], [(FULL, 0.55)]], 2, 900.0, {"g0": 2}),
        ([[(FULL, 0.3)], [(FULL, 0.55)]], 2, 900.0, {"g1": 2}),
        ([[(EMPTY, 1.2)], [(FULL, 0.55)]], 2, 900.0, {"g1": 2}),
    ],
)
def test_plan_uses_workers_that_finish_within_the_aimed_time(
    workers_by_group, tasks, estimate_ms, placed
):
    view = make_view(
        *(make_group(f"g{number}", workers) for number, workers in enumerate(workers_by_group))
    )
    plan = view.plan("flags", make_step(tasks, estimate_ms), tasks, LIMITS)
    assert plan.placed == placed
    assert plan.pending_count == 0
    assert plan.wait_ms == 0.0


def test_reserved_capacity_is_not_planned_again():
    view = make_view(make_group("g0", [(FULL, 1.0)]))
    plan = view.plan("flags", make_step(2), 2, LIMITS)
    view.reserve(plan, make_step(2), LIMITS)
    second_plan = view.plan("flags", make_step(2), 2, LIMITS)
    assert second_plan.pending_count == 2
    assert second_plan.wait_ms > 0


@pytest.mark.parametrize(
    ("backlog_core_ms", "expected_ms"), [({}, 26.25), ({0: 3200.0}, 126.25), ({2: 3200.0}, 26.25)]
)
def test_wait_counts_the_backlog_of_the_same_and_higher_priority(backlog_core_ms, expected_ms):
    view = make_view(make_group("g0", [(EMPTY, 1.0)], backlog_core_ms))
    plan = view.plan("flags", make_step(), 1, LIMITS)
    assert plan.wait_ms == pytest.approx(expected_ms)


def test_pending_tasks_go_to_the_group_with_the_least_backlog():
    view = make_view(
        make_group("g0", [(EMPTY, 1.0)], {0: 9000.0}), make_group("g1", [(EMPTY, 1.0)], {0: 100.0})
    )
    plan = view.plan("flags", make_step(3), 3, LIMITS)
    assert (plan.placed, plan.pending) == ({}, {"g1": 3})


def test_full_group_is_not_planned_until_it_reports_again():
    view = make_view(make_group("g0", [(FULL, 0.55)]), make_group("g1", [(FULL, 1.0)]))
    view.mark_group_full("g0", make_step().demand)
    assert view.plan("flags", make_step(2), 2, LIMITS).placed == {"g1": 2}
    view.handle_report(make_member("m0"), RoomReport([make_group("g0", [(FULL, 0.55)])]))
    assert view.plan("flags", make_step(2), 2, LIMITS).placed == {"g0": 2}


def test_groups_that_a_scheduler_no_longer_reports_are_removed():
    view = make_view(make_group("g0", [(FULL, 1.0)]))
    assert view.scheduler_of("g0").member_id == "m0"
    view.handle_report(make_member("m1"), RoomReport([make_group("g0", [(FULL, 1.0)])]))
    view.handle_report(make_member("m0"), RoomReport([]))
    assert view.scheduler_of("g0").member_id == "m1"
    view.forget_member("m1")
    assert view.scheduler_of("g0") is None


# A paused scheduler that ran on took the tasks of its successor's group, which it could not start.
@pytest.mark.parametrize(
    ("fence", "later_fence", "scheduler"),
    [(7, 12, "m1"), (12, 7, "m0"), (0, 12, "m0"), (7, 0, "m0"), (7, 7, "m0")],
)
def test_report_of_a_superseded_scheduler_is_ignored(fence, later_fence, scheduler):
    counts = []
    view = FreeCapacityView(count=lambda name, n=1: counts.append(name))
    earlier, later = (make_group("g0", [(FULL, 1.0)]) for _ in range(2))
    earlier.fence, later.fence = fence, later_fence
    view.handle_report(make_member("m1"), RoomReport([later], 1))
    view.handle_report(make_member("m0"), RoomReport([earlier], 1))
    assert view.scheduler_of("g0").member_id == scheduler
    assert (counts == ["queues.report_superseded"]) is (scheduler == "m1")


def test_report_of_a_superseded_scheduler_counts_once_its_successor_is_silent(monkeypatch):
    view = FreeCapacityView()
    later, earlier = (make_group("g0", [(FULL, 1.0)]) for _ in range(2))
    later.fence, earlier.fence = 12, 7
    view.handle_report(make_member("m1"), RoomReport([later], 1))
    now_s = time.monotonic()
    monkeypatch.setattr(time, "monotonic", lambda: now_s + 3.0)
    view.handle_report(make_member("m0"), RoomReport([earlier], 1))
    assert view.scheduler_of("g0").member_id == "m0"


@pytest.mark.parametrize(
    ("service", "cpu", "can_run"),
    [("flags", 14_000, True), ("flags", 64_000, False), ("walks", 14_000, False)],
)
def test_task_can_run_only_where_a_group_has_the_capacity(service, cpu, can_run):
    view = make_view(make_group("g0", [(FULL, 1.0)]))
    assert view.can_ever_run(service, Resources(cpu)) is can_run


# Workers that had shrunk below a task's demand were taken to hold it together, and it waited.
@pytest.mark.parametrize(
    ("largest", "can_run"), [(10_000, False), (14_000, True), (32_000, True), (None, True)]
)
def test_task_can_run_only_where_one_worker_has_the_capacity(largest, can_run):
    group = make_group("g0", [(FULL, 1.0)] * 4)
    group.largest = None if largest is None else Resources(largest, 65_536)
    view = make_view(group)
    assert view.can_ever_run("flags", Resources(14_000)) is can_run


def make_change(group, workers, waiting_core_ms=None):
    changed = {index: WorkerFreeCapacity(free, 1.0) for index, free in workers.items()}
    return GroupChange(group, waiting_core_ms or {}, {}, 0.0, changed)


@pytest.mark.parametrize(
    ("number", "sender", "is_applied"), [(6, "m0", True), (7, "m0", False), (6, "m1", False)]
)
def test_change_is_applied_to_the_report_before_it_only(number, sender, is_applied):
    counts = []
    view = FreeCapacityView(count=lambda name, n=1: counts.append(name))
    scheduler = make_member("m0")
    view.handle_report(scheduler, RoomReport([make_group("g0", [(FULL, 1.0), (FULL, 1.0)])], 5))
    step = make_step(2)
    view.reserve(view.plan("flags", step, 2, LIMITS), step, LIMITS)
    change = make_change("g0", {1: EMPTY}, {0: 3200.0})
    view.handle_report(make_member(sender), RoomReport([], number, [change]))
    plan = view.plan("flags", make_step(4), 4, LIMITS)
    assert plan.placed == {"g0": 2}
    assert (plan.wait_ms > 50) is is_applied
    assert (counts == []) is is_applied
    view.handle_report(scheduler, RoomReport([make_group("g0", [(FULL, 1.0), (FULL, 1.0)])], 8))
    assert view.plan("flags", make_step(4), 4, LIMITS).placed == {"g0": 4}


def test_change_of_a_group_taken_over_does_not_hide_those_of_other_groups():
    """The other groups of the earlier scheduler were planned by old figures meanwhile."""
    counts = []
    view = FreeCapacityView(count=lambda name, n=1: counts.append(name))
    groups = [make_group(name, [(FULL, 1.0)]) for name in ("g0", "g1")]
    view.handle_report(make_member("m0"), RoomReport(groups, 5))
    view.handle_report(make_member("m1"), RoomReport([make_group("g0", [(FULL, 1.0)])], 1))
    changes = [make_change(name, {0: EMPTY}) for name in ("g0", "g1")]
    view.handle_report(make_member("m0"), RoomReport([], 6, changes))
    assert view.plan("flags", make_step(4), 4, LIMITS).placed == {"g0": 2}
    assert counts == ["queues.report_missed"]


def test_plan_ranks_each_kind_of_worker_once_and_is_used_for_the_dispatch():
    ranks = []

    def rank(candidate, estimate_ms, limits):
        ranks.append(candidate.speed)
        return (candidate.speed,)

    view = FreeCapacityView("g0", rank)
    group = make_group("g0/flags/0", [(FULL, 1.0)] * 6 + [(FULL, 0.8)] * 6)
    view.handle_report(make_member("m0"), RoomReport([group]))
    step = make_step(4)
    plan = view.plan("flags", step, 4, LIMITS)
    assert sorted(ranks) == [0.8, 1.0]
    assert view.plan("flags", step, 4, LIMITS) is plan
    view.reserve(plan, step, LIMITS)
    assert len(ranks) == 2
    assert view.plan("flags", step, 4, LIMITS) is not plan
    assert [worker.free.cpu_millicores for worker in group.workers] == [32_000] * 12


def test_tasks_do_not_wait_in_a_group_in_which_no_single_worker_holds_them():
    """Tasks for a worker with GPUs waited in groups where another worker had the processors."""
    entries = [("w1", Resources(32_000, 64)), ("w2", Resources(1000, 64, 2))]
    groups = WorkerGroups()
    for name, capacity in entries:
        groups.set_worker(WorkerEntry(name, 1, "", "flags", "north", capacity))
    groups.set_worker(WorkerEntry("w3", 1, "", "flags", "south", Resources(32_000, 64, 1)))
    largest, total = Resources(32_000, 64, 2), Resources(33_000, 128, 2)
    view = FreeCapacityView("north")
    view.capacities = WorkerCapacities(groups)
    for zone in ("north", "south"):
        report = GroupFreeCapacity(f"{zone}/flags/0", "flags", total, {}, [], largest=largest)
        view.handle_report(make_member(zone), RoomReport([report]))
    step = BatchStep(2, Resources(14_000, 64, 1), 60.0)
    assert view.plan("flags", step, 2, LIMITS).pending == {"south/flags/0": 2}
