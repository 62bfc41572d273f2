import math

import pytest

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.run_messages import TaskResultKind
from camphorchute.policies.concurrency_limit import adapt_to_delay, set_no_limit
from camphorchute.queues import JobOutcome
from camphorchute.queues.open_task_limit import OpenTaskLimit
from camphorchute.queues.tests.test_queue_owner import QUEUE, Site, make_member
from camphorchute.runs.tests.scheduler_site import wait_until

WIDTHS = {"urgent": 8, "small": 2, "long": 4}
PRIORITIES = {"urgent": 0, "small": 1, "long": 2}


def make_limit(limit=math.inf, policy=adapt_to_delay, queues=WIDTHS):
    """Return a limit to which each queue has submitted a job, which has ended."""
    made = OpenTaskLimit(policy)
    for queue in queues:
        made.add_job(queue, PRIORITIES[queue], WIDTHS[queue], 10.0)
        made.remove_job(queue, WIDTHS[queue], 0.1, True)
    made.limit = limit
    return made


def fill(limit, *queues, jobs=50):
    """Submit jobs of some queues in turn; return the open tasks of each."""
    for _ in range(jobs):
        for queue in queues:
            if limit.is_open_to(queue, PRIORITIES[queue], 10.0):
                limit.add_job(queue, PRIORITIES[queue], WIDTHS[queue], 10.0)
    return [limit.open_tasks_of(queue) for queue in queues]


def record(limit, now_s, late_tasks, in_time_tasks=0):
    limit.record_delay(in_time_tasks, False, now_s - 0.001)
    limit.record_delay(late_tasks, True, now_s)


@pytest.mark.parametrize("limit", [14.0, 40.0, 120.0])
def test_each_queue_has_a_floor_and_urgent_ones_go_first_above_it(limit):
    open_tasks = fill(make_limit(limit), "long", "small", "urgent")
    assert min(open_tasks) >= limit / 6
    assert open_tasks[2] >= limit / 3
    assert sum(open_tasks) <= limit + sum(WIDTHS.values())


@pytest.mark.parametrize("queue", list(WIDTHS))
def test_queue_that_fills_the_limit_does_not_keep_another_one_out(queue):
    """An urgent queue above the capacity would have taken every task from the others."""
    limit = make_limit(30.0)
    fill(limit, queue)
    for other in WIDTHS:
        if other != queue:
            assert limit.is_open_to(other, PRIORITIES[other], 10.0)


@pytest.mark.parametrize("queue", list(WIDTHS))
def test_only_queue_in_use_gets_nearly_the_whole_limit(queue):
    (open_tasks,) = fill(make_limit(60.0, queues=[queue]), queue)
    assert 60 <= open_tasks < 60 + WIDTHS[queue]


def test_wide_job_is_opened_as_a_narrow_one_of_its_queue():
    """A wide job that has to fit into what is left is refused more often than a narrow one."""
    limit = make_limit(20.0, queues=["small"])
    limit.add_job("small", 1, 19, 10.0)
    assert limit.is_open_to("small", 1, 10.0)
    limit.add_job("small", 1, 30, 10.0)
    assert not limit.is_open_to("small", 1, 10.0)


@pytest.mark.parametrize("policy", [adapt_to_delay, set_no_limit])
def test_process_with_time_to_spare_refuses_no_burst(policy):
    limit = make_limit(policy=policy)
    for period in range(20):
        fill(limit, *WIDTHS, jobs=100)
        record(limit, 11.0 + 0.3 * period, late_tasks=10, in_time_tasks=100)
    assert math.isinf(limit.limit)
    assert limit.open_tasks == 20 * 100 * sum(WIDTHS.values())


@pytest.mark.parametrize(
    ("periods", "is_limited"), [([9], False), ([9, 0, 9, 0], False), ([9, 9], True)]
)
def test_one_pause_of_the_process_sets_no_limit(periods, is_limited):
    limit = make_limit()
    limit.add_job("urgent", 0, 50, 10.0)
    for number, late_tasks in enumerate(periods):
        record(limit, 11.0 + 0.3 * number, late_tasks, 9 - late_tasks)
    assert math.isinf(limit.limit) != is_limited


