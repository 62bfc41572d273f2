"""Brings confirmed changes to this process: from the store's watch or from its peers."""

import random
import time
from collections.abc import Callable
from typing import Protocol

import gevent
from eliot import log_message
from gevent.event import Event

from camphorchute.contracts import Refusal
from camphorchute.hosting import Store, StoredListing, StoredValue, StoreUnavailable
from camphorchute.services.backoff import Backoff
from camphorchute.services.catalogue import Catalogue
from camphorchute.services.record import SERVICES_PREFIX, ServiceRecord, read_record, service_key

__all__ = ["Distribution", "PeerSource"]

WATCH_TIMEOUT_S = 5.0
ROLE_CHECK_S = 1.0
PEER_TRIES = 3


class PeerSource(Protocol):
    """Asks other entry processes for service records."""

    def ask_records_after(self, revision: int) -> list[ServiceRecord] | None:
        """Return one ready peer's records over a revision; None where no peer answered.

        A peer that knows no higher revision is to be passed over for one that does: two
        processes that ask only each other would never learn.
        """


class Distribution:
    """Keeps a catalogue up to date.

    The few watchers of a zone list the services once and watch them from there. Every other
    process asks a peer when a heartbeat tells of a higher revision, and lists the store only when
    no peer tells it a first state or what it lacks. A watcher asks peers too, so that a watch that
    went silent delays a change no longer than a heartbeat.

    Args:
        store: the platform's store.
        catalogue: what is kept up to date.
        peers: the other entry processes.
        is_watcher: whether this process is one of its zone's watchers now.
        rng: source of randomness.
        watch_timeout_s: longest time of one watch, seconds.
    """

    __slots__ = (
        "_catalogue",
        "_greenlets",
        "_heard_revision",
        "_is_watcher",
        "_listed_revision",
        "_peers",
        "_rng",
        "_store",
        "_wake",
        "_watch_timeout_s",
    )

    def __init__(
        self,
        store: Store,
        catalogue: Catalogue,
        peers: PeerSource,
        is_watcher: Callable[[], bool],
        rng: random.Random | None = None,
        watch_timeout_s: float = WATCH_TIMEOUT_S,
    ) -> None:
        self._store = store
        self._catalogue = catalogue
        self._peers = peers
        self._is_watcher = is_watcher
        self._rng = rng or random.Random()
        self._watch_timeout_s = watch_timeout_s
        self._greenlets: list[gevent.Greenlet] = []
        self._heard_revision = 0
        self._listed_revision: int | None = None
        self._wake = Event()

    def start(self) -> None:
        """Begin to watch or to learn from peers."""
        self._greenlets = [gevent.spawn(self._keep_watching), gevent.spawn(self._keep_learning)]

    def close(self) -> None:
        """Stop, and wait until nothing more is applied."""
        gevent.killall(self._greenlets)
        self._greenlets = []

    def heard_revision(self, revision: int, age_ms: float | None = None) -> None:
        """Note what a peer's heartbeat says; does not block.

        Args:
            revision: the highest revision in force at the peer.
            age_ms: how old the peer's knowledge is; None where it did not say.
        """
        if revision > self._catalogue.revision:
            self._heard_revision = max(self._heard_revision, revision)
            self._wake.set()
        elif age_ms is not None and age_ms >= 0:
            self._catalogue.heard(age_ms)

    def _keep_watching(self) -> None:
        backoff = Backoff(self._rng)
        while True:
            if not self._is_watcher():
                self._listed_revision = None
                gevent.sleep(ROLE_CHECK_S * self._rng.uniform(0.5, 1.0))
                continue
            try:
                if self._listed_revision is None:
                    self._list()
                self._watch()
                backoff.reset()
            except StoreUnavailable as error:
                self._listed_revision = None
                _log("services: the store's watch failed", error=repr(error))
                gevent.sleep(backoff.next_s())

    def _watch(self) -> None:
        """Apply what one watch yields; a watch cut short counts as failed."""
        began_s = time.monotonic()
        stream = self._store.watch(
            SERVICES_PREFIX, self._listed_revision + 1, self._watch_timeout_s
        )
        for stored in stream:
            self._apply([stored])
            self._listed_revision = max(self._listed_revision, stored.mod_revision)
            self._catalogue.heard()
        lasted_s = time.monotonic() - began_s
        if lasted_s < self._watch_timeout_s / 2:
            raise StoreUnavailable(f"the watch ended after {lasted_s:.3f} s")
        self._catalogue.heard(lasted_s * 1000.0)

    def _list(self) -> None:
        """Learn the whole state from the store.

        Raises:
            StoreUnavailable: the store did not answer, or with a state older than is known here.
        """
        began_s = time.monotonic()
        listing = self._store.list(SERVICES_PREFIX)
        if listing.revision < self._catalogue.revision:
            raise StoreUnavailable(
                f"the store is at revision {listing.revision}, behind this process"
            )
        self._listed_revision = listing.revision
        self._apply(listing.values, self._deleted(listing))
        self._catalogue.heard((time.monotonic() - began_s) * 1000.0)

    def _deleted(self, listing: StoredListing) -> list[ServiceRecord]:
        """Return a removal of each service whose key is gone from the store."""
        listed = {stored.key for stored in listing.values}
        return [
            ServiceRecord(record.name, listing.revision)
            for record in self._catalogue.records()
            if record.definition is not None
            and service_key(record.name) not in listed
            and record.revision < listing.revision
        ]

    def _apply(self, values: list[StoredValue], deleted: list[ServiceRecord] | None = None) -> None:
        records = list(deleted or [])
        for stored in values:
            try:
                records.append(read_record(stored.key, stored.value, stored.mod_revision))
            except Refusal as refusal:
                _log("services: a record cannot be read", error=str(refusal))
        self._catalogue.apply_all(records)

    def _keep_learning(self) -> None:
        self._learn_first_state()
        while True:
            self._wake.wait()
            self._wake.clear()
            self._catch_up()

    def _catch_up(self) -> None:
        """Return once the highest revision heard of is known; list the store if no peer helps."""
        backoff = Backoff(self._rng)
        tries = 0
        while self._heard_revision > self._catalogue.revision:
            if self._ask_peers():
                continue
            tries += 1
            if tries % PEER_TRIES == 0:
                self._list_as_last_resort()
            gevent.sleep(backoff.next_s())

    def _learn_first_state(self) -> None:
        """Return once a state is known, from a peer or, as the last resort, from the store."""
        backoff = Backoff(self._rng)
        tries = 0
        while not self._catalogue.ready:
            if self._ask_peers():
                return
            tries += 1
            if tries >= PEER_TRIES and not self._is_watcher():
                self._list_as_last_resort()
            if not self._catalogue.ready:
                self._wake.clear()
                self._wake.wait(backoff.next_s())

    def _list_as_last_resort(self) -> None:
        try:
            self._list()
            if self._listed_revision >= self._heard_revision:
                self._heard_revision = self._catalogue.revision
        except StoreUnavailable as error:
            _log("services: no peer and no store tells the state", error=repr(error))

    def _ask_peers(self) -> bool:
        """Apply what a peer knows; return whether this put anything in force."""
        records = self._peers.ask_records_after(self._catalogue.revision)
        if not records:
            return False
        applied = self._catalogue.apply_all(records)
        self._catalogue.learnt()
        return applied > 0


def _log(text: str, **fields) -> None:
    log_message(message_type="services:distribution", text=text, **fields)
