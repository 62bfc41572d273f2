"""The platform's store behind the interface of :class:`camphorchute.hosting.Store`."""

import base64
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from urllib.parse import urlencode

import gevent
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
from camphorchute.platform import wire
from camphorchute.workers.http_channel import AnswerLost, HttpAnswer, HttpChannel, NotSent

__all__ = ["KvStore"]

CALL_TIMEOUT_MS = 1000.0
CONNECT_TIMEOUT_MS = 700.0
WATCH_GRACE_MS = 500.0
MS_PER_S = 1000
WATCHES = 4
OK, NOT_FOUND, GONE, CONDITION_FAILED = 200, 404, 410, 412


@register_store("kv")
class KvStore(Store):
    """The store at one address.

    Args:
        address: ``IP:port``.
    """

    def __init__(self, address: str) -> None:
        super().__init__()
        self.calls = Counter()
        self.failures = Counter()
        self._channel = HttpChannel(address, 2, CONNECT_TIMEOUT_MS)
        self._watch_channel = HttpChannel(address, WATCHES, CONNECT_TIMEOUT_MS)

    def start(self) -> None:
        """Make ready for calls; connections are opened as they are needed."""

    def close(self) -> None:
        """Close every idle connection."""
        self._channel.close()
        self._watch_channel.close()

    def get(self, key: str) -> StoredValue | None:
        """Return the value in force, ``None`` where the key does not exist."""
        answer = self._send("get", "GET", "/kv-key?" + urlencode({"key": key}))
        if answer.status == NOT_FOUND:
            return None
        return _stored(self._decode(answer, wire.Item))

    def list(self, prefix: str) -> StoredListing:
        """Return every key that starts with a prefix; its pages are no snapshot.

        The revision is that of the first page, so that a watch from there misses nothing.
        """
        values: list[StoredValue] = []
        revision, after = 0, ""
        while True:
            query = {"prefix": prefix, **({"after": after} if after else {})}
            answer = self._send("list", "GET", "/kv-range?" + urlencode(query))
            page = self._decode(answer, wire.Items)
            revision = revision or page.store_revision
            values.extend(_stored(item) for item in page.items)
            if not page.truncated or not page.items:
                return StoredListing(values, revision)
            after = page.items[-1].key

    def swap(self, key: str, value: bytes | None, expected_revision: int, lease_id: int = 0) -> int:
        """Write a key if it was last written at the expected revision."""
        puts = [] if value is None else [wire.put(key, _to_text(value), lease_id)]
        removed = [key] if value is None else []
        txn = wire.Txn([wire.condition(key, expected_revision)], puts, removed)
        self.calls["swap"] += 1
        try:
            answer = self._exchange("POST", "/kv-txn", msgspec.json.encode(txn))
        except NotSent as error:
            raise self._failed("swap", "not_sent", error) from error
        except AnswerLost as error:
            self.failures["swap.answer_lost"] += 1
            return self._check_lost_swap(key, value, error)
        if answer.status == OK:
            return self._decode(answer, wire.TxnDone).revision
        if answer.status == CONDITION_FAILED:
            self.failures["swap.lost"] += 1
            raise SwapLost(key, self._current(answer, key))
        if answer.status == NOT_FOUND:
            raise StoreRefused(f"swap: lease {lease_id} has ended")
        raise self._failed("swap", f"status_{answer.status}", answer.body[:100])

    def swap_all(self, changes: Sequence[Change]) -> int:
        """Write several keys if each was last written at its expected revision."""
        conditions = [wire.condition(change.key, change.expected_revision) for change in changes]
        puts = [wire.put(c.key, _to_text(c.value), 0) for c in changes if c.value is not None]
        removed = [change.key for change in changes if change.value is None]
        txn = wire.Txn(conditions, puts, removed)
        self.calls["swap_all"] += 1
        try:
            answer = self._exchange("POST", "/kv-txn", msgspec.json.encode(txn))
        except NotSent as error:
            raise self._failed("swap_all", "not_sent", error) from error
        except AnswerLost as error:
            self.failures["swap_all.answer_lost"] += 1
            raise SwapUnknown(f"{len(changes)} keys: {error}") from error
        if answer.status == OK:
            return self._decode(answer, wire.TxnDone).revision
        if answer.status == CONDITION_FAILED:
            self.failures["swap_all.lost"] += 1
            raise SwapAllLost(self._not_as_expected(answer, changes))
        raise self._failed("swap_all", f"status_{answer.status}", answer.body[:100])

    def _not_as_expected(
        self, answer: HttpAnswer, changes: Sequence[Change]
    ) -> dict[str, StoredValue | None]:
        """Return the keys that failed a condition; the store need not list the others."""
        items = self._decode(answer, wire.TxnLost, CONDITION_FAILED).items
        listed = {item.key: item for item in items}
        failed = {
            change.key: _stored(listed[change.key]) if listed[change.key].revision else None
            for change in changes
            if change.key in listed and listed[change.key].revision != change.expected_revision
        }
        if failed:
            return failed
        return {change.key: None for change in changes if change.key not in listed}

    def grant_lease(self, ttl_s: int) -> int:
        """Return the id of a new lease."""
        body = msgspec.json.encode(wire.Granted(ttl_ms=ttl_s * MS_PER_S))
        answer = self._send("grant_lease", "POST", "/kv-lease", body)
        return self._decode(answer, wire.Granted).lease

    def renew_lease(self, lease_id: int) -> int:
        """Renew a lease and return its time to live in seconds, 0 where it has expired."""
        answer = self._send("renew_lease", "POST", f"/kv-keep/{lease_id}")
        if answer.status == NOT_FOUND:
            return 0
        return max(1, self._decode(answer, wire.Granted).ttl_ms // MS_PER_S)

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease; the keys bound to it are deleted."""
        self._send("revoke_lease", "DELETE", f"/kv-lease-end/{lease_id}")

    def watch(
        self,
        prefix: str,
        from_revision: int,
        timeout_s: float,
        gather_ms: float = 0.0,
        silent_ms: float = SILENT_MS,
    ) -> Iterator[StoredValue]:
        """Yield every write under a prefix from a revision on, in order."""
        end_s = time.monotonic() + timeout_s
        after = from_revision - 1
        while time.monotonic() < end_s:
            query = urlencode({"prefix": prefix, "after": after, "wait-ms": int(silent_ms)})
            changes = self._decode(self._poll(query, silent_ms), wire.WatchEvents)
            for item in changes.events:
                yield _stored(item)
            after = changes.store_revision
            gevent.sleep(gather_ms / MS_PER_S)

    def _poll(self, query: str, silent_ms: float) -> HttpAnswer:
        self.calls["watch"] += 1
        try:
            answer = self._watch_channel.exchange(
                "GET", "/kv-watch?" + query, b"", silent_ms + WATCH_GRACE_MS
            )
        except (NotSent, AnswerLost) as error:
            raise self._failed("watch", "lost", error) from error
        if answer.status == GONE:
            raise StoreRefused("watch: the history since that revision was dropped")
        return answer

    def _check_lost_swap(self, key: str, value: bytes | None, error: Exception) -> int:
        """Tell by a read whether a write whose answer was lost has taken effect."""
        try:
            current = self.get(key)
        except StoreUnavailable:
            raise SwapUnknown(f"{key}: {error}") from error
        if current is not None and current.value == value:
            return current.mod_revision
        raise SwapUnknown(f"{key}: {error}") from error

    def _current(self, answer: HttpAnswer, key: str) -> StoredValue | None:
        found = self._decode(answer, wire.TxnLost, CONDITION_FAILED).items
        return next((_stored(item) for item in found if item.key == key and item.revision), None)

    def _send(self, name: str, method: str, target: str, body: bytes = b"") -> HttpAnswer:
        """Send a call that may be repeated without harm."""
        self.calls[name] += 1
        try:
            answer = self._exchange(method, target, body)
        except (NotSent, AnswerLost) as error:
            raise self._failed(name, "lost", error) from error
        if answer.status not in (OK, NOT_FOUND):
            raise self._failed(name, f"status_{answer.status}", answer.body[:100])
        return answer

    def _exchange(self, method: str, target: str, body: bytes) -> HttpAnswer:
        headers = {"Content-Type": "application/json"} if body else None
        return self._channel.exchange(method, target, body, CALL_TIMEOUT_MS, headers)

    def _decode(self, answer: HttpAnswer, kind: type, status: int = OK) -> object:
        if answer.status != status:
            raise self._failed(kind.__name__, f"status_{answer.status}", answer.body[:100])
        try:
            return msgspec.json.decode(answer.body, type=kind)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise self._failed(kind.__name__, "malformed", error) from error

    def _failed(self, name: str, reason: str, detail: object) -> StoreUnavailable:
        self.failures[f"{name}.{reason}"] += 1
        return StoreUnavailable(f"{name}: {reason}: {detail}")


def _stored(item: wire.Item) -> StoredValue:
    value = None if item.removed else _from_text(item.value)
    return StoredValue(item.key, value, item.revision, item.lease)


def _to_text(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _from_text(text: str) -> bytes:
    """Return the bytes of a value; text that is no base64 gives bytes that decode to nothing."""
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return b""
