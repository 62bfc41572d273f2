"""What a job's earlier owner records of its tasks, and what the next owner concludes from it."""

import pytest

from camphorchute.contracts import Fate, JobKey, ResultCode
from camphorchute.contracts.messages import (
    DispatchRecord,
    FindTasks,
    FoundTasks,
    KeyEntry,
    KeyOwner,
    Reach,
    TasksReturned,
    Witness,
)
from camphorchute.jobs.tests.fakes import (
    DEPARTED_OWNER,
    A,
    B,
    C,
    OwnerHarness,
    make_spec,
    run_greenlets,
    wait_for_answer,
)
from camphorchute.links import LinkLost

KEY = "k"


@pytest.fixture
def harness():
    harness = OwnerHarness()
    yield harness
    harness.owner.close()


def lose_link(member, message):
    raise LinkLost(member.member_id)


def reply_with_waiting_task_at_b(scheduler, message):
    found = scheduler == B
    return FoundTasks(KEY, [], [0] if found else [], ["gone-7"] if found else [])


# Guards against a resumed job that waits for a task which its scheduler has returned.
def test_a_task_that_its_scheduler_returns_after_the_job_moved_is_dispatched_again(harness):
    harness.add_accepted_key(KEY)
    harness.peers.replies[FindTasks] = reply_with_waiting_task_at_b
    submitted = harness.submit(KEY)
    returned = TasksReturned(KEY, ["gone-7"], int(ResultCode.LEAVING))
    harness.owner.receive_returned_tasks(B, returned)
    harness.report_free_slots(C)
    assert harness.dispatched_tasks() == [("c", 0), ("c", 1)]
    harness.complete_tasks(C, KEY, 0, 1)
    assert wait_for_answer(submitted).answers == ["answer 0", "answer 1"]


# Guards against a resumed job that waits for a task which its scheduler no longer holds.
def test_an_adopted_task_that_its_scheduler_returned_over_a_lost_link_is_dispatched_again(harness):
    harness.add_accepted_key(KEY)
    harness.peers.replies[FindTasks] = reply_with_waiting_task_at_b
    harness.submit(KEY)
    harness.peers.replies[FindTasks] = lambda scheduler, message: FoundTasks(KEY, [], [])
    harness.owner.recover_from_lost_scheduler(B)
    run_greenlets()
    assert harness.peers.requests_of(FindTasks)[-1][1].attempts == ["gone-7"]
    harness.report_free_slots(C)
    assert sorted(harness.dispatched_tasks()) == [("c", 0), ("c", 1)]


# Guards against a task in two places: returned before its owner adopted it, then adopted.
def test_a_task_returned_before_the_reply_that_names_it_is_applied_is_dispatched_again(harness):
    harness.add_accepted_key(KEY)
    returned = TasksReturned(KEY, ["gone-7"], int(ResultCode.LEAVING))

    def reply_after_return(scheduler, message):
        if scheduler == B:
            harness.owner.receive_returned_tasks(B, returned)
        return reply_with_waiting_task_at_b(scheduler, message)

    harness.peers.replies[FindTasks] = reply_after_return
    harness.report_free_slots(C)
    harness.submit(KEY)
    assert harness.dispatched_tasks() == [("c", 0), ("c", 1)]


def reply_with_all_tasks_at_b(scheduler, message):
    found = scheduler == B
    return FoundTasks(KEY, [], [0, 1] if found else [], ["gone-7", "gone-8"] if found else [])


