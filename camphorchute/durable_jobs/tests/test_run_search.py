import time

import pytest

from camphorchute.contracts.durable_job_messages import KeptTasksAre
from camphorchute.contracts.run_messages import TaskResultKind
from camphorchute.durable_jobs.shard_claims import PreviousOwner
from camphorchute.durable_jobs.tests.shard_site import (
    JOB_ID,
    NOT_FOUND,
    TERM,
    WORKERS,
    lose_run,
    make_record,
    recovered,
    reported_task,
    task_states,
)
from camphorchute.queues import TaskState
from camphorchute.runs.tests.scheduler_site import wait_until


def test_job_without_runs_is_dispatched_after_all_schedulers_were_queried(site):
    site.put(make_record())
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    assert task_states(site) == [TaskState.WAITING] * 2
    assert len(site.peers.requests) == 1
    assert site.stored_record().term == TERM


def test_nothing_is_dispatched_while_the_runs_of_a_worker_are_unreported(site):
    site.peers.reply = KeptTasksAre(["w1"], [])
    site.put(make_record())
    site.start_shard()
    assert not wait_until(lambda: recovered(site), 0.4)
    assert task_states(site) == [TaskState.UNKNOWN] * 2
    assert not site.job_run().may_dispatch()
    site.peers.reply = KeptTasksAre(WORKERS, [])
    assert wait_until(lambda: recovered(site))


# A worker of another service answered nobody, and no accepted job was started.
def test_tasks_do_not_wait_for_workers_of_other_services(site):
    site.view.workers["mail-1"] = "mailer"
    site.put(make_record())
    site.start_shard()
    assert wait_until(lambda: recovered(site), 1.0)
    assert task_states(site) == [TaskState.WAITING] * 2


# The first job of a shard waited for a listed worker that answered nobody, and was never started.
def test_jobs_of_a_shard_that_never_had_an_owner_wait_for_no_worker(site):
    site.peers.reply = KeptTasksAre([], [])
    site.put(make_record())
    site.start_shard(previous_owner=PreviousOwner.NONE)
    assert wait_until(lambda: recovered(site), 1.0)
    assert task_states(site) == [TaskState.WAITING] * 2


# Tasks that were reported waited, like all jobs of the shard, for a worker that answered nobody.
def test_reported_task_does_not_wait_for_the_runs_of_the_others(site):
    site.peers.reply = KeptTasksAre(["w1"], [reported_task(0)])
    site.put(make_record())
    site.start_shard()
    assert wait_until(lambda: recovered(site), 1.0)
    assert task_states(site) == [TaskState.MAY_RUN, TaskState.UNKNOWN]
    assert site.counts["keeping.wait.worker_unreported"] >= 1


# What was reported before a task became unknown again says nothing of its last run.
def test_task_that_becomes_unknown_again_during_a_query_waits_for_the_next_one(site):
    site.put(make_record())
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    task, rounds = site.job_run().steps[0][0], []

    def request(member, message, timeout_ms):
        rounds.append(task.state)
        if len(rounds) == 1:
            site.job_run().record_not_found(task, NOT_FOUND)
        return site.peers.reply

    site.peers.request = request
    site.job_run().record_not_found(task, NOT_FOUND)
    assert wait_until(lambda: task.state is TaskState.WAITING)
    assert rounds == [TaskState.UNKNOWN] * 2
    assert "keeping.loop_failed" not in site.counts


# A process that had just started claimed a shard before it knew the workers, and asked nobody.
def test_nothing_is_dispatched_before_the_workers_are_known(site):
    site.view.workers = {}
    site.peers.reply = KeptTasksAre(WORKERS, [reported_task(0, TaskResultKind.DONE)])
    site.put(make_record())
    site.start_shard()
    assert not wait_until(lambda: recovered(site), 0.4)
    site.view.workers = dict.fromkeys(WORKERS)
    assert wait_until(lambda: recovered(site))
    assert task_states(site) == [TaskState.DONE, TaskState.WAITING]


# The first worker of a group was not known to the owner yet, and its scheduler was not asked.
def test_scheduler_of_a_group_without_known_workers_is_queried(site):
    site.view.has_claim_only = True
    site.peers.reply = KeptTasksAre(WORKERS, [reported_task(0, TaskResultKind.DONE)])
    site.put(make_record())
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    assert task_states(site) == [TaskState.DONE, TaskState.WAITING]


def test_task_unknown_to_its_scheduler_waits_until_all_schedulers_were_queried(site):
    """Its worker had moved to another group with the unacknowledged completion; it ran twice."""
    site.put(make_record())
    site.start_shard()
    assert wait_until(lambda: recovered(site))
    site.peers.reply = KeptTasksAre(WORKERS, [reported_task(0, TaskResultKind.DONE)])
    task = site.job_run().steps[0][0]
    task.state = TaskState.HANDED
    site.job_run().record_not_found(task, NOT_FOUND)
    assert task.state is TaskState.UNKNOWN
    assert wait_until(lambda: task.state is TaskState.DONE)
    assert wait_until(lambda: site.stored_record().done == [[0]])


# The next owner started tasks again whose worker was cut off with its scheduler, which went on with
# the runs.
@pytest.mark.parametrize("is_owner_new", [True, False])
@pytest.mark.parametrize(
    ("hidden_for_s", "unaccounted_for_s", "waits"),
    [(0.0, 0.0, True), (60.0, 0.0, True), (0.0, 60.0, True), (60.0, 60.0, False), (None, 0, False)],
)
def test_task_of_a_lost_scheduler_waits_while_its_worker_may_be_hidden(
    site, is_owner_new, hidden_for_s, unaccounted_for_s, waits
):
    if hidden_for_s is not None:
        site.view.hidden_since_s = time.monotonic() - hidden_for_s
    site.put(make_record(1))
    site.start_shard(previous_owner=[PreviousOwner.NONE, PreviousOwner.RELEASED][is_owner_new])
    assert wait_until(lambda: JOB_ID in site.queue_owner.runs)
    (task,) = site.job_run().steps[0]
    unaccounted_s = time.monotonic() - unaccounted_for_s
    if is_owner_new:
        assert wait_until(lambda: site.peers.requests)
        if task.state is TaskState.UNKNOWN:
            task.unaccounted_since_s = unaccounted_s
    else:
        task.state, task.scheduler_id, task.dispatch = TaskState.HANDED, "scheduler", 1
        task.mark_scheduler_lost(unaccounted_s, 13.0)
        site.job_run().record_worker_lost(task, NOT_FOUND)
    assert wait_until(lambda: task.state is TaskState.WAITING, 0.4) is not waits
    if waits:
        assert site.counts["keeping.wait.hidden_worker"] > 0
        site.view.hidden_since_s = task.unaccounted_since_s = time.monotonic() - 60.0
        assert wait_until(lambda: task.state is TaskState.WAITING)
    assert task.unaccounted_since_s is None


# The scheduler of the run is heard, so that no other one goes on with it.
def test_task_that_its_own_scheduler_lost_does_not_wait_for_hidden_workers(site):
    site.view.hidden_since_s = time.monotonic()
    site.put(make_record(1))
    site.start_shard(previous_owner=PreviousOwner.NONE)
    assert wait_until(lambda: JOB_ID in site.queue_owner.runs)
    task = lose_run(site)
    assert task.state is TaskState.UNKNOWN
    assert wait_until(lambda: task.state is TaskState.WAITING)
