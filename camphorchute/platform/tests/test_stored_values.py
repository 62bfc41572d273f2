"""Every reader of the store beside values that another writer left there."""

import json

import gevent
import pytest

import camphorchute.platform  # noqa: F401 - fills the registry of platforms
from camphorchute.cluster import OWN_PREFIX, ClusterView
from camphorchute.cluster.cluster_view import CLAIM_PREFIX, MEMBER_PREFIX
from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.batch_job import BatchJob, BatchStep, QueueLimits
from camphorchute.contracts.member import Member
from camphorchute.contracts.resources import Resources
from camphorchute.contracts.stored_values import decode_json
from camphorchute.durable_jobs import DurableJobRecord, job_key
from camphorchute.durable_jobs.queued_counts import _ShardCounts
from camphorchute.durable_jobs.tests.shard_site import JOB_ID, WORKERS, Site, recovered
from camphorchute.durable_jobs.tests.test_shard_owner import Site as OwnerSite
from camphorchute.hosting import Queue, StoredValue, make_platform
from camphorchute.platform.json_client import AnswerLost
from camphorchute.platform.vm_list import VmList
from camphorchute.runs import shard_of
from camphorchute.runs.tests.scheduler_site import wait_until
from camphorchute.services.plan_storage import _decode_plan
from camphorchute.services.record import decode_record

DEEP = b"[" * 5000 + b"]" * 5000
UNREADABLE = {
    "empty": b"",
    "no JSON": b"\xff\xfe",
    "broken UTF-8": b'{"service":"\xff"}',
    "nested deep": DEEP,
    "nested deep in an unknown field": b'{"later":' + DEEP + b"}",
    "null": b"null",
    "list": b"[]",
    "number": b"7",
    "huge number": b"9" * 5000,
    "no fields": b"{}",
}
ALL_UNREADABLE = pytest.mark.parametrize("value", UNREADABLE.values(), ids=UNREADABLE)
ENTRY = {
    "service": "flags",
    "address": "127.0.0.1:9100",
    "zone": "north",
    "state": "ready",
    "capacity": {"cpu": 32_000, "mem-mb": 65_536, "gpu": 0},
    "labels": ["m", "r1"],
    "born": 1_796_000_000_000,
}
ROUTE = {"name": "checks", "host": "a.example", "prefix": "/checks/", "service": "flags"}
CONFIGURATION = {"version": 3, "routes": [ROUTE], "services": [{"name": "flags"}]}
MEMBER = Member("m1", "north", "vm1", "", "127.0.0.1:7001", "127.0.0.1:8001")
QUEUE = Queue("checks", "", "", "flags", 0.0, QueueLimits(0, 2, 2.0, 60.0))
JOB = BatchJob(JOB_ID, "text", (BatchStep(2, Resources(100), 5.0),), True)


class View:
    """A cluster view of the fleet platform with its counters."""

    def __init__(self):
        self.counts = {}
        self.platform = make_platform("fleet", "127.0.0.1:1", self.count)
        self.view = ClusterView(self.platform, self.count)

    def count(self, name, n=1):
        self.counts[name] = self.counts.get(name, 0) + n

    def list(self, prefix, **values):
        rows = [StoredValue(prefix + name, value, 7) for name, value in values.items()]
        self.view.apply_listing(prefix, rows, 9)


@pytest.fixture
def view():
    return View()


def encode(template, **fields):
    return json.dumps({**template, **fields}).encode()


