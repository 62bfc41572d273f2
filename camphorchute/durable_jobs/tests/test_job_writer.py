import gevent
import pytest

from camphorchute.durable_jobs import JobWriter
from camphorchute.durable_jobs.tests.fakes import FakeStore
from camphorchute.hosting import StoredValue, StoreUnavailable, SwapConflict, SwapUnknown


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def make_writer(store):
    writers = []

    def make(pause_ms=0.001):
        writer = JobWriter(store, lambda: pause_ms, lambda name, n=1: None)
        writer.start()
        writers.append(writer)
        return writer

    yield make
    for writer in writers:
        writer.close()


def write_all(writer, keys, value=b"v", revision=0):
    """Write keys simultaneously; return the revision or the error of each."""

    def write_or_error(key):
        try:
            return writer.write(key, value, revision)
        except (StoreUnavailable, SwapConflict, SwapUnknown) as error:
            return error

    greenlets = [gevent.spawn(write_or_error, key) for key in keys]
    gevent.joinall(greenlets, timeout=5.0)
    return [greenlet.value for greenlet in greenlets]


def test_simultaneous_writes_share_a_call(make_writer, store):
    keys = [f"k{number}" for number in range(100)]
    assert all(isinstance(revision, int) for revision in write_all(make_writer(), keys))
    assert len(store.batches) <= 5
    assert max(len(batch) for batch in store.batches) == 32
    assert sorted(store.items) == sorted(keys)


def test_two_writes_of_a_key_never_share_a_call(make_writer, store):
    results = write_all(make_writer(), ["k", "k", "k"])
    assert sum(isinstance(result, SwapConflict) for result in results) == 2
    assert store.batches == [["k"], ["k"], ["k"]]


def test_conflicting_write_does_not_fail_the_other_writes(make_writer, store):
    store.items["k3"] = StoredValue("k3", b"old", 7)
    results = write_all(make_writer(), [f"k{number}" for number in range(6)])
    conflicts = [result for result in results if isinstance(result, SwapConflict)]
    assert [error.current.value for error in conflicts] == [b"old"]
    assert sum(isinstance(result, int) for result in results) == 5


@pytest.mark.parametrize(
    ("reads_fail", "executed", "expected"),
    [(False, True, int), (False, False, SwapUnknown), (True, True, SwapUnknown)],
)
def test_write_without_a_reply_is_checked_by_a_read(
    make_writer, store, reads_fail, executed, expected
):
    store.reads_fail = reads_fail
    if executed:
        store.lose_reply = True
    else:
        store.errors_to_raise = [SwapUnknown("lost")]
    results = write_all(make_writer(), ["a", "b"])
    assert all(isinstance(result, expected) for result in results)


def test_unavailable_store_fails_the_writes_immediately(make_writer, store):
    store.errors_to_raise = [StoreUnavailable("down")]
    assert all(
        isinstance(result, StoreUnavailable) for result in write_all(make_writer(), ["a", "b"])
    )
    assert all(isinstance(result, int) for result in write_all(make_writer(), ["a", "b"]))


def test_calls_keep_to_the_rate_limit_after_a_burst(make_writer, store):
    writer = make_writer(pause_ms=100.0)
    greenlets = [gevent.spawn(writer.write, f"k{number}", b"v", 0) for number in range(3)]
    gevent.sleep(0)
    for number in range(3, 60):
        gevent.sleep(0.01)
        greenlets.append(gevent.spawn(writer.write, f"k{number}", b"v", 0))
    gevent.joinall(greenlets, timeout=5.0)
    assert len(store.items) == 60
    assert 5 <= len(store.batches) <= 12


def test_pending_writes_fail_when_the_writer_closes(make_writer, store):
    writer = make_writer(pause_ms=10_000.0)
    for _ in range(4):
        write_all(writer, [f"burst{len(store.items)}"])
    late_write = gevent.spawn(write_all, writer, ["late"])
    gevent.sleep(0.05)
    writer.close()
    assert isinstance(late_write.get(timeout=1.0)[0], StoreUnavailable)
    assert "late" not in store.items
