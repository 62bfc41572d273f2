"""Poll wait: for how long a worker may wait for a completion before it answers a poll."""

import time
from collections.abc import Collection

from camphorchute.policies.overdue import expected_run_ms
from camphorchute.runs.run import Run

__all__ = ["poll_wait_ms"]

POLL_WAIT_MS = 200.0
POLL_WAIT_MIN_MS = 40.0
UNWANTED_RUN_POLL_WAIT_MS = 50.0
EARLIER_RUN_POLL_WAIT_MS = 10.0
END_ALLOWANCE_FACTOR = 1.5


def poll_wait_ms(
    runs: Collection[Run], speed: float, is_any_unwanted: bool, has_earlier_runs: bool
) -> float:
    """Return for how long a reachable worker may wait before it answers.

    The wait ends when a run should have ended: if the poll is lost, the end that it would have
    reported is known soon after that time.

    Args:
        runs: the active runs of the worker.
        speed: learned speed of the worker.
        is_any_unwanted: whether a run is active that no owner has asked for, or that must end.
        has_earlier_runs: whether an earlier run of a task is to be ruled out.

    Examples:
        >>> poll_wait_ms([], 1.0, False, False), poll_wait_ms([], 1.0, True, False)
        (0.0, 50.0)
    """
    if has_earlier_runs:
        return EARLIER_RUN_POLL_WAIT_MS
    if is_any_unwanted:
        return UNWANTED_RUN_POLL_WAIT_MS
    if not runs:
        return 0.0
    now_s = time.monotonic()
    next_end_ms = min(
        END_ALLOWANCE_FACTOR * expected_run_ms(run.task.message.estimate_ms, speed)
        - run.observed_ms(now_s)
        for run in runs
    )
    return min(POLL_WAIT_MS, max(POLL_WAIT_MIN_MS, next_end_ms))