ODD_ENTRIES = {
    "service of another type": encode(ENTRY, service=7),
    "empty service": encode(ENTRY, service=""),
    "service with a separator": encode(ENTRY, service="a/b"),
    "long service": encode(ENTRY, service="x" * 101),
    "zone with a line break": encode(ENTRY, zone="north\n"),
    "long zone": encode(ENTRY, zone="x" * 33),
    "address of another type": encode(ENTRY, address=["127.0.0.1", 80]),
    "no port": encode(ENTRY, address="127.0.0.1"),
    "empty port": encode(ENTRY, address="127.0.0.1:"),
    "word as port": encode(ENTRY, address="127.0.0.1:http"),
    "port 0": encode(ENTRY, address="127.0.0.1:0"),
    "port too high": encode(ENTRY, address="127.0.0.1:70000"),
    "negative port": encode(ENTRY, address="127.0.0.1:-1"),
    "very long port": encode(ENTRY, address="127.0.0.1:" + "8" * 5000),
    "port in other digits": encode(ENTRY, address="127.0.0.1:\u0668\u0660"),
    "name as host": encode(ENTRY, address="mail.example:25"),
    "line break in the host": encode(ENTRY, address="127.0.0.1\r\nX:80"),
    "unknown state": encode(ENTRY, state="dreaming"),
    "state of another type": encode(ENTRY, state=None),
    "capacity of another type": encode(ENTRY, capacity=4),
    "no capacity": encode(ENTRY, capacity=None),
    "negative capacity": encode(ENTRY, capacity={"cpu": -1}),
    "fraction as capacity": encode(ENTRY, capacity={"cpu": 1.5}),
    "capacity too large": encode(ENTRY, capacity={"cpu": 10**30}),
    "memory too large": encode(ENTRY, capacity={"cpu": 1, "mem-mb": 2**64}),
    "labels of another type": encode(ENTRY, labels="m"),
    "start too large": encode(ENTRY, born=10**25),
    "negative start": encode(ENTRY, born=-1),
    "start of another type": encode(ENTRY, born="today"),
}


# Processes that listed the workers ended again and again, or followed the list no more.
@pytest.mark.parametrize(
    "value",
    [*UNREADABLE.values(), *ODD_ENTRIES.values()],
    ids=[*UNREADABLE, *ODD_ENTRIES],
)
def test_odd_entry_of_a_worker_names_none_and_the_others_hold(view, value):
    view.list("servers/", **{"a-odd": value, "w1": encode(ENTRY), "z-odd": value})
    assert list(view.view.workers) == ["w1"]
    assert "roster.listed_value_failed" not in view.counts
    view.view.apply_change(StoredValue("servers/w1", value, 10))
    view.view.apply_change(StoredValue("servers/w2", encode(ENTRY), 11))
    assert list(view.view.workers) == ["w1", "w2"]


@pytest.mark.parametrize("worker_id", ["", "a b", "w\n1", "w\r\nX: y", "\u20ac", "x" * 201])
def test_entry_with_an_id_that_no_header_can_carry_names_no_worker(view, worker_id):
    view.list("servers/", **{worker_id: encode(ENTRY), "w1": encode(ENTRY)})
    assert list(view.view.workers) == ["w1"]


@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"address": "[::1]:65535"},
        {"later": {"x": [1, {}]}},
        {"labels": []},
        {"capacity": {"cpu": 0}},
        {"state": "draining"},
        {"slots": "many", "seq": -1, "version": None},
    ],
)
def test_client_opens_for_every_entry_that_names_a_worker(view, fields):
    entry = view.platform.decode_worker_entry("servers/w1", encode(ENTRY, **fields))
    view.platform.open_worker_client(entry).close()


@pytest.mark.parametrize(
    "value",
    [
        *UNREADABLE.values(),
        encode(CONFIGURATION, version="4"),
        encode(CONFIGURATION, version=10**30),
        encode(CONFIGURATION, version=-1),
        encode(CONFIGURATION, routes=[encode(ROUTE).decode()]),
        encode(CONFIGURATION, routes=[{**ROUTE, "timeout-ms": 10**300}]),
        encode(CONFIGURATION, routes=[{**ROUTE, "timeout-ms": -1}]),
        encode(CONFIGURATION, routes=[{**ROUTE, "priority": 10**30}]),
        encode(CONFIGURATION, routes=[{**ROUTE, "max-attempts": 10**30}]),
        encode(CONFIGURATION, routes=[{**ROUTE, "stretch": "wide"}]),
        encode(CONFIGURATION, services=[{"name": 5}]),
    ],
)
def test_odd_configuration_is_counted_and_the_earlier_one_stays(view, value):
    view.list("op/", config=encode(CONFIGURATION))
    view.view.apply_change(StoredValue("op/config", value, 10))
    assert view.view.queues.version == 3
    assert view.counts["roster.configuration_malformed"] == 1
    view.view.apply_change(StoredValue("op/config", encode(CONFIGURATION, version=5), 11))
    assert view.view.queues.version == 5


