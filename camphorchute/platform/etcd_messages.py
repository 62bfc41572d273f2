"""Messages of the etcd v3 JSON gateway; bytes travel as base64, integers as text or number."""

from typing import Any

import msgspec

__all__ = [
    "Compare",
    "DeleteRangeRequest",
    "LeaseGrantRequest",
    "LeaseGrantResponse",
    "LeaseKeepAliveResponse",
    "LeaseRequest",
    "PutRequest",
    "RangeRequest",
    "RangeResponse",
    "RequestOp",
    "TxnRequest",
    "TxnResponse",
    "WatchCreate",
    "WatchLine",
    "WatchRequest",
    "decode",
    "encode",
    "prefix_end",
]


class Message(msgspec.Struct, omit_defaults=True, kw_only=True):
    """Base of every message; fields that are not declared are passed over."""


class Header(Message):
    """The store's state when it answered."""

    revision: int = 0


class KeyValue(Message):
    """One key."""

    key: bytes
    value: bytes = b""
    mod_revision: int = 0
    lease: int = 0


class RangeRequest(Message):
    """Read the keys from ``key`` up to ``range_end``, or one key."""

    key: bytes
    range_end: bytes = b""


class RangeResponse(Message):
    """The keys that were found."""

    header: Header = msgspec.field(default_factory=Header)
    kvs: list[KeyValue] = []


class PutRequest(Message):
    """Write one key."""

    key: bytes
    value: bytes
    lease: int = 0


class DeleteRangeRequest(Message):
    """Delete one key."""

    key: bytes


class Compare(Message):
    """A condition on the mod revision of a key; 0 where the key must not exist."""

    key: bytes
    mod_revision: int
    target: str
    result: str


class RequestOp(Message):
    """One operation of a transaction; one field is set."""

    request_put: PutRequest | None = None
    request_delete_range: DeleteRangeRequest | None = None
    request_range: RangeRequest | None = None


class TxnRequest(Message):
    """Operations for the case that every condition holds and for the case that one does not."""

    compare: list[Compare]
    success: list[RequestOp]
    failure: list[RequestOp] = []


class ResponseOp(Message):
    """The answer to one operation, as far as it is used."""

    response_range: RangeResponse | None = None


class TxnResponse(Message):
    """The answer to a transaction."""

    header: Header
    succeeded: bool = False
    responses: list[ResponseOp] = []


class LeaseGrantRequest(Message):
    """Ask for a lease; an id of 0 lets the store choose."""

    ttl_s: int = msgspec.field(name="TTL")


class LeaseGrantResponse(Message):
    """The lease that was granted."""

    lease_id: int = msgspec.field(name="ID")


class LeaseRequest(Message):
    """Renew or revoke a lease."""

    lease_id: int = msgspec.field(name="ID")


class LeaseKeepAlive(Message):
    """The time that a lease has left."""

    ttl_s: int = msgspec.field(name="TTL", default=0)


class LeaseKeepAliveResponse(Message):
    """The answer to a renewal."""

    result: LeaseKeepAlive


class WatchCreate(Message):
    """Where a watch starts and what it covers."""

    key: bytes
    range_end: bytes
    start_revision: int


class WatchRequest(Message):
    """Ask for a watch."""

    create_request: WatchCreate


class Event(Message):
    """One write."""

    kv: KeyValue
    type: str = "PUT"


class WatchResult(Message):
    """Some writes, or the end of the watch."""

    events: list[Event] = []
    canceled: bool = False
    compact_revision: int = 0


class WatchLine(Message):
    """One line of the stream."""

    result: WatchResult


def encode(message: Message) -> bytes:
    """Return a message as JSON.

    Examples:
        >>> encode(RangeRequest(key=b"/a"))
        b'{"key":"L2E="}'
    """
    return msgspec.json.encode(message)


def decode(body: bytes, kind: type[Message]) -> Any:
    """Return a message read from JSON, checked against its declared fields.

    Examples:
        >>> decode(b'{"kvs": [{"key": "L2E=", "mod_revision": "7"}]}', RangeResponse).kvs[0].key
        b'/a'
    """
    return msgspec.json.decode(body, type=kind, strict=False)


def prefix_end(prefix: bytes) -> bytes:
    r"""Return the first key after every key that starts with a prefix.

    Examples:
        >>> prefix_end(b"/a/")
        b'/a0'
        >>> prefix_end(b"a\xff")
        b'b'
        >>> prefix_end(b"\xff")
        b'\x00'
    """
    stem = prefix.rstrip(b"\xff")
    if not stem:
        return b"\x00"
    return stem[:-1] + bytes([stem[-1] + 1])
