import gevent
import pytest

from camphorchute.contracts.member import Member
from camphorchute.queues import free_capacity_reports as module
from camphorchute.queues.free_capacity_reports import RoomReports

GROUPS = [f"{zone}/flags/{number}" for zone in ("north", "south") for number in range(8)]


def members_of(zone, processes):
    return [Member(f"{zone}{n:02}", zone, "", "", "", "") for n in range(processes)]


class FakeView:
    def __init__(self, members):
        self.members = {member.member_id: member for member in members}

    def group_names(self):
        return GROUPS


class FakeHome:
    def __init__(self, groups):
        self.held = groups
        self.changed = None

    def groups(self):
        return self.held

    def room(self):
        return []


class FakePeers:
    def __init__(self, member):
        self.member = member
        self.told = []
        self.linked = set()

    def send_each(self, members, message):
        self.told.append(sorted(member.member_id for member in members))

    def is_linked(self, member_id):
        return member_id in self.linked


class Site:
    def __init__(self, groups):
        members = members_of("north", 12) + members_of("south", 12)
        self.peers = FakePeers(members[0])
        self.home = FakeHome(groups)
        self.view = FakeView(members)
        self.reports = RoomReports(self.home, self.peers, self.view, lambda name, n=1: None)

    def told_next(self):
        already = len(self.peers.told)
        self.home.changed()
        with gevent.Timeout(5):
            while len(self.peers.told) <= already:
                gevent.sleep(0.002)
        return self.peers.told[-1]


@pytest.fixture
def make_site(monkeypatch):
    monkeypatch.setattr(module, "REPORT_MAX_MS", 60_000.0)
    started = []

    def make(groups):
        site = Site(groups)
        site.reports.start()
        started.append(site)
        return site

    yield make
    for site in started:
        site.reports.close()


def test_only_members_that_follow_a_group_are_told(make_site):
    told = make_site([GROUPS[0]]).told_next()
    assert len(told) == 12
    assert "north00" in told


def test_process_without_groups_reports_nothing(make_site):
    site = make_site([])
    site.home.changed()
    gevent.sleep(0.1)
    assert site.peers.told == []


def test_followers_are_told_once_more_when_the_last_group_is_given_up(make_site):
    site = make_site([GROUPS[0]])
    told = site.told_next()
    site.home.held = []
    assert site.told_next() == told
    site.home.changed()
    gevent.sleep(0.1)
    assert len(site.peers.told) == 2


@pytest.mark.parametrize("linked", [True, False])
def test_member_whose_registration_lapsed_is_told_while_it_is_linked(make_site, linked):
    site = make_site([GROUPS[0]])
    lapsed = site.told_next()[-1]
    del site.view.members[lapsed]
    site.peers.linked = {lapsed} if linked else set()
    site.told_next()
    assert (lapsed in site.told_next()) is linked
