import time

import gevent
import pytest

from bench.standins.fleet_store import FleetStore
from bench.standins.server import Reply
from camphorchute.hosting import (
    ConditionalWrite,
    StoreRefused,
    StoreUnavailable,
    SwapAllConflict,
    SwapConflict,
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
    client = make_store("kv", standin.address)
    yield client
    client.close()


def test_swap_writes_only_at_the_expected_revision(store):
    first = store.swap(KEY, b"1", 0)
    assert store.get(KEY).value == b"1"
    assert store.get(KEY).mod_revision == first
    second = store.swap(KEY, b"2", first)
    assert second > first
    with pytest.raises(SwapConflict) as conflict:
        store.swap(KEY, b"3", first)
    assert conflict.value.current.value == b"2"
    store.swap(KEY, None, second)
    assert store.get(KEY) is None


# Guards against calls that the store refuses for their size: each condition counts as an entry.
def test_largest_call_of_swap_all_is_accepted(store):
    changes = [ConditionalWrite(f"k{n}", b"1", 0) for n in range(store.max_changes)]
    first = store.swap_all(changes)
    removals = [ConditionalWrite(change.key, None, first) for change in changes]
    assert store.swap_all(removals) > first


def test_swap_all_writes_all_keys_or_none(store):
    first = store.swap_all([ConditionalWrite("a", b"1", 0), ConditionalWrite("b", b"2", 0)])
    assert store.get("a").mod_revision == store.get("b").mod_revision == first
    second = store.swap_all(
        [ConditionalWrite("a", b"3", first), ConditionalWrite("b", None, first)]
    )
    assert (store.get("a").value, store.get("b")) == (b"3", None)
    with pytest.raises(SwapAllConflict) as conflict:
        store.swap_all([ConditionalWrite("a", b"4", first), ConditionalWrite("c", b"5", 0)])
    assert conflict.value.current_values["a"].mod_revision == second
    assert store.get("c") is None


@pytest.mark.parametrize("lists_all", [True, False])
def test_swap_all_lost_lists_only_the_keys_that_failed(store, standin, lists_all, monkeypatch):
    """Only the keys that failed their condition are reported, whichever keys the store lists.

    A key that the store did not list, since it was at its expected revision, was once reported as
    removed.
    """
    revision = store.swap_all(
        [
            ConditionalWrite("a", b"1", 0),
            ConditionalWrite("b", b"1", 0),
            ConditionalWrite("c", b"1", 0),
        ]
    )
    store.swap("b", b"2", revision)
    if lists_all:
        monkeypatch.setattr(standin, "lists_all_conditions", True)
    with pytest.raises(SwapAllConflict) as conflict:
        store.swap_all(
            [ConditionalWrite(key, b"3", revision) for key in "abc"]
            + [ConditionalWrite("new", b"3", 0)]
        )
    assert list(conflict.value.current_values) == ["b"]


def test_swap_all_with_a_lost_answer_is_unknown(store, standin):
    standin.faults.lose_answers = 1
    with pytest.raises(SwapUnknown):
        store.swap_all([ConditionalWrite("a", b"1", 0)])
    standin.faults.busy = True
    with pytest.raises(StoreUnavailable):
        store.swap_all([ConditionalWrite("b", b"1", 0)])


# A write that had been made counted as not made, as its answer could not be read.
@pytest.mark.parametrize(
    ("status", "body", "expected"),
    [
        (200, "done", SwapUnknown),
        (200, {"revision": "many"}, SwapUnknown),
        (500, {}, SwapUnknown),
        (502, {}, SwapUnknown),
        (429, {}, StoreUnavailable),
        (503, {}, StoreUnavailable),
    ],
)
@pytest.mark.parametrize("is_batch", [False, True])
def test_write_counts_as_not_made_only_if_the_store_says_so(
    store, standin, status, body, expected, is_batch
):
    standin.routes["POST", "/kv-txn"] = lambda request: Reply(body, status)
    with pytest.raises(expected):
        if is_batch:
            store.swap_all([ConditionalWrite(KEY, b"1", 0)])
        else:
            store.swap(KEY, b"1", 0)


def test_swap_lost_has_the_current_value(store):
    store.swap(KEY, b"1", 0)
    with pytest.raises(SwapConflict) as conflict:
        store.swap(KEY, b"2", 0)
    assert conflict.value.current.value == b"1"
    with pytest.raises(SwapConflict) as conflict:
        store.swap(KEY + "b", b"2", 77)
    assert conflict.value.current is None


def test_swap_with_a_lost_answer_succeeds_if_it_took_effect(store, standin):
    standin.faults.lose_answers = 1
    revision = store.swap(KEY, b"1", 0)
    assert standin.items[KEY]["revision"] == revision
    assert store.failures["swap.answer_lost"] == 1


def test_swap_is_unknown_if_reading_the_key_again_fails(store, standin):
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
def test_call_to_a_busy_store_raises_store_unavailable(store, standin, call):
    standin.faults.busy = True
    with pytest.raises(StoreUnavailable):
        call(store)
    assert sum(store.failures.values()) == 1


def test_list_reads_all_pages(store, standin):
    for number in range(1203):
        standin.put(f"x/{number:04}", b"v")
    listing = store.list("x/")
    assert len(listing.values) == 1203
    assert [value.key for value in listing.values] == sorted(value.key for value in listing.values)


def test_keys_are_deleted_with_their_lease(store, standin):
    lease = store.grant_lease(1)
    store.swap(KEY, b"1", 0, lease)
    assert store.renew_lease(lease) == 1
    store.revoke_lease(lease)
    assert store.get(KEY) is None
    assert store.renew_lease(lease) == 0
    with pytest.raises(StoreRefused):
        store.swap(KEY, b"1", 0, lease)


def test_watch_yields_writes_and_removals_in_order(store, standin):
    first_revision = standin.put("x/a", b"1")
    standin.put("y/a", b"1")
    standin.put("x/b", b"2")
    standin.remove("x/a")
    watch = store.watch("x/", first_revision, 5.0)
    changes = [next(watch) for _ in range(3)]
    assert [(change.key, change.value) for change in changes] == [
        ("x/a", b"1"),
        ("x/b", b"2"),
        ("x/a", None),
    ]
    gevent.spawn_later(0.05, standin.put, "x/c", b"3")
    assert next(watch).key == "x/c"


def test_watch_of_dropped_history_is_refused(store, standin):
    first_revision = standin.put("x/a", b"1")
    standin.put("x/a", b"2")
    standin.drop_history()
    with pytest.raises(StoreRefused):
        next(store.watch("x/", first_revision, 5.0))


def test_watch_on_an_unresponsive_connection_fails(store, standin):
    standin.faults.hang = True
    start_s = time.monotonic()
    with pytest.raises(StoreUnavailable):
        next(store.watch("x/", 1, 5.0, response_timeout_ms=100.0))
    assert time.monotonic() - start_s < 2.0


@pytest.mark.parametrize("text", ["%%%", "a", "é"])
def test_value_with_invalid_base64_is_read_as_empty(text):
    assert kv_store._decode_value(text) == b""
