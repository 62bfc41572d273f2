import subprocess
import sys

import msgspec

REFUSED_NOT_RUN = ("201", "202")


def test_short_form_answers_every_job_once_and_whole():
    command = [sys.executable, "-m", "bench.measure", "--short"]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done.stdout[-2000:] + done.stderr[-2000:]
    rows = msgspec.json.decode(done.stdout.splitlines()[-1])["rows"]
    assert [row["policy"] for row in rows] == ["home", "two_choices"]
    for row in rows:
        accepted = {code: n for code, n in row["codes"].items() if code not in REFUSED_NOT_RUN}
        assert accepted == {"0": sum(accepted.values())}
        assert accepted["0"] > 0
        assert sum(row["codes"].values()) == row["jobs"]
        assert (row["double_starts"], row["unanswered"], row["partial"]) == (0, 0, 0)
