import random
from contextlib import contextmanager

import gevent
import pytest

from camphorchute.services import Planner, ServiceDefinition, ServiceRecord
from camphorchute.services.record import encode_record, service_key
from camphorchute.services.tests.fakes import ConfigProcess, FakeStore

HEARTBEAT_INTERVAL_S = 0.02
WAIT_TIMEOUT_S = 10.0


def put_service(store, name, number=0):
    definition = ServiceDefinition(name, drain_ms=1.0 + number)
    return store.put(service_key(name), encode_record(ServiceRecord(name, 0, definition)))


@contextmanager
def run_fleet(store, watchers, others, seed=1):
    processes = [ConfigProcess(store, seed + n, n < watchers) for n in range(watchers + others)]
    for process in processes:
        process.peers = [peer for peer in processes if peer is not process]
        process.distribution.start()
    heartbeats = gevent.spawn(send_heartbeats_forever, processes)
    try:
        yield processes
    finally:
        gevent.kill(heartbeats)
        for process in processes:
            process.distribution.close()
    for process in processes:
        for name in {name for name, _ in process.applied}:
            revisions = [
                revision for applied_name, revision in process.applied if applied_name == name
            ]
            assert revisions == sorted(set(revisions))


def send_heartbeats_forever(processes):
    while True:
        gevent.sleep(HEARTBEAT_INTERVAL_S)
        for process in processes:
            process.send_heartbeats()


def wait_until(condition):
    with gevent.Timeout(WAIT_TIMEOUT_S):
        while not condition():
            gevent.sleep(0.005)


def all_at_revision(processes, revision):
    return lambda: all(process.catalogue.revision == revision for process in processes)


def all_ready(processes):
    return lambda: all(process.catalogue.ready for process in processes)


@pytest.mark.parametrize("others", [2, 14, 30])
def test_a_confirm_reaches_every_process_and_only_watchers_call_the_store(others):
    store = FakeStore()
    put_service(store, "walks")
    with run_fleet(store, 2, others) as processes:
        wait_until(all_at_revision(processes, 1))
        wait_until(all_ready(processes))
        store.calls.clear()
        planner = Planner(store, processes[-1].catalogue)
        plan = planner.make_plan("flags", ServiceDefinition("flags"), "ada")
        revision = planner.confirm(plan.id, "ada").revision
        wait_until(all_at_revision(processes, revision))
        assert all(p.catalogue.get_record("flags").plan_id == plan.id for p in processes)
        assert store.calls["list"] == 0
        store.calls.clear()
        gevent.sleep(0.5)
        assert set(store.calls) <= {"watch", "watching"}
        assert store.calls["watch"] <= 2 * 7
        wait_until(lambda: all(process.catalogue.age_ms < 300 for process in processes))


def test_listing_an_empty_store_makes_processes_ready():
    with run_fleet(FakeStore(), 2, 2) as processes:
        wait_until(all_ready(processes))
        assert all(process.catalogue.revision == 0 for process in processes)


def test_a_process_that_starts_while_the_store_is_down_gets_records_from_peers():
    store = FakeStore()
    put_service(store, "flags")
    with run_fleet(store, 2, 2) as processes:
        wait_until(all_ready(processes))
        store.fault = lambda call: "down"
        for watcher in (False, True):
            late_process = ConfigProcess(store, 77, watcher)
            late_process.peers = processes
            late_process.distribution.start()
            wait_until(lambda late_process=late_process: late_process.catalogue.ready)
            late_process.distribution.close()
            assert late_process.catalogue.revision == 1


def test_without_peer_and_store_no_process_becomes_ready():
    store = FakeStore(fault=lambda call: "down")
    with run_fleet(store, 1, 1) as processes:
        gevent.sleep(0.6)
        assert not any(process.catalogue.ready for process in processes)
        store.fault = lambda call: ""
        wait_until(all_ready(processes))


