import random

import pytest

from camphorchute.policies.interference import (
    FORGET_AFTER_MS,
    KINDS_MAX,
    WORKERS_MAX,
    LearnedInterference,
    NeighbourShare,
)
from camphorchute.policies.interference_evidence import NEIGHBOURS_MAX

BESIDE = NeighbourShare(1.0, 1.0)
SPEEDS = (0.8, 1.0, 1.25)
DECLARED_MS = 200.0
RUNS_PER_S = 40


class Load:
    """Draws runs of the kinds "slow" and "rest" on twelve workers, beside "noisy" or not.

    Args:
        seed: seed of the random numbers.
        slowdown: factor by which "noisy" slows down "slow".
        declared_error: factor by which the declared time of "slow" is wrong for all its tasks.
        slow_from_s: time from which a third of the workers are six times slower.
        beside_slowest: whether the slowest workers have the most neighbours.
        tasks_per_job: number of tasks whose declared times are wrong by the same factor.
    """

    def __init__(
        self,
        seed,
        slowdown=1.0,
        declared_error=1.0,
        slow_from_s=None,
        beside_slowest=True,
        tasks_per_job=1,
    ):
        self.random = random.Random(seed)
        self.interference = LearnedInterference()
        self.slowdown = slowdown
        self.declared_error = declared_error
        self.slow_from_s = slow_from_s
        self.beside_slowest = beside_slowest
        self.tasks_per_job = tasks_per_job
        self.now_s = 0.0
        self.changes = []

    def run_for(self, duration_s, beside_share=0.4):
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            self.now_s += self.tasks_per_job / RUNS_PER_S
            kind = self.random.choice(("slow", "rest"))
            job_ratio = self.random.lognormvariate(0.0, 0.34)
            # The tasks of a job start together, mostly beside the same kind.
            job_share = beside_share if self.tasks_per_job == 1 else self.random.choice((0.1, 0.9))
            for _ in range(self.tasks_per_job):
                self._add_run(kind, job_ratio, job_share)
        return self

    def _add_run(self, kind, job_ratio, beside_share):
        worker = self.random.randrange(12)
        speed = SPEEDS[worker % 3]
        if self.beside_slowest:
            beside_share *= (1.8, 1.0, 0.3)[worker % 3]
        if self.slow_from_s is not None and self.now_s >= self.slow_from_s and worker % 3 == 0:
            speed /= 6.0
        is_beside = self.random.random() < beside_share
        run_ms = DECLARED_MS * job_ratio * self.random.lognormvariate(0.0, 0.34) / speed
        run_ms *= 7.0 if self.random.random() < 0.03 else 1.0
        if kind == "slow":
            run_ms *= self.declared_error * (self.slowdown if is_beside else 1.0)
        neighbours = {"noisy": BESIDE} if is_beside else {}
        self.changes += self.interference.record_run(
            kind,
            worker,
            run_ms,
            DECLARED_MS,
            neighbours,
            1 / self.tasks_per_job,
            self.now_s * 1000,
        )


@pytest.mark.parametrize("slowdown", [1.5, 2.0, 3.0])
@pytest.mark.parametrize("seed", range(3))
def test_pair_is_found_within_seconds_under_load(slowdown, seed):
    load = Load(seed, slowdown).run_for(60.0)
    found = [(change.kind, change.neighbour) for change in load.changes if change.is_found]
    assert found == [("slow", "noisy")]
    assert load.changes[0].beside_ratio / load.changes[0].other_ratio > 1.15
    assert min(load.changes[0].beside_runs, load.changes[0].other_runs) >= 20
    assert load.interference.conflicting_kinds("noisy") == {"slow"}
    assert not load.interference.conflicting_kinds("rest")


NO_EFFECT = {
    "heavy tail and workers of different speeds": {},
    "queue declared too short": {"declared_error": 1.4},
    "queue declared too long": {"declared_error": 1 / 1.4},
    "workers that turn slow": {"slow_from_s": 30.0},
    "neighbours everywhere alike": {"beside_slowest": False},
    "tasks of a job that are wrong alike": {"tasks_per_job": 16, "beside_slowest": False},
}


@pytest.mark.parametrize("fields", NO_EFFECT.values(), ids=NO_EFFECT)
@pytest.mark.parametrize("seed", range(12, 17))
def test_load_without_an_effect_is_not_taken_for_interference(fields, seed):
    assert Load(seed, **fields).run_for(120.0).changes == []


@pytest.mark.parametrize(
    ("slowdown", "beside_share"),
    [(1.0, 0.1), (2.0, 0.0)],
    ids=["effect has ended", "no run beside the neighbour"],
)
def test_pair_is_forgotten_after_minutes(slowdown, beside_share):
    load = Load(1, 2.0).run_for(60.0)
    load.slowdown = slowdown
    load.run_for(1.1 * FORGET_AFTER_MS / 1000, beside_share)
    assert [change.is_found for change in load.changes] == [True, False]
    assert not load.interference.conflicting_kinds("slow")


def test_pair_is_kept_while_rare_runs_confirm_it():
    """Tasks that are kept apart seldom meet, so little evidence must not end a pair at once."""
    load = Load(1, 2.0).run_for(60.0).run_for(120.0, beside_share=0.01)
    assert [change.is_found for change in load.changes] == [True]


@pytest.mark.parametrize(
    ("kind", "runs"), [("slow", 19), ("noisy", 1000)], ids=["too few runs", "one kind only"]
)
def test_nothing_is_found_without_evidence(kind, runs):
    interference = LearnedInterference()
    for number in range(1000):
        assert not interference.record_run(kind, 1, 100.0, 100.0, {}, 1.0, number)
    for number in range(runs):
        neighbours = {"noisy": BESIDE}
        assert not interference.record_run(kind, 1, 300.0, 100.0, neighbours, 1.0, 1000 + number)


def test_delay_that_the_scheduler_may_cause_is_not_interference():
    """Late answers add the same time to every run, which is much for a task of 20 ms."""
    interference = LearnedInterference()
    for number in range(500):
        for run_ms, neighbours in ((20.0, {}), (30.0, {"noisy": BESIDE})):
            assert not interference.record_run("slow", 1, run_ms, 20.0, neighbours, 1.0, number)


def test_memory_is_bounded():
    interference = LearnedInterference()
    for number in range(3 * WORKERS_MAX):
        neighbours = {f"noisy{number % 100}": BESIDE, f"noisy{number % 99}": BESIDE}
        kind = f"kind{number % (2 * KINDS_MAX)}"
        interference.record_run(kind, number, 100.0, 100.0, neighbours, 1.0, 0.0)
        interference.record_run(kind, 1, 100.0, 100.0, neighbours, 1.0, 0.0)
    assert len(interference._kinds) == KINDS_MAX
    assert len(interference._levels) == WORKERS_MAX
    assert max(len(kind.pairs) for kind in interference._kinds.values()) <= NEIGHBOURS_MAX
