"""The platform: an etcd v3 JSON gateway and the list of VMs.

The subset of the gateway: range of a key or prefix, txn with comparisons for equality on the
MOD, CREATE, VERSION and VALUE targets, lease grant, renewal and revocation, and watch.
"""

import base64
import json
import time
from collections import Counter, deque
from collections.abc import Iterator

from bench.standins.keyspace import Keyspace, KeyspaceError, KeyState, WriteEvent
from bench.standins.server import ConnectionDropped, Faults, Reply, Request, Standin

__all__ = ["Platform", "PlatformFaults"]

WATCH_PROGRESS_MS = 1000.0
VM_STATES = ("live", "leaving")
_COMPARE_FIELDS = {
    "MOD": "mod_revision",
    "CREATE": "create_revision",
    "VERSION": "version",
    "VALUE": "value",
}


class PlatformFaults(Faults):
    """Faults of the platform.

    Attributes:
        outage: connections to the key-value service are closed unanswered.
        lose_answers: number of successful writes whose connection closes without the answer.
        lapse_leases: every lease ends now.
        vms_outage: connections that ask for the VM list are closed unanswered.
        vms_lag_ms: age of the VM list that is answered, milliseconds.
    """

    outage: bool = False
    lose_answers: int = 0
    lapse_leases: bool = False
    vms_outage: bool = False
    vms_lag_ms: float = 0.0


