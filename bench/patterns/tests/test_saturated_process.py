"""Above saturation, most of what a process serves in time below it is still served in time."""

import pytest

from bench.patterns.saturated_process import SaturatedProcesses
from camphorchute.policies.concurrency_limit import CONCURRENCY_LIMIT_POLICIES

PLAY_S = 20.0
BELOW_SATURATION_PER_S = 10.0  # at 13 ms a job and 0.387 of a core, 30 jobs/s are saturation
NEAR_SATURATION_PER_S = 20.0
ABOVE_SATURATION_PER_S = (45.0, 60.0)
KEPT_SHARE_MIN = 0.5
COLLAPSED_SHARE = 0.1
WIDE_SHARE_MIN = 0.5


def play(policy, jobs_per_s, seed):
    """Return the model and the counts by queue."""
    model = SaturatedProcesses(CONCURRENCY_LIMIT_POLICIES.find(policy), jobs_per_s, seed)
    return model.play(PLAY_S)


def total(outcomes, name):
    return sum(getattr(outcome, name) for outcome in outcomes.values())


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("jobs_per_s", ABOVE_SATURATION_PER_S)
def test_served_jobs_do_not_collapse_above_saturation(jobs_per_s, seed):
    most = total(play("none", NEAR_SATURATION_PER_S, seed), "in_time")
    limited, unlimited = play("adaptive", jobs_per_s, seed), play("none", jobs_per_s, seed)
    assert total(unlimited, "in_time") < COLLAPSED_SHARE * most
    assert total(unlimited, "held") > 0
    assert total(limited, "in_time") >= KEPT_SHARE_MIN * most
    assert total(limited, "held") == 0
    served_share = total(limited, "in_time") / total(limited, "jobs")
    for outcome in limited.values():
        assert outcome.served_share() >= KEPT_SHARE_MIN * served_share


@pytest.mark.parametrize("jobs_per_s", ABOVE_SATURATION_PER_S)
def test_largest_tenth_is_served_at_least_half_as_often(jobs_per_s):
    played = [play("adaptive", jobs_per_s, seed) for seed in (1, 2, 3, 4, 5)]
    for queue in played[0]:
        jobs, wide_jobs, in_time, wide_in_time = (
            sum(getattr(outcomes[queue], name) for outcomes in played)
            for name in ("jobs", "wide_jobs", "in_time", "wide_in_time")
        )
        assert wide_in_time / wide_jobs >= WIDE_SHARE_MIN * in_time / jobs


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_limit_does_not_bind_with_processor_time_to_spare(seed):
    assert total(play("adaptive", BELOW_SATURATION_PER_S, seed), "refused") == 0
