import gevent
import pytest
from eliot.testing import MemoryLogger, swap_logger

import camphorchute.platform  # noqa: F401 - fills the registry of platforms
from bench.standins.fleet_site import FleetSite
from camphorchute.cluster import OWN_PREFIX, ClusterView, MembershipLease, StoreFollower
from camphorchute.contracts.member import Member
from camphorchute.durable_jobs import ShardClaims
from camphorchute.durable_jobs.shard_markers import OWNED, SHARD_MARKER_KEY_PREFIX
from camphorchute.hosting import make_platform
from camphorchute.runs import SHARD_COUNT
from camphorchute.runs.tests.scheduler_site import wait_until

OUTAGE_S = 1.5
LOST, BACK = "roster: store does not answer", "roster: store answers again"


class WatchedLogger(MemoryLogger):
    """A log in memory that also calls a function with each message."""

    def __init__(self):
        super().__init__()
        self.on_message = lambda message: None

    def write(self, dictionary, serializer=None):
        super().write(dictionary, serializer)
        self.on_message(dictionary)


@pytest.fixture
def logger():
    logger = WatchedLogger()
    previous = swap_logger(logger)
    yield logger
    swap_logger(previous)


@pytest.fixture
def log_lines(logger):
    return logger.messages


@pytest.fixture
def site():
    opened = FleetSite(["north"], 1)
    opened.start()
    for shard in range(SHARD_COUNT):
        opened.store.put(f"{SHARD_MARKER_KEY_PREFIX}{shard:02}", OWNED)
    yield opened
    opened.close()


class Node:
    """The components of an entry process that use the store while it serves."""

    def __init__(self, site):
        self.counts = {}
        platform = make_platform("fleet", site.store.address, self.count)
        member = Member("m0", "north", "", "", "127.0.0.1:7000", "")
        view = ClusterView(platform, self.count)
        self.store = platform.store
        self.lease = MembershipLease(self.store, member, self.count)
        self.claims = ShardClaims(self.store, view, self.lease, member, self.count)
        self.view = view
        prefixes = (OWN_PREFIX, platform.operator_prefix, platform.worker_prefix)
        self.followers = [StoreFollower(self.store, p, view, self.count) for p in prefixes]

    def count(self, name, n=1):
        self.counts[name] = self.counts.get(name, 0) + n

    def start(self):
        for component in (*self.followers, self.lease, self.claims):
            component.start()

    def close(self):
        for component in (self.claims, self.lease, *self.followers):
            component.close()
        self.store.close()


@pytest.fixture
def node(site):
    opened = Node(site)
    opened.start()
    assert wait_until(lambda: opened.view.members and opened.view.workers)
    yield opened
    opened.close()


def texts(log_lines, start):
    return [line for line in log_lines if line.get("text", "").startswith(start)]


@pytest.mark.parametrize("fault", ["busy", "hang"])
def test_outage_of_the_store_has_one_line_when_it_begins_and_one_when_it_ends(
    node, site, logger, log_lines, fault
):
    """Each follower wrote its own lines, and one without changes never that the store was back."""
    counts_at_end = {}  # a watch that hangs may fail later, in an outage of its own

    def keep_counts(message):
        if message.get("text") == BACK:
            counts_at_end.update(node.counts)

    logger.on_message = keep_counts
    setattr(site.store.faults, fault, True)
    assert wait_until(lambda: texts(log_lines, LOST))
    gevent.sleep(OUTAGE_S)
    setattr(site.store.faults, fault, False)
    assert wait_until(lambda: texts(log_lines, BACK))
    gevent.sleep(OUTAGE_S)
    assert [len(texts(log_lines, start)) for start in (LOST, BACK)] == [1, 1]
    back = texts(log_lines, BACK)[0]
    assert back["away_ms"] >= 1000 * OUTAGE_S
    failed = [
        counts_at_end.get(f"roster.retry.{reason}", 0) for reason in ("store_unavailable", "lease")
    ]
    failed += [counts_at_end.get(f"keeping.{name}", 0) for name in ("retry.claim", "claim_unknown")]
    assert back["failed_calls"] == sum(failed)


def test_shard_that_another_process_claims_during_an_outage_does_not_keep_it_open(node, site):
    """A claim that failed was never repeated once another process had made it."""
    assert wait_until(lambda: node.counts.get("keeping.shard_taken", 0) == SHARD_COUNT)
    node.store.outage.record_failure("shard claims", "timeout")
    assert wait_until(lambda: not node.store.outage.is_lost)


def test_claims_that_cannot_be_released_have_one_line(node, site, log_lines):
    """A process that stopped while the store was away wrote a line for each of 32 shards."""
    assert wait_until(lambda: node.counts.get("keeping.shard_taken", 0) > 1)
    site.store.faults.busy = True
    node.claims.close()
    assert node.counts["keeping.release_failed"] > 1
    unreleased = texts(log_lines, "keeping: claim")
    assert [line["shards"] for line in unreleased] == [node.counts["keeping.release_failed"]]
    assert texts(log_lines, BACK) == []
