import time

import gevent
import pytest

from bench.standins.fleet_store import FleetStore
from camphorchute.hosting import (
    Change,
    StoreRefused,
    StoreUnavailable,
    SwapAllLost,
    SwapLost,
    SwapUnknown,
    make_store,
)
from camphorchute.platform import kv_store

KEY = "camphorchute/a"


@pytest.fixture
def standin():
    store = FleetStore("127.0.0.1:0")
    store.start()
    yield store
    store.close()


@pytest.fixture
def store(standin):
    opened = make_store("kv", standin.address)
    yield opened
    opened.close()


def test_swap_writes_under_its_condition(store):
    first = store.swap(KEY, b"1", 0)
    assert store.get(KEY).value == b"1"
    assert store.get(KEY).mod_revision == first
    second = store.swap(KEY, b"2", first)
    assert second > first
    with pytest.raises(SwapLost) as lost:
        store.swap(KEY, b"3", first)
    assert lost.value.current.value == b"2"
    store.swap(KEY, None, second)
    assert store.get(KEY) is None


def test_swap_all_writes_every_key_or_none(store):
    first = store.swap_all([Change("a", b"1", 0), Change("b", b"2", 0)])
    assert store.get("a").mod_revision == store.get("b").mod_revision == first
    second = store.swap_all([Change("a", b"3", first), Change("b", None, first)])
    assert (store.get("a").value, store.get("b")) == (b"3", None)
    with pytest.raises(SwapAllLost) as lost:
        store.swap_all([Change("a", b"4", first), Change("c", b"5", 0)])
    assert lost.value.currents["a"].mod_revision == second
    assert store.get("c") is None


@pytest.mark.parametrize("lists_all", [True, False])
def test_keys_that_were_as_expected_do_not_count_as_lost(store, standin, lists_all, monkeypatch):
    """A store that lists only the keys that failed had made the others look removed."""
    kept = store.swap_all([Change("a", b"1", 0), Change("b", b"1", 0), Change("c", b"1", 0)])
    store.swap("b", b"2", kept)
    if lists_all:
        monkeypatch.setattr(standin, "lists_every_condition", True)
    with pytest.raises(SwapAllLost) as lost:
        store.swap_all([Change(key, b"3", kept) for key in "abc"] + [Change("new", b"3", 0)])
    assert list(lost.value.currents) == ["b"]


def test_swap_all_without_an_answer_is_unknown(store, standin):
    standin.faults.lose_answers = 1
    with pytest.raises(SwapUnknown):
        store.swap_all([Change("a", b"1", 0)])
    standin.faults.busy = True
    with pytest.raises(StoreUnavailable):
        store.swap_all([Change("b", b"1", 0)])


def test_swap_on_a_key_that_exists_names_what_is_there(store):
    store.swap(KEY, b"1", 0)
    with pytest.raises(SwapLost) as lost:
        store.swap(KEY, b"2", 0)
    assert lost.value.current.value == b"1"
    with pytest.raises(SwapLost) as lost:
        store.swap(KEY + "b", b"2", 77)
    assert lost.value.current is None


def test_swap_whose_answer_was_lost_is_recognised(store, standin):
    standin.faults.lose_answers = 1
    revision = store.swap(KEY, b"1", 0)
    assert standin.items[KEY]["revision"] == revision
    assert store.failures["swap.answer_lost"] == 1


def test_swap_is_unknown_where_the_re_read_fails_too(store, standin):
    standin.faults.hang = True
    with pytest.raises(SwapUnknown):
        store.swap(KEY, b"1", 0)


@pytest.mark.parametrize(
    "call",
    [
        lambda store: store.get(KEY),
        lambda store: store.list(""),
        lambda store: store.swap(KEY, b"1", 0),
        lambda store: store.grant_lease(3),
        lambda store: store.renew_lease(7),
        lambda store: next(store.watch("", 1, 1.0)),
    ],
)
def test_busy_store_is_unavailable(store, standin, call):
    standin.faults.busy = True
    with pytest.raises(StoreUnavailable):
        call(store)
    assert sum(store.failures.values()) == 1


def test_list_reads_every_page(store, standin):
    for number in range(1203):
        standin.put(f"x/{number:04}", b"v")
    listing = store.list("x/")
    assert len(listing.values) == 1203
    assert [value.key for value in listing.values] == sorted(value.key for value in listing.values)


def test_keys_end_with_their_lease(store, standin):
    lease = store.grant_lease(1)
    store.swap(KEY, b"1", 0, lease)
    assert store.renew_lease(lease) == 1
    store.revoke_lease(lease)
    assert store.get(KEY) is None
    assert store.renew_lease(lease) == 0
    with pytest.raises(StoreRefused):
        store.swap(KEY, b"1", 0, lease)


def test_watch_yields_writes_and_removals_in_order(store, standin):
    start = standin.put("x/a", b"1")
    standin.put("y/a", b"1")
    standin.put("x/b", b"2")
    standin.remove("x/a")
    watch = store.watch("x/", start, 5.0)
    seen = [next(watch) for _ in range(3)]
    assert [(change.key, change.value) for change in seen] == [
        ("x/a", b"1"),
        ("x/b", b"2"),
        ("x/a", None),
    ]
    gevent.spawn_later(0.05, standin.put, "x/c", b"3")
    assert next(watch).key == "x/c"


def test_watch_after_dropped_history_is_refused(store, standin):
    start = standin.put("x/a", b"1")
    standin.put("x/a", b"2")
    standin.drop_history()
    with pytest.raises(StoreRefused):
        next(store.watch("x/", start, 5.0))


def test_watch_on_a_silent_connection_ends(store, standin):
    standin.faults.hang = True
    began_s = time.monotonic()
    with pytest.raises(StoreUnavailable):
        next(store.watch("x/", 1, 5.0, silent_ms=100.0))
    assert time.monotonic() - began_s < 2.0


@pytest.mark.parametrize("text", ["%%%", "a", "é"])
def test_value_that_is_no_base64_reads_as_empty(text):
    assert kv_store._from_text(text) == b""
