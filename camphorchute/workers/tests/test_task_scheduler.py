import gevent
import pytest

from camphorchute.contracts import InvariantBroken, Refusal, ResultCode, TaskSpec
from camphorchute.contracts.messages import CancelTasks, Demand, FindTasks, TasksEnded
from camphorchute.policies.run_times import RunTimes
from camphorchute.services.definition import ServiceDefinition
from camphorchute.workers.tests.fakes import SchedulerHarness, captured_logs


def find(harness, key="job", owner="new owner", term=2, attempts=()):
    message = FindTasks(key, 0, term, owner, "flags", list(attempts))
    return harness.scheduler.find_tasks(message)


def test_the_tasks_of_a_batch_share_one_start_message_and_one_report():
    harness = SchedulerHarness(slots=8)
    harness.dispatch(indices=range(5))
    harness.step()
    assert harness.back_end.batches == [[f"job-{i}" for i in range(5)]]
    harness.back_end.finish(*[f"job-{i}" for i in range(5)])
    harness.step()
    assert harness.owner_reports() == [("COMPLETE", i) for i in range(5)]
    assert len([m for _, m in harness.sent_messages if isinstance(m, TasksEnded)]) == 1
    assert harness.free_slots == 8


RETURNED = {
    "no slot": ({"indices": range(9)}, "NO_SLOT", 1),
    "too large": ({"spec": TaskSpec(cpus=33.0)}, "FITS_NO_WORKER", 1),
    "accelerator": ({"spec": TaskSpec(accelerators=1.0)}, "FITS_NO_WORKER", 1),
    "late": ({"remaining_ms": 0.0}, "DEADLINE_PASSED", 1),
}


@pytest.mark.parametrize("fields, code, returned", RETURNED.values(), ids=RETURNED)
def test_tasks_that_cannot_start_are_returned_immediately(fields, code, returned):
    harness = SchedulerHarness(slots=8)
    harness.dispatch(**fields)
    assert [name for name, _ in harness.owner_reports()] == [code] * returned
    assert harness.counts[f"home.returned.{code.lower()}"] == returned
    harness.step()
    assert sum(map(len, harness.back_end.batches)) == len(fields.get("indices", [0])) - returned


def test_a_task_whose_deadline_passes_before_its_start_message_is_returned_unsent():
    harness = SchedulerHarness()
    harness.dispatch(remaining_ms=100.0)
    harness.now_s += 0.2
    harness.scheduler.links()[0].send_starts()
    assert harness.owner_reports() == [("DEADLINE_PASSED", "job-0")]
    assert harness.back_end.calls["start"] == 0
    assert harness.free_slots == 8


@pytest.mark.parametrize("fault, slots_kept", [("no_slot", 8), ("unreachable", 0)])
def test_a_refused_task_is_returned_and_may_be_dispatched_again(fault, slots_kept):
    harness = SchedulerHarness()
    harness.step()
    harness.back_end.start_fault = fault
    harness.dispatch()
    harness.scheduler.links()[0].send_starts()
    assert harness.owner_reports() == [("NO_SLOT", "job-0")]
    assert harness.counts[f"home.start.refused.{fault}"] == 1
    harness.back_end.start_fault = ""
    harness.run_steps(20)
    harness.dispatch()
    harness.step()
    assert harness.back_end.batches == [["job-0"]]


def test_after_a_refusal_the_slots_that_others_occupy_are_read_from_the_worker():
    harness = SchedulerHarness(slots=4)
    harness.step()
    harness.back_end.busy_by_others, harness.back_end.start_fault = 3, "no_slot"
    harness.dispatch(indices=range(2))
    harness.step(600)
    harness.scheduler.drop_owner("owner")
    assert harness.scheduler.links()[0].slots.busy_by_others == 3
    assert harness.free_slots == 0
    harness.step(1100)
    assert harness.free_slots == 1
    harness.back_end.busy_by_others = 0
    harness.step(600)
    assert harness.free_slots == 4


