"""A store client for the JSON gateway of etcd v3."""

from collections import Counter
from collections.abc import Iterator, Sequence

import msgspec

from camphorchute.hosting.store import (
    WATCH_RESPONSE_TIMEOUT_MS,
    ConditionalWrite,
    Store,
    StoredListing,
    StoredValue,
    StoreRefused,
    StoreUnavailable,
    SwapAllConflict,
    SwapConflict,
    SwapUnknown,
    register_store,
)
from camphorchute.platform import etcd_messages as etcd
from camphorchute.platform.json_client import (
    CALL_TIMEOUT_MS,
    CONNECT_TIMEOUT_MS,
    DEFAULT_CONNECTIONS,
    AnswerLost,
    JsonClient,
    NotSent,
    StatusError,
)

__all__ = ["EtcdStore"]

HTTP_SERVER_ERROR_MIN = 500
DELETE_EVENT_TYPE = "DELETE"


@register_store("etcd")
class EtcdStore(Store):
    """An etcd store that is reached through one or more JSON gateways.

    After a failed call the next call uses the next gateway. A write is sent at most once.

    Args:
        addresses: ``ip:port`` of each gateway.
        timeout_ms: timeout of one call after connecting, in milliseconds.
        connect_timeout_ms: timeout for waiting for a free connection, and for connecting, in
            milliseconds.
        connections: largest number of concurrent calls to one gateway, not counting watches.

    Raises:
        ValueError: there is no address.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        timeout_ms: float = CALL_TIMEOUT_MS,
        connect_timeout_ms: float = CONNECT_TIMEOUT_MS,
        connections: int = DEFAULT_CONNECTIONS,
    ) -> None:
        if not addresses:
            raise ValueError("no gateway addresses, expected at least one")
        super().__init__()
        self.calls = Counter()
        self.failures = Counter()
        self._create_clients = lambda: [
            JsonClient(address, timeout_ms, connect_timeout_ms, connections)
            for address in addresses
        ]
        self._clients: list[JsonClient] = []
        self._gateway_index = 0

    def start(self) -> None:
        """Create the gateway clients; connections are opened when they are needed."""
        self._clients = self._create_clients()

    def close(self) -> None:
        """Close the gateway clients; :meth:`start` creates new ones."""
        for client in self._clients:
            client.close()
        self._clients = []

    def get(self, key: str) -> StoredValue | None:
        """Return the current value of a key, ``None`` if the key does not exist."""
        return self._read_key("get", key)

    def list(self, prefix: str) -> StoredListing:
        """Return all keys that start with a prefix, with their values."""
        start = prefix.encode()
        request = etcd.RangeRequest(key=start, range_end=etcd.prefix_end(start))
        answer = self._call_store("list", "/v3/kv/range", request, etcd.RangeResponse)
        return StoredListing([_to_stored_value(kv) for kv in answer.kvs], answer.header.revision)

    def swap(self, key: str, value: bytes | None, expected_revision: int, lease_id: int = 0) -> int:
        """Write a key if it was last written at the expected revision."""
        request = _swap_request([ConditionalWrite(key, value, expected_revision)], lease_id)
        try:
            answer = self._send_request("swap", "/v3/kv/txn", request, etcd.TxnResponse)
        except NotSent as error:
            raise StoreUnavailable(f"swap: {error}") from error
        except (AnswerLost, StatusError) as error:
            if _is_refusal(error):
                raise StoreRefused(f"swap: {error}") from error
            return self._check_lost_swap(key, value, expected_revision, lease_id, error)
        if answer.succeeded:
            return answer.header.revision
        self.failures["swap_lost"] += 1
        raise SwapConflict(key, _values_read(answer).get(key))

    def swap_all(self, changes: Sequence[ConditionalWrite]) -> int:
        """Write several keys if each was last written at its expected revision."""
        request = _swap_request(changes)
        try:
            answer = self._send_request("swap_all", "/v3/kv/txn", request, etcd.TxnResponse)
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
        current_values = _values_read(answer)
        raise SwapAllConflict(
            {
                change.key: current_values.get(change.key)
                for change in changes
                if _mod_revision(current_values.get(change.key)) != change.expected_revision
            }
        )

    def grant_lease(self, ttl_s: int) -> int:
        """Return the id of a new lease."""
        request = etcd.LeaseGrantRequest(ttl_s=ttl_s)
        answer = self._call_store(
            "grant_lease", "/v3/lease/grant", request, etcd.LeaseGrantResponse
        )
        return answer.lease_id

    def renew_lease(self, lease_id: int) -> int:
        """Renew a lease and return its time to live in seconds, 0 if it has expired."""
        request = etcd.LeaseRequest(lease_id=lease_id)
        response_type = etcd.LeaseKeepAliveResponse
        return self._call_store(
            "renew_lease", "/v3/lease/keepalive", request, response_type
        ).result.ttl_s

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease; the keys bound to it are deleted."""
        request = etcd.LeaseRequest(lease_id=lease_id)
        self._call_store("revoke_lease", "/v3/lease/revoke", request, etcd.Message)

    def watch(
        self,
        prefix: str,
        from_revision: int,
        timeout_s: float,
        batching_ms: float = 0.0,
        response_timeout_ms: float = WATCH_RESPONSE_TIMEOUT_MS,
    ) -> Iterator[StoredValue]:
        """Yield every write under a prefix from a revision on, in order.

        The gateway streams the writes, so ``batching_ms`` and ``response_timeout_ms`` are ignored.
        """
        key = prefix.encode()
        create = etcd.WatchCreate(
            key=key, range_end=etcd.prefix_end(key), start_revision=from_revision
        )
        body = etcd.encode(etcd.WatchRequest(create_request=create))
        self.calls["watch"] += 1
        client = self._current_client()
        try:
            for line in client.stream_lines("/v3/watch", body, timeout_s):
                yield from _iter_events(etcd.decode(line, etcd.WatchLine).result)
        except (NotSent, AnswerLost, StatusError) as error:
            self._record_failure("watch", client, error.reason)
            raise _store_error("watch", error) from error
        except msgspec.MsgspecError as error:
            self._record_failure("watch", client, "malformed")
            raise StoreUnavailable(f"watch: {error}") from error

    def _read_key(self, call_name: str, key: str) -> StoredValue | None:
        request = etcd.RangeRequest(key=key.encode())
        answer = self._call_store(call_name, "/v3/kv/range", request, etcd.RangeResponse)
        return _to_stored_value(answer.kvs[0]) if answer.kvs else None

    def _check_lost_swap(
        self,
        key: str,
        value: bytes | None,
        expected_revision: int,
        lease_id: int,
        error: Exception,
    ) -> int:
        """Read the key of a write whose answer was lost; return its revision if it was written.

        An unchanged key proves nothing, since the write may still arrive at the store.

        Raises:
            SwapUnknown: the read failed, or it does not show that the write took effect.
        """
        current = None
        try:
            current = self._read_key("swap_check", key)
        except StoreUnavailable as reason:
            error.add_note(f"reading the key again failed too: {reason}")
        if current is not None and current.mod_revision > expected_revision:
            same = current.value == value and current.lease_id == lease_id
            if same and value is not None:
                return current.mod_revision
        self.failures["swap_unknown"] += 1
        raise SwapUnknown(f"{key}: {error}") from error

    def _call_store(
        self, call_name: str, path: str, request: etcd.Message, response_type: type[etcd.Message]
    ):
        """Send a request and raise each error as :class:`StoreUnavailable`."""
        try:
            return self._send_request(call_name, path, request, response_type)
        except (NotSent, AnswerLost, StatusError) as error:
            raise _store_error(call_name, error) from error

    def _send_request(
        self, call_name: str, path: str, request: etcd.Message, response_type: type[etcd.Message]
    ):
        """Send a request to the first gateway that accepts a connection and return its answer."""
        body = etcd.encode(request)
        for _ in self._clients[1:]:
            try:
                return self._send_to_gateway(call_name, path, body, response_type)
            except NotSent:
                continue
        return self._send_to_gateway(call_name, path, body, response_type)

    def _send_to_gateway(
        self, call_name: str, path: str, body: bytes, response_type: type[etcd.Message]
    ):
        self.calls[call_name] += 1
        client = self._current_client()
        try:
            return etcd.decode(client.send_request("POST", path, body), response_type)
        except msgspec.MsgspecError as error:
            self._record_failure(call_name, client, "malformed")
            raise AnswerLost("malformed", str(error)) from error
        except (NotSent, AnswerLost, StatusError) as error:
            self._record_failure(call_name, client, error.reason)
            raise

    def _current_client(self) -> JsonClient:
        if not self._clients:
            raise StoreUnavailable("the store client is not started or was closed")
        return self._clients[self._gateway_index % len(self._clients)]

    def _record_failure(self, call_name: str, client: JsonClient, reason: str) -> None:
        """Count a failed call and let the next call use the next gateway."""
        self.failures[f"{call_name}_{reason}"] += 1
        if self._clients and client is self._current_client():
            self._gateway_index += 1


