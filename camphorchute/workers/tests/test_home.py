import gevent
import pytest

from camphorchute.contracts import InvariantBroken, Refusal, ResultCode, TaskSpec
from camphorchute.contracts.messages import CancelTasks, Demand, FindTasks, TasksEnded
from camphorchute.services.definition import ServiceDefinition
from camphorchute.workers.tests.fakes import Stand, captured_logs


def find(stand, key="job", owner="taker", term=2, attempts=()):
    message = FindTasks(key, 0, term, owner, "flags", list(attempts))
    return stand.home.find_tasks(message)


def test_a_batch_is_one_start_message_and_one_answer_message():
    stand = Stand(slots=8)
    stand.hand(indices=range(5))
    stand.step()
    assert stand.fake.batches == [[f"job-{i}" for i in range(5)]]
    stand.fake.finish(*[f"job-{i}" for i in range(5)])
    stand.step()
    assert stand.told() == [("COMPLETE", i) for i in range(5)]
    assert len([m for _, m in stand.sent if isinstance(m, TasksEnded)]) == 1
    assert stand.free == 8


RETURNED = {
    "no slot": ({"indices": range(9)}, "NO_SLOT", 1),
    "too large": ({"spec": TaskSpec(cpus=33.0)}, "FITS_NO_WORKER", 1),
    "accelerator": ({"spec": TaskSpec(accelerators=1.0)}, "FITS_NO_WORKER", 1),
    "late": ({"remaining_ms": 0.0}, "DEADLINE_PASSED", 1),
}


@pytest.mark.parametrize("fields, code, returned", RETURNED.values(), ids=RETURNED)
def test_tasks_that_cannot_start_are_returned_at_once(fields, code, returned):
    stand = Stand(slots=8)
    stand.hand(**fields)
    assert [name for name, _ in stand.told()] == [code] * returned
    assert stand.counts[f"home.returned.{code.lower()}"] == returned
    stand.step()
    assert sum(map(len, stand.fake.batches)) == len(fields.get("indices", [0])) - returned


def test_a_deadline_that_passes_before_the_start_message_is_sent():
    stand = Stand()
    stand.hand(remaining_ms=100.0)
    stand.now_s += 0.2
    stand.home.links()[0].send_starts()
    assert stand.told() == [("DEADLINE_PASSED", "job-0")]
    assert stand.fake.calls["start"] == 0
    assert stand.free == 8


@pytest.mark.parametrize("fault, slots_kept", [("no_slot", 8), ("unreachable", 0)])
def test_a_proved_refusal_returns_the_task_and_it_may_be_handed_again(fault, slots_kept):
    stand = Stand()
    stand.step()
    stand.fake.start_fault = fault
    stand.hand()
    stand.home.links()[0].send_starts()
    assert stand.told() == [("NO_SLOT", "job-0")]
    assert stand.counts[f"home.start.refused.{fault}"] == 1
    stand.fake.start_fault = ""
    stand.run(20)
    stand.hand()
    stand.step()
    assert stand.fake.batches == [["job-0"]]


def test_a_refusal_makes_the_home_read_the_workers_own_count():
    stand = Stand(slots=4)
    stand.step()
    stand.fake.foreign, stand.fake.start_fault = 3, "no_slot"
    stand.hand(indices=range(2))
    stand.step(600)
    stand.home.owner_lost("owner")
    assert stand.home.links()[0].slots.foreign == 3
    assert stand.free == 0
    stand.step(1100)
    assert stand.free == 1
    stand.fake.foreign = 0
    stand.step(600)
    assert stand.free == 4


def test_a_worker_that_refuses_everything_is_tried_less_and_less_often():
    stand = Stand()
    stand.fake.start_fault = "no_slot"
    tries = []
    for step in range(100):
        stand.hand(f"job{step}")
        stand.step(100)
        stand.home.owner_lost("owner")
        tries.append(stand.fake.calls["start"])
    assert tries[9] <= 4
    assert tries[99] <= 8


@pytest.mark.parametrize("repeated", ["waiting", "sent", "ended"])
def test_one_start_per_task(repeated):
    stand = Stand()
    stand.hand()
    if repeated != "waiting":
        stand.step()
    if repeated == "ended":
        stand.fake.finish("job-0")
        stand.step()
    with captured_logs() as logs, pytest.raises(InvariantBroken, match="one_start_per_task"):
        stand.hand(attempt="job-0-again")
    stand.step()
    assert stand.fake.batches == [["job-0"]]
    assert stand.counts["home.invariant.one_start_per_task"] == 1
    assert logs[0]["message_type"].startswith("workers: ")