@pytest.mark.parametrize("zone", ["", "a/b", "\u20ac", "x" * 190, "north\n"])
@ALL_UNREADABLE
def test_odd_evacuation_evacuates_no_other_zone(view, zone, value):
    view.list("op/", **{f"evacuate/{zone}": value, "config": encode(CONFIGURATION)})
    assert not view.view.zone_evacuations.is_evacuated("north")
    assert view.view.queues.version == 3


def encode_member(**fields):
    row = {name: getattr(MEMBER, name) for name in MEMBER.__struct_fields__}
    return encode(row, **fields)


@pytest.mark.parametrize(
    "value",
    [
        *UNREADABLE.values(),
        encode_member(member_id="m1"),
        encode_member(member_id="odd", link_address="127.0.0.1"),
        encode_member(member_id="odd", link_address="127.0.0.1:70000"),
        encode_member(member_id="odd", link_address="host:http"),
        encode_member(member_id="odd", zone=7),
    ],
)
def test_odd_registration_names_no_member_and_the_others_hold(view, value):
    view.list(MEMBER_PREFIX, odd=value, m1=encode_member())
    assert list(view.view.members) == ["m1"]
    assert view.counts["roster.member_malformed"] == 1


@pytest.mark.parametrize("group", ["", "x", "//", "north/flags", "north/flags/x", "\u20ac/b/0"])
@ALL_UNREADABLE
def test_odd_claim_changes_nothing_of_the_others(view, group, value):
    view.list(CLAIM_PREFIX, **{group: value, "north/flags/0": b"m1"})
    view.list(MEMBER_PREFIX, m1=encode_member())
    assert view.view.scheduler_of("north/flags/0").member_id == "m1"
    assert view.view.scheduler_of(group) is None
    assert "north/flags/0" in view.view.followers().followed_by(MEMBER)


@ALL_UNREADABLE
def test_odd_numbers_of_queued_jobs_are_unknown(value):
    with pytest.raises(ValueError):
        decode_json(value, _ShardCounts)


@pytest.mark.parametrize("count", [-1, 10**30, 1.5, "2", None])
def test_odd_number_of_queued_jobs_is_unknown(count):
    value = json.dumps({"term": 1, "jobs": {"checks": count}}).encode()
    with pytest.raises(ValueError):
        decode_json(value, _ShardCounts)


def make_record(**fields):
    record = DurableJobRecord.for_new_job(JOB, QUEUE)
    for name, value in fields.items():
        setattr(record, name, value)
    return record.encode()


def make_job(*steps):
    return BatchJob(JOB_ID, "text", steps, True)


ODD_RECORDS = {
    "open without a job": make_record(job=None),
    "job without steps": make_record(job=make_job(), done=[]),
    "no tasks": make_record(job=make_job(BatchStep(0, Resources(1), 5.0))),
    "too many tasks": make_record(job=make_job(BatchStep(10**9, Resources(1), 5.0))),
    "negative demand": make_record(job=make_job(BatchStep(1, Resources(-1), 5.0))),
    "step after itself": make_record(job=make_job(BatchStep(1, Resources(1), 5.0, (0,)))),
    "unknown task done": make_record(done=[[7]]),
    "negative task done": make_record(done=[[-1]]),
    "unknown step done": make_record(done=[[], [0]]),
    "other job": make_record(job=BatchJob("0" * 16, "text", JOB.steps, True)),
}


