"""A stand-in for the store of a platform with service discovery in it."""

import base64
import time

import gevent
from gevent.event import Event

from bench.standins.server import ConnectionDropped, Faults, Reply, Request, Standin

__all__ = ["FleetStore", "FleetStoreFaults"]

HISTORY_EVENTS = 5000
PAGE_ITEMS = 500
PROTECTED = ("op/", "servers/")
MS_PER_S = 1000


class FleetStoreFaults(Faults):
    """Faults of the store.

    Attributes:
        busy: every call is answered 503.
        lose_answers: this many writes take effect and are not answered.
    """

    busy: bool = False
    lose_answers: int = 0


class _Lease:
    """A lease with its keys."""

    __slots__ = ("ttl_ms", "ends_s", "keys")

    def __init__(self, ttl_ms: int) -> None:
        self.ttl_ms = ttl_ms
        self.ends_s = time.monotonic() + ttl_ms / MS_PER_S
        self.keys: set[str] = set()


class FleetStore(Standin):
    """Keys with revisions, conditions, leases and watches.

    Attributes:
        items: the items in force, by key.
        calls: number of calls by path.
        lists_every_condition: whether a change that is not made names every key of its conditions.
    """

    lists_every_condition = False
    faults_type = FleetStoreFaults

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.items: dict[str, dict] = {}
        self.calls: dict[str, int] = {}
        self._revision = 1
        self._events: list[dict] = []
        self._dropped_to = 0
        self._leases: dict[int, _Lease] = {}
        self._changed = Event()
        self._expiry = None
        self.routes |= {
            ("GET", "/kv-key"): self._get,
            ("GET", "/kv-range"): self._range,
            ("GET", "/kv-watch"): self._watch,
            ("POST", "/kv-txn"): self._txn,
            ("POST", "/kv-lease"): self._grant,
        }

    def start(self) -> None:
        """Listen, and let leases expire."""
        super().start()
        self._expiry = gevent.spawn(self._expire)

    def close(self) -> None:
        """Stop."""
        if self._expiry is not None:
            self._expiry.kill()
        super().close()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key as the platform itself does; return the revision."""
        self._revision += 1
        self._put(key, value, lease)
        return self._revision

    def _put(self, key: str, value: bytes, lease: int) -> None:
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self._revision,
            "create-rev": known["create-rev"] if known else self._revision,
            "lease": lease,
        }
        self.items[key] = item
        self._record(item)

    def remove(self, key: str) -> None:
        """Remove a key."""
        self._revision += 1
        self._remove(key)

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._record({"key": key, "revision": self._revision, "removed": True})

    def drop_history(self) -> None:
        """Forget all past events, so that older watches cannot go on."""
        self._events.clear()
        self._dropped_to = self._revision

    def end_leases(self) -> None:
        """End every lease at once."""
        for lease_id in list(self._leases):
            self._end_lease(lease_id)

    def before_request(self, request: Request) -> None:
        """Count the call and let the faults act."""
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        super().before_request(request)

    def unrouted(self, request: Request) -> Reply:
        """Serve the paths that carry a lease's number."""
        start, _, number = request.path.rpartition("/")
        lease = self._leases.get(int(number)) if number.isdigit() else None
        if (request.method, start) == ("POST", "/kv-keep") and lease is not None:
            lease.ends_s = time.monotonic() + lease.ttl_ms / MS_PER_S
            return Reply({"ttl-ms": lease.ttl_ms})
        if (request.method, start) == ("DELETE", "/kv-lease-end") and lease is not None:
            self._end_lease(int(number))
            return Reply({})
        return super().unrouted(request)

    def _handle_request(self, request: Request) -> Reply:
        if self.faults.busy and request.path.startswith("/kv-"):
            return Reply({"error": "busy"}, 503)
        return super()._handle_request(request)

    def _record(self, event: dict) -> None:
        self._events.append(event)
        if len(self._events) > HISTORY_EVENTS:
            self._dropped_to = self._events.pop(0)["revision"]
        self._changed.set()
        self._changed = Event()

    def _get(self, request: Request) -> Reply:
        item = self.items.get(request.query["key"])
        if item is None:
            return Reply({"error": "no such key"}, 404)
        return Reply(item | {"store-revision": self._revision})

    def _range(self, request: Request) -> Reply:
        prefix, after = request.query.get("prefix", ""), request.query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        truncated = len(keys) > PAGE_ITEMS
        return Reply({"items": page, "truncated": truncated, "store-revision": self._revision})

    def _watch(self, request: Request) -> Reply:
        prefix, after = request.query.get("prefix", ""), int(request.query["after"])
        until_s = time.monotonic() + int(request.query["wait-ms"]) / MS_PER_S
        while True:
            if after < self._dropped_to:
                return Reply({"error": "history dropped"}, 410)
            found = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = until_s - time.monotonic()
            if found or left_s <= 0:
                return Reply({"events": found, "store-revision": self._revision})
            self._changed.wait(left_s)

    def _txn(self, request: Request) -> Reply:
        body = request.json()
        puts, removed = body.get("puts", []), body.get("remove", [])
        if any(key.startswith(PROTECTED) for key in [p["key"] for p in puts] + removed):
            return Reply({"error": "protected"}, 403)
        failed = [
            self.items.get(row["key"], {"key": row["key"], "revision": 0})
            for row in body.get("if-revision", [])
            if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]
        ]
        if failed:
            return Reply(
                {"items": self._named(body) if self.lists_every_condition else failed}, 412
            )
        if any(put.get("lease") and put["lease"] not in self._leases for put in puts):
            return Reply({"error": "no such lease"}, 404)
        self._revision += 1
        for put in puts:
            lease = put.get("lease", 0)
            self._put(put["key"], base64.b64decode(put["value"]), lease)
            if lease:
                self._leases[lease].keys.add(put["key"])
        for key in removed:
            self._remove(key)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            raise ConnectionDropped
        return Reply({"revision": self._revision})

    def _named(self, body: dict) -> list[dict]:
        keys = [row["key"] for row in body["if-revision"]]
        return [self.items.get(key, {"key": key, "revision": 0}) for key in keys]

    def _grant(self, request: Request) -> Reply:
        self._revision += 1
        lease_id, ttl_ms = self._revision, int(request.json()["ttl-ms"])
        self._leases[lease_id] = _Lease(ttl_ms)
        return Reply({"lease": lease_id, "ttl-ms": ttl_ms})

    def _end_lease(self, lease_id: int) -> None:
        for key in self._leases.pop(lease_id).keys:
            if self.items.get(key, {}).get("lease") == lease_id:
                self.remove(key)

    def _expire(self) -> None:
        while True:
            gevent.sleep(0.05)
            now_s = time.monotonic()
            for lease_id, lease in list(self._leases.items()):
                if now_s > lease.ends_s:
                    self._end_lease(lease_id)
