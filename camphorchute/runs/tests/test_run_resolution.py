import gevent

from camphorchute.contracts.run_messages import StopTasks, TaskResultKind
from camphorchute.hosting import CommandUnanswered
from camphorchute.runs.tests.model_workers import Held
from camphorchute.runs.tests.scheduler_site import GROUP, JOB_ID, OWNER, start_message, wait_until
from camphorchute.runs.tests.test_concurrent_runs import OTHER_GROUP, OTHER_OWNER, TASK, fill_worker


def test_pending_task_dispatched_again_as_possibly_running_awaits_that_run(open_model):
    """Its owner says that a run may be active on w1; the task known here had none."""
    site = open_model(run_s=0.8)
    scheduler = site.add_scheduler(7, worker_ids=["w0"])
    fill_worker(site, scheduler)
    site.dispatch(scheduler)
    gevent.sleep(0.05)
    site.workers["w1"].start(TASK, 1)
    site.hold_group(scheduler, 8, OTHER_GROUP, ["w1", "w2"])
    site.dispatch(scheduler, OTHER_GROUP, OTHER_OWNER, run=2, may_run=True, worker_id="w1")
    assert wait_until(lambda: site.results, 4.0)
    gevent.sleep(0.5)
    assert site.overlaps() == []


def count_lists(worker):
    """Let each list take 1 ms, as over a connection; return the times of the lists."""
    lists, check = [], worker.check_fence

    def delayed(fence):
        lists.append(fence)
        gevent.sleep(0.001)
        check(fence)

    worker.check_fence = delayed
    return lists


def test_question_that_outlives_its_task_makes_no_busy_loop(open_model):
    """A worker was asked without a pause about an earlier run whose task had been returned."""
    site = open_model(workers=1, run_s=0.6)
    scheduler = site.add_scheduler(7)
    worker = site.workers["w0"]
    polls = count_lists(worker)
    held = Held()
    worker.held["stop"].append(held)
    site.dispatch(scheduler, run=1, may_run=True, worker_id="w0")
    assert held.sent.wait(1.0)
    scheduler.stop_tasks(OWNER, StopTasks(JOB_ID))
    site.dispatch(scheduler, owner=OTHER_OWNER)
    assert wait_until(lambda: worker.active())
    held.release()
    polls.clear()
    gevent.sleep(0.4)
    assert len(polls) < 20, len(polls)


def test_orphan_of_an_ended_incarnation_is_not_adopted(open_model):
    """Another scheduler's run was listed; the worker restarted, and its old listing is kept."""
    site = open_model(workers=2, run_s=0.3)
    scheduler = site.add_scheduler(7)
    worker = site.workers["w0"]
    worker.start(TASK, 1)
    message = start_message()
    message.job_id = "other"
    scheduler.start_tasks(OWNER, message)
    leased = scheduler.group(GROUP).workers["w0"]
    leased.request_poll()
    assert wait_until(lambda: TASK in leased.orphans, 1.0)
    worker.restart()
    leased.request_poll()
    assert wait_until(lambda: leased.has_ended, 1.0)
    site.results.clear()
    site.dispatch(scheduler, run=2, may_run=True)
    gevent.sleep(0.05)
    assert TASK not in leased.runs


def test_runs_of_a_restarted_worker_seen_in_the_listing_start_again_soon(open_model):
    """Its tasks waited for the expiry of leases that had ended with its earlier incarnation."""
    site = open_model(workers=2, run_s=0.5)
    scheduler = site.add_scheduler(7, worker_ids=["w0"])
    site.dispatch(scheduler)
    assert wait_until(lambda: site.workers["w0"].active())
    gevent.sleep(0.25)
    site.workers["w0"].restart()
    scheduler.set_workers(GROUP, site.entries(), site.groups())
    assert wait_until(lambda: any(w.active() for w in site.workers.values()), 0.6)


