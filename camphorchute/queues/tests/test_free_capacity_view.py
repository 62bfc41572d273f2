import pytest

from camphorchute.contracts.batch_job import BatchStep, QueueLimits
from camphorchute.contracts.member import Member
from camphorchute.contracts.resources import Resources
from camphorchute.contracts.run_messages import GroupRoom, RoomReport, WorkerRoom
from camphorchute.queues import RoomView

LIMITS = QueueLimits(1, 4, 1.6, 60.0)
FULL = Resources(32_000, 65_536)
EMPTY = Resources(0, 65_536)


def member(name):
    return Member(name, "north", "vm", "", f"{name}:1", f"{name}:2")


def step(tasks=1, estimate_ms=60.0, cpu=14_000):
    return BatchStep(tasks, Resources(cpu, 64), estimate_ms)


def group(name, rooms, waiting=None):
    capacity = Resources(32_000 * len(rooms), 65_536 * len(rooms))
    workers = [WorkerRoom(free, speed) for free, speed in rooms]
    return GroupRoom(name, "flags", capacity, waiting or {}, workers)


def view_of(*groups):
    view = RoomView()
    for number, room in enumerate(groups):
        view.hear(member(f"m{number}"), RoomReport([room]))
    return view


@pytest.mark.parametrize(
    ("rooms", "tasks", "estimate_ms", "placed"),
    [
        ([[(FULL, 1.0)], [(FULL, 1.0)]], 4, 60.0, {"g0": 2, "g1": 2}),
        ([[(FULL, 1.2)], [(FULL, 0.55)]], 2, 60.0, {"g1": 2}),
        ([[(FULL, 1.2)], [(FULL, 0.55)]], 2, 900.0, {"g0": 2}),
        ([[(FULL, 0.3)], [(FULL, 0.55)]], 2, 900.0, {"g1": 2}),
        ([[(EMPTY, 1.2)], [(FULL, 0.55)]], 2, 900.0, {"g1": 2}),
    ],
)
def test_plan_takes_the_workers_that_fit_the_aim(rooms, tasks, estimate_ms, placed):
    view = view_of(*(group(f"g{number}", room) for number, room in enumerate(rooms)))
    plan = view.plan("flags", step(tasks, estimate_ms), tasks, LIMITS)
    assert plan.placed == placed
    assert plan.without_room == 0
    assert plan.wait_ms == 0.0


def test_room_that_was_taken_is_not_planned_again():
    view = view_of(group("g0", [(FULL, 1.0)]))
    plan = view.plan("flags", step(2), 2, LIMITS)
    view.take(plan, step(2), LIMITS)
    again = view.plan("flags", step(2), 2, LIMITS)
    assert again.without_room == 2
    assert again.wait_ms > 0


@pytest.mark.parametrize(
    ("waiting", "expected"), [({}, 26.25), ({0: 3200.0}, 126.25), ({2: 3200.0}, 26.25)]
)
def test_wait_counts_the_backlog_of_the_same_and_higher_priority(waiting, expected):
    view = view_of(group("g0", [(EMPTY, 1.0)], waiting))
    plan = view.plan("flags", step(), 1, LIMITS)
    assert plan.wait_ms == pytest.approx(expected)


def test_waiting_tasks_go_where_the_backlog_is_least():
    view = view_of(
        group("g0", [(EMPTY, 1.0)], {0: 9000.0}), group("g1", [(EMPTY, 1.0)], {0: 100.0})
    )
    plan = view.plan("flags", step(3), 3, LIMITS)
    assert (plan.placed, plan.waiting) == ({}, {"g1": 3})


def test_full_group_gets_nothing_until_it_reports_again():
    view = view_of(group("g0", [(FULL, 0.55)]), group("g1", [(FULL, 1.0)]))
    view.mark_full("g0", step().demand)
    assert view.plan("flags", step(2), 2, LIMITS).placed == {"g1": 2}
    view.hear(member("m0"), RoomReport([group("g0", [(FULL, 0.55)])]))
    assert view.plan("flags", step(2), 2, LIMITS).placed == {"g0": 2}


def test_groups_that_a_home_no_longer_names_are_forgotten():
    view = view_of(group("g0", [(FULL, 1.0)]))
    assert view.home_of("g0").member_id == "m0"
    view.hear(member("m1"), RoomReport([group("g0", [(FULL, 1.0)])]))
    view.hear(member("m0"), RoomReport([]))
    assert view.home_of("g0").member_id == "m1"
    view.forget("m1")
    assert view.home_of("g0") is None


@pytest.mark.parametrize(
    ("service", "cpu", "fits"),
    [("flags", 14_000, True), ("flags", 64_000, False), ("walks", 14_000, False)],
)
def test_task_that_no_group_can_ever_hold(service, cpu, fits):
    view = view_of(group("g0", [(FULL, 1.0)]))
    assert view.can_ever_run(service, Resources(cpu)) is fits
