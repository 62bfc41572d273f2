"""Messages of the etcd v3 JSON gateway.

Bytes are encoded as base64; integers are accepted as JSON strings or numbers.
"""

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
    """Base class of the messages; fields that are not declared are ignored."""


class Header(Message):
    """Header of an answer, with the revision of the store at that time."""

    revision: int = 0


class KeyValue(Message):
    """A key with its value; ``lease`` is the id of the lease that it is bound to, 0 for none."""

    key: bytes
    value: bytes = b""
    mod_revision: int = 0
    lease: int = 0


class RangeRequest(Message):
    """Request to read the keys from ``key`` up to, but not including, ``range_end``.

    Without ``range_end`` only ``key`` is read.
    """

    key: bytes
    range_end: bytes = b""


class RangeResponse(Message):
    """Answer to a :class:`RangeRequest`, with the keys that exist."""

    header: Header = msgspec.field(default_factory=Header)
    kvs: list[KeyValue] = []


class PutRequest(Message):
    """Request to write one key; ``lease`` is the id of a lease, 0 for none."""

    key: bytes
    value: bytes
    lease: int = 0


class DeleteRangeRequest(Message):
    """Request to delete one key."""

    key: bytes


class Compare(Message):
    """A condition on the mod revision of a key; 0 if the key must not exist."""

    key: bytes
    mod_revision: int
    target: str
    result: str


class RequestOp(Message):
    """One operation of a transaction; exactly one field is set."""

    request_put: PutRequest | None = None
    request_delete_range: DeleteRangeRequest | None = None
    request_range: RangeRequest | None = None


class TxnRequest(Message):
    """A transaction: executes ``success`` if all conditions hold, ``failure`` otherwise."""

    compare: list[Compare]
    success: list[RequestOp]
    failure: list[RequestOp] = []


class ResponseOp(Message):
    """Answer to one operation; only the field of a read is declared."""

    response_range: RangeResponse | None = None


class TxnResponse(Message):
    """Answer to a transaction; ``succeeded`` says whether all conditions held."""

    header: Header
    succeeded: bool = False
    responses: list[ResponseOp] = []


class LeaseGrantRequest(Message):
    """Request for a new lease; no id is sent, so the store chooses one."""

    ttl_s: int = msgspec.field(name="TTL")


class LeaseGrantResponse(Message):
    """Answer to a :class:`LeaseGrantRequest`."""

    lease_id: int = msgspec.field(name="ID")


class LeaseRequest(Message):
    """Request to renew or to revoke a lease."""

    lease_id: int = msgspec.field(name="ID")


class LeaseKeepAlive(Message):
    """Time to live of a renewed lease in seconds; 0 if the lease has expired."""

    ttl_s: int = msgspec.field(name="TTL", default=0)


class LeaseKeepAliveResponse(Message):
    """Answer to the renewal of a lease."""

    result: LeaseKeepAlive


class WatchCreate(Message):
    """Range of keys of a watch, and the revision of the first write that it returns."""

    key: bytes
    range_end: bytes
    start_revision: int


class WatchRequest(Message):
    """Request for a watch."""

    create_request: WatchCreate


class Event(Message):
    """One write of a key; ``type`` is ``PUT`` or ``DELETE``."""

    kv: KeyValue
    type: str = "PUT"


class WatchResult(Message):
    """Writes that a watch returns, or its cancellation by the store.

    ``compact_revision`` is set if the watch asks for writes that were compacted.
    """

    events: list[Event] = []
    canceled: bool = False
    compact_revision: int = 0


class WatchLine(Message):
    """One line in the answer to a :class:`WatchRequest`."""

    result: WatchResult


def encode(message: Message) -> bytes:
    """Encode a message as JSON.

    Examples:
        >>> encode(RangeRequest(key=b"/a"))
        b'{"key":"L2E="}'
    """
    return msgspec.json.encode(message)


def decode(body: bytes, kind: type[Message]) -> Any:
    """Decode a message of a class from JSON.

    Raises:
        msgspec.MsgspecError: the body is malformed or does not have the fields of the class.

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
