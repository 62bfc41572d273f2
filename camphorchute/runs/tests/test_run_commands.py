import pytest

from camphorchute.hosting import CommandRefused, CommandUnanswered, RefusalReason
from camphorchute.runs.earlier_run import EarlierRun
from camphorchute.runs.run_commands import RunCommands

TASK = "5c0e7a21d94b36f8.0.0.0"


class FakeClient:
    """Answers each stop command with an error, or acknowledges it if there is none."""

    def __init__(self, error):
        self._error = error

    def stop_run(self, task, run, fencing_token):
        if self._error is not None:
            raise self._error


class FakeWorker:
    """Records the earlier runs that are to be ruled out again, and the calls of its listener."""

    def __init__(self):
        self.asked_again = []
        self.changes = 0

    def rule_out(self, earlier_run):
        self.asked_again.append(earlier_run)

    def worker_changed(self, worker):
        self.changes += 1


@pytest.mark.parametrize(
    ("error", "is_ruled_out"),
    [
        (None, True),
        (CommandRefused(RefusalReason.OLD_RUN, "old"), True),
        (CommandRefused(RefusalReason.FENCED, "fence"), False),
        (CommandUnanswered("timeout"), False),
    ],
)
def test_earlier_run_is_ruled_out_once_its_worker_cannot_start_it(error, is_ruled_out):
    worker = FakeWorker()
    commands = RunCommands(worker, FakeClient(error), lambda: 7, worker, lambda name, n=1: None)
    earlier_run = EarlierRun(TASK, 2, worker)
    commands.bar_earlier_run(earlier_run)
    assert earlier_run.is_ruled_out == is_ruled_out
    assert (worker.changes, worker.asked_again) == ((1, []) if is_ruled_out else (0, [earlier_run]))
