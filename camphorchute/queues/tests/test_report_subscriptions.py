import gevent
import pytest

from camphorchute.cluster import GroupFollowers, WorkerCapacities
from camphorchute.cluster.worker_groups import WorkerGroups
from camphorchute.contracts.member import Member
from camphorchute.contracts.resources import Resources
from camphorchute.contracts.run_messages import GroupFreeCapacity, RoomReport
from camphorchute.hosting import WorkerEntry
from camphorchute.queues import FreeCapacityView, ReportSubscriptions
from camphorchute.queues import report_subscriptions as module

SMALL, LARGE = Resources(1000, 64), Resources(1000, 64, 1)
PLAIN, WITH_GPU = Resources(32_000, 65_536), Resources(32_000, 65_536, 2)
ZONES = ("north", "east", "south")
MEMBER = Member("north0", "north", "", "", "", "")


class ListedWorkers:
    """A cluster view of some services, in which each group has a scheduler of its own."""

    def __init__(self, gpu_groups, workers=49, small_service=False):
        groups = WorkerGroups()
        for zone in ZONES:
            for number in range(workers):
                name = f"{zone}{number}"
                groups.set_worker(WorkerEntry(name, 1, "", "flags", zone, PLAIN))
            if small_service:
                groups.set_worker(WorkerEntry(f"m{zone}", 1, "", "maps", zone, PLAIN))
        for name in gpu_groups:
            entry = next(iter(groups.by_name[name].values()))
            groups.set_worker(WorkerEntry(entry.worker_id, 1, "", "flags", entry.zone, WITH_GPU))
        self.names = sorted(groups.by_name)
        self.capacities = WorkerCapacities(groups)
        self.members = [
            Member(f"{zone}{n}", zone, "", "", "", "") for zone in ZONES for n in (0, 1)
        ]
        self.vacant = set()

    def followers(self):
        return GroupFollowers(self.members, self.names)

    def scheduler_of(self, group):
        return None if group in self.vacant else Member(group, "", "", "", "", "")


class Site:
    def __init__(self, view, evacuated=()):
        self.view, self.asked, self.is_linked, self.counts = view, [], True, {}
        self.subscriptions = ReportSubscriptions(
            MEMBER, view, lambda zone: zone in evacuated, self.send, self.count
        )

    def send(self, member, for_ms):
        assert for_ms == module.SUBSCRIPTION_MS
        self.asked.append(member.member_id)
        return self.is_linked

    def count(self, name, n=1):
        self.counts[name] = self.counts.get(name, 0) + n

    def request(self, demand, service="flags"):
        followed = set(self.view.followers().followed_by(MEMBER))
        able = followed & {*self.view.capacities.groups_for(service, demand)}
        self.subscriptions.request(service, demand, able)
        return sorted(self.asked)


# Jobs whose only workers were in groups that a process did not follow were refused, or accepted and
# never started (case 3 of the review); so were those of a small service beside a large one.
@pytest.mark.parametrize(
    ("gpu_groups", "service", "demand", "requested"),
    [
        (["south/flags/7"], "flags", LARGE, ["south/flags/7"]),
        (["north/flags/0"], "flags", LARGE, []),
        (["north/flags/7", "east/flags/5"], "flags", LARGE, ["east/flags/5", "north/flags/7"]),
        ([], "flags", LARGE, []),
        ([], "flags", SMALL, []),
        ([], "maps", SMALL, ["east/maps/0", "north/maps/0", "south/maps/0"]),
    ],
    ids=["one", "followed", "two", "none", "common", "small service"],
)
def test_reports_are_requested_for_demands_that_few_followed_groups_hold(
    gpu_groups, service, demand, requested
):
    site = Site(ListedWorkers(gpu_groups, small_service=True))
    assert site.request(demand, service) == requested


def test_number_of_requested_groups_is_bounded():
    gpu_groups = [f"{zone}/flags/{number}" for zone in ZONES for number in range(4, 8)]
    site = Site(ListedWorkers(gpu_groups))
    requested = site.request(LARGE)
    assert len(requested) == module.ABLE_GROUPS_MIN
    assert requested == [f"north/flags/{number}" for number in range(4, 8)]


def test_groups_of_evacuated_zones_are_not_requested():
    view = ListedWorkers(["south/flags/7", "east/flags/7"])
    assert Site(view, {"south"}).request(LARGE) == ["east/flags/7"]


def test_request_is_renewed_only_after_a_while(monkeypatch):
    monkeypatch.setattr(module, "RENEWAL_INTERVAL_MS", 60.0)
    site = Site(ListedWorkers(["south/flags/7"]))
    assert len(site.request(LARGE)) == len(site.request(LARGE)) == 1
    gevent.sleep(0.07)
    assert len(site.request(LARGE)) == 2


@pytest.mark.parametrize("is_vacant", [True, False])
def test_request_that_could_not_be_sent_is_repeated_soon(is_vacant):
    site = Site(ListedWorkers(["south/flags/7"]))
    site.view.vacant, site.is_linked = ({"south/flags/7"}, True) if is_vacant else (set(), False)
    site.request(LARGE)
    site.view.vacant, site.is_linked = set(), True
    gevent.sleep(module.RETRY_INTERVAL_MS / 1000 + 0.01)
    assert site.request(LARGE)[-1:] == ["south/flags/7"]
    assert site.counts == {"queues.retry.request_reports": 1, "queues.reports_requested": 1}


@pytest.mark.parametrize(("is_listed", "can_ever_run"), [(True, True), (False, False)])
def test_sample_of_reports_does_not_decide_that_no_worker_can_run_a_job(is_listed, can_ever_run):
    listed = ListedWorkers(["south/flags/7"] if is_listed else [])
    view, requested = FreeCapacityView("north"), []
    view.capacities = listed.capacities
    view.request_reports = lambda *request: requested.append(request)
    report = GroupFreeCapacity("north/flags/0", "flags", PLAIN, {}, [], largest=PLAIN)
    view.handle_report(MEMBER, RoomReport([report]))
    assert view.can_ever_run("flags", LARGE) is can_ever_run
    assert not view.can_plan("flags", LARGE)
    assert requested == [("flags", LARGE, [])]
