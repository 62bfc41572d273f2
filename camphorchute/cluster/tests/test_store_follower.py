import pytest

import camphorchute.platform  # noqa: F401 - fills the registry of platforms
from bench.standins.fleet_site import FleetSite
from camphorchute.cluster import ClusterView, StoreFollower
from camphorchute.hosting import make_platform
from camphorchute.runs.tests.scheduler_site import wait_until

BATCHING_MS = 10_000.0


def ignore_count(name, n=1):
    pass


@pytest.fixture
def site():
    opened = FleetSite(["north"], 2)
    opened.start()
    yield opened
    opened.close()


@pytest.fixture
def followed(site):
    """A follower that has read the workers and pauses after a first change, and its view."""
    platform = make_platform("fleet", site.store.address, ignore_count)
    view = ClusterView(platform, ignore_count)
    follower = StoreFollower(
        platform.store, platform.worker_prefix, view, ignore_count, BATCHING_MS
    )
    follower.start()
    assert wait_until(lambda: len(view.workers) == 2)
    site.workers[0].set_slots(1)
    assert wait_until(lambda: slots_known(view) == [1, 2])
    yield follower, view
    follower.close()
    platform.store.close()


def slots_known(view):
    return [view.workers[f"north-w{n}"].capacity.cpu_millicores // 14_000 for n in range(2)]


# After a long pause a process started tasks by entries that a watch replaced 600 ms later.
def test_workers_are_read_again_while_a_watch_collects_changes(site, followed):
    follower, view = followed
    site.workers[1].set_slots(0)
    assert follower.is_current()
    follower.read_again()
    assert not follower.is_current()
    assert wait_until(follower.is_current, 0.8)
    assert slots_known(view) == [1, 0]


def test_entries_are_relied_on_again_if_the_store_does_not_answer(site, followed):
    follower, view = followed
    site.store.faults.hang = True
    follower.read_again()
    assert not wait_until(follower.is_current, 0.8)
    assert wait_until(follower.is_current, 0.5)


def test_watch_goes_on_after_the_workers_were_read_again(site, followed):
    follower, view = followed
    follower.read_again()
    assert wait_until(follower.is_current)
    site.workers[1].set_slots(1)
    assert wait_until(lambda: slots_known(view) == [1, 1])
