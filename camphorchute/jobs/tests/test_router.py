import pytest

from camphorchute.contracts import Fate, InvariantBroken, JobAnswer, Refusal, ResultCode
from camphorchute.contracts.messages import JobEnded
from camphorchute.jobs import Router
from camphorchute.jobs.tests.fakes import A, B, make_spec
from camphorchute.links import LinkLost, PeerUnreachable
from camphorchute.zones.tests.fakes import Counts, record_of
from camphorchute.zones.view import ZoneView


class FailingPeers:
    """Peers whose owner raises the given failures in turn and then answers."""

    def __init__(self, failures, answer):
        self.failures = list(failures)
        self.answer = answer
        self.request_count = 0

    def request(self, member, message, timeout_ms):
        self.request_count += 1
        if self.failures:
            raise self.failures.pop(0)
        return JobEnded(self.answer)

    def is_linked(self, member_id):
        return False


class FakeRecords:
    """A store without newer records."""

    def refresh(self, zone):
        return None


def submit_job(failures, answer, deadline_ms=400.0):
    view = ZoneView(A)
    view.adopt(record_of([A, B]))
    peers = FailingPeers(failures, answer)
    router = Router(view, peers, FakeRecords(), None, ["north"], Counts())
    job_spec = make_spec()
    job_spec.deadline_ms = deadline_ms
    return router.submit("k", job_spec).greenlet, peers


DONE = JobAnswer("k", answers=["a", "b"])


@pytest.mark.parametrize(
    "failure",
    [
        LinkLost("ended"),
        PeerUnreachable("no link"),
        Refusal(ResultCode.STALE_TERM),
        Refusal(ResultCode.NOT_OWNER),
        Refusal(ResultCode.SHARD_NOT_SETTLED),
        Refusal(ResultCode.NOT_READY),
    ],
)
def test_retryable_failures_are_retried_and_never_reported_as_not_run(failure):
    greenlet, peers = submit_job([failure, failure], DONE, deadline_ms=8000.0)
    assert greenlet.get(timeout=9) == DONE and peers.request_count == 3
    greenlet, _ = submit_job([failure] * 1000, DONE)
    answer = greenlet.get(timeout=5)
    assert answer.code == ResultCode.OWNER_UNREACHABLE and answer.fate is Fate.UNKNOWN


def test_other_refusals_are_not_retried():
    greenlet, peers = submit_job([Refusal(ResultCode.OVERLOADED, "full", 700)], DONE)
    answer = greenlet.get(timeout=5)
    assert (answer.code, answer.retry_after_ms) == (ResultCode.OVERLOADED, 700)
    assert peers.request_count == 1


def test_an_answer_to_another_key_breaks_an_invariant():
    greenlet, _ = submit_job([], JobAnswer("other"))
    with pytest.raises(InvariantBroken, match="own_answer"):
        greenlet.get(timeout=5)
