"""Stand-in for the store of a hosted platform, which also holds its service discovery."""

import base64
import time

import gevent
from gevent.event import Event

from bench.standins.server import ConnectionDropped, Faults, Reply, Request, Standin

__all__ = ["FleetStore", "FleetStoreFaults", "FleetStoreGate"]

MAX_HISTORY_EVENTS = 5000
MAX_PAGE_ITEMS = 500
PROTECTED_PREFIXES = ("op/", "servers/")
MS_PER_S = 1000
ENTRIES_MAX = 32  # of a transaction, each condition being one


class FleetStoreFaults(Faults):
    """Faults of the store.

    Attributes:
        busy: whether every call is answered with status 503.
        lose_answers: number of writes that take effect and whose connection is then closed
            without an answer.
    """

    busy: bool = False
    lose_answers: int = 0


class _Lease:
    """A lease and the keys attached to it.

    Args:
        ttl_ms: time to live in milliseconds.

    Attributes:
        ttl_ms: time to live in milliseconds.
        expires_s: monotonic time at which it expires, in seconds.
        keys: the keys attached to it.
    """

    __slots__ = ("ttl_ms", "expires_s", "keys")

    def __init__(self, ttl_ms: int) -> None:
        self.ttl_ms = ttl_ms
        self.expires_s = time.monotonic() + ttl_ms / MS_PER_S
        self.keys: set[str] = set()


