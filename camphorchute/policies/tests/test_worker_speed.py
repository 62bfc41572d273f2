import pytest

from camphorchute.policies import WorkerSpeed


def make_speed(value):
    speed = WorkerSpeed()
    for _ in range(100):
        speed.record_run(estimate_ms=100.0, run_time_ms=100.0 / value)
    return speed


CHANGES = {
    "turned six times slower": (1.6, [0.27, 0.26, 0.28], 0.27),
    "is as fast as before again": (0.27, [1.5, 1.6, 1.7], 1.6),
}


@pytest.mark.parametrize("before, ratios, after", CHANGES.values(), ids=CHANGES)
def test_changed_speed_is_known_after_three_runs(before, ratios, after):
    """Tasks went to workers that had turned slow, as their speed was learned over 40 runs."""
    speed = make_speed(before)
    for ratio in ratios:
        speed.record_run(100.0, 100.0 / ratio)
    assert speed.value == pytest.approx(after, rel=0.1)


NOISE = {
    "one wrong estimate": [0.3],
    "two wrong estimates": [0.3, 0.3],
    "wrong estimates between right ones": [0.3, 0.3, 1.0, 0.3, 0.3],
    "wrong in both directions": [0.3, 0.3, 2.5, 0.3, 0.3],
    "within a factor of two": [0.55, 0.6, 0.55, 0.6],
}


@pytest.mark.parametrize("ratios", NOISE.values(), ids=NOISE)
def test_wrong_estimates_do_not_count_as_a_change(ratios):
    speed = make_speed(1.0)
    for ratio in ratios:
        speed.record_run(100.0, 100.0 / ratio)
    assert speed.value > 0.75
