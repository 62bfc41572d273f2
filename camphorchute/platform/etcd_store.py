"""The store over the JSON gateway of etcd v3."""

from collections import Counter
from collections.abc import Iterator, Sequence

import msgspec

from camphorchute.hosting.store import (
    SILENT_MS,
    Change,
    Store,
    StoredListing,
    StoredValue,
    StoreRefused,
    StoreUnavailable,
    SwapAllLost,
    SwapLost,
    SwapUnknown,
    register_store,
)
from camphorchute.platform import etcd_messages as etcd
from camphorchute.platform.json_client import (
    CALL_TIMEOUT_MS,
    CONNECT_TIMEOUT_MS,
    CONNECTIONS,
    AnswerLost,
    JsonClient,
    NotSent,
    StatusError,
)

__all__ = ["EtcdStore"]

STATUS_SERVER_FAULT = 500
EVENT_DELETE = "DELETE"


@register_store("etcd")
class EtcdStore(Store):
    """The store behind one or more gateways.

    A gateway that fails is passed over by the next call. A write is sent at most once.

    Args:
        addresses: ``ip:port`` of each gateway.
        timeout_ms: time for one call once it is connected, milliseconds.
        connect_timeout_ms: time to connect, milliseconds.
        connections: calls under way at once at one gateway, watches not counted.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        timeout_ms: float = CALL_TIMEOUT_MS,
        connect_timeout_ms: float = CONNECT_TIMEOUT_MS,
        connections: int = CONNECTIONS,
    ) -> None:
        if not addresses:
            raise ValueError("no address of a store")
        super().__init__()
        self.calls = Counter()
        self.failures = Counter()
        self._make_clients = lambda: [
            JsonClient(address, timeout_ms, connect_timeout_ms, connections)
            for address in addresses
        ]
        self._clients: list[JsonClient] = []
        self._current = 0

    def start(self) -> None:
        """Make ready for calls; connections are made when they are needed."""
        self._clients = self._make_clients()

    def close(self) -> None:
        """Close every connection."""
        for client in self._clients:
            client.close()
        self._clients = []

    def get(self, key: str) -> StoredValue | None:
        """Return the value in force, ``None`` where the key does not exist."""
        return self._read_key("get", key)

    def list(self, prefix: str) -> StoredListing:
        """Return every key that starts with a prefix."""
        start = prefix.encode()
        request = etcd.RangeRequest(key=start, range_end=etcd.prefix_end(start))
        answer = self._ask("list", "/v3/kv/range", request, etcd.RangeResponse)
        return StoredListing([_stored(kv) for kv in answer.kvs], answer.header.revision)

    def swap(self, key: str, value: bytes | None, expected_revision: int, lease_id: int = 0) -> int:
        """Write a key if it was last written at the expected revision."""
        request = _swap_request([Change(key, value, expected_revision)], lease_id)
        try:
            answer = self._send("swap", "/v3/kv/txn", request, etcd.TxnResponse)
        except NotSent as error:
            raise StoreUnavailable(f"swap: {error}") from error
        except (AnswerLost, StatusError) as error:
            if _is_refusal(error):
                raise StoreRefused(f"swap: {error}") from error
            return self._check_lost_swap(key, value, expected_revision, lease_id, error)
        if answer.succeeded:
            return answer.header.revision
        self.failures["swap_lost"] += 1
        raise SwapLost(key, _found(answer).get(key))

    def swap_all(self, changes: Sequence[Change]) -> int:
        """Write several keys if each was last written at its expected revision."""
        request = _swap_request(changes)
        try:
            answer = self._send("swap_all", "/v3/kv/txn", request, etcd.TxnResponse)
        except NotSent as error:
            raise StoreUnavailable(f"swap_all: {error}") from error
        except (AnswerLost, StatusError) as error:
            if _is_refusal(error):
                raise StoreRefused(f"swap_all: {error}") from error
            self.failures["swap_all_unknown"] += 1
            raise SwapUnknown(f"{len(changes)} keys: {error}") from error
        if answer.succeeded:
            return answer.header.revision
        self.failures["swap_all_lost"] += 1
        found = _found(answer)
        raise SwapAllLost(
            {
                change.key: found.get(change.key)
                for change in changes
                if _revision_of(found.get(change.key)) != change.expected_revision
            }
        )

    def grant_lease(self, ttl_s: int) -> int:
        """Return the id of a new lease."""
        request = etcd.LeaseGrantRequest(ttl_s=ttl_s)
        answer = self._ask("grant_lease", "/v3/lease/grant", request, etcd.LeaseGrantResponse)
        return answer.lease_id

    def renew_lease(self, lease_id: int) -> int:
        """Renew a lease and return its time to live in seconds, 0 where it has expired."""
        request = etcd.LeaseRequest(lease_id=lease_id)
        kind = etcd.LeaseKeepAliveResponse
        return self._ask("renew_lease", "/v3/lease/keepalive", request, kind).result.ttl_s

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease; the keys bound to it are deleted."""
        request = etcd.LeaseRequest(lease_id=lease_id)
        self._ask("revoke_lease", "/v3/lease/revoke", request, etcd.Message)

    def watch(
        self,
        prefix: str,
        from_revision: int,
        timeout_s: float,
        gather_ms: float = 0.0,
        silent_ms: float = SILENT_MS,
    ) -> Iterator[StoredValue]:
        """Yield every write under a prefix from a revision on, in order."""
        key = prefix.encode()
        create = etcd.WatchCreate(
            key=key, range_end=etcd.prefix_end(key), start_revision=from_revision
        )
        body = etcd.encode(etcd.WatchRequest(create_request=create))
        self.calls["watch"] += 1
        client = self._client()
        try:
            for line in client.stream("/v3/watch", body, timeout_s):
                yield from _watched(etcd.decode(line, etcd.WatchLine).result)
        except (NotSent, AnswerLost, StatusError) as error:
            self._failed("watch", client, error.reason)
            raise _unavailable("watch", error) from error
        except msgspec.MsgspecError as error:
            self._failed("watch", client, "malformed")
            raise StoreUnavailable(f"watch: {error}") from error

    def _read_key(self, cause: str, key: str) -> StoredValue | None:
        request = etcd.RangeRequest(key=key.encode())
        answer = self._ask(cause, "/v3/kv/range", request, etcd.RangeResponse)
        return _stored(answer.kvs[0]) if answer.kvs else None

    def _check_lost_swap(
        self,
        key: str,
        value: bytes | None,
        expected_revision: int,
        lease_id: int,
        error: Exception,
    ) -> int:
        """Read the key once; return its revision if the lost write is seen to be in force.

        An unchanged key proves nothing, since the write may still be on its way.
        """
        current = None
        try:
            current = self._read_key("swap_check", key)
        except StoreUnavailable as reason:
            error.add_note(f"the re-read failed too: {reason}")
        if current is not None and current.mod_revision > expected_revision:
            same = current.value == value and current.lease_id == lease_id
            if same and value is not None:
                return current.mod_revision
        self.failures["swap_unknown"] += 1
        raise SwapUnknown(f"{key}: {error}") from error

    def _ask(self, cause: str, path: str, request: etcd.Message, kind: type[etcd.Message]):
        try:
            return self._send(cause, path, request, kind)
        except (NotSent, AnswerLost, StatusError) as error:
            raise _unavailable(cause, error) from error

    def _send(self, cause: str, path: str, request: etcd.Message, kind: type[etcd.Message]):
        """Send a request to the first gateway that can be connected to."""
        body = etcd.encode(request)
        for _ in self._clients[1:]:
            try:
                return self._send_once(cause, path, body, kind)
            except NotSent:
                continue
        return self._send_once(cause, path, body, kind)

    def _send_once(self, cause: str, path: str, body: bytes, kind: type[etcd.Message]):
        self.calls[cause] += 1
        client = self._client()
        try:
            return etcd.decode(client.call("POST", path, body), kind)
        except msgspec.MsgspecError as error:
            self._failed(cause, client, "malformed")
            raise AnswerLost("malformed", str(error)) from error
        except (NotSent, AnswerLost, StatusError) as error:
            self._failed(cause, client, error.reason)
            raise

    def _client(self) -> JsonClient:
        if not self._clients:
            raise StoreUnavailable("the store is not started")
        return self._clients[self._current % len(self._clients)]

    def _failed(self, cause: str, client: JsonClient, reason: str) -> None:
        self.failures[f"{cause}_{reason}"] += 1
        if self._clients and client is self._client():
            self._current += 1