class FleetStore(Standin):
    """Stand-in for the store: keys with revisions, conditional writes, leases and watches.

    Args:
        address: ``ip:port`` to listen on.

    Attributes:
        items: the current items, by key.
        calls: number of requests by path.
        lists_all_conditions: whether the answer to a failed conditional write lists the items of
            all its conditions, not only of those that failed.
    """

    lists_all_conditions = False
    faults_type = FleetStoreFaults

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.items: dict[str, dict] = {}
        self.calls: dict[str, int] = {}
        self._revision = 1
        self._events: list[dict] = []
        self._compacted_revision = 0
        self._leases: dict[int, _Lease] = {}
        self._key_written = Event()
        self._expiry_greenlet = None
        self.routes |= {
            ("GET", "/kv-key"): self._get_item,
            ("GET", "/kv-range"): self._list_items,
            ("GET", "/kv-watch"): self._watch_keys,
            ("POST", "/kv-txn"): self._apply_transaction,
            ("POST", "/kv-lease"): self._grant_lease,
        }

    def start(self) -> None:
        """Start listening and expiring leases."""
        super().start()
        self._expiry_greenlet = gevent.spawn(self._expire_leases)

    def close(self) -> None:
        """Stop listening and expiring leases."""
        if self._expiry_greenlet is not None:
            self._expiry_greenlet.kill()
        super().close()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key as the platform itself does, also a protected one; return the revision.

        Args:
            key: the key.
            value: its new value.
            lease: id of its lease, 0 for none.
        """
        self._revision += 1
        self._put_item(key, value, lease)
        return self._revision

    def _put_item(self, key: str, value: bytes, lease: int) -> None:
        previous = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self._revision,
            "create-rev": previous["create-rev"] if previous else self._revision,
            "lease": lease,
        }
        self.items[key] = item
        self._append_event(item)

    def remove(self, key: str) -> None:
        """Remove a key as the platform itself does, also a protected one."""
        self._revision += 1
        self._remove_item(key)

    def _remove_item(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._append_event({"key": key, "revision": self._revision, "removed": True})

    def drop_history(self) -> None:
        """Drop all past events, so that watches from earlier revisions fail with status 410."""
        self._events.clear()
        self._compacted_revision = self._revision

    def expire_all_leases(self) -> None:
        """Expire every lease immediately."""
        for lease_id in list(self._leases):
            self._end_lease(lease_id)

    def before_request(self, request: Request) -> None:
        """Count the request and apply the faults to it."""
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        super().before_request(request)

    def handle_unrouted_request(self, request: Request) -> Reply:
        """Serve the paths that contain a lease id: renewal and revocation."""
        route, _, lease_text = request.path.rpartition("/")
        lease = self._leases.get(int(lease_text)) if lease_text.isdigit() else None
        if (request.method, route) == ("POST", "/kv-keep") and lease is not None:
            lease.expires_s = time.monotonic() + lease.ttl_ms / MS_PER_S
            return Reply({"ttl-ms": lease.ttl_ms})
        if (request.method, route) == ("DELETE", "/kv-lease-end") and lease is not None:
            self._end_lease(int(lease_text))
            return Reply({})
        return super().handle_unrouted_request(request)

    def serve(self, request: Request) -> Reply:
        """Answer a request that arrived at another address of the store."""
        return self._handle_request(request)

    def _handle_request(self, request: Request) -> Reply:
        if self.faults.busy and request.path.startswith("/kv-"):
            return Reply({"error": "busy"}, 503)
        return super()._handle_request(request)

    def _append_event(self, event: dict) -> None:
        self._events.append(event)
        if len(self._events) > MAX_HISTORY_EVENTS:
            self._compacted_revision = self._events.pop(0)["revision"]
        self._key_written.set()
        self._key_written = Event()

    def _get_item(self, request: Request) -> Reply:
        item = self.items.get(request.query["key"])
        if item is None:
            return Reply({"error": "no such key"}, 404)
        return Reply(item | {"store-revision": self._revision})

    def _list_items(self, request: Request) -> Reply:
        prefix, after = request.query.get("prefix", ""), request.query.get("after", "")
        matching_keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in matching_keys[:MAX_PAGE_ITEMS]]
        truncated = len(matching_keys) > MAX_PAGE_ITEMS
        return Reply({"items": page, "truncated": truncated, "store-revision": self._revision})

    def _watch_keys(self, request: Request) -> Reply:
        prefix, after = request.query.get("prefix", ""), int(request.query["after"])
        deadline_s = time.monotonic() + int(request.query["wait-ms"]) / MS_PER_S
        while True:
            if after < self._compacted_revision:
                return Reply({"error": "history dropped"}, 410)
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            remaining_s = deadline_s - time.monotonic()
            if events or remaining_s <= 0:
                return Reply({"events": events, "store-revision": self._revision})
            self._key_written.wait(remaining_s)

    def _apply_transaction(self, request: Request) -> Reply:
        body = request.json()
        puts, removed = body.get("puts", []), body.get("remove", [])
        if any(key.startswith(PROTECTED_PREFIXES) for key in [p["key"] for p in puts] + removed):
            return Reply({"error": "protected"}, 403)
        entries = sum(len(body.get(name, [])) for name in ("if-revision", "puts", "remove"))
        if entries > ENTRIES_MAX:
            return Reply({"error": f"{entries} entries, at most {ENTRIES_MAX}"}, 400)
        failed_items = [
            self.items.get(condition["key"], {"key": condition["key"], "revision": 0})
            for condition in body.get("if-revision", [])
            if self.items.get(condition["key"], {}).get("revision", 0) != condition["revision"]
        ]
        if failed_items:
            return Reply(
                {
                    "items": (
                        self._condition_items(body) if self.lists_all_conditions else failed_items
                    )
                },
                412,
            )
        if any(put.get("lease") and put["lease"] not in self._leases for put in puts):
            return Reply({"error": "no such lease"}, 404)
        self._revision += 1
        for put in puts:
            lease = put.get("lease", 0)
            self._put_item(put["key"], base64.b64decode(put["value"]), lease)
            if lease:
                self._leases[lease].keys.add(put["key"])
        for key in removed:
            self._remove_item(key)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            raise ConnectionDropped
        return Reply({"revision": self._revision})

    def _condition_items(self, body: dict) -> list[dict]:
        keys = [condition["key"] for condition in body["if-revision"]]
        return [self.items.get(key, {"key": key, "revision": 0}) for key in keys]

    def _grant_lease(self, request: Request) -> Reply:
        self._revision += 1
        lease_id, ttl_ms = self._revision, int(request.json()["ttl-ms"])
        self._leases[lease_id] = _Lease(ttl_ms)
        return Reply({"lease": lease_id, "ttl-ms": ttl_ms})

    def _end_lease(self, lease_id: int) -> None:
        for key in self._leases.pop(lease_id).keys:
            if self.items.get(key, {}).get("lease") == lease_id:
                self.remove(key)

    def _expire_leases(self) -> None:
        while True:
            gevent.sleep(0.05)
            now_s = time.monotonic()
            for lease_id, lease in list(self._leases.items()):
                if now_s > lease.expires_s:
                    self._end_lease(lease_id)


class FleetStoreGate(Standin):
    """A second address of a store, whose calls can be rejected while those of others are served.

    Args:
        address: ``ip:port`` to listen on.
        store: the store.

    Attributes:
        is_rejecting: whether every call is answered with status 503.
    """

    def __init__(self, address: str, store: FleetStore) -> None:
        super().__init__(address)
        self.is_rejecting = False
        self._store = store

    def _handle_request(self, request: Request) -> Reply:
        if self.is_rejecting:
            return Reply({"error": "busy"}, 503)
        reply = self._store.serve(request)
        return Reply({"error": "busy"}, 503) if self.is_rejecting else reply
