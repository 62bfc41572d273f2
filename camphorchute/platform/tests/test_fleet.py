import json
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

import camphorchute
from camphorchute.contracts.resources import Resources
from camphorchute.hosting import NotOffered, make_platform

ENTRY = {
    "service": "flags",
    "address": "10.0.0.1:80",
    "zone": "north",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-left-ms": 0,
    "capacity": {"cpu": 16_000, "mem-mb": 32_768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "born": 17,
    "seq": 4,
}
STEP = {"count": 4, "cpu": 500, "mem-mb": 256, "estimate-ms": 900}
JOB = {"spec": "s", "steps": [STEP], "best-effort": True}
ROUTE = {"name": "r", "host": "h", "prefix": "/p/", "service": "flags"}
WIRE_NAMES = (
    "run-start",
    "run-stop",
    "seen-upto",
    "kv-txn",
    "kv-range",
    "kv-watch",
    "kv-lease",
    "op/config",
    "servers/",
    "deadline-ms",
    "best-effort",
    "Camphorchute-Deadline-Ms",
)


@pytest.fixture
def counts():
    return []


@pytest.fixture
def platform(counts):
    return make_platform("fleet", "127.0.0.1:1", counts.append)


def encoded(base, **fields):
    return json.dumps({**base, **fields}).encode()


def test_worker_entry_is_translated(platform):
    entry = platform.decode_worker("servers/w1", encoded(ENTRY))
    assert entry.worker_id == "w1"
    assert entry.incarnation == 17
    assert entry.capacity == Resources(16_000, 32_768)
    assert entry.labels == ("a", "r1-3")
    assert not entry.draining
    assert platform.decode_worker("servers/w1", encoded(ENTRY, state="draining")).draining


@pytest.mark.parametrize(
    ("value", "counter"),
    [
        (b"", "malformed"),
        (b"\xff\xfe", "malformed"),
        (b"[]", "malformed"),
        (encoded({}), "malformed"),
        (encoded(ENTRY, capacity=None), "malformed"),
        (encoded(ENTRY, address=7), "malformed"),
        (encoded(ENTRY, state="asleep"), "unknown_state"),
    ],
)
def test_entry_of_another_writer_names_no_worker(platform, counts, value, counter):
    assert platform.decode_worker("servers/w1", value) is None
    assert counts == [f"platform.worker_entry_{counter}"]


def test_queues_are_translated(platform):
    value = encoded({"version": 7, "routes": [ROUTE | {"priority": 2, "stretch": 1.6}]})
    table = platform.decode_queues(value)
    assert table.version == 7
    assert table.find("h", "/p/1").limits.priority == 2
    assert table.source == value


@pytest.mark.parametrize(
    "value", [b"", b"{}", b"\xff", encoded({"version": "x", "routes": []}), b'{"version":1}']
)
def test_configuration_that_cannot_be_read_is_an_error(platform, value):
    with pytest.raises(ValueError):
        platform.decode_queues(value)


def test_job_is_translated(platform):
    body = encoded({"spec": "s", "steps": [STEP, STEP | {"after": [0]}], "best-effort": True})
    job = platform.decode_job("j", body)
    assert job.steps[1].after == (0,)
    assert job.steps[0].demand == Resources(500, 256)


@pytest.mark.parametrize(
    ("fields", "named"),
    [
        ({"steps": []}, "without steps"),
        ({"steps": [STEP | {"count": 0}]}, "count 0"),
        ({"steps": [STEP | {"count": 10**9}]}, "count 1000000000"),
        ({"steps": [STEP | {"cpu": -1}]}, "negative"),
        ({"steps": [STEP | {"after": [0]}]}, "after"),
        ({"spec": 7}, "spec"),
        ({"steps": 7}, "steps"),
    ],
)
def test_malformed_job_names_its_fault(platform, fields, named):
    with pytest.raises(ValueError, match=named):
        platform.decode_job("j", encoded(JOB, **fields))


@pytest.mark.parametrize(
    ("fields", "named"),
    [
        ({"steps": [STEP | {"gang": True}]}, "gang"),
        ({"steps": [STEP | {"requires": "b", "speculative": True}]}, "requires, speculative"),
        ({"steps": [STEP, STEP | {"long-running": True}]}, "step 1: long_running"),
        ({"repeat-count": 3}, "scheduled"),
    ],
)
def test_job_that_is_not_offered_is_refused_by_name(platform, fields, named):
    with pytest.raises(NotOffered, match=named):
        platform.decode_job("j", encoded(JOB, **fields))


@pytest.mark.parametrize(("best_effort", "kept"), [(True, False), (False, True)])
def test_job_is_kept_unless_it_is_best_effort(platform, best_effort, kept):
    job = platform.decode_job("j", encoded(JOB, **{"best-effort": best_effort}))
    assert job.kept is kept


@given(value=st.binary(max_size=200))
def test_decoders_take_any_bytes(value):
    platform = make_platform("fleet", "127.0.0.1:1", lambda name: None)
    platform.decode_worker("servers/w1", value)
    for decode in (platform.decode_queues, lambda body: platform.decode_job("j", body)):
        try:
            decode(value)
        except (ValueError, NotOffered):
            continue


def test_names_of_the_wire_stay_in_the_adapter():
    root = Path(camphorchute.__file__).parent
    found = [
        f"{path.relative_to(root)}: {name}"
        for path in root.rglob("*.py")
        if path.relative_to(root).parts[0] != "platform" and "tests" not in path.parts
        for name in WIRE_NAMES
        if name in path.read_text()
    ]
    assert found == []