def test_starts_on_a_worker_that_refuses_everything_back_off():
    harness = SchedulerHarness()
    harness.back_end.start_fault = "no_slot"
    tries = []
    for step in range(100):
        harness.dispatch(f"job{step}")
        harness.step(100)
        harness.scheduler.drop_owner("owner")
        tries.append(harness.back_end.calls["start"])
    assert tries[9] <= 4
    assert tries[99] <= 8


@pytest.mark.parametrize("repeated", ["waiting", "sent", "ended"])
def test_a_task_that_is_dispatched_twice_is_started_once(repeated):
    harness = SchedulerHarness()
    harness.dispatch()
    if repeated != "waiting":
        harness.step()
    if repeated == "ended":
        harness.back_end.finish("job-0")
        harness.step()
    with captured_logs() as logs, pytest.raises(InvariantBroken, match="one_start_per_task"):
        harness.dispatch(attempt="job-0-again")
    harness.step()
    assert harness.back_end.batches == [["job-0"]]
    assert harness.counts["home.invariant.one_start_per_task"] == 1
    assert logs[0]["message_type"].startswith("workers: ")


def test_a_repeated_task_does_not_prevent_the_start_of_the_others_of_its_message():
    harness = SchedulerHarness()
    harness.dispatch(indices=[0])
    with pytest.raises(InvariantBroken, match=r"tasks \[0\]"):
        harness.dispatch(indices=[0, 1])
    harness.step()
    assert harness.back_end.batches == [["job-0", "job-1"]]


def test_beyond_its_maximum_the_fence_drops_answers_but_still_refuses_second_starts():
    harness = SchedulerHarness(remember_s=10.0, remember_max_tasks=2)
    for key in ("a", "b", "c"):
        harness.dispatch(key)
        harness.step(10)
        harness.back_end.finish(f"{key}-0")
        harness.step(10)
    harness.dispatch("open")
    harness.step()
    assert [o.code for o in find(harness, "a").ended] == [ResultCode.ANSWER_EXPIRED]
    assert [o.code for o in find(harness, "b").ended] == [ResultCode.COMPLETE]
    assert harness.counts["home.answers_dropped"] == 1
    with pytest.raises(InvariantBroken):
        harness.dispatch("a", attempt="again", term=2)
    harness.now_s += 11
    harness.scheduler.sweep()
    assert find(harness, "c").ended == []
    assert find(harness, "open").running == [0]


def test_a_job_beyond_the_maximum_of_remembered_jobs_is_returned():
    harness = SchedulerHarness(remember_max_keys=1)
    harness.dispatch("a")
    harness.dispatch("b")
    harness.step()
    assert harness.owner_reports() == [("LEDGER_FULL", "b-0")]
    assert harness.back_end.batches == [["a-0"]]


@pytest.mark.parametrize("sent", [False, True])
def test_find_tasks_returns_all_tasks_and_redirects_reports_to_the_new_owner(sent):
    harness = SchedulerHarness()
    harness.dispatch(indices=[0])
    harness.step()
    harness.back_end.finish("job-0")
    harness.step()
    harness.dispatch(indices=[1])
    if sent:
        harness.step()
    found = find(harness)
    assert [outcome.index for outcome in found.ended] == [0]
    assert found.running == [1]
    assert found.attempts == ["job-1"]
    harness.step()
    harness.back_end.finish("job-1")
    harness.step()
    assert harness.owner_reports("new owner") == [("COMPLETE", 1)]
    assert harness.owner_reports("owner") == [("COMPLETE", 0)]


# Guards against a task that ran and that its owner takes for one which never started.
def test_find_tasks_returns_a_task_whose_answer_could_not_be_processed(monkeypatch):
    harness = SchedulerHarness()
    harness.dispatch()
    harness.step()
    harness.back_end.finish("job-0")
    monkeypatch.setattr(RunTimes, "add_sample", raise_injected_error)
    with pytest.raises(RuntimeError):
        harness.step()
    assert find(harness, attempts=["job-0"]).running == [0]


