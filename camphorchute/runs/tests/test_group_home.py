import gevent
import pytest

from camphorchute.contracts.run_messages import KeeperTerm, StopTasks, TaskEnd
from camphorchute.runs.tests.home_site import GROUP, OWNER, HomeSite, start_message, until


@pytest.fixture
def sites():
    opened = []

    def open_site(**fields):
        opened.append(HomeSite(**fields))
        return opened[-1]

    yield open_site
    for site in opened:
        site.close()


def test_tasks_run_once_and_their_ends_are_told(sites):
    site = sites()
    home = site.add_home(7)
    site.hand(home, tasks=9)
    assert until(lambda: len(site.results) == 9)
    assert set(site.ends().values()) == {TaskEnd.DONE}
    assert len(site.site.starts()) == 9
    assert max(worker.fence for worker in site.site.workers) == 7


def test_room_is_reported_as_it_is_taken_and_freed(sites):
    site = sites(run_ms=150.0)
    home = site.add_home(7)
    assert until(lambda: sum(w.free.cpu_millicores for w in home.room()[0].workers) == 56_000)
    site.hand(home, tasks=3)
    assert sum(w.free.cpu_millicores for w in home.room()[0].workers) == 14_000
    assert until(lambda: len(site.results) == 3)
    assert sum(w.free.cpu_millicores for w in home.room()[0].workers) == 56_000


def test_task_that_finds_no_room_in_time_is_handed_back_unstarted(sites):
    site = sites(workers=1, run_ms=500.0)
    home = site.add_home(7)
    assert until(lambda: site.site.workers[0].fence == 7)
    site.hand(home, tasks=3, within_ms=100.0)
    assert until(lambda: site.results)
    assert [(r.end, r.run) for r in site.results] == [(TaskEnd.NOT_STARTED, 0)]
    assert len(site.site.starts()) == 2


def test_tasks_without_room_are_handed_back_at_once_where_asked(sites):
    """Tasks had waited for room at one home while there was room at another."""
    site = sites(workers=1, run_ms=400.0)
    home = site.add_home(7)
    assert until(lambda: site.site.workers[0].fence == 7)
    site.hand(home, tasks=5, back=True)
    assert until(lambda: len(site.results) == 3, 0.2)
    assert [(r.end, r.run) for r in site.results] == [(TaskEnd.NO_ROOM, 0)] * 3
    assert until(lambda: len(site.results) == 5)
    assert len(site.site.starts()) == 2


def test_failed_runs_are_repeated_up_to_the_limit(sites):
    site = sites()
    home = site.add_home(7)
    for worker in site.site.workers:
        worker.faults.fail = True
    site.hand(home, tasks=1)
    assert until(lambda: site.results)
    assert site.ends() == {0: TaskEnd.FAILED}
    assert len(site.site.starts()) == 3


def test_stop_ends_runs_and_waiting_tasks(sites):
    site = sites(workers=1, run_ms=900.0)
    home = site.add_home(7)
    site.hand(home, tasks=4)
    assert until(lambda: len(site.running()) == 2)
    site.stop(home)
    assert until(lambda: not site.running(), 0.5)
    assert until(lambda: len(site.results) == 4)


@pytest.mark.parametrize("fault", ["lose_answers", "skip_orders"])
def test_start_without_an_answer_never_runs_twice_at_once(sites, fault):
    site = sites(run_ms=300.0)
    home = site.add_home(7)
    assert until(lambda: all(worker.fence == 7 for worker in site.site.workers))
    for worker in site.site.workers:
        setattr(worker.faults, fault, 1)
    site.hand(home, tasks=4)
    assert until(lambda: len(site.results) == 4)
    assert set(site.ends().values()) == {TaskEnd.DONE}
    assert site.site.overlaps() == []


def test_worker_that_falls_silent_holds_its_tasks_until_its_leases_are_over(sites):
    site = sites(run_ms=400.0)
    home = site.add_home(7)
    site.hand(home, tasks=2)
    assert until(lambda: len(site.running()) == 2)
    busy = [worker for worker in site.site.workers if worker.record]
    for worker in busy:
        worker.faults.hang = True
    assert until(lambda: len(site.results) == 2)
    assert set(site.ends().values()) == {TaskEnd.DONE}
    assert site.site.overlaps() == []


