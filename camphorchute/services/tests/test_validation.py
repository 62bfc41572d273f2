import msgspec
import pytest

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.services import ServiceDefinition, Upstream, Worker
from camphorchute.services.record import DEFINITION_MAX_BYTES
from camphorchute.services.validation import (
    check_definition,
    find_definition_errors,
    parse_definition,
)

ZONES = ["north", "south"]


def worker(name="w1", address="127.0.2.1:9000", zone="north", **fields):
    return {"name": name, "address": address, "zone": zone, **fields}


INVALID_DEFINITIONS = [
    ({}, {"name"}),
    (7, {"definition"}),
    ({"name": "Flags"}, {"name"}),
    ({"name": "flags", "colour": 1, "drain_ms": 0}, {"colour", "drain_ms"}),
    ({"name": "flags", "drain_ms": 3_600_001}, {"drain_ms"}),
    ({"name": "flags", "waste_weight": 1.5, "policy": "best"}, {"waste_weight", "policy"}),
    ({"name": "flags", "workers": {}}, {"workers"}),
    ({"name": "flags", "workers": [7]}, {"workers[0]"}),
    (
        {"name": "flags", "workers": [worker(slots=0), {"name": "w2", "slot": 1}]},
        {"workers[0].slots", "workers[1].address", "workers[1].zone", "workers[1].slot"},
    ),
    (
        {"name": "flags", "limits": {"queue_max_ms": -1, "queue_max_tasks": "many"}},
        {"limits.queue_max_ms", "limits.queue_max_tasks"},
    ),
    (
        {"name": "flags", "quotas": {"stewards": 0, "Big": 3}},
        {"quotas[stewards]", "quotas[Big]"},
    ),
    (
        {"name": "flags", "workers": [worker(), worker(address="127.0.2.2:9000")]},
        {"workers[1].name"},
    ),
    (
        {"name": "flags", "workers": [worker()], "upstreams": [worker("u1")]},
        {"upstreams[0].address"},
    ),
    (
        {"name": "flags", "workers": [worker(address="[::1]:9000"), worker("w2", "[0::1]:9000")]},
        {"workers[1].address"},
    ),
    (
        {"name": "flags", "workers": [worker(address="127.0.0.999:70000", zone="west")]},
        {"workers[0].address", "workers[0].zone"},
    ),
    (
        {
            "name": "flags",
            "workers": [worker(slots=0), worker(address="127.0.2.1:91000", zone="west"), 7],
            "drain_s": 30,
            "drain_ms": 1e8,
        },
        {
            "workers[0].slots",
            "workers[1].name",
            "workers[1].address",
            "workers[1].zone",
            "workers[2]",
            "drain_s",
            "drain_ms",
        },
    ),
    ({"name": "flags", "workers": [worker(address="127.0.2.1:0")]}, {"workers[0].address"}),
]


@pytest.mark.parametrize(("raw", "paths"), INVALID_DEFINITIONS)
def test_all_validation_errors_are_reported_in_one_refusal(raw, paths):
    with pytest.raises(Refusal) as caught:
        parse_definition(raw, ZONES)
    assert caught.value.code is ResultCode.PLAN_INVALID
    errors = caught.value.__cause__.exceptions
    assert {error.path for error in errors} == paths
    for error in errors:
        assert str(error) in caught.value.detail


def test_a_valid_definition_has_no_errors():
    raw = {"name": "flags", "workers": [worker()], "quotas": {"stewards": 40}}
    definition = parse_definition(raw, ZONES)
    assert find_definition_errors(definition, ZONES) == []
    assert msgspec.to_builtins(definition) == raw


def test_a_definition_built_in_code_is_checked_against_its_types_too():
    invalid = ServiceDefinition("flags", workers=[Worker("w1", "127.0.2.1:1", "north", slots=0)])
    assert [error.path for error in find_definition_errors(invalid)] == ["workers[0].slots"]


def test_a_definition_over_the_maximum_size_is_refused():
    upstreams = [Upstream(f"u{n}", f"127.1.{n // 250}.{n % 250}:9", "north") for n in range(9000)]
    definition = ServiceDefinition("flags", upstreams=upstreams)
    assert len(msgspec.json.encode(definition)) > DEFINITION_MAX_BYTES
    with pytest.raises(Refusal) as caught:
        check_definition(definition)
    assert caught.value.code is ResultCode.VALUE_TOO_LARGE