def raise_injected_error(*args):
    raise RuntimeError("injected fault of the learned run times")


@pytest.mark.parametrize("known", [False, True])
def test_an_older_owner_is_refused_after_find_tasks(known):
    harness = SchedulerHarness()
    if known:
        harness.dispatch(indices=[0])
    find(harness, term=2)
    harness.dispatch(indices=[1], term=1)
    harness.step()
    assert harness.owner_reports() == [("STALE_TERM", "job-1")]
    assert sum(harness.back_end.batches, []) == (["job-0"] if known else [])
    with pytest.raises(Refusal) as refusal:
        find(harness, term=1)
    assert refusal.value.code is ResultCode.STALE_TERM


def test_an_attempt_that_find_tasks_did_not_find_never_starts():
    harness = SchedulerHarness()
    harness.dispatch(indices=[0])
    found = find(harness, owner="owner", term=1, attempts=["job-0", "job-1"])
    assert found.running == [0]
    harness.dispatch(indices=[1, 2])
    harness.step()
    assert harness.back_end.batches == [["job-0", "job-2"]]
    assert harness.owner_reports() == [("STALE_TERM", "job-1")]
    harness.dispatch(indices=[1], attempt="job-1-again")
    harness.step()
    assert harness.back_end.batches[1] == ["job-1-again"]


# Guards against a late stop command of a replaced owner, which ended the job at its new owner.
@pytest.mark.parametrize("term, stops", [(1, False), (2, True), (0, True)])
def test_a_stop_command_of_a_replaced_owner_changes_nothing(term, stops):
    harness = SchedulerHarness()
    harness.dispatch(indices=[0])
    harness.step()
    find(harness, term=2)
    harness.scheduler.cancel_tasks(CancelTasks("job", term))
    harness.step()
    assert harness.back_end.calls["stop_job"] == int(stops)
    assert harness.owner_reports("new owner") == ([("CANCELLED", 0)] if stops else [])
    assert harness.counts["home.cancel.stale_term"] == int(not stops)


def test_cancel_returns_unsent_tasks_and_stops_running_ones():
    harness = SchedulerHarness()
    harness.dispatch(indices=[0])
    harness.step()
    harness.dispatch(indices=[1])
    harness.scheduler.cancel_tasks(CancelTasks("job"))
    harness.dispatch(indices=[2])
    assert sorted(harness.owner_reports()) == [
        ("CANCELLED", 0),
        ("CANCELLED_BEFORE_START", "job-1"),
        ("CANCELLED_BEFORE_START", "job-2"),
    ]
    harness.step()
    assert harness.back_end.calls["stop_job"] == 1
    assert harness.back_end.batches == [["job-0"]]


@pytest.mark.parametrize("end_seen_by", ["answer", "find"])
def test_after_the_deadline_the_slot_is_busy_until_the_worker_reports_the_end(end_seen_by):
    harness = SchedulerHarness(slots=2)
    harness.dispatch(remaining_ms=500.0)
    harness.step()
    harness.step(501)
    assert harness.owner_reports() == [("DEADLINE_PASSED", 0)]
    assert harness.back_end.calls["stop_job"] == 1
    harness.run_steps(3, ms=600)
    assert harness.free_slots == 1
    harness.back_end.finish("job-0")
    if end_seen_by == "find":
        harness.back_end.answers.pop()
    harness.run_steps(2, ms=5000)
    assert harness.free_slots == 2
    assert harness.owner_reports() == [("DEADLINE_PASSED", 0)]


def test_a_freed_slot_is_reserved_for_the_owner_that_it_is_granted_to():
    harness = SchedulerHarness(slots=1)
    harness.dispatch("first")
    harness.step()
    harness.scheduler.set_demand("waiting", Demand("flags", "team", 1))
    harness.back_end.finish("first-0")
    harness.step()
    assert harness.granted_slots("waiting") == 1
    harness.dispatch("other", owner="other")
    assert harness.owner_reports("other") == [("NO_SLOT", "other-0")]
    harness.dispatch("granted", owner="waiting", granted=1)
    assert harness.owner_reports("waiting") == []


