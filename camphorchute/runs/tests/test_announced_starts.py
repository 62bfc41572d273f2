import time

import gevent
import pytest

from camphorchute.contracts.member import Member
from camphorchute.contracts.run_messages import StopTasks, TaskResultKind
from camphorchute.contracts.start_messages import (
    AnnouncedStart,
    AnnounceStarts,
    ForgetStarts,
    StartsWitnessed,
)
from camphorchute.runs import start_announcements
from camphorchute.runs.start_witness import StartWitness
from camphorchute.runs.tests.model_workers import ModelSite
from camphorchute.runs.tests.scheduler_site import (
    GROUP,
    JOB_ID,
    OWNER,
    start_message,
    wait_until,
)
from camphorchute.runs.witness_choice import WitnessChoice

TASK = f"{JOB_ID}.0.0.0"
OTHER_GROUP = GROUP.replace("north", "south")
WITNESSES = [Member(name, name, name, "", "", "") for name in ("a", "b")]


@pytest.fixture
def site():
    site = ModelSite(workers=2, run_s=0.2)
    yield site
    site.close()


def add_scheduler(site, known=(), answer_after_s=0.0, is_silent=False):
    """Start a scheduler whose witnesses know of runs; return it and what they receive."""
    scheduler, received = site.add_scheduler(1), []
    announcements = scheduler.start_announcements
    witness = StartWitness(lambda name, n=1: None)
    witness.announce("other", list(known))

    def answer(member, message):
        found = witness.announce("scheduler", message.starts)
        announcements.handle_witnessed(member, StartsWitnessed(message.number, found))

    def send(member, message):
        received.append((member.member_id, message, len(site.all_runs())))
        if not is_silent and isinstance(message, AnnounceStarts):
            gevent.spawn_later(answer_after_s, answer, member, message)
        return True

    announcements.choice = WitnessChoice("scheduler", lambda: WITNESSES)
    announcements.send = send
    return scheduler, received


def known_start(worker_id, group=GROUP, run=1):
    return AnnouncedStart(TASK, worker_id, group, run, 5000.0)


def test_no_start_command_is_sent_before_witnesses_have_answered(site):
    scheduler, received = add_scheduler(site, answer_after_s=0.01)
    scheduler.start_tasks(OWNER, start_message())
    assert wait_until(lambda: site.results)
    assert [
        member_id for member_id, message, _ in received if isinstance(message, AnnounceStarts)
    ] in (
        ["a", "b"],
        ["b", "a"],
    )
    assert [runs for _, message, runs in received if isinstance(message, AnnounceStarts)] == [0, 0]
    assert [result.end for result in site.results] == [TaskResultKind.DONE]


# Guards against two runs of a task: the first was started for an owner that is lost.
@pytest.mark.parametrize(
    ("worker_id", "group"), [("elsewhere", OTHER_GROUP), ("removed", GROUP), ("w9", OTHER_GROUP)]
)
def test_task_that_may_run_in_another_group_is_returned_with_its_place(site, worker_id, group):
    scheduler, _ = add_scheduler(site, [known_start(worker_id, group, run=3)])
    scheduler.start_tasks(OWNER, start_message())
    assert wait_until(lambda: site.results)
    (result,) = site.results
    assert (result.end, result.run) == (TaskResultKind.MAY_RUN, 3)
    assert (result.worker_id, result.group) == (worker_id, group)
    assert 4000 < result.bound_ms <= 5000
    assert site.all_runs() == []


@pytest.mark.parametrize("run", [1, 3])
def test_task_that_may_run_in_its_group_is_repeated_there(site, run):
    scheduler, _ = add_scheduler(site, [known_start("w1", run=run)])
    scheduler.start_tasks(OWNER, start_message())
    assert wait_until(lambda: site.results)
    assert [(run.worker_id, run.number) for run in site.all_runs()] == [("w1", run)]
    assert [result.end for result in site.results] == [TaskResultKind.DONE]