# Guards against a start by an owner that no witness has recorded, which a later owner repeats.
@pytest.mark.parametrize("acknowledged", [False, True])
def test_an_adopted_task_that_is_returned_is_dispatched_only_by_a_recorded_owner(
    harness, acknowledged
):
    harness.add_accepted_key(KEY)
    harness.peers.replies[FindTasks] = reply_with_all_tasks_at_b
    harness.submit(KEY)
    harness.report_free_slots(C)
    assert not harness.peers.requests_of(Witness)
    if not acknowledged:
        harness.peers.replies[Witness] = lose_link
    returned = TasksReturned(KEY, ["gone-7"], int(ResultCode.LEAVING))
    harness.owner.receive_returned_tasks(B, returned)
    run_greenlets()
    assert harness.dispatched_tasks() == ([("c", 0)] if acknowledged else [])
    entries = [message.entries[0] for _, message in harness.peers.requests_of(Witness)]
    assert {owner.member_id for owner in entries[0].owners} == {"gone", "a"}


@pytest.mark.parametrize("named", [[], ["gone-7"], ["gone-7", "gone-8", "gone-9"]])
def test_every_running_task_is_adopted_even_if_the_attempts_are_not_all_named(harness, named):
    harness.add_accepted_key(KEY)
    harness.peers.replies[FindTasks] = lambda scheduler, message: FoundTasks(
        KEY, [], [0, 1] if scheduler == B else [], named if scheduler == B else []
    )
    harness.submit(KEY)
    harness.report_free_slots(C)
    assert not harness.dispatch_messages()


def end_search_soon(monkeypatch):
    monkeypatch.setattr("camphorchute.jobs.recovery.SEARCH_TIMEOUT_MS", 100.0)
    monkeypatch.setattr("camphorchute.jobs.recovery.SEARCH_INTERVAL_MS", 20.0)


RECORDED_OWNER = KeyOwner("gone", "vm-gone", Reach.OTHER_HOSTS, 1)
SAME_OWNER_LATER = KeyOwner("gone", "vm-gone", Reach.OTHER_HOSTS, 2)
LATER_OWNER = KeyOwner("later", "vm-later", Reach.OTHER_HOSTS, 1)


# Guards against worker_lost for tasks that a scheduler which has gone was never sent.
@pytest.mark.parametrize(
    "owners, dispatched, uncertain, starts",
    [
        ([RECORDED_OWNER], {}, False, [0, 1]),
        ([RECORDED_OWNER], {"b": [0, 1]}, False, [0, 1]),
        ([RECORDED_OWNER], {"c": [1]}, False, None),
        ([RECORDED_OWNER], {}, True, None),
        ([RECORDED_OWNER, LATER_OWNER], {}, False, None),
        ([RECORDED_OWNER, SAME_OWNER_LATER], {}, False, None),
    ],
)
def test_only_tasks_recorded_at_a_dead_scheduler_may_have_been_started_there(
    harness, monkeypatch, owners, dispatched, uncertain, starts
):
    end_search_soon(monkeypatch)
    harness.add_accepted_key(KEY, owners)
    entry = harness.ledger.entries_of_shard(JobKey(KEY, ["north"]).shard)[0]
    entry.record = DispatchRecord([RECORDED_OWNER], dispatched)
    entry.uncertain = uncertain
    harness.peers.unreachable = {"c"}
    harness.deaths.record_death(C)
    harness.report_free_slots(B)
    submitted = harness.submit(KEY)
    if starts is None:
        answer = wait_for_answer(submitted)
        assert answer.fate is Fate.MAY_HAVE_RUN and not harness.dispatch_messages()
    else:
        assert [index for _, index in harness.dispatched_tasks()] == starts


def entry_of(harness):
    return harness.ledger.get(JobKey(KEY, ["north"]).shard, KEY)


def test_a_moved_job_records_which_tasks_its_schedulers_may_have_started(harness):
    harness.report_free_slots(B, free_slots=2)
    harness.submit(KEY, make_spec(4))
    harness.report_free_slots(C, free_slots=1)
    harness.complete_tasks(B, KEY, 0)
    harness.move_shards_away()
    entry = entry_of(harness)
    assert entry.record.owners == entry.owners and entry.owners[0].period
    assert entry.record.dispatched == {"b": [0, 1], "c": [2]}