# A shard was read again and again, and none of its jobs was run.
@pytest.mark.parametrize(
    "value", [*UNREADABLE.values(), *ODD_RECORDS.values()], ids=[*UNREADABLE, *ODD_RECORDS]
)
def test_odd_record_keeps_no_other_job_of_its_shard_from_running(value):
    shard = shard_of(JOB_ID)
    other_id = next(f"{n:016x}" for n in range(1, 999) if shard_of(f"{n:016x}") == shard)
    site = Site()
    site.peers.reply.workers.extend(WORKERS)
    try:
        site.store.put(job_key(other_id), value)
        site.store.put(job_key(JOB_ID) + ".x.y", value)
        site.put(DurableJobRecord.for_new_job(JOB, QUEUE))
        opened = site.start_shard()
        assert wait_until(lambda: recovered(site), 2.0)
        assert opened.job_state(JOB_ID) == "queued"
        assert opened.job_state(other_id) == ""
        assert "keeping.loop_failed" not in site.counts
    finally:
        site.close()


@ALL_UNREADABLE
@pytest.mark.parametrize("call", ["job_state", "cancel"])
def test_request_for_a_job_with_an_odd_record_is_refused_with_a_reason(value, call):
    site = OwnerSite()
    try:
        site.store.put(job_key(JOB_ID), value)
        with pytest.raises(Refusal) as refused:
            getattr(site.owner, call)(JOB_ID)
        assert refused.value.code is ResultCode.RECORDS_LOST
    finally:
        site.writer.close()


# The write of a record met one that another writer had put in its place.
def test_job_whose_record_was_replaced_by_an_odd_value_is_dropped():
    site = Site()
    site.peers.reply.workers.extend(WORKERS)
    try:
        site.put(DurableJobRecord.for_new_job(JOB, QUEUE))
        site.start_shard()
        assert wait_until(lambda: recovered(site), 2.0)
        site.store.put(job_key(JOB_ID), DEEP)
        site.job_run().has_unsaved_changes = True
        site.shards[0]._schedule_save(site.job_run())
        assert wait_until(lambda: site.queue_owner.stopped_job_ids == [JOB_ID], 2.0)
    finally:
        site.close()


@pytest.mark.parametrize("name", ["", "x", "\u00b2", "99999999999999999999", "-1"])
def test_odd_key_among_the_records_hides_no_shard(name):
    site = OwnerSite()
    try:
        site.store.put(f"camphorchute-jobs/{name}/job", b"")
        site.store.put("camphorchute-jobs/09/job", b"")
        markers = site.owner._claims.markers
        markers.start()
        assert wait_until(lambda: markers.is_loaded, 1.0)
        assert markers.needs_owner(9)
    finally:
        site.writer.close()


@pytest.mark.parametrize("key", ["keepers/x", "waiting/x", "queued/x", "kept-shards/x", "", "x/y"])
@ALL_UNREADABLE
def test_odd_value_under_the_keys_of_this_system_is_not_fatal(view, key, value):
    view.view.track_prefix(OWN_PREFIX + "keepers/")
    view.list(OWN_PREFIX, **{key: value, "members/m1": encode_member()})
    assert list(view.view.members) == ["m1"]


@ALL_UNREADABLE
def test_odd_record_or_plan_of_a_service_is_refused_with_a_reason(value):
    with pytest.raises(Refusal):
        decode_record("/camphorchute/services/flags", value, 7)
    with pytest.raises(Refusal):
        _decode_plan(StoredValue("plan", value, 7))


@pytest.mark.parametrize(
    "value", [v for v in UNREADABLE.values() if v != b"{}"], ids=list(UNREADABLE)[:-1]
)
def test_odd_job_of_a_caller_is_refused_with_a_reason(view, value):
    with pytest.raises(ValueError):
        view.platform.decode_job(JOB_ID, value)


class _VmListClient:
    def __init__(self, body):
        self.body = body

    def send_request(self, method, path):
        gevent.sleep(0)
        return self.body


@pytest.mark.parametrize(
    "value",
    [*UNREADABLE.values(), b'{"vms":[{"address":7,"zone":"n","state":"live"}]}', b'{"vms":[[]]}'],
)
def test_odd_list_of_vms_leaves_the_states_unchanged(value):
    vms = VmList("127.0.0.1:1")
    vms._client = _VmListClient(value)
    with pytest.raises(AnswerLost):
        vms._fetch_states()
    assert not vms.refresh()
