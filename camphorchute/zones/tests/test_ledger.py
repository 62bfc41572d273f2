import time

import pytest

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.contracts.messages import KeyEntry, KeyOwner, Reach
from camphorchute.zones import Ledger

A = KeyOwner("a", "vm1", Reach.OTHER_HOSTS)
B = KeyOwner("b", "vm2", Reach.ANY)
FAR_MS = 600_000.0


def entry(key="k", digest=b"d", left_ms=FAR_MS, owners=(A,), shard=3):
    return KeyEntry(key, shard, digest, round(time.time() * 1000 + left_ms), list(owners))


@pytest.fixture
def clock(monkeypatch):
    offset_s = [0.0]
    real = time.time
    monkeypatch.setattr(time, "time", lambda: real() + offset_s[0])
    return offset_s


def test_holding_a_key_again_joins_its_owners():
    ledger = Ledger(5)
    assert ledger.hold(entry(owners=[A]))
    assert not ledger.hold(entry(owners=[B]))
    assert not ledger.hold(entry(owners=[A, B]))
    assert ledger.get(3, "k").owners == [A, B]
    assert len(ledger) == 1


@pytest.mark.parametrize(
    "held, asked, code",
    [
        (entry(digest=b"1"), entry(digest=b"2"), ResultCode.KEY_CONFLICT),
        (entry("k"), entry("other"), ResultCode.LEDGER_FULL),
    ],
)
def test_refusals(held, asked, code):
    ledger = Ledger(1)
    ledger.hold(held)
    with pytest.raises(Refusal) as refusal:
        ledger.hold(asked)
    assert refusal.value.code is code
    assert ledger.of_shard(3) == [held]


def test_keys_are_forgotten_after_their_time_and_make_room(clock):
    ledger = Ledger(2)
    ledger.hold(entry("first", left_ms=1000))
    ledger.hold(entry("second", left_ms=9000))
    clock[0] = 2.0
    assert ledger.hold(entry("third"))
    assert {e.key for e in ledger.of_shard(3)} == {"second", "third"}
    assert len(ledger) == 2


@pytest.mark.parametrize("take_in", ["hold", "merge"])
@pytest.mark.parametrize("first_left_ms", [1000, -1000])
def test_a_key_acknowledged_again_is_held_for_the_longer_time(clock, take_in, first_left_ms):
    ledger = Ledger(2)
    ledger.merge([entry(left_ms=first_left_ms)])
    again = entry(left_ms=9000)
    ledger.hold(again) if take_in == "hold" else ledger.merge([again])
    clock[0] = 2.0
    ledger.expire()
    assert ledger.get(3, "k") is not None


def test_merge_passes_the_limit_and_leaves_a_key_of_two_bodies_to_neither():
    ledger = Ledger(1)
    ledger.merge([entry("one"), entry("two"), entry("one", owners=[B])])
    assert len(ledger) == 2
    assert ledger.get(3, "one").owners == [A, B]
    ledger.merge([entry("two", digest=b"x")])
    for digest in (b"d", b"x"):
        with pytest.raises(Refusal) as refusal:
            ledger.hold(entry("two", digest=digest))
        assert refusal.value.code is ResultCode.KEY_CONFLICT


def test_local_tasks_are_joined():
    ledger = Ledger(2)
    for local in ([2], [1, 2], []):
        ledger.hold(KeyEntry("k", 3, b"d", 2**60, [A], local))
    assert ledger.get(3, "k").local == [1, 2]
