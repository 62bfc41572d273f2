import subprocess
import sys

import msgspec

REFUSAL_CODES_NOT_RUN = ("201", "202")


def test_short_benchmark_answers_every_job_completely_and_starts_no_task_twice():
    command = [sys.executable, "-m", "bench.measure", "--short"]
    process = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert process.returncode == 0, process.stdout[-2000:] + process.stderr[-2000:]
    rows = msgspec.json.decode(process.stdout.splitlines()[-1])["rows"]
    assert [row["policy"] for row in rows] == ["home", "two_choices"]
    for row in rows:
        accepted_codes = {
            code: n for code, n in row["codes"].items() if code not in REFUSAL_CODES_NOT_RUN
        }
        assert accepted_codes == {"0": sum(accepted_codes.values())}
        assert accepted_codes["0"] > 0
        assert sum(row["codes"].values()) == row["jobs"]
        assert (row["double_starts"], row["unanswered"], row["partial"]) == (0, 0, 0)
