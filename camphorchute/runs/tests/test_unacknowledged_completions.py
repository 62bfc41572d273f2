import time

import pytest

from camphorchute.hosting import RunCompletion, RunOutcome
from camphorchute.runs.unacknowledged_completions import UnacknowledgedCompletions


def completions_of(count, outcome=RunOutcome.DONE):
    completions = UnacknowledgedCompletions()
    for number in range(1, count + 1):
        completion = RunCompletion(number, f"j.0.0.{number}", 1, outcome)
        completions.mark_listed(completion)
        completions.retain(completion)
    return completions


# A completion of which the owner was asked every time would cost calls for as long as it lasts.
def test_completion_is_reported_at_growing_intervals():
    completions, started_s = completions_of(1), time.monotonic()
    due = [s for s in range(120) if completions.take_due_for_report(started_s + s + 0.5)]
    assert due == [2, 6, 14, 30, 46, 62, 78, 94, 110]


@pytest.mark.parametrize(
    ("acknowledged", "expected"), [([], 3), ([2, 3], 3), ([1], 2), ([1, 2], 1), ([1, 2, 3], 0)]
)
def test_worker_lists_what_follows_the_first_retained_completion(acknowledged, expected):
    completions = completions_of(3)
    for number in acknowledged:
        assert completions.acknowledge(f"j.0.0.{number}", 1)
    assert completions.listed_count() == expected
    assert len(completions.retained()) == 3 - len(acknowledged)
