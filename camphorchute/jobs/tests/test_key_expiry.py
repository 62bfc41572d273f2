"""A key is known to the next owner at least until the deadline of its job."""

import copy
import time

import gevent
import pytest

from camphorchute.contracts.messages import Done, FindTasks, FoundTasks, Witness
from camphorchute.jobs.tests.fakes import B, OwnerHarness
from camphorchute.zones.tests.fakes import WINDOW_MS

KEY = "k"
LATER_S = 20.0
REMAINING_MS = 30_000.0


@pytest.fixture
def make_owner():
    harnesses = []

    def make(window_ms):
        harnesses.append(OwnerHarness(window_ms=window_ms))
        return harnesses[-1]

    yield make
    for harness in harnesses:
        harness.owner.close()


def submit_accepted_job(first):
    first.submit(KEY, remaining_ms=REMAINING_MS)


def submit_resumed_job(first):
    first.add_accepted_key(KEY, expires_unix_ms=round(time.time() * 1000 + 5000.0))
    first.submit(KEY, remaining_ms=REMAINING_MS)


# Guards against a key that is forgotten by its age while tasks of its job run: the next owner took
# it for a new one and started the tasks a second time.
@pytest.mark.parametrize(
    ("window_ms", "submit"),
    [(1000.0, submit_accepted_job), (WINDOW_MS, submit_resumed_job)],
    ids=["window shorter than the deadline", "resumed at the end of the window"],
)
def test_next_owner_starts_no_task_of_a_job_before_its_deadline(
    monkeypatch, make_owner, window_ms, submit
):
    first, second = make_owner(window_ms), make_owner(window_ms)
    witnessed = []

    def hold_entries(member, message):
        witnessed.extend(copy.deepcopy(message.entries))
        return Done()

    first.peers.replies[Witness] = hold_entries
    first.report_free_slots(B)
    submit(first)
    assert first.dispatched_tasks() == [("b", 0), ("b", 1)]

    second.ledger.merge(witnessed)
    real_time = time.time
    monkeypatch.setattr(time, "time", lambda: real_time() + LATER_S)
    second.ledger.expire()
    second.peers.replies[FindTasks] = lambda scheduler, message: FoundTasks(
        KEY, [], [0, 1] if scheduler == B else []
    )
    second.report_free_slots(B)
    second.submit(KEY)
    gevent.sleep(0.01)
    assert second.dispatched_tasks() == []