def test_next_home_adopts_the_runs_of_a_released_group(sites):
    site = sites(run_ms=400.0)
    first = site.add_home(7)
    site.hand(first, tasks=3)
    assert until(lambda: len(site.running()) == 3)
    first.drop_group(GROUP)
    assert until(lambda: len(site.results) == 3)
    assert set(site.ends().values()) == {TaskEnd.MAY_RUN}
    second = site.add_home(9)
    site.hand_on(second)
    assert until(lambda: len(site.results) == 3)
    assert set(site.ends().values()) == {TaskEnd.DONE}
    assert len(site.site.starts()) == 3


def test_adoption_takes_a_run_under_way_before_an_earlier_end(sites):
    """A fenced home had restarted a task whose first run ended without being acknowledged."""
    site = sites(workers=1, run_ms=700.0)
    first = site.add_home(7)
    site.hand(first, tasks=1)
    assert until(lambda: len(site.running()) == 1)
    worker = site.site.workers[0]
    worker._end(worker._running[worker.record[0].task], "lapsed")
    assert until(lambda: len(worker.record) == 2)
    worker._ends = [[1, worker.record[0].task, 1, "lapsed", ""]]
    first.drop_group(GROUP)
    assert until(lambda: site.results)
    site.results.clear()
    second = site.add_home(9)
    site.hand(second, tasks=1, run=3, may_run=True)
    assert until(lambda: site.results)
    assert site.ends() == {0: TaskEnd.DONE}
    assert site.site.overlaps() == []
    assert len(worker.record) == 2


def test_worker_that_discovery_lost_blocks_tasks_that_may_run_there(sites):
    """A cut worker had left service discovery while its earlier home still held its runs."""
    site = sites(run_ms=900.0)
    first = site.add_home(7)
    site.hand(first, tasks=1)
    assert until(lambda: len(site.running()) == 1)
    busy = next(worker for worker in site.site.workers if worker.record)
    busy_id = busy._worker_id
    second = site.add_home(9)
    entries = site.entries()
    busy.faults.hang = True
    second.take_group(GROUP, "flags", 11)
    second.set_workers(GROUP, {k: v for k, v in entries.items() if k != busy_id})
    site.hand(second, tasks=1, run=2, may_run=True)
    gevent.sleep(0.6)
    assert site.site.overlaps() == []
    assert len(site.site.starts()) == 1


@pytest.mark.parametrize("named", [True, False])
def test_worker_that_the_next_home_never_knew_blocks_its_tasks(sites, named):
    """A cut worker had left service discovery before the next home claimed its group."""
    site = sites(run_ms=900.0)
    first = site.add_home(7)
    site.hand(first, tasks=1)
    assert until(lambda: len(site.running()) == 1)
    busy_id = next(worker for worker in site.site.workers if worker.record)._worker_id
    first.drop_group(GROUP)
    assert until(lambda: site.results)
    assert site.results[0].worker_id == busy_id
    second = site.add_home(9)
    second.drop_group(GROUP)
    second.take_group(GROUP, "flags", 9)
    second.set_workers(GROUP, {k: v for k, v in site.entries().items() if k != busy_id})
    site.results.clear()
    on = busy_id if named else ""
    site.hand(second, tasks=1, run=2, may_run=True, on=on)
    assert until(lambda: site.ends() == {0: TaskEnd.DONE})
    assert site.site.overlaps() == []


def test_stop_without_an_answer_is_repeated(sites):
    site = sites(workers=1, run_ms=3000.0)
    home = site.add_home(7)
    site.hand(home, tasks=1)
    assert until(lambda: len(site.running()) == 1)
    worker = site.site.workers[0]
    worker.faults.hang = True
    site.stop(home)
    gevent.sleep(0.2)
    worker.faults.hang = False
    assert until(lambda: not site.running(), 1.5)
    assert worker.record[0].how in ("stopped", "lapsed")


def test_lost_owner_has_its_tasks_stopped(sites):
    site = sites(run_ms=3000.0)
    home = site.add_home(7)
    site.hand(home, tasks=3)
    assert until(lambda: len(site.running()) == 3)
    home.owner_lost(OWNER.member_id)
    assert until(lambda: not site.running(), 1.0)


