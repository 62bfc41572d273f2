import msgspec
import pytest

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.services import ServiceDefinition, ServiceRecord, Upstream
from camphorchute.services.definition import VALUE_MAX_BYTES
from camphorchute.services.record import (
    DEFINITION_MAX_BYTES,
    HISTORY_MAX_ENTRIES,
    decode_from_peer,
    decode_record,
    encode_record,
    next_record,
    service_key,
)

OPERATOR = "o" * 64


def make_definition(upstreams):
    back_ends = [
        Upstream(f"u{n}", f"127.1.{n // 250}.{n % 250}:9", "north") for n in range(upstreams)
    ]
    return ServiceDefinition("flags", upstreams=back_ends)


@pytest.mark.parametrize("upstreams", [0, 24, 500, 4000, 8000])
def test_the_stored_value_stays_within_its_maximum_size_and_keeps_plan_ids(upstreams):
    definition = make_definition(upstreams)
    assert len(msgspec.json.encode(definition)) < DEFINITION_MAX_BYTES
    record, confirms = ServiceRecord("flags"), HISTORY_MAX_ENTRIES + 40
    for revision in range(1, confirms + 1):
        plan_id = f"flags-{revision:016x}"
        record = next_record(record, definition, plan_id, OPERATOR, 1_800_000_000_000)
        value = encode_record(record)
        assert len(value) <= VALUE_MAX_BYTES
        record = decode_record(service_key("flags"), value, 10**12 + revision)
    assert len(record.history) == HISTORY_MAX_ENTRIES
    assert record.entries_dropped == confirms - 1 - HISTORY_MAX_ENTRIES
    newest, oldest = record.history[0], record.history[-1]
    assert (newest.plan_id, newest.revision) == (
        f"flags-{confirms - 1:016x}",
        10**12 + confirms - 1,
    )
    assert record.find_entry_by_plan(oldest.plan_id) == oldest
    assert newest.folded == (upstreams >= 4000)


def test_the_entry_of_a_removed_service_is_not_marked_as_folded():
    record = ServiceRecord("flags", 3, None, "flags-1", "ada", 5)
    entry = next_record(record, make_definition(1), "flags-2", "ben", 6).history[0]
    assert (entry.definition, entry.folded) == (None, False)


@pytest.mark.parametrize("value", [b"", b"7", b'{"name": "walks"}', b'{"name": "flags", "hi": '])
def test_a_stored_value_that_is_not_a_record_is_refused(value):
    with pytest.raises(Refusal) as caught:
        decode_record(service_key("flags"), value, 3)
    assert caught.value.code is ResultCode.INTERNAL


def test_a_malformed_record_of_a_peer_is_refused():
    with pytest.raises(Refusal) as caught:
        decode_from_peer(b'{"name": 7}')
    assert caught.value.code is ResultCode.MALFORMED_MESSAGE