@pytest.mark.parametrize("cause", ["expires", "owner lost"])
def test_a_reservation_ends_when_it_expires_or_its_owner_is_lost(cause):
    harness = SchedulerHarness(slots=1)
    harness.scheduler.set_demand("first", Demand("flags", "team", 1))
    harness.scheduler.set_demand("second", Demand("flags", "team", 1))
    assert (harness.granted_slots("first"), harness.granted_slots("second")) == (1, 0)
    if cause == "expires":
        harness.step(501)
    else:
        harness.scheduler.drop_owner("first")
    assert harness.granted_slots("second") == 1
    assert harness.counts["home.grant.lapsed"] == (cause == "expires")


def test_slots_on_workers_too_small_for_the_tasks_are_granted_once_per_sweep_only():
    harness = SchedulerHarness(workers=2, slots=1)
    small = harness.workers[1].__class__(name="s", address="127.0.0.1:2", zone="north", cpus=1.0)
    harness.scheduler.set_workers(harness.definition, [harness.workers[0], small])
    harness.dispatch("big", spec=TaskSpec(cpus=8.0))
    for _ in range(5):
        harness.dispatch("next", spec=TaskSpec(cpus=8.0))
        harness.scheduler.set_demand("owner", Demand("flags", "team", 1))
    assert harness.granted_slots() == 0
    harness.step()
    assert harness.granted_slots() == 1


def test_the_tasks_of_a_lost_owner_continue_and_their_answers_are_stored():
    harness = SchedulerHarness()
    harness.dispatch()
    harness.step()
    harness.scheduler.drop_owner("owner")
    harness.back_end.finish("job-0")
    harness.step()
    assert [outcome.answer for outcome in find(harness).ended] == ["answer of job-0"]


def test_an_unlisted_worker_gets_no_tasks_and_its_running_ones_are_reported():
    harness = SchedulerHarness(workers=2, slots=1)
    harness.dispatch("a")
    harness.step()
    first = next(fake for fake in harness.back_ends if fake.running)
    harness.scheduler.set_workers(
        harness.definition, [w for w in harness.workers if w.address != first.address]
    )
    harness.dispatch("b", indices=[0, 1])
    harness.step()
    assert harness.owner_reports() == [("NO_SLOT", "b-1")]
    assert len(first.batches) == 1
    first.finish("a-0")
    harness.step()
    harness.scheduler.sweep()
    assert harness.owner_reports()[-1] == ("COMPLETE", 0)
    assert len(harness.scheduler.links()) == 1


@pytest.mark.parametrize("case", ["draining", "no workers"])
def test_a_task_is_returned_if_its_service_has_no_usable_worker(case):
    harness = SchedulerHarness()
    workers = []
    if case == "draining":
        workers = [
            harness.workers[0].__class__(name="w", address="127.0.0.1:1", zone="n", draining=True)
        ]
    harness.scheduler.set_workers(ServiceDefinition(name="flags"), workers)
    harness.dispatch()
    assert harness.owner_reports() == [("NO_WORKER", "job-0")]


def test_close_starts_no_tasks_and_waits_for_running_ones():
    harness = SchedulerHarness()
    harness.dispatch("running")
    harness.step()
    harness.dispatch("waiting")
    closer = gevent.spawn(harness.scheduler.close, 60_000.0)
    gevent.sleep(0)
    assert not closer.ready()
    harness.dispatch("new")
    assert harness.owner_reports() == [("LEAVING", "waiting-0"), ("LEAVING", "new-0")]
    harness.back_end.finish("running-0")
    harness.step()
    closer.get(timeout=5)
    assert harness.owner_reports()[-1] == ("COMPLETE", 0)
