import gevent
import msgspec
import pytest
from gevent.event import Event

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.batch_job import BatchJob, BatchStep, QueueLimits
from camphorchute.contracts.member import Member
from camphorchute.contracts.resources import Resources
from camphorchute.contracts.run_messages import GroupFreeCapacity, RoomReport, TaskResultKind
from camphorchute.entry.problem import problem_response
from camphorchute.hosting import Queue
from camphorchute.queues import FreeCapacityView
from camphorchute.queues.job_admission import JobAdmission
from camphorchute.queues.tests.test_queue_owner import Site
from camphorchute.runs.tests.scheduler_site import wait_until

QUEUE = Queue("checks", "a.example", "/", "flags", 5000.0, QueueLimits(0, 3, 2.0, 500.0))
DEMAND = Resources(1000, 64)
REFUSALS = 40


def make_view(wait_ms):
    """Return the view of a full group in which a task is expected to wait."""
    core_ms = {0: 32 * wait_ms}
    report = GroupFreeCapacity("north/flags/0", "flags", Resources(32_000, 65_536), core_ms, [])
    view = FreeCapacityView()
    view.handle_report(Member("h0", "north", "", "", "", ""), RoomReport([report]))
    return view


def refuse(wait_ms):
    """Return the refusal of a job that is expected to wait longer than it may."""
    admission = JobAdmission(make_view(wait_ms), lambda times: 100.0, lambda *counter: None)
    job = BatchJob("job", "text", (BatchStep(1, DEMAND, 10.0),))
    with pytest.raises(Refusal) as raised:
        admission.admit(job, QUEUE, 60_000.0, Event())
    return raised.value


def header_seconds(refusal):
    return int(dict(problem_response(refusal).headers)["Retry-After"])


@pytest.mark.parametrize("wait_ms", [300.0, 1000.0, 1300.0, 2000.0, 7000.0])
def test_refused_callers_come_back_after_the_expected_wait_and_not_all_at_once(wait_ms):
    """All callers that were refused for the same reason came back in the same second."""
    refusals = [refuse(wait_ms) for _ in range(REFUSALS)]
    assert {refusal.code for refusal in refusals} == {ResultCode.OVERLOADED}
    assert min(refusal.retry_after_ms for refusal in refusals) >= wait_ms
    assert max(refusal.retry_after_ms for refusal in refusals) <= 2 * wait_ms + 1500.0
    assert len({refusal.retry_after_ms for refusal in refusals}) > REFUSALS / 2
    assert len({header_seconds(refusal) for refusal in refusals}) >= 2


@pytest.mark.parametrize("wait_ms", [300.0, 1300.0])
def test_header_and_body_of_a_refusal_state_the_same_time(wait_ms):
    refusal = refuse(wait_ms)
    body_ms = msgspec.json.decode(problem_response(refusal).body)["retry_after_ms"]
    assert body_ms == refusal.retry_after_ms
    assert isinstance(body_ms, int)
    assert 1000 * (header_seconds(refusal) - 1) < body_ms <= 1000 * header_seconds(refusal)


def test_job_that_did_not_start_in_time_is_refused_with_the_wait_expected_then():
    """Such a refusal named a constant, however long the tasks that wait would take."""
    site = Site(start_limit_ms=60.0, h0=1)
    site.submit(1)
    gevent.sleep(0.07)
    report = GroupFreeCapacity("north/flags/h0", "flags", Resources(32_000, 65_536), {0: 3.2e5}, [])
    site.capacity_view.handle_report(Member("h0", "north", "", "", "", ""), RoomReport([report]))
    site.report_end("h0", TaskResultKind.NOT_STARTED, 0, run=0)
    assert wait_until(lambda: site.outcome is not None, 0.5)
    assert site.outcome.code is ResultCode.OVERLOADED
    assert site.outcome.retry_after_ms >= 10_000


def test_refusal_without_an_estimate_is_spread_too():
    """Refusals without a time all had a header of one second."""
    refusals = [Refusal(ResultCode.NOT_READY, "no configuration") for _ in range(REFUSALS)]
    assert len({header_seconds(refusal) for refusal in refusals}) >= 2


@pytest.mark.parametrize(
    ("group_wait_ms", "own_delay_ms", "is_accepted"),
    [
        (0.0, 0.0, True),
        (0.0, 60.0, True),
        (0.0, 300.0, False),
        (60.0, 60.0, False),
        (300.0, 0.0, False),
    ],
    ids=["no load", "some delay here", "saturated process", "both add up", "full groups"],
)
def test_job_is_refused_at_once_for_the_delay_in_this_process(
    group_wait_ms, own_delay_ms, is_accepted
):
    """A saturated process accepted jobs that ended in 504 after their caller's deadline."""
    counted = []
    admission = JobAdmission(make_view(group_wait_ms), lambda times: 100.0, counted.append)
    admission.own_delay_ms = lambda: own_delay_ms
    job = BatchJob("job", "text", (BatchStep(1, DEMAND, 10.0),))
    try:
        admission.admit(job, QUEUE, 60_000.0, Event())
        assert is_accepted
    except Refusal as refusal:
        assert not is_accepted
        assert refusal.code is ResultCode.OVERLOADED
        assert refusal.retry_after_ms >= group_wait_ms + own_delay_ms
    is_saturated = not is_accepted and group_wait_ms <= 80.0
    assert ("queues.refused.process_saturated" in counted) == is_saturated
