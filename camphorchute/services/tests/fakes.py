"""An in-memory store with faults, and processes that learn from each other."""

import random
from collections import Counter

import gevent
from gevent.event import Event

from camphorchute.hosting import (
    StoredListing,
    StoredValue,
    StoreRefused,
    StoreUnavailable,
    SwapLost,
    SwapUnknown,
)
from camphorchute.services import Catalogue, Distribution


class FakeStore:
    """A store; `fault(call)` returns "", "down", "lost", "late" or "dropped" for each call."""

    def __init__(self, rng=None, fault=lambda call: ""):
        self.rng = rng
        self.fault = fault
        self.calls = Counter()
        self.log = []
        self.values = {}
        self.revision = 0
        self.compacted = 0
        self.silent = False
        self._changed = Event()

    def _enter(self, call):
        self.calls[call] += 1
        if self.rng:
            gevent.sleep(self.rng.random() * 0.0005)
        fault = self.fault(call)
        if fault == "down":
            raise StoreUnavailable("down")
        return fault

    def get(self, key):
        self._enter("get")
        return self.values.get(key)

    def list(self, prefix):
        self._enter("list")
        found = [self.values[key] for key in sorted(self.values) if key.startswith(prefix)]
        return StoredListing(found, self.revision)

    def grant_lease(self, ttl_s):
        self._enter("grant_lease")
        return 7

    def swap(self, key, value, expected_revision, lease_id=0):
        fault = self._enter("swap")
        if fault == "dropped":
            raise SwapUnknown("dropped on its way")
        if fault == "late":
            gevent.spawn_later(0.002, self._late, key, value, expected_revision)
            raise SwapUnknown("still on its way")
        revision = self._write(key, value, expected_revision)
        if self.rng:
            gevent.sleep(self.rng.random() * 0.0005)
        if fault == "lost":
            raise SwapUnknown("the answer was lost")
        return revision

    def _late(self, key, value, expected_revision):
        try:
            self._write(key, value, expected_revision)
        except SwapLost:
            self.calls["late_lost"] += 1

    def _write(self, key, value, expected_revision):
        current = self.values.get(key)
        if (current.mod_revision if current else 0) != expected_revision:
            raise SwapLost(key, current)
        return self.put(key, value)

    def put(self, key, value):
        self.revision += 1
        written = StoredValue(key, value, self.revision)
        self.log.append(written)
        if value is None:
            self.values.pop(key, None)
        else:
            self.values[key] = written
        self._changed.set()
        self._changed = Event()
        return self.revision

    def watch(self, prefix, from_revision, timeout_s):
        self._enter("watch")
        if from_revision <= self.compacted:
            raise StoreRefused("compacted")
        limit = gevent.Timeout(timeout_s, False)
        with limit:
            while True:
                changed = self._changed
                if not self.silent:
                    later = [w for w in self.log if w.mod_revision >= from_revision]
                    for written in later:
                        self._check_up()
                        from_revision = written.mod_revision + 1
                        if written.key.startswith(prefix):
                            yield written
                changed.wait(0.01)
                self._check_up()

    def _check_up(self):
        if self.fault("watching") == "down":
            raise StoreUnavailable("the watch broke")


class Process:
    """An entry process as far as configuration goes; heartbeats reach all in its `peers`."""

    def __init__(self, store, seed, watcher):
        self.catalogue = Catalogue()
        self.peers = []
        self.asks = 0
        self.seen = []
        self.catalogue.add_listener(lambda record: self.seen.append((record.name, record.revision)))
        self.distribution = Distribution(
            store,
            self.catalogue,
            self,
            lambda: watcher,
            random.Random(seed),
            watch_timeout_s=0.1,
        )

    def ask_records_after(self, revision):
        self.asks += 1
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
                peer.distribution.heard_revision(self.catalogue.revision, age_ms)