def _swap_request(changes: Sequence[ConditionalWrite], lease_id: int = 0) -> etcd.TxnRequest:
    """Return a transaction that makes all changes or, if a condition fails, reads their keys."""
    keys = [change.key.encode() for change in changes]
    compare = [
        etcd.Compare(key=key, target="MOD", result="EQUAL", mod_revision=change.expected_revision)
        for key, change in zip(keys, changes, strict=True)
    ]
    reads = [etcd.RequestOp(request_range=etcd.RangeRequest(key=key)) for key in keys]
    writes = [_write_operation(change, lease_id) for change in changes]
    return etcd.TxnRequest(compare=compare, success=writes, failure=reads)


def _write_operation(change: ConditionalWrite, lease_id: int) -> etcd.RequestOp:
    key = change.key.encode()
    if change.value is None:
        return etcd.RequestOp(request_delete_range=etcd.DeleteRangeRequest(key=key))
    put = etcd.PutRequest(key=key, value=change.value, lease=lease_id)
    return etcd.RequestOp(request_put=put)


def _values_read(answer: etcd.TxnResponse) -> dict[str, StoredValue]:
    """Return the values that a transaction read because a condition failed, by key."""
    reads = [response.response_range for response in answer.responses]
    values = [_to_stored_value(kv) for read in reads if read is not None for kv in read.kvs]
    return {value.key: value for value in values}


