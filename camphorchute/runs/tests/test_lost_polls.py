"""Polls whose answers are lost while the worker goes on."""

import time

import pytest

from camphorchute.hosting import CommandUnanswered
from camphorchute.runs.tests.model_workers import Held
from camphorchute.runs.tests.scheduler_site import wait_until


def lose_polls(site, count):
    """Let the next polls of the worker be lost, each after 20 ms."""
    for _ in range(count):
        held = Held(CommandUnanswered("lost"))
        held.release()
        site.workers["w0"].held["list"].append(held)


def is_responsive(scheduler):
    group = scheduler.group(scheduler.groups()[0])
    return next(iter(group.workers.values())).health.is_responsive


@pytest.mark.parametrize(
    ("lost_polls", "is_suspected"), [(1, False), (2, True), (3, True)], ids=["one", "two", "three"]
)
def test_worker_is_suspected_after_two_polls_in_a_row(open_model, lost_polls, is_suspected):
    """One lost answer had taken a healthy worker out of use, and its runs were overdue."""
    site = open_model(workers=1, run_s=0.4)
    scheduler = site.add_scheduler(7)
    assert wait_until(lambda: is_responsive(scheduler))
    lose_polls(site, lost_polls)
    site.dispatch(scheduler)
    assert wait_until(lambda: site.results, 2.0)
    assert bool(site.counts.get("runs.worker_suspected")) == is_suspected
    assert site.counts["runs.look_lost"] == lost_polls


@pytest.mark.parametrize("estimate_ms", [40.0, 100.0, 300.0])
def test_poll_waits_no_longer_than_the_next_end_is_due(open_model, estimate_ms):
    """The end of a run of 60 ms was known 320 ms later if the answer to a poll was lost."""
    site = open_model(workers=1, run_s=estimate_ms / 1000)
    scheduler = site.add_scheduler(7)
    assert wait_until(lambda: is_responsive(scheduler))
    waits_ms = []
    worker = next(iter(scheduler.group(scheduler.groups()[0]).workers.values()))
    renew = worker._client.renew_and_list

    def recorded(fence, acknowledged, lease_until_ms, wait_ms):
        waits_ms.append(wait_ms)
        return renew(fence, acknowledged, lease_until_ms, wait_ms)

    worker._client.renew_and_list = recorded
    started_s = time.monotonic()
    site.dispatch(scheduler, estimate_ms=estimate_ms)
    assert wait_until(lambda: site.results, 2.0)
    assert (time.monotonic() - started_s) * 1000 < estimate_ms + 150
    first_ms = next(wait_ms for wait_ms in waits_ms if wait_ms)
    assert first_ms <= min(200.0, max(40.0, 1.5 * estimate_ms))