def test_start_on_a_worker_that_was_removed_before_it_was_sent_is_not_sent(open_model):
    """Its lease outlasted the wait for the runs of the worker, and the task started twice."""
    site = open_model(workers=2, run_s=2.0)
    scheduler = site.add_scheduler(7, worker_ids=["w0"])
    site.dispatch(scheduler)
    scheduler.set_workers(GROUP, {}, {})
    scheduler.set_workers(GROUP, site.entries(["w1"]), site.groups(GROUP, ["w1"]))
    gevent.sleep(2.5)
    assert site.overlaps() == []


def test_runs_of_a_restarted_worker_whose_poll_broke_off_start_again_soon(open_model):
    """The new incarnation could be asked at once, as for a run that is unresolved."""
    site = open_model(workers=2, run_s=0.5)
    scheduler = site.add_scheduler(7, worker_ids=["w0"])
    worker = site.workers["w0"]
    site.dispatch(scheduler)
    assert wait_until(lambda: worker.active())
    held = Held(CommandUnanswered("connection reset"))
    worker.held["list"].append(held)
    assert held.sent.wait(1.0)
    worker.restart()
    scheduler.set_workers(GROUP, site.entries(), site.groups())
    held.release()
    assert wait_until(lambda: any(w.active() for w in site.workers.values()), 0.8)


def test_acknowledged_start_of_a_listed_success_is_not_stopped(open_model):
    """The list of a short run overtook the answer to its start, and cost a stop command."""
    site = open_model(workers=1, run_s=0.05)
    scheduler = site.add_scheduler(7)
    held = Held()
    site.workers["w0"].held["start"] += [None, held]
    site.dispatch(scheduler, tasks=2)
    held.executes.set()
    assert wait_until(lambda: len(site.results) == 2, 1.0)
    held.answers.set()
    gevent.sleep(0.1)
    assert site.workers["w0"].barred == {}


def test_unresolved_run_of_a_job_that_started_in_time_is_not_returned(open_model):
    """Its task was returned as one that had not started in time."""
    site = open_model(run_s=0.6)
    scheduler = site.add_scheduler(7, worker_ids=["w0"])
    worker, held = site.workers["w0"], Held()
    worker.held["start"] += [None, held]
    site.dispatch(scheduler, tasks=2, start_within_ms=100.0)
    assert held.sent.wait(1.0)
    gevent.sleep(0.25)
    worker.restart()
    held.release()
    gevent.sleep(0.3)
    scheduler.set_workers(GROUP, site.entries(), site.groups())
    assert wait_until(lambda: len(site.results) == 2)
    assert [result.end for result in site.results] == [TaskResultKind.DONE] * 2


def test_ended_incarnation_reports_no_free_capacity(open_model):
    """Owners sent tasks to a worker that had restarted, until service discovery listed it."""
    site = open_model(workers=1, run_s=0.3)
    scheduler = site.add_scheduler(7)
    site.dispatch(scheduler)
    assert wait_until(lambda: site.workers["w0"].active())
    site.workers["w0"].restart()
    leased = scheduler.group(GROUP).workers["w0"]
    assert wait_until(lambda: leased.has_ended, 1.0)
    assert scheduler.free_capacity_report()[0].workers[0].free.cpu_millicores == 0


def test_question_about_a_returned_task_stops_no_run_of_its_repetition(open_model):
    """A stop command under way for an earlier run ended the run of the repeated job."""
    site = open_model(workers=1, run_s=0.3)
    count_lists(site.workers["w0"])
    scheduler = site.add_scheduler(7)
    held = Held()
    site.workers["w0"].held["stop"].append(held)
    site.dispatch(scheduler, run=3, may_run=True, worker_id="w0")
    assert held.sent.wait(1.0)
    scheduler.stop_tasks(OWNER, StopTasks(JOB_ID))
    site.dispatch(scheduler, owner=OTHER_OWNER)
    assert wait_until(lambda: site.workers["w0"].active())
    held.release()
    gevent.sleep(1.0)
    assert len(site.workers["w0"].runs) == 1
