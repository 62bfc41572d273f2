"""Distribution of service records to this process, from a watch of the store or from peers."""

import random
import time
from collections.abc import Callable
from typing import Protocol

import gevent
from eliot import log_message
from gevent.event import Event

from camphorchute.contracts import Refusal
from camphorchute.hosting import Store, StoredListing, StoredValue, StoreUnavailable
from camphorchute.loops import wait_for_event
from camphorchute.services.backoff import Backoff
from camphorchute.services.catalogue import Catalogue
from camphorchute.services.record import SERVICES_PREFIX, ServiceRecord, decode_record, service_key

__all__ = ["Distribution", "PeerSource"]

WATCH_TIMEOUT_S = 5.0
ROLE_CHECK_INTERVAL_S = 1.0
PEER_ATTEMPTS_BEFORE_LISTING = 3


class PeerSource(Protocol):
    """Requests service records from other entry processes."""

    def fetch_records_after(self, revision: int) -> list[ServiceRecord] | None:
        """Return one ready peer's records after a revision, or None if no peer answered.

        Implementations must skip a peer that knows no higher revision in favor of one that does;
        otherwise two processes that ask only each other would never receive a change.

        Args:
            revision: the highest revision known to this process.
        """


class Distribution:
    """Keeps a catalogue up to date.

    The few watchers of a zone list the services once and watch them from that revision. Every
    other process asks its peers when a heartbeat reports a higher revision, and lists the store
    only if no peer has a first state or the missing records. A watcher asks its peers too, so that
    an unresponsive watch delays a change no longer than a heartbeat.

    Args:
        store: the platform's store.
        catalogue: the catalogue to keep up to date.
        peers: requests records from the other entry processes.
        is_watcher: returns whether this process is one of its zone's watchers now.
        rng: random number generator for jitter.
        watch_timeout_s: maximum duration of one watch in seconds.
    """

    __slots__ = (
        "_catalogue",
        "_greenlets",
        "_reported_revision",
        "_is_watcher",
        "_listed_revision",
        "_peers",
        "_rng",
        "_store",
        "_new_revision_event",
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
        self._reported_revision = 0
        self._listed_revision: int | None = None
        self._new_revision_event = Event()

    def start(self) -> None:
        """Start the greenlets that watch the store and ask peers."""
        self._greenlets = [gevent.spawn(self._run_watcher), gevent.spawn(self._run_peer_requests)]

    def close(self) -> None:
        """Stop the greenlets and wait for them; no record is applied afterwards."""
        gevent.killall(self._greenlets)
        self._greenlets = []

    def receive_peer_revision(self, revision: int, age_ms: float | None = None) -> None:
        """Process the configuration revision in a peer's heartbeat; does not block.

        A higher revision than the catalogue's starts a request to the peers; otherwise the age
        of the peer's state bounds the age of the catalogue.

        Args:
            revision: the highest revision in force at the peer.
            age_ms: age of the peer's state in milliseconds; None or negative if unknown.
        """
        if revision > self._catalogue.revision:
            self._reported_revision = max(self._reported_revision, revision)
            self._new_revision_event.set()
        elif age_ms is not None and age_ms >= 0:
            self._catalogue.mark_current(age_ms)

    def _run_watcher(self) -> None:
        backoff = Backoff(self._rng)
        while True:
            if not self._is_watcher():
                self._listed_revision = None
                gevent.sleep(ROLE_CHECK_INTERVAL_S * self._rng.uniform(0.5, 1.0))
                continue
            try:
                if self._listed_revision is None:
                    self._list_services()
                self._apply_one_watch()
                backoff.reset()
            except StoreUnavailable as error:
                self._listed_revision = None
                _log("services: listing or watching the store failed", error=repr(error))
                gevent.sleep(backoff.next_wait_s())

    def _apply_one_watch(self) -> None:
        """Apply the changes that one watch yields.

        Raises:
            StoreUnavailable: the watch failed or ended before half of its timeout.
        """
        started_s = time.monotonic()
        changes = self._store.watch(
            SERVICES_PREFIX, self._listed_revision + 1, self._watch_timeout_s
        )
        for stored in changes:
            self._apply_stored_values([stored])
            self._listed_revision = max(self._listed_revision, stored.mod_revision)
            self._catalogue.mark_current()
        duration_s = time.monotonic() - started_s
        if duration_s < self._watch_timeout_s / 2:
            raise StoreUnavailable(f"the watch ended after {duration_s:.3f} s")
        self._catalogue.mark_current(duration_s * 1000.0)

    def _list_services(self) -> None:
        """List all services in the store and apply them.

        Raises:
            StoreUnavailable: the store did not answer or is at a lower revision than the catalogue.
        """
        started_s = time.monotonic()
        listing = self._store.list(SERVICES_PREFIX)
        if listing.revision < self._catalogue.revision:
            raise StoreUnavailable(
                f"the store is at revision {listing.revision}, behind the revision of this process"
            )
        self._listed_revision = listing.revision
        self._apply_stored_values(listing.values, self._make_removal_records(listing))
        self._catalogue.mark_current((time.monotonic() - started_s) * 1000.0)

    def _make_removal_records(self, listing: StoredListing) -> list[ServiceRecord]:
        """Return a removal record for each service whose key is no longer in the store."""
        listed = {stored.key for stored in listing.values}
        return [
            ServiceRecord(record.name, listing.revision)
            for record in self._catalogue.list_records()
            if record.definition is not None
            and service_key(record.name) not in listed
            and record.revision < listing.revision
        ]

    def _apply_stored_values(
        self, values: list[StoredValue], removals: list[ServiceRecord] | None = None
    ) -> None:
        records = list(removals or [])
        for stored in values:
            try:
                records.append(decode_record(stored.key, stored.value, stored.mod_revision))
            except Refusal as refusal:
                _log(
                    "services: a service record in the store cannot be decoded", error=str(refusal)
                )
        self._catalogue.apply_records(records)

    def _run_peer_requests(self) -> None:
        self._request_first_state()
        while True:
            wait_for_event(self._new_revision_event)
            self._new_revision_event.clear()
            self._request_missing_records()

    def _request_missing_records(self) -> None:
        """Ask peers until the highest reported revision is applied; list the store if they fail."""
        backoff = Backoff(self._rng)
        attempts = 0
        while self._reported_revision > self._catalogue.revision:
            if self._apply_peer_records():
                continue
            attempts += 1
            if attempts % PEER_ATTEMPTS_BEFORE_LISTING == 0:
                self._list_as_fallback()
            gevent.sleep(backoff.next_wait_s())

    def _request_first_state(self) -> None:
        """Ask peers until the catalogue is ready; list the store if they fail, unless a watcher."""
        backoff = Backoff(self._rng)
        attempts = 0
        while not self._catalogue.ready:
            if self._apply_peer_records():
                return
            attempts += 1
            if attempts >= PEER_ATTEMPTS_BEFORE_LISTING and not self._is_watcher():
                self._list_as_fallback()
            if not self._catalogue.ready:
                self._new_revision_event.clear()
                wait_for_event(self._new_revision_event, backoff.next_wait_s())

    def _list_as_fallback(self) -> None:
        try:
            self._list_services()
            if self._listed_revision >= self._reported_revision:
                self._reported_revision = self._catalogue.revision
        except StoreUnavailable as error:
            _log(
                "services: no peer sent records and listing the store failed",
                error=repr(error),
            )

    def _apply_peer_records(self) -> bool:
        """Apply the records of a peer; return whether any of them was put in force."""
        records = self._peers.fetch_records_after(self._catalogue.revision)
        if not records:
            return False
        applied = self._catalogue.apply_records(records)
        self._catalogue.mark_ready()
        return applied > 0


def _log(text: str, **fields) -> None:
    log_message(message_type="services:distribution", text=text, **fields)