def _swap_request(changes: Sequence[Change], lease_id: int = 0) -> etcd.TxnRequest:
    """Return a transaction that makes every change, or reads the keys where it may not."""
    keys = [change.key.encode() for change in changes]
    compare = [
        etcd.Compare(key=key, target="MOD", result="EQUAL", mod_revision=change.expected_revision)
        for key, change in zip(keys, changes, strict=True)
    ]
    reads = [etcd.RequestOp(request_range=etcd.RangeRequest(key=key)) for key in keys]
    writes = [_write(change, lease_id) for change in changes]
    return etcd.TxnRequest(compare=compare, success=writes, failure=reads)


def _write(change: Change, lease_id: int) -> etcd.RequestOp:
    key = change.key.encode()
    if change.value is None:
        return etcd.RequestOp(request_delete_range=etcd.DeleteRangeRequest(key=key))
    put = etcd.PutRequest(key=key, value=change.value, lease=lease_id)
    return etcd.RequestOp(request_put=put)


def _found(answer: etcd.TxnResponse) -> dict[str, StoredValue]:
    """Return the values that a transaction that was not made has read."""
    ranges = [response.response_range for response in answer.responses]
    found = [_stored(kv) for read in ranges if read is not None for kv in read.kvs]
    return {value.key: value for value in found}


def _revision_of(value: StoredValue | None) -> int:
    return 0 if value is None else value.mod_revision


def _stored(kv) -> StoredValue:
    return StoredValue(kv.key.decode(), kv.value, kv.mod_revision, kv.lease)


def _watched(result) -> Iterator[StoredValue]:
    if result.canceled:
        raise StoreRefused(f"watch: canceled, compacted at {result.compact_revision}")
    for event in result.events:
        value = None if event.type == EVENT_DELETE else event.kv.value
        yield StoredValue(event.kv.key.decode(), value, event.kv.mod_revision, event.kv.lease)


def _is_refusal(error: Exception) -> bool:
    return isinstance(error, StatusError) and error.status < STATUS_SERVER_FAULT


def _unavailable(cause: str, error: Exception) -> StoreUnavailable:
    kind = StoreRefused if _is_refusal(error) else StoreUnavailable
    return kind(f"{cause}: {error}")
