import time

import pytest

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.messages import DispatchRecord, KeyEntry, KeyOwner, Reach
from camphorchute.zones import Ledger

A = KeyOwner("a", "vm1", Reach.OTHER_HOSTS)
B = KeyOwner("b", "vm2", Reach.ANY)
LONG_WINDOW_MS = 600_000.0


def entry(key="k", digest=b"d", remaining_ms=LONG_WINDOW_MS, owners=(A,), shard=3):
    return KeyEntry(key, shard, digest, round(time.time() * 1000 + remaining_ms), list(owners))


@pytest.fixture
def clock(monkeypatch):
    """Offset added to the system time, in seconds, as the one item of a list."""
    offset_s = [0.0]
    real_time = time.time
    monkeypatch.setattr(time, "time", lambda: real_time() + offset_s[0])
    return offset_s


def test_holding_a_key_again_merges_its_owners():
    ledger = Ledger(5)
    assert ledger.hold(entry(owners=[A]))
    assert not ledger.hold(entry(owners=[B]))
    assert not ledger.hold(entry(owners=[A, B]))
    assert ledger.get(3, "k").owners == [A, B]
    assert len(ledger) == 1


@pytest.mark.parametrize(
    "held, refused, code",
    [
        ({"digest": b"1"}, {"digest": b"2"}, ResultCode.KEY_CONFLICT),
        ({"key": "k"}, {"key": "other"}, ResultCode.LEDGER_FULL),
    ],
)
def test_a_conflicting_or_surplus_key_is_refused_and_not_held(held, refused, code):
    ledger, held = Ledger(1), entry(**held)
    ledger.hold(held)
    with pytest.raises(Refusal) as refusal:
        ledger.hold(entry(**refused))
    assert refusal.value.code is code
    assert ledger.entries_of_shard(3) == [held]


def test_expired_keys_are_dropped_and_no_longer_count_towards_the_limit(clock):
    ledger = Ledger(2)
    ledger.hold(entry("first", remaining_ms=1000))
    ledger.hold(entry("second", remaining_ms=9000))
    clock[0] = 2.0
    assert ledger.hold(entry("third"))
    assert {e.key for e in ledger.entries_of_shard(3)} == {"second", "third"}
    assert len(ledger) == 2


@pytest.mark.parametrize("method", ["hold", "merge"])
@pytest.mark.parametrize("first_remaining_ms", [1000, -1000])
def test_a_key_acknowledged_again_is_held_until_the_later_expiry(clock, method, first_remaining_ms):
    ledger = Ledger(2)
    ledger.merge([entry(remaining_ms=first_remaining_ms)])
    again = entry(remaining_ms=9000)
    ledger.hold(again) if method == "hold" else ledger.merge([again])
    clock[0] = 2.0
    ledger.expire()
    assert ledger.get(3, "k") is not None


def test_merge_exceeds_the_limit_and_a_key_with_two_bodies_conflicts_with_both():
    ledger = Ledger(1)
    ledger.merge([entry("one"), entry("two"), entry("one", owners=[B])])
    assert len(ledger) == 2
    assert ledger.get(3, "one").owners == [A, B]
    ledger.merge([entry("two", digest=b"x")])
    for digest in (b"d", b"x"):
        with pytest.raises(Refusal) as refusal:
            ledger.hold(entry("two", digest=digest))
        assert refusal.value.code is ResultCode.KEY_CONFLICT


def test_holding_a_key_again_merges_its_local_tasks():
    ledger = Ledger(2)
    for local in ([2], [1, 2], []):
        ledger.hold(KeyEntry("k", 3, b"d", 2**60, [A], local))
    assert ledger.get(3, "k").local == [1, 2]


RECORD_OF_A = DispatchRecord([A], {"s": [0]})
RECORD_OF_A_AND_B = DispatchRecord([A, B], {"s": [1]})


@pytest.mark.parametrize("method", ["hold", "merge"])
@pytest.mark.parametrize(
    "records, kept",
    [
        ([None, RECORD_OF_A], RECORD_OF_A),
        ([RECORD_OF_A, None], RECORD_OF_A),
        ([RECORD_OF_A, RECORD_OF_A_AND_B], RECORD_OF_A_AND_B),
        ([RECORD_OF_A_AND_B, RECORD_OF_A], RECORD_OF_A_AND_B),
    ],
)
def test_the_record_of_dispatched_tasks_that_comprises_more_owners_is_kept(method, records, kept):
    ledger = Ledger(2)
    for record in records:
        held = KeyEntry("k", 3, b"d", 2**60, [A, B], record=record)
        ledger.hold(held) if method == "hold" else ledger.merge([held])
    assert ledger.get(3, "k").record == kept