def test_a_repeated_task_does_not_hold_up_the_others_of_its_message():
    stand = Stand()
    stand.hand(indices=[0])
    with pytest.raises(InvariantBroken, match=r"tasks \[0\]"):
        stand.hand(indices=[0, 1])
    stand.step()
    assert stand.fake.batches == [["job-0", "job-1"]]


def test_over_the_bound_the_fence_drops_answers_but_not_starts():
    stand = Stand(remember_s=10.0, remember_max_tasks=2)
    for key in ("a", "b", "c"):
        stand.hand(key)
        stand.step(10)
        stand.fake.finish(f"{key}-0")
        stand.step(10)
    stand.hand("open")
    stand.step()
    assert [o.code for o in find(stand, "a").ended] == [ResultCode.ANSWER_EXPIRED]
    assert [o.code for o in find(stand, "b").ended] == [ResultCode.COMPLETE]
    assert stand.counts["home.answers_dropped"] == 1
    with pytest.raises(InvariantBroken):
        stand.hand("a", attempt="again", term=2)
    stand.now_s += 11
    stand.home.sweep()
    assert find(stand, "c").ended == []
    assert find(stand, "open").running == [0]


def test_a_job_more_than_can_be_remembered_is_returned():
    stand = Stand(remember_max_keys=1)
    stand.hand("a")
    stand.hand("b")
    stand.step()
    assert stand.told() == [("LEDGER_FULL", "b-0")]
    assert stand.fake.batches == [["a-0"]]


@pytest.mark.parametrize("sent", [False, True])
def test_find_tasks_tells_all_and_points_reports_to_the_new_owner(sent):
    stand = Stand()
    stand.hand(indices=[0])
    stand.step()
    stand.fake.finish("job-0")
    stand.step()
    stand.hand(indices=[1])
    if sent:
        stand.step()
    found = find(stand)
    assert [outcome.index for outcome in found.ended] == [0]
    assert found.running == [1]
    stand.step()
    stand.fake.finish("job-1")
    stand.step()
    assert stand.told("taker") == [("COMPLETE", 1)]
    assert stand.told("owner") == [("COMPLETE", 0)]


@pytest.mark.parametrize("known", [False, True])
def test_an_older_owner_is_refused_after_find_tasks(known):
    stand = Stand()
    if known:
        stand.hand(indices=[0])
    find(stand, term=2)
    stand.hand(indices=[1], term=1)
    stand.step()
    assert stand.told() == [("STALE_TERM", "job-1")]
    assert sum(stand.fake.batches, []) == (["job-0"] if known else [])
    with pytest.raises(Refusal) as refusal:
        find(stand, term=1)
    assert refusal.value.code is ResultCode.STALE_TERM


def test_an_attempt_that_find_tasks_did_not_find_never_starts():
    stand = Stand()
    stand.hand(indices=[0])
    found = find(stand, owner="owner", term=1, attempts=["job-0", "job-1"])
    assert found.running == [0]
    stand.hand(indices=[1, 2])
    stand.step()
    assert stand.fake.batches == [["job-0", "job-2"]]
    assert stand.told() == [("STALE_TERM", "job-1")]
    stand.hand(indices=[1], attempt="job-1-again")
    stand.step()
    assert stand.fake.batches[1] == ["job-1-again"]


def test_cancel_returns_what_waits_and_stops_what_runs():
    stand = Stand()
    stand.hand(indices=[0])
    stand.step()
    stand.hand(indices=[1])
    stand.home.cancel_tasks(CancelTasks("job"))
    stand.hand(indices=[2])
    assert sorted(stand.told()) == [
        ("CANCELLED", 0),
        ("CANCELLED_BEFORE_START", "job-1"),
        ("CANCELLED_BEFORE_START", "job-2"),
    ]
    stand.step()
    assert stand.fake.calls["stop"] == 1
    assert stand.fake.batches == [["job-0"]]


