import os
import subprocess
import sys

import pytest

from bench.patterns import PATTERNS, Model, play_pattern
from bench.patterns.job import JobKind
from camphorchute.policies import DecisionPolicies

NARROW = JobKind("narrow", width=1, work_ms=50.0, priority=0)


@pytest.mark.parametrize(("workers", "served"), [(0, 0.0), (1, 1.0)])
def test_jobs_are_refused_without_a_worker_and_served_by_one(workers, served):
    model = Model(DecisionPolicies(), 1, workers_per_zone=workers, zones=("a",))
    model.submit_at_rate(NARROW, 2.0, 0.0, 10.0)
    outcome = model.play(20.0)
    assert outcome.jobs() > 10
    assert outcome.served_share() == pytest.approx(served, abs=0.05)
    assert outcome.failed == 0


@pytest.mark.parametrize("name", list(PATTERNS))
def test_pattern_is_repeatable_and_every_job_has_one_outcome(name):
    outcomes = [play_pattern(name, 4, DecisionPolicies(), workers_per_zone=2) for _ in range(2)]
    figures = [(outcome.in_time, outcome.late, outcome.refused) for outcome in outcomes]
    assert figures[0] == figures[1]
    assert outcomes[0].jobs() > 100


class RecordingModel(Model):
    """A model that records the jobs in the order of their admission."""

    def __init__(self, policies, seed):
        super().__init__(policies, seed)
        self.admitted = []

    def _admit(self, job, *args):
        self.admitted.append((job.kind.name, job.zone, job.submitted_s, job.work_ms))
        super()._admit(job, *args)


def test_every_policy_gets_the_same_jobs():
    """Jobs were drawn after the jitter of ejections, so policies were compared on other loads."""
    admitted = []
    for ejection in ("outlier", "never"):
        model = RecordingModel(DecisionPolicies(ejection=ejection), 1)
        PATTERNS["worker that fails at once"](model)
        model.play(15.0)
        admitted.append(model.admitted)
    assert admitted[0] == admitted[1]


def test_outcome_is_the_same_in_every_process():
    """Zones were placed in the order of a set, so a seed played differently in each process."""
    program = (
        "from bench.patterns import play_pattern\n"
        "from camphorchute.policies import DecisionPolicies\n"
        "outcome = play_pattern('burst of wide jobs', 2, DecisionPolicies(), workers_per_zone=3)\n"
        "print(outcome.in_time, outcome.late, outcome.refused, outcome.starts)"
    )
    printed = {
        subprocess.run(
            [sys.executable, "-c", program],
            env={**os.environ, "PYTHONHASHSEED": str(hash_seed)},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for hash_seed in range(1, 4)
    }
    assert len(printed) == 1