def _mod_revision(value: StoredValue | None) -> int:
    """Return the mod revision of a value, 0 for a key that does not exist."""
    return 0 if value is None else value.mod_revision


def _to_stored_value(kv) -> StoredValue:
    return StoredValue(kv.key.decode("utf-8", "replace"), kv.value, kv.mod_revision, kv.lease)


def _iter_events(result) -> Iterator[StoredValue]:
    """Yield the writes of a watch result.

    Raises:
        StoreRefused: the store canceled the watch.
    """
    if result.canceled:
        raise StoreRefused(
            f"watch: canceled by the store, compacted at revision {result.compact_revision}"
        )
    for event in result.events:
        value = None if event.type == DELETE_EVENT_TYPE else event.kv.value
        key = event.kv.key.decode("utf-8", "replace")
        yield StoredValue(key, value, event.kv.mod_revision, event.kv.lease)


def _is_refusal(error: Exception) -> bool:
    """Whether the store rejected the request, so that it has had no effect."""
    return isinstance(error, StatusError) and error.status < HTTP_SERVER_ERROR_MIN


def _store_error(call_name: str, error: Exception) -> StoreUnavailable:
    """Return the error of the store interface for a failed call."""
    error_type = StoreRefused if _is_refusal(error) else StoreUnavailable
    return error_type(f"{call_name}: {error}")