def test_a_returned_task_is_not_recorded_as_dispatched(harness):
    harness.report_free_slots(B)
    harness.submit(KEY)
    harness.return_tasks(B, KEY, ResultCode.LEAVING)
    harness.move_shards_away()
    assert entry_of(harness).record.dispatched == {}


# Guards against a record of a job whose earlier dispatches are not known.
@pytest.mark.parametrize("owner", [RECORDED_OWNER, DEPARTED_OWNER])
@pytest.mark.parametrize("replied", [False, True])
def test_a_resumed_job_is_recorded_only_if_every_earlier_dispatch_is_known(harness, owner, replied):
    harness.add_accepted_key(KEY, [owner])
    harness.peers.unreachable = set() if replied else {"c"}
    harness.submit(KEY)
    harness.move_shards_away()
    is_recorded = entry_of(harness).record is not None
    assert is_recorded is (replied and owner is RECORDED_OWNER)


def test_each_period_in_which_an_owner_runs_a_job_is_recorded_apart(harness):
    harness.add_accepted_key(KEY, [RECORDED_OWNER])
    for _ in range(2):
        harness.submit(KEY)
        harness.owner._jobs.clear()
    periods = [owner.period for owner in entry_of(harness).owners if owner.member_id == "a"]
    assert len(set(periods)) == 2


def last_witnessed_entry(harness):
    return harness.peers.requests_of(Witness)[-1][1].entries[0]


# Guards against worker_lost for tasks that the own scheduler of a killed owner had returned.
def test_a_returned_task_is_no_longer_recorded_as_dispatched_beyond_the_reach(harness):
    harness.submit(KEY)
    harness.report_free_slots(A)
    assert harness.dispatched_tasks() == [("a", 0), ("a", 1)]
    assert last_witnessed_entry(harness).local == [0, 1]
    attempt = harness.dispatch_messages()[0][1].tasks[0].attempt
    returned = TasksReturned(KEY, [attempt], int(ResultCode.NO_SLOT))
    harness.owner.receive_returned_tasks(A, returned)
    run_greenlets()
    assert last_witnessed_entry(harness).local == [1]
    harness.report_free_slots(A)
    assert harness.dispatched_tasks()[2:] == [("a", 0)]
    assert last_witnessed_entry(harness).local == [0, 1]


@pytest.mark.parametrize("cause", ["late return", "no witness"])
def test_only_the_return_of_the_current_attempt_shortens_the_list(harness, cause):
    harness.submit(KEY)
    harness.report_free_slots(A)
    if cause == "late return":
        harness.owner.receive_returned_tasks(A, TasksReturned(KEY, ["a-0"], 0))
        run_greenlets()
        assert entry_of(harness).local == [0, 1]
        return
    harness.peers.unreachable = {"b", "c"}
    harness.return_tasks(A, KEY, ResultCode.NO_SLOT)
    assert entry_of(harness).local == []
    harness.report_free_slots(A)
    assert len(harness.dispatched_tasks()) == 2


# Guards against a record that comprises a later owner, whose dispatches its author cannot know.
@pytest.mark.parametrize("resumed", [False, True])
def test_a_record_comprises_no_owner_that_was_added_while_the_job_ran(harness, resumed):
    if resumed:
        harness.add_accepted_key(KEY, [RECORDED_OWNER])
    harness.submit(KEY)
    owners = list(entry_of(harness).owners)
    entry = entry_of(harness)
    harness.ledger.merge([KeyEntry(KEY, entry.shard, entry.digest, 2**60, [LATER_OWNER])])
    harness.move_shards_away()
    assert entry_of(harness).record.owners == owners
    assert LATER_OWNER in entry_of(harness).owners


def test_a_job_that_has_closed_records_nothing(harness):
    harness.submit(KEY)
    job = harness.owner._jobs.get(KEY)
    harness.move_shards_away()
    record = entry_of(harness).record
    entry_of(harness).owners.append(LATER_OWNER)
    job.known_owners.append(LATER_OWNER)
    harness.owner._redirect_job(job)
    assert entry_of(harness).record is record
