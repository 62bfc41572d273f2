"""Stand-in for the platform: an etcd v3 JSON gateway and the list of VMs.

Of the gateway it implements range of a key or a prefix, txn with comparisons for equality on
the MOD, CREATE, VERSION and VALUE targets, lease grant, renewal and revocation, and watch.
"""

import base64
import json
import time
from collections import Counter, deque
from collections.abc import Iterator

from bench.standins.keyspace import Keyspace, KeyspaceError, KeyState, WriteEvent
from bench.standins.server import ConnectionDropped, Faults, Reply, Request, Standin

__all__ = ["Platform", "PlatformFaults"]

WATCH_PROGRESS_INTERVAL_MS = 1000.0
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
        outage: whether connections to the key-value service are closed without an answer.
        lose_answers: number of successful writes whose connection is closed without an answer.
        lapse_leases: expires every lease immediately.
        vms_outage: whether connections that request the VM list are closed without an answer.
        vms_lag_ms: age of the VM list that is answered, in milliseconds.
    """

    outage: bool = False
    lose_answers: int = 0
    lapse_leases: bool = False
    vms_outage: bool = False
    vms_lag_ms: float = 0.0


class Platform(Standin):
    """Stand-in for the platform.

    ``POST /vms`` adds or changes the VMs of its body and ``DELETE /vms?address=`` removes one;
    both are exempt from faults. ``GET /record`` returns the number of calls by path.

    Args:
        address: ``ip:port`` to listen on.

    Attributes:
        keys: the keys and leases of the key-value service.
        calls: number of requests by path, without the control endpoints.
    """

    faults_type = PlatformFaults

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.keys = Keyspace()
        self.calls = Counter()
        self._vms: dict[str, dict] = {}
        self._vm_listings: deque[tuple[float, list[dict]]] = deque([(0.0, [])])
        self.routes |= {
            ("POST", "/v3/kv/range"): lambda request: Reply(self._list_keys(request.json())),
            ("POST", "/v3/kv/txn"): self._apply_transaction,
            ("POST", "/v3/lease/grant"): self._grant_lease,
            ("POST", "/v3/lease/keepalive"): self._renew_lease,
            ("POST", "/v3/lease/revoke"): self._revoke_lease,
            ("POST", "/v3/watch"): self._watch_keys,
            ("GET", "/vms"): self._list_vms,
            ("POST", "/vms"): self._put_vms,
            ("DELETE", "/vms"): self._delete_vm,
            ("GET", "/record"): lambda request: Reply({"calls": self.calls}),
        }

    def start(self) -> None:
        """Start expiring leases and listening."""
        self.keys.start()
        super().start()

    def close(self) -> None:
        """Stop listening and expiring leases; keys and leases are kept in memory."""
        super().close()
        self.keys.close()

    def before_request(self, request: Request) -> None:
        """Count the request and apply the faults to it."""
        self.calls[request.path] += 1
        if request.path == "/vms":
            if request.method == "GET" and self.faults.vms_outage:
                raise ConnectionDropped
            return
        if self.faults.outage:
            raise ConnectionDropped
        super().before_request(request)
        if self.faults.outage:
            raise ConnectionDropped

    def apply_changed_faults(self, request: Request) -> None:
        """Carry out the faults that take effect once, when they are set."""
        super().apply_changed_faults(request)
        if self.faults.outage:
            self.drop_connections(except_for=request.connection)
        if self.faults.lapse_leases:
            self.faults.lapse_leases = False
            self.keys.revoke_all_leases()

    def _response_header(self) -> dict:
        return {"revision": str(self.keys.revision)}

    def _list_keys(self, body: dict) -> dict:
        states = self.keys.range(_decode_base64(body, "key"), _decode_base64(body, "range_end"))
        return {
            "header": self._response_header(),
            "kvs": [_encode_key_state(s) for s in states],
            "count": len(states),
        }

    def _apply_transaction(self, request: Request) -> Reply:
        body = request.json()
        succeeded = all(self._compare_holds(compare) for compare in body.get("compare", []))
        operations = body.get("success" if succeeded else "failure", [])
        revision_before = self.keys.revision
        responses = self._apply_operations(operations)
        if self.keys.revision > revision_before and self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise ConnectionDropped
        reply = {"header": self._response_header(), "responses": responses}
        return Reply(reply | ({"succeeded": True} if succeeded else {}))

    def _compare_holds(self, compare: dict) -> bool:
        if compare.get("result", "EQUAL") != "EQUAL":
            raise KeyspaceError("the compare result is not EQUAL, the only one that is supported")
        target = compare.get("target", "VERSION")
        field = _COMPARE_FIELDS[target]
        states = self.keys.range(_decode_base64(compare, "key"), b"")
        if target == "VALUE":
            return bool(states) and states[0].value == _decode_base64(compare, field)
        actual = getattr(states[0], field) if states else 0
        return actual == int(compare.get(field, 0))

    def _apply_operations(self, operations: list[dict]) -> list[dict]:
        """Apply operations at one revision, after a check of all puts."""
        for operation in operations:
            put = operation.get("request_put")
            if put is not None:
                self.keys.check_put(_decode_base64(put, "value"), int(put.get("lease", 0)))
        revision = self.keys.revision + 1
        return [self._apply_operation(operation, revision) for operation in operations]

    def _apply_operation(self, operation: dict, revision: int) -> dict:
        ((name, body),) = operation.items()
        key = _decode_base64(body, "key")
        if name == "request_put":
            self.keys.put(key, _decode_base64(body, "value"), int(body.get("lease", 0)), revision)
            return {"response_put": {"header": self._response_header()}}
        if name == "request_delete_range":
            deleted = self.keys.delete(key, _decode_base64(body, "range_end"), revision)
            return {
                "response_delete_range": {
                    "header": self._response_header(),
                    "deleted": str(deleted),
                }
            }
        if name == "request_range":
            return {"response_range": self._list_keys(body)}
        raise KeyspaceError(f"unknown operation {name}, expected a put, a delete range or a range")

    def _grant_lease(self, request: Request) -> Reply:
        ttl_s = int(request.json()["TTL"])
        lease_id = self.keys.grant_lease(ttl_s)
        return Reply({"header": self._response_header(), "ID": str(lease_id), "TTL": str(ttl_s)})

    def _renew_lease(self, request: Request) -> Reply:
        lease_id = int(request.json()["ID"])
        result = {"header": self._response_header(), "ID": str(lease_id)}
        ttl_s = self.keys.renew_lease(lease_id)
        return Reply({"result": result | ({"TTL": str(ttl_s)} if ttl_s else {})})

    def _revoke_lease(self, request: Request) -> Reply:
        self.keys.revoke_lease(int(request.json()["ID"]))
        return Reply({"header": self._response_header()})

    def _watch_keys(self, request: Request) -> Reply:
        create = request.json()["create_request"]
        start_revision = int(create.get("start_revision", 0)) or self.keys.revision + 1
        lines = self._watch_lines(
            _decode_base64(create, "key"), _decode_base64(create, "range_end"), start_revision
        )
        return Reply(lines)

    def _watch_lines(self, key: bytes, range_end: bytes, start_revision: int) -> Iterator[bytes]:
        yield self._encode_watch_line({"created": True})
        while start_revision > self.keys.compacted_revision:
            key_written, read_revision = self.keys.key_written, self.keys.revision
            events = [
                _encode_event(event) for event in self.keys.events(key, range_end, start_revision)
            ]
            start_revision = max(start_revision, read_revision + 1)
            if events:
                yield self._encode_watch_line({"events": events})
            elif not key_written.wait(WATCH_PROGRESS_INTERVAL_MS / 1000.0):
                yield self._encode_watch_line({})
        compacted_revision = str(self.keys.compacted_revision)
        yield self._encode_watch_line({"canceled": True, "compact_revision": compacted_revision})

    def _encode_watch_line(self, result: dict) -> bytes:
        return json.dumps({"result": {"header": self._response_header()} | result}).encode() + b"\n"

    def _list_vms(self, request: Request) -> Reply:
        listed_at_s = time.monotonic() - self.faults.vms_lag_ms / 1000.0
        listings = [vms for since_s, vms in self._vm_listings if since_s <= listed_at_s]
        return Reply({"vms": listings[-1] if listings else []})

    def _put_vms(self, request: Request) -> Reply:
        body = request.json()
        for vm in body.get("vms", [body]):
            if vm["state"] not in VM_STATES:
                raise ValueError(f"unknown VM state {vm['state']!r}")
            self._vms[vm["address"]] = {name: vm[name] for name in ("address", "zone", "state")}
        return self._append_listing()

    def _delete_vm(self, request: Request) -> Reply:
        self._vms.pop(request.query["address"], None)
        return self._append_listing()

    def _append_listing(self) -> Reply:
        self._vm_listings.append((time.monotonic(), list(self._vms.values())))
        return Reply({})


def _decode_base64(body: dict, name: str) -> bytes:
    return base64.b64decode(body.get(name, ""))


def _encode_base64(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _encode_key_state(state: KeyState) -> dict:
    kv = {
        "key": _encode_base64(state.key),
        "create_revision": str(state.create_revision),
        "mod_revision": str(state.mod_revision),
        "version": str(state.version),
        "value": _encode_base64(state.value),
        "lease": str(state.lease_id),
    }
    return {name: text for name, text in kv.items() if text not in ("0", "")}


def _encode_event(event: WriteEvent) -> dict:
    kv = {"kv": _encode_key_state(event.state)}
    return kv | ({"type": "DELETE"} if event.deleted else {})
