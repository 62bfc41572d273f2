import pytest

from camphorchute.cluster import WorkerFate
from camphorchute.contracts.run_messages import RunPlace
from camphorchute.policies.crash_limit import CrashDecision, always_start_again
from camphorchute.queues import lost_runs as lost_runs_module
from camphorchute.queues.crash_guard import CrashGuard
from camphorchute.queues.lost_runs import LostRuns

START, WAIT, GIVE_UP = CrashDecision.START, CrashDecision.WAIT, CrashDecision.GIVE_UP
CRASHED, ALIVE, UNKNOWN = WorkerFate.CRASHED, WorkerFate.ALIVE, WorkerFate.UNKNOWN
TASK = "job.0.0.0"


class Site:
    """A guard, and a task whose lost runs have the fates that a test sets."""

    def __init__(self):
        self.fates, self.counts = {}, {}
        self.lost_runs = LostRuns()
        self.guard = CrashGuard(self.count)
        self.guard.fate_of = lambda place, since_s: self.fates[place.run]

    def count(self, name, n=1):
        self.counts[name] = self.counts.get(name, 0) + n

    def lose(self, fate, machine, was_alone, was_acknowledged=True):
        run = len(self.lost_runs) + 1
        self.fates[run] = fate
        address = f"10.0.0.{machine}:80"
        self.lost_runs.add(RunPlace(f"w{run}", run, address, run, was_alone, was_acknowledged))

    def decide(self):
        return self.guard.decide(TASK, self.lost_runs)


@pytest.mark.parametrize(
    ("losses", "expected"),
    [
        ([(CRASHED, 1, True)], START),
        ([(UNKNOWN, 1, True)], START),
        ([(CRASHED, 1, False), (CRASHED, 2, True)], GIVE_UP),
        ([(CRASHED, 1, True), (CRASHED, 2, False)], GIVE_UP),
        ([(CRASHED, 1, False), (CRASHED, 2, False)], START),
        ([(CRASHED, 1, False), (CRASHED, 2, False), (CRASHED, 3, False)], GIVE_UP),
        ([(CRASHED, 1, True), (CRASHED, 1, True)], START),
        ([(CRASHED, 1, True)] * 4, GIVE_UP),
        ([(CRASHED, 1, True), (UNKNOWN, 2, True)], WAIT),
        ([(CRASHED, 1, True), (ALIVE, 2, True)], START),
        ([(ALIVE, 1, True), (ALIVE, 2, True), (ALIVE, 3, True)], START),
        ([(ALIVE, number, True) for number in range(9)], START),
        ([(ALIVE, 1, True), (UNKNOWN, 2, True)], START),
        ([(CRASHED, 1, True), (CRASHED, 2, True, False)], START),
        ([(CRASHED, number, True, False) for number in range(3)], START),
        ([(CRASHED, number, True, False) for number in range(4)], GIVE_UP),
    ],
)
def test_decision_follows_from_the_fates_of_the_lost_workers(losses, expected):
    site = Site()
    for loss in losses:
        site.lose(*loss)
    assert site.decide() is expected


def test_fate_that_stays_unknown_delays_a_task_but_does_not_condemn_it(monkeypatch):
    site = Site()
    site.lose(UNKNOWN, 1, True)
    site.lose(UNKNOWN, 2, True)
    assert site.decide() is WAIT
    monkeypatch.setattr(lost_runs_module, "FATE_KNOWN_WITHIN_MS", 0.0)
    assert site.decide() is START


def test_fate_that_became_known_is_kept():
    site = Site()
    site.lose(CRASHED, 1, True)
    site.lose(CRASHED, 2, True)
    assert site.decide() is GIVE_UP
    site.fates = dict.fromkeys(site.fates, UNKNOWN)
    assert site.decide() is GIVE_UP


def test_task_waits_until_its_lost_run_is_stored():
    site = Site()
    site.lose(CRASHED, 1, True)
    site.lost_runs.stored = 0
    assert site.decide() is WAIT
    site.lost_runs.stored = 1
    assert site.decide() is START


def test_decision_is_counted_once_for_each_lost_run():
    site = Site()
    site.lose(CRASHED, 1, True)
    for _ in range(5):
        site.decide()
    assert site.counts == {"queues.lost_run.start": 1}


def test_policy_can_be_switched_off():
    site = Site()
    site.guard.policy = always_start_again
    for machine in range(6):
        site.lose(CRASHED, machine, True)
    assert site.decide() is START
