import pytest

from bench.patterns import PATTERNS, Model, play_pattern
from bench.patterns.model import JobKind
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
