import pytest

from camphorchute.policies.overdue import RunAge, RunTimeSpread, is_overdue_by_spread

AGES = {
    "twice its siblings on a worker that completes nothing": (
        500.0,
        100.0,
        1.0,
        100.0,
        False,
        True,
    ),
    "the same on a worker that completes others": (500.0, 100.0, 1.0, 100.0, True, False),
    "far too long, though the worker completes others": (700.0, 100.0, 1.0, 100.0, True, True),
    "no longer than its restart would take, on a fast worker": (
        220.0,
        50.0,
        1.0,
        100.0,
        False,
        False,
    ),
    "longer than its restart on a fast worker": (300.0, 50.0, 1.0, 100.0, False, True),
}


@pytest.mark.parametrize(
    "elapsed_ms, expected_ms, sibling_ratio, restart_ms, makes_progress, overdue",
    AGES.values(),
    ids=AGES,
)
def test_run_is_stopped_only_if_its_worker_is_at_fault(
    elapsed_ms, expected_ms, sibling_ratio, restart_ms, makes_progress, overdue
):
    """Tasks with a wrong estimate were stopped on workers that completed all others."""
    age = RunAge(
        elapsed_ms,
        expected_ms,
        RunTimeSpread(),
        sibling_ratio,
        restart_ms=restart_ms,
        makes_progress=makes_progress,
    )
    assert is_overdue_by_spread(age) is overdue