def test_limit_falls_to_one_job_of_each_queue_without_results_and_recovers():
    """Without results a process would have gone on to accept jobs, or never again."""
    limit = make_limit()
    fill(limit, *WIDTHS, jobs=20)
    for period in range(30):
        record(limit, 11.0 + 0.3 * period, late_tasks=20)
    assert limit.limit <= sum(WIDTHS.values())
    for queue in WIDTHS:
        limit.remove_job(queue, limit.open_tasks_of(queue), 1.0, False)
        assert limit.is_open_to(queue, PRIORITIES[queue], 20.0)
        limit.add_job(queue, PRIORITIES[queue], WIDTHS[queue], 20.0)
    for period in range(30):
        record(limit, 20.0 + 0.3 * period, late_tasks=0, in_time_tasks=20)
    assert math.isinf(limit.limit)


@pytest.mark.parametrize(
    ("open_tasks", "idle_s", "is_limited"), [(0, 60.0, False), (0, 1.0, True), (2, 60.0, True)]
)
def test_limit_is_forgotten_after_an_idle_time(open_tasks, idle_s, is_limited):
    """The first burst after a quiet hour was refused, though nothing was late any more."""
    limit = make_limit()
    limit.add_job("urgent", 0, 50, 10.0)
    for number in range(20):
        record(limit, 11.0 + 0.3 * number, late_tasks=9)
    limit.is_open_to("urgent", 0, 17.0)
    limit.remove_job("urgent", 50 - open_tasks, 1.0, False)
    now_s = 17.0 + idle_s
    opened = 0
    while opened < 30 and limit.is_open_to("urgent", 0, now_s):
        limit.add_job("urgent", 0, 8, now_s)
        opened += 1
    assert (opened < 30) == is_limited


def test_policy_none_sets_no_limit_whatever_is_measured():
    limit = make_limit(policy=set_no_limit)
    fill(limit, *WIDTHS)
    for period in range(10):
        record(limit, 11.0 + 0.3 * period, late_tasks=50)
    assert math.isinf(limit.limit)


def open_limited_site():
    """Return a site with an open job and a limit that is reached."""
    site = Site(h0=2)
    site.submit(3)
    site.owner.admission.open_tasks.limit = 2.0
    return site


def test_job_above_the_limit_is_refused_by_queue_and_id_alone():
    site = open_limited_site()
    with pytest.raises(Refusal) as raised:
        site.owner.refuse_over_limit(QUEUE, "job2")
    assert raised.value.code is ResultCode.OVERLOADED
    assert raised.value.retry_after_ms >= 5000  # nothing has ended yet
    assert site.counts["queues.refused.concurrency_limit"] == 1


def test_resend_of_a_job_that_is_open_or_done_is_never_refused():
    site = open_limited_site()
    site.owner.refuse_over_limit(QUEUE, "job1")
    site.report_end("h0", TaskResultKind.DONE, 0, 1, 2)
    assert wait_until(lambda: site.outcome is JobOutcome.DONE)
    assert site.owner.admission.open_tasks.open_tasks == 0
    site.owner.admission.open_tasks.add_job(QUEUE.name, 0, 50, 0.0)
    site.owner.refuse_over_limit(QUEUE, "job1")
    with pytest.raises(Refusal):
        site.owner.refuse_over_limit(QUEUE, "job2")


def test_queue_with_durable_jobs_is_not_refused_before_its_bodies_are_decoded():
    """A durable job that was accepted earlier would have been answered as not run."""
    site = open_limited_site()
    site.owner.admission.open_tasks.exempt(QUEUE.name, 0)
    site.owner.refuse_over_limit(QUEUE, "job2")


@pytest.mark.parametrize(("delay_ms", "late_share"), [(500.0, 0.0), (700.0, 1.0)])
def test_task_is_late_if_its_delay_exceeds_what_the_target_time_allows(delay_ms, late_share):
    """The target time of this queue allows 600 ms beyond the run."""
    site = Site(h0=2)
    site.submit(8)
    (run,) = site.owner._jobs.values()
    site.owner.admission.process_delay._add(run, make_member("h0").member_id, delay_ms, 8, 10.0)
    assert site.owner.admission.open_tasks.late_share == late_share
