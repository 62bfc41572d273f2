import time

import gevent
import pytest

from camphorchute.cluster import GroupFollowers
from camphorchute.contracts.member import Member
from camphorchute.contracts.resources import Resources
from camphorchute.contracts.run_messages import (
    GroupFreeCapacity,
    WorkerFreeCapacity,
)
from camphorchute.queues import free_capacity_reports as module
from camphorchute.queues.free_capacity_reports import FreeCapacityReports

GROUPS = [f"{zone}/flags/{number}" for zone in ("north", "south") for number in range(8)]


def make_members(zone, member_count):
    return [Member(f"{zone}{n:02}", zone, "", "", "", "") for n in range(member_count)]


class FakeView:
    def __init__(self, members):
        self.members = {member.member_id: member for member in members}

    def followers(self):
        return GroupFollowers(self.members.values(), GROUPS)


class FakeScheduler:
    def __init__(self, groups):
        self.held = groups
        self.on_capacity_changed = None

    def groups(self):
        return self.held

    def free_capacity_report(self):
        return []


class FakePeers:
    def __init__(self, member):
        self.member = member
        self.receivers_by_report = []
        self.messages = []
        self.sent_alone = []
        self.linked = set()

    def send_to_all(self, members, message):
        self.receivers_by_report.append(sorted(member.member_id for member in members))
        self.messages.append(message)

    def send_if_linked(self, member_id, message):
        self.sent_alone.append((member_id, message.number))
        return True

    def is_linked(self, member_id):
        return member_id in self.linked


class Site:
    def __init__(self, groups):
        members = make_members("north", 12) + make_members("south", 12)
        self.peers = FakePeers(members[0])
        self.scheduler = FakeScheduler(groups)
        self.view = FakeView(members)
        self.reports = FreeCapacityReports(
            self.scheduler, self.peers, self.view, lambda name, n=1: None
        )

    def next_receivers(self):
        reports_before = len(self.peers.receivers_by_report)
        self.scheduler.on_capacity_changed()
        with gevent.Timeout(5):
            while len(self.peers.receivers_by_report) <= reports_before:
                gevent.sleep(0.002)
        return self.peers.receivers_by_report[-1]


@pytest.fixture
def make_site(monkeypatch):
    monkeypatch.setattr(module, "REPORT_INTERVAL_MAX_MS", 60_000.0)
    started = []

    def make(groups):
        site = Site(groups)
        site.reports.start()
        started.append(site)
        return site

    yield make
    for site in started:
        site.reports.close()


def test_only_followers_of_a_group_receive_its_reports(make_site):
    receivers = make_site([GROUPS[0]]).next_receivers()
    assert len(receivers) == 12
    assert "north00" in receivers


def test_process_without_groups_sends_no_report(make_site):
    site = make_site([])
    site.scheduler.on_capacity_changed()
    gevent.sleep(0.1)
    assert site.peers.receivers_by_report == []


def test_followers_receive_one_more_report_after_the_last_group_is_released(make_site):
    site = make_site([GROUPS[0]])
    receivers = site.next_receivers()
    site.scheduler.held = []
    assert site.next_receivers() == receivers
    site.scheduler.on_capacity_changed()
    gevent.sleep(0.1)
    assert len(site.peers.receivers_by_report) == 2


@pytest.mark.parametrize("linked", [True, False])
def test_unregistered_member_receives_reports_while_it_is_linked(make_site, linked):
    site = make_site([GROUPS[0]])
    unregistered = site.next_receivers()[-1]
    del site.view.members[unregistered]
    site.peers.linked = {unregistered} if linked else set()
    site.next_receivers()
    assert (unregistered in site.next_receivers()) is linked


def group_report(free_cores=(32, 32, 16), waiting_core_ms=0.0, group=GROUPS[0]):
    workers = [WorkerFreeCapacity(Resources(1000 * cores), 1.0) for cores in free_cores]
    capacity = Resources(32_000 * len(free_cores))
    return GroupFreeCapacity(group, "flags", capacity, {0: waiting_core_ms}, workers)