class Platform(Standin):
    """The stand-in for the platform.

    ``POST /vms`` adds or changes the rows of its body, ``DELETE /vms?address=`` removes one;
    both pass over the faults. ``GET /record`` answers the number of calls by path.

    Args:
        address: ``ip:port``.
    """

    faults_type = PlatformFaults

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.keys = Keyspace()
        self.calls = Counter()
        self._vms: dict[str, dict] = {}
        self._listings: deque[tuple[float, list[dict]]] = deque([(0.0, [])])
        self.routes |= {
            ("POST", "/v3/kv/range"): lambda request: Reply(self._range(request.json())),
            ("POST", "/v3/kv/txn"): self._txn,
            ("POST", "/v3/lease/grant"): self._grant,
            ("POST", "/v3/lease/keepalive"): self._keep_alive,
            ("POST", "/v3/lease/revoke"): self._revoke,
            ("POST", "/v3/watch"): self._watch,
            ("GET", "/vms"): self._list_vms,
            ("POST", "/vms"): self._set_vms,
            ("DELETE", "/vms"): self._delete_vm,
            ("GET", "/record"): lambda request: Reply({"calls": self.calls}),
        }

    def start(self) -> None:
        """Listen and expire leases."""
        self.keys.start()
        super().start()

    def close(self) -> None:
        """Stop; keys and leases stay until the object is dropped."""
        super().close()
        self.keys.close()

    def before(self, request: Request) -> None:
        """Let the faults act on a request before it is handled."""
        self.calls[request.path] += 1
        if request.path == "/vms":
            if request.method == "GET" and self.faults.vms_outage:
                raise ConnectionDropped
            return
        if self.faults.outage:
            raise ConnectionDropped
        super().before(request)
        if self.faults.outage:
            raise ConnectionDropped

    def faults_changed(self, request: Request) -> None:
        """Act on faults that were just set."""
        super().faults_changed(request)
        if self.faults.outage:
            self.drop_connections(but=request.connection)
        if self.faults.lapse_leases:
            self.faults.lapse_leases = False
            self.keys.lapse_leases()

    def _header(self) -> dict:
        return {"revision": str(self.keys.revision)}

    def _range(self, body: dict) -> dict:
        states = self.keys.range(_bytes(body, "key"), _bytes(body, "range_end"))
        return {"header": self._header(), "kvs": [_kv(s) for s in states], "count": len(states)}

    def _txn(self, request: Request) -> Reply:
        body = request.json()
        succeeded = all(self._holds(compare) for compare in body.get("compare", []))
        operations = body.get("success" if succeeded else "failure", [])
        before = self.keys.revision
        responses = self._apply(operations)
        if self.keys.revision > before and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise ConnectionDropped
        reply = {"header": self._header(), "responses": responses}
        return Reply(reply | ({"succeeded": True} if succeeded else {}))

    def _holds(self, compare: dict) -> bool:
        if compare.get("result", "EQUAL") != "EQUAL":
            raise KeyspaceError("only EQUAL is served")
        target = compare.get("target", "VERSION")
        field = _COMPARE_FIELDS[target]
        states = self.keys.range(_bytes(compare, "key"), b"")
        if target == "VALUE":
            return bool(states) and states[0].value == _bytes(compare, field)
        actual = getattr(states[0], field) if states else 0
        return actual == int(compare.get(field, 0))

    def _apply(self, operations: list[dict]) -> list[dict]:
        """Apply operations as one write, after all of them were checked."""
        for operation in operations:
            put = operation.get("request_put")
            if put is not None:
                self.keys.check_put(_bytes(put, "value"), int(put.get("lease", 0)))
        revision = self.keys.revision + 1
        return [self._apply_one(operation, revision) for operation in operations]

    def _apply_one(self, operation: dict, revision: int) -> dict:
        ((name, body),) = operation.items()
        key = _bytes(body, "key")
        if name == "request_put":
            self.keys.put(key, _bytes(body, "value"), int(body.get("lease", 0)), revision)
            return {"response_put": {"header": self._header()}}
        if name == "request_delete_range":
            deleted = self.keys.delete(key, _bytes(body, "range_end"), revision)
            return {"response_delete_range": {"header": self._header(), "deleted": str(deleted)}}
        if name == "request_range":
            return {"response_range": self._range(body)}
        raise KeyspaceError(f"unknown operation {name}")

    def _grant(self, request: Request) -> Reply:
        ttl_s = int(request.json()["TTL"])
        lease_id = self.keys.grant(ttl_s)
        return Reply({"header": self._header(), "ID": str(lease_id), "TTL": str(ttl_s)})

    def _keep_alive(self, request: Request) -> Reply:
        lease_id = int(request.json()["ID"])
        result = {"header": self._header(), "ID": str(lease_id)}
        ttl_s = self.keys.keep_alive(lease_id)
        return Reply({"result": result | ({"TTL": str(ttl_s)} if ttl_s else {})})

    def _revoke(self, request: Request) -> Reply:
        self.keys.revoke(int(request.json()["ID"]))
        return Reply({"header": self._header()})

    def _watch(self, request: Request) -> Reply:
        create = request.json()["create_request"]
        start = int(create.get("start_revision", 0)) or self.keys.revision + 1
        lines = self._watch_lines(_bytes(create, "key"), _bytes(create, "range_end"), start)
        return Reply(lines)

    def _watch_lines(self, key: bytes, range_end: bytes, start: int) -> Iterator[bytes]:
        yield self._watch_line({"created": True})
        while start > self.keys.compacted_revision:
            changed, upto = self.keys.changed, self.keys.revision
            events = [_event(event) for event in self.keys.events(key, range_end, start)]
            start = max(start, upto + 1)
            if events:
                yield self._watch_line({"events": events})
            elif not changed.wait(WATCH_PROGRESS_MS / 1000.0):
                yield self._watch_line({})
        compacted = str(self.keys.compacted_revision)
        yield self._watch_line({"canceled": True, "compact_revision": compacted})

    def _watch_line(self, result: dict) -> bytes:
        return json.dumps({"result": {"header": self._header()} | result}).encode() + b"\n"

    def _list_vms(self, request: Request) -> Reply:
        seen_s = time.monotonic() - self.faults.vms_lag_ms / 1000.0
        listings = [vms for since_s, vms in self._listings if since_s <= seen_s]
        return Reply({"vms": listings[-1] if listings else []})

    def _set_vms(self, request: Request) -> Reply:
        body = request.json()
        for vm in body.get("vms", [body]):
            if vm["state"] not in VM_STATES:
                raise ValueError(f"state {vm['state']!r}")
            self._vms[vm["address"]] = {name: vm[name] for name in ("address", "zone", "state")}
        return self._vms_changed()

    def _delete_vm(self, request: Request) -> Reply:
        self._vms.pop(request.query["address"], None)
        return self._vms_changed()

    def _vms_changed(self) -> Reply:
        self._listings.append((time.monotonic(), list(self._vms.values())))
        return Reply({})


def _bytes(body: dict, name: str) -> bytes:
    return base64.b64decode(body.get(name, ""))


def _text(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _kv(state: KeyState) -> dict:
    kv = {
        "key": _text(state.key),
        "create_revision": str(state.create_revision),
        "mod_revision": str(state.mod_revision),
        "version": str(state.version),
        "value": _text(state.value),
        "lease": str(state.lease_id),
    }
    return {name: text for name, text in kv.items() if text not in ("0", "")}


def _event(event: WriteEvent) -> dict:
    kv = {"kv": _kv(event.state)}
    return kv | ({"type": "DELETE"} if event.deleted else {})