def test_a_zone_without_the_store_ages_and_skips_intermediate_states_on_recovery():
    store = FakeStore()
    put_service(store, "flags")
    with run_fleet(store, 2, 2) as processes:
        wait_until(all_ready(processes))
        store.fault = lambda call: "down"
        gevent.sleep(0.2)
        for number in range(20):
            put_service(store, "flags", number)
        gevent.sleep(0.4)
        assert all(process.catalogue.revision == 1 for process in processes)
        assert all(process.catalogue.age_ms > 300 for process in processes)
        store.fault = lambda call: ""
        wait_until(all_at_revision(processes, 21))
        assert all(process.applied == [("flags", 1), ("flags", 21)] for process in processes)
        wait_until(lambda: all(process.catalogue.age_ms < 300 for process in processes))


def test_a_stalled_watch_is_compensated_by_peers():
    store, stalled_store = FakeStore(), FakeStore()
    stalled_store.values, stalled_store.writes = store.values, store.writes
    with run_fleet(store, 1, 1) as processes:
        wait_until(all_ready(processes))
        stalled_process = ConfigProcess(stalled_store, 5, watcher=True)
        stalled_store.watch_is_stalled = True
        stalled_process.peers = processes
        processes[0].peers.append(stalled_process)
        stalled_process.distribution.start()
        wait_until(lambda: stalled_process.catalogue.ready)
        put_service(store, "flags")
        wait_until(all_at_revision([*processes, stalled_process], 1))
        stalled_process.distribution.close()


def test_a_process_lists_the_store_if_its_peers_lack_the_records_too():
    store = FakeStore()
    with run_fleet(store, 1, 3) as processes:
        wait_until(all_ready(processes))
        for process in processes[1:]:
            process.fetch_records_after = lambda revision: []
        store.calls.clear()
        put_service(store, "flags")
        wait_until(all_at_revision(processes, 1))
        assert store.calls["list"] == 3


@pytest.mark.parametrize("missed", [False, True])
def test_a_deleted_key_removes_the_service_at_every_process(missed):
    store = FakeStore()
    put_service(store, "flags")
    put_service(store, "walks")
    with run_fleet(store, 2, 2) as processes:
        wait_until(all_at_revision(processes, 2))
        if missed:
            store.fault = lambda call: "down"
            gevent.sleep(0.3)
        store.put(service_key("flags"), None)
        store.compacted_revision = store.revision if missed else 0
        store.fault = lambda call: ""
        wait_until(
            lambda: all(process.catalogue.list_names() == ["walks"] for process in processes)
        )
        revision = put_service(store, "flags")
        wait_until(all_at_revision(processes, revision))


def test_a_malformed_record_does_not_stop_the_distribution():
    store = FakeStore()
    store.put(service_key("broken"), b"{")
    with run_fleet(store, 1, 1) as processes:
        wait_until(all_ready(processes))
        store.put(service_key("broken"), b"[]")
        wait_until(all_at_revision(processes, put_service(store, "flags")))
        assert processes[1].catalogue.list_names() == ["flags"]


def test_a_store_at_a_lower_revision_reverts_no_record():
    store = FakeStore()
    put_service(store, "flags", 1)
    put_service(store, "flags", 2)
    process = ConfigProcess(store, 1, watcher=True)
    process.catalogue.apply_records([ServiceRecord("flags", 9), ServiceRecord("walks", 8)])
    before = process.catalogue.list_records()
    process.distribution.start()
    gevent.sleep(0.3)
    process.distribution.close()
    assert process.catalogue.list_records() == before
    assert not process.catalogue.ready
    assert store.calls["watch"] == 0


@pytest.mark.parametrize("seed", range(4))
def test_processes_converge_after_random_outages_and_changes(seed):
    rng = random.Random(seed)
    store = FakeStore(rng)
    is_down = [False]
    store.fault = lambda call: "down" if is_down[0] or rng.random() < 0.05 else ""
    with run_fleet(store, 2, 6, seed) as processes:
        for number in range(60):
            put_service(store, rng.choice(["flags", "walks", "stamps"]), number)
            is_down[0] = rng.random() < 0.3
            gevent.sleep(rng.random() * 0.03)
        is_down[0] = False
        store.fault = lambda call: ""
        wait_until(all_at_revision(processes, store.revision))
        for process in processes:
            assert process.catalogue.list_records() == processes[0].catalogue.list_records()
