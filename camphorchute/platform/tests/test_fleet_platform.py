import json
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

import camphorchute
from camphorchute.contracts.resources import Resources
from camphorchute.hosting import UnsupportedFeature, make_platform

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
def counters():
    return []


@pytest.fixture
def platform(counters):
    return make_platform("fleet", "127.0.0.1:1", counters.append)


def encode(base, **fields):
    return json.dumps({**base, **fields}).encode()


def test_worker_entry_is_decoded(platform):
    entry = platform.decode_worker_entry("servers/w1", encode(ENTRY))
    assert entry.worker_id == "w1"
    assert entry.incarnation == 17
    assert entry.capacity == Resources(16_000, 32_768)
    assert entry.labels == ("a", "r1-3")
    assert not entry.is_draining
    assert platform.decode_worker_entry("servers/w1", encode(ENTRY, state="draining")).is_draining


@pytest.mark.parametrize(
    ("value", "counter"),
    [
        (b"", "malformed"),
        (b"\xff\xfe", "malformed"),
        (b"[]", "malformed"),
        (encode({}), "malformed"),
        (encode(ENTRY, capacity=None), "malformed"),
        (encode(ENTRY, address=7), "malformed"),
        (encode(ENTRY, state="asleep"), "unknown_state"),
    ],
)
def test_unusable_worker_entry_is_counted_and_ignored(platform, counters, value, counter):
    assert platform.decode_worker_entry("servers/w1", value) is None
    assert counters == [f"platform.worker_entry_{counter}"]


def test_queues_are_decoded(platform):
    value = encode({"version": 7, "routes": [ROUTE | {"priority": 2, "stretch": 1.6}]})
    table = platform.decode_queues(value)
    assert table.version == 7
    assert table.find_queue("h", "/p/1").limits.priority == 2
    assert table.encoded == value


@pytest.mark.parametrize(
    "value", [b"", b"{}", b"\xff", encode({"version": "x", "routes": []}), b'{"version":1}']
)
def test_malformed_configuration_raises_value_error(platform, value):
    with pytest.raises(ValueError):
        platform.decode_queues(value)


def test_job_is_decoded(platform):
    body = encode({"spec": "s", "steps": [STEP, STEP | {"after": [0]}], "best-effort": True})
    job = platform.decode_job("j", body)
    assert job.steps[1].after == (0,)
    assert job.steps[0].demand == Resources(500, 256)


@pytest.mark.parametrize(
    ("fields", "message"),
    [
        ({"steps": []}, "no steps, expected at least one"),
        ({"steps": [STEP | {"count": 0}]}, "count is 0,"),
        ({"steps": [STEP | {"count": 10**9}]}, "count is 1000000000,"),
        ({"steps": [STEP | {"count": 1000}] * 11}, "the job has 11000 tasks, at most 10000"),
        ({"steps": [STEP] * 1001}, "the job has 1001 steps, at most 1000"),
        ({"spec": "\u00fc" * 2001}, "the payload has 4002 bytes, at most 4000"),
        ({"steps": [STEP | {"cpu": -1}]}, "negative demand"),
        ({"steps": [STEP | {"after": [0]}]}, "after"),
        ({"spec": 7}, "spec"),
        ({"steps": 7}, "steps"),
    ],
)
def test_error_of_a_malformed_job_names_the_field(platform, fields, message):
    with pytest.raises(ValueError, match=message):
        platform.decode_job("j", encode(JOB, **fields))


@pytest.mark.parametrize(
    ("fields", "message"),
    [
        ({"steps": [STEP | {"gang": True}]}, "gang"),
        ({"steps": [STEP | {"requires": "b", "speculative": True}]}, "requires, speculative"),
        (
            {"steps": [STEP, STEP | {"long-running": True}]},
            "step 1: unsupported fields long_running",
        ),
        ({"repeat-count": 3}, "scheduled"),
    ],
)
def test_error_of_an_unsupported_job_names_the_feature(platform, fields, message):
    with pytest.raises(UnsupportedFeature, match=message):
        platform.decode_job("j", encode(JOB, **fields))


@pytest.mark.parametrize(("best_effort", "durable"), [(True, False), (False, True)])
def test_job_is_durable_unless_it_is_best_effort(platform, best_effort, durable):
    job = platform.decode_job("j", encode(JOB, **{"best-effort": best_effort}))
    assert job.kept is durable


@given(value=st.binary(max_size=200))
def test_decoders_raise_only_their_documented_errors(value):
    platform = make_platform("fleet", "127.0.0.1:1", lambda name: None)
    platform.decode_worker_entry("servers/w1", value)
    for decode in (platform.decode_queues, lambda body: platform.decode_job("j", body)):
        try:
            decode(value)
        except (ValueError, UnsupportedFeature):
            continue


def test_wire_names_are_used_only_in_this_package():
    root = Path(camphorchute.__file__).parent
    found = [
        f"{path.relative_to(root)}: {name}"
        for path in root.rglob("*.py")
        if path.relative_to(root).parts[0] != "platform" and "tests" not in path.parts
        for name in WIRE_NAMES
        if name in path.read_text()
    ]
    assert found == []


def test_largest_job_is_decoded(platform):
    body = encode(JOB, spec="s" * 4000, steps=[STEP | {"count": 1000}] * 10)
    assert sum(step.tasks for step in platform.decode_job("a" * 16, body).steps) == 10_000