def test_run_of_another_scheduler_on_the_same_worker_binds_the_task(site):
    scheduler, _ = add_scheduler(site, [known_start("w0")])
    scheduler.set_workers(GROUP, site.entries(["w0"]), site.groups(GROUP, ["w0"]))
    scheduler.start_tasks(OWNER, start_message())
    assert wait_until(site.all_runs)
    (run,) = scheduler.group(GROUP).workers["w0"].runs.values()
    assert scheduler.earlier_run_of(run.task) == ("w0", 1)


def test_task_that_is_stopped_while_witnesses_are_asked_is_not_started(site):
    scheduler, _ = add_scheduler(site, answer_after_s=0.05)
    scheduler.start_tasks(OWNER, start_message())
    gevent.sleep(0.01)
    scheduler.stop_tasks(OWNER, StopTasks(JOB_ID))
    assert wait_until(lambda: site.results)
    assert [result.end for result in site.results] == [TaskResultKind.NOT_STARTED]
    assert site.all_runs() == []


# Guards against a start for an owner of which there was no news while witnesses were asked.
def test_task_is_not_started_once_its_owner_may_have_been_lost(site):
    scheduler, _ = add_scheduler(site, answer_after_s=0.02)
    heard_s = [time.monotonic()]
    scheduler.owner_contacts.running_at_s = lambda owner_id: heard_s[0]
    scheduler.start_tasks(OWNER, start_message())
    heard_s[0] -= 1.0
    gevent.sleep(0.2)
    assert site.all_runs() == []
    heard_s[0] = time.monotonic()
    assert wait_until(lambda: site.all_runs())


def test_start_is_delayed_for_a_short_time_by_silent_witnesses(site):
    scheduler, _ = add_scheduler(site, is_silent=True)
    scheduler.start_tasks(OWNER, start_message())
    assert wait_until(lambda: site.results, 1.0)
    assert site.counts["runs.announce.unwitnessed"] == 1


@pytest.mark.parametrize("is_answered", [True, False])
def test_witnesses_forget_a_run_once_nothing_of_it_may_arrive(site, is_answered):
    scheduler, received = add_scheduler(site)
    if not is_answered:
        site.workers["w0"].late_s = site.workers["w1"].late_s = {"start": 0.05}
    scheduler.start_tasks(OWNER, start_message())
    assert wait_until(lambda: site.results)
    gevent.sleep(0.6)
    forgotten = {
        member_id for member_id, message, _ in received if isinstance(message, ForgetStarts)
    }
    assert forgotten == ({"a", "b"} if is_answered else set())


# Guards against a witness that forgets a run while its start command is still sent again.
def test_start_that_is_sent_again_is_announced_again(site, monkeypatch):
    monkeypatch.setattr(start_announcements, "RENEWAL_MS", 100.0)
    scheduler, received = add_scheduler(site)
    site.workers["w0"].late_s = site.workers["w1"].late_s = {"start": 5.0}
    scheduler.start_tasks(OWNER, start_message())
    gevent.sleep(0.6)
    announced = [message for _, message, _ in received if isinstance(message, AnnounceStarts)]
    assert len(announced) >= 4
    assert len({message.starts[0].worker_id for message in announced}) == 1


# Guards against an adopted run that no witness knows of after its first scheduler has returned it.
def test_adopted_run_is_announced(site):
    scheduler, received = add_scheduler(site)
    site.workers["w0"].start(TASK, 2)
    assert wait_until(lambda: "w0" in scheduler.group(GROUP).workers)
    scheduler.group(GROUP).workers["w0"].request_poll()
    assert wait_until(lambda: TASK in scheduler.group(GROUP).workers["w0"].orphans)
    scheduler.start_tasks(OWNER, start_message(run=3, may_run=True, worker_id="w0"))
    (start,) = received[0][1].starts
    assert (start.worker_id, start.run) == ("w0", 2)
    assert len(received) == 2
