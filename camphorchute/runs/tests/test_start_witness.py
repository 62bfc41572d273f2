import time

import pytest

from camphorchute.contracts.start_messages import AnnouncedStart
from camphorchute.runs import start_witness
from camphorchute.runs.start_witness import StartWitness

TASK, OTHER_TASK = "5c0e7a21d94b36f8.0.0.1", "5c0e7a21d94b36f8.0.0.2"


def start(worker_id="w1", run=1, task=TASK, duration_ms=5000.0):
    return AnnouncedStart(task, worker_id, "north/flags/0", run, duration_ms)


def make_witness():
    counts = {}
    return StartWitness(lambda name, n=1: counts.update({name: counts.get(name, 0) + n})), counts


# Guards against two runs of a task: one process starts what another may have started elsewhere.
@pytest.mark.parametrize(
    ("earlier", "later", "is_conflict"),
    [
        pytest.param(start("w1", 1), start("w2", 1), True, id="other_worker"),
        pytest.param(start("w1", 1), start("w2", 2), True, id="later_run_on_another_worker"),
        pytest.param(start("w1", 1), start("w1", 1), False, id="same_run"),
        pytest.param(start("w1", 1), start("w1", 2), False, id="later_run_on_the_same_worker"),
        pytest.param(start("w1", 2), start("w1", 1), True, id="earlier_run_on_the_same_worker"),
    ],
)
def test_starts_of_two_schedulers_are_in_conflict(earlier, later, is_conflict):
    witness, counts = make_witness()
    assert witness.announce("a", [earlier]) == []
    (known,) = witness.announce("b", [later])
    assert (known.worker_id, known.run) == (earlier.worker_id, earlier.run)
    assert known.is_conflict is is_conflict
    assert 0 < known.remaining_ms <= earlier.duration_ms
    assert counts.get("runs.witness.conflict", 0) == is_conflict


@pytest.mark.parametrize(
    ("by", "tasks", "is_conflict"),
    [
        ("a", [TASK], False),
        ("a", [OTHER_TASK], True),
        ("b", [TASK], True),
        ("a", [], True),
        ("a", [OTHER_TASK, TASK], False),
    ],
)
def test_only_the_scheduler_of_a_start_has_it_forgotten(by, tasks, is_conflict):
    witness, _ = make_witness()
    witness.announce("a", [start("w1")])
    witness.forget(by, tasks)
    assert bool(witness.announce("b", [start("w2")])) is is_conflict


def test_a_scheduler_replaces_its_own_start():
    witness, _ = make_witness()
    witness.announce("a", [start("w1", 1)])
    assert witness.announce("a", [start("w2", 2)]) == []
    assert [known.worker_id for known in witness.announce("b", [start("w3")])] == ["w2"]


def test_a_start_in_conflict_is_not_remembered():
    witness, _ = make_witness()
    witness.announce("a", [start("w1")])
    witness.announce("b", [start("w2")])
    witness.forget("a", [TASK])
    assert witness.announce("c", [start("w3")]) == []


def test_starts_of_two_schedulers_at_one_worker_are_both_remembered():
    witness, _ = make_witness()
    witness.announce("a", [start("w1")])
    witness.announce("b", [start("w1")])
    witness.forget("b", [TASK])
    assert [known.worker_id for known in witness.announce("c", [start("w2")])] == ["w1"]


def test_a_start_is_forgotten_when_it_cannot_happen_any_more():
    witness, _ = make_witness()
    witness.announce("a", [start("w1", duration_ms=20.0)])
    time.sleep(0.03)
    assert witness.announce("b", [start("w2")]) == []
    assert len(witness) == 1


def test_the_number_of_starts_is_bounded(monkeypatch):
    monkeypatch.setattr(start_witness, "STARTS_MAX", 3)
    witness, counts = make_witness()
    for number in range(5):
        witness.announce("a", [start(task=f"job.0.0.{number}")])
    assert len(witness) == 3
    assert counts["runs.witness.dropped"] == 2
