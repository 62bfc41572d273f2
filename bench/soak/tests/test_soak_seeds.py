"""Short soak runs with fixed seeds violate no guarantee; their timing is not checked."""

import subprocess
import sys

import msgspec
import pytest

RUN_TIMEOUT_S = 240.0
REPORT_FIELDS = [
    "seed",
    "faults",
    "submissions",
    "resubmissions",
    "tasks_started",
    "double_starts",
    "partial_answers",
    "crossed_answers",
    "false_not_run",
    "unanswered",
    "cut_in_flight",
    "late_to_leaving",
    "config_reverted",
    "answered_complete_ratio",
]


@pytest.mark.parametrize(
    ("seed", "flags"), [(1, []), (2, []), (3, ["--no-faults"])], ids=["1", "2", "no-faults"]
)
def test_run_violates_no_guarantee(seed: int, flags: list[str]) -> None:
    command = [sys.executable, "-m", "bench.soak", "--seed", str(seed), "--duration-s", "8"]
    done = subprocess.run(
        [*command, *flags], capture_output=True, text=True, timeout=RUN_TIMEOUT_S, check=False
    )
    assert done.returncode == 0, done.stdout[-6000:] + done.stderr[-3000:]
    figures = msgspec.json.decode(done.stdout.splitlines()[-1])
    assert list(figures) == REPORT_FIELDS
    assert bool(figures["faults"]) == (not flags)
