import gevent
import pytest

from camphorchute.contracts.kept_messages import AskKeptTasks, EndsSaved, SavedEnd
from camphorchute.contracts.run_messages import KeeperTerm, StopTasks, TaskEnd
from camphorchute.runs import leased_worker as module
from camphorchute.runs import shard_of
from camphorchute.runs.tests.home_site import GROUP, JOB, OWNER, HomeSite, until

SHARD = shard_of(JOB)
TERM = KeeperTerm(SHARD, 7)
LATER = KeeperTerm(SHARD, 9)


@pytest.fixture
def sites():
    opened = []

    def open_site(**fields):
        site = HomeSite(**fields)
        opened.append(site)
        home = site.add_home(7)
        assert until(lambda: all(worker.fence == 7 for worker in site.site.workers))
        return site, home

    yield open_site
    for site in opened:
        site.close()


def record(site):
    return [run for worker in site.site.workers for run in worker.record]


def ask(home, term=LATER):
    return home.kept.tell(OWNER, AskKeptTasks(term.shard, term.number))


def rows(home):
    return sorted((row.task, row.run, row.end) for row in ask(home).tasks)


def test_end_of_a_kept_task_is_acknowledged_once_it_is_saved(sites):
    site, home = sites()
    site.hand(home, tasks=2, term=TERM)
    assert until(lambda: len(site.results) == 2)
    gevent.sleep(0.2)
    assert not any(run.acknowledged for run in record(site))
    home.kept.ends_saved(OWNER, EndsSaved([SavedEnd(f"{JOB}.0.0.{n}", 1) for n in range(2)]))
    assert until(lambda: all(run.acknowledged for run in record(site)), 1.0)


def test_unsaved_end_does_not_make_the_home_call_without_pause(sites):
    """A worker that lists an end answers at once; the home had called it a thousand times."""
    site, home = sites(workers=1, run_ms=300.0)
    site.hand(home, tasks=1, term=TERM)
    assert until(lambda: site.results)
    site.hand(home, tasks=2, run=5, term=TERM)
    before = site.site.workers[0].calls["/hold"]
    gevent.sleep(0.25)
    assert site.site.workers[0].calls["/hold"] - before < 40


def test_every_failed_run_of_a_kept_task_goes_back_to_its_keeper(sites):
    site, home = sites()
    for worker in site.site.workers:
        worker.faults.fail = True
    site.hand(home, tasks=1, term=TERM)
    assert until(lambda: site.results)
    assert [(result.end, result.run) for result in site.results] == [(TaskEnd.FAILED, 1)]
    assert site.results[0].worker_id
    gevent.sleep(0.1)
    assert len(record(site)) == 1


def test_run_goes_on_without_its_keeper_and_a_waiting_task_does_not(sites):
    site, home = sites(workers=1, run_ms=300.0)
    site.hand(home, tasks=3, term=TERM)
    assert until(lambda: len(record(site)) == 2)
    home.owner_lost(OWNER.member_id)
    gevent.sleep(0.5)
    assert [run.how for run in record(site)] == ["done", "done"]


def test_new_keeper_is_told_of_all_that_may_run(sites):
    site, home = sites(workers=1, run_ms=300.0)
    site.hand(home, tasks=3, term=TERM)
    assert until(lambda: len(record(site)) == 2)
    names = [f"{JOB}.0.0.{index}" for index in range(3)]
    assert rows(home) == [(name, 1, None) for name in names]
    assert set(ask(home).workers) == set(site.entries())
    assert ask(home, KeeperTerm((SHARD + 1) % 32, 9)).tasks == []
    assert until(lambda: len(site.results) == 3)
    assert rows(home) == [(name, 1, TaskEnd.DONE) for name in names]
    home.kept.ends_saved(OWNER, EndsSaved([SavedEnd(name, 1) for name in names]))
    assert rows(home) == []


def test_worker_that_has_not_answered_yet_is_not_told_as_known(sites):
    site, home = sites()
    home.take_group(GROUP, "flags", 8)
    assert ask(home).workers == []
    assert until(lambda: set(ask(home).workers) == set(site.entries()))


@pytest.mark.parametrize(("term", "obeyed"), [(TERM, False), (LATER, True)])
def test_orders_of_an_earlier_keeper_are_not_obeyed(sites, term, obeyed):
    site, home = sites(run_ms=600.0)
    site.hand(home, tasks=1, term=TERM)
    assert until(lambda: len(record(site)) == 1)
    ask(home, LATER)
    site.hand(home, tasks=2, run=5, term=term)
    gevent.sleep(0.05)
    assert (len(record(site)) == 2) is obeyed
    home.stop_tasks(OWNER, StopTasks(JOB, term))
    gevent.sleep(0.1)
    assert all(run.how == "stopped" for run in record(site)) is obeyed


def test_kept_task_that_is_not_found_is_not_run_again_by_the_home(sites):
    """Its worker had moved to another group and held its end as done."""
    site, home = sites()
    site.hand(home, tasks=1, run=2, may_run=True, term=TERM, on="elsewhere")
    assert until(lambda: site.results)
    assert [result.end for result in site.results] == [TaskEnd.NOT_FOUND]
    assert record(site) == []


@pytest.mark.parametrize("may_forget", [True, False])
def test_end_that_nobody_asks_for_is_forgotten_unless_a_keeper_may_come(
    sites, monkeypatch, may_forget
):
    monkeypatch.setattr(module, "ORPHAN_END_MS", 300.0)
    monkeypatch.setattr(module, "IDLE_LOOK_S", 0.1)
    site, home = sites()
    home.may_forget = lambda: may_forget
    site.hand(home, tasks=1, term=TERM)
    assert until(lambda: site.results)
    gevent.sleep(1.0)
    assert all(run.acknowledged for run in record(site)) is may_forget


@pytest.mark.parametrize("is_kept", [True, False])
def test_end_left_by_an_earlier_home_is_acknowledged_at_once_unless_kept(sites, is_kept):
    """After a takeover the home had called its workers 60 times a second each for 10 s."""
    site, first = sites(run_ms=150.0)
    site.hand(first, tasks=1)
    assert until(lambda: len(record(site)) == 1)
    first.close()
    second = site.add_home(9)
    second.is_kept = lambda job_id: is_kept
    assert until(lambda: record(site)[0].how == "done")
    gevent.sleep(0.3)
    assert record(site)[0].acknowledged is not is_kept
