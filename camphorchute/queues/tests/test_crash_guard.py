import pytest

from camphorchute.cluster import WorkerFate
from camphorchute.contracts.run_messages import RunPlace
from camphorchute.policies.crash_limit import CrashDecision, always_start_again
from camphorchute.queues import lost_runs as lost_runs_module
from camphorchute.queues.crash_guard import CrashGuard
from camphorchute.queues.lost_runs import LostRuns

START, WAIT, GIVE_UP = CrashDecision.START, CrashDecision.WAIT, CrashDecision.GIVE_UP
CRASHED, ALIVE, UNKNOWN = WorkerFate.CRASHED, WorkerFate.ALIVE, WorkerFate.UNKNOWN
LEFT = WorkerFate.LEFT
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
        ([(CRASHED, 1, True), (LEFT, 2, True), (LEFT, 3, True), (LEFT, 4, True)], START),
        ([(CRASHED, 1, True), (UNKNOWN, 2, True, False)], WAIT),
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


# A job failed after one crash, as runs that had lapsed with their schedulers counted as crashes.
@pytest.mark.parametrize("unknown_losses", [3, 4, 9])
@pytest.mark.parametrize("has_places", [True, False])
def test_lost_runs_that_are_not_known_as_crashes_do_not_condemn_a_task(
    monkeypatch, unknown_losses, has_places
):
    monkeypatch.setattr(lost_runs_module, "FATE_KNOWN_WITHIN_MS", 0.0)
    site = Site()
    site.lose(CRASHED, 1, True)
    for number in range(unknown_losses):
        if has_places:
            site.lose(UNKNOWN, 2 + number, True)
        else:
            site.fates[2 + number] = UNKNOWN
            site.lost_runs.add(RunPlace("", 0, "", 2 + number))
    assert site.decide() is START


# A worker that was replaced long after it had lost a run counted as crashed under the run.
@pytest.mark.parametrize("fate", [ALIVE, LEFT])
def test_cleared_worker_stays_cleared_for_the_next_owner(fate):
    site = Site()
    site.lose(CRASHED, 1, True)
    site.lose(fate, 2, True)
    assert site.decide() is START
    restored = LostRuns()
    for place in site.lost_runs.places():
        restored.add(place)
    site.fates = dict.fromkeys(site.fates, CRASHED)
    assert site.guard.decide(TASK, restored) is START
    assert [place.is_cleared for place in restored.places()] == [False, True]


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