def test_orphans_that_nobody_asks_for_are_stopped(sites):
    site = sites(run_ms=5000.0)
    first = site.add_home(7)
    site.hand(first, tasks=2)
    assert until(lambda: len(site.running()) == 2)
    first.drop_group(GROUP)
    site.add_home(9)
    assert until(lambda: not site.running(), 2.0)
    assert {run.how for worker in site.site.workers for run in worker.record} == {"stopped"}


def test_draining_worker_gets_no_new_task(sites):
    site = sites()
    home = site.add_home(7)
    site.site.workers[0].register("draining")
    home.set_workers(GROUP, site.entries())
    site.hand(home, tasks=6)
    assert until(lambda: len(site.results) == 6)
    assert site.site.workers[0].record == []


def test_fenced_home_asks_for_its_claim_to_be_checked(sites):
    site = sites()
    first = site.add_home(7)
    assert until(lambda: all(worker.fence == 7 for worker in site.site.workers))
    site.add_home(9)
    assert until(lambda: all(worker.fence == 9 for worker in site.site.workers))
    site.hand(first, tasks=1)
    assert until(lambda: first.fenced_groups == {GROUP})
    assert site.site.starts() == []


def test_worker_that_moves_to_another_group_takes_its_runs_along(sites):
    """Its runs had been taken for ended after a lease, and were run again beside themselves."""
    site = sites(workers=1, run_ms=700.0)
    first = site.add_home(7)
    site.hand(first, tasks=2)
    assert until(lambda: len(site.running()) == 2)
    entries = site.entries()
    first.set_workers(GROUP, {}, dict.fromkeys(entries, "north/flags/1"))
    assert until(lambda: len(site.results) == 2)
    assert {(r.end, r.worker_id, r.group) for r in site.results} == {
        (TaskEnd.MAY_RUN, "north-w0", "north/flags/1")
    }
    second = site.add_home(9)
    site.hand_on(second)
    assert until(lambda: len(site.results) == 2)
    assert set(site.ends().values()) == {TaskEnd.DONE}
    assert len(site.site.starts()) == 2


@pytest.mark.parametrize(
    ("may_run", "term", "end"),
    [
        (False, None, TaskEnd.NOT_STARTED),
        (True, None, TaskEnd.MAY_RUN),
        (True, KeeperTerm(1, 1), TaskEnd.NOT_FOUND),
    ],
)
def test_tasks_handed_to_a_process_without_the_group(sites, may_run, term, end):
    site = sites()
    home = site.add_home(7)
    home.drop_group(GROUP)
    site.hand(home, tasks=1, may_run=may_run, term=term)
    assert until(lambda: site.results)
    assert [result.end for result in site.results] == [end]


@pytest.mark.parametrize(
    ("may_run", "end"), [(True, TaskEnd.MAY_RUN), (False, TaskEnd.NOT_STARTED)]
)
@pytest.mark.parametrize("how", ["late", "stopped", "group given up"])
def test_task_that_may_run_is_never_handed_back_as_not_started(sites, how, may_run, end):
    """A job had been refused as not run at its deadline, while a run of a lost home went on."""
    site = sites(workers=1, run_ms=2000.0)
    home = site.add_home(7)
    site.hand(home, tasks=2)
    assert until(lambda: len(site.running()) == 2)
    within_ms = 60.0 if how == "late" else 4000.0
    message = start_message(may_run=may_run, within_ms=within_ms)
    message.job_id = "other"
    home.start_tasks(OWNER, message)
    if how == "stopped":
        home.stop_tasks(OWNER, StopTasks("other"))
    elif how == "group given up":
        home.drop_group(GROUP)
    assert until(lambda: end in [result.end for result in site.results])


def test_run_of_a_worker_that_came_back_is_adopted_and_not_started_beside_itself(sites):
    """After a cut zone had healed, a run was started again while its worker was renewed."""
    site = sites(workers=2, run_ms=1900.0)
    home = site.add_home(7)
    assert until(lambda: all(worker.fence == 7 for worker in site.site.workers))
    site.hand(home, tasks=1)
    assert until(lambda: len(site.running()) == 1)
    entries = site.entries()
    home.set_workers(GROUP, {})
    gevent.sleep(0.7)
    home.set_workers(GROUP, entries)
    assert until(lambda: site.results)
    assert site.ends() == {0: TaskEnd.DONE}
    assert site.site.overlaps() == []