@pytest.mark.parametrize(
    ("before", "after", "is_reported_at_once"),
    [
        ([group_report()], [group_report()], False),
        ([group_report((32, 32, 16))], [group_report((32, 16, 16))], False),
        ([group_report((32, 32, 16))], [group_report((16, 16, 16))], True),
        ([group_report((16, 0, 0))], [group_report((0, 0, 0))], True),
        ([group_report((0, 0, 0))], [group_report((16, 0, 0))], True),
        ([group_report((0, 0), 0.0)], [group_report((0, 0), 100.0)], True),
        ([group_report((0, 0), 1000.0)], [group_report((0, 0), 1100.0)], False),
        ([group_report((0, 0), 1000.0)], [group_report((0, 0), 2000.0)], True),
        ([group_report((32, 32))], [group_report((32, 32, 0))], True),
        ([group_report()], [group_report(), group_report(group=GROUPS[1])], True),
    ],
)
def test_change_that_hardly_matters_waits(make_site, before, after, is_reported_at_once):
    site = make_site([GROUPS[0]])
    site.scheduler.free_capacity_report = lambda: before
    site.next_receivers()
    site.scheduler.free_capacity_report = lambda: after
    site.scheduler.on_capacity_changed()
    gevent.sleep(0.1)
    assert len(site.peers.receivers_by_report) == (2 if is_reported_at_once else 1)
    gevent.sleep(0.2)
    assert len(site.peers.receivers_by_report) == 2


@pytest.mark.parametrize("pause_ms", [10.0, 16.0])
def test_many_changes_that_hardly_matter_are_reported_together(make_site, pause_ms):
    """A process received fourteen reports for each job that it owned."""
    site = make_site([GROUPS[0]])
    site.scheduler.free_capacity_report = lambda: [group_report()]
    started_s = time.monotonic()
    for _ in range(60):
        site.scheduler.on_capacity_changed()
        gevent.sleep(pause_ms / 1000)
    elapsed_ms = (time.monotonic() - started_s) * 1000
    assert len(site.peers.receivers_by_report) <= 1 + elapsed_ms / module.MINOR_CHANGE_INTERVAL_MS


def test_only_changes_are_reported_between_complete_reports(make_site):
    site = make_site([GROUPS[0]])
    for free_cores in ((32, 32, 16), (32, 0, 16), (32, 0, 32)):
        site.scheduler.free_capacity_report = lambda free=free_cores: [group_report(free)]
        site.next_receivers()
    site.scheduler.free_capacity_report = lambda: [group_report((32, 0, 32, 32))]
    site.next_receivers()
    messages = site.peers.messages
    assert [len(message.groups) for message in messages] == [1, 0, 0, 1]
    assert [message.number for message in messages] == [1, 2, 3, 4]
    assert [list(message.changes[0].workers) for message in messages[1:3]] == [[1], [2]]


def test_new_follower_gets_a_complete_report(make_site):
    site = make_site([GROUPS[0]])
    for member_id in ("north00", "north00", "south99"):
        site.view.members[member_id] = Member(member_id, member_id[:5], "", "", "", "")
        site.scheduler.free_capacity_report = lambda: [group_report((32, 0, 16))]
        site.next_receivers()
        if member_id == "south99":
            assert len(site.peers.receivers_by_report[-1]) > 12
    assert [len(message.groups) for message in site.peers.messages] == [1, 0, 1]


def test_complete_report_follows_within_500_ms(make_site, monkeypatch):
    """A receiver that missed a report knows the capacity of its groups again by then."""
    monkeypatch.setattr(module, "REPORT_INTERVAL_MAX_MS", 500.0)
    site = make_site([GROUPS[0]])
    complete_s = []
    send = site.peers.send_to_all
    site.peers.send_to_all = lambda members, message: (
        send(members, message),
        message.groups and complete_s.append(time.monotonic()),
    )
    for round_number in range(150):
        free = (32, 32, 16) if round_number % 2 else (32, 0, 16)
        site.scheduler.free_capacity_report = lambda free=free: [group_report(free)]
        if round_number % 50 < 25:
            site.scheduler.on_capacity_changed()
        gevent.sleep(0.01)
    pauses_s = [later - earlier for earlier, later in zip(complete_s, complete_s[1:], strict=False)]
    assert len(site.peers.messages) > 2 * len(complete_s)
    assert max(pauses_s) < 0.5 + 0.05


def test_member_that_requests_reports_receives_them_for_a_time(make_site):
    site = make_site([GROUPS[0]])
    site.scheduler.free_capacity_report = lambda: [group_report()]
    receivers = site.next_receivers()
    other = next(m for m in site.view.members.values() if m.member_id not in receivers)
    site.reports.subscribe(other, 400.0)
    assert site.peers.sent_alone == [(other.member_id, 1)]
    assert other.member_id in site.next_receivers()
    gevent.sleep(0.45)
    site.next_receivers()  # the last one, for members that need no more
    assert site.next_receivers() == receivers
