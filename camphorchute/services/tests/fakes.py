"""An in-memory store with injected faults, and processes that exchange service records."""

import random
from collections import Counter

import gevent
from gevent.event import Event

from camphorchute.hosting import (
    StoredListing,
    StoredValue,
    StoreRefused,
    StoreUnavailable,
    SwapConflict,
    SwapUnknown,
)
from camphorchute.services import Catalogue, Distribution


class FakeStore:
    """An in-memory store with injected faults.

    Args:
        rng: random number generator for delays of the calls; None for no delays.
        fault: returns the fault of each call, by the name of the call: "" for none, "down" if
            the store does not answer, "lost" if a swap is applied but its answer is lost, "late"
            if a swap is applied after the call failed, "dropped" if a swap is never applied.
    """

    def __init__(self, rng=None, fault=lambda call: ""):
        self.rng = rng
        self.fault = fault
        self.calls = Counter()
        self.writes = []
        self.values = {}
        self.revision = 0
        self.compacted_revision = 0
        self.watch_is_stalled = False
        self._change_event = Event()

    def _begin_call(self, call):
        self.calls[call] += 1
        if self.rng:
            gevent.sleep(self.rng.random() * 0.0005)
        fault = self.fault(call)
        if fault == "down":
            raise StoreUnavailable("the store is down")
        return fault

    def get(self, key):
        self._begin_call("get")
        return self.values.get(key)

    def list(self, prefix):
        self._begin_call("list")
        found = [self.values[key] for key in sorted(self.values) if key.startswith(prefix)]
        return StoredListing(found, self.revision)

    def grant_lease(self, ttl_s):
        self._begin_call("grant_lease")
        return 7

    def swap(self, key, value, expected_revision, lease_id=0):
        fault = self._begin_call("swap")
        if fault == "dropped":
            raise SwapUnknown("the write was dropped")
        if fault == "late":
            gevent.spawn_later(0.002, self._write_late, key, value, expected_revision)
            raise SwapUnknown("the write is delayed")
        revision = self._write(key, value, expected_revision)
        if self.rng:
            gevent.sleep(self.rng.random() * 0.0005)
        if fault == "lost":
            raise SwapUnknown("the answer was lost")
        return revision

    def _write_late(self, key, value, expected_revision):
        try:
            self._write(key, value, expected_revision)
        except SwapConflict:
            self.calls["late_lost"] += 1

    def _write(self, key, value, expected_revision):
        current = self.values.get(key)
        if (current.mod_revision if current else 0) != expected_revision:
            raise SwapConflict(key, current)
        return self.put(key, value)

    def put(self, key, value):
        self.revision += 1
        written = StoredValue(key, value, self.revision)
        self.writes.append(written)
        if value is None:
            self.values.pop(key, None)
        else:
            self.values[key] = written
        self._change_event.set()
        self._change_event = Event()
        return self.revision

    def watch(self, prefix, from_revision, timeout_s):
        self._begin_call("watch")
        if from_revision <= self.compacted_revision:
            raise StoreRefused("the revision is compacted")
        timeout = gevent.Timeout(timeout_s, False)
        with timeout:
            while True:
                change_event = self._change_event
                if not self.watch_is_stalled:
                    new_writes = [w for w in self.writes if w.mod_revision >= from_revision]
                    for written in new_writes:
                        self._check_watch_is_up()
                        from_revision = written.mod_revision + 1
                        if written.key.startswith(prefix):
                            yield written
                change_event.wait(0.01)
                self._check_watch_is_up()

    def _check_watch_is_up(self):
        if self.fault("watching") == "down":
            raise StoreUnavailable("the watch was interrupted")


class ConfigProcess:
    """The configuration side of an entry process; its heartbeats reach all of its `peers`."""

    def __init__(self, store, seed, watcher):
        self.catalogue = Catalogue()
        self.peers = []
        self.requests = 0
        self.applied = []
        self.catalogue.add_listener(
            lambda record: self.applied.append((record.name, record.revision))
        )
        self.distribution = Distribution(
            store,
            self.catalogue,
            self,
            lambda: watcher,
            random.Random(seed),
            watch_timeout_s=0.1,
        )

    def fetch_records_after(self, revision):
        self.requests += 1
        ready = [peer for peer in self.peers if peer.catalogue.ready]
        if not ready:
            return None
        gevent.sleep(0.001)
        best = max(ready, key=lambda peer: peer.catalogue.revision)
        return best.catalogue.records_after(revision)

    def send_heartbeats(self):
        age_ms = self.catalogue.age_ms
        for peer in self.peers:
            if self.catalogue.ready:
                peer.distribution.receive_peer_revision(self.catalogue.revision, age_ms)