@pytest.mark.parametrize("heard_by", ["answer", "find"])
def test_after_the_deadline_the_slot_is_busy_until_the_worker_says_otherwise(heard_by):
    stand = Stand(slots=2)
    stand.hand(remaining_ms=500.0)
    stand.step()
    stand.step(501)
    assert stand.told() == [("DEADLINE_PASSED", 0)]
    assert stand.fake.calls["stop"] == 1
    stand.run(3, ms=600)
    assert stand.free == 1
    stand.fake.finish("job-0")
    if heard_by == "find":
        stand.fake.answers.pop()
    stand.run(2, ms=5000)
    assert stand.free == 2
    assert stand.told() == [("DEADLINE_PASSED", 0)]


def test_a_freed_slot_is_granted_kept_and_used_by_its_owner_only():
    stand = Stand(slots=1)
    stand.hand("first")
    stand.step()
    stand.home.demand("waiting", Demand("flags", "team", 1))
    stand.fake.finish("first-0")
    stand.step()
    assert stand.granted("waiting") == 1
    stand.hand("thief", owner="thief")
    assert stand.told("thief") == [("NO_SLOT", "thief-0")]
    stand.hand("granted", owner="waiting", granted=1)
    assert stand.told("waiting") == []


@pytest.mark.parametrize("end", ["lapses", "owner lost"])
def test_a_reservation_ends_with_time_or_with_its_owner(end):
    stand = Stand(slots=1)
    stand.home.demand("first", Demand("flags", "team", 1))
    stand.home.demand("second", Demand("flags", "team", 1))
    assert (stand.granted("first"), stand.granted("second")) == (1, 0)
    if end == "lapses":
        stand.step(501)
    else:
        stand.home.owner_lost("first")
    assert stand.granted("second") == 1
    assert stand.counts["home.grant.lapsed"] == (end == "lapses")


def test_slots_that_are_too_small_are_not_granted_over_and_over():
    stand = Stand(workers=2, slots=1)
    small = stand.workers[1].__class__(name="s", address="127.0.0.1:2", zone="north", cpus=1.0)
    stand.home.set_workers(stand.definition, [stand.workers[0], small])
    stand.hand("big", spec=TaskSpec(cpus=8.0))
    for _ in range(5):
        stand.hand("next", spec=TaskSpec(cpus=8.0))
        stand.home.demand("owner", Demand("flags", "team", 1))
    assert stand.granted() == 0
    stand.step()
    assert stand.granted() == 1


def test_an_owner_that_is_lost_keeps_its_running_tasks():
    stand = Stand()
    stand.hand()
    stand.step()
    stand.home.owner_lost("owner")
    stand.fake.finish("job-0")
    stand.step()
    assert [outcome.answer for outcome in find(stand).ended] == ["answer of job-0"]


def test_a_worker_that_is_no_longer_listed_gets_no_work_and_its_tasks_are_reported():
    stand = Stand(workers=2, slots=1)
    stand.hand("a")
    stand.step()
    first = next(fake for fake in stand.fakes if fake.running)
    stand.home.set_workers(
        stand.definition, [w for w in stand.workers if w.address != first.address]
    )
    stand.hand("b", indices=[0, 1])
    stand.step()
    assert stand.told() == [("NO_SLOT", "b-1")]
    assert len(first.batches) == 1
    first.finish("a-0")
    stand.step()
    stand.home.sweep()
    assert stand.told()[-1] == ("COMPLETE", 0)
    assert len(stand.home.links()) == 1


@pytest.mark.parametrize("field", ["draining", "no workers"])
def test_no_usable_worker(field):
    stand = Stand()
    workers = []
    if field == "draining":
        workers = [
            stand.workers[0].__class__(name="w", address="127.0.0.1:1", zone="n", draining=True)
        ]
    stand.home.set_workers(ServiceDefinition(name="flags"), workers)
    stand.hand()
    assert stand.told() == [("NO_WORKER", "job-0")]


def test_close_starts_nothing_and_waits_for_running_tasks():
    stand = Stand()
    stand.hand("running")
    stand.step()
    stand.hand("waiting")
    closer = gevent.spawn(stand.home.close, 60_000.0)
    gevent.sleep(0)
    assert not closer.ready()
    stand.hand("new")
    assert stand.told() == [("LEAVING", "waiting-0"), ("LEAVING", "new-0")]
    stand.fake.finish("running-0")
    stand.step()
    closer.get(timeout=5)
    assert stand.told()[-1] == ("COMPLETE", 0)
