import time

import pytest

from camphorchute.hosting import CommandRefused, CommandUnanswered, RefusalReason
from camphorchute.runs.earlier_run import EarlierRun
from camphorchute.runs.run_commands import RunCommands
from camphorchute.runs.stopped_runs import StoppedRuns

TASK = "5c0e7a21d94b36f8.0.0.0"


class FakeClient:
    """Answers each stop command with an error, or acknowledges it if there is none."""

    def __init__(self, error):
        self._error = error

    def stop_run(self, task, run, fencing_token):
        if self._error is not None:
            raise self._error


class FakeWorker:
    """Counts the polls that are requested."""

    def __init__(self):
        self.polls = 0
        self.stopped_runs = StoppedRuns()

    def request_poll(self):
        self.polls += 1


@pytest.mark.parametrize(
    ("error", "is_barred"),
    [
        (None, True),
        (CommandRefused(RefusalReason.OLD_RUN, "old"), True),
        (CommandRefused(RefusalReason.FENCED, "fence"), False),
        (CommandUnanswered("timeout"), False),
    ],
)
@pytest.mark.parametrize("is_listed", [True, False])
def test_earlier_run_is_ruled_out_once_its_worker_cannot_start_it(error, is_barred, is_listed):
    worker = FakeWorker()
    commands = RunCommands(worker, FakeClient(error), lambda: 7, worker, lambda name, n=1: None)
    earlier_run = EarlierRun(TASK, 2, worker)
    listed = [TASK] if is_listed else []
    assert not earlier_run.is_ruled_out_by(listed, earlier_run.reported_s + 1)
    earlier_run.is_being_barred = True
    commands.bar_earlier_run(earlier_run)
    after_s = time.monotonic() + 1
    assert earlier_run.is_ruled_out_by(listed, after_s) == (is_barred and not is_listed)
    assert earlier_run.must_be_barred(listed, after_s) == (not is_barred and not is_listed)
    assert not earlier_run.is_ruled_out_by([], earlier_run.barred_s)
    assert worker.polls == 1
