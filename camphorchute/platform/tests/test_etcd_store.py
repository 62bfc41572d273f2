import gevent
import msgspec
import pytest
from gevent import socket

from bench.standins import keyspace
from bench.standins.platform import Platform
from camphorchute.hosting import (
    ConditionalWrite,
    StoreRefused,
    StoreUnavailable,
    SwapAllConflict,
    SwapConflict,
    SwapUnknown,
    make_store,
)
from camphorchute.platform.json_client import JsonClient

TIMEOUT_MS = 600.0
KEY = "/camphorchute/a"


@pytest.fixture
def platform():
    standin = Platform("127.0.0.1:0")
    standin.start()
    yield standin
    standin.close()


@pytest.fixture
def store(platform):
    store = make_store("etcd", [platform.address], timeout_ms=TIMEOUT_MS)
    store.start()
    yield store
    store.close()


@pytest.fixture
def closed_port():
    """An address that refuses connections: its socket is bound but does not listen."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{sock.getsockname()[1]}"


def set_faults(platform, **faults):
    control = JsonClient(platform.address)
    control.send_request("POST", "/faults", msgspec.json.encode(faults))
    control.close()


@pytest.mark.parametrize(
    ("before", "value", "expected", "outcome"),
    [
        (None, b"new", 0, "written"),
        (None, b"new", 7, "lost"),
        (b"old", b"new", 2, "written"),
        (b"old", b"new", 0, "lost"),
        (b"old", b"new", 1, "lost"),
        (b"old", None, 2, "deleted"),
        (b"old", None, 9, "lost"),
        (b"old", b"", 2, "written"),
        (b"old", bytes(range(256)), 2, "written"),
    ],
)
def test_swap_writes_only_at_the_expected_revision(store, before, value, expected, outcome):
    if before is not None:
        assert store.swap(KEY, before, 0) == 2
    if outcome == "lost":
        with pytest.raises(SwapConflict) as conflict:
            store.swap(KEY, value, expected)
        current = conflict.value.current
        assert (current and current.value) == before
        return
    revision = store.swap(KEY, value, expected)
    stored = store.get(KEY)
    if outcome == "deleted":
        assert stored is None
    else:
        assert (stored.key, stored.value, stored.mod_revision) == (KEY, value, revision)


def test_list_returns_only_keys_with_the_prefix(store):
    for key in ("/a/2", "/a/1", "/b/1", "/a0"):
        store.swap(key, key.encode(), 0)
    listing = store.list("/a/")
    assert [value.key for value in listing.values] == ["/a/1", "/a/2"]
    assert listing.revision == 5
    assert store.calls == {"swap": 4, "list": 1}


@pytest.mark.parametrize(
    ("faults", "value", "outcome", "written"),
    [
        ({"lose_answers": 1}, b"new", 3, True),
        ({"lose_answers": 1}, None, SwapUnknown, True),
        ({"hang": True}, b"new", SwapUnknown, False),
        ({"outage": True}, b"new", SwapUnknown, False),
        ({"down_ms": 60_000.0}, b"new", StoreUnavailable, False),
        ({"silent": True}, b"new", SwapUnknown, False),
        ({"silent": True}, b"old", SwapUnknown, False),
        ({"slow_ms": 10.0}, b"new", 3, True),
    ],
)
def test_swap_during_a_fault(platform, store, faults, value, outcome, written):
    store.swap(KEY, b"old", 0)
    set_faults(platform, **faults)
    if "down_ms" in faults:
        wait_until(lambda: not platform._server.started)
    if isinstance(outcome, int):
        assert store.swap(KEY, value, 2) == outcome
    else:
        with pytest.raises(outcome):
            store.swap(KEY, value, 2)
    states = platform.keys.range(KEY.encode(), b"")
    current_value = value if written else b"old"
    assert [state.value for state in states] == ([] if current_value is None else [current_value])
    assert store.calls["swap"] == 2
    assert store.calls["swap_check"] <= 1


def wait_until(condition):
    with gevent.Timeout(10):
        while not condition():
            gevent.sleep(0.01)


@pytest.mark.parametrize(
    ("later_value", "lease", "took_effect"),
    [(b"new", 0, True), (b"other", 0, False), (b"new", 1, False)],
)
def test_lost_swap_is_distinguished_from_a_later_write(
    platform, store, later_value, lease, took_effect
):
    store.swap(KEY, b"old", 0)
    platform.faults.lose_answers = 1
    original_list_keys = platform._list_keys

    def write_then_read(body):
        platform.keys.put(KEY.encode(), later_value, lease, platform.keys.revision + 1)
        return original_list_keys(body)

    platform._list_keys = write_then_read
    if took_effect:
        assert store.swap(KEY, b"new", 2) == 4
    else:
        with pytest.raises(SwapUnknown):
            store.swap(KEY, b"new", 2)


@pytest.mark.parametrize("faults", [{"silent": True}, {"hang": True}, {"outage": True}])
def test_read_after_a_failed_read_uses_a_new_connection(platform, store, faults):
    store.swap(KEY, b"old", 0)
    gevent.joinall([gevent.spawn(store.get, KEY) for _ in range(4)])
    set_faults(platform, **faults)
    with pytest.raises(StoreUnavailable):
        store.get(KEY)
    set_faults(platform, hang=False, outage=False)
    assert store.get(KEY).value == b"old"


def test_calls_that_time_out_free_their_connections(platform, store):
    set_faults(platform, hang=True)
    reads = [gevent.spawn(store.get, KEY) for _ in range(12)]
    gevent.joinall(reads)
    assert all(isinstance(read.exception, StoreUnavailable) for read in reads)
    set_faults(platform, hang=False)
    assert store.get(KEY) is None


def test_second_gateway_is_used_if_the_first_refuses_connections(platform, closed_port):
    store = make_store("etcd", [closed_port, platform.address])
    store.start()
    assert store.swap(KEY, b"new", 0) == 2
    assert store.failures == {"swap_not_sent": 1}
    store.close()
    with pytest.raises(StoreUnavailable):
        store.get(KEY)


@pytest.mark.parametrize("call", ["swap", "get", "list", "grant_lease", "watch"])
def test_call_without_a_reachable_gateway_is_not_sent(closed_port, call):
    store = make_store("etcd", [closed_port])
    store.start()
    args = {"swap": (KEY, b"", 0), "grant_lease": (5,), "watch": (KEY, 1, 1.0)}.get(call, (KEY,))
    with pytest.raises(StoreUnavailable):
        list(getattr(store, call)(*args))
    assert store.failures == {f"{call}_not_sent": 1}


@pytest.mark.parametrize(("value", "lease"), [(b"new", 99), (bytes(2_000_000), 0)])
def test_rejected_swap_writes_nothing(store, value, lease):
    with pytest.raises(StoreRefused):
        store.swap(KEY, value, 0, lease)
    assert store.get(KEY) is None
    assert store.calls["swap_check"] == 0


def test_revoked_or_expired_lease_deletes_its_keys(platform, store):
    lease = store.grant_lease(60)
    revision = store.swap(KEY, b"held", 0, lease)
    assert store.renew_lease(lease) == 60
    set_faults(platform, lapse_leases=True)
    assert store.renew_lease(lease) == 0
    assert store.get(KEY) is None
    deletion = next(store.watch(KEY, revision + 1, 10.0))
    assert (deletion.key, deletion.value) == (KEY, None)
    store.swap(KEY, b"held", 0, other_lease := store.grant_lease(60))
    store.revoke_lease(other_lease)
    assert store.get(KEY) is None


def test_watch_yields_the_deletion_of_a_key_whose_lease_expired(platform, store):
    revision = store.swap(KEY, b"held", 0, store.grant_lease(1))
    assert next(store.watch(KEY, revision + 1, 30.0)).value is None


def test_watch_yields_past_and_later_writes_in_order(store):
    revision = store.swap("/a/1", b"1", 0)
    store.swap("/b/1", b"other", 0)
    watch = store.watch("/a/", revision, 30.0)
    assert next(watch).value == b"1"
    later = gevent.spawn(store.swap, "/a/1", b"2", revision)
    assert next(watch).mod_revision == later.get()
    store.swap("/a/1", None, later.get())
    assert next(watch).value is None
    watch.close()
    assert store.calls["watch"] == 1


def test_watch_ends_after_its_lifetime(store):
    assert list(store.watch("/a/", 1, 0.2)) == []


@pytest.mark.parametrize("faults", [{"hang": True}, {"outage": True}])
def test_watch_that_the_store_does_not_accept_is_unavailable(platform, store, faults):
    set_faults(platform, **faults)
    with pytest.raises(StoreUnavailable):
        list(store.watch("/a/", 1, 30.0))


def test_watch_is_unavailable_after_its_connection_breaks(platform, store):
    store.swap("/a/1", b"1", 0)
    watch = store.watch("/a/", 1, 60.0)
    next(watch)
    set_faults(platform, outage=True)
    with pytest.raises(StoreUnavailable):
        next(watch)


def test_watch_from_a_compacted_revision_is_refused(platform, store, monkeypatch):
    monkeypatch.setattr(keyspace, "MAX_HISTORY_EVENTS", 4)
    for number in range(6):
        store.swap(f"/a/{number}", b"", 0)
    with pytest.raises(StoreRefused, match="compacted"):
        list(store.watch("/a/", 1, 30.0))


def test_sockets_on_both_sides_set_tcp_nodelay(platform, store):
    store.get(KEY)
    (client_socket,) = store._clients[0]._http_client._connection_pool._idle_sockets
    (server_socket,) = platform._server.connections
    for sock in (client_socket, server_socket):
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


def test_swap_all_writes_all_keys_or_none(store):
    first = store.swap_all([ConditionalWrite("/a", b"1", 0), ConditionalWrite("/b", b"2", 0)])
    second = store.swap_all(
        [ConditionalWrite("/a", b"3", first), ConditionalWrite("/b", None, first)]
    )
    assert (store.get("/a").value, store.get("/b")) == (b"3", None)
    with pytest.raises(SwapAllConflict) as conflict:
        store.swap_all([ConditionalWrite("/a", b"4", first), ConditionalWrite("/c", b"5", 0)])
    assert {key: value.mod_revision for key, value in conflict.value.current_values.items()} == {
        "/a": second
    }
    assert store.get("/c") is None
